//! Jobs of this daemon's requests, sent to the daemons that gather for their pools.

use std::sync;

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::daemon;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::core;
use crate::follow::state;
use crate::gather::gatherers;
use crate::peers::links;
use crate::peers::service;

/// Time between two questions to a gatherer in use.
const BEAT: clock::Millis = clock::Millis(300);

/// A gatherer that does not answer a question in this time is given up: a round trip between
/// regions and the delay of a busy VM several times over.
const BEAT_LIMIT: clock::Millis = clock::Millis(500);

/// A gatherer is asked until this long after its last use.
const IN_USE: clock::Millis = clock::Millis(2000);

/// Daemons that a job is tried at, this one last.
const TRIES: usize = 3;

/// Time beyond the end of a job in which its outcome may arrive.
const ANSWER_SLACK: clock::Millis = clock::Millis(300);

/// Wait for a pool from which on room at its upstreams counts more than the chance to make a failed
/// piece again from the same inputs.
const CROWDED: clock::Millis = clock::Millis(100);

/// Inputs that nobody waits for are kept until the call that fetched them has usually ended.
const CALL_REST: clock::Millis = clock::Millis(400);

struct Known {
    load: load::Load,
    used: clock::Millis,
}

/// Sends jobs to gatherers.
pub struct Client {
    core: sync::Arc<core::Core>,
    state: sync::Arc<state::State>,
    links: sync::Arc<links::Links>,
    gatherers: sync::Arc<gatherers::Gatherers>,
    known: sync::Mutex<IndexMap<id::PoolId, Known>>,
}

impl Client {
    /// A client that has not sent anything.
    pub fn new(
        core: sync::Arc<core::Core>,
        state: sync::Arc<state::State>,
        links: sync::Arc<links::Links>,
        gatherers: sync::Arc<gatherers::Gatherers>,
    ) -> Self {
        Self {
            core,
            state,
            links,
            gatherers,
            known: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<id::PoolId, Known>> {
        self.known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// The daemon that gathers for `pool`, or `None` for this one.
    fn gatherer(&self, pool: &id::PoolId) -> Option<daemon::Daemon> {
        let own = self.core.settings.load().name.clone();
        let mut daemons = self.state.daemons();
        daemon::rank(pool.as_str(), &mut daemons);
        let usable = |daemon: &daemon::Daemon| {
            if daemon.name == own {
                return !self.core.is_draining();
            }
            !self.links.is_resting(daemon.address)
        };
        let first = daemons.into_iter().find(usable)?;
        (first.name != own).then_some(first)
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
        let (aim, left) = (job.aim, job.left);
        for _ in 1..TRIES {
            let Some(gatherer) = self.gatherer(pool) else {
                break;
            };
            let used = self.core.now() - start;
            job.aim = aim - used;
            job.left = left - used;
            match self.ask(&gatherer, pool, job.clone()).await {
                Ok(service::Gathered::Ended(outcome, load)) => {
                    self.note(pool, load);
                    return outcome;
                }
                Ok(service::Gathered::Leaving) => {
                    self.links.give_up(gatherer.address, "it is shutting down");
                }
                Err(reason) => log::info!(
                    "event=gatherer-failed request={} pool={pool} daemon={} reason={reason:?}",
                    job.request,
                    gatherer.name
                ),
            }
        }
        let used = self.core.now() - start;
        job.aim = aim - used;
        job.left = left - used;
        let (outcome, load) = self.gatherers.make(pool, job).await;
        self.note(pool, load);
        outcome
    }

    async fn ask(
        &self,
        gatherer: &daemon::Daemon,
        pool: &id::PoolId,
        job: job::Job,
    ) -> Result<service::Gathered, String> {
        let limit = job.left.plus(ANSWER_SLACK);
        let pool = pool.clone();
        self.links
            .call(gatherer.address, limit, |peer, context| async move {
                peer.gather(context, pool, job).await
            })
            .await
    }

    /// Frees results, each of about `bytes`, where the calls of their pool are gathered.
    pub fn release(
        self: &sync::Arc<Self>,
        pool: &id::PoolId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) {
        if handles.is_empty() {
            return;
        }
        let Some(gatherer) = self.gatherer(pool) else {
            self.gatherers.release(pool, handles, bytes);
            return;
        };
        let client = sync::Arc::clone(self);
        let pool = pool.clone();
        tokio::spawn(async move {
            let outcome = client
                .links
                .call(gatherer.address, BEAT_LIMIT, |peer, context| async move {
                    peer.release(context, pool, handles, bytes).await
                })
                .await;
            if let Err(reason) = outcome {
                // The results expire by themselves.
                log::info!(
                    "event=release-failed daemon={} reason={reason:?}",
                    gatherer.name
                );
            }
        });
    }

    /// Frees inputs that queues of this daemon no longer need; returns when the queues are gone.
    pub async fn free_spent(
        self: sync::Arc<Self>,
        mut spent: mpsc::UnboundedReceiver<call::Spent>,
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

    /// Asks the gatherers in use for their load, which also shows that they are alive.
    pub async fn beat(self: sync::Arc<Self>) {
        loop {
            let asleep = self.core.now();
            tokio::time::sleep(BEAT.duration()).await;
            let now = self.core.now();
            // After a freeze of this VM, answers of others are late for its own reasons.
            let has_slept_long = now - asleep > BEAT.plus(BEAT_LIMIT);
            if !has_slept_long {
                self.ask_loads(now).await;
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
        let mut remote: IndexMap<std::net::SocketAddr, Vec<id::PoolId>> = IndexMap::new();
        for pool in pools {
            match self.gatherer(&pool) {
                Some(gatherer) => remote.entry(gatherer.address).or_default().push(pool),
                None => self.note(&pool, self.gatherers.load(&pool)),
            }
        }
        let questions = remote.into_iter().map(|(address, pools)| async move {
            let asked = pools.clone();
            let answer = self
                .links
                .call(address, BEAT_LIMIT, |peer, context| async move {
                    peer.loads(context, asked).await
                })
                .await;
            for (pool, load) in pools.iter().zip(answer.unwrap_or_default()) {
                self.note(pool, load);
            }
        });
        futures::future::join_all(questions).await;
    }
}
