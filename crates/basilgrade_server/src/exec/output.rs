//! Output of a finished request and its HTTP response.

use std::convert;

use basilgrade_types::verdict;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use hyper::header;
use tokio::sync::mpsc;

use crate::caller::respond;
use crate::exec::context;
use crate::ledger;

/// Maximum number of stream events waiting for the caller. When the buffer is full, a slow caller
/// slows the engine down.
pub const STREAM_BUFFER: usize = 64;

/// The output of a request.
pub enum Output {
    /// Server-sent events; the last one is `event: end` or `event: error`.
    Stream(mpsc::Receiver<Bytes>),
    /// A complete response with status, headers and body.
    Buffered(hyper::StatusCode, hyper::HeaderMap, Bytes),
}

impl Output {
    /// A buffered response with status 200 and the given content type.
    pub fn ok(content_type: &'static str, body: Bytes) -> Self {
        let mut headers = hyper::HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static(content_type),
        );
        Self::Buffered(hyper::StatusCode::OK, headers, body)
    }

    /// The answer to store for repeats of the request key; `None` for streams, which are not
    /// stored.
    pub fn stored_answer(&self) -> Option<ledger::Answer> {
        let Self::Buffered(status, headers, body) = self else {
            return None;
        };
        let content_type = headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        Some(ledger::Answer {
            status: status.as_u16(),
            content_type,
            body: body.clone(),
        })
    }

    /// The stored answer of an earlier execution under the same request key.
    pub fn replay(answer: ledger::Answer) -> Self {
        let mut headers = hyper::HeaderMap::new();
        if let Ok(content_type) = header::HeaderValue::from_str(&answer.content_type) {
            headers.insert(header::CONTENT_TYPE, content_type);
        }
        let status = hyper::StatusCode::from_u16(answer.status).unwrap_or_default();
        Self::Buffered(status, headers, answer.body)
    }

    /// Converts the output into the HTTP response, with request identifier and verdict.
    pub fn response(self, context: &context::Context) -> hyper::Response<respond::Body> {
        let mut response = match self {
            Self::Stream(events) => {
                let body = http_body_util::StreamBody::new(futures::stream::unfold(
                    events,
                    |mut events| async {
                        let event = events.recv().await?;
                        Some((
                            Ok::<_, convert::Infallible>(body::Frame::data(event)),
                            events,
                        ))
                    },
                ));
                let mut response = hyper::Response::new(body.boxed_unsync());
                response.headers_mut().insert(
                    header::CONTENT_TYPE,
                    header::HeaderValue::from_static("text/event-stream"),
                );
                response
            }
            Self::Buffered(status, headers, body) => {
                let mut response = hyper::Response::new(respond::full_body(body));
                *response.status_mut() = status;
                for (name, value) in &headers {
                    if !respond::CONNECTION_HEADERS.contains(&name.as_str()) {
                        response.headers_mut().append(name.clone(), value.clone());
                    }
                }
                response
            }
        };
        respond::insert_metadata(
            response.headers_mut(),
            context.request,
            verdict::Verdict::Ran,
        );
        response
    }
}
