//! Updates of the topic mirrors from other daemons.
//!
//! One daemon of each failure domain, the reader, reads the store for the others, which saves most
//! of the billed store calls. If the store does not answer the reader, the next daemon by rank reads
//! it instead. A daemon reads the store itself if its reader does not answer. A daemon that the store
//! does not answer fetches updates from any other daemon.

use std::net;
use std::sync;

use basilgrade_adapter::store;
use basilgrade_fleet::daemon;
use basilgrade_fleet::news_pace;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use rand::seq::IndexedRandom as _;

use crate::core;
use crate::follow::mirrors;
use crate::follow::position;
use crate::peers::service;

/// Interval at which a daemon that reads the store itself determines the reader again.
const READER_CHECK_INTERVAL: clock::Millis = clock::Millis(400);

/// Time after which a daemon that the store does not answer may be asked again to read for others.
const UNABLE_TTL: clock::Millis = clock::Millis(1000);

/// Number of daemons that the store does not answer after which this daemon reads it itself.
const MAX_UNABLE: usize = 3;

/// Number of daemons whose answers tell the configuration in force, as one may have missed it.
const CONFIGURATION_ANSWERS: usize = 3;

/// Maximum number of daemons that are asked for it.
const MAX_CONFIGURATION_ASKS: usize = 10;

/// Time-out for the answer of a daemon that may be in another region.
const CROSS_REGION_TIMEOUT: clock::Millis = clock::Millis(800);

/// Keeps the mirrors up to date from other daemons, or has this daemon read the store.
pub struct Follower {
    pub core: sync::Arc<core::Core>,
    pub mirrors: sync::Arc<mirrors::Mirrors>,
}

impl Follower {
    /// Fetches updates from the reader of this failure domain, if it is another daemon; never
    /// returns.
    pub async fn run(self) {
        tokio::join!(self.learn_configurations(), self.follow());
    }

    async fn follow(&self) {
        // Daemons of this failure domain that the store does not answer, and until when they are
        // passed over.
        let mut unable: IndexMap<id::VmId, clock::Millis> = IndexMap::new();
        // Daemon that reads the store for this one, by its last answer.
        let mut source: Option<id::VmId> = None;
        let mut has_followed = false;
        loop {
            let hold_time = self.core.settings.load().news_pace().hold_time;
            let now = self.core.now();
            unable.retain(|_, until| *until > now);
            let is_able = |daemon: &daemon::Daemon| !unable.contains_key(&daemon.name);
            let Some(reader) = self.mirrors.other_reader(is_able) else {
                source = None;
                self.mirrors
                    .set_reader(true, "this daemon ranks first in its failure domain");
                self.read_store_directly().await;
                continue;
            };
            let is_source = source.as_ref() == Some(&reader.name);
            // A daemon that starts asks for an answer at once, to stop reading. Later, the wait leaves
            // time for a read of the store after the reader was lost: the next one may be behind.
            let wait = if has_followed {
                hold_time
            } else {
                clock::Millis::ZERO
            };
            let began_at = self.core.now();
            let limit = hold_time.plus(news_pace::READER_TIMEOUT);
            match self.fetch_updates(reader.address, wait, limit).await {
                Ok(updates) if updates.is_store_reachable => {
                    self.mirrors.apply_reply(updates, true);
                    self.mirrors.set_reader(false, reader.name.as_str());
                    source = Some(reader.name);
                    has_followed = true;
                }
                Ok(updates) => {
                    self.mirrors.apply_reply(updates, true);
                    log::info!("event=reader-unable reader={}", reader.name);
                    unable.insert(reader.name, self.core.now().plus(UNABLE_TTL));
                    // This daemon reads until it has found another source.
                    if is_source || source.is_none() {
                        source = None;
                        self.mirrors
                            .set_reader(true, "the store does not answer the reader");
                    }
                    if source.is_none() && unable.len() >= MAX_UNABLE {
                        self.read_store_directly().await;
                    }
                }
                Err(reason) => {
                    log::info!(
                        "event=reader-lost reader={} span={} reason={reason:?}",
                        reader.name,
                        self.core.now().since(began_at)
                    );
                    source = None;
                    self.mirrors.set_reader(true, &reason);
                }
            }
        }
    }

    /// Waits while this daemon's topic readers read the store; fetches updates from another daemon
    /// if the store does not answer.
    async fn read_store_directly(&self) {
        tokio::time::sleep(READER_CHECK_INTERVAL.duration()).await;
        if self.mirrors.is_every_topic_readable() {
            return;
        }
        let Some(address) = self.fallback_address() else {
            return;
        };
        match self
            .fetch_updates(address, clock::Millis::ZERO, CROSS_REGION_TIMEOUT)
            .await
        {
            Ok(updates) => self.mirrors.apply_reply(updates, false),
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
    ) -> Result<service::Updates, String> {
        let positions = self.mirrors.positions();
        self.fetch_updates_since(address, positions, wait, limit)
            .await
    }

    async fn fetch_updates_since(
        &self,
        address: net::SocketAddr,
        positions: [Option<position::Position>; 3],
        wait: clock::Millis,
        limit: clock::Millis,
    ) -> Result<service::Updates, String> {
        let links = &self.core.links;
        if !self.packs_updates(address) {
            let call = links.call(address, limit, |peer, context| async move {
                peer.updates(context, positions, wait).await
            });
            return call.await;
        }
        let call = links.call(address, limit, |peer, context| async move {
            peer.packed_updates(context, positions, wait).await
        });
        call.await??.unpack()
    }

    /// Whether the daemon at `address` has registered that it compresses updates.
    fn packs_updates(&self, address: net::SocketAddr) -> bool {
        let daemons = self.mirrors.daemons();
        let mut registered = daemons.iter().filter(|known| known.address == address);
        registered.any(|known| known.packs_updates)
    }

    /// Learns the configuration in force from other daemons at the start and whenever the store has
    /// come back from a copy, which may hold an older one than they have; never returns.
    async fn learn_configurations(&self) {
        let mut era = self.mirrors.subscribe_era();
        loop {
            self.learn_configuration().await;
            // The sender lives as long as the mirrors, so the error is ignored.
            let _ = era.changed().await;
        }
    }

    /// Asks random daemons for the configuration in force, until some have answered.
    async fn learn_configuration(&self) {
        let mut answers = 0;
        for _ in 0..MAX_CONFIGURATION_ASKS {
            tokio::time::sleep(READER_CHECK_INTERVAL.duration()).await;
            let Some(address) = self.fallback_address() else {
                continue;
            };
            let positions = mirrors::TOPICS
                .map(|topic| (topic != store::Topic::Operators).then_some(position::Position::MAX));
            let wait = clock::Millis::ZERO;
            let reply = self.fetch_updates_since(address, positions, wait, CROSS_REGION_TIMEOUT);
            if let Ok(reply) = reply.await
                && !reply.updates.is_empty()
            {
                self.mirrors.learn_configuration(&reply.updates);
                answers += 1;
            }
            if answers == CONFIGURATION_ANSWERS {
                return;
            }
        }
    }

    /// Address of a random daemon that has not recently failed, from the registered daemons and the
    /// seeds.
    fn fallback_address(&self) -> Option<net::SocketAddr> {
        let settings = self.core.settings.load();
        let daemons = self.mirrors.daemons();
        let known = daemons.iter().map(|daemon| daemon.address);
        let addresses: Vec<_> = known
            .chain(settings.seeds.iter().copied())
            .filter(|peer| *peer != settings.peers && !self.core.links.is_backing_off(*peer))
            .collect();
        addresses.choose(&mut rand::rng()).copied()
    }
}
