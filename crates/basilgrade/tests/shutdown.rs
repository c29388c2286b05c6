//! Graceful shutdown of daemon processes.

mod support;

use std::time;

use basilgrade_standins::caller;
use basilgrade_standins::fault;
use basilgrade_standins::service;
use support::deployment;

const CUSTOMER: (&str, &str) = deployment::CUSTOMER;

/// Guards against a shutdown that cuts off a stream or a charge, even when the signal comes twice.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_are_finished() {
    let mut deployment = deployment::start(&["a", "a"]).await;
    let address = deployment.daemons[0].caller;
    for service in &deployment.services {
        let late = basilgrade_types::clock::Millis(1500);
        service.faults.set(fault::Fault::Late(late));
    }
    let key = deployment::mint(address).await;
    let stream = tokio::spawn(async move {
        let headers = [CUSTOMER, ("accept", "text/event-stream")];
        caller::post(address, "/v1/pipelines/seating", &headers, "When?").await
    });
    let charged = key.clone();
    let charge = tokio::spawn(async move {
        let headers = [CUSTOMER, ("idempotency-key", charged.as_str())];
        caller::post(address, "/v1/services/ticket-sales/charge", &headers, "{}").await
    });
    deployment::until(|| async {
        let started = deployment
            .engines
            .iter()
            .any(|engine| !engine.started().is_empty());
        started && deployment.charges(&key) == 1
    })
    .await;

    deployment.daemons[0].signal("TERM");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    deployment.daemons[0].signal("TERM");

    let stream = stream
        .await
        .expect("the caller ends")
        .expect("a stream arrives");
    let text = String::from_utf8_lossy(&stream.body).into_owned();
    assert!(text.contains("event: end"), "{text}");
    let charge = charge
        .await
        .expect("the caller ends")
        .expect("a response arrives");
    assert_eq!(charge.verdict, "ran");
    assert_eq!(charge.body, service::receipt(b"{}"));
    assert_eq!(deployment.daemons[0].ended().await, Some(0));
}

/// Guards against keys that cannot be used any more after the daemon that held their slot has left.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_handed_over() {
    let mut deployment = deployment::start(&["a", "a", "a"]).await;
    let first = deployment.daemons[0].caller;
    let second = deployment.daemons[1].caller;
    let key = deployment::mint(first).await;
    let fresh = deployment::mint(first).await;
    let path = "/v1/services/ticket-sales/charge";
    let headers = [CUSTOMER, ("idempotency-key", key.as_str())];
    let before = caller::post(first, path, &headers, "{}").await;
    assert_eq!(before.expect("a response arrives").verdict, "ran");

    deployment.daemons[0].signal("TERM");
    assert_eq!(deployment.daemons[0].ended().await, Some(0));

    let after = caller::post(second, path, &headers, "{}").await;
    assert_eq!(after.expect("a response arrives").verdict, "ran");
    assert_eq!(deployment.charges(&key), 1);
    let headers = [CUSTOMER, ("idempotency-key", fresh.as_str())];
    deployment::until(|| async {
        let response = caller::post(second, path, &headers, "{}").await;
        response.is_ok_and(|response| response.verdict == "ran")
    })
    .await;
    assert_eq!(deployment.charges(&fresh), 1);
}
