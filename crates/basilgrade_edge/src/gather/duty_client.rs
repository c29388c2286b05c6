//! Determines which daemon performs a duty for the jobs of a pool, and calls that daemon.

use std::net;
use std::sync;

use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::daemon;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::core;
use crate::follow::mirrors;
use crate::peers::service;

/// Time-out of load queries and releases, several times the round trip between regions plus the
/// scheduling delay of a busy VM.
pub const ANSWER_TIMEOUT: clock::Millis = clock::Millis(500);

/// Time after the deadline of a job during which its outcome is still awaited.
const OUTCOME_SLACK: clock::Millis = clock::Millis(300);

/// Client of the daemons that perform duties: to route the jobs of a pool, or to keep one of its
/// queues.
pub struct DutyClient {
    core: sync::Arc<core::Core>,
    mirrors: sync::Arc<mirrors::Mirrors>,
}

impl DutyClient {
    pub fn new(core: sync::Arc<core::Core>, mirrors: sync::Arc<mirrors::Mirrors>) -> Self {
        Self { core, mirrors }
    }

    /// Daemon that performs `duty`, or `None` if this daemon does.
    ///
    /// Daemons that recently failed or are shutting down are skipped.
    pub fn assignee(&self, duty: &duty::Duty) -> Option<daemon::Daemon> {
        let own = self.core.settings.load().name.clone();
        let mut daemons = self.mirrors.daemons();
        daemon::rank_local_first(duty.pool.as_str(), duty.scope.domain(), &mut daemons);
        let is_usable = |daemon: &daemon::Daemon| {
            if daemon.name == own {
                return !self.core.is_draining();
            }
            !self.core.links.is_backing_off(daemon.address)
        };
        let assignee = daemons.into_iter().find(is_usable)?;
        (assignee.name != own).then_some(assignee)
    }

    /// Sends a job to `daemon` and waits for its outcome.
    ///
    /// # Errors
    ///
    /// The reason of the failed call; the daemon gets no new calls for a while.
    pub async fn gather(
        &self,
        daemon: &daemon::Daemon,
        duty: duty::Duty,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> Result<service::GatherReply, String> {
        let limit = job.time_left.plus(OUTCOME_SLACK);
        let (pool, request) = (duty.pool.clone(), job.request.clone());
        // Builds that share no loads do not know the call with terms and break the connection on it,
        // which only a job with allowed regions is worth.
        let is_plain = terms.is_plain(self.core.settings.load().queue.customers)
            || (!daemon.shares_loads && !terms.regions.is_restricted());
        let outcome = self
            .core
            .links
            .call(daemon.address, limit, |peer, context| async move {
                if is_plain {
                    peer.gather(context, duty, job).await
                } else {
                    peer.gather_on(context, duty, job, terms).await
                }
            })
            .await;
        match &outcome {
            Ok(service::GatherReply::Ended(..)) => {}
            Ok(service::GatherReply::Leaving) => self.core.links.mark_leaving(daemon.address),
            Err(reason) => log::info!(
                "event=gatherer-failed request={request} pool={pool} daemon={} reason={reason:?}",
                daemon.name
            ),
        }
        outcome
    }

    /// Waits until another call to the daemon at `address` shows that it does not answer.
    pub(super) async fn wait_unresponsive(&self, address: net::SocketAddr) {
        self.core.links.wait_unresponsive(address).await;
    }

    /// Has `daemon` free stage results of `pool` held by upstreams in `domain`.
    ///
    /// An unreachable daemon counts as leaving, as another daemon keeps the queue from now on.
    pub async fn release(
        &self,
        daemon: &daemon::Daemon,
        pool: id::PoolId,
        domain: id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) -> service::ReleaseReply {
        let outcome = self
            .core
            .links
            .call(daemon.address, ANSWER_TIMEOUT, |peer, context| async move {
                peer.release(context, pool, domain, handles, bytes).await
            })
            .await;
        match outcome {
            Ok(service::ReleaseReply::Accepted) => return service::ReleaseReply::Accepted,
            Ok(service::ReleaseReply::Leaving) => self.core.links.mark_leaving(daemon.address),
            Err(reason) => log::info!(
                "event=release-failed daemon={} reason={reason:?}",
                daemon.name
            ),
        }
        service::ReleaseReply::Leaving
    }

    /// Queries the loads of `duties` from their daemons; leaves out duties of this daemon and of
    /// daemons that do not answer.
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
                .core
                .links
                .call(address, ANSWER_TIMEOUT, |peer, context| async move {
                    peer.loads(context, asked).await
                })
                .await;
            // After a failed call, `links.call` has already stopped new calls to the daemon.
            let loads = loads.unwrap_or_else(|_| Some(Vec::new()));
            if loads.is_none() {
                self.core.links.mark_leaving(address);
            }
            duties.into_iter().zip(loads.unwrap_or_default())
        });
        let answers = futures::future::join_all(answers).await;
        answers.into_iter().flatten().collect()
    }
}
