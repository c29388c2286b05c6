//! Streams that callers take up again while the pools of their stages have more work than they can
//! do.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

const STREAM: &str = "/stream-resumable/plan";

/// Time of a call for the pieces of the first stage.
const CALL_MS: u64 = 400;

/// Number of streams that are begun and taken up again.
const STREAMS: usize = 16;

/// Pause between new requests; a pool of two upstreams takes one each 200 ms.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Number of new requests before the first stream is taken up, so that the pool has a queue.
const NEW_BEFORE: usize = 40;

/// Number of new requests for each stream that is taken up.
const NEW_FOR_EACH: usize = 5;

/// Returns a configuration whose first stage has calls of [`CALL_MS`] for the pieces of one request.
fn configuration() -> String {
    let text = deployment::configuration(1, &["key-one"]);
    let mut document: serde_json::Value =
        serde_json::from_str(&text).expect("the configuration is JSON");
    let services = document["services"].as_array_mut();
    let mut services = services.expect("`services` is a list").iter_mut();
    let encode = services.find(|service| service["name"] == "encode");
    let pieces = &mut encode.expect("the service exists")["pieces"];
    pieces["batch"] = 2.into();
    pieces["call-ms"] = (CALL_MS as f64).into();
    document.to_string()
}

/// Sends `request` as a task; returns whether it was served in full.
fn send(
    deployment: &deployment::Deployment,
    request: hyper::http::request::Builder,
) -> tokio::task::JoinHandle<bool> {
    let address = deployment.daemons[0].caller_address;
    tokio::spawn(async move {
        let answer = client::send(address, request, "").await;
        answer.is_some_and(|answer| answer.status == 200 && answer.is_whole)
    })
}

fn new_request(id: &str) -> hyper::http::request::Builder {
    client::staged_request(id, &format!("{STREAM}/{id}"))
}

/// Request of a caller that has events 1 to 3 of the stream `first` and waits for 3 s.
fn take_up(first: &str) -> hyper::http::request::Builder {
    let mut request = new_request(&format!("again-{first}"))
        .header("last-event-id", "3")
        .header("resumes", first);
    let headers = request.headers_mut().expect("the request is valid");
    headers.insert("x-deadline-ms", hyper::header::HeaderValue::from(3000));
    request
}

async fn count_served(tasks: Vec<tokio::task::JoinHandle<bool>>) -> usize {
    let mut count = 0;
    for task in tasks {
        count += usize::from(task.await.expect("the task does not panic"));
    }
    count
}

/// Guards against streams whose callers hold a part of the answer, and which lose the queues of the
/// stages to requests that have not begun.
#[tokio::test(flavor = "multi_thread")]
async fn begun_streams_go_on_while_new_ones_exceed_the_capacity_of_a_stage() {
    let deployment = deployment::start_with(&["a"], 2, &configuration()).await;
    let ids: Vec<_> = (0..STREAMS)
        .map(|number| format!("begun-{number}"))
        .collect();
    for id in &ids {
        let is_served = send(&deployment, new_request(id)).await;
        assert!(is_served.expect("the task does not panic"), "`{id}`");
    }
    for number in 0..2 {
        let encode = deployment.upstream(&format!("encode-{number}"));
        encode.set_behaviour(upstream::Behaviour::Pauses(1, CALL_MS));
    }

    let (mut begun, mut resumed) = (Vec::new(), Vec::new());
    for number in 0..NEW_BEFORE + STREAMS * NEW_FOR_EACH {
        let new = send(&deployment, new_request(&format!("new-{number}")));
        if let Some(number) = number.checked_sub(NEW_BEFORE) {
            begun.push(new);
            if number.is_multiple_of(NEW_FOR_EACH) {
                resumed.push(send(&deployment, take_up(&ids[number / NEW_FOR_EACH])));
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    let begun_share = count_served(begun).await as f64 / (STREAMS * NEW_FOR_EACH) as f64;
    let resumed_share = count_served(resumed).await as f64 / STREAMS as f64;

    assert!(
        begun_share < 0.9,
        "the pool is not overloaded: {begun_share}"
    );
    assert!(
        resumed_share >= begun_share / 2.0,
        "{resumed_share} of the begun streams went on, {begun_share} of the new ones began"
    );
}
