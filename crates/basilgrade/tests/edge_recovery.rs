//! Deployments of one, and upstreams that come back.

mod edge_support;

use std::sync::atomic;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

fn events(request: &str) -> String {
    let event = |id| format!("id: {id}\ndata: {request}-{id}\n\n");
    (1..=upstream::EVENTS).map(event).collect()
}

/// Guards against a pool that is emptied by suspicion: the only upstream of each fails for a while,
/// on a deployment of one VM in one failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_of_one_serves_again_after_failures() {
    let configuration = deployment::configuration(1, &["key-one"]);
    let deployment = deployment::start_with(&["a"], 1, &configuration).await;
    let address = deployment.daemons[0].callers;

    for mood in [upstream::Mood::Full, upstream::Mood::Mute] {
        for only in &deployment.upstreams {
            only.set(mood);
        }
        for number in 0..12 {
            let id = format!("bad-{mood:?}-{number}");
            let request = client::request(&id, "POST", "/once/x");
            let answer = client::send(address, request, "").await;
            assert_ne!(answer.expect("an answer").status, 200);
            let request =
                client::staged(&format!("s{id}"), "/stream/x").header("x-deadline-ms", "300");
            client::send(address, request, "").await;
        }
        for only in &deployment.upstreams {
            only.set(upstream::Mood::Sound);
        }
        for (kind, path) in [("once", "/once/x"), ("stream", "/stream/x")] {
            let count = atomic::AtomicUsize::new(0);
            deployment::until("it is served again", || async {
                let number = count.fetch_add(1, atomic::Ordering::Relaxed);
                let request = client::staged(&format!("{kind}-{mood:?}-{number}"), path);
                let answer = client::send(address, request, "").await;
                answer.is_some_and(|answer| answer.status == 200 && answer.is_whole)
            })
            .await;
        }
    }
}

/// Guards against upstreams that go up and down by turns, and against a pool whose bad member takes
/// the requests of the good one.
#[tokio::test(flavor = "multi_thread")]
async fn a_flapping_upstream_does_not_stop_the_others() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;

    let mut served = 0;
    for number in 0..60 {
        let is_up = number / 10 % 2 == 0;
        let mood = if is_up {
            upstream::Mood::Sound
        } else {
            upstream::Mood::Full
        };
        deployment.upstream("desk-0").set(mood);
        let request = client::request(&format!("flap-{number}"), "POST", "/once/x");
        let answer = client::send(address, request, "").await.expect("an answer");
        served += usize::from(answer.status == 200);
    }

    // A refusal without a run goes to the other upstream, so none is lost.
    assert_eq!(served, 60);
}

/// Guards against a deployment without stages, and against unknown fields of a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_without_stages_is_served() {
    let text = deployment::without_stages().replacen('{', "{\"added-later\":[1,{\"a\":2}],", 1);
    let deployment = deployment::start_with(&["a"], 1, &text).await;
    deployment
        .store
        .put("keyed.op", "added-later", "{\"more\": 1}");

    let request = client::staged("plain", "/stream/x");
    let answer = client::send(deployment.daemons[0].callers, request, "").await;

    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events("plain"));
}
