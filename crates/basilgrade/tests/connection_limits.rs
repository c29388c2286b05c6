//! Time-outs of callers' connections.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net;

/// First and second part of a request that the daemon answers with status 200.
const PARTS: [&str; 2] = [
    "GET /safe/x HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: kept\r\n",
    "x-deadline-ms: 8000\r\nauthorization: Bearer key-one\r\n\r\n",
];

fn configuration(version: u64, keys: &[&str], header_ms: u64, idle_ms: u64) -> String {
    let text = deployment::configuration(version, keys);
    let mut document: serde_json::Value =
        serde_json::from_str(&text).expect("the configuration is JSON");
    document["limits"]["header-timeout-ms"] = header_ms.into();
    document["limits"]["idle-timeout-ms"] = idle_ms.into();
    document.to_string()
}

async fn connect(deployment: &deployment::Deployment) -> net::TcpStream {
    net::TcpStream::connect(deployment.daemons[0].caller_address)
        .await
        .expect("the daemon accepts the connection")
}

async fn send_part(stream: &mut net::TcpStream, part: &str) {
    let sent = stream.write_all(part.as_bytes()).await;
    sent.expect("the connection is open");
}

/// Reads the first bytes of an answer; empty if the connection is closed without one.
async fn read_start(stream: &mut net::TcpStream) -> String {
    let mut buffer = vec![0; 4096];
    let count = stream.read(&mut buffer).await.unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// Publishes `configuration` with the new API key `key`, and waits until it is in force.
async fn put_in_force(deployment: &deployment::Deployment, configuration: &str, key: &str) {
    deployment.publish(configuration);
    let address = deployment.daemons[0].caller_address;
    deployment::wait_until("the added API key is accepted", || async {
        let request = client::request_with_key("new", "GET", "/safe/x", key);
        let answer = client::send(address, request, "").await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
}

/// Guards against a time-out of a head that arrived while the process stood still.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_arrived_during_a_standstill_is_served() {
    let first = configuration(1, &["key-one"], 1000, 15_000);
    let deployment = deployment::start_with(&["a"], 2, &first).await;
    let mut stream = connect(&deployment).await;

    send_part(&mut stream, PARTS[0]).await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    deployment.daemons[0].signal("STOP");
    send_part(&mut stream, PARTS[1]).await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    deployment.daemons[0].signal("CONT");
    let answer = read_start(&mut stream).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against kept connections that go on under the limits which held when they were accepted.
#[tokio::test(flavor = "multi_thread")]
async fn raised_limits_apply_to_connections_that_are_open() {
    let first = configuration(1, &["key-one"], 800, 1000);
    let deployment = deployment::start_with(&["a"], 2, &first).await;
    let mut slow = connect(&deployment).await;
    let mut idle = connect(&deployment).await;
    for stream in [&mut slow, &mut idle] {
        send_part(stream, &PARTS.concat()).await;
        let answer = read_start(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }

    let second = configuration(2, &["key-one", "key-two"], 60_000, 60_000);
    put_in_force(&deployment, &second, "key-two").await;
    send_part(&mut slow, PARTS[0]).await;
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    send_part(&mut slow, PARTS[1]).await;
    let slow_answer = read_start(&mut slow).await;
    send_part(&mut idle, &PARTS.concat()).await;
    let idle_answer = read_start(&mut idle).await;

    assert!(slow_answer.starts_with("HTTP/1.1 200"), "{slow_answer:?}");
    assert!(idle_answer.starts_with("HTTP/1.1 200"), "{idle_answer:?}");
}

/// Guards against idle connections that are never closed.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_closed() {
    let first = configuration(1, &["key-one"], 3000, 200);
    let deployment = deployment::start_with(&["a"], 2, &first).await;
    let mut fresh = connect(&deployment).await;
    let mut used = connect(&deployment).await;
    send_part(&mut used, &PARTS.concat()).await;
    let answer = read_start(&mut used).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");

    for stream in [&mut fresh, &mut used] {
        let closing = tokio::time::timeout(time::Duration::from_secs(30), read_start(stream));
        let rest = closing.await.expect("the connection is closed");
        assert_eq!(rest, "");
    }
}
