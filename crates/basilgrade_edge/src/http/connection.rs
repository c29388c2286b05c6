//! HTTP/1 client connection to an upstream or the store.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::io;
use tokio::task;

use crate::http::answer_memory;
use crate::http::body_reader;
use crate::http::early_end;
use crate::http::error;
use crate::http::head_limit;
use crate::http::socket;
use crate::http::transfer;

/// Maximum size of a connection's read buffer, which limits the size of an answer's head.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Greatest valid status of an answer (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// HTTP/1 client connection, closed on drop even during an exchange.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::JoinHandle<()>,
    head_limit: head_limit::HeadLimit,
    /// Number of bytes sent.
    pub written: transfer::WrittenBytes,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to `address`, with a time-out.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict `NotRun`, as no byte was sent.
    pub async fn open(
        address: net::SocketAddr,
        timeout: time::Duration,
        patience: socket::Patience,
    ) -> Result<Self, error::SendError> {
        let stream = socket::connect(address, timeout, patience)
            .await
            .map_err(|reason| error::SendError::unsent(format!("`{address}`: {reason}")))?;
        Self::over(stream, address).await
    }

    /// Wraps `stream`, an open connection to `address`.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict `NotRun`, as no byte was sent.
    pub async fn over(
        stream: impl io::AsyncRead + io::AsyncWrite + Send + Unpin + 'static,
        address: net::SocketAddr,
    ) -> Result<Self, error::SendError> {
        let head_limit = head_limit::HeadLimit::default();
        let stream = early_end::EarlyEndStream::new(stream);
        let written = stream.written().clone();
        let stream = head_limit::HeadLimitStream::new(stream, head_limit.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(error::SendError::unsent)?;
        let task = task::spawn(async move {
            // Logged at debug level only, as `send` returns an error for the request in progress.
            if let Err(reason) = connection.await {
                log::debug!("event=connection-ended upstream={address} reason={reason:?}");
            }
        });
        Ok(Self {
            sender,
            task,
            head_limit,
            written,
        })
    }

    /// Whether the connection is open and can send another request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`error::SendError`], with the verdict `NotRun` if no byte of the request was sent. An answer
    /// with an invalid status is an error.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<body::Incoming>, error::SendError> {
        self.head_limit.start();
        let answered = self.sender.try_send_request(request).await;
        self.head_limit.end();
        let answer = answered.map_err(|mut failure| {
            if failure.take_message().is_some() {
                return error::SendError::unsent(failure.into_error());
            }
            error::SendError::broken(failure.into_error())
        })?;
        // The library rejects all other invalid statuses.
        if answer.status().as_u16() > MAX_STATUS {
            let reason = format!("the answer has the invalid status `{}`", answer.status());
            return Err(error::SendError::broken(reason));
        }
        Ok(answer)
    }
}

/// Reads the body of an answer into memory.
///
/// # Errors
///
/// [`error::SendError`] if the connection fails or the body is longer than `max_bytes`.
pub async fn read_body(
    mut body: body::Incoming,
    max_bytes: usize,
) -> Result<Bytes, error::SendError> {
    let whole = body_reader::read(&mut body, max_bytes, |_| true).await;
    whole.map_err(error::SendError::broken)
}

/// Like [`read_body`], with the bytes counted by `held`.
///
/// # Errors
///
/// [`error::SendError`] if the connection fails, the body is longer than `max_bytes`, or the answer
/// is given up.
pub async fn read_held_body(
    mut body: body::Incoming,
    max_bytes: usize,
    held: &answer_memory::HeldAnswer,
) -> Result<Bytes, error::SendError> {
    let record = |bytes| {
        held.set(bytes);
        true
    };
    tokio::select! {
        biased;
        () = held.given_up() => Err(error::SendError::broken(answer_memory::GIVEN_UP)),
        whole = body_reader::read(&mut body, max_bytes, record) => {
            whole.map_err(error::SendError::broken)
        }
    }
}
