//! Attempts at one step: choice of upstream, call, and whether to try again.

use std::sync;

use basilgrade_config::model::pool;
use basilgrade_config::model::stage;
use basilgrade_policy::candidate;
use basilgrade_policy::refusal;
use basilgrade_policy::router;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;

use crate::caller::failure;
use crate::exec::context;
use crate::exec::step;
use crate::recent;
use crate::view::entry;

/// Attempts at one step; more would outlast any deadline worth serving.
pub const ATTEMPT_LIMIT: u32 = 4;

/// How long an upstream that said it is leaving gets no work without saying so again.
pub const LEAVING_SPAN: clock::Millis = clock::Millis::from_secs(30);

/// Attempts made so far at one step.
pub struct Attempts<'a> {
    context: &'a context::Context,
    step: &'a step::Step,
    next: attempt::Attempt,
    tried: Vec<u32>,
    worst: Option<verdict::Verdict>,
}

impl<'a> Attempts<'a> {
    /// No attempt yet.
    pub fn new(context: &'a context::Context, step: &'a step::Step) -> Self {
        Self {
            context,
            step,
            next: attempt::Attempt::default(),
            tried: Vec::new(),
            worst: None,
        }
    }

    /// Chooses the upstream of the next attempt.
    ///
    /// # Errors
    ///
    /// A refusal of the router or a passed deadline, with the verdict of the attempts made.
    pub fn choose(&mut self) -> Result<(&'a entry::Entry, attempt::Attempt), failure::Failure> {
        let now = self.context.core.now();
        if self.step.limit <= now {
            return Err(failure::Failure::DeadlinePassed(self.verdict()));
        }
        let view = &self.context.view;
        let candidates = view.candidates(&self.step.pool, self.step.model.as_ref(), now);
        let mut choice = self.ask_router(now, &candidates);
        if choice.is_err() && !self.tried.is_empty() {
            // Every other upstream is out of the question, so those tried before get another chance.
            self.tried.clear();
            choice = self.ask_router(now, &candidates);
        }
        let choice = choice.and_then(|choice| {
            let entry = view.entries.get(choice.index as usize);
            entry
                .map(|entry| (entry, choice))
                .ok_or(refusal::Refusal::Unserved)
        });
        let attempt = self.next;
        self.record(now, candidates.len(), choice.as_ref().ok());
        match choice {
            Ok((entry, choice)) => {
                self.next = attempt.next();
                self.tried.push(choice.index);
                Ok((entry, attempt))
            }
            Err(refusal) if self.worst.is_none() => Err(failure::Failure::Refused(refusal)),
            Err(_) => Err(failure::Failure::DeadlinePassed(self.verdict())),
        }
    }

    fn ask_router(
        &self,
        now: clock::Millis,
        candidates: &[candidate::Candidate],
    ) -> Result<router::Choice, refusal::Refusal> {
        let router = &self.context.view.router;
        router.choose(now, &self.shape(), candidates, &mut rand::rng())
    }

    /// Notes what an attempt cost; `received` counts the bytes of its answer.
    pub fn finished(
        &self,
        entry: &entry::Entry,
        attempt: attempt::Attempt,
        received: usize,
        verdict: verdict::Verdict,
    ) {
        let crosses = entry.region != self.context.view.home;
        let moved = (self.step.input.len() + received) as u64;
        let billed = if crosses { moved } else { 0 };
        let core = &self.context.core;
        let outcome = recent::Outcome {
            left: self.context.left(),
            billed,
            verdict,
        };
        core.recent
            .finish(self.context.request, &self.step.stage, attempt, outcome);
        let metrics = &core.parts.metrics;
        metrics.stage_cost(&self.step.stage, f64::from(entry.price), billed);
        if attempt.0 > 0 {
            metrics.retry(&self.step.stage);
        }
    }

    /// Notes a failed attempt and says whether another one is allowed.
    ///
    /// # Errors
    ///
    /// The failure to report when no further attempt is allowed.
    pub fn failed(
        &mut self,
        entry: &entry::Entry,
        attempt: attempt::Attempt,
        error: call_error::CallError,
    ) -> Result<(), failure::Failure> {
        let verdict = error.verdict();
        self.finished(entry, attempt, 0, verdict);
        if let call_error::CallError::Mismatch(..) = error {
            self.context.core.parts.metrics.dropped_answer("mismatch");
        }
        self.worst = self.worst.max(Some(verdict));
        if let call_error::CallError::Refused(_, true) = error {
            let until = self.context.core.now().plus(LEAVING_SPAN);
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
        let repeatable = verdict == verdict::Verdict::NotRun
            || self.step.idempotency == stage::Idempotency::Idempotent
            || (self.step.keys == pool::Keys::Honoured && self.context.key.is_some());
        if repeatable && self.next.0 < ATTEMPT_LIMIT {
            return Ok(());
        }
        Err(failure::Failure::Upstream(error, self.verdict()))
    }

    /// The call of an attempt.
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
            left: self.step.limit.since(self.context.core.now()),
            echo,
        }
    }

    /// What the attempts so far leave open.
    pub fn verdict(&self) -> verdict::Verdict {
        context::Context::verdict_after(self.worst)
    }

    fn shape(&self) -> router::CallShape {
        let view = &self.context.view;
        let home = usize::from(view.home);
        let prompt = match self.step.kind {
            pool::Kind::Engine => self.step.input.len() as u32 / 4,
            _ => 0,
        };
        router::CallShape {
            region: view.home,
            bytes: self.step.input.len() as u32,
            prices: view.prices.get(home).cloned().unwrap_or_default(),
            latency: view.latency.get(home).cloned().unwrap_or_default(),
            prompt,
            output: self.step.tokens.0 as u32,
            deadline: self.step.due,
            excluded: self.tried.clone(),
        }
    }

    fn record(
        &self,
        now: clock::Millis,
        candidates: usize,
        choice: Option<&(&entry::Entry, router::Choice)>,
    ) {
        self.context.core.recent.record(recent::Decision {
            at: now,
            request: self.context.request,
            stage: self.step.stage.clone(),
            attempt: self.next,
            candidates,
            choice: choice.map(|(entry, _)| entry.id.clone()),
            reason: choice.map_or("refused", |(_, choice)| choice.reason),
            finish: choice.map_or(0.0, |(_, choice)| choice.finish),
            cost: choice.map_or(0.0, |(_, choice)| choice.cost),
            outcome: None,
        });
    }
}

/// Runs a step that is not a generation and returns its whole answer.
///
/// # Errors
///
/// The failure of the last attempt, with the verdict over all of them.
pub async fn run(
    context: &context::Context,
    step: &step::Step,
) -> Result<basilgrade_upstream::reply::Reply, failure::Failure> {
    let core = sync::Arc::clone(&context.core);
    let mut attempts = Attempts::new(context, step);
    loop {
        let (entry, attempt) = attempts.choose()?;
        let started = core.now();
        let inflight = super::inflight::Inflight::start(&entry.stats);
        let result = core
            .parts
            .upstream
            .call(attempts.call(entry, attempt))
            .await;
        drop(inflight);
        match result {
            Ok(reply) => {
                entry.stats.observe(core.now().since(started), 0);
                attempts.finished(entry, attempt, reply.body.len(), verdict::Verdict::Ran);
                return Ok(reply);
            }
            Err(error) => attempts.failed(entry, attempt, error)?,
        }
    }
}
