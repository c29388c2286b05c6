//! Ports that stay the same when a daemon is restarted.

use std::net;
use std::process;
use std::sync::atomic;

/// Below the range from which the system takes ports for outgoing connections.
const FIRST: u16 = 20_000;
const SPAN: u16 = 10_000;

static NEXT: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// A loopback address that nothing listens on.
pub(crate) fn free() -> net::SocketAddr {
    let start = (process::id() % 97) as u16 * 100;
    loop {
        let step = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST + (start + step) % SPAN;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
