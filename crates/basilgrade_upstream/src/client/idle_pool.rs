//! Pool of idle connections.

use std::net;
use std::sync;

use basilgrade_types::clock;
use indexmap::IndexMap;
use tokio::time;

use crate::client::connection;

/// Minimum time between two sweeps that drop unusable connections of all upstreams.
const SWEEP_INTERVAL: clock::Millis = clock::Millis(1000);

#[derive(Debug)]
struct Idle {
    connection: connection::Connection,
    idle_since: time::Instant,
}

#[derive(Debug)]
struct State {
    idle: IndexMap<net::SocketAddr, Vec<Idle>>,
    last_sweep: time::Instant,
}

/// Idle connections by upstream, bounded in number per upstream and in idle time.
#[derive(Debug)]
pub(super) struct Pool {
    state: sync::Mutex<State>,
    max_idle: usize,
    idle_timeout: clock::Millis,
}

impl Pool {
    pub(super) fn new(max_idle: usize, idle_timeout: clock::Millis) -> Self {
        Self {
            state: sync::Mutex::new(State {
                idle: IndexMap::new(),
                last_sweep: time::Instant::now(),
            }),
            max_idle,
            idle_timeout,
        }
    }

    /// Takes the connection used last, because it is the least likely to have been closed.
    pub(super) fn take(&self, address: net::SocketAddr) -> Option<connection::Connection> {
        let mut state = self.lock();
        let idle = state.idle.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            if self.is_usable(&entry) {
                return Some(entry.connection);
            }
        }
        state.idle.swap_remove(&address);
        None
    }

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub(super) fn put(&self, connection: connection::Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut state = self.lock();
        let now = time::Instant::now();
        if now.duration_since(state.last_sweep) >= SWEEP_INTERVAL.duration() {
            state.last_sweep = now;
            state.idle.retain(|_, idle| {
                idle.retain(|entry| self.is_usable(entry));
                !idle.is_empty()
            });
        }
        let idle = state.idle.entry(connection.address).or_default();
        if idle.len() < self.max_idle {
            idle.push(Idle {
                connection,
                idle_since: now,
            });
        }
    }

    /// Number of idle connections to the upstream at `address`.
    pub(super) fn count(&self, address: net::SocketAddr) -> usize {
        self.lock().idle.get(&address).map_or(0, Vec::len)
    }

    fn is_usable(&self, entry: &Idle) -> bool {
        !entry.connection.sender.is_closed()
            && entry.idle_since.elapsed() < self.idle_timeout.duration()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // A poisoned lock is usable: a panic while it is held leaves the state consistent.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
