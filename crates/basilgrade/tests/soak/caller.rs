//! Callers of the soak test, which reuse their connections.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::RngExt as _;

use crate::client;
use crate::harness;
use crate::history;

/// Deadline that callers send with each request.
const REQUEST_DEADLINE: time::Duration = time::Duration::from_secs(3);

/// Time after which a caller stops waiting for an answer.
const CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Number of the next request, from which its id is made.
static NEXT_REQUEST: atomic::AtomicU64 = atomic::AtomicU64::new(0);

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(address: std::net::SocketAddr) -> Option<Sender> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Draws the kind of a request; `version` is the newest published configuration.
fn draw_kind(version: u64) -> history::Kind {
    match rand::rng().random_range(0..12) {
        0..=3 => history::Kind::Once,
        4 => history::Kind::Safe,
        5 | 6 => history::Kind::Stream,
        7 | 8 => history::Kind::Resumable,
        // The newest version, or one of the four before it.
        _ => history::Kind::Probe(
            version
                .saturating_sub(rand::rng().random_range(0..5))
                .max(1),
        ),
    }
}

fn build_request(id: &str, kind: history::Kind) -> hyper::Request<Full<Bytes>> {
    let builder = match kind {
        history::Kind::Once => client::request(id, "POST", "/once/pay"),
        history::Kind::Safe => client::request(id, "GET", "/safe/list"),
        history::Kind::Stream => client::staged_request(id, "/stream/ask"),
        history::Kind::Resumable => client::staged_request(id, "/stream-resumable/ask"),
        history::Kind::Probe(version) => {
            client::request_with_key(id, "GET", "/safe/probe", &harness::api_key(version))
        }
    };
    let mut request = builder
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("the request is valid");
    let deadline = REQUEST_DEADLINE.as_millis().to_string();
    let deadline = deadline.parse().expect("a number is a valid header value");
    request.headers_mut().insert("x-deadline-ms", deadline);
    request
}

/// Sends a request, appends the body of the answer to `body`, and returns the status and whether
/// the body is complete. Returns `None` if the connection ended without an answer.
async fn exchange(
    sender: &mut Sender,
    request: hyper::Request<Full<Bytes>>,
    body: &mut String,
) -> Option<(u16, bool)> {
    let answer = sender.send_request(request).await.ok()?;
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

/// Sends requests of random kinds to one daemon until `end` and records their outcomes.
pub(crate) async fn run(harness: &harness::Harness, daemon: usize, end: time::Instant) {
    let process = &harness.processes[daemon];
    let mut kept_connection: Option<Sender> = None;
    while time::Instant::now() < end {
        let pause = rand::rng().random_range(5..60);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
        let incarnation = process.incarnation.load(atomic::Ordering::SeqCst);
        let usable = kept_connection.take().filter(Sender::is_ready);
        let Some(mut sender) = (match usable {
            Some(sender) => Some(sender),
            None => connect(process.caller_address).await,
        }) else {
            continue;
        };
        let id = format!("r{}", NEXT_REQUEST.fetch_add(1, atomic::Ordering::SeqCst));
        let kind = draw_kind(harness.version.load(atomic::Ordering::SeqCst));
        let sent = time::Instant::now();
        let mut body = String::new();
        let exchange = exchange(&mut sender, build_request(&id, kind), &mut body);
        let outcome = tokio::time::timeout(CALLER_TIMEOUT, exchange).await;
        let gave_up = outcome.is_err();
        let (status, is_whole) = match outcome {
            Ok(Some((status, is_whole))) => (Some(status), is_whole),
            Ok(None) | Err(_) => (None, false),
        };
        let request = history::Request {
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
        history::add(&harness.history.requests, request);
        if is_whole {
            kept_connection = Some(sender);
        }
    }
}
