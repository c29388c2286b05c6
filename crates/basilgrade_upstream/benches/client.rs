//! Throughput of calls and token streams through the client, compared with a plain `hyper` loop.
//!
//! The client runs on one thread, the stand-ins on others. Rates are per second of CPU time of the
//! client thread, so that they do not depend on the load of the machine. Baseline and client
//! alternate in the same run; the reported ratio is the median over the rounds.

use std::fs;
use std::net;
use std::sync::mpsc;
use std::thread;
use std::time;

use basilgrade_standins::engine;
use basilgrade_standins::pool;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::request;
use basilgrade_types::size;
use basilgrade_upstream::call;
use basilgrade_upstream::client;
use basilgrade_upstream::upstream::Upstream;
use bytes::Bytes;
use futures::StreamExt;
use futures::future;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;

const ROUNDS: usize = 5;
const WORKERS: u64 = 16;
const CALLS: u64 = 1000;
const STREAMS: u64 = 256;

/// Parameters of a streaming benchmark. An engine with an interval sends each token separately, as
/// real engines do. With interval 0, tokens arrive as fast as possible and several per read.
struct StreamMode {
    name: &'static str,
    interval: clock::Millis,
    tokens: u64,
}

fn main() {
    // `cargo test --all-targets` also runs benchmarks; one round is enough to test them.
    let rounds = if std::env::args().any(|argument| argument == "--bench") {
        ROUNDS
    } else {
        1
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("expected a tokio runtime");
    let address = serve(|| async {
        let server = pool::start().await.expect("expected a free port");
        (server.address, server)
    });
    compare(
        "calls",
        rounds,
        || rate(&runtime, plain_calls(address)),
        || rate(&runtime, client_calls(address)),
    );
    let modes = [
        StreamMode {
            name: "tokens paced",
            interval: clock::Millis(5),
            tokens: 200,
        },
        StreamMode {
            name: "tokens unpaced",
            interval: clock::Millis::ZERO,
            tokens: 1000,
        },
    ];
    for mode in modes {
        let options = engine::Options {
            max_running: STREAMS as usize,
            token_interval: mode.interval,
            ..engine::Options::default()
        };
        let address = serve(|| async {
            let engine = engine::start(options).await.expect("expected a free port");
            (engine.server.address, engine)
        });
        compare(
            mode.name,
            rounds,
            || rate(&runtime, plain_streams(address, mode.tokens)),
            || rate(&runtime, client_streams(address, mode.tokens)),
        );
    }
}

/// Runs a stand-in on separate threads until the process ends. Returns its address.
fn serve<F, R, S>(start: F) -> net::SocketAddr
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = (net::SocketAddr, S)>,
{
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(3)
            .enable_all()
            .build()
            .expect("expected a tokio runtime");
        runtime.block_on(async {
            let (address, server) = start().await;
            sender
                .send(address)
                .expect("expected the receiver to be alive");
            future::pending::<()>().await;
            drop(server);
        });
    });
    receiver
        .recv()
        .expect("expected the address of the stand-in")
}

fn compare(
    name: &str,
    rounds: usize,
    mut plain: impl FnMut() -> f64,
    mut client: impl FnMut() -> f64,
) {
    let mut pairs: Vec<(f64, f64)> = (0..rounds).map(|_| (plain(), client())).collect();
    pairs.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let ratio = |pair: &(f64, f64)| pair.1 / pair.0;
    let (plain, client) = pairs[rounds / 2];
    println!(
        "{name}: client {client:.0}/s, plain {plain:.0}/s per core, ratio {:.2} ({:.2} to {:.2})",
        client / plain,
        ratio(&pairs[0]),
        ratio(&pairs[rounds - 1]),
    );
}

/// Runs `work`, which returns the number of completed operations. Returns operations per second of
/// CPU time.
fn rate(runtime: &tokio::runtime::Runtime, work: impl Future<Output = u64>) -> f64 {
    let start = thread_cpu_time();
    let done = runtime.block_on(work);
    done as f64 / thread_cpu_time().saturating_sub(start).as_secs_f64()
}

/// CPU time that the current thread has used.
fn thread_cpu_time() -> time::Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat")
        .expect("expected `/proc/thread-self/schedstat`; run on Linux with scheduler statistics");
    let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
    time::Duration::from_nanos(nanos.expect("expected the CPU time in nanoseconds"))
}

fn call(address: net::SocketAddr) -> call::Call {
    call::Call {
        address,
        method: hyper::Method::POST,
        path: "/run".to_owned(),
        headers: hyper::HeaderMap::new(),
        body: Bytes::from_static(&[b'x'; 1024]),
        request: request::RequestId::mint(),
        stage: "rerank".parse().expect("expected a valid stage name"),
        attempt: attempt::Attempt(0),
        key: None,
        time_left: clock::Millis::from_secs(60),
        echo: call::Echo::Required,
    }
}

async fn connect(address: net::SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("expected a connection");
    stream
        .set_nodelay(true)
        .expect("expected to set `TCP_NODELAY`");
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .expect("expected an HTTP handshake");
    tokio::spawn(connection);
    sender
}

fn plain_request(path: &str, body: Bytes) -> hyper::Request<Full<Bytes>> {
    hyper::Request::post(path)
        .header("host", "localhost")
        .body(Full::new(body))
        .expect("expected a valid request")
}

async fn plain_calls(address: net::SocketAddr) -> u64 {
    let workers = (0..WORKERS).map(|_| async {
        let mut sender = connect(address).await;
        for _ in 0..CALLS {
            sender.ready().await.expect("expected a connection");
            let request = plain_request("/run", Bytes::from_static(&[b'x'; 1024]));
            let response = sender
                .send_request(request)
                .await
                .expect("expected a response");
            response
                .into_body()
                .collect()
                .await
                .expect("expected a body");
        }
        CALLS
    });
    future::join_all(workers).await.iter().sum()
}

async fn client_calls(address: net::SocketAddr) -> u64 {
    let client = client::HttpUpstream::default();
    let call = call(address);
    let workers = (0..WORKERS).map(|_| async {
        for _ in 0..CALLS {
            client
                .call(call.clone())
                .await
                .expect("expected a response");
        }
        CALLS
    });
    future::join_all(workers).await.iter().sum()
}

async fn plain_streams(address: net::SocketAddr, tokens: u64) -> u64 {
    let body = format!("{{\"prompt\":\"p\",\"max_tokens\":{tokens}}}");
    let streams = (0..STREAMS).map(|_| async {
        let mut sender = connect(address).await;
        let request = plain_request("/v1/completions", body.clone().into());
        let response = sender
            .send_request(request)
            .await
            .expect("expected a response");
        let mut body = response.into_body();
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            bytes += frame
                .expect("expected a body frame")
                .data_ref()
                .map_or(0, |data| data.len() as u64);
        }
        assert!(bytes > tokens);
        tokens
    });
    future::join_all(streams).await.iter().sum()
}

async fn client_streams(address: net::SocketAddr, tokens: u64) -> u64 {
    let client = client::HttpUpstream::default();
    let streams = (0..STREAMS).map(|_| async {
        let generation = call::Generation {
            call: call(address),
            model: None,
            prompt: "p".to_owned(),
            max_tokens: size::TokenCount(tokens),
            offset: size::TokenCount(0),
            received: Vec::new(),
            priority: 0,
        };
        let count = client
            .generate(generation)
            .map(|token| token.expect("expected a token"))
            .count()
            .await;
        assert_eq!(count as u64, tokens);
        tokens
    });
    future::join_all(streams).await.iter().sum()
}
