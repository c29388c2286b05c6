//! Options of sockets.

use std::io;
use std::net;
use std::time;

use tokio::net as tokio_net;

/// Time without traffic after which the kernel probes a connection, and between its probes.
///
/// Connections can go silent without a reset. With two probes, a dead one is noticed after 3 s,
/// within the time that callers bear between events.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Time that sent bytes may go without an acknowledgement. A lost packet is repeated within 1 s.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Makes silent connections fail and small writes go out at once.
///
/// # Errors
///
/// An I/O error of the socket.
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

/// Connects within `limit`.
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
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    configure(&stream)?;
    Ok(stream)
}
