//! State that all requests of a daemon share.

use std::sync;
use std::sync::atomic;

use basilgrade_config::model::deployment;
use basilgrade_config::model::weights;
use basilgrade_policy::retry::budget;
use basilgrade_policy::router;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::revision;
use basilgrade_upstream::upstream;

use crate::decisions;
use crate::ledger;
use crate::limits;
use crate::metrics;
use crate::view::registry;
use crate::view::snapshot;
use crate::view::usages;

/// Phase of the daemon, which decides whether it reports ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Fetching state from peers; not ready yet.
    Synchronizing,
    /// Finishing requests in progress; the load balancer is told to send no new requests.
    Draining,
    /// Ready for requests if a configuration is in force.
    Serving,
}

/// Components that a daemon is built from.
pub struct Components {
    /// Source of time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Client for calls to upstreams.
    pub upstream: sync::Arc<dyn upstream::Upstream>,
    /// Builds a router from the objective weights of a deployment and the number of live daemons.
    pub router: fn(weights::ObjectiveWeights, u32) -> sync::Arc<dyn router::Router>,
    /// Claims on request keys.
    pub ledger: sync::Arc<dyn ledger::Ledger>,
    /// Metric instruments.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// Limits on callers.
    pub limits: limits::Limits,
    /// Failure domain of this daemon.
    pub domain: id::DomainId,
}

/// State shared by all requests.
pub struct Core {
    /// Components given at construction.
    pub components: Components,
    /// Snapshot of the configuration in force; empty before the first configuration.
    pub current: snapshot::Current,
    /// Observed state of upstreams.
    pub registry: registry::Registry,
    /// Usage of models by the requests of this daemon.
    pub usage: usages::Usages,
    /// Latest routing decisions, for `basilctl explain`.
    pub decisions: decisions::Decisions,
    /// Number of requests in progress.
    pub active_requests: atomic::AtomicUsize,
    /// Budget that limits retries and hedges.
    pub retries: budget::RetryBudget,
    daemons: atomic::AtomicU32,
    draining: atomic::AtomicBool,
    synchronizing: atomic::AtomicBool,
}

impl Core {
    /// Creates a core without configuration; it is not ready until one is installed.
    pub fn new(components: Components) -> Self {
        Self {
            components,
            current: snapshot::Current::empty(),
            registry: registry::Registry::default(),
            usage: usages::Usages::default(),
            decisions: decisions::Decisions::default(),
            active_requests: atomic::AtomicUsize::default(),
            retries: budget::RetryBudget::default(),
            daemons: atomic::AtomicU32::new(1),
            draining: atomic::AtomicBool::default(),
            synchronizing: atomic::AtomicBool::default(),
        }
    }

    pub fn now(&self) -> clock::Millis {
        self.components.clock.now()
    }

    /// Upstreams with reduced or zero weight, because they are slower or fail more often than their
    /// pool, or refuse connections.
    pub fn ejected(&self) -> Vec<id::UpstreamId> {
        let Some(view) = self.current.load_full() else {
            return Vec::new();
        };
        let now = self.now();
        (0..view.entries.len())
            .map(|index| (&view.entries[index], index as u32))
            .filter(|(entry, index)| entry.candidate(*index, now).weight < 1.0)
            .map(|(entry, _)| entry.id.clone())
            .collect()
    }

    /// Sets the number of live daemons, by which the router extrapolates this daemon's calls to
    /// those of all daemons, and rebuilds the snapshot if the number has changed.
    pub fn set_daemons(&self, daemons: u32) {
        let previous = self.daemons.swap(daemons, atomic::Ordering::AcqRel);
        let Some(view) = self.current.load_full().filter(|_| previous != daemons) else {
            return;
        };
        let rebuilt = sync::Arc::new(self.build(view.revision, &view.deployment, Some(&view)));
        // A newer revision installed in the meantime was built with the new number of daemons.
        self.current.rcu(|current| match current {
            Some(current) if current.revision > view.revision => Some(sync::Arc::clone(current)),
            _ => Some(sync::Arc::clone(&rebuilt)),
        });
    }

    fn build(
        &self,
        revision: revision::Revision,
        deployment: &deployment::Deployment,
        previous: Option<&snapshot::Snapshot>,
    ) -> snapshot::Snapshot {
        let daemons = self.daemons.load(atomic::Ordering::Acquire);
        let build_context = snapshot::BuildContext {
            now: self.now(),
            domain: &self.components.domain,
            daemons,
            registry: &self.registry,
            router: (self.components.router)(deployment.weights, daemons),
        };
        snapshot::Snapshot::build(revision, deployment.clone(), &build_context, previous)
    }

    /// The revision in force; 0 if there is none.
    pub fn revision(&self) -> revision::Revision {
        self.current
            .load()
            .as_ref()
            .map_or_else(revision::Revision::default, |view| view.revision)
    }

    /// Puts a configuration in force, unless the same or a later revision is in force.
    pub fn install(&self, revision: revision::Revision, deployment: &deployment::Deployment) {
        self.registry
            .retain(|upstream| deployment.upstreams.contains_key(upstream));
        self.usage.retain(|model| {
            let mut stages = deployment
                .pipelines
                .values()
                .flat_map(|found| &found.stages);
            stages.any(|stage| stage.uses_model(model))
        });
        let previous = self.current.load_full();
        let built = sync::Arc::new(self.build(revision, deployment, previous.as_deref()));
        let newer =
            |old: &Option<snapshot::Shared>| old.as_ref().is_none_or(|old| old.revision < revision);
        let previous = self.current.rcu(|old| {
            if newer(old) {
                Some(sync::Arc::clone(&built))
            } else {
                old.clone()
            }
        });
        if newer(&previous) {
            self.components.metrics.revision(revision);
            log::info!("event=configuration-in-force revision={revision}");
        }
    }

    /// The current phase; draining takes precedence over synchronizing.
    pub fn phase(&self) -> Phase {
        if self.draining.load(atomic::Ordering::Acquire) {
            Phase::Draining
        } else if self.synchronizing.load(atomic::Ordering::Acquire) {
            Phase::Synchronizing
        } else {
            Phase::Serving
        }
    }

    /// Sets whether the daemon must not report ready because it is still synchronizing with peers.
    pub fn set_synchronizing(&self, synchronizing: bool) {
        self.synchronizing
            .store(synchronizing, atomic::Ordering::Release);
    }

    /// Makes `/readyz` tell the load balancer to send no new requests. Requests that still arrive
    /// are served.
    pub fn drain(&self) {
        self.draining.store(true, atomic::Ordering::Release);
    }
}
