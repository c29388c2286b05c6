//! Callers of the soak test, which reuse their connections and take up streams that broke off.

use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::RngExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::client;
use crate::harness;
use crate::history;
use crate::operator;
use crate::upstream;

/// Deadline that callers send with each request; take-ups get what is left of it.
const REQUEST_DEADLINE: time::Duration = time::Duration::from_secs(3);

/// Deadline of requests in runs whose streams are slow and broken off by losses of power only.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(7);

/// Time after its deadline after which a caller stops waiting for an answer.
const CALLER_PATIENCE: time::Duration = time::Duration::from_secs(3);

/// Least time left with which a caller takes a stream up again.
const TAKE_UP_TIME: time::Duration = time::Duration::from_secs(1);

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
    match rand::rng().random_range(0..15) {
        0..=3 => history::Kind::Once,
        4 => history::Kind::Safe,
        5 | 6 => history::Kind::Stream,
        7..=10 => history::Kind::Resumable,
        11 => history::Kind::Added,
        // The newest version, or one of the four before it.
        _ => history::Kind::Probe(
            version
                .saturating_sub(rand::rng().random_range(0..5))
                .max(1),
        ),
    }
}

/// The stream that a request takes up.
#[derive(Clone, Debug)]
struct Begun {
    id: String,
    /// Number of the last event that the caller has.
    held: u64,
    /// End of the time that the caller waits.
    deadline: time::Instant,
}

fn build_request(
    id: &str,
    kind: history::Kind,
    begun: Option<&Begun>,
    deadline: time::Instant,
) -> hyper::Request<Full<Bytes>> {
    let mut builder = match kind {
        history::Kind::Once => client::request(id, "POST", "/once/pay"),
        history::Kind::Safe => client::request(id, "GET", "/safe/list"),
        history::Kind::Added => client::request(id, "GET", "/added/list"),
        history::Kind::Stream => client::staged_request(id, "/stream/ask"),
        history::Kind::Resumable => client::staged_request(id, "/stream-resumable/ask"),
        history::Kind::Probe(version) => {
            client::request_with_key(id, "GET", "/safe/probe", &operator::api_key(version))
        }
    };
    if let Some(begun) = begun {
        builder = builder
            .header("resumes", &begun.id)
            .header("last-event-id", begun.held);
    }
    let mut request = builder
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("the request is valid");
    let left = deadline.saturating_duration_since(time::Instant::now());
    let deadline = left.as_millis().to_string();
    let deadline = deadline.parse().expect("a number is a valid header value");
    request.headers_mut().insert("x-deadline-ms", deadline);
    request
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Whole,
    Cut,
    /// The caller has as many events as it wanted.
    Left,
}

/// Sends a request, appends the body of the answer to `body` until it has `most` events, and returns
/// the status and how the body ended. Returns `None` if the connection ended without an answer.
async fn exchange(
    sender: &mut Sender,
    request: hyper::Request<Full<Bytes>>,
    most: Option<usize>,
    body: &mut String,
) -> Option<(u16, Ending)> {
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let mut frames = answer.into_body();
    while let Some(frame) = frames.frame().await {
        let Ok(frame) = frame else {
            return Some((status, Ending::Cut));
        };
        if let Some(data) = frame.data_ref() {
            body.push_str(&String::from_utf8_lossy(data));
        }
        if most.is_some_and(|most| body.matches("\n\n").count() >= most) {
            return Some((status, Ending::Left));
        }
    }
    Some((status, Ending::Whole))
}

/// Sends one request to a daemon and records its outcome.
async fn send(
    harness: &harness::Harness,
    daemon: usize,
    sender: &mut Sender,
    (kind, begun): (history::Kind, Option<&Begun>),
) -> history::Request {
    let process = &harness.processes[daemon];
    let incarnation = process.incarnation.load(atomic::Ordering::SeqCst);
    let id = format!("r{}", NEXT_REQUEST.fetch_add(1, atomic::Ordering::SeqCst));
    let allowed = if harness.has_releases {
        LONG_DEADLINE
    } else {
        REQUEST_DEADLINE
    };
    let may_leave = kind == history::Kind::Resumable && begun.is_none() && !harness.has_releases;
    let leaves = may_leave && rand::rng().random();
    let most = leaves.then(|| rand::rng().random_range(1..upstream::EVENTS as usize));
    let sent = time::Instant::now();
    let deadline = begun.map_or(sent + allowed, |begun| begun.deadline);
    let mut body = String::new();
    let request = build_request(&id, kind, begun, deadline);
    let exchange = exchange(sender, request, most, &mut body);
    let outcome = tokio::time::timeout_at((deadline + CALLER_PATIENCE).into(), exchange).await;
    let gave_up = outcome.is_err();
    let outcome = outcome.unwrap_or(None);
    let ending = outcome.map(|(_, ending)| ending);
    let request = history::Request {
        id,
        kind,
        daemon,
        incarnation,
        sent,
        deadline,
        ended: time::Instant::now(),
        status: outcome.map(|(status, _)| status),
        gave_up,
        has_left: ending == Some(Ending::Left),
        resumes: begun.map(|begun| begun.id.clone()),
        held: begun.map_or(0, |begun| begun.held),
        body,
        is_whole: ending == Some(Ending::Whole),
    };
    history::add(&harness.history.requests, request.clone());
    request
}

/// Takes up the stream of `request` until it is complete or little time is left, each time at any
/// daemon and on a new connection.
async fn take_up(harness: &harness::Harness, mut request: history::Request) {
    let mut begun = Begun {
        id: request.id.clone(),
        held: 0,
        deadline: request.deadline,
    };
    loop {
        begun.held = request.last_event();
        let is_complete = request.is_whole && request.status == Some(200);
        if is_complete || begun.held == 0 || begun.held >= upstream::EVENTS || request.gave_up {
            return;
        }
        let longest = if harness.has_releases { 1500 } else { 300 };
        let pause = rand::rng().random_range(20..longest);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
        if time::Instant::now() + TAKE_UP_TIME > begun.deadline {
            return;
        }
        let daemon = rand::rng().random_range(0..harness.processes.len());
        let address = harness.processes[daemon].caller_address;
        if let Some(mut sender) = connect(address).await {
            let kind = history::Kind::Resumable;
            request = send(harness, daemon, &mut sender, (kind, Some(&begun))).await;
        }
    }
}

/// Sends requests of random kinds to one daemon until `end` and records their outcomes.
pub(crate) async fn run(harness: &harness::Harness, daemon: usize, end: time::Instant) {
    let process = &harness.processes[daemon];
    let mut kept_connection: Option<Sender> = None;
    while time::Instant::now() < end {
        let pause = rand::rng().random_range(5..60);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
        let usable = kept_connection.take().filter(Sender::is_ready);
        let Some(mut sender) = (match usable {
            Some(sender) => Some(sender),
            None => connect(process.caller_address).await,
        }) else {
            continue;
        };
        let kind = draw_kind(harness.version.load(atomic::Ordering::SeqCst));
        let request = send(harness, daemon, &mut sender, (kind, None)).await;
        if request.is_whole {
            kept_connection = Some(sender);
        } else if kind == history::Kind::Resumable && request.status == Some(200) {
            drop(sender);
            take_up(harness, request).await;
        }
    }
}

/// Keeps a connection to a daemon open, on which one request was answered, until the process is gone.
pub(crate) async fn hold(harness: &harness::Harness, daemon: usize, end: time::Instant) {
    let process = &harness.processes[daemon];
    let pause = time::Duration::from_millis(50);
    while time::Instant::now() < end {
        tokio::time::sleep(pause).await;
        let incarnation = process.incarnation.load(atomic::Ordering::SeqCst);
        let address = process.caller_address;
        let Ok(mut stream) = tokio::net::TcpStream::connect(address).await else {
            continue;
        };
        let request = "GET /safe/hold HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: hold\r\n\
                       x-deadline-ms: 3000\r\nauthorization: Bearer key-one\r\n\r\n";
        // An error is ignored: the connection counts as held also after the daemon closed it.
        let _ = stream.write_all(request.as_bytes()).await;
        while time::Instant::now() < end
            && process.incarnation.load(atomic::Ordering::SeqCst) == incarnation
        {
            tokio::time::sleep(pause).await;
        }
    }
}
