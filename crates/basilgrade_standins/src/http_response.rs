//! HTTP responses of stand-ins.

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::mpsc;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// Chunks that are sent as they are produced.
    Stream(mpsc::Receiver<Bytes>),
    /// Complete body, sent with a `content-length`.
    Whole(Bytes),
}

/// A response before the fault of the call is applied.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers except for the echoed ones and those that frame the body.
    pub headers: Vec<(&'static str, String)>,
    /// Body of the response.
    pub body: Body,
}

impl HttpResponse {
    /// Creates a response with a complete body.
    pub fn whole(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Body::Whole(body.into()),
        }
    }

    /// Creates a `200` response with a JSON body, or a `500` response if `value` is not encodable.
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

    /// Creates a `503` response with the verdict `not-run`.
    pub fn not_run() -> Self {
        let mut response = Self::whole(503, "");
        response
            .headers
            .push(("basilgrade-verdict", "not-run".to_owned()));
        response
    }
}
