//! Upstreams that send nothing for a while although they are sound.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Longest time for which the engine before may still work on a stream that goes on elsewhere.
const OVERLAP_LIMIT: time::Duration = time::Duration::from_millis(400);

/// All events of the stream of the request `id`.
fn stream_body(id: &str) -> String {
    let event = |number| format!("id: {number}\ndata: {id}-{number}\n\n");
    (1..=upstream::EVENTS).map(event).collect()
}

fn set_behaviour(
    deployment: &deployment::Deployment,
    pools: &[&str],
    behaviour: upstream::Behaviour,
) {
    for pool in pools {
        for number in 0..2 {
            deployment
                .upstream(&format!("{pool}-{number}"))
                .set_behaviour(behaviour);
        }
    }
}

/// Sends the request `id` to upstreams that behave as `behaviour`, which further requests find to be
/// `later`.
async fn send_before(
    deployment: &deployment::Deployment,
    (id, path, behaviour): (&str, &str, upstream::Behaviour),
    (pools, later): (&[&str], upstream::Behaviour),
) -> client::Answer {
    set_behaviour(deployment, &["desk", "engine"], behaviour);
    let request = if path.starts_with("/stream") {
        client::staged_request(id, path)
    } else {
        client::request(id, "GET", path)
    };
    let sending = tokio::spawn(client::send(
        deployment.daemons[0].caller_address,
        request,
        "",
    ));
    let is_running = || async {
        let runs = deployment.upstreams.iter().flat_map(|known| known.runs());
        runs.into_iter()
            .any(|run| run.request == id && run.path == path)
    };
    deployment::wait_until("an upstream runs the request", is_running).await;
    set_behaviour(deployment, pools, later);
    let answer = sending.await.expect("the sending task does not panic");
    set_behaviour(
        deployment,
        &["desk", "engine", "encode", "rank"],
        upstream::Behaviour::Healthy,
    );
    answer.expect("the daemon answers")
}

/// Guards against a sound answer that is given up although no other upstream can replace it.
#[tokio::test(flavor = "multi_thread")]
async fn silent_answer_is_kept_while_nothing_can_replace_it() {
    let deployment = deployment::start(&["a"]).await;
    let full = upstream::Behaviour::Full;
    let pauses = upstream::Behaviour::Pauses;
    let cases: [(&str, &str, upstream::Behaviour, &[&str]); 5] = [
        (
            "within",
            "/stream-resumable/x",
            pauses(4, 3000),
            &["engine"],
        ),
        ("first", "/stream-resumable/x", pauses(1, 3000), &["engine"]),
        (
            "stages",
            "/stream-resumable/x",
            pauses(4, 3000),
            &["encode"],
        ),
        ("once", "/stream/x", pauses(4, 3500), &["engine"]),
        ("plain", "/safe/x", pauses(1, 2000), &["desk"]),
    ];
    let mut lost = Vec::new();

    for (id, path, behaviour, later) in cases {
        let answer = send_before(&deployment, (id, path, behaviour), (later, full)).await;
        let is_complete = !path.starts_with("/stream") || answer.body == stream_body(id);
        if answer.status != 200 || !answer.is_whole || !is_complete {
            lost.push((id, answer));
        }
    }

    assert!(lost.is_empty(), "{lost:?}");
}

/// Guards against a stream that waits for a dead engine, or is worked on by two engines.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_engine_silent_for_good_goes_on_elsewhere() {
    let deployment = deployment::start(&["a"]).await;
    for (id, event) in [("first", 1), ("within", 4)] {
        let silent = upstream::Behaviour::Pauses(event, 60_000);
        let later = upstream::Behaviour::Pauses(event, 1200);

        let answer = send_before(
            &deployment,
            (id, "/stream-resumable/x", silent),
            (&["engine"], later),
        )
        .await;

        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
        assert_eq!(answer.body, stream_body(id));
        let runs = deployment.upstreams.iter().flat_map(|known| known.runs());
        let begun: Vec<_> = runs
            .filter(|run| run.request == id && run.path == "/stream-resumable/x")
            .map(|run| run.at)
            .collect();
        assert_eq!(begun.len(), 2, "{id}");
        let ends = deployment.upstreams.iter().flat_map(|known| {
            let ends = known.ends.lock().expect("no holder of the lock panics");
            ends.clone()
        });
        let first_end = ends.filter(|(request, _)| request == id).map(|(_, at)| at);
        let first_end = first_end.min().expect("the work of an engine has ended");
        let second = begun.into_iter().max().expect("an engine began");
        assert!(first_end < second + OVERLAP_LIMIT, "{id}");
    }
}
