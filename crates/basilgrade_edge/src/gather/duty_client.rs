//! Duties of other daemons in the making of pieces: who has them, and calls to those daemons.

use std::net;
use std::sync;

use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::daemon;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::core;
use crate::follow::mirrors;
use crate::peers::links;
use crate::peers::service;

/// A daemon that does not answer a question in this time is given up: a round trip between regions
/// and the delay of a busy VM several times over.
pub const ANSWER_TIMEOUT: clock::Millis = clock::Millis(500);

/// Time beyond the end of a job in which its outcome may arrive.
const OUTCOME_MARGIN: clock::Millis = clock::Millis(300);

/// The other daemons.
pub struct DutyClient {
    core: sync::Arc<core::Core>,
    mirrors: sync::Arc<mirrors::Mirrors>,
    links: sync::Arc<links::PeerLinks>,
}

impl DutyClient {
    /// Access to other daemons over `links`.
    pub fn new(
        core: sync::Arc<core::Core>,
        mirrors: sync::Arc<mirrors::Mirrors>,
        links: sync::Arc<links::PeerLinks>,
    ) -> Self {
        Self {
            core,
            mirrors,
            links,
        }
    }

    /// The daemon that has a duty, or `None` for this one.
    pub fn assignee(&self, duty: &duty::Duty) -> Option<daemon::Daemon> {
        let own = self.core.settings.load().name.clone();
        let mut daemons = self.mirrors.daemons();
        daemon::rank_local_first(duty.pool.as_str(), duty.scope.domain(), &mut daemons);
        let is_usable = |daemon: &daemon::Daemon| {
            if daemon.name == own {
                return !self.core.is_draining();
            }
            !self.links.is_backing_off(daemon.address)
        };
        let assignee = daemons.into_iter().find(is_usable)?;
        (assignee.name != own).then_some(assignee)
    }

    /// Hands a job to `daemon`, and waits for its end.
    ///
    /// # Errors
    ///
    /// Why there is no outcome; the daemon rests for a while.
    pub async fn gather(
        &self,
        daemon: &daemon::Daemon,
        duty: duty::Duty,
        job: job::Job,
    ) -> Result<service::GatherReply, String> {
        let limit = job.time_left.plus(OUTCOME_MARGIN);
        let (pool, request) = (duty.pool.clone(), job.request.clone());
        let outcome = self
            .links
            .call(daemon.address, limit, |peer, context| async move {
                peer.gather(context, duty, job).await
            })
            .await;
        match &outcome {
            Ok(service::GatherReply::Ended(..)) => {}
            Ok(service::GatherReply::Leaving) => self.links.mark_leaving(daemon.address),
            Err(reason) => log::info!(
                "event=gatherer-failed request={request} pool={pool} daemon={} reason={reason:?}",
                daemon.name
            ),
        }
        outcome
    }

    /// Hands results to be freed to `daemon`.
    ///
    /// A daemon that cannot be reached counts as leaving: another one keeps the queue next.
    pub async fn release(
        &self,
        daemon: &daemon::Daemon,
        pool: id::PoolId,
        domain: id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) -> service::ReleaseReply {
        let outcome = self
            .links
            .call(daemon.address, ANSWER_TIMEOUT, |peer, context| async move {
                peer.release(context, pool, domain, handles, bytes).await
            })
            .await;
        match outcome {
            Ok(service::ReleaseReply::Accepted) => return service::ReleaseReply::Accepted,
            Ok(service::ReleaseReply::Leaving) => self.links.mark_leaving(daemon.address),
            Err(reason) => log::info!(
                "event=release-failed daemon={} reason={reason:?}",
                daemon.name
            ),
        }
        service::ReleaseReply::Leaving
    }

    /// Asks for the loads behind `duties`; those without an answer, or of this daemon, are left
    /// out.
    pub async fn loads(&self, duties: Vec<duty::Duty>) -> Vec<(duty::Duty, load::Load)> {
        let mut requests: IndexMap<net::SocketAddr, Vec<duty::Duty>> = IndexMap::new();
        for duty in duties {
            if let Some(daemon) = self.assignee(&duty) {
                requests.entry(daemon.address).or_default().push(duty);
            }
        }
        let answers = requests.into_iter().map(|(address, duties)| async move {
            let asked = duties.clone();
            let loads = self
                .links
                .call(address, ANSWER_TIMEOUT, |peer, context| async move {
                    peer.loads(context, asked).await
                })
                .await;
            // A daemon that does not answer is logged and rests.
            let loads = loads.unwrap_or_else(|_| Some(Vec::new()));
            if loads.is_none() {
                self.links.mark_leaving(address);
            }
            duties.into_iter().zip(loads.unwrap_or_default())
        });
        let answers = futures::future::join_all(answers).await;
        answers.into_iter().flatten().collect()
    }
}
