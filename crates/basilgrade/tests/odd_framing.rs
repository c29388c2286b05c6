//! Messages whose framing is valid but unusual.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::raw_upstream;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

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

/// Guards against an answer that the caller takes for whole although its body is still encoded.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_second_transfer_coding_is_not_forwarded() {
    let bytes = "HTTP/1.1 200 OK\r\nx-attempt-id: one\r\nx-engine-signature: raw\r\n\
                 transfer-encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";

    let answer = answer_to(bytes, "desk", "/once/x").await;

    assert_eq!(answer.status, 502, "{answer:?}");
}

/// Guards against a request that runs with an encoded body, whose coding its upstream is not told.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_a_second_transfer_coding_is_rejected() {
    let deployment = deployment::start_with(&["a"], 1, &deployment::without_stages()).await;
    for (coding, status) in [("chunked", "200"), ("Gzip, Chunked", "501")] {
        let address = deployment.daemons[0].caller_address;
        let mut stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("the daemon listens");
        let request = format!(
            "POST /once/x HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: {coding}\r\n\
             authorization: Bearer key-one\r\ntransfer-encoding: {coding}\r\nconnection: close\r\n\
             \r\n4\r\ndone\r\n0\r\n\r\n"
        );
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the daemon reads");
        let mut answer = String::new();

        let read = stream.read_to_string(&mut answer).await;

        read.expect("the daemon answers");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert_eq!(deployment.count_runs(coding), usize::from(status == "200"));
    }
}
