//! Pool of idle keep-alive connections, for idempotent calls to the store.

use std::net;
use std::sync;

use basilgrade_adapter::answer;
use basilgrade_types::clock;
use basilgrade_types::clock::Clock as _;
use basilgrade_types::verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use indexmap::IndexMap;

use crate::http::connection;
use crate::http::error;
use crate::http::socket;

/// Time for which an idle connection is kept if the answer states no keep-alive time-out.
const DEFAULT_KEEP_ALIVE: clock::Millis = clock::Millis(3000);

/// Margin by which an idle connection is discarded before its stated keep-alive time-out.
const KEEP_ALIVE_MARGIN: clock::Millis = clock::Millis(500);

/// Maximum number of idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Maximum size of the body of an answer.
pub(super) const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Answer of an upstream or the store, with the body read into memory.
#[derive(Clone, Debug)]
pub struct BufferedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Functions that are called during a call.
struct Watch<A, H> {
    /// Whether the call may be sent; the argument tells whether it may have been sent before.
    is_allowed: A,
    /// Called when the head of an answer has arrived.
    on_head: H,
}

struct IdleConnection {
    connection: connection::Connection,
    expires_at: clock::Millis,
}

/// Idle keep-alive connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    clock: clock::SystemClock,
    idle: sync::Mutex<IndexMap<net::SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn take(&self, address: net::SocketAddr) -> Option<connection::Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
        let connection = connections.pop().map(|idle| idle.connection);
        if connections.is_empty() {
            idle.swap_remove(&address);
        }
        connection
    }

    fn keep(
        &self,
        address: net::SocketAddr,
        connection: connection::Connection,
        keep_alive: Option<clock::Millis>,
    ) {
        let keep_time = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time - KEEP_ALIVE_MARGIN);
        let expires_at = self.clock.now().plus(keep_time);
        if keep_time == clock::Millis::ZERO || !connection.is_ready() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes idle connections that have expired or that the upstream has closed.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
            !connections.is_empty()
        });
    }

    /// Sends an idempotent call and reads the answer into memory.
    ///
    /// If the call fails on an idle connection, it is sent again on a new one.
    ///
    /// An answer that echoes a request id other than `request_id` is an error.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict on whether the call may have run.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        message: Request<Full<Bytes>>,
        request_id: &str,
        connect_timeout: clock::Millis,
    ) -> Result<BufferedAnswer, error::SendError> {
        self.call_while(address, message, request_id, connect_timeout, |_| true)
            .await
    }

    /// Like [`ConnectionPool::call`], and calls `on_head` when the head of an answer has arrived.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict on whether the call may have run.
    pub async fn call_noting_head(
        &self,
        address: net::SocketAddr,
        message: Request<Full<Bytes>>,
        connect_timeout: clock::Millis,
        on_head: impl Fn(),
    ) -> Result<BufferedAnswer, error::SendError> {
        let watch = Watch {
            is_allowed: |_| true,
            on_head,
        };
        self.call_watched(address, message, "", connect_timeout, &watch)
            .await
    }

    /// Like [`ConnectionPool::call`], but sends nothing unless `is_allowed` holds when a connection
    /// is open; its argument tells whether the call may have reached the address before.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict on whether the call may have run.
    pub async fn call_while(
        &self,
        address: net::SocketAddr,
        message: Request<Full<Bytes>>,
        request_id: &str,
        connect_timeout: clock::Millis,
        is_allowed: impl Fn(bool) -> bool,
    ) -> Result<BufferedAnswer, error::SendError> {
        let watch = Watch {
            is_allowed,
            on_head: || (),
        };
        self.call_watched(address, message, request_id, connect_timeout, &watch)
            .await
    }

    async fn call_watched(
        &self,
        address: net::SocketAddr,
        message: Request<Full<Bytes>>,
        request_id: &str,
        connect_timeout: clock::Millis,
        watch: &Watch<impl Fn(bool) -> bool, impl Fn()>,
    ) -> Result<BufferedAnswer, error::SendError> {
        let mut verdict = verdict::Verdict::NotRun;
        let forbidden = |verdict| error::SendError {
            verdict,
            reason: "the upstream gets no more calls".to_owned(),
        };
        if !(watch.is_allowed)(false) {
            return Err(forbidden(verdict));
        }
        if let Some(connection) = self.take(address) {
            match self
                .exchange(address, connection, message.clone(), request_id, watch)
                .await
            {
                // An upstream may close an idle connection at any time; the call is sent again on a
                // new connection.
                Err(failure) => {
                    log::debug!("event=kept-connection-lost reason={:?}", failure.reason);
                    verdict = failure.verdict;
                }
                outcome => return outcome,
            }
        }
        let timeout = connect_timeout.duration();
        let connecting = connection::Connection::open(address, timeout, socket::Patience::Call);
        let connection = connecting.await?;
        if !(watch.is_allowed)(verdict != verdict::Verdict::NotRun) {
            return Err(forbidden(verdict));
        }
        self.exchange(address, connection, message, request_id, watch)
            .await
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        mut connection: connection::Connection,
        message: Request<Full<Bytes>>,
        request_id: &str,
        watch: &Watch<impl Fn(bool) -> bool, impl Fn()>,
    ) -> Result<BufferedAnswer, error::SendError> {
        let response = connection.send(message).await?;
        (watch.on_head)();
        let (head, body) = response.into_parts();
        let answer = answer::Answer::decode(head.status, &head.headers, request_id);
        if answer.is_matching == Some(false) {
            return Err(error::SendError::broken(
                "the answer echoes the id of another request",
            ));
        }
        let body = connection::read_body(body, MAX_ANSWER_BYTES).await?;
        self.keep(address, connection, answer.keep_alive);
        Ok(BufferedAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
