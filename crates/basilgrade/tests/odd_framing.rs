//! Messages whose framing is valid but unusual.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::raw_upstream;

/// Answers with one event, which break right after it: within a chunk, by a chunk that is none, or
/// before the length that they state.
const BROKEN_STREAMS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nx-attempt-id: one\r\nx-engine-signature: raw\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     15\r\nid: 1\ndata: first 1\n\n\r\n9\r\nid: 2\nda",
    "HTTP/1.1 200 OK\r\nx-attempt-id: one\r\nx-engine-signature: raw\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     15\r\nid: 1\ndata: first 1\n\n\r\nno chunk\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: one\r\nx-engine-signature: raw\r\n\
     content-type: text/event-stream\r\ncontent-length: 60\r\n\r\n\
     id: 1\ndata: first 1\n\n",
];

/// Sends a request for `path` to the upstream of `pool` that answers with `bytes`.
async fn answer_to(bytes: &'static str, pool: &str, path: &str) -> client::Answer {
    let deployment = deployment::start_with(&["a"], 0, &deployment::without_stages()).await;
    let raw = raw_upstream::RawUpstream::start(bytes).await;
    raw.register(&deployment, pool);
    let address = deployment.daemons[0].caller_address;
    loop {
        let request = client::request("one", "POST", path);
        let answer = client::send(address, request, "").await;
        let answer = answer.expect("the daemon answers");
        // The daemon does not know the upstream yet.
        if answer.status != 503 {
            return answer;
        }
        tokio::time::sleep(time::Duration::from_millis(25)).await;
    }
}

/// Guards against an answer without a head for a stream that breaks in the read of its first event.
#[tokio::test(flavor = "multi_thread")]
async fn first_event_reaches_the_caller_of_a_stream_that_breaks_at_once() {
    for bytes in BROKEN_STREAMS {
        for path in ["/stream/x", "/stream-resumable/x"] {
            let answer = answer_to(bytes, "engine", path).await;

            assert_eq!(answer.status, 200, "{path}: {answer:?}");
            assert!(!answer.is_whole, "{path}: {answer:?}");
            assert_eq!(answer.body, "id: 1\ndata: first 1\n\n", "{path}");
        }
    }
}

/// Guards against a success that reaches the caller without its signature.
#[tokio::test(flavor = "multi_thread")]
async fn signature_listed_as_a_connection_option_is_forwarded() {
    let bytes = "HTTP/1.1 200 OK\r\nx-attempt-id: one\r\nx-engine-signature: raw\r\n\
                 connection: close, x-engine-signature\r\ncontent-length: 4\r\n\r\ndone";

    let answer = answer_to(bytes, "desk", "/once/x").await;

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.headers["x-engine-signature"], "raw");
}
