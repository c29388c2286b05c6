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
use crate::follow::state;
use crate::peers::links;
use crate::peers::service;

/// How long a reader holds a question when there is no news.
const WAIT: clock::Millis = clock::Millis(700);

/// Time for an answer beyond the wait.
///
/// With the wait, and the time to connect to the store, a lost reader costs less than the shortest
/// bound on configurations, 2.5 s.
const ANSWER_LIMIT: clock::Millis = clock::Millis(450);

/// Time between two looks at who reads, while this daemon reads for itself.
const LOOK_EVERY: clock::Millis = clock::Millis(400);

/// Time for an answer from another region.
const FAR_LIMIT: clock::Millis = clock::Millis(800);

/// Follows other daemons.
pub struct Follower {
    /// Shared state.
    pub core: sync::Arc<core::Core>,
    /// The mirrors.
    pub state: sync::Arc<state::State>,
    /// Links to other daemons.
    pub links: sync::Arc<links::Links>,
}

impl Follower {
    /// Follows other daemons; never returns.
    pub async fn run(self) {
        loop {
            let Some(reader) = self.reader() else {
                self.state
                    .set_reader(true, "this daemon is first in its failure domain");
                self.read_alone().await;
                continue;
            };
            match self
                .ask(reader.address, WAIT, WAIT.plus(ANSWER_LIMIT))
                .await
            {
                Ok(news) if news.is_reached => {
                    self.adopt(news);
                    self.state.reached();
                    self.state.set_reader(false, reader.name.as_str());
                }
                Ok(news) => {
                    self.adopt(news);
                    self.state
                        .set_reader(true, "the reader does not reach the store");
                    self.read_alone().await;
                }
                Err(reason) => self.state.set_reader(true, &reason),
            }
        }
    }

    /// The daemon that reads for this one, or `None` if it is itself.
    fn reader(&self) -> Option<daemon::Daemon> {
        let settings = self.core.settings.load();
        let is_near = |daemon: &daemon::Daemon| daemon.domain == settings.domain;
        let mut daemons = self.state.daemons();
        daemons.retain(is_near);
        daemon::rank("reader", &mut daemons);
        let is_usable = |daemon: &daemon::Daemon| {
            daemon.name == settings.name || !self.links.is_resting(daemon.address)
        };
        let first = daemons.into_iter().find(is_usable)?;
        (first.name != settings.name).then_some(first)
    }

    /// Leaves the reading to this daemon for a while; other daemons help if it fails.
    async fn read_alone(&self) {
        tokio::time::sleep(LOOK_EVERY.duration()).await;
        if self.state.is_reached() {
            return;
        }
        let Some(address) = self.helper() else {
            return;
        };
        match self.ask(address, clock::Millis::ZERO, FAR_LIMIT).await {
            Ok(news) => self.adopt(news),
            Err(reason) => {
                log::info!("event=news-unavailable address={address} reason={reason:?}");
            }
        }
    }

    async fn ask(
        &self,
        address: net::SocketAddr,
        wait: clock::Millis,
        limit: clock::Millis,
    ) -> Result<service::Updates, String> {
        let positions = self.state.positions();
        self.links
            .call(address, limit, |peer, context| async move {
                peer.follow(context, positions, wait).await
            })
            .await
    }

    fn adopt(&self, news: service::Updates) {
        for update in news.updates {
            self.state.adopt(update, news.is_uncertain);
        }
        if news.is_reached && !news.is_uncertain {
            self.state.expire_missing();
        }
    }

    /// Any daemon that did not fail a moment ago.
    fn helper(&self) -> Option<net::SocketAddr> {
        let settings = self.core.settings.load();
        let daemons = self.state.daemons();
        let known = daemons.iter().map(|daemon| daemon.address);
        let addresses: Vec<_> = known
            .chain(settings.seeds.iter().copied())
            .filter(|address| *address != settings.peers && !self.links.is_resting(*address))
            .collect();
        addresses.choose(&mut rand::rng()).copied()
    }
}
