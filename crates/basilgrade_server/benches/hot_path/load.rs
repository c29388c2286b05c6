//! Load generator with keep-alive connections.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::cpu_time;

/// Results of one run.
pub(crate) struct Measured {
    /// Requests per second.
    pub(crate) rate: f64,
    /// Median and 99th percentile of the latency, in microseconds.
    pub(crate) latency: (f64, f64),
    /// CPU time per request over the whole process, in microseconds.
    pub(crate) cpu: f64,
}

/// Builds a new copy of the request to send.
pub(crate) type RequestBuilder =
    sync::Arc<dyn Fn() -> hyper::Request<http_body_util::Full<Bytes>> + Send + Sync>;

/// Opens a connection.
pub(crate) async fn connect(
    address: net::SocketAddr,
) -> http1::SendRequest<http_body_util::Full<Bytes>> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("expected the server to accept connections");
    stream.set_nodelay(true).expect("expected an open socket");
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .expect("expected the HTTP handshake to succeed");
    tokio::spawn(connection);
    sender
}

/// Sends `count` requests over each of `connections` connections.
pub(crate) async fn run(
    address: net::SocketAddr,
    connections: usize,
    count: usize,
    build_request: RequestBuilder,
) -> Measured {
    let started = time::Instant::now();
    let before = cpu_time::seconds();
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            let build_request = sync::Arc::clone(&build_request);
            tokio::spawn(async move {
                let mut sender = connect(address).await;
                let mut latencies = Vec::with_capacity(count);
                for _ in 0..count {
                    let start = time::Instant::now();
                    sender.ready().await.expect("expected an open connection");
                    let response = sender
                        .send_request(build_request())
                        .await
                        .expect("expected a response");
                    assert!(response.status().is_success(), "{}", response.status());
                    response
                        .collect()
                        .await
                        .expect("expected a complete response body");
                    latencies.push(start.elapsed().as_nanos() as f64 / 1000.0);
                }
                latencies
            })
        })
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("expected the load task to finish"));
    }
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = cpu_time::seconds() - before;
    latencies.sort_by(f64::total_cmp);
    let total = latencies.len();
    Measured {
        rate: total as f64 / elapsed,
        latency: (latencies[total / 2], latencies[total * 99 / 100]),
        cpu: cpu * 1e6 / total as f64,
    }
}
