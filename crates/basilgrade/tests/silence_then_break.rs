//! Upstreams that are silent for a while, go on, and fail later.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

const PATH: &str = "/stream-resumable/x";

/// All events of the stream of the request `id`.
fn stream_body(id: &str) -> String {
    let event = |number| format!("id: {number}\ndata: {id}-{number}\n\n");
    (1..=upstream::EVENTS).map(event).collect()
}

fn set_behaviour(deployment: &deployment::Deployment, pool: &str, behaviour: upstream::Behaviour) {
    for known in &deployment.upstreams {
        if known.id.starts_with(pool) {
            known.set_behaviour(behaviour);
        }
    }
}

/// Starts to send the request `id`; returns when an upstream runs it.
async fn begin(
    deployment: &deployment::Deployment,
    id: &'static str,
) -> tokio::task::JoinHandle<Option<client::Answer>> {
    let address = deployment.daemons[0].caller_address;
    let sending = tokio::spawn(client::send(address, client::staged_request(id, PATH), ""));
    deployment::wait_until("an upstream runs the request", || async {
        deployment.count_runs(id) > 0
    })
    .await;
    sending
}

async fn pause(milliseconds: u64) {
    tokio::time::sleep(time::Duration::from_millis(milliseconds)).await;
}

async fn answer_of(sending: tokio::task::JoinHandle<Option<client::Answer>>) -> client::Answer {
    let answer = sending.await.expect("the sending task does not panic");
    answer.expect("the daemon answers")
}

/// Guards against an upstream that counts as two runs, as it was silent before its first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_before_its_first_event_keeps_its_retry() {
    let mut deployment =
        deployment::start_with(&["a"], 1, &deployment::configuration(1, &["key-one"])).await;
    let behaviour = upstream::Behaviour::PausesAndBreaks(1, 3000, 4);
    set_behaviour(&deployment, "engine", behaviour);

    let sending = begin(&deployment, "counted").await;
    pause(2200).await;
    deployment.add_upstream("engine", 1).await;
    let answer = answer_of(sending).await;

    assert_eq!(answer.body, stream_body("counted"));
}

/// Guards against a stream that cannot use upstreams that refused it during an earlier silence.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_an_upstream_that_was_full_during_a_silence() {
    let deployment = deployment::start(&["a"]).await;
    let behaviour = upstream::Behaviour::PausesAndBreaks(4, 2900, 6);
    set_behaviour(&deployment, "engine", behaviour);

    let sending = begin(&deployment, "refused").await;
    set_behaviour(&deployment, "engine", upstream::Behaviour::Full);
    pause(2300).await;
    set_behaviour(&deployment, "engine", upstream::Behaviour::Healthy);
    let answer = answer_of(sending).await;

    assert_eq!(answer.body, stream_body("refused"));
}

/// Guards against stages that are begun anew when a silent upstream breaks.
#[tokio::test(flavor = "multi_thread")]
async fn stages_for_the_next_upstream_outlive_the_break_of_the_silent_one() {
    let deployment = deployment::start(&["a"]).await;
    let behaviour = upstream::Behaviour::PausesAndBreaks(4, 1800, 4);
    set_behaviour(&deployment, "engine", behaviour);

    let sending = begin(&deployment, "stages").await;
    set_behaviour(&deployment, "engine", upstream::Behaviour::Healthy);
    set_behaviour(&deployment, "encode", upstream::Behaviour::Slow(450));
    set_behaviour(&deployment, "rank", upstream::Behaviour::Slow(450));
    let answer = answer_of(sending).await;

    assert_eq!(answer.body, stream_body("stages"));
    let runs = deployment.upstreams.iter().flat_map(|known| known.runs());
    let encodings = runs.filter(|run| {
        let text = String::from_utf8_lossy(&run.body).into_owned();
        run.path == "/basilgrade/stage-run" && text.contains("\"phase\":0")
    });
    assert_eq!(encodings.count(), 2);
}

/// Guards against a request that looks for another upstream only once while the first one is silent.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_sent_to_an_upstream_that_joins_during_a_silence() {
    let mut lost = Vec::new();
    for (pool, path) in [("desk", "/safe/x"), ("engine", PATH)] {
        let configuration = deployment::configuration(1, &["key-one"]);
        let mut deployment = deployment::start_with(&["a"], 1, &configuration).await;
        set_behaviour(&deployment, pool, upstream::Behaviour::Silent);
        let request = client::staged_request(pool, path);
        let address = deployment.daemons[0].caller_address;
        let sending = tokio::spawn(client::send(address, request, ""));

        pause(2500).await;
        deployment.add_upstream(pool, 1).await;
        let answer = answer_of(sending).await;

        if answer.status != 200 {
            lost.push((pool, answer.status, answer.body));
        }
    }

    assert!(lost.is_empty(), "{lost:?}");
}
