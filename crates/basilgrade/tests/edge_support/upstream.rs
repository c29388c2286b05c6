//! Stand-ins for upstreams: plain services, model engines, and services that compute the pieces of
//! stage results.

use std::sync;
use std::time;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use indexmap::IndexMap;

use super::server;

/// Number of events in each stream.
pub(crate) const EVENTS: u64 = 8;

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Behaviour {
    /// Runs requests and answers them.
    #[default]
    Healthy,
    /// Refuses requests without running them.
    Full,
    /// Runs requests and closes the connection without an answer.
    Mute,
    /// Runs requests and answers without the signature header.
    Unsigned,
    /// Runs requests and answers with the id of another request.
    Foreign,
    /// Runs requests and answers with the refusal of another request.
    RefusesAnother,
    /// Runs streams and breaks the connection within the event of this number.
    BreaksIn(u64),
    /// Runs streams and waits this many milliseconds before each event.
    Slow(u64),
    /// Runs requests and sends nothing for this many milliseconds before the event of this number;
    /// event 1 is also the whole answer of a request that is no stream, or of a stage call.
    Pauses(u64, u64),
    /// Pauses before an event as `Pauses` does, and breaks the connection within the event of the
    /// last number.
    PausesAndBreaks(u64, u64, u64),
    /// Runs requests and never answers.
    Silent,
    /// Runs requests and answers with this status and `Retry-After`, as if it had not run them.
    RunsAndRefuses(u16),
    /// Runs requests; closes the connection without an answer if the prompt has the part named
    /// here.
    CrashesOn(&'static str),
    /// Runs requests; closes the connection without an answer if the body is the one given here.
    CrashesOnBody(&'static str),
}

/// Number of the event within which the connection breaks, if it does.
fn last_event(behaviour: Behaviour) -> Option<u64> {
    match behaviour {
        Behaviour::BreaksIn(last) | Behaviour::PausesAndBreaks(_, _, last) => Some(last),
        _ => None,
    }
}

/// One run of a request, as the upstream received it.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Id of the request.
    pub(crate) request: String,
    pub(crate) path: String,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) at: time::Instant,
}

/// Records the end of the work on a stream when it is dropped.
struct RunGuard {
    ends: sync::Arc<sync::Mutex<Vec<(String, time::Instant)>>>,
    request: String,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut ends = self.ends.lock().expect("no holder of the lock panics");
        ends.push((std::mem::take(&mut self.request), time::Instant::now()));
    }
}

/// State of an upstream stand-in.
#[derive(Default)]
pub(crate) struct Upstream {
    pub(crate) id: String,
    pub(crate) behaviour: sync::Mutex<Behaviour>,
    pub(crate) runs: sync::Mutex<Vec<Run>>,
    /// When work on streams ended, complete or not, with the ids of their requests.
    pub(crate) ends: sync::Arc<sync::Mutex<Vec<(String, time::Instant)>>>,
    /// Number of requests that have arrived, refused ones and releases of results included.
    pub(crate) arrivals: sync::atomic::AtomicUsize,
    /// Headers that all answers carry, by name.
    pub(crate) notices: sync::Mutex<IndexMap<&'static str, &'static str>>,
    /// Address that the store lists for this upstream.
    pub(crate) address: sync::OnceLock<std::net::SocketAddr>,
    /// Whether the data of each event names the upstream and the run that produced the event.
    pub(crate) names_runs: bool,
}

fn header_text(headers: &hyper::HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl Upstream {
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no holder of the lock panics") = behaviour;
    }

    /// Has all further answers name the limit `limit`, in requests per second.
    pub(crate) fn name_limit(&self, limit: Option<&'static str>) {
        self.announce("server-limit", limit);
    }

    /// Has all further answers carry the header `name` with this value, or not at all.
    pub(crate) fn announce(&self, name: &'static str, value: Option<&'static str>) {
        let mut notices = self.notices.lock().expect("no holder of the lock panics");
        match value {
            Some(value) => notices.insert(name, value),
            None => notices.swap_remove(name),
        };
    }

    /// Returns all runs in order of arrival.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Answers a stage call with a handle for each piece that the call asks for.
    fn piece_handles(&self, body: &Bytes) -> Response<server::Body> {
        let call: serde_json::Value =
            serde_json::from_slice(body).expect("the body of the stage call is JSON");
        let address = self
            .address
            .get()
            .expect("the address is set at the start of the upstream");
        let items: Vec<_> = call["items"]
            .as_array()
            .expect("the stage call has the list `items`")
            .iter()
            .map(|item| {
                let name = format!(
                    "{}.{}.{}",
                    item["id"].as_str().unwrap_or(""),
                    item["phase"],
                    item["piece"]
                );
                serde_json::json!({"handle": format!("{address}/{name}")})
            })
            .collect();
        Response::new(server::full_body(
            serde_json::json!({"items": items}).to_string(),
        ))
    }

    /// Answers with the events after the one that the header `last-event-id` names.
    fn events(&self, request: &Request<Bytes>, behaviour: Behaviour) -> Response<server::Body> {
        let from: u64 = header_text(request.headers(), "last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0);
        let mut name = header_text(request.headers(), "x-attempt-id").unwrap_or_default();
        let guard = RunGuard {
            ends: sync::Arc::clone(&self.ends),
            request: name.clone(),
        };
        if self.names_runs {
            let run = self
                .runs
                .lock()
                .expect("no holder of the lock panics")
                .len();
            name = format!("{name}.{}-{run}", self.id);
        }
        let events = futures::stream::iter(from + 1..=EVENTS).then(move |event| {
            let name = name.clone();
            async move {
                let pause = match behaviour {
                    Behaviour::Slow(pause) => pause,
                    Behaviour::Pauses(before, pause)
                    | Behaviour::PausesAndBreaks(before, pause, _)
                        if before == event =>
                    {
                        pause
                    }
                    _ => 0,
                };
                if pause > 0 {
                    tokio::time::sleep(time::Duration::from_millis(pause)).await;
                }
                let mut text = format!("id: {event}\ndata: {name}-{event}\n\n");
                if last_event(behaviour) == Some(event) {
                    text.truncate(9);
                }
                Ok(Frame::data(Bytes::from(text)))
            }
        });
        let last = last_event(behaviour).unwrap_or(EVENTS);
        let count = last.saturating_sub(from) as usize;
        let broken = futures::stream::once(async {
            // The delay makes the daemon receive the bytes before the break and the break
            // separately.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            Err(std::io::Error::other("connection broken by the test"))
        });
        let breaks = usize::from(last_event(behaviour).is_some());
        let frames = events.take(count).chain(broken.take(breaks));
        let frames = frames.map(move |frame| {
            let _ = &guard;
            frame
        });
        Response::new(http_body_util::StreamBody::new(frames).boxed_unsync())
    }
}

impl server::Handler for Upstream {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        self.arrivals.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let mut answer = self.answer(request).await?;
        let notices = self.notices.lock().expect("no holder of the lock panics");
        for (name, value) in notices.iter() {
            let value = hyper::header::HeaderValue::from_static(value);
            answer.headers_mut().insert(*name, value);
        }
        Some(answer)
    }
}

impl Upstream {
    async fn answer(&self, request: Request<Bytes>) -> Option<Response<server::Body>> {
        if request.uri().path() == "/basilgrade/stage-free" {
            return Some(Response::new(server::full_body("")));
        }
        let behaviour = *self.behaviour.lock().expect("no holder of the lock panics");
        let expected = header_text(request.headers(), "x-expect-instance");
        let refused = |status| {
            let answer = Response::builder()
                .status(status)
                .header("x-not-executed", "1");
            answer.body(server::full_body("")).ok()
        };
        if expected.is_some_and(|id| id != self.id) {
            return refused(StatusCode::MISDIRECTED_REQUEST);
        }
        if behaviour == Behaviour::Full {
            return refused(StatusCode::SERVICE_UNAVAILABLE);
        }
        let name = header_text(request.headers(), "x-attempt-id").unwrap_or_default();
        self.runs
            .lock()
            .expect("no holder of the lock panics")
            .push(Run {
                request: name.clone(),
                path: request.uri().to_string(),
                headers: request.headers().clone(),
                body: request.body().clone(),
                at: time::Instant::now(),
            });
        if request.uri().path() == "/basilgrade/stage-run" {
            if let Behaviour::Pauses(1, pause) = behaviour {
                tokio::time::sleep(time::Duration::from_millis(pause)).await;
            }
            return Some(self.piece_handles(request.body()));
        }
        let mut answer = match behaviour {
            Behaviour::Mute => return None,
            Behaviour::CrashesOn(part)
                if header_text(request.headers(), "x-prefix-hash")
                    .is_some_and(|parts| parts.contains(part)) =>
            {
                return None;
            }
            Behaviour::CrashesOnBody(body) if request.body() == body => return None,
            Behaviour::RefusesAnother => {
                let mut answer = refused(StatusCode::SERVICE_UNAVAILABLE)?;
                let other = hyper::header::HeaderValue::from_static("another");
                answer.headers_mut().insert("x-attempt-id", other);
                return Some(answer);
            }
            Behaviour::Silent => std::future::pending().await,
            Behaviour::RunsAndRefuses(status) => {
                let mut answer = Response::new(server::full_body("no room"));
                *answer.status_mut() = StatusCode::from_u16(status).ok()?;
                let wait = hyper::header::HeaderValue::from_static("1");
                answer.headers_mut().insert("retry-after", wait);
                answer
            }
            _ if request.uri().path().starts_with("/stream") => self.events(&request, behaviour),
            Behaviour::Pauses(1, pause) => {
                tokio::time::sleep(time::Duration::from_millis(pause)).await;
                Response::new(server::full_body(format!("{} {name}", self.id)))
            }
            _ => Response::new(server::full_body(format!("{} {name}", self.id))),
        };
        let echoed = if behaviour == Behaviour::Foreign {
            "another"
        } else {
            &name
        };
        answer
            .headers_mut()
            .insert("x-attempt-id", echoed.parse().ok()?);
        if behaviour != Behaviour::Unsigned {
            answer
                .headers_mut()
                .insert("x-engine-signature", self.id.parse().ok()?);
        }
        Some(answer)
    }
}
