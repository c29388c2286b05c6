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

use crate::http::error;
use crate::http::link;

/// How long a connection is kept when its upstream does not say.
const KEEP: clock::Millis = clock::Millis(3000);

/// A connection is left this long before its upstream closes it.
const KEEP_MARGIN: clock::Millis = clock::Millis(500);

/// Idle connections that are kept to one address.
const IDLE_LIMIT: usize = 4;

/// Longest answer that is read whole.
const ANSWER_LIMIT: usize = 8 << 20;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

struct Idle {
    link: link::Link,
    until: clock::Millis,
}

/// Connections by address.
#[derive(Default)]
pub struct Pool {
    clock: clock::SystemClock,
    idle: sync::Mutex<IndexMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, Vec<Idle>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn take(&self, address: net::SocketAddr) -> Option<link::Link> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let links = idle.get_mut(&address)?;
        links.retain(|idle| idle.until > now && idle.link.is_ready());
        let link = links.pop().map(|idle| idle.link);
        if links.is_empty() {
            idle.swap_remove(&address);
        }
        link
    }

    fn keep(&self, address: net::SocketAddr, link: link::Link, keep: Option<clock::Millis>) {
        let span = keep.map_or(KEEP, |keep| keep - KEEP_MARGIN);
        let until = self.clock.now().plus(span);
        if span == clock::Millis::ZERO || !link.is_ready() {
            return;
        }
        let mut idle = self.lock();
        let links = idle.entry(address).or_default();
        if links.len() < IDLE_LIMIT {
            links.push(Idle { link, until });
        }
    }

    /// Closes connections whose time is over.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, links| {
            links.retain(|idle| idle.until > now && idle.link.is_ready());
            !links.is_empty()
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
        request: &str,
        connect: clock::Millis,
    ) -> Result<Whole, error::SendError> {
        if let Some(link) = self.take(address) {
            match self.exchange(address, link, message.clone(), request).await {
                // The upstream closed the kept connection, which is no sign of its health.
                Err(failure) => {
                    log::debug!("event=kept-connection-lost reason={:?}", failure.reason);
                }
                whole => return whole,
            }
        }
        let link = link::Link::open(address, connect.duration()).await?;
        self.exchange(address, link, message, request).await
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        mut link: link::Link,
        message: Request<Full<Bytes>>,
        request: &str,
    ) -> Result<Whole, error::SendError> {
        let response = link.send(message).await?;
        let (head, body) = response.into_parts();
        let answer = answer::Answer::decode(head.status, &head.headers, request);
        if answer.is_own == Some(false) {
            return Err(error::SendError::broken(
                "the answer belongs to another request",
            ));
        }
        let body = link::read_whole(body, ANSWER_LIMIT).await?;
        self.keep(address, link, answer.keep);
        Ok(Whole {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
