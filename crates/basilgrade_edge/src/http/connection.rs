//! One HTTP connection to an upstream.

use std::net;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::task;

use crate::http::send_error;
use crate::http::socket;

/// Buffer of a connection; bounds the head of an answer.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A connection; dropping it closes it, whatever is under way.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// [`error::SendError`]; no byte was sent.
    pub async fn open(
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Self, send_error::SendError> {
        let stream = socket::connect(address, timeout)
            .await
            .map_err(|reason| send_error::SendError::unsent(format!("`{address}`: {reason}")))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(send_error::SendError::unsent)?;
        let task = task::spawn(async move {
            // The request in progress gets the same error.
            if let Err(reason) = connection.await {
                log::debug!("event=connection-ended upstream={address} reason={reason:?}");
            }
        });
        Ok(Self { sender, task })
    }

    /// Whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<body::Incoming>, send_error::SendError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut failure| {
                if failure.take_message().is_some() {
                    return send_error::SendError::unsent(failure.into_error());
                }
                send_error::SendError::broken(failure.into_error())
            })
    }
}

/// Reads a body whole.
///
/// # Errors
///
/// [`error::SendError`] when it breaks off or is longer than `limit`.
pub async fn read_body(
    mut body: body::Incoming,
    max_bytes: usize,
) -> Result<Bytes, send_error::SendError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(send_error::SendError::broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(send_error::SendError::broken("the answer is too long"));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
