//! News of the topics from other daemons.
//!
//! One daemon of each failure domain reads the store for the others, which saves most of the billed
//! calls. A daemon whose reader does not answer, or is not answered by the store, reads for itself.
//! A daemon that the store does not answer takes the news of any other one.

use std::net;
use std::sync;

use basilgrade_fleet::daemon;
use basilgrade_types::clock;
use rand::seq::IndexedRandom as _;

use crate::core;
use crate::follow::mirrors;
use crate::peers::links;
use crate::peers::rpc;

/// How long a reader holds a question when there is no news.
const HOLD_TIME: clock::Millis = clock::Millis(700);

/// Time for an answer beyond the wait.
///
/// With the wait, and the time to connect to the store, a lost reader costs less than the shortest
/// bound on configurations, 2.5 s.
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(450);

/// Time between two looks at who reads, while this daemon reads for itself.
const READER_CHECK_INTERVAL: clock::Millis = clock::Millis(400);

/// Time for an answer from another region.
const CROSS_REGION_TIMEOUT: clock::Millis = clock::Millis(800);

/// Follows other daemons.
pub struct Follower {
    /// Shared state.
    pub core: sync::Arc<core::Core>,
    /// The mirrors.
    pub mirrors: sync::Arc<mirrors::Mirrors>,
    /// Links to other daemons.
    pub links: sync::Arc<links::PeerLinks>,
}

impl Follower {
    /// Follows other daemons; never returns.
    pub async fn run(self) {
        loop {
            let Some(reader) = self.other_reader() else {
                self.mirrors
                    .set_reader(true, "this daemon is first in its failure domain");
                self.read_store_directly().await;
                continue;
            };
            match self
                .fetch_updates(reader.address, HOLD_TIME, HOLD_TIME.plus(ANSWER_TIMEOUT))
                .await
            {
                Ok(updates) if updates.is_store_reachable => {
                    self.apply_updates(updates);
                    self.mirrors.record_store_answer();
                    self.mirrors.set_reader(false, reader.name.as_str());
                }
                Ok(updates) => {
                    self.apply_updates(updates);
                    self.mirrors
                        .set_reader(true, "the reader does not reach the store");
                    self.read_store_directly().await;
                }
                Err(reason) => self.mirrors.set_reader(true, &reason),
            }
        }
    }

    /// The daemon that reads for this one, or `None` if it is itself.
    fn other_reader(&self) -> Option<daemon::Daemon> {
        let settings = self.core.settings.load();
        let is_domain_peer = |daemon: &daemon::Daemon| daemon.domain == settings.domain;
        let mut daemons = self.mirrors.daemons();
        daemons.retain(is_domain_peer);
        daemon::rank("reader", &mut daemons);
        let is_usable = |daemon: &daemon::Daemon| {
            daemon.name == settings.name || !self.links.is_backing_off(daemon.address)
        };
        let reader = daemons.into_iter().find(is_usable)?;
        (reader.name != settings.name).then_some(reader)
    }

    /// Leaves the reading to this daemon for a while; other daemons help if it fails.
    async fn read_store_directly(&self) {
        tokio::time::sleep(READER_CHECK_INTERVAL.duration()).await;
        if self.mirrors.is_store_reachable() {
            return;
        }
        let Some(address) = self.fallback_address() else {
            return;
        };
        match self
            .fetch_updates(address, clock::Millis::ZERO, CROSS_REGION_TIMEOUT)
            .await
        {
            Ok(updates) => self.apply_updates(updates),
            Err(reason) => {
                log::info!("event=news-unavailable address={address} reason={reason:?}");
            }
        }
    }

    async fn fetch_updates(
        &self,
        address: net::SocketAddr,
        wait: clock::Millis,
        limit: clock::Millis,
    ) -> Result<rpc::Updates, String> {
        let positions = self.mirrors.positions();
        self.links
            .call(address, limit, |peer, context| async move {
                peer.follow(context, positions, wait).await
            })
            .await
    }

    fn apply_updates(&self, updates: rpc::Updates) {
        for update in updates.updates {
            self.mirrors.apply_from_peer(update, updates.is_uncertain);
        }
        if updates.is_store_reachable && !updates.is_uncertain {
            self.mirrors.expire_missing();
        }
    }

    /// Any daemon that did not fail a moment ago.
    fn fallback_address(&self) -> Option<net::SocketAddr> {
        let settings = self.core.settings.load();
        let daemons = self.mirrors.daemons();
        let known = daemons.iter().map(|daemon| daemon.address);
        let addresses: Vec<_> = known
            .chain(settings.seeds.iter().copied())
            .filter(|peer| *peer != settings.peers && !self.links.is_backing_off(*peer))
            .collect();
        addresses.choose(&mut rand::rng()).copied()
    }
}
