//! Sends one HTTP call to the platform and reads its response.

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
use crate::http::failure;
use crate::http::settings;

/// Maximum bytes buffered by `hyper` for the head of a response and for one read.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A response whose body was read completely.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: hyper::StatusCode,
    pub(super) headers: hyper::HeaderMap,
    pub(super) body: Bytes,
}

/// Sends each call exactly once, on a new connection.
///
/// Calls to the platform are rare, so connections need no reuse, and a new connection always tells
/// whether a byte of the call was sent.
#[derive(Clone, Debug)]
pub(super) struct Transport {
    address: net::SocketAddr,
    pub(super) settings: settings::Settings,
}

impl Transport {
    pub(super) fn new(address: net::SocketAddr, settings: settings::Settings) -> Self {
        Self { address, settings }
    }

    /// Sends a call and reads its response within the time limit of a call.
    pub(super) async fn send(
        &self,
        method: hyper::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, failure::Failure> {
        let deadline = time::Instant::now() + self.settings.call_timeout.duration();
        let request = self.request(method, path, body)?;
        let mut sender = self.connect(deadline).await?;
        let exchange = async {
            let response = sender.try_send_request(request).await.map_err(|error| {
                let reason = self.reason(error.error());
                if error.message().is_some() {
                    return failure::Failure::Unsent(reason);
                }
                failure::Failure::Broken(reason)
            })?;
            self.read(response).await
        };
        time::timeout_at(deadline, exchange).await.map_err(|_| {
            failure::Failure::Broken(self.reason(&"no response within the call time limit"))
        })?
    }

    /// Fetches and decodes the JSON document at `path`.
    pub(super) async fn fetch<T: de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, error::ReadError> {
        let response = self.send(hyper::Method::GET, path, Bytes::new()).await?;
        if !response.status.is_success() {
            let reason = format!("request `{path}` failed with status `{}`", response.status);
            return Err(error::ReadError::Unavailable(reason));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| error::ReadError::Malformed(format!("`{path}`: {error}")))
    }

    fn request(
        &self,
        method: hyper::Method,
        path: &str,
        body: Bytes,
    ) -> Result<hyper::Request<Full<Bytes>>, failure::Failure> {
        hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| failure::Failure::Unsent(format!("`{path}` is not valid: {error}")))
    }

    async fn connect(
        &self,
        deadline: time::Instant,
    ) -> Result<http1::SendRequest<Full<Bytes>>, failure::Failure> {
        let limit = deadline.min(time::Instant::now() + self.settings.connect_timeout.duration());
        let stream = time::timeout_at(limit, tokio::net::TcpStream::connect(self.address))
            .await
            .map_err(|_| failure::Failure::Unsent(self.reason(&"connecting timed out")))?
            .map_err(|error| failure::Failure::Unsent(self.reason(&error)))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|error| failure::Failure::Unsent(self.reason(&error)))?;
        // The connection task ends when `sender` is dropped. Its errors are also returned by
        // `sender`.
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn read(
        &self,
        response: hyper::Response<body::Incoming>,
    ) -> Result<Response, failure::Failure> {
        let (head, mut body) = response.into_parts();
        let limit = self.settings.max_body;
        let declared_size = body.size_hint().exact();
        if declared_size.is_some_and(|size| size > limit.0) {
            return Err(failure::Failure::TooLarge(limit.0));
        }
        // Without `content-length` or chunked encoding, a complete body cannot be distinguished
        // from a body that a broken connection truncated.
        if declared_size.is_none() && !head.headers.contains_key(header::TRANSFER_ENCODING) {
            let reason = self.reason(&"response has neither `content-length` nor chunked encoding");
            return Err(failure::Failure::Broken(reason));
        }
        let body = collect(&mut body, limit)
            .await?
            .map_err(|error| failure::Failure::Broken(self.reason(&error)))?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Prefixes an error with the address of the platform.
    fn reason(&self, error: &dyn std::fmt::Display) -> String {
        format!("address `{}`: {error}", self.address)
    }
}

/// Reads a body of at most `limit` bytes. The inner result is an error if the connection
/// failed.
async fn collect(
    body: &mut body::Incoming,
    limit: size::ByteCount,
) -> Result<Result<Bytes, hyper::Error>, failure::Failure> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Ok(Err(error)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (collected.len() + data.len()) as u64 > limit.0 {
            return Err(failure::Failure::TooLarge(limit.0));
        }
        collected.extend_from_slice(&data);
    }
    Ok(Ok(collected.freeze()))
}
