//! Fixed ports for daemons, so that a restarted daemon listens on the same addresses.

use std::net;
use std::process;
use std::sync::atomic;

/// First port to hand out. The range lies below the ephemeral ports, which the system uses for
/// outgoing connections and could take while a daemon restarts.
const FIRST_PORT: u16 = 20_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 10_000;

/// Offset of the next port to probe, relative to the start offset of this process.
static NEXT_OFFSET: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Returns a loopback address that nothing listens on, another one at each call.
///
/// The start offset depends on the process id, so that concurrent test processes probe different
/// ports.
pub(crate) fn free_address() -> net::SocketAddr {
    let start_offset = (process::id() % 97) as u16 * 100;
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST_PORT + (start_offset + offset) % PORT_COUNT;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
