//! The queues of this daemon, one for each pool that it gathers for.

use std::sync;

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::model::pool;
use basilgrade_types::id;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::core;
use crate::gather::gatherer;
use crate::gather::releases;

/// Queues by pool, made when they are first needed.
pub struct Gatherers {
    core: sync::Arc<core::Core>,
    releases: sync::Arc<releases::Releases>,
    queues: sync::Mutex<IndexMap<id::PoolId, sync::Arc<gatherer::Gatherer>>>,
    spent: mpsc::UnboundedSender<call::Spent>,
}

impl Gatherers {
    /// No queue yet; inputs that are no longer needed are sent to `spent`.
    pub fn new(core: sync::Arc<core::Core>, spent: mpsc::UnboundedSender<call::Spent>) -> Self {
        Self {
            releases: sync::Arc::new(releases::Releases::new(sync::Arc::clone(&core))),
            core,
            queues: sync::Mutex::default(),
            spent,
        }
    }

    fn queue(&self, pool: &id::PoolId) -> Option<sync::Arc<gatherer::Gatherer>> {
        let mut queues = self
            .queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(queue) = queues.get(pool) {
            return Some(sync::Arc::clone(queue));
        }
        let view = self.core.view.load();
        let known = view.configuration.as_ref()?.pools.get(pool)?;
        let pool::Work::Pieces(work) = known.work else {
            return None;
        };
        log::info!("event=gathering pool={pool}");
        let queue = sync::Arc::new(gatherer::Gatherer::new(
            sync::Arc::clone(&self.core),
            sync::Arc::clone(&self.releases),
            pool.clone(),
            work,
            self.spent.clone(),
        ));
        tokio::spawn(sync::Arc::clone(&queue).run());
        queues.insert(pool.clone(), sync::Arc::clone(&queue));
        Some(queue)
    }

    /// Has the pieces of a job made by the upstreams of `pool`.
    pub async fn make(
        &self,
        pool: &id::PoolId,
        job: job::Job,
    ) -> (outcome::JobOutcome, load::Load) {
        match self.queue(pool) {
            Some(queue) => queue.make(job).await,
            None => (outcome::JobOutcome::Failed, load::Load::default()),
        }
    }

    /// How busy the upstreams of `pool` are.
    pub fn load(&self, pool: &id::PoolId) -> load::Load {
        self.queue(pool)
            .map(|queue| queue.load())
            .unwrap_or_default()
    }

    /// Frees results, each of about `bytes`.
    pub fn release(&self, pool: &id::PoolId, handles: Vec<handle::Handle>, bytes: u64) {
        match self.queue(pool) {
            Some(queue) => queue.release(handles, bytes),
            None => self.releases.add(handles),
        }
    }
}
