//! Stages whose upstreams send nothing for a while although they are sound.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Number of streams that are taken up after the silence.
const STREAMS: usize = 10;

/// Silence of the upstreams, in milliseconds.
const SILENCE_MS: u64 = 400;

fn set_behaviour(deployment: &deployment::Deployment, behaviour: upstream::Behaviour) {
    for id in ["encode-0", "encode-1"] {
        deployment.upstream(id).set_behaviour(behaviour);
    }
}

/// Sends a stream to daemon 0 that takes up another one, with 2 s left.
async fn take_up(deployment: &deployment::Deployment, id: &str) -> Option<client::Answer> {
    let mut request = client::staged_request(id, "/stream-resumable/x")
        .header("resumes", "before")
        .header("last-event-id", "3");
    let headers = request.headers_mut().expect("the headers are valid");
    let deadline = hyper::header::HeaderValue::from_static("2000");
    headers.insert("x-deadline-ms", deadline);
    client::send(deployment.daemons[0].caller_address, request, "").await
}

/// Guards against streams that are refused because the idle upstreams of a stage were silent once.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_after_a_silence_of_their_stages() {
    let deployment = deployment::start(&["a"]).await;
    let before = take_up(&deployment, "before").await;
    set_behaviour(&deployment, upstream::Behaviour::Pauses(1, SILENCE_MS));
    let address = deployment.daemons[0].caller_address;
    let silent = |id| client::send(address, client::staged_request(id, "/stream/x"), "");
    let late = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        silent("second").await
    };
    let (first, second) = tokio::join!(silent("first"), late);
    set_behaviour(&deployment, upstream::Behaviour::Healthy);

    let mut refused = Vec::new();
    for number in 0..STREAMS {
        let answer = take_up(&deployment, &format!("again-{number}")).await;
        let answer = answer.expect("the daemon answers");
        if answer.status != 200 {
            refused.push(answer.status);
        }
    }

    for answer in [before, first, second] {
        assert!(answer.is_some_and(|answer| answer.status == 200));
    }
    assert!(
        refused.is_empty(),
        "{} of {STREAMS} refused: {refused:?}",
        refused.len()
    );
}
