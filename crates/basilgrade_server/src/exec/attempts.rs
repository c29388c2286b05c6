//! Attempts at one step: choice of upstream, call, and retry decision.

use basilgrade_config::model::pool;
use basilgrade_policy::candidate;
use basilgrade_policy::prefix::prefix_hits;
use basilgrade_policy::refusal;
use basilgrade_policy::retry::backoff;
use basilgrade_policy::retry::hedge;
use basilgrade_policy::retry::retry_rules;
use basilgrade_policy::router;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;

use crate::caller::failure;
use crate::decisions;
use crate::exec::context;
use crate::exec::step;
use crate::view::entry;

/// Maximum number of attempts at one step; more would outlast any practical deadline.
pub const MAX_ATTEMPTS: u32 = 4;

/// Estimated size of a prompt token; engines report no exact token count before a call.
const BYTES_PER_TOKEN: u32 = 4;

/// How long an upstream gets no new calls after its last notice that it is leaving.
pub const LEAVING_PERIOD: clock::Millis = clock::Millis::from_secs(30);

/// State of the attempts at one step.
pub struct Attempts<'a> {
    pub(super) context: &'a context::Context,
    pub(super) step: &'a step::Step,
    pub(super) next: attempt::Attempt,
    tried: Vec<u32>,
    worst_verdict: Option<verdict::Verdict>,
}

impl<'a> Attempts<'a> {
    pub fn new(context: &'a context::Context, step: &'a step::Step) -> Self {
        Self {
            context,
            step,
            next: attempt::Attempt::default(),
            tried: Vec::new(),
            worst_verdict: None,
        }
    }

    /// Chooses the upstream of the next attempt.
    ///
    /// # Errors
    ///
    /// Fails if the router refuses or the deadline has passed, with the verdict over all attempts
    /// made.
    pub fn choose_upstream(
        &mut self,
    ) -> Result<(&'a entry::Entry, attempt::Attempt), failure::Failure> {
        let now = self.context.core.now();
        if self.step.hard_deadline <= now {
            return Err(failure::Failure::DeadlinePassed(self.verdict()));
        }
        let view = &self.context.view;
        let candidates = self.candidates(now);
        let mut choice = self.query_router(now, &candidates);
        if choice.is_err() && !self.tried.is_empty() {
            // No untried upstream is available, so allow upstreams that were tried before.
            self.tried.clear();
            choice = self.query_router(now, &candidates);
        }
        let choice = choice.and_then(|choice| {
            let entry = view.entries.get(choice.index as usize);
            entry
                .map(|entry| (entry, choice))
                .ok_or(refusal::Refusal::Unserved)
        });
        let attempt = self.next;
        self.record_decision(now, candidates.len(), choice.as_ref().ok());
        match choice {
            Ok((entry, choice)) => {
                if attempt.0 == 0 {
                    self.context.core.retries.deposit();
                }
                self.next = attempt.next();
                self.tried.push(choice.index);
                Ok((entry, attempt))
            }
            Err(refusal) if self.verdict() == verdict::Verdict::NotRun => {
                Err(failure::Failure::Refused(refusal))
            }
            Err(_) => Err(failure::Failure::DeadlinePassed(self.verdict())),
        }
    }

    /// Returns the upstreams of the pool with their load, and with the number of prompt tokens that
    /// each is expected to have cached.
    fn candidates(&self, now: clock::Millis) -> Vec<candidate::Candidate> {
        let view = &self.context.view;
        let mut candidates = view.candidates(&self.step.pool, self.step.model.as_ref(), now);
        if self.step.block_hashes.is_empty() {
            return candidates;
        }
        let mut hits = prefix_hits::Hits::default();
        view.prefixes
            .lookup(now, &self.step.block_hashes, &mut hits);
        for candidate in &mut candidates {
            candidate.cached_tokens = hits.blocks(candidate.index) * step::BLOCK_TOKENS;
        }
        candidates
    }

    /// Records that `entry` will have the prompt of this step in its cache, and returns the number
    /// of prompt tokens that are not cached yet.
    pub fn record_prefix(&self, entry: &entry::Entry) -> u32 {
        let view = &self.context.view;
        let now = self.context.core.now();
        let mut hits = prefix_hits::Hits::default();
        view.prefixes
            .lookup(now, &self.step.block_hashes, &mut hits);
        let prompt_tokens = self.step.input.len() as u32 / BYTES_PER_TOKEN;
        let Some(index) = view.deployment.upstreams.get_index_of(&entry.id) else {
            return prompt_tokens;
        };
        view.prefixes
            .record(now, index as u32, &self.step.block_hashes);
        prompt_tokens.saturating_sub(hits.blocks(index as u32) * step::BLOCK_TOKENS)
    }

    /// Chooses an upstream for a hedge, a second call beside the one in flight, if the expected
    /// benefit exceeds its cost and the retry budget allows it.
    pub(super) fn choose_hedge(&self, started: clock::Millis) -> Option<&'a entry::Entry> {
        let view = &self.context.view;
        let now = self.context.core.now();
        let choice = self.query_router(now, &self.candidates(now)).ok()?;
        let settings = router::settings::ScoreSettings::new(view.deployment.weights);
        let elapsed = now.since(started).as_f64() as f32;
        let p95_latency = self.step.p95_latency?.as_f64() as f32;
        // Nothing of a buffered response arrives early. A call that exceeds the p95 latency is
        // therefore expected to need as long again as it has taken.
        let remaining = hedge::expected_remaining(elapsed, 0.0, p95_latency.max(elapsed));
        let time_left = self.step.hard_deadline.since(now);
        if !hedge::is_worthwhile(&settings, remaining, time_left, &choice)
            || !self.context.core.retries.withdraw_hedge()
        {
            return None;
        }
        let entry = view.entries.get(choice.index as usize)?;
        self.record_decision(now, view.entries.len(), Some(&(entry, choice)));
        Some(entry)
    }

    fn query_router(
        &self,
        now: clock::Millis,
        candidates: &[candidate::Candidate],
    ) -> Result<router::Choice, refusal::Refusal> {
        let router = &self.context.view.router;
        router.choose(now, &self.call_shape(), candidates, &mut rand::rng())
    }

    /// Records verdict and cost of an attempt; `received` is the size of its response in bytes.
    pub fn record_outcome(
        &self,
        entry: &entry::Entry,
        attempt: attempt::Attempt,
        received: usize,
        verdict: verdict::Verdict,
    ) {
        let crosses_regions = entry.region != self.context.view.own_region;
        let transferred = (self.step.input.len() + received) as u64;
        let billed = if crosses_regions { transferred } else { 0 };
        let core = &self.context.core;
        let outcome = decisions::AttemptOutcome {
            left: self.context.time_left(),
            billed,
            verdict,
        };
        core.decisions
            .record_outcome(self.context.request, &self.step.stage, attempt, outcome);
        let metrics = &core.components.metrics;
        metrics.stage_cost(&self.step.stage, f64::from(entry.price), billed);
        if attempt.0 > 0 {
            metrics.retry(&self.step.stage);
        }
    }

    /// Records a failed attempt, and waits for the backoff delay if a retry is allowed.
    ///
    /// # Errors
    ///
    /// Returns the failure to report if no further attempt is allowed.
    pub async fn prepare_retry(
        &mut self,
        entry: &entry::Entry,
        attempt: attempt::Attempt,
        error: call_error::CallError,
    ) -> Result<(), failure::Failure> {
        self.record_failure(entry, attempt, &error);
        let verdict = error.verdict();
        let keys = match self.context.key {
            Some(_) => self.step.keys,
            None => pool::RequestKeys::Ignored,
        };
        let retry = self.next.0 - 1;
        let allowed = retry_rules::may_retry(verdict, self.step.idempotency, keys)
            && self.next.0 < MAX_ATTEMPTS
            && self.context.core.retries.withdraw();
        if !allowed {
            return Err(failure::Failure::Upstream(error, self.verdict()));
        }
        let delay = backoff::delay(retry, &mut rand::rng());
        tokio::time::sleep(delay.duration()).await;
        Ok(())
    }

    /// Records a failed call and includes its verdict in the verdict over all calls of the step.
    pub(super) fn record_failure(
        &mut self,
        entry: &entry::Entry,
        attempt: attempt::Attempt,
        error: &call_error::CallError,
    ) {
        let verdict = error.verdict();
        self.record_outcome(entry, attempt, 0, verdict);
        self.worst_verdict = self.worst_verdict.max(Some(verdict));
        if error.is_leaving() {
            let until = self.context.core.now().plus(LEAVING_PERIOD);
            entry.stats.mark_leaving(until);
        }
        log::warn!(
            "event=attempt-failed request={} stage={} upstream={} verdict={} error={:?}",
            self.context.request,
            self.step.stage,
            entry.id,
            verdict,
            error.to_string(),
        );
        entry.record_failure(self.context.core.now(), error);
    }

    /// Builds the upstream call of an attempt.
    pub fn call(&self, entry: &entry::Entry, attempt: attempt::Attempt) -> call::Call {
        let echo = match self.step.kind {
            pool::Kind::Service => call::Echo::Optional,
            _ => call::Echo::Required,
        };
        call::Call {
            address: entry.address,
            method: self.step.method.clone(),
            path: self.step.path.clone(),
            headers: self.step.headers.clone(),
            body: self.step.input.clone(),
            request: self.context.request,
            stage: self.step.stage.clone(),
            attempt,
            key: self.context.key,
            time_left: self.step.hard_deadline.since(self.context.core.now()),
            echo,
        }
    }

    /// The verdict over all attempts made so far.
    pub fn verdict(&self) -> verdict::Verdict {
        context::Context::verdict_after(self.worst_verdict)
    }

    fn call_shape(&self) -> router::CallShape {
        let view = &self.context.view;
        let own_region = usize::from(view.own_region);
        let prompt = match self.step.kind {
            pool::Kind::Engine => self.step.input.len() as u32 / BYTES_PER_TOKEN,
            _ => 0,
        };
        // A step that has missed its soft deadline still has to meet its hard deadline.
        let past_soft_deadline = self.step.soft_deadline <= self.context.core.now();
        let deadline = if past_soft_deadline {
            self.step.hard_deadline
        } else {
            self.step.soft_deadline
        };
        router::CallShape {
            region: view.own_region,
            bytes: self.step.input.len() as u32,
            prices: view.prices.get(own_region).cloned().unwrap_or_default(),
            latencies: view.latency.get(own_region).cloned().unwrap_or_default(),
            prompt,
            output: self.step.max_tokens.0 as u32,
            deadline,
            excluded: self.tried.clone(),
        }
    }

    fn record_decision(
        &self,
        now: clock::Millis,
        candidates: usize,
        choice: Option<&(&entry::Entry, router::Choice)>,
    ) {
        self.context.core.decisions.record(decisions::Decision {
            at: now,
            request: self.context.request,
            stage: self.step.stage.clone(),
            attempt: self.next,
            candidates,
            choice: choice.map(|(entry, _)| entry.id.clone()),
            reason: choice.map_or("refused", |(_, choice)| choice.reason),
            finish: choice.map_or(0.0, |(_, choice)| choice.finish_ms),
            cost: choice.map_or(0.0, |(_, choice)| choice.cost),
            outcome: None,
        });
    }
}
