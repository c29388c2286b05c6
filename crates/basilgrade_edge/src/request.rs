//! Validated request of a caller, and the errors that the daemon answers requests with.

pub mod failure;
pub mod response_body;
pub mod terms;

use std::fmt;
use std::sync;
use std::sync::atomic;

use basilgrade_adapter::incoming_head;
use basilgrade_fleet::batch::terms as batch_terms;
use basilgrade_fleet::model::allowed_regions;
use basilgrade_fleet::model::customer;
use basilgrade_fleet::model::fingerprint;
use basilgrade_fleet::model::priority;
use basilgrade_fleet::model::route;
use basilgrade_fleet::ranking;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;
use basilgrade_types::id;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::http::caller_connection;
use crate::http::request_memory;

/// Margin by which the deadline of a request is set before the caller's, so that the response
/// reaches the caller in time.
pub const ANSWER_MARGIN: clock::Millis = clock::Millis(20);

/// What sets the deadline of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlineOrigin {
    /// The time that the caller waits.
    Caller,
    /// The time-out of the route.
    Route,
}

impl fmt::Display for DeadlineOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Caller => "caller",
            Self::Route => "route",
        })
    }
}

/// Validated request with its route, pool, customer and deadline.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    /// Path and query, as sent by the caller.
    pub target: Uri,
    /// Headers, as sent by the caller.
    pub headers: HeaderMap,
    /// Properties decoded from the headers.
    pub head: incoming_head::IncomingHead,
    pub body: Bytes,
    /// Name of the request that all its attempts share.
    pub fingerprint: fingerprint::Fingerprint,
    /// The fingerprint and the shared parts of the prompt, which may crash engines.
    pub suspects: Vec<suspects::Suspect>,
    /// Route from the configuration that was in force when the request arrived.
    pub route: sync::Arc<route::Route>,
    /// Pool whose upstreams serve the request.
    pub pool: id::PoolId,
    /// Customer whose API key the request carries.
    pub customer: Option<customer::Customer>,
    /// Regions that the route and the customer both allow.
    pub regions: allowed_regions::AllowedRegions,
    /// Whether the configuration defines API keys.
    pub has_keys: bool,
    /// Time at which the request arrived.
    pub arrived: clock::Millis,
    /// Time between the caller's first send and the arrival, if the request was refused before and
    /// the settings prefer such requests; else zero.
    pub waited: clock::Millis,
    /// Time by which the request must be answered, by the caller's deadline or the route's
    /// time-out.
    pub deadline: clock::Millis,
    pub deadline_origin: DeadlineOrigin,
    /// Sending of the body to an upstream.
    pub upload: request_memory::Upload,
    /// Connection on which the answer is sent.
    pub caller: caller_connection::CallerConnection,
    /// Number of sends after which an upstream may have run the request.
    pub uncertain_sends: sync::Arc<atomic::AtomicU32>,
}

impl Request {
    /// This request, which goes on in `pool`; its sends are counted together with those before.
    #[must_use]
    pub fn in_pool(self: sync::Arc<Self>, pool: id::PoolId) -> sync::Arc<Self> {
        if self.pool == pool {
            return self;
        }
        sync::Arc::new(Self {
            pool,
            ..Self::clone(&self)
        })
    }

    /// Time left until the deadline.
    pub fn time_left(&self, now: clock::Millis) -> clock::Millis {
        self.deadline - now
    }

    /// Time by which an upstream must have the request if its caller got the last event, or sent the
    /// request, at `last`, as callers abandon a stream after a long gap; the deadline if the answer
    /// is no stream.
    pub fn send_deadline(&self, last: clock::Millis) -> clock::Millis {
        let patience = last.plus(self.route.patience) - ANSWER_MARGIN;
        self.deadline.min(patience)
    }

    /// Time left until the answer misses the target latency of the route.
    pub fn target_left(&self, now: clock::Millis) -> clock::Millis {
        let left = self.arrived.plus(self.route.target_latency) - now;
        left - self.waited
    }

    /// Whether the caller has a part of the answer, by the event `last` that this request brought or
    /// by one that an earlier request did.
    pub fn has_begun(&self, last: Option<u64>) -> bool {
        self.route.kind.is_resumable() && last.or(self.head.last_event).is_some()
    }

    /// Terms on which the stages run before the first event of this request.
    pub fn stage_terms(&self) -> terms::Terms {
        terms::Terms {
            send_by: self.send_deadline(self.arrived),
            has_begun: self.has_begun(None),
        }
    }

    /// Terms of the jobs of this request's stages.
    pub fn job_terms(&self) -> batch_terms::JobTerms {
        let customer = self.customer.as_ref();
        batch_terms::JobTerms {
            regions: self.regions.clone(),
            customer: customer.map_or(0, |customer| ranking::key(customer.name.as_str())),
        }
    }

    /// Priority of the request in queues and at engines; a stream that has begun precedes requests
    /// that have not, as its caller has less time left and would lose a part of the answer.
    pub fn priority(&self, has_begun: bool) -> priority::Priority {
        if has_begun {
            return priority::Priority::HIGHEST;
        }
        let customer = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        priority::Priority::new(customer, self.route.priority)
    }

    /// Records a send after which an upstream may run the request.
    pub fn begin_send(&self) {
        self.uncertain_sends.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records that the upstream of the last send did not run the request.
    pub fn end_unexecuted(&self) {
        self.uncertain_sends.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Failure of a request that ends without an answer for `reason`; the verdict depends on
    /// whether an upstream may have run the request.
    pub fn abort(&self, reason: &'static str) -> failure::RequestFailure {
        if self.uncertain_sends.load(atomic::Ordering::Relaxed) > 0 {
            return failure::RequestFailure::uncertain(failure::LATE_STATUS, reason);
        }
        failure::RequestFailure::unavailable(reason)
    }

    /// Attempt whose stream the request takes up, for logs, or `-` if it takes up none.
    pub fn resumed_name(&self) -> &str {
        match (&self.head.resumes, self.head.last_event) {
            (Some(attempt), _) => attempt,
            (None, Some(_)) => &self.head.request_id,
            (None, None) => "-",
        }
    }

    /// Name of the customer for logs, or `-` if there is none.
    pub fn customer_name(&self) -> String {
        let customer = self.customer.as_ref();
        customer.map_or_else(|| "-".to_owned(), |customer| customer.name.to_string())
    }
}
