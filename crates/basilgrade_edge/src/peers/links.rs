//! Persistent RPC connections to other daemons, opened on the first call.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use basilgrade_peer::postcard_format;
use basilgrade_types::clock;
use indexmap::IndexMap;
use tarpc::client;
use tarpc::context;
use tokio::time;
use tokio_util::codec;

use crate::http::socket;
use crate::peers::service;
use crate::tunnel::message;

/// Time-out for connecting to another daemon inside the platform's network.
const CONNECT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);

/// Time during which a daemon gets no new calls after a failed call to it.
const FAILURE_BACKOFF: std_time::Duration = std_time::Duration::from_millis(1500);

/// Time during which a daemon gets no new calls after it reports that it is shutting down; by then
/// it has ended or restarted.
const LEAVING_BACKOFF: std_time::Duration = std_time::Duration::from_secs(4);

/// Longest time-out of a call, within the range of the timers of tarpc; they panic beyond it.
const MAX_CALL_TIME: clock::Millis = clock::Millis::from_secs(24 * 3600);

/// Number of failures in a row after which calls in progress are also made elsewhere.
const UNRESPONSIVE_FAILURES: u32 = 2;

/// Maximum size of a message between daemons; the records of 1,200 upstreams take 0.5 MB.
pub(super) const MAX_MESSAGE_BYTES: usize = 16 << 20;

// A daemon that knows no tunnels closes a connection that begins like one.
const _: () = assert!(u32::from_be_bytes(message::PREAMBLE) as usize > MAX_MESSAGE_BYTES);

/// Connection to another daemon; it closes when its last call ends.
#[derive(Clone)]
struct PeerLink {
    client: service::PeerClient,
    /// Distinguishes the link from later ones to the same daemon.
    number: u64,
}

/// Links to other daemons by address, and the daemons that get no calls for a while.
#[derive(Default)]
pub struct PeerLinks {
    open: sync::Mutex<IndexMap<net::SocketAddr, PeerLink>>,
    backoffs: sync::Mutex<IndexMap<net::SocketAddr, time::Instant>>,
    /// Number of failures of each daemon since its last answer.
    failures: sync::Mutex<IndexMap<net::SocketAddr, u32>>,
    has_failed: tokio::sync::Notify,
    /// Number of links opened so far.
    opened: atomic::AtomicU64,
}

/// Codec that separates the messages on a connection by a length prefix.
pub(super) fn frame_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl PeerLinks {
    /// Whether the daemon at `address` recently failed or reported its shutdown, so that it gets no
    /// new calls for now.
    pub fn is_backing_off(&self, address: net::SocketAddr) -> bool {
        let mut backoffs = lock(&self.backoffs);
        match backoffs.get(&address) {
            Some(until) if *until > time::Instant::now() => true,
            Some(_) => {
                backoffs.swap_remove(&address);
                false
            }
            None => false,
        }
    }

    /// Stops new calls to the daemon at `address`, which is shutting down; calls in progress go on.
    pub fn mark_leaving(&self, address: net::SocketAddr) {
        let until = time::Instant::now() + LEAVING_BACKOFF;
        if lock(&self.backoffs).insert(address, until).is_none() {
            log::info!("event=daemon-leaving address={address}");
        }
    }

    /// Stops new calls to the daemon at `address` for a while; later ones get a new connection.
    ///
    /// Calls in progress on `link` go on: a daemon that stood still answers them, and a broken
    /// connection ends them. A link that was replaced before tells nothing of the daemon now.
    fn retire(&self, address: net::SocketAddr, link: &PeerLink, reason: &str) {
        let mut open = lock(&self.open);
        if open
            .get(&address)
            .is_none_or(|known| known.number != link.number)
        {
            return;
        }
        open.swap_remove(&address);
        self.back_off(address);
        log::warn!("event=dependency-lost dependency=daemon address={address} reason={reason:?}");
    }

    fn back_off(&self, address: net::SocketAddr) {
        lock(&self.backoffs).insert(address, time::Instant::now() + FAILURE_BACKOFF);
        *lock(&self.failures).entry(address).or_default() += 1;
        self.has_failed.notify_waiters();
    }

    fn failures(&self, address: net::SocketAddr) -> u32 {
        lock(&self.failures)
            .get(&address)
            .copied()
            .unwrap_or_default()
    }

    /// Waits until the daemon at `address` fails again and has failed `UNRESPONSIVE_FAILURES` times
    /// in a row.
    ///
    /// One late call may come from a short standstill, after which the daemon goes on.
    pub async fn wait_unresponsive(&self, address: net::SocketAddr) {
        let mut known = self.failures(address);
        loop {
            let failed = self.has_failed.notified();
            let failures = self.failures(address);
            if failures > known && failures >= UNRESPONSIVE_FAILURES {
                return;
            }
            // An answer starts the count anew.
            known = known.min(failures);
            failed.await;
        }
    }

    /// Makes one call to the daemon at `address`, within `limit`.
    ///
    /// # Errors
    ///
    /// The reason of the failure; the daemon gets no new calls for `FAILURE_BACKOFF`.
    pub async fn call<T, F>(
        &self,
        address: net::SocketAddr,
        limit: clock::Millis,
        call: impl FnOnce(service::PeerClient, context::Context) -> F,
    ) -> Result<T, String>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let link = self
            .connect(address)
            .await
            .inspect_err(|_| self.back_off(address))?;
        let mut context = context::current();
        context.deadline = std_time::Instant::now() + limit.min(MAX_CALL_TIME).duration();
        let outcome = call(link.client.clone(), context).await;
        match outcome {
            Ok(reply) => {
                lock(&self.failures).swap_remove(&address);
                Ok(reply)
            }
            Err(error) => {
                let reason = error.to_string();
                self.retire(address, &link, &reason);
                Err(reason)
            }
        }
    }

    async fn connect(&self, address: net::SocketAddr) -> Result<PeerLink, String> {
        if let Some(link) = lock(&self.open).get(&address) {
            return Ok(link.clone());
        }
        let stream = socket::connect(address, CONNECT_TIMEOUT, socket::Patience::Call)
            .await
            .map_err(|error| error.to_string())?;
        let framed = codec::Framed::new(stream, frame_codec());
        let transport =
            tokio_serde::Framed::new(framed, postcard_format::PostcardFormat::default());
        let client = service::PeerClient::new(client::Config::default(), transport).spawn();
        let mut open = lock(&self.open);
        // Another call may have connected at the same time; the first link is kept.
        let link = open.entry(address).or_insert_with(|| PeerLink {
            client,
            number: self.opened.fetch_add(1, atomic::Ordering::Relaxed),
        });
        Ok(link.clone())
    }
}
