//! Benchmark of token streams through the daemon against direct streams from the same engine.

use std::fmt::Write;
use std::net;
use std::time;

use basilgrade_standins::engine;
use basilgrade_types::clock;
use bytes::Bytes;
use http_body_util::BodyExt;

use crate::cpu_time;
use crate::load;
use crate::setup;

const STREAMS: usize = 40;
const TOKEN_COUNT: usize = 400;

/// Interval between the engine's tokens in the latency measurement.
const TOKEN_INTERVAL: clock::Millis = clock::Millis(10);

/// Results of one run.
struct Measured {
    /// Tokens per second.
    rate: f64,
    /// CPU time per token over the whole process, in microseconds.
    cpu: f64,
    /// 95th and 99th percentile of the gaps between chunks, in milliseconds.
    gaps: (f64, f64),
}

/// Measures the maximum rate with an engine that sends tokens without delay, then the gaps with one
/// that sends a token per interval.
pub(crate) async fn run() {
    println!("tokens            rate_per_s        cpu_us  gap_p95_ms  gap_p99_ms");
    for token_interval in [clock::Millis::ZERO, TOKEN_INTERVAL] {
        let options = engine::Options {
            token_interval,
            models: vec!["m".to_owned()],
            ..engine::Options::default()
        };
        let upstream = engine::start(options)
            .await
            .expect("expected the stand-in engine to start");
        let daemon = setup::daemon(&configuration(upstream.server.address), "a").await;
        let direct = measure(upstream.server.address, Path::Direct).await;
        let via_daemon = measure(daemon, Path::Daemon).await;
        report("direct", token_interval, &direct);
        report("daemon", token_interval, &via_daemon);
        println!(
            "  added CPU time {:.2} us per token ({:.0} tokens/s per core); added gap {:.2} ms at p95, {:.2} ms at p99",
            via_daemon.cpu - direct.cpu,
            1e6 / (via_daemon.cpu - direct.cpu),
            via_daemon.gaps.0 - direct.gaps.0,
            via_daemon.gaps.1 - direct.gaps.1,
        );
    }
}

fn report(name: &str, interval: clock::Millis, measured: &Measured) {
    println!(
        "{name}/{interval:<10} {:>11.0} {:>13.2} {:>11.2} {:>11.2}",
        measured.rate, measured.cpu, measured.gaps.0, measured.gaps.1
    );
}

#[derive(Clone, Copy)]
enum Path {
    Daemon,
    Direct,
}

async fn measure(address: net::SocketAddr, path: Path) -> Measured {
    let started = time::Instant::now();
    let before = cpu_time::seconds();
    let tasks: Vec<_> = (0..STREAMS)
        .map(|index| tokio::spawn(stream(address, path, index)))
        .collect();
    let mut gaps = Vec::new();
    for task in tasks {
        gaps.extend(task.await.expect("expected the stream task to finish"));
    }
    let elapsed = started.elapsed().as_secs_f64();
    let total = (STREAMS * TOKEN_COUNT) as f64;
    gaps.sort_by(f64::total_cmp);
    Measured {
        rate: total / elapsed,
        cpu: (cpu_time::seconds() - before) * 1e6 / total,
        gaps: (gaps[gaps.len() * 95 / 100], gaps[gaps.len() * 99 / 100]),
    }
}

/// Reads one stream and returns the gaps between its chunks, in milliseconds.
async fn stream(address: net::SocketAddr, path: Path, index: usize) -> Vec<f64> {
    let mut sender = load::connect(address).await;
    let response = sender
        .send_request(request(path, index))
        .await
        .expect("expected a response");
    assert!(response.status().is_success(), "{}", response.status());
    let mut body = response.into_body();
    let mut gaps = Vec::with_capacity(TOKEN_COUNT);
    let mut last = time::Instant::now();
    let mut tokens = 0;
    while let Some(frame) = body.frame().await {
        let data = frame
            .expect("expected the next frame of the stream")
            .into_data();
        let data = data.unwrap_or_default();
        tokens += data.windows(8).filter(|part| part == b"\"token\":").count();
        gaps.push(last.elapsed().as_secs_f64() * 1000.0);
        last = time::Instant::now();
    }
    assert_eq!(tokens, TOKEN_COUNT, "expected a complete stream");
    gaps.remove(0);
    gaps
}

fn request(path: Path, index: usize) -> hyper::Request<http_body_util::Full<Bytes>> {
    let builder = match path {
        Path::Daemon => hyper::Request::post("/v1/pipelines/p")
            .header("basilgrade-customer", "c")
            .header("accept", "text/event-stream"),
        Path::Direct => hyper::Request::post("/v1/completions")
            .header("basilgrade-request-id", uuid::Uuid::now_v7().to_string())
            .header("basilgrade-stage", "answer")
            .header("basilgrade-attempt", "0"),
    };
    let prompt = format!("prompt {index}");
    let body = match path {
        Path::Daemon => prompt,
        Path::Direct => serde_json::json!({
            "prompt": prompt, "model": "m", "max_tokens": TOKEN_COUNT, "offset": 0, "priority": 0
        })
        .to_string(),
    };
    builder
        .header("host", "bench")
        .body(http_body_util::Full::new(Bytes::from(body)))
        .expect("expected a valid request")
}

fn configuration(address: net::SocketAddr) -> String {
    let mut text = setup::common_sections();
    let _ = writeln!(
        text,
        "[pool e]\nkind = engine\nfencing = checked\nprice = 1\n\
         [pipeline p]\ndeadline = 60s\nstages = answer\n\
         [stage p answer]\npool = e\nidempotency = idempotent\nmodel = m\ntokens = {TOKEN_COUNT}\n\
         [upstream e1]\npool = e\ndomain = a\naddress = {address}\ncapacity = 1000"
    );
    text
}
