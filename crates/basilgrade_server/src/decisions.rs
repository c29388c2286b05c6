//! The latest decisions, kept for `basilctl explain`.

use std::collections;
use std::fmt;
use std::sync;

use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::request;
use basilgrade_types::verdict;
use serde::Serialize;

/// Decisions kept; at 40 requests a second with five stages this covers about 20 s.
const CAPACITY: usize = 4096;

/// One routing decision.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// When it was made.
    pub at: clock::Millis,
    /// The request.
    pub request: request::RequestId,
    /// The stage or service.
    pub stage: id::StageId,
    /// The attempt.
    pub attempt: attempt::Attempt,
    /// Upstreams considered.
    pub candidates: usize,
    /// The upstream chosen; none when the call was refused.
    pub choice: Option<id::UpstreamId>,
    /// What decided.
    pub reason: &'static str,
    /// Expected time until done, in milliseconds.
    pub finish: f32,
    /// Expected price, in millionths of the currency.
    pub cost: f32,
    /// What became of the attempt, once it is finished.
    pub outcome: Option<AttemptOutcome>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AttemptOutcome {
    /// Time left until the request's deadline.
    pub left: clock::Millis,
    /// Bytes sent to and received from another region.
    pub billed: u64,
    /// Whether the call may have run.
    pub verdict: verdict::Verdict,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "request={} stage={} attempt={} candidates={} choice={} reason={} finish_ms={:.1} cost={:.2}",
            self.request,
            self.stage,
            self.attempt,
            self.candidates,
            self.choice.as_ref().map_or("none", id::UpstreamId::as_str),
            self.reason,
            self.finish,
            self.cost,
        )?;
        if let Some(outcome) = &self.outcome {
            write!(
                f,
                " verdict={} left={} billed_bytes={}",
                outcome.verdict, outcome.left, outcome.billed
            )?;
        }
        Ok(())
    }
}

/// A bounded record of decisions.
#[derive(Debug, Default)]
pub struct Decisions {
    entries: sync::Mutex<collections::VecDeque<Decision>>,
}

impl Decisions {
    /// Logs a decision and keeps it; the oldest goes when the record is full.
    pub fn record(&self, decision: Decision) {
        log::info!("event=route {decision}");
        let mut entries = self.lock();
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(decision);
    }

    /// Adds what became of an attempt to its decision, if that is still kept.
    pub fn record_outcome(
        &self,
        request: request::RequestId,
        stage: &id::StageId,
        attempt: attempt::Attempt,
        outcome: AttemptOutcome,
    ) {
        let mut entries = self.lock();
        let found = entries.iter_mut().rev().find(|decision| {
            decision.request == request && decision.attempt == attempt && &decision.stage == stage
        });
        if let Some(decision) = found {
            decision.outcome = Some(outcome);
        }
    }

    /// The decisions kept for a request, in order.
    pub fn for_request(&self, request: request::RequestId) -> Vec<Decision> {
        self.lock()
            .iter()
            .filter(|decision| decision.request == request)
            .cloned()
            .collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<Decision>> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
