//! Routes the jobs of the daemons in a failure domain to the queues of the jobs' pools.

use std::sync;

use basilgrade_fleet::batch::cells;
use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::directory;
use basilgrade_fleet::model::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

use crate::core;
use crate::gather::client;
use crate::gather::duty_client;
use crate::gather::gatherers;
use crate::peers::service;

/// Maximum number of times a job is sent to a queue; the last time, this daemon queues the job
/// itself if the queue's daemon is unreachable.
const MAX_TRIES: usize = 3;

#[derive(Default)]
struct PoolQueues {
    cells: cells::Cells,
    /// Directory from which the numbers of upstreams in `cells` were counted.
    directory: Option<sync::Arc<directory::Directory>>,
    used_at: clock::Millis,
}

/// Chooses a queue for each job by load and transfer cost.
pub struct JobRouter {
    core: sync::Arc<core::Core>,
    duty_client: sync::Arc<duty_client::DutyClient>,
    gatherers: sync::Arc<gatherers::Gatherers>,
    pools: sync::Mutex<IndexMap<id::PoolId, PoolQueues>>,
}

impl JobRouter {
    pub fn new(
        core: sync::Arc<core::Core>,
        duty_client: sync::Arc<duty_client::DutyClient>,
        gatherers: sync::Arc<gatherers::Gatherers>,
    ) -> Self {
        Self {
            core,
            duty_client,
            gatherers,
            pools: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::PoolId, PoolQueues>> {
        self.pools
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Calls `update` with the queues of `pool`, brought up to date with the directory.
    fn with_queues<T>(&self, pool: &id::PoolId, update: impl FnOnce(&mut PoolQueues) -> T) -> T {
        let view = self.core.view.load();
        let mut pools = self.lock();
        let entry = pools.entry(pool.clone()).or_default();
        let is_known = entry
            .directory
            .as_ref()
            .is_some_and(|known| sync::Arc::ptr_eq(known, &view.directory));
        if !is_known {
            let mut counts: IndexMap<id::DomainId, u32> = IndexMap::new();
            for upstream in view.directory.ready(pool) {
                *counts.entry(upstream.domain.clone()).or_default() += 1;
            }
            entry.cells.set_upstream_counts(&counts);
            entry.directory = Some(sync::Arc::clone(&view.directory));
        }
        update(entry)
    }

    fn piece_profile(&self, pool: &id::PoolId) -> Option<pool::PieceProfile> {
        let view = self.core.view.load();
        match view.configuration.as_ref()?.pools.get(pool)?.work {
            pool::Work::Pieces(profile) => Some(profile),
            pool::Work::Service | pool::Work::Engine(_) => None,
        }
    }

    fn queue_duty(pool: &id::PoolId, domain: &id::DomainId) -> duty::Duty {
        duty::Duty {
            pool: pool.clone(),
            scope: duty::Scope::Queue(domain.clone()),
        }
    }

    /// Failure domain whose queue should take `job`, except those in `tried`; the failure domain of
    /// the job if there is no candidate.
    fn choose(&self, pool: &id::PoolId, job: &job::Job, tried: &[id::DomainId]) -> id::DomainId {
        let Some(profile) = self.piece_profile(pool) else {
            return job.domain.clone();
        };
        let results = job.bytes.0.saturating_mul(u64::from(job.pieces));
        let demand = cells::Demand {
            home: &job.domain,
            priority: job.priority,
            pieces: job.pieces,
            target_left: job.target_left,
            transfer_size: size::ByteCount(job.fetch_size.0.saturating_add(results)),
        };
        let topology = sync::Arc::clone(&self.core.view.load().topology);
        let now = self.core.now();
        let chosen = self.with_queues(pool, |entry| {
            entry.used_at = now;
            entry.cells.choose(&topology, &profile, &demand, tried)
        });
        chosen.unwrap_or_else(|| job.domain.clone())
    }

    /// Has the pieces of `job` computed; also returns the load of the pool afterwards.
    pub async fn compute(
        &self,
        pool: &id::PoolId,
        mut job: job::Job,
    ) -> (outcome::JobOutcome, load::Load) {
        let start = self.core.now();
        let (target_left, time_left) = (job.target_left, job.time_left);
        let mut tried = Vec::new();
        let mut has_moved = false;
        let mut domain = self.choose(pool, &job, &tried);
        for _ in 1..MAX_TRIES {
            let has_other_queue = self.queue_count(pool) > tried.len() + 1;
            job.fallback = if has_other_queue {
                job::Fallback::HandBack
            } else {
                job::Fallback::Wait
            };
            let is_unreachable = match self.compute_at(pool, &domain, job.clone()).await {
                Some(outcome::JobOutcome::HandedBack) => false,
                None => true,
                Some(outcome) => return (outcome, self.load(pool)),
            };
            let elapsed = self.core.now() - start;
            job.target_left = target_left - elapsed;
            job.time_left = time_left - elapsed;
            // The queue of an unreachable daemon passes to the next daemon in its failure domain,
            // so the job is sent there once more. If that daemon does not answer either, a network
            // partition may separate the failure domain.
            let is_retried = is_unreachable && !has_moved;
            has_moved = true;
            if has_other_queue && !is_retried {
                tried.push(domain);
                domain = self.choose(pool, &job, &tried);
            }
            log::info!(
                "event=job-moved request={} stage={} pool={pool} domain={domain} left={}",
                job.request,
                job.stage,
                job.time_left
            );
        }
        job.fallback = job::Fallback::Wait;
        let outcome = match self.compute_at(pool, &domain, job.clone()).await {
            Some(outcome) => outcome,
            None => self.gatherers.compute(pool, &domain, job).await.0,
        };
        (outcome, self.load(pool))
    }

    fn queue_count(&self, pool: &id::PoolId) -> usize {
        self.with_queues(pool, |entry| entry.cells.domains().count())
    }

    /// Has the pieces of `job` computed by the queue in `domain`; `None` if the queue's daemon is
    /// unreachable.
    async fn compute_at(
        &self,
        pool: &id::PoolId,
        domain: &id::DomainId,
        job: job::Job,
    ) -> Option<outcome::JobOutcome> {
        let duty = Self::queue_duty(pool, domain);
        let (outcome, load) = match self.duty_client.assignee(&duty) {
            Some(daemon) => match self.duty_client.gather(&daemon, duty, job.clone()).await {
                Ok(service::GatherReply::Ended(outcome, load)) => (outcome, load),
                Ok(service::GatherReply::Leaving) | Err(_) => return None,
            },
            None => self.gatherers.compute(pool, domain, job).await,
        };
        self.with_queues(pool, |entry| entry.cells.update_load(domain, load));
        Some(outcome)
    }

    /// Load of `pool` for jobs of this daemon's failure domain.
    pub fn load(&self, pool: &id::PoolId) -> load::Load {
        let own = self.core.settings.load().domain.clone();
        let topology = sync::Arc::clone(&self.core.view.load().topology);
        let now = self.core.now();
        let known = self.with_queues(pool, |entry| {
            entry.used_at = now;
            entry.cells.load(&topology, &own).cloned()
        });
        known.unwrap_or_else(|| load::Load {
            wait: cells::NO_UPSTREAM_WAIT,
            by_priority: Vec::new(),
        })
    }

    /// Updates the loads of the queues of all recently used pools.
    pub async fn fetch_loads(&self, now: clock::Millis) {
        let mut duties = Vec::new();
        for (pool, entry) in self.lock().iter() {
            if entry.used_at.plus(client::USE_TTL) > now {
                duties.extend(
                    entry
                        .cells
                        .domains()
                        .map(|domain| Self::queue_duty(pool, domain)),
                );
            }
        }
        let (own, others): (Vec<_>, Vec<_>) = duties
            .into_iter()
            .partition(|duty| self.duty_client.assignee(duty).is_none());
        for duty in own {
            let load = self.gatherers.load(&duty.pool, duty.scope.domain());
            self.with_queues(&duty.pool, |entry| {
                entry.cells.update_load(duty.scope.domain(), load);
            });
        }
        for (duty, load) in self.duty_client.loads(others).await {
            self.with_queues(&duty.pool, |entry| {
                entry.cells.update_load(duty.scope.domain(), load);
            });
        }
    }
}
