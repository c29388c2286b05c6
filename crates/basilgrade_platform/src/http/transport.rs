//! One HTTP call to the platform.

use std::net;

use basilgrade_types::size;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt;
use serde::de;
use tokio::time;

use crate::error;
use crate::http::call_error;
use crate::http::settings;

/// Bounds the memory for a response head and for one read.
const BUFFER_LIMIT: usize = 64 << 10;

/// A complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: hyper::StatusCode,
    pub(super) headers: hyper::HeaderMap,
    pub(super) body: Bytes,
}

/// Sends each call once, on a connection of its own.
///
/// Calls to the platform are few, and on a new connection it is always known whether a byte was
/// sent.
#[derive(Clone, Debug)]
pub(super) struct Transport {
    address: net::SocketAddr,
    pub(super) settings: settings::Settings,
}

impl Transport {
    pub(super) fn new(address: net::SocketAddr, settings: settings::Settings) -> Self {
        Self { address, settings }
    }

    /// Sends a call and reads its answer, all within the time allowed to a call.
    pub(super) async fn send(
        &self,
        method: hyper::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, call_error::CallError> {
        let deadline = time::Instant::now() + self.settings.call_timeout.duration();
        let request = self.request(method, path, body)?;
        let mut sender = self.connect(deadline).await?;
        let exchange = async {
            let response = sender.try_send_request(request).await.map_err(|error| {
                let reason = self.reason(error.error());
                if error.message().is_some() {
                    return call_error::CallError::Unsent(reason);
                }
                call_error::CallError::Broken(reason)
            })?;
            self.read(response).await
        };
        time::timeout_at(deadline, exchange)
            .await
            .map_err(|_| call_error::CallError::Broken(self.reason(&"no answer in time")))?
    }

    /// Fetches a JSON document.
    pub(super) async fn fetch<T: de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, error::ReadError> {
        let answer = self.send(hyper::Method::GET, path, Bytes::new()).await?;
        if !answer.status.is_success() {
            let reason = format!("`{path}` was answered with status {}", answer.status);
            return Err(error::ReadError::Unavailable(reason));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| error::ReadError::Malformed(format!("`{path}`: {error}")))
    }

    fn request(
        &self,
        method: hyper::Method,
        path: &str,
        body: Bytes,
    ) -> Result<hyper::Request<Full<Bytes>>, call_error::CallError> {
        hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| call_error::CallError::Unsent(format!("`{path}` is invalid: {error}")))
    }

    async fn connect(
        &self,
        deadline: time::Instant,
    ) -> Result<http1::SendRequest<Full<Bytes>>, call_error::CallError> {
        let limit = deadline.min(time::Instant::now() + self.settings.connect_timeout.duration());
        let stream = time::timeout_at(limit, tokio::net::TcpStream::connect(self.address))
            .await
            .map_err(|_| call_error::CallError::Unsent(self.reason(&"connecting timed out")))?
            .map_err(|error| call_error::CallError::Unsent(self.reason(&error)))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_LIMIT)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|error| call_error::CallError::Unsent(self.reason(&error)))?;
        // The task ends with the sender; its errors also reach the call.
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn read(
        &self,
        response: hyper::Response<body::Incoming>,
    ) -> Result<Answer, call_error::CallError> {
        let (head, mut body) = response.into_parts();
        let limit = self.settings.max_body;
        let hint = body.size_hint().exact();
        if hint.is_some_and(|declared| declared > limit.0) {
            return Err(call_error::CallError::TooLarge(limit.0));
        }
        // The end of such a body cannot be told from a connection that was cut.
        if hint.is_none() && !head.headers.contains_key(header::TRANSFER_ENCODING) {
            let reason = self.reason(&"length of the answer is not declared");
            return Err(call_error::CallError::Broken(reason));
        }
        let body = collect(&mut body, limit)
            .await?
            .map_err(|error| call_error::CallError::Broken(self.reason(&error)))?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn reason(&self, error: &dyn std::fmt::Display) -> String {
        format!("`{}`: {error}", self.address)
    }
}

async fn collect(
    body: &mut body::Incoming,
    limit: size::ByteCount,
) -> Result<Result<Bytes, hyper::Error>, call_error::CallError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Ok(Err(error)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit.0 {
            return Err(call_error::CallError::TooLarge(limit.0));
        }
        whole.extend_from_slice(&data);
    }
    Ok(Ok(whole.freeze()))
}
