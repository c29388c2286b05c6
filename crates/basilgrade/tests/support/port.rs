//! Fixed ports for daemons, so that a restarted daemon listens on the same addresses.

use std::net;
use std::sync;

/// First port to hand out. The range lies below the ephemeral ports, which the system uses for
/// outgoing connections and could take while a daemon restarts.
const FIRST_PORT: u16 = 20_000;

/// Number of blocks in the range.
const BLOCK_COUNT: u16 = 200;

/// Number of ports in a block, of which the first one is its guard.
const BLOCK_SIZE: u16 = 50;

/// Blocks of ports that belong to this process.
static PORTS: sync::Mutex<Ports> = sync::Mutex::new(Ports {
    guards: Vec::new(),
    next: 0,
    end: 0,
});

struct Ports {
    /// Listeners on the first port of each block, held until the process ends: other test processes
    /// pass over a block whose guard they cannot take.
    guards: Vec<net::TcpListener>,
    /// Next port to hand out.
    next: u16,
    /// End of the current block.
    end: u16,
}

impl Ports {
    fn claim_block(&mut self) {
        let block = |number| FIRST_PORT + number * BLOCK_SIZE;
        let claimed = (0..BLOCK_COUNT).find_map(|number| {
            let guard = net::TcpListener::bind(loopback(block(number))).ok()?;
            Some((number, guard))
        });
        let (number, guard) = claimed.expect("a block of ports is free");
        self.guards.push(guard);
        self.next = block(number) + 1;
        self.end = block(number) + BLOCK_SIZE;
    }
}

const fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::V4(net::SocketAddrV4::new(net::Ipv4Addr::LOCALHOST, port))
}

/// Whether nothing listens on `address`.
///
/// The socket only binds: a process that starts meanwhile holds a copy of it for a moment, and a copy
/// that listened would keep the daemon from doing so.
fn is_free(address: net::SocketAddr) -> bool {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("the system has sockets left");
    socket
        .set_reuse_address(true)
        .expect("the option can be set");
    socket.bind(&address.into()).is_ok()
}

/// Returns a loopback address that nothing listens on, another one at each call, which no other test
/// process is given while this one runs.
pub(crate) fn free_address() -> net::SocketAddr {
    let mut ports = PORTS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    loop {
        if ports.next == ports.end {
            ports.claim_block();
        }
        let address = loopback(ports.next);
        ports.next += 1;
        if is_free(address) {
            return address;
        }
    }
}
