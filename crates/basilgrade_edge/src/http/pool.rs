//! Kept connections, for calls that may be sent again.

use std::net;
use std::sync;

use basilgrade_adapter::answer;
use basilgrade_types::clock;
use basilgrade_types::clock::Clock as _;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use indexmap::IndexMap;

use crate::http::connection;
use crate::http::send_error;

/// How long a connection is kept when its upstream does not say.
const DEFAULT_KEEP_ALIVE: clock::Millis = clock::Millis(3000);

/// A connection is left this long before its upstream closes it.
const KEEP_ALIVE_MARGIN: clock::Millis = clock::Millis(500);

/// Idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Longest answer that is read whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

struct IdleConnection {
    connection: connection::Connection,
    expires_at: clock::Millis,
}

/// Connections by address.
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

    /// Closes connections whose time is over.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
            !connections.is_empty()
        });
    }

    /// Sends a call that may run more than once, and reads its answer whole.
    ///
    /// `request` is the id that the answer has to echo, if it echoes one.
    ///
    /// # Errors
    ///
    /// [`error::SendError`] with the verdict.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        message: Request<Full<Bytes>>,
        request_id: &str,
        connect_timeout: clock::Millis,
    ) -> Result<BufferedResponse, send_error::SendError> {
        if let Some(connection) = self.take(address) {
            match self
                .exchange(address, connection, message.clone(), request_id)
                .await
            {
                // The upstream closed the kept connection, which is no sign of its health.
                Err(failure) => {
                    log::debug!("event=kept-connection-lost reason={:?}", failure.reason);
                }
                outcome => return outcome,
            }
        }
        let connection = connection::Connection::open(address, connect_timeout.duration()).await?;
        self.exchange(address, connection, message, request_id)
            .await
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        mut connection: connection::Connection,
        message: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<BufferedResponse, send_error::SendError> {
        let response = connection.send(message).await?;
        let (head, body) = response.into_parts();
        let answer = answer::Answer::decode(head.status, &head.headers, request_id);
        if answer.is_own == Some(false) {
            return Err(send_error::SendError::broken(
                "the answer belongs to another request",
            ));
        }
        let body = connection::read_body(body, MAX_ANSWER_BYTES).await?;
        self.keep(address, connection, answer.keep);
        Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
