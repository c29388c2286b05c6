//! Record of the latest routing decisions, for `basilctl explain`.

use std::collections;
use std::fmt;
use std::sync;

use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::request;
use basilgrade_types::verdict;
use serde::Serialize;

/// Maximum number of decisions kept; about 20 s at 40 requests a second with five stages each.
const CAPACITY: usize = 4096;

/// A routing decision for one attempt.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Instant of the decision.
    pub at: clock::Millis,
    /// Identifier of the request.
    pub request: request::RequestId,
    /// Name of the stage, or of the service pool.
    pub stage: id::StageId,
    /// Number of the attempt at the stage.
    pub attempt: attempt::Attempt,
    /// Number of upstreams considered.
    pub candidates: usize,
    /// The chosen upstream; `None` if the router refused.
    pub choice: Option<id::UpstreamId>,
    /// The router's main reason for the choice.
    pub reason: &'static str,
    /// Expected time until the call finishes, in milliseconds.
    pub finish: f32,
    /// Expected price, traffic included, in millionths of the currency.
    pub cost: f32,
    /// Outcome of the attempt, once it has finished.
    pub outcome: Option<AttemptOutcome>,
}

/// Outcome of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AttemptOutcome {
    /// Time left until the deadline of the request.
    pub left: clock::Millis,
    /// Bytes sent to and received from an upstream in another region.
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

/// A bounded record of routing decisions.
#[derive(Debug, Default)]
pub struct Decisions {
    entries: sync::Mutex<collections::VecDeque<Decision>>,
}

impl Decisions {
    /// Logs and records a decision, evicting the oldest one if the record is full.
    pub fn record(&self, decision: Decision) {
        log::info!("event=route {decision}");
        let mut entries = self.lock();
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(decision);
    }

    /// Adds the outcome of an attempt to its decision, unless the decision has been evicted.
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

    /// The recorded decisions for a request, oldest first.
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
