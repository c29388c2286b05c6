//! One request on its way through the daemon.

use std::sync;

use basilgrade_config::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;
use basilgrade_types::request;
use basilgrade_types::verdict;

use crate::caller::head;
use crate::core;
use crate::exec::active_request;
use crate::view::snapshot;

/// A request, the view it is served under and its deadline.
#[derive(Clone)]
pub struct Context {
    /// Shared state of the daemon.
    pub core: sync::Arc<core::Core>,
    /// Keeps the request counted while any part of it is in progress.
    pub active: sync::Arc<active_request::ActiveRequest>,
    /// The configuration that the request is served under from start to end.
    pub view: snapshot::Shared,
    /// Identity of the request.
    pub request: request::RequestId,
    /// The customer.
    pub customer: id::CustomerId,
    /// The caller's key, if it gave one.
    pub key: Option<key::RequestKey>,
    /// The caller's idempotency mark, if it gave one.
    pub idempotency: Option<stage::Idempotency>,
    /// How the answer is delivered.
    pub delivery: head::Delivery,
    /// Instant by which the answer is due.
    pub deadline: clock::Millis,
}

impl Context {
    /// Time left until the deadline.
    pub fn time_left(&self) -> clock::Millis {
        self.deadline.since(self.core.now())
    }

    /// The verdict of a request that stops after `worst` happened to its calls.
    pub fn verdict_after(worst: Option<verdict::Verdict>) -> verdict::Verdict {
        match worst {
            None | Some(verdict::Verdict::NotRun) => verdict::Verdict::NotRun,
            Some(verdict::Verdict::MayHaveRun | verdict::Verdict::Ran) => {
                verdict::Verdict::MayHaveRun
            }
        }
    }
}
