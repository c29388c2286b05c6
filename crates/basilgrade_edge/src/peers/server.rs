//! Answers to other daemons.

use std::sync;

use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_peer::postcard_format;
use basilgrade_types::clock;
use basilgrade_types::id;
use futures::StreamExt;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel;
use tokio::net;
use tokio_util::codec;

use crate::core;
use crate::follow::state;
use crate::gather::gatherers;
use crate::gather::router;
use crate::http::socket;
use crate::peers::links;
use crate::peers::service;
use crate::peers::service::Peer as _;

/// Answers calls of other daemons.
#[derive(Clone)]
pub struct Server {
    /// Shared state.
    pub core: sync::Arc<core::Core>,
    /// The mirrors.
    pub state: sync::Arc<state::State>,
    /// The queues of this daemon.
    pub gatherers: sync::Arc<gatherers::Gatherers>,
    /// Chooses queues for the daemons of this failure domain.
    pub router: sync::Arc<router::Router>,
}

impl service::Peer for Server {
    async fn gather(
        self,
        _: context::Context,
        duty: duty::Duty,
        job: job::Job,
    ) -> service::Gathered {
        if self.core.is_draining() {
            return service::Gathered::Leaving;
        }
        let (outcome, load) = match &duty.scope {
            duty::Scope::Queue(domain) => self.gatherers.make(&duty.pool, domain, job).await,
            duty::Scope::Route(_) => self.router.make(&duty.pool, job).await,
        };
        if outcome == outcome::JobOutcome::HandedBack && self.core.is_draining() {
            return service::Gathered::Leaving;
        }
        service::Gathered::Ended(outcome, load)
    }

    async fn release(
        self,
        _: context::Context,
        pool: id::PoolId,
        domain: id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) -> service::Release {
        if self.core.is_draining() {
            return service::Release::Leaving;
        }
        self.gatherers.release(&pool, &domain, handles, bytes);
        service::Release::Taken
    }

    async fn loads(self, _: context::Context, duties: Vec<duty::Duty>) -> Option<Vec<load::Load>> {
        if self.core.is_draining() {
            return None;
        }
        let load = |duty: &duty::Duty| match &duty.scope {
            duty::Scope::Queue(domain) => self.gatherers.load(&duty.pool, domain),
            duty::Scope::Route(_) => self.router.load(&duty.pool),
        };
        Some(duties.iter().map(load).collect())
    }

    async fn follow(
        self,
        _: context::Context,
        positions: [Option<u64>; 3],
        wait: clock::Millis,
    ) -> service::Updates {
        let mut changes = self.state.changes();
        let mut updates = self.state.since(positions);
        if updates.is_empty() && self.state.is_reached() {
            // Whether a change came or the wait is over, the answer is what is known then.
            let _ = tokio::time::timeout(wait.duration(), changes.changed()).await;
            updates = self.state.since(positions);
        }
        service::Updates {
            is_reached: self.state.is_reached()
                && self.state.is_reader()
                && !self.core.is_draining(),
            is_uncertain: self.state.is_uncertain(),
            updates,
        }
    }
}

impl Server {
    /// Accepts other daemons; never returns.
    pub async fn run(self, listener: net::TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(
                        "event=accept-failed listener=peers reason={:?}",
                        error.to_string()
                    );
                    tokio::time::sleep(crate::listener::ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if let Err(error) = socket::configure(&stream) {
                log::debug!("event=peer-refused reason={:?}", error.to_string());
                continue;
            }
            let framed = codec::Framed::new(stream, links::frames());
            let transport =
                tokio_serde::Framed::new(framed, postcard_format::PostcardFormat::default());
            let channel = server::BaseChannel::with_defaults(transport);
            let calls = channel.execute(self.clone().serve());
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    }
}
