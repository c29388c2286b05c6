//! Links to other daemons, opened when needed and kept.

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

/// Time to connect to a daemon, which is inside the platform's network.
const CONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(400);

/// A daemon that failed is left alone for this long.
const REST: std_time::Duration = std_time::Duration::from_millis(1500);

/// A daemon that shuts down is left alone for this long; it ends, or is back, soon after.
const LEAVING_REST: std_time::Duration = std_time::Duration::from_secs(4);

/// Longest message between daemons; a copy of the directory at 1,200 upstreams takes 0.5 MB.
const MESSAGE_LIMIT: usize = 16 << 20;

struct Link {
    client: service::PeerClient,
    /// Wakes calls in progress when the daemon is given up.
    lost: tokio_util::sync::CancellationToken,
}

/// Links by address.
#[derive(Default)]
pub struct Links {
    open: sync::Mutex<IndexMap<net::SocketAddr, Link>>,
    resting: sync::Mutex<IndexMap<net::SocketAddr, time::Instant>>,
}

/// Frames messages of a stream.
pub(super) fn frames() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Links {
    /// Whether the daemon at `address` failed a moment ago.
    pub fn is_resting(&self, address: net::SocketAddr) -> bool {
        let mut resting = lock(&self.resting);
        match resting.get(&address) {
            Some(until) if *until > time::Instant::now() => true,
            Some(_) => {
                resting.swap_remove(&address);
                false
            }
            None => false,
        }
    }

    /// Sends no new calls to a daemon that is shutting down; those in progress go on.
    pub fn avoid(&self, address: net::SocketAddr) {
        let until = time::Instant::now() + LEAVING_REST;
        if lock(&self.resting).insert(address, until).is_none() {
            log::info!("event=daemon-leaving address={address}");
        }
    }

    /// Gives up a daemon; calls to it fail at once.
    pub fn give_up(&self, address: net::SocketAddr, reason: &str) {
        lock(&self.resting).insert(address, time::Instant::now() + REST);
        if let Some(link) = lock(&self.open).swap_remove(&address) {
            log::warn!(
                "event=dependency-lost dependency=daemon address={address} reason={reason:?}"
            );
            link.lost.cancel();
        }
    }

    /// Makes one call to the daemon at `address`, within `limit`.
    ///
    /// # Errors
    ///
    /// What went wrong; the daemon rests afterwards.
    pub async fn call<T, F>(
        &self,
        address: net::SocketAddr,
        limit: clock::Millis,
        call: impl FnOnce(service::PeerClient, context::Context) -> F,
    ) -> Result<T, String>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let (client, lost) = match self.link(address).await {
            Ok(link) => link,
            Err(reason) => {
                self.give_up(address, &reason);
                return Err(reason);
            }
        };
        let mut context = context::current();
        context.deadline = std_time::Instant::now() + limit.duration();
        let outcome = tokio::select! {
            outcome = call(client, context) => outcome.map_err(|error| error.to_string()),
            () = lost.cancelled() => Err("the daemon was given up".to_owned()),
        };
        if let Err(reason) = &outcome {
            self.give_up(address, reason);
        }
        outcome
    }

    async fn link(
        &self,
        address: net::SocketAddr,
    ) -> Result<(service::PeerClient, tokio_util::sync::CancellationToken), String> {
        if let Some(link) = lock(&self.open).get(&address) {
            return Ok((link.client.clone(), link.lost.clone()));
        }
        let stream = socket::connect(address, CONNECT_LIMIT)
            .await
            .map_err(|error| error.to_string())?;
        let framed = codec::Framed::new(stream, frames());
        let transport =
            tokio_serde::Framed::new(framed, postcard_format::PostcardFormat::default());
        let client = service::PeerClient::new(client::Config::default(), transport).spawn();
        let mut open = lock(&self.open);
        // Two calls may have connected at the same time; the first link is kept.
        let link = open.entry(address).or_insert_with(|| Link {
            client,
            lost: tokio_util::sync::CancellationToken::new(),
        });
        Ok((link.client.clone(), link.lost.clone()))
    }
}
