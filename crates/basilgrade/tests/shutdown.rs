//! Graceful shutdown of daemon processes.

mod support;

use std::time;

use basilgrade_standins::caller;
use basilgrade_standins::fault;
use basilgrade_standins::service;
use support::deployment;

const CUSTOMER: (&str, &str) = deployment::CUSTOMER;

/// Guards against a shutdown that cuts off a stream or a charge, also when the process receives a
/// second termination signal.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_requests_in_flight() {
    let mut deployment = deployment::start(&["a", "a"]).await;
    let address = deployment.daemons[0].caller_address;
    for service in &deployment.services {
        let delay = basilgrade_types::clock::Millis(1500);
        service.faults.set(fault::Fault::Late(delay));
    }
    let key = deployment::mint_key(address).await;
    let stream = tokio::spawn(async move {
        let headers = [CUSTOMER, ("accept", "text/event-stream")];
        caller::post(address, "/v1/pipelines/seating", &headers, "When?").await
    });
    let charged_key = key.clone();
    let charge = tokio::spawn(async move {
        let headers = [CUSTOMER, ("idempotency-key", charged_key.as_str())];
        caller::post(address, "/v1/services/ticket-sales/charge", &headers, "{}").await
    });
    deployment::wait_until(|| async {
        let started = deployment
            .engines
            .iter()
            .any(|engine| !engine.started().is_empty());
        started && deployment.count_charges(&key) == 1
    })
    .await;

    deployment.daemons[0].signal("TERM");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    deployment.daemons[0].signal("TERM");

    let stream = stream
        .await
        .expect("the caller task does not panic")
        .expect("the daemon sends a stream");
    let text = String::from_utf8_lossy(&stream.body).into_owned();
    assert!(text.contains("event: end"), "{text}");
    let charge = charge
        .await
        .expect("the caller task does not panic")
        .expect("the daemon sends a response");
    assert_eq!(charge.verdict, "ran");
    assert_eq!(charge.body, service::receipt(b"{}"));
    assert_eq!(deployment.daemons[0].wait_for_exit().await, Some(0));
}

/// Guards against keys that are refused for good after the daemon that held their slot has shut
/// down.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_hands_over_slots() {
    let mut deployment = deployment::start(&["a", "a", "a"]).await;
    let first = deployment.daemons[0].caller_address;
    let second = deployment.daemons[1].caller_address;
    let key = deployment::mint_key(first).await;
    let unused_key = deployment::mint_key(first).await;
    let path = "/v1/services/ticket-sales/charge";
    let headers = [CUSTOMER, ("idempotency-key", key.as_str())];
    let before = caller::post(first, path, &headers, "{}").await;
    assert_eq!(before.expect("the daemon sends a response").verdict, "ran");

    deployment.daemons[0].signal("TERM");
    assert_eq!(deployment.daemons[0].wait_for_exit().await, Some(0));

    let after = caller::post(second, path, &headers, "{}").await;
    assert_eq!(after.expect("the daemon sends a response").verdict, "ran");
    assert_eq!(deployment.count_charges(&key), 1);
    let headers = [CUSTOMER, ("idempotency-key", unused_key.as_str())];
    deployment::wait_until(|| async {
        let response = caller::post(second, path, &headers, "{}").await;
        response.is_ok_and(|response| response.verdict == "ran")
    })
    .await;
    assert_eq!(deployment.count_charges(&unused_key), 1);
}
