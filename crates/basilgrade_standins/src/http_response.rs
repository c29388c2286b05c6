//! Answers of stand-ins.

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::mpsc;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Chunks as they are produced.
    Stream(mpsc::Receiver<Bytes>),
    /// Everything at once.
    Whole(Bytes),
}

/// An answer before faults are applied to it.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers besides echo and length.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Body,
}

impl HttpResponse {
    /// A whole answer.
    pub fn whole(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Body::Whole(body.into()),
        }
    }

    /// A JSON answer.
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let mut response = Self::whole(200, body);
                response
                    .headers
                    .push(("content-type", "application/json".to_owned()));
                response
            }
            Err(error) => Self::whole(500, error.to_string()),
        }
    }

    /// A `503` that says the call was not run.
    pub fn not_run() -> Self {
        let mut response = Self::whole(503, "");
        response
            .headers
            .push(("basilgrade-verdict", "not-run".to_owned()));
        response
    }
}
