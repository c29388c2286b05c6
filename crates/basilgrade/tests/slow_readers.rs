//! Callers that read their answers slowly.

mod edge_support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use edge_support::deployment;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Size of the data of an event.
const EVENT_BYTES: usize = 8 << 10;

/// Receive buffer of a caller, so that few bytes are on their way.
const RECEIVE_BUFFER: u32 = 4 << 10;

/// Answers one request with `count` events as fast as they are taken; `true` if all were taken.
async fn stream_events(mut stream: tokio::net::TcpStream, count: u64) -> bool {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return true;
        }
    }
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: slow\r\n\
                x-engine-signature: raw\r\n\r\n";
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let data = "x".repeat(EVENT_BYTES);
    for number in 1..=count {
        let event = format!("id: {number}\ndata: {data}\n\n");
        if stream.write_all(event.as_bytes()).await.is_err() {
            return false;
        }
    }
    stream.shutdown().await.is_ok()
}

/// Starts an engine that answers with `count` events; returns its address and the number of answers
/// that its caller has cut.
async fn start_engine(count: u64) -> (net::SocketAddr, sync::Arc<atomic::AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let cuts = sync::Arc::<atomic::AtomicUsize>::default();
    let counted = sync::Arc::clone(&cuts);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = sync::Arc::clone(&counted);
            tokio::spawn(async move {
                if !stream_events(stream, count).await {
                    counted.fetch_add(1, atomic::Ordering::Relaxed);
                }
            });
        }
    });
    (address, cuts)
}

/// Starts a daemon in front of an engine that answers with `count` events.
async fn start(count: u64) -> (deployment::Deployment, sync::Arc<atomic::AtomicUsize>) {
    let deployment = deployment::start_with(&["a"], 0, &deployment::without_stages()).await;
    let (address, cuts) = start_engine(count).await;
    let entry = serde_json::json!({"service": "engine", "address": address, "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "sequence": 1});
    deployment
        .store
        .put("keyed.servers", "raw-0", &entry.to_string());
    (deployment, cuts)
}

/// Sends a request with `deadline_ms` until it is served; returns the connection, of whose answer the
/// first bytes were read.
async fn begin(deployment: &deployment::Deployment, deadline_ms: u64) -> tokio::net::TcpStream {
    loop {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket can be made");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .expect("the buffer can be set");
        let address = deployment.daemons[0].caller_address;
        let stream = socket.connect(address).await;
        let mut stream = stream.expect("the daemon accepts the connection");
        let head = format!(
            "POST /stream/x HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: slow\r\n\
             x-deadline-ms: {deadline_ms}\r\nx-model: m\r\nx-token-usage: 1000,50\r\n\
             authorization: Bearer key-one\r\ncontent-length: 0\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the request head can be sent");
        let mut start = [0; 12];
        stream
            .read_exact(&mut start)
            .await
            .expect("the daemon answers");
        // Until the daemon knows the engine, it refuses the request.
        if start.ends_with(b"200") {
            return stream;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against answers that never end, and hold their engine, as their caller reads a few bytes
/// now and then.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_its_caller_hardly_reads_ends_after_the_deadline() {
    let (deployment, cuts) = start(u64::MAX).await;
    let mut stream = begin(&deployment, 2000).await;
    tokio::spawn(async move {
        let mut part = vec![0; 64 << 10];
        while stream.read(&mut part).await.is_ok_and(|count| count > 0) {
            tokio::time::sleep(time::Duration::from_secs(2)).await;
        }
    });

    deployment::wait_until("the engine is released", || async {
        cuts.load(atomic::Ordering::Relaxed) > 0
    })
    .await;

    assert!(deployment.is_ready(0).await);
}

/// Guards against sound answers that are cut because their caller reads them slowly.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_its_caller_reads_slowly_is_whole() {
    const EVENTS: u64 = 200;
    let (deployment, cuts) = start(EVENTS).await;
    let mut stream = begin(&deployment, 8000).await;

    let mut body = Vec::new();
    let mut part = vec![0; 32 << 10];
    while !body.ends_with(b"0\r\n\r\n") {
        let count = stream.read(&mut part).await.expect("the answer goes on");
        assert!(count > 0, "the answer was cut after {} bytes", body.len());
        body.extend_from_slice(&part[..count]);
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }

    let text = String::from_utf8_lossy(&body);
    assert!(text.contains(&format!("id: {EVENTS}\n")));
    assert_eq!(cuts.load(atomic::Ordering::Relaxed), 0);
}
