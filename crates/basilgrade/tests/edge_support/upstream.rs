//! Upstreams: plain services, model engines and makers of stage pieces.

use std::sync;
use std::time;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;

use super::server;

/// Events of a stream.
pub(crate) const EVENTS: u64 = 8;

/// How an upstream treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Mood {
    /// It runs them.
    #[default]
    Sound,
    /// It refuses them without running them.
    Full,
    /// It runs them and closes the connection without an answer.
    Mute,
    /// It runs them and answers without a signature.
    Unsigned,
    /// It runs them and answers for another request.
    Foreign,
    /// It runs streams and breaks off within this event.
    BreaksIn(u64),
    /// It waits this long before each event.
    Slow(u64),
    /// It runs them and never answers.
    Silent,
}

/// A request that was run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) path: String,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) at: time::Instant,
}

/// An upstream.
#[derive(Default)]
pub(crate) struct Upstream {
    pub(crate) id: String,
    pub(crate) mood: sync::Mutex<Mood>,
    pub(crate) runs: sync::Mutex<Vec<Run>>,
    /// The registered address.
    pub(crate) address: sync::OnceLock<std::net::SocketAddr>,
    /// Whether each event names the run that made it.
    pub(crate) names_runs: bool,
}

fn text(headers: &hyper::HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl Upstream {
    pub(crate) fn set(&self, mood: Mood) {
        *self.mood.lock().expect("no test panics here") = mood;
    }

    /// Requests that were run, in order.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no test panics here").clone()
    }

    fn pieces(&self, body: &Bytes) -> Response<server::Body> {
        let call: serde_json::Value = serde_json::from_slice(body).expect("the call is JSON");
        let address = self.address.get().expect("it is started");
        let items: Vec<_> = call["items"]
            .as_array()
            .expect("the call has items")
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
        Response::new(server::whole(
            serde_json::json!({"items": items}).to_string(),
        ))
    }

    fn stream(&self, request: &Request<Bytes>, mood: Mood) -> Response<server::Body> {
        let from: u64 = text(request.headers(), "last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0);
        let mut name = text(request.headers(), "x-attempt-id").unwrap_or_default();
        if self.names_runs {
            let run = self.runs.lock().expect("no test panics here").len();
            name = format!("{name}.{}-{run}", self.id);
        }
        let events = futures::stream::iter(from + 1..=EVENTS).then(move |event| {
            let name = name.clone();
            async move {
                if let Mood::Slow(pause) = mood {
                    tokio::time::sleep(time::Duration::from_millis(pause)).await;
                }
                let mut text = format!("id: {event}\ndata: {name}-{event}\n\n");
                if mood == Mood::BreaksIn(event) {
                    text.truncate(9);
                }
                Ok(Frame::data(Bytes::from(text)))
            }
        });
        let last = match mood {
            Mood::BreaksIn(last) => last,
            _ => EVENTS,
        };
        let count = last.saturating_sub(from) as usize;
        let broken = futures::stream::once(async {
            // The break reaches the daemon after the bytes before it, not with them.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            Err(std::io::Error::other("broken"))
        });
        let breaks = usize::from(matches!(mood, Mood::BreaksIn(_)));
        let frames = events.take(count).chain(broken.take(breaks));
        Response::new(http_body_util::StreamBody::new(frames).boxed_unsync())
    }
}

impl server::Handler for Upstream {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        if request.uri().path() == "/basilgrade/stage-free" {
            return Some(Response::new(server::whole("")));
        }
        let mood = *self.mood.lock().expect("no test panics here");
        let expected = text(request.headers(), "x-expect-instance");
        let refused = |status| {
            let answer = Response::builder()
                .status(status)
                .header("x-not-executed", "1");
            answer.body(server::whole("")).ok()
        };
        if expected.is_some_and(|id| id != self.id) {
            return refused(StatusCode::MISDIRECTED_REQUEST);
        }
        if mood == Mood::Full {
            return refused(StatusCode::SERVICE_UNAVAILABLE);
        }
        let name = text(request.headers(), "x-attempt-id").unwrap_or_default();
        self.runs.lock().expect("no test panics here").push(Run {
            request: name.clone(),
            path: request.uri().to_string(),
            headers: request.headers().clone(),
            body: request.body().clone(),
            at: time::Instant::now(),
        });
        if request.uri().path() == "/basilgrade/stage-run" {
            return Some(self.pieces(request.body()));
        }
        let mut answer = match mood {
            Mood::Mute => return None,
            Mood::Silent => std::future::pending().await,
            _ if request.uri().path().starts_with("/stream") => self.stream(&request, mood),
            _ => Response::new(server::whole(format!("{} {name}", self.id))),
        };
        let echoed = if mood == Mood::Foreign {
            "another"
        } else {
            &name
        };
        answer
            .headers_mut()
            .insert("x-attempt-id", echoed.parse().ok()?);
        if mood != Mood::Unsigned {
            answer
                .headers_mut()
                .insert("x-engine-signature", self.id.parse().ok()?);
        }
        Some(answer)
    }
}
