//! Callers with kept connections.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::cpu_time;

/// What a run measured.
pub(crate) struct Measured {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Median and 99th percentile of the latency, in microseconds.
    pub(crate) latency: (f64, f64),
    /// Processor time a request over the whole process, in microseconds.
    pub(crate) cpu: f64,
}

/// A request that can be built again and again.
pub(crate) type Build =
    sync::Arc<dyn Fn() -> hyper::Request<http_body_util::Full<Bytes>> + Send + Sync>;

/// Opens a connection.
pub(crate) async fn connect(
    address: net::SocketAddr,
) -> http1::SendRequest<http_body_util::Full<Bytes>> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the stand-in listens");
    stream.set_nodelay(true).expect("the socket is open");
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .expect("the handshake succeeds");
    tokio::spawn(connection);
    sender
}

/// Sends `count` requests over each of `connections` connections.
pub(crate) async fn run(
    address: net::SocketAddr,
    connections: usize,
    count: usize,
    build: Build,
) -> Measured {
    let started = time::Instant::now();
    let before = cpu_time::seconds();
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            let build = sync::Arc::clone(&build);
            tokio::spawn(async move {
                let mut sender = connect(address).await;
                let mut spent = Vec::with_capacity(count);
                for _ in 0..count {
                    let start = time::Instant::now();
                    sender.ready().await.expect("the connection is open");
                    let response = sender
                        .send_request(build())
                        .await
                        .expect("an answer arrives");
                    assert!(response.status().is_success(), "{}", response.status());
                    response.collect().await.expect("the answer is whole");
                    spent.push(start.elapsed().as_nanos() as f64 / 1000.0);
                }
                spent
            })
        })
        .collect();
    let mut spent = Vec::new();
    for task in tasks {
        spent.extend(task.await.expect("a caller ends"));
    }
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = cpu_time::seconds() - before;
    spent.sort_by(f64::total_cmp);
    let total = spent.len();
    Measured {
        rate: total as f64 / elapsed,
        latency: (spent[total / 2], spent[total * 99 / 100]),
        cpu: cpu * 1e6 / total as f64,
    }
}
