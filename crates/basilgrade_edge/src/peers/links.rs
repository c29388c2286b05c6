//! Persistent RPC connections to other daemons, opened on the first call.

use std::net;
use std::sync;
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

/// Maximum size of a message between daemons; the records of 1,200 upstreams take 0.5 MB.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

// A daemon that knows no tunnels closes a connection that begins like one.
const _: () = assert!(u32::from_be_bytes(message::PREAMBLE) as usize > MAX_MESSAGE_BYTES);

struct PeerLink {
    client: service::PeerClient,
    /// Cancelled when the link is dropped after a failure, which fails the calls in progress.
    closed: tokio_util::sync::CancellationToken,
}

/// Links to other daemons by address, and the daemons that get no calls for a while.
#[derive(Default)]
pub struct PeerLinks {
    open: sync::Mutex<IndexMap<net::SocketAddr, PeerLink>>,
    backoffs: sync::Mutex<IndexMap<net::SocketAddr, time::Instant>>,
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

    /// Drops the link to the daemon at `address` and stops new calls to it for a while; calls in
    /// progress fail at once.
    pub fn mark_failed(&self, address: net::SocketAddr, reason: &str) {
        lock(&self.backoffs).insert(address, time::Instant::now() + FAILURE_BACKOFF);
        if let Some(link) = lock(&self.open).swap_remove(&address) {
            log::warn!(
                "event=dependency-lost dependency=daemon address={address} reason={reason:?}"
            );
            link.closed.cancel();
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
        let (client, closed) = match self.connect(address).await {
            Ok(link) => link,
            Err(reason) => {
                self.mark_failed(address, &reason);
                return Err(reason);
            }
        };
        let mut context = context::current();
        context.deadline = std_time::Instant::now() + limit.min(MAX_CALL_TIME).duration();
        let outcome = tokio::select! {
            outcome = call(client, context) => outcome.map_err(|error| error.to_string()),
            () = closed.cancelled() => Err("another call to the daemon failed".to_owned()),
        };
        if let Err(reason) = &outcome {
            self.mark_failed(address, reason);
        }
        outcome
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
    ) -> Result<(service::PeerClient, tokio_util::sync::CancellationToken), String> {
        if let Some(link) = lock(&self.open).get(&address) {
            return Ok((link.client.clone(), link.closed.clone()));
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
            closed: tokio_util::sync::CancellationToken::new(),
        });
        Ok((link.client.clone(), link.closed.clone()))
    }
}
