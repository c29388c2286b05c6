//! Server of the remote procedure calls of other daemons.

use std::sync;

use basilgrade_fleet::balance::exchange;
use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::limit;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::streams;
use basilgrade_peer::postcard_format;
use basilgrade_types::clock;
use basilgrade_types::id;
use bytes::Bytes;
use futures::StreamExt;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel;
use tokio::io::AsyncReadExt as _;
use tokio::net;
use tokio_util::codec;

use crate::balance;
use crate::core;
use crate::follow::mirrors;
use crate::follow::position;
use crate::follow::registrations;
use crate::gather::gatherers;
use crate::gather::job_router;
use crate::http::socket;
use crate::peers::links;
use crate::peers::packing;
use crate::peers::service;
use crate::peers::service::Peer as _;
use crate::permits;
use crate::tunnel::forwarder;
use crate::tunnel::message;

/// Handler of the remote procedure calls of other daemons.
#[derive(Clone)]
pub struct RpcServer {
    pub core: sync::Arc<core::Core>,
    pub mirrors: sync::Arc<mirrors::Mirrors>,
    /// Reads of registrations that callers of this or other daemons wait for.
    pub registrations: sync::Arc<registrations::Registrations>,
    /// Queues of pieces that this daemon keeps.
    pub gatherers: sync::Arc<gatherers::Gatherers>,
    /// Chooses queues for jobs of daemons in this failure domain.
    pub job_router: sync::Arc<job_router::JobRouter>,
    pub packer: sync::Arc<packing::Packer>,
}

impl service::Peer for RpcServer {
    async fn gather(
        self,
        _: context::Context,
        duty: duty::Duty,
        job: job::Job,
    ) -> service::GatherReply {
        self.compute(duty, job, terms::JobTerms::default()).await
    }

    async fn gather_on(
        self,
        _: context::Context,
        duty: duty::Duty,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> service::GatherReply {
        self.compute(duty, job, terms).await
    }

    async fn release(
        self,
        _: context::Context,
        pool: id::PoolId,
        domain: id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) -> service::ReleaseReply {
        if self.core.is_draining() {
            return service::ReleaseReply::Leaving;
        }
        self.gatherers.release(&pool, &domain, handles, bytes);
        service::ReleaseReply::Accepted
    }

    async fn loads(self, _: context::Context, duties: Vec<duty::Duty>) -> Option<Vec<load::Load>> {
        if self.core.is_draining() {
            return None;
        }
        let load = |duty: &duty::Duty| match &duty.scope {
            duty::Scope::Queue(domain) => self.gatherers.load(&duty.pool, domain),
            duty::Scope::Route(_) => self.job_router.load(&duty.pool),
        };
        Some(duties.iter().map(load).collect())
    }

    async fn follow(
        self,
        _: context::Context,
        _: [Option<u64>; 3],
        _: clock::Millis,
    ) -> service::Updates {
        service::Updates {
            is_store_reachable: false,
            is_uncertain: false,
            updates: Vec::new(),
        }
    }

    async fn updates(
        self,
        _: context::Context,
        positions: [Option<position::Position>; 3],
        wait: clock::Millis,
    ) -> service::Updates {
        let mut changes = self.mirrors.subscribe_changes();
        let mut updates = self.mirrors.since(positions);
        if updates.is_empty() && self.mirrors.is_every_topic_readable() {
            // The result is ignored: after a change or the time-out, the current updates are sent.
            let _ = tokio::time::timeout(wait.duration(), changes.changed()).await;
            updates = self.mirrors.since(positions);
        }
        service::Updates {
            is_store_reachable: self.mirrors.is_every_topic_readable()
                && self.mirrors.is_reader()
                && !self.core.is_draining(),
            is_uncertain: self.mirrors.is_uncertain(),
            updates,
        }
    }

    async fn packed_updates(
        self,
        context: context::Context,
        positions: [Option<position::Position>; 3],
        wait: clock::Millis,
    ) -> Result<service::PackedUpdates, String> {
        let packer = sync::Arc::clone(&self.packer);
        let updates = self.updates(context, positions, wait).await;
        Ok(service::PackedUpdates {
            is_store_reachable: updates.is_store_reachable,
            is_uncertain: updates.is_uncertain,
            payload: packer.pack(&updates.updates)?,
        })
    }

    async fn refresh(
        self,
        _: context::Context,
        positions: [Option<position::Position>; 3],
    ) -> service::Updates {
        let outcome = self.registrations.read().await;
        service::Updates {
            is_store_reachable: outcome.is_ok() && !self.core.is_draining(),
            is_uncertain: self.mirrors.is_uncertain(),
            updates: self.mirrors.since(positions),
        }
    }

    async fn permit(
        self,
        _: context::Context,
        upstream: id::UpstreamId,
        started_at: Option<clock::Millis>,
        claim: limit::Claim,
        report: limit::Report,
    ) -> service::PermitReply {
        if self.core.is_draining() {
            return service::PermitReply::Leaving;
        }
        let (grant, report) = permits::decide(&self.core, &upstream, started_at, claim, report);
        service::PermitReply::Decided(grant, report)
    }

    async fn keep_streams(
        self,
        _: context::Context,
        copies: streams::Copies,
    ) -> service::KeepReply {
        if self.core.is_draining() {
            return service::KeepReply::Leaving;
        }
        self.core.streams().keep(self.core.now(), copies);
        service::KeepReply::Kept(self.core.run)
    }

    async fn find_streams(
        self,
        _: context::Context,
        ids: Vec<streams::AttemptId>,
    ) -> streams::Copies {
        self.core.streams().copies(self.core.now(), &ids)
    }

    async fn report_load(
        self,
        _: context::Context,
        member: id::VmId,
        shard: usize,
        entries: Vec<exchange::Entry>,
    ) -> Option<exchange::Report> {
        balance::answer(&self.core, &member, shard, &entries)
    }

    async fn pass_loads(
        self,
        _: context::Context,
        domain: id::DomainId,
        shard: usize,
        report: exchange::Report,
    ) -> bool {
        balance::record_sums(&self.core, &domain, shard, &report)
    }
}

impl RpcServer {
    /// Has the pieces of `job` computed.
    async fn compute(
        &self,
        duty: duty::Duty,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> service::GatherReply {
        if self.core.is_draining() {
            return service::GatherReply::Leaving;
        }
        let (pool, domain) = (&duty.pool, duty.scope.domain());
        let (outcome, load) = match duty.scope {
            duty::Scope::Queue(_) => {
                let topology = sync::Arc::clone(&self.core.view.load().topology);
                if !topology.is_allowed(&terms.regions, domain) {
                    let load = self.gatherers.load(pool, domain);
                    return service::GatherReply::Ended(outcome::JobOutcome::Failed, load);
                }
                self.gatherers.compute(pool, domain, job, terms).await
            }
            duty::Scope::Route(_) => self.job_router.compute(pool, job, terms).await,
        };
        if outcome == outcome::JobOutcome::HandedBack && self.core.is_draining() {
            return service::GatherReply::Leaving;
        }
        service::GatherReply::Ended(outcome, load)
    }

    /// Accepts connections of other daemons; never returns.
    pub async fn run(self, listener: net::TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(
                        "event=accept-failed listener=peers reason={:?}",
                        error.to_string()
                    );
                    tokio::time::sleep(crate::listener::ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            if let Err(error) = socket::configure(&stream, socket::Patience::Call) {
                log::debug!("event=peer-refused reason={:?}", error.to_string());
                continue;
            }
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    /// Serves the calls on a connection, or a tunnel if its preamble arrives first.
    async fn serve_connection(self, mut stream: net::TcpStream) {
        let mut first = [0; message::PREAMBLE.len()];
        if let Err(error) = stream.read_exact(&mut first).await {
            log::debug!("event=peer-left reason={:?}", error.to_string());
            return;
        }
        if first == message::PREAMBLE {
            let core = sync::Arc::clone(&self.core);
            let forwarding = forwarder::serve(core, stream);
            self.core.tunnels.spawn(forwarding);
            return;
        }
        let mut parts = codec::FramedParts::new::<Bytes>(stream, links::frame_codec());
        parts.read_buf.extend_from_slice(&first);
        let framed = codec::Framed::from_parts(parts);
        let transport =
            tokio_serde::Framed::new(framed, postcard_format::PostcardFormat::default());
        let channel = server::BaseChannel::with_defaults(transport);
        let calls = channel.execute(self.serve());
        calls
            .for_each(|call| async {
                tokio::spawn(call);
            })
            .await;
    }
}
