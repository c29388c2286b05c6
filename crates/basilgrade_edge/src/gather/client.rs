//! Sends the jobs of this daemon's requests to the daemons that route jobs to queues.

use std::sync;

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::core;
use crate::gather::duty_client;
use crate::gather::gather_calls;
use crate::gather::gatherers;
use crate::gather::job_router;
use crate::peers::service;

/// Interval between load queries to the daemons that route jobs of recently used pools.
const LOAD_POLL_INTERVAL: clock::Millis = clock::Millis(300);

/// Time after the last use of a pool during which its load is still queried.
pub const USE_TTL: clock::Millis = clock::Millis(2000);

/// Maximum number of daemons to which a job or a release is sent; the last one is this daemon.
const MAX_TRIES: usize = 3;

/// Expected wait of a pool from which on consumed inputs are freed at once.
///
/// Under such a load, memory at the upstreams that hold the inputs is worth more than the chance to
/// recompute a failed piece from the same inputs.
const HIGH_LOAD_WAIT: clock::Millis = clock::Millis(100);

/// Delay before consumed inputs are freed at low load; by then the call that fetched them has
/// usually ended, so that a failed piece can be recomputed from them.
const RELEASE_DELAY: clock::Millis = clock::Millis(400);

struct PoolLoad {
    load: load::Load,
    used_at: clock::Millis,
    /// Held by each job in progress.
    jobs: sync::Arc<()>,
}

/// Client of the daemons that route the jobs of this failure domain to queues.
pub struct JobClient {
    core: sync::Arc<core::Core>,
    duty_client: sync::Arc<duty_client::DutyClient>,
    gatherers: sync::Arc<gatherers::Gatherers>,
    job_router: sync::Arc<job_router::JobRouter>,
    loads: sync::Mutex<IndexMap<id::PoolId, PoolLoad>>,
}

impl JobClient {
    pub fn new(
        core: sync::Arc<core::Core>,
        duty_client: sync::Arc<duty_client::DutyClient>,
        gatherers: sync::Arc<gatherers::Gatherers>,
        job_router: sync::Arc<job_router::JobRouter>,
    ) -> Self {
        Self {
            core,
            duty_client,
            gatherers,
            job_router,
            loads: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::PoolId, PoolLoad>> {
        self.loads
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn route_duty(&self, pool: &id::PoolId) -> duty::Duty {
        duty::Duty {
            pool: pool.clone(),
            scope: duty::Scope::Route(self.core.settings.load().domain.clone()),
        }
    }

    /// Latest reported load of `pool`; zero if none is known.
    pub fn load(&self, pool: &id::PoolId) -> load::Load {
        self.lock()
            .get(pool)
            .map(|known| known.load.clone())
            .unwrap_or_default()
    }

    fn update_load(&self, pool: &id::PoolId, load: load::Load) {
        if let Some(known) = self.lock().get_mut(pool) {
            known.load = load;
        }
    }

    /// Records the use of `pool` by a job, which holds the returned value until it ends.
    fn mark_used(&self, pool: &id::PoolId) -> sync::Arc<()> {
        let now = self.core.now();
        let mut loads = self.lock();
        let entry = loads.entry(pool.clone()).or_insert(PoolLoad {
            load: load::Load::default(),
            used_at: now,
            jobs: sync::Arc::default(),
        });
        entry.used_at = now;
        sync::Arc::clone(&entry.jobs)
    }

    /// Has the pieces of `job` computed by upstreams of `pool`.
    pub async fn compute(
        &self,
        pool: &id::PoolId,
        mut job: job::Job,
        terms: terms::JobTerms,
    ) -> outcome::JobOutcome {
        let _use = self.mark_used(pool);
        let start = self.core.now();
        let (target_left, time_left) = (job.target_left, job.time_left);
        let duty = self.route_duty(pool);
        let mut calls = gather_calls::GatherCalls::new(&self.duty_client);
        for _ in 1..MAX_TRIES {
            let Some(daemon) = self.duty_client.assignee(&duty) else {
                break;
            };
            let call = calls.call(daemon, duty.clone(), job.clone(), terms.clone());
            if let Some((_, outcome, load)) = call.await {
                self.update_load(pool, load);
                return outcome;
            }
            let elapsed = self.core.now() - start;
            job.target_left = target_left - elapsed;
            job.time_left = time_left - elapsed;
        }
        let work = self.job_router.compute(pool, job, terms);
        let (_, outcome, load) = calls.beside(duty, work).await;
        self.update_load(pool, load);
        outcome
    }

    /// Frees stage results, each of about `bytes` bytes, through the daemons that keep the queues
    /// of the upstreams that hold the results.
    pub fn release(
        self: &sync::Arc<Self>,
        pool: &id::PoolId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) {
        for (domain, handles) in self.by_domain(handles) {
            let duty = duty::Duty {
                pool: pool.clone(),
                scope: duty::Scope::Queue(domain.clone()),
            };
            if self.duty_client.assignee(&duty).is_none() {
                self.gatherers.release(pool, &domain, handles, bytes);
                continue;
            }
            let client = sync::Arc::clone(self);
            tokio::spawn(async move { client.release_remote(&duty, handles, bytes).await });
        }
    }

    /// Frees results through the daemon that keeps their queue, as the queue accounts for the
    /// memory that results take at its upstreams.
    async fn release_remote(&self, duty: &duty::Duty, handles: Vec<handle::Handle>, bytes: u64) {
        let (pool, domain) = (&duty.pool, duty.scope.domain());
        for _ in 1..MAX_TRIES {
            let Some(daemon) = self.duty_client.assignee(duty) else {
                break;
            };
            let (pool, domain, handles) = (pool.clone(), domain.clone(), handles.clone());
            let release = self
                .duty_client
                .release(&daemon, pool, domain, handles, bytes);
            if release.await == service::ReleaseReply::Accepted {
                return;
            }
        }
        self.gatherers.release(pool, domain, handles, bytes);
    }

    /// Groups results by the failure domain of the upstreams that hold them; leaves out results of
    /// unregistered upstreams, which no longer exist.
    fn by_domain(
        &self,
        handles: Vec<handle::Handle>,
    ) -> IndexMap<id::DomainId, Vec<handle::Handle>> {
        let view = self.core.view.load();
        let mut domains: IndexMap<id::DomainId, Vec<handle::Handle>> = IndexMap::new();
        for handle in handles {
            let holder = handle.holder();
            let Some(domain) = holder.and_then(|holder| view.directory.domain(holder)) else {
                continue;
            };
            domains.entry(domain.clone()).or_default().push(handle);
        }
        domains
    }

    /// Frees inputs that were consumed by jobs in queues of this daemon; returns when all senders
    /// of `consumed` are dropped.
    pub async fn release_consumed(
        self: sync::Arc<Self>,
        mut consumed: mpsc::UnboundedReceiver<call::ConsumedInputs>,
    ) {
        while let Some(consumed) = consumed.recv().await {
            let client = sync::Arc::clone(&self);
            let is_load_high = self.load(&consumed.inputs.pool).wait >= HIGH_LOAD_WAIT;
            tokio::spawn(async move {
                if !is_load_high {
                    tokio::time::sleep(RELEASE_DELAY.duration()).await;
                }
                client.release(
                    &consumed.inputs.pool,
                    consumed.handles,
                    consumed.inputs.bytes.0,
                );
            });
        }
    }

    /// Queries the loads of recently used pools, which also serves as a health check of the daemons
    /// queried; never returns.
    pub async fn poll_loads(self: sync::Arc<Self>) {
        loop {
            let sleep_start = self.core.now();
            tokio::time::sleep(LOAD_POLL_INTERVAL.duration()).await;
            let now = self.core.now();
            // After a suspension of this VM, late answers do not indicate failed daemons.
            let was_suspended =
                now - sleep_start > LOAD_POLL_INTERVAL.plus(duty_client::ANSWER_TIMEOUT);
            if !was_suspended {
                tokio::join!(self.fetch_loads(now), self.job_router.fetch_loads(now));
            }
        }
    }

    async fn fetch_loads(&self, now: clock::Millis) {
        let pools: Vec<id::PoolId> = {
            let loads = self.lock();
            let in_use = loads.iter().filter(|(_, known)| {
                known.used_at.plus(USE_TTL) > now || sync::Arc::strong_count(&known.jobs) > 1
            });
            in_use.map(|(pool, _)| pool.clone()).collect()
        };
        let mut duties = Vec::new();
        for pool in pools {
            let duty = self.route_duty(&pool);
            if self.duty_client.assignee(&duty).is_none() {
                self.update_load(&pool, self.job_router.load(&pool));
            } else {
                duties.push(duty);
            }
        }
        for (duty, load) in self.duty_client.loads(duties).await {
            self.update_load(&duty.pool, load);
        }
    }
}
