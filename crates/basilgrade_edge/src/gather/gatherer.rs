//! Gathers the pieces of jobs for one pool and failure domain in a queue, and sends them to
//! upstreams in batches.

use std::sync;

use basilgrade_adapter::answer;
use basilgrade_adapter::piece_calls;
use basilgrade_fleet::batch::call;
use basilgrade_fleet::batch::decisions;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::batch::queue;
use basilgrade_fleet::batch::terms;
use basilgrade_fleet::directory;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::limit;
use basilgrade_fleet::model::allowed_regions;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::model::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::verdict;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::core;
use crate::gather::result_releases;
use crate::http::single_call;
use crate::permits;
use crate::tunnel::dialer;

/// Minimum time between two lines about the overload of a queue, which may begin and end with each
/// call.
const OVERLOAD_LOG_INTERVAL: clock::Millis = clock::Millis(1000);

struct QueueState {
    queue: queue::Queue,
    waiters: IndexMap<call::JobId, oneshot::Sender<outcome::JobOutcome>>,
    directory: Option<sync::Arc<directory::Directory>>,
    was_handed_over: bool,
    /// Whether the queue was overloaded at the last line about it.
    is_overloaded: bool,
    /// Time of that line.
    overload_logged_at: clock::Millis,
}

/// Queue of pieces for the upstreams of one pool in one failure domain, and its dispatcher.
pub struct Gatherer {
    core: sync::Arc<core::Core>,
    releases: sync::Arc<result_releases::ResultReleases>,
    pool: id::PoolId,
    domain: id::DomainId,
    state: sync::Mutex<QueueState>,
    wakeup: tokio::sync::Notify,
    consumed: mpsc::UnboundedSender<call::ConsumedInputs>,
}

/// Guard that cancels a job if the future waiting for its outcome is dropped.
struct WaitGuard<'a> {
    gatherer: &'a Gatherer,
    job: Option<call::JobId>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            let mut state = self.gatherer.lock();
            state.waiters.swap_remove(&job);
            state.queue.cancel(job);
        }
    }
}

impl Gatherer {
    /// Creates an empty queue for the upstreams of `pool` in `domain`.
    pub fn new(
        core: sync::Arc<core::Core>,
        releases: sync::Arc<result_releases::ResultReleases>,
        pool: id::PoolId,
        domain: id::DomainId,
        profile: pool::PieceProfile,
        consumed: mpsc::UnboundedSender<call::ConsumedInputs>,
    ) -> Self {
        let mut queue = queue::Queue::new(profile);
        queue.take_over(core.now());
        let state = QueueState {
            queue,
            waiters: IndexMap::new(),
            directory: None,
            was_handed_over: false,
            is_overloaded: false,
            overload_logged_at: clock::Millis::ZERO,
        };
        Self {
            core,
            releases,
            pool,
            domain,
            state: sync::Mutex::new(state),
            wakeup: tokio::sync::Notify::new(),
            consumed,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, QueueState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Queues a job and waits for its outcome; also returns the load of the queue afterwards.
    pub async fn compute(
        &self,
        job: job::Job,
        terms: terms::JobTerms,
    ) -> (outcome::JobOutcome, load::Load) {
        let (sender, receiver) = oneshot::channel();
        let mut guard = {
            let mut state = self.lock();
            let job = state.queue.submit_on(self.core.now(), job, terms);
            state.waiters.insert(job, sender);
            WaitGuard {
                gatherer: self,
                job: Some(job),
            }
        };
        self.wakeup.notify_one();
        let outcome = receiver.await.unwrap_or(outcome::JobOutcome::Failed);
        guard.job = None;
        let load = self.load();
        (outcome, load)
    }

    /// Load of the queue with the current upstreams.
    pub fn load(&self) -> load::Load {
        let mut state = self.lock();
        self.refresh(&mut state);
        state.queue.load(self.core.now())
    }

    /// Frees stage results, each of about `bytes` bytes, and the memory reserved for them in the
    /// queue.
    pub fn release(&self, handles: Vec<handle::Handle>, bytes: u64) {
        {
            let mut state = self.lock();
            for holder in handles.iter().filter_map(handle::Handle::holder) {
                state.queue.release(holder, bytes);
            }
        }
        self.releases.add(handles);
        self.wakeup.notify_one();
    }

    /// Applies changes of the upstreams and of the pool's configuration to the queue.
    fn refresh(&self, state: &mut QueueState) {
        let view = self.core.view.load();
        let is_known = state
            .directory
            .as_ref()
            .is_some_and(|known| sync::Arc::ptr_eq(known, &view.directory));
        if !is_known {
            let ready = view.directory.ready(&self.pool);
            let in_domain = ready.filter(|entry| entry.domain == self.domain);
            state
                .queue
                .set_upstreams(in_domain.map(|entry| upstream::Upstream::clone(entry)));
            state.directory = Some(sync::Arc::clone(&view.directory));
        }
        state.queue.set_policy(self.core.settings.load().queue);
        let pools = view.configuration.as_ref().map(|known| &known.pools);
        if let Some(pool::Work::Pieces(profile)) = pools
            .and_then(|pools| pools.get(&self.pool))
            .map(|pool| &pool.work)
        {
            state.queue.set_profile(*profile);
        }
    }

    /// Dispatches batches to upstreams as they become free; never returns.
    pub async fn run(self: sync::Arc<Self>) {
        loop {
            let next = self.step();
            let Some(next) = next else {
                self.wakeup.notified().await;
                continue;
            };
            let pause = next - self.core.now();
            tokio::select! {
                () = self.wakeup.notified() => {}
                () = tokio::time::sleep(pause.max(clock::Millis(1)).duration()) => {}
            }
        }
    }

    /// Reports finished jobs and sends batches; returns the time of the next step, or `None` if
    /// there is nothing to wait for.
    fn step(self: &sync::Arc<Self>) -> Option<clock::Millis> {
        let now = self.core.now();
        let mut state = self.lock();
        self.refresh(&mut state);
        // The queue is handed over only once: a job that arrives afterwards has no other queue, or
        // the daemon of the other queue does not answer.
        if self.core.is_draining() && !state.was_handed_over {
            state.was_handed_over = true;
            state.queue.hand_over();
        }
        let calls = state.queue.dispatch(now);
        let decisions = state.queue.take_decisions();
        self.record(&mut state, now, decisions);
        for (job, outcome) in state.queue.take_finished() {
            // A job without a waiter was cancelled by its guard.
            if let Some(waiter) = state.waiters.swap_remove(&job) {
                let _ = waiter.send(outcome);
            }
        }
        self.releases.add(state.queue.take_orphans());
        for consumed in state.queue.take_consumed() {
            // The receiver is dropped only when the process ends, so the error is ignored.
            let _ = self.consumed.send(consumed);
        }
        for call in calls {
            let gatherer = sync::Arc::clone(self);
            tokio::spawn(gatherer.send(call));
        }
        state.queue.next_wakeup(now)
    }

    /// Counts the decisions of a dispatch, and logs the begin and the end of an overload.
    fn record(&self, state: &mut QueueState, now: clock::Millis, decisions: decisions::Decisions) {
        let metrics = &self.core.metrics;
        metrics.queue_overloads.add(decisions.overloads);
        metrics.queue_turns.add(decisions.turns);
        metrics.kept_jobs.add(decisions.kept);
        metrics.dropped_jobs.add(decisions.dropped);
        let is_overloaded = decisions.overloads > 0;
        if is_overloaded != state.is_overloaded
            && now >= state.overload_logged_at.plus(OVERLOAD_LOG_INTERVAL)
        {
            state.is_overloaded = is_overloaded;
            state.overload_logged_at = now;
            let load = state.queue.load(now);
            log::info!(
                "event=queue-overload pool={} domain={} overloaded={is_overloaded} wait={} late={}",
                self.pool,
                self.domain,
                load.wait,
                load.late_backlog()
            );
        }
    }

    async fn send(self: sync::Arc<Self>, call: call::Call) {
        self.core.metrics.piece_calls.inc();
        self.core.metrics.pieces.add(call.items.len() as u64);
        let started = self.core.now();
        let exchange = self.exchange(&call);
        let outcome = tokio::time::timeout(call.timeout.duration(), exchange)
            .await
            .unwrap_or_else(|_| Err("no answer from the upstream within the time-out".to_owned()));
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(reason) => self.examine(&call, started, &reason).await,
        };
        let now = self.core.now();
        let wait = {
            let mut state = self.lock();
            state.queue.complete(now, call.id, outcome.clone());
            state.queue.load(now).wait
        };
        log::info!(
            "event=pieces-made pool={} domain={} upstream={} pieces={} outcome={} no_room={} input_gone={} \
             failed={} span={} wait={wait}",
            self.pool,
            self.domain,
            call.upstream,
            call.items.len(),
            outcome_label(&outcome),
            count_pieces(&outcome, &outcome::PieceOutcome::NoRoom),
            count_pieces(&outcome, &outcome::PieceOutcome::InputGone),
            count_pieces(&outcome, &outcome::PieceOutcome::Failed),
            now - started
        );
        self.wakeup.notify_one();
    }

    /// Outcome of a call without a usable answer, which tells whether its path or its upstream failed.
    async fn examine(
        &self,
        call: &call::Call,
        started: clock::Millis,
        reason: &str,
    ) -> outcome::CallOutcome {
        self.core.metrics.broken_piece_calls.inc();
        let entry = self.core.view.load().directory.get(&call.upstream).cloned();
        let is_path_lost = match entry {
            Some(entry) => dialer::has_lost_path(&self.core, &entry, started).await,
            None => false,
        };
        log::warn!(
            "event=pieces-broken pool={} upstream={} pieces={} path_lost={is_path_lost} \
             reason={reason:?}",
            self.pool,
            call.upstream,
            call.items.len()
        );
        if is_path_lost {
            return outcome::CallOutcome::PathLost;
        }
        outcome::CallOutcome::Broken
    }

    async fn exchange(&self, call: &call::Call) -> Result<outcome::CallOutcome, String> {
        let message = piece_calls::compute_request(call).map_err(|reason| reason.to_string())?;
        let entry = self.core.view.load().directory.get(&call.upstream).cloned();
        let entry = entry.ok_or("the upstream is not registered")?;
        let is_doubtful = !entry.stats.is_heard();
        let claim = limit::Claim::Any;
        let permit = match permits::acquire(&self.core, &entry, claim, is_doubtful).await {
            Ok(permit) => permit,
            Err(until) => return Ok(outcome::CallOutcome::Held(until - self.core.now())),
        };
        // The upstream's own region serves every request in the call.
        let regions = if call.is_restricted {
            let topology = sync::Arc::clone(&self.core.view.load().topology);
            allowed_regions::AllowedRegions::only(topology.regions.get(&entry.domain))
        } else {
            allowed_regions::AllowedRegions::ANYWHERE
        };
        let connecting = dialer::open(&self.core, &entry, &regions);
        let is_allowed = || {
            self.core.accepts(&call.upstream, call.address)
                && entry.stats.limit().allows(self.core.now(), permit)
        };
        let held = self.core.answers.hold(call.address);
        let buffered = match single_call::send(connecting, message, held, is_allowed).await {
            Ok(buffered) => buffered,
            Err(failure) => {
                let is_unsent = failure.verdict == verdict::Verdict::NotRun;
                let (now, until) = (self.core.now(), entry.stats.notices.paused_until());
                if is_unsent && now < until {
                    return Ok(outcome::CallOutcome::Held(until - now));
                }
                return Err(format!("{} unsent={is_unsent}", failure.reason));
            }
        };
        let answer = answer::Answer::decode(buffered.status, &buffered.headers, "");
        self.core.record_limit(&entry, &answer);
        // Only the daemon that keeps the queue sends calls to its upstreams.
        self.core.record_notices(&entry, &answer, 1);
        if let Some(slowness) = answer.slowness {
            let now = self.core.now();
            self.lock()
                .queue
                .report_speed(now, &call.upstream, slowness);
        }
        piece_calls::decode_answer(
            buffered.status,
            answer.is_unexecuted,
            &buffered.body,
            call.items.len(),
        )
        .map_err(|reason| reason.to_string())
    }
}

fn count_pieces(outcome: &outcome::CallOutcome, kind: &outcome::PieceOutcome) -> usize {
    let outcome::CallOutcome::Answered(outcomes) = outcome else {
        return 0;
    };
    outcomes.iter().filter(|outcome| *outcome == kind).count()
}

const fn outcome_label(outcome: &outcome::CallOutcome) -> &'static str {
    match outcome {
        outcome::CallOutcome::Answered(_) => "answered",
        outcome::CallOutcome::Full => "full",
        outcome::CallOutcome::Held(_) => "held",
        outcome::CallOutcome::WrongUpstream => "wrong-upstream",
        outcome::CallOutcome::Broken => "broken",
        outcome::CallOutcome::PathLost => "path-lost",
    }
}
