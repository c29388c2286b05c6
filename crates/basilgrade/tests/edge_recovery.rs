//! Recovery of entry VM daemons from upstream failures, and configurations at the minimum: one VM,
//! no stages.

mod edge_support;

use std::sync::atomic;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Returns the body of a complete stream for the request with the id `request`.
fn stream_body(request: &str) -> String {
    let event = |id| format!("id: {id}\ndata: {request}-{id}\n\n");
    (1..=upstream::EVENTS).map(event).collect()
}

/// Guards against a pool that stays empty because its members are suspect: on a deployment of one
/// VM in one failure domain, the only upstream of each pool fails for a while.
#[tokio::test(flavor = "multi_thread")]
async fn single_vm_deployment_recovers_after_upstream_failures() {
    let configuration = deployment::configuration(1, &["key-one"]);
    let deployment = deployment::start_with(&["a"], 1, &configuration).await;
    let address = deployment.daemons[0].caller_address;

    for behaviour in [upstream::Behaviour::Full, upstream::Behaviour::Mute] {
        for upstream in &deployment.upstreams {
            upstream.set_behaviour(behaviour);
        }
        for number in 0..12 {
            let id = format!("bad-{behaviour:?}-{number}");
            let request = client::request(&id, "POST", "/once/x");
            let answer = client::send(address, request, "").await;
            assert_ne!(answer.expect("the daemon answers").status, 200);
            let request = client::staged_request(&format!("s{id}"), "/stream/x")
                .header("x-deadline-ms", "300");
            client::send(address, request, "").await;
        }
        for upstream in &deployment.upstreams {
            upstream.set_behaviour(upstream::Behaviour::Healthy);
        }
        for (kind, path) in [("once", "/once/x"), ("stream", "/stream/x")] {
            let count = atomic::AtomicUsize::new(0);
            deployment::wait_until("a request is served again after the failure", || async {
                let number = count.fetch_add(1, atomic::Ordering::Relaxed);
                let request =
                    client::staged_request(&format!("{kind}-{behaviour:?}-{number}"), path);
                let answer = client::send(address, request, "").await;
                answer.is_some_and(|answer| answer.status == 200 && answer.is_whole)
            })
            .await;
        }
    }
}

/// Guards against requests that fail although the other upstream of the pool serves, while one
/// upstream flaps, that is, refuses all requests in alternate intervals.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_a_flapping_upstream_are_retried_at_another() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;

    let mut served = 0;
    for number in 0..60 {
        let is_up = number / 10 % 2 == 0;
        let behaviour = if is_up {
            upstream::Behaviour::Healthy
        } else {
            upstream::Behaviour::Full
        };
        deployment.upstream("desk-0").set_behaviour(behaviour);
        let request = client::request(&format!("flap-{number}"), "POST", "/once/x");
        let answer = client::send(address, request, "")
            .await
            .expect("the daemon answers");
        served += usize::from(answer.status == 200);
    }

    // A request that was refused without a run is sent to the other upstream, so all are served.
    assert_eq!(served, 60);
}

/// Guards against a daemon that rejects a configuration without stages, or one with unknown fields
/// or records.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_without_stages_and_with_unknown_fields_is_served() {
    let text = deployment::without_stages().replacen('{', "{\"added-later\":[1,{\"a\":2}],", 1);
    let deployment = deployment::start_with(&["a"], 1, &text).await;
    deployment
        .store
        .put("keyed.op", "added-later", "{\"more\": 1}");

    let request = client::staged_request("plain", "/stream/x");
    let answer = client::send(deployment.daemons[0].caller_address, request, "").await;

    let answer = answer.expect("the daemon answers");
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, stream_body("plain"));
}
