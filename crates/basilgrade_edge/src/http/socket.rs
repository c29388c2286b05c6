//! TCP options of connections to callers, upstreams, daemons and the store.

use std::io;
use std::net;
use std::time;

use tokio::net as tokio_net;

/// TCP keep-alive: idle time before the first probe, and interval between probes.
///
/// A connection can fail without a reset. With [`KEEPALIVE_PROBES`] = 2, such a failure is detected
/// after 3 s, within the gap between events that callers tolerate.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// TCP keep-alive: number of unanswered probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// TCP user time-out: maximum time for which sent bytes may stay unacknowledged. It leaves room for
/// the retransmission of a lost packet, which takes up to 1 s.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Sets keep-alive and the user time-out, so that dead connections fail, and disables Nagle's
/// algorithm, so that small writes are sent at once.
///
/// # Errors
///
/// An I/O error if an option cannot be set.
pub fn configure(stream: &tokio_net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Connects to `address`, with a time-out.
///
/// # Errors
///
/// An I/O error; no byte was sent.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<tokio_net::TcpStream> {
    let connecting = tokio_net::TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| {
            io::Error::new(
                io::ErrorKind::TimedOut,
                "the connection was not established within the time-out",
            )
        })??;
    configure(&stream)?;
    Ok(stream)
}
