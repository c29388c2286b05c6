//! Context of one request during its execution.

use std::sync;

use basilgrade_config::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;
use basilgrade_types::request;
use basilgrade_types::verdict;

use crate::caller::head;
use crate::core;
use crate::exec::active;
use crate::view::snapshot;

/// A request with the configuration snapshot it is served under and its deadline.
#[derive(Clone)]
pub struct Context {
    pub core: sync::Arc<core::Core>,
    /// Keeps the request counted as active while any part of it is in progress.
    pub active: sync::Arc<active::ActiveRequest>,
    /// The snapshot under which the request is served from start to end, also if the configuration
    /// changes meanwhile.
    pub view: snapshot::Shared,
    /// Identifier of the request, returned in every response.
    pub request: request::RequestId,
    pub customer: id::CustomerId,
    /// The request key that the caller sent, or one minted for a claim.
    pub key: Option<key::RequestKey>,
    /// The idempotency that the caller stated; it overrides the setting of a service, and can only
    /// make a pipeline non-idempotent.
    pub idempotency: Option<stage::Idempotency>,
    /// Whether the response is streamed or buffered.
    pub delivery: head::Delivery,
    /// Instant by which the response is due.
    pub deadline: clock::Millis,
}

impl Context {
    pub fn time_left(&self) -> clock::Millis {
        self.deadline.since(self.core.now())
    }

    /// The verdict of a request that ends after calls whose worst verdict is `worst`. A call that
    /// ran does not prove that the whole request ran.
    pub fn verdict_after(worst: Option<verdict::Verdict>) -> verdict::Verdict {
        match worst {
            None | Some(verdict::Verdict::NotRun) => verdict::Verdict::NotRun,
            Some(verdict::Verdict::MayHaveRun | verdict::Verdict::Ran) => {
                verdict::Verdict::MayHaveRun
            }
        }
    }
}
