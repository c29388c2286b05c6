//! Jobs of this daemon's requests, sent to the daemons that route them to queues.

use std::sync;

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::duty;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::core;
use crate::gather::gatherers;
use crate::gather::remote;
use crate::gather::router;
use crate::peers::service;

/// Time between two questions to a daemon in use.
const BEAT: clock::Millis = clock::Millis(300);

/// Loads of a pool are asked for until this long after its last use.
pub const IN_USE: clock::Millis = clock::Millis(2000);

/// Daemons that a job is tried at, this one last.
const TRIES: usize = 3;

/// Wait for a pool from which on room at its upstreams counts more than the chance to make a failed
/// piece again from the same inputs.
const CROWDED: clock::Millis = clock::Millis(100);

/// Inputs that nobody waits for are kept until the call that fetched them has usually ended.
const CALL_REST: clock::Millis = clock::Millis(400);

struct Known {
    load: load::Load,
    used: clock::Millis,
}

/// Sends jobs to routing daemons.
pub struct Client {
    core: sync::Arc<core::Core>,
    remote: sync::Arc<remote::Remote>,
    gatherers: sync::Arc<gatherers::Gatherers>,
    router: sync::Arc<router::Router>,
    known: sync::Mutex<IndexMap<id::PoolId, Known>>,
}

impl Client {
    /// A client that has not sent anything.
    pub fn new(
        core: sync::Arc<core::Core>,
        remote: sync::Arc<remote::Remote>,
        gatherers: sync::Arc<gatherers::Gatherers>,
        router: sync::Arc<router::Router>,
    ) -> Self {
        Self {
            core,
            remote,
            gatherers,
            router,
            known: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::PoolId, Known>> {
        self.known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn route(&self, pool: &id::PoolId) -> duty::Duty {
        duty::Duty {
            pool: pool.clone(),
            scope: duty::Scope::Route(self.core.settings.load().domain.clone()),
        }
    }

    /// The load last told for `pool`.
    pub fn load(&self, pool: &id::PoolId) -> load::Load {
        self.lock()
            .get(pool)
            .map(|known| known.load.clone())
            .unwrap_or_default()
    }

    fn note(&self, pool: &id::PoolId, load: load::Load) {
        if let Some(known) = self.lock().get_mut(pool) {
            known.load = load;
        }
    }

    fn touch(&self, pool: &id::PoolId) {
        let now = self.core.now();
        let mut known = self.lock();
        let entry = known.entry(pool.clone()).or_insert(Known {
            load: load::Load::default(),
            used: now,
        });
        entry.used = now;
    }

    /// Has the pieces of a job made.
    pub async fn make(&self, pool: &id::PoolId, mut job: job::Job) -> outcome::JobOutcome {
        self.touch(pool);
        let start = self.core.now();
        let (aim, left) = (job.target_left, job.time_left);
        let duty = self.route(pool);
        for _ in 1..TRIES {
            let Some(holder) = self.remote.holder(&duty) else {
                break;
            };
            let outcome = self.remote.gather(&holder, duty.clone(), job.clone()).await;
            if let Ok(service::Gathered::Ended(outcome, load)) = outcome {
                self.note(pool, load);
                return outcome;
            }
            let used = self.core.now() - start;
            job.target_left = aim - used;
            job.time_left = left - used;
        }
        let (outcome, load) = self.router.make(pool, job).await;
        self.note(pool, load);
        outcome
    }

    /// Frees results, each of about `bytes`, through the queues of the upstreams that hold them.
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
            if self.remote.holder(&duty).is_none() {
                self.gatherers.release(pool, &domain, handles, bytes);
                continue;
            }
            let client = sync::Arc::clone(self);
            tokio::spawn(async move { client.release_remote(&duty, handles, bytes).await });
        }
    }

    /// Frees results through the daemon that keeps their queue, which has to know of their room.
    async fn release_remote(&self, duty: &duty::Duty, handles: Vec<handle::Handle>, bytes: u64) {
        let (pool, domain) = (&duty.pool, duty.scope.domain());
        for _ in 1..TRIES {
            let Some(holder) = self.remote.holder(duty) else {
                break;
            };
            let (pool, domain, handles) = (pool.clone(), domain.clone(), handles.clone());
            let release = self.remote.release(&holder, pool, domain, handles, bytes);
            if release.await == service::Release::Taken {
                return;
            }
        }
        self.gatherers.release(pool, domain, handles, bytes);
    }

    /// Results by the failure domain of their holders; those of unknown holders are gone anyway.
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

    /// Frees inputs that queues of this daemon no longer need; returns when the queues are gone.
    pub async fn free_spent(
        self: sync::Arc<Self>,
        mut spent: mpsc::UnboundedReceiver<call::ConsumedInputs>,
    ) {
        while let Some(spent) = spent.recv().await {
            let client = sync::Arc::clone(&self);
            let is_crowded = self.load(&spent.inputs.pool).wait >= CROWDED;
            tokio::spawn(async move {
                if !is_crowded {
                    tokio::time::sleep(CALL_REST.duration()).await;
                }
                client.release(&spent.inputs.pool, spent.handles, spent.inputs.bytes.0);
            });
        }
    }

    /// Asks the daemons in use for their load, which also shows that they are alive.
    pub async fn beat(self: sync::Arc<Self>) {
        loop {
            let asleep = self.core.now();
            tokio::time::sleep(BEAT.duration()).await;
            let now = self.core.now();
            // After a freeze of this VM, answers of others are late for its own reasons.
            let has_slept_long = now - asleep > BEAT.plus(remote::ANSWER_LIMIT);
            if !has_slept_long {
                tokio::join!(self.ask_loads(now), self.router.ask_loads(now));
            }
        }
    }

    async fn ask_loads(&self, now: clock::Millis) {
        let pools: Vec<id::PoolId> = {
            let known = self.lock();
            let in_use = known
                .iter()
                .filter(|(_, known)| known.used.plus(IN_USE) > now);
            in_use.map(|(pool, _)| pool.clone()).collect()
        };
        let mut duties = Vec::new();
        for pool in pools {
            let duty = self.route(&pool);
            if self.remote.holder(&duty).is_none() {
                self.note(&pool, self.router.load(&pool));
            } else {
                duties.push(duty);
            }
        }
        for (duty, load) in self.remote.loads(duties).await {
            self.note(&duty.pool, load);
        }
    }
}
