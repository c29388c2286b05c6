//! Rejections of requests whose bodies have not arrived yet.

mod edge_support;

use std::time;

use edge_support::deployment;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net;

/// A complete request that the daemon answers with status 200.
const GOOD_REQUEST: &str = "GET /safe/x HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: good\r\n\
                            x-deadline-ms: 8000\r\nauthorization: Bearer key-one\r\n\r\n";

async fn connect(deployment: &deployment::Deployment) -> net::TcpStream {
    net::TcpStream::connect(deployment.daemons[0].caller_address)
        .await
        .expect("the daemon accepts the connection")
}

fn head(path: &str, key: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: bad\r\n\
         x-deadline-ms: 8000\r\nauthorization: Bearer {key}\r\n{framing}\r\n\r\n"
    )
}

/// Reads one answer and returns its head in lower case; the connection stays usable.
///
/// The bodies of all answers in these tests come in chunks.
async fn read_answer(stream: &mut net::TcpStream) -> String {
    let head = read_until(stream, "\r\n\r\n").await;
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    read_until(stream, "0\r\n\r\n").await;
    head
}

async fn read_until(stream: &mut net::TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        text.push(stream.read_u8().await.expect("the answer is whole"));
    }
    String::from_utf8_lossy(&text).to_ascii_lowercase()
}

/// Guards against a rejection that closes a kept connection whose body was not read.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_request_with_a_late_body_keeps_its_connection() {
    let deployment = deployment::start(&["a"]).await;
    let chunked = [
        "5\r\nfirst\r\n",
        "6\r\nsecond\r\n",
        "5\r\nthird\r\n0\r\n\r\n",
    ];
    let sized = ["first", "second", "third"];
    let cases = [
        (
            "/none/x",
            "key-one",
            "transfer-encoding: chunked",
            chunked,
            "404",
        ),
        (
            "/once/x",
            "key-none",
            "transfer-encoding: chunked",
            chunked,
            "401",
        ),
        ("/none/x", "key-one", "content-length: 16", sized, "404"),
    ];
    for (path, key, framing, parts, status) in cases {
        let mut stream = connect(&deployment).await;

        let head = head(path, key, framing);
        let parts = std::iter::once(head.as_str()).chain(parts);
        for part in parts {
            stream
                .write_all(part.as_bytes())
                .await
                .expect("the daemon reads on");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        let rejection = read_answer(&mut stream).await;
        stream
            .write_all(GOOD_REQUEST.as_bytes())
            .await
            .expect("the daemon reads on");
        let answer = read_answer(&mut stream).await;

        let status = format!("http/1.1 {status}");
        assert!(rejection.starts_with(&status), "{path} {key}: {rejection}");
        assert!(!rejection.contains("connection: close"), "{rejection}");
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
    }
    assert_eq!(deployment.count_runs("bad"), 0);
}

/// Guards against a reset that overtakes the answer to a request whose body is too large to be read.
#[tokio::test(flavor = "multi_thread")]
async fn caller_gets_the_rejection_of_a_body_beyond_the_limit() {
    let deployment = deployment::start(&["a"]).await;
    let body = vec![b'x'; 4 << 20];
    for (path, status) in [("/none/x", "404"), ("/once/x", "413")] {
        let mut stream = connect(&deployment).await;

        let framing = format!("content-length: {}", body.len());
        let head = head(path, "key-one", &framing);
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the daemon reads the head");
        for part in body.chunks(64 << 10) {
            stream.write_all(part).await.expect("the daemon reads on");
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        let rejection = read_answer(&mut stream).await;

        let status = format!("http/1.1 {status}");
        assert!(rejection.starts_with(&status), "{path}: {rejection}");
        assert!(rejection.contains("connection: close"), "{rejection}");
    }
}

/// Guards against a rejection that waits for a body which the caller holds back until it is asked.
#[tokio::test(flavor = "multi_thread")]
async fn rejection_does_not_ask_for_a_body_that_is_held_back() {
    let deployment = deployment::start(&["a"]).await;
    let mut stream = connect(&deployment).await;

    let framing = "content-length: 16\r\nexpect: 100-continue";
    let head = head("/none/x", "key-one", framing);
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the daemon reads the head");
    let rejection = read_answer(&mut stream).await;

    assert!(rejection.starts_with("http/1.1 404"), "{rejection}");
    assert!(rejection.contains("connection: close"), "{rejection}");
}
