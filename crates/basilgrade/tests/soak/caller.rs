//! Callers that keep their connections.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::RngExt as _;

use crate::client;
use crate::record;
use crate::world;

/// The deadline that callers state.
const DEADLINE: time::Duration = time::Duration::from_secs(3);

/// A caller gives up after this time.
const PATIENCE: time::Duration = time::Duration::from_secs(6);

/// Number of the next request.
static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(address: std::net::SocketAddr) -> Option<Sender> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn draw(version: u64) -> record::Kind {
    match rand::rng().random_range(0..12) {
        0..=3 => record::Kind::Once,
        4 => record::Kind::Safe,
        5 | 6 => record::Kind::Stream,
        7 | 8 => record::Kind::Resumable,
        // The version in force, or one of those before.
        _ => record::Kind::Probe(
            version
                .saturating_sub(rand::rng().random_range(0..5))
                .max(1),
        ),
    }
}

fn message(id: &str, kind: record::Kind) -> hyper::Request<Full<Bytes>> {
    let builder = match kind {
        record::Kind::Once => client::request(id, "POST", "/once/pay"),
        record::Kind::Safe => client::request(id, "GET", "/safe/list"),
        record::Kind::Stream => client::staged(id, "/stream/ask"),
        record::Kind::Resumable => client::staged(id, "/stream-resumable/ask"),
        record::Kind::Probe(version) => {
            client::request_with_key(id, "GET", "/safe/probe", &world::key(version))
        }
    };
    let mut message = builder
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("the request is valid");
    let deadline = DEADLINE.as_millis().to_string();
    let deadline = deadline.parse().expect("a number is a header value");
    message.headers_mut().insert("x-deadline-ms", deadline);
    message
}

/// Status, body, and whether the body is whole; `None` for no answer.
async fn exchange(
    sender: &mut Sender,
    message: hyper::Request<Full<Bytes>>,
    body: &mut String,
) -> Option<(u16, bool)> {
    let answer = sender.send_request(message).await.ok()?;
    let status = answer.status().as_u16();
    let mut frames = answer.into_body();
    while let Some(frame) = frames.frame().await {
        let Ok(frame) = frame else {
            return Some((status, false));
        };
        if let Some(data) = frame.data_ref() {
            body.push_str(&String::from_utf8_lossy(data));
        }
    }
    Some((status, true))
}

/// Sends requests to one daemon until `end`.
pub(crate) async fn run(world: &world::World, daemon: usize, end: time::Instant) {
    let process = &world.processes[daemon];
    let mut kept: Option<Sender> = None;
    while time::Instant::now() < end {
        let pause = rand::rng().random_range(5..60);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
        let incarnation = process.incarnation.load(atomic::Ordering::SeqCst);
        let open = kept.take().filter(Sender::is_ready);
        let Some(mut sender) = (match open {
            Some(sender) => Some(sender),
            None => connect(process.callers).await,
        }) else {
            continue;
        };
        let id = format!("r{}", NEXT.fetch_add(1, atomic::Ordering::SeqCst));
        let kind = draw(world.version.load(atomic::Ordering::SeqCst));
        let sent = time::Instant::now();
        let mut body = String::new();
        let exchange = exchange(&mut sender, message(&id, kind), &mut body);
        let outcome = tokio::time::timeout(PATIENCE, exchange).await;
        let gave_up = outcome.is_err();
        let (status, is_whole) = match outcome {
            Ok(Some((status, is_whole))) => (Some(status), is_whole),
            Ok(None) | Err(_) => (None, false),
        };
        let request = record::Request {
            id,
            kind,
            daemon,
            incarnation,
            sent,
            ended: time::Instant::now(),
            status,
            gave_up,
            body,
            is_whole,
        };
        record::add(&world.record.requests, request);
        if is_whole {
            kept = Some(sender);
        }
    }
}
