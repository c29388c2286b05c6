//! What the parts of the daemon share.

use std::sync;
use std::sync::atomic;

use arc_swap::ArcSwap;
use basilgrade_fleet::budget;
use basilgrade_types::clock;
use basilgrade_types::id;
use tokio_util::sync::CancellationToken;

use crate::http::pool;
use crate::metrics;
use crate::settings;
use crate::view;

/// State that every request reads.
pub struct Core {
    /// Settings in force.
    pub settings: ArcSwap<settings::Settings>,
    /// The process clock.
    pub clock: clock::SystemClock,
    /// Configuration and directory.
    pub view: ArcSwap<view::View>,
    /// Kept connections.
    pub connections: pool::ConnectionPool,
    /// Counters.
    pub metrics: metrics::Metrics,
    budget: sync::Mutex<budget::Budget>,
    draining: atomic::AtomicBool,
    /// When open requests are answered at the latest, as the process ends.
    closing_at: atomic::AtomicU64,
    closing: CancellationToken,
    active: atomic::AtomicUsize,
}

/// Counts a request as in progress until it is dropped.
pub struct ActiveRequest {
    core: sync::Arc<Core>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.core.active.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Core {
    /// The state of a daemon that knows nothing yet.
    ///
    /// # Errors
    ///
    /// An error of the metrics.
    pub fn new(settings: settings::Settings, view: view::View) -> Result<Self, String> {
        Ok(Self {
            budget: sync::Mutex::new(budget::Budget::new(settings.retries)),
            settings: ArcSwap::from_pointee(settings),
            clock: clock::SystemClock::new(),
            view: ArcSwap::from_pointee(view),
            connections: pool::ConnectionPool::default(),
            metrics: metrics::Metrics::new()?,
            draining: atomic::AtomicBool::new(false),
            closing_at: atomic::AtomicU64::new(u64::MAX),
            closing: CancellationToken::new(),
            active: atomic::AtomicUsize::new(0),
        })
    }

    /// The current instant.
    pub fn now(&self) -> clock::Millis {
        clock::Clock::now(&self.clock)
    }

    /// Whether the balancer should send connections.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_draining() && view.configuration.is_some() && view.has_upstreams
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Relaxed)
    }

    /// Starts shutting down; open requests are answered by `until`.
    pub fn drain(&self, deadline: clock::Millis) {
        self.closing_at.store(deadline.0, atomic::Ordering::Relaxed);
        self.draining.store(true, atomic::Ordering::Relaxed);
    }

    /// When open requests are answered at the latest.
    pub fn closing_at(&self) -> clock::Millis {
        clock::Millis(self.closing_at.load(atomic::Ordering::Relaxed))
    }

    /// Has the open requests answered, as the process ends.
    pub fn signal_closing(&self) {
        self.closing.cancel();
    }

    /// Returns when the open requests have to be answered.
    pub async fn wait_closing(&self) {
        self.closing.cancelled().await;
    }

    /// Requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as in progress.
    pub fn begin_request(self: &sync::Arc<Self>) -> ActiveRequest {
        self.active.fetch_add(1, atomic::Ordering::Relaxed);
        ActiveRequest {
            core: sync::Arc::clone(self),
        }
    }

    fn budget(&self) -> sync::MutexGuard<'_, budget::Budget> {
        self.budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes over changed settings.
    pub fn reload(&self, settings: settings::Settings) {
        self.budget().set_config(settings.retries);
        self.settings.store(sync::Arc::new(settings));
    }

    /// Records a request to `pool` in the retry budget.
    pub fn deposit_retry(&self, pool: &id::PoolId) {
        self.budget().deposit(self.now(), pool);
    }

    /// Takes a repeat at `pool` from the retry budget, or returns `false`.
    #[must_use]
    pub fn try_withdraw_retry(&self, pool: &id::PoolId) -> bool {
        let daemons = self.view.load().daemons;
        self.budget().try_withdraw(self.now(), pool, daemons)
    }
}
