//! Upstreams that send an answer a second time, late, on a connection that is in use again.

mod edge_support;

use std::net;
use std::sync;
use std::sync::atomic;

use edge_support::client;
use edge_support::deployment;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Reads a request with a body of known length; `None` at the end of the connection.
async fn read_body(stream: &mut tokio::net::TcpStream) -> Option<serde_json::Value> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length?.parse().ok()?;
            if body.len() == length {
                return serde_json::from_str(body).ok();
            }
        }
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Answer to a call for the pieces of `call`, or to a release of results.
fn answer_to(call: &serde_json::Value, address: net::SocketAddr) -> String {
    let items = call["items"].as_array().cloned().unwrap_or_default();
    let items = items.iter().map(|item| {
        let id = item["id"].as_str().unwrap_or_default();
        serde_json::json!({"handle": format!("{address}/{id}.{}", item["piece"])})
    });
    let items: Vec<_> = items.collect();
    let body = serde_json::json!({"items": items}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Answers the calls on one connection; from the second one on, the answer to the call before comes
/// first.
async fn serve(
    mut stream: tokio::net::TcpStream,
    address: net::SocketAddr,
    calls: &atomic::AtomicUsize,
) {
    let mut before = String::new();
    while let Some(call) = read_body(&mut stream).await {
        calls.fetch_add(1, atomic::Ordering::Relaxed);
        let answer = answer_to(&call, address);
        let bytes = std::mem::replace(&mut before, answer.clone()) + &answer;
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Starts an upstream that sends late copies; returns its address and the number of calls to it.
async fn start_copier() -> (net::SocketAddr, sync::Arc<atomic::AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let calls = sync::Arc::<atomic::AtomicUsize>::default();
    let count = sync::Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = sync::Arc::clone(&count);
            tokio::spawn(async move { serve(stream, address, &count).await });
        }
    });
    (address, calls)
}

/// Guards against stage results of one request that are given to the next one.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_stage_answer_is_not_taken_for_the_next_one() {
    let configuration = deployment::configuration(1, &["key-one"]);
    let deployment = deployment::start_with(&["a"], 1, &configuration).await;
    let (address, calls) = start_copier().await;
    let entry = serde_json::json!({"service": "encode", "address": address, "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "sequence": 1});
    deployment
        .store
        .put("keyed.servers", "copier", &entry.to_string());
    deployment.register("encode", 0, "draining");
    let caller_address = deployment.daemons[0].caller_address;
    let number = atomic::AtomicUsize::new(0);
    deployment::wait_until("the daemon uses the copying upstream", || async {
        let id = format!("first-{}", number.fetch_add(1, atomic::Ordering::Relaxed));
        client::send(caller_address, client::staged_request(&id, "/stream/x"), "").await;
        calls.load(atomic::Ordering::Relaxed) > 0
    })
    .await;

    for number in 0..4 {
        let request = client::staged_request(&format!("next-{number}"), "/stream/x");
        let answer = client::send(caller_address, request, "").await;
        assert_eq!(answer.expect("the daemon answers").status, 200);
    }

    let calls = deployment.upstream("rank-0").runs();
    let calls = calls
        .iter()
        .filter_map(|run| serde_json::from_slice::<serde_json::Value>(&run.body).ok());
    let items: Vec<_> = calls
        .flat_map(|call| call["items"].as_array().cloned().unwrap_or_default())
        .collect();
    assert!(items.iter().any(|item| item["id"] == "next-3"));
    for item in &items {
        let id = item["id"].as_str().expect("an item names its request");
        for input in item["inputs"].as_array().into_iter().flatten() {
            let input = input.as_str().expect("a handle is a text");
            let (_, name) = input.split_once('/').expect("a handle has a name");
            assert!(name.starts_with(&format!("{id}.")), "`{input}` for `{id}`");
        }
    }
}
