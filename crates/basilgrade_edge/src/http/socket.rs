//! TCP options of connections to callers, upstreams, daemons and the store.

use std::io;
use std::net;
use std::time;

use tokio::net as tokio_net;

/// TCP keep-alive: idle time before the first probe, and interval between probes.
///
/// A peer that has started anew answers a probe with a reset, so its connections fail at once.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Send buffer of connections to callers and upstreams; the system would keep some MB for a peer that
/// reads slowly, which no account counts.
pub const SEND_BUFFER: usize = 128 << 10;

/// How long a connection outlasts a peer that does not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Patience {
    /// Until a call is better made on another connection: daemons and the store.
    Call,
    /// As long as callers wait for the next part of an answer.
    Caller,
    /// Beyond any time-out of a route, as an answer may be in progress that no other upstream can
    /// replace.
    Answer,
}

impl Patience {
    /// Number of unanswered probes after which a connection fails.
    const fn probes(self) -> u32 {
        match self {
            Self::Call => 2,
            Self::Caller => 10,
            Self::Answer => 120,
        }
    }

    /// Maximum time for which sent bytes may stay unacknowledged, which also ends the probes.
    ///
    /// The time for calls leaves room for the retransmission of a lost packet, which takes up to
    /// 1 s.
    const fn unacknowledged(self) -> Option<time::Duration> {
        match self {
            Self::Call => Some(time::Duration::from_millis(2500)),
            Self::Caller => Some(time::Duration::from_secs(10)),
            Self::Answer => None,
        }
    }
}

/// Sets keep-alive and the user time-out, so that dead connections fail after `patience`, and
/// disables Nagle's algorithm, so that small writes are sent at once.
///
/// # Errors
///
/// An I/O error if an option cannot be set.
pub fn configure(stream: &tokio_net::TcpStream, patience: Patience) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(patience.probes());
    socket.set_tcp_keepalive(&probes)?;
    if patience != Patience::Call {
        socket.set_send_buffer_size(SEND_BUFFER)?;
    }
    socket.set_tcp_user_timeout(patience.unacknowledged())
}

/// Connects to `address`, with a time-out.
///
/// # Errors
///
/// An I/O error; no byte was sent.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
    patience: Patience,
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
    configure(&stream, patience)?;
    Ok(stream)
}
