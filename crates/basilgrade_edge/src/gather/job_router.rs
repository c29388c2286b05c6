//! Routes the jobs of the daemons in a failure domain to the queues of the jobs' pools.

use std::sync;

use basilgrade_fleet::batch::cells;
use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::directory;
use basilgrade_fleet::model::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

use crate::core;
use crate::gather::client;
use crate::gather::duty_client;
use crate::gather::gather_calls;
use crate::gather::gatherers;

/// Maximum number of times a job is sent to a queue; the last time, this daemon queues the job
/// itself if the queue's daemon is unreachable.
const MAX_TRIES: usize = 3;

#[derive(Default)]
struct PoolQueues {
    cells: cells::Cells,
    /// Directory from which the numbers of upstreams in `cells` were counted.
    directory: Option<sync::Arc<directory::Directory>>,
    used_at: clock::Millis,
    /// Held by each job in progress.
    jobs: sync::Arc<()>,
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
    /// the job if there is no candidate. `None` if `terms` allow none.
    fn choose(
        &self,
        pool: &id::PoolId,
        job: &job::Job,
        terms: &terms::JobTerms,
        tried: &[id::DomainId],
    ) -> Option<id::DomainId> {
        let topology = sync::Arc::clone(&self.core.view.load().topology);
        let home = topology
            .is_allowed(&terms.regions, &job.domain)
            .then(|| job.domain.clone());
        let Some(profile) = self.piece_profile(pool) else {
            return home;
        };
        let results = job.bytes.0.saturating_mul(u64::from(job.pieces));
        let demand = cells::Demand {
            home: &job.domain,
            priority: job.priority,
            pieces: job.pieces,
            target_left: job.target_left,
            transfer_size: size::ByteCount(job.fetch_size.0.saturating_add(results)),
        };
        let now = self.core.now();
        let chosen = self.with_queues(pool, |entry| {
            entry.used_at = now;
            let domains = entry.cells.domains();
            let is_allowed = |domain: &&id::DomainId| topology.is_allowed(&terms.regions, domain);
            let excluded = domains.filter(|domain| !is_allowed(domain) || tried.contains(domain));
            let excluded: Vec<_> = excluded.cloned().collect();
            entry.cells.choose(&topology, &profile, &demand, &excluded)
        });
        chosen.or(home)
    }

    /// Has the pieces of `job` computed; also returns the load of the pool afterwards.
    pub async fn compute(
        &self,
        pool: &id::PoolId,
        mut job: job::Job,
        terms: terms::JobTerms,
    ) -> (outcome::JobOutcome, load::Load) {
        let _use = self.with_queues(pool, |entry| sync::Arc::clone(&entry.jobs));
        let start = self.core.now();
        let (target_left, time_left) = (job.target_left, job.time_left);
        let mut calls = gather_calls::GatherCalls::new(&self.duty_client);
        let mut tried = Vec::new();
        let mut has_moved = false;
        let Some(mut domain) = self.choose(pool, &job, &terms, &tried) else {
            return (outcome::JobOutcome::Failed, self.load(pool));
        };
        for _ in 1..MAX_TRIES {
            let has_other_queue = self.queue_count(pool, &terms) > tried.len() + 1;
            job.fallback = if has_other_queue {
                job::Fallback::HandBack
            } else {
                job::Fallback::Wait
            };
            let is_unreachable = match self
                .compute_at(pool, &domain, job.clone(), &terms, &mut calls)
                .await
            {
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
                let Some(next) = self.choose(pool, &job, &terms, &tried) else {
                    return (outcome::JobOutcome::Failed, self.load(pool));
                };
                domain = next;
            }
            log::info!(
                "event=job-moved request={} stage={} pool={pool} domain={domain} left={}",
                job.request,
                job.stage,
                job.time_left
            );
        }
        job.fallback = job::Fallback::Wait;
        let ended = self
            .compute_at(pool, &domain, job.clone(), &terms, &mut calls)
            .await;
        let outcome = if let Some(outcome) = ended {
            outcome
        } else {
            let work = self.gatherers.compute(pool, &domain, job, terms);
            calls.beside(Self::queue_duty(pool, &domain), work).await.1
        };
        (outcome, self.load(pool))
    }

    /// Number of queues that `terms` allow.
    fn queue_count(&self, pool: &id::PoolId, terms: &terms::JobTerms) -> usize {
        let topology = sync::Arc::clone(&self.core.view.load().topology);
        let is_allowed = |domain: &&id::DomainId| topology.is_allowed(&terms.regions, domain);
        self.with_queues(pool, |entry| {
            entry.cells.domains().filter(is_allowed).count()
        })
    }

    /// Has the pieces of `job` computed by the queue in `domain`, beside `calls`; `None` if the
    /// queue's daemon is unreachable.
    async fn compute_at(
        &self,
        pool: &id::PoolId,
        domain: &id::DomainId,
        job: job::Job,
        terms: &terms::JobTerms,
        calls: &mut gather_calls::GatherCalls<'_>,
    ) -> Option<outcome::JobOutcome> {
        let duty = Self::queue_duty(pool, domain);
        let (duty, outcome, load) = if let Some(daemon) = self.duty_client.assignee(&duty) {
            calls.call(daemon, duty, job, terms.clone()).await?
        } else {
            let work = self.gatherers.compute(pool, domain, job, terms.clone());
            calls.beside(duty, work).await
        };
        self.with_queues(pool, |entry| {
            entry.cells.update_load(duty.scope.domain(), load);
        });
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
            if entry.used_at.plus(client::USE_TTL) > now || sync::Arc::strong_count(&entry.jobs) > 1
            {
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
