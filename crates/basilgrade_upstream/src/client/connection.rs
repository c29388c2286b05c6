//! Connections to upstreams.

use std::error::Error;
use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::time;

use crate::call_error;
use crate::client::counters;
use crate::client::shared_state;

/// Bounds the memory for a response head and for one read, in bytes.
const MAX_BUFFER: usize = 64 << 10;

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) address: net::SocketAddr,
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
}

/// Establishes a connection. Sends no byte of a call, so all errors have the verdict `not run`.
pub(super) async fn open(
    shared: &sync::Arc<shared_state::SharedState>,
    address: net::SocketAddr,
    deadline: time::Instant,
) -> Result<Connection, call_error::CallError> {
    let failed = |reason: String| call_error::CallError::Connect(address, reason);
    let limit = deadline.min(time::Instant::now() + shared.settings.connect_timeout.duration());
    let stream = time::timeout_at(limit, tokio::net::TcpStream::connect(address))
        .await
        .map_err(|_| failed("timed out".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| failed(error.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER)
        .handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    counters::increment(&shared.counters.connects);
    let shared = sync::Arc::clone(shared);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            record_unexpected_bytes(&shared, address, &error);
        }
    });
    Ok(Connection { address, sender })
}

/// Counts and logs a connection that was closed because of bytes after a complete response.
pub(super) fn record_unexpected_bytes(
    shared: &shared_state::SharedState,
    address: net::SocketAddr,
    error: &hyper::Error,
) {
    if is_unexpected_bytes(error) {
        counters::increment(&shared.counters.unexpected_bytes);
        log::warn!("upstream={address} dropped=unexpected-bytes error=\"{error}\"");
    }
}

/// Whether the connection failed because bytes arrived while no call was in progress.
///
/// `hyper` has no predicate for this kind of error. It is identified by excluding all other kinds
/// and by the absence of a source.
fn is_unexpected_bytes(error: &hyper::Error) -> bool {
    error.source().is_none()
        && !error.is_body_write_aborted()
        && !error.is_canceled()
        && !error.is_closed()
        && !error.is_incomplete_message()
        && !error.is_parse()
        && !error.is_shutdown()
        && !error.is_timeout()
        && !error.is_user()
}
