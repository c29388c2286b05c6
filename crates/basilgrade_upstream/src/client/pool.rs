//! Idle connections.

use std::net;
use std::sync;

use basilgrade_types::clock;
use indexmap::IndexMap;
use tokio::time;

use crate::client::connection;

/// Time between searches of the whole pool for connections to drop.
const SWEEP: clock::Millis = clock::Millis(1000);

#[derive(Debug)]
struct Idle {
    connection: connection::Connection,
    since: time::Instant,
}

#[derive(Debug)]
struct State {
    idle: IndexMap<net::SocketAddr, Vec<Idle>>,
    swept: time::Instant,
}

/// Idle connections by upstream, bounded for each upstream and in age.
#[derive(Debug)]
pub(super) struct Pool {
    state: sync::Mutex<State>,
    limit: usize,
    age: clock::Millis,
}

impl Pool {
    pub(super) fn new(limit: usize, age: clock::Millis) -> Self {
        Self {
            state: sync::Mutex::new(State {
                idle: IndexMap::new(),
                swept: time::Instant::now(),
            }),
            limit,
            age,
        }
    }

    /// The connection used last, because it is the least likely to have been closed.
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

    /// Keeps a connection whose last answer was read completely.
    pub(super) fn put(&self, connection: connection::Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut state = self.lock();
        let now = time::Instant::now();
        if now.duration_since(state.swept) >= SWEEP.duration() {
            state.swept = now;
            state.idle.retain(|_, idle| {
                idle.retain(|entry| self.is_usable(entry));
                !idle.is_empty()
            });
        }
        let idle = state.idle.entry(connection.address).or_default();
        if idle.len() < self.limit {
            idle.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// The number of idle connections to an upstream.
    pub(super) fn count(&self, address: net::SocketAddr) -> usize {
        self.lock().idle.get(&address).map_or(0, Vec::len)
    }

    fn is_usable(&self, entry: &Idle) -> bool {
        !entry.connection.sender.is_closed() && entry.since.elapsed() < self.age.duration()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // No code that holds the lock leaves the state inconsistent when it panics.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
