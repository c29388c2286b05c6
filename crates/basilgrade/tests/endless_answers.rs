//! Upstreams that send bytes without end.

mod edge_support;

use std::sync::atomic;

use edge_support::client;
use edge_support::deployment;
use edge_support::endless_upstream;

/// Number of bytes that a daemon may read of an answer, with ample buffers of the sockets.
const MAX_READ: u64 = 24 << 20;

/// Sends a request for `path` to a daemon whose only upstream is `upstream`; checks that the daemon
/// closes the connection early, reports a failure and still serves.
async fn check_is_cut(upstream: endless_upstream::EndlessUpstream, pool: &str, path: &str) {
    let deployment = deployment::start_with(&["a"], 0, &deployment::without_stages()).await;
    upstream.register(&deployment, pool, 0);
    let address = deployment.daemons[0].caller_address;
    let mut number = 0;
    let status = loop {
        let request = client::request(&format!("endless-{number}"), "POST", path)
            .header("x-model", "m")
            .header("x-token-usage", "1000,50");
        let answer = client::send(address, request, "").await;
        // Until the daemon knows the upstream, it refuses the request.
        match answer.map(|answer| answer.status) {
            Some(503) if upstream.sent.load(atomic::Ordering::Relaxed) == 0 => number += 1,
            status => break status,
        }
    };

    assert_eq!(status, Some(502));
    deployment::wait_until("the daemon closes the connection", || async {
        upstream.closed.load(atomic::Ordering::Relaxed) > 0
    })
    .await;
    let sent = upstream.sent.load(atomic::Ordering::Relaxed);
    assert!(sent < MAX_READ, "the daemon read about {sent} bytes");
    assert!(deployment.is_ready(0).await);
}

/// Guards against a daemon that reads a head without end.
#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_cut() {
    let upstream =
        endless_upstream::EndlessUpstream::start("HTTP/1.1 200 OK\r\n", "x-more: yyyyyyyy\r\n")
            .await;
    check_is_cut(upstream, "desk", "/once/charge").await;
}

/// Guards against a daemon that reads bytes without end that are not HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_a_line_end_are_cut() {
    let upstream = endless_upstream::EndlessUpstream::start("", "zzzzzzzz").await;
    check_is_cut(upstream, "desk", "/once/charge").await;
}

/// Guards against a daemon that buffers a body without end.
#[tokio::test(flavor = "multi_thread")]
async fn body_without_end_is_cut() {
    let start = "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\n\r\n";
    let upstream = endless_upstream::EndlessUpstream::start(start, "zzzzzzzz").await;
    check_is_cut(upstream, "desk", "/once/charge").await;
}

/// Guards against a daemon that buffers an event without end.
#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_is_cut() {
    let start = "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\n\r\nid: 1\ndata: ";
    let upstream = endless_upstream::EndlessUpstream::start(start, "zzzzzzzz").await;
    check_is_cut(upstream, "engine", "/stream/plan").await;
}
