//! Gatherers of this daemon, one for each queue of a pool and failure domain.

use std::sync;

use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::model::pool;
use basilgrade_types::id;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::core;
use crate::gather::gatherer;
use crate::gather::result_releases;

type QueueKey = (id::PoolId, id::DomainId);

/// Gatherers by pool and failure domain, created on first use.
pub struct Gatherers {
    core: sync::Arc<core::Core>,
    releases: sync::Arc<result_releases::ResultReleases>,
    queues: sync::Mutex<IndexMap<QueueKey, sync::Arc<gatherer::Gatherer>>>,
    consumed: mpsc::UnboundedSender<call::ConsumedInputs>,
}

impl Gatherers {
    /// Creates an empty collection whose gatherers send consumed inputs to `consumed`.
    pub fn new(
        core: sync::Arc<core::Core>,
        consumed: mpsc::UnboundedSender<call::ConsumedInputs>,
    ) -> Self {
        Self {
            releases: sync::Arc::new(result_releases::ResultReleases::new(sync::Arc::clone(
                &core,
            ))),
            core,
            queues: sync::Mutex::default(),
            consumed,
        }
    }

    fn queue(
        &self,
        pool: &id::PoolId,
        domain: &id::DomainId,
    ) -> Option<sync::Arc<gatherer::Gatherer>> {
        let mut queues = self
            .queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(queue) = queues.get(&(pool.clone(), domain.clone())) {
            return Some(sync::Arc::clone(queue));
        }
        let view = self.core.view.load();
        let known = view.configuration.as_ref()?.pools.get(pool)?;
        let pool::Work::Pieces(profile) = known.work else {
            return None;
        };
        log::info!("event=gathering pool={pool} domain={domain}");
        let queue = sync::Arc::new(gatherer::Gatherer::new(
            sync::Arc::clone(&self.core),
            sync::Arc::clone(&self.releases),
            pool.clone(),
            domain.clone(),
            profile,
            self.consumed.clone(),
        ));
        tokio::spawn(sync::Arc::clone(&queue).run());
        queues.insert((pool.clone(), domain.clone()), sync::Arc::clone(&queue));
        Some(queue)
    }

    /// Has the pieces of `job` computed by the upstreams of `pool` in `domain`.
    pub async fn compute(
        &self,
        pool: &id::PoolId,
        domain: &id::DomainId,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> (outcome::JobOutcome, load::Load) {
        match self.queue(pool, domain) {
            Some(queue) => queue.compute(job, terms).await,
            None => (outcome::JobOutcome::Failed, load::Load::default()),
        }
    }

    /// Load of the queue for the upstreams of `pool` in `domain`.
    pub fn load(&self, pool: &id::PoolId, domain: &id::DomainId) -> load::Load {
        self.queue(pool, domain)
            .map(|queue| queue.load())
            .unwrap_or_default()
    }

    /// Frees stage results of `pool` held by upstreams in `domain`, each of about `bytes` bytes.
    pub fn release(
        &self,
        pool: &id::PoolId,
        domain: &id::DomainId,
        handles: Vec<handle::Handle>,
        bytes: u64,
    ) {
        match self.queue(pool, domain) {
            Some(queue) => queue.release(handles, bytes),
            None => self.releases.add(handles),
        }
    }
}
