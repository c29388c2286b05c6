//! A request that was read and is allowed.

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::head;
use basilgrade_fleet::model::customer;
use basilgrade_fleet::model::priority;
use basilgrade_fleet::model::route;
use basilgrade_types::clock;
use basilgrade_types::id;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::core;
use crate::serve;
use crate::serve::request_failure;

/// A request with everything that decides how it is served.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// What they say.
    pub head: head::Head,
    /// The body.
    pub body: Bytes,
    /// Its route, as of the configuration that was in force when it came.
    pub route: sync::Arc<route::Route>,
    /// The pool that it goes to.
    pub pool: id::PoolId,
    /// The holder of its key.
    pub customer: Option<customer::Customer>,
    /// Whether the deployment has keys.
    pub has_keys: bool,
    /// When it came.
    pub arrived: clock::Millis,
    /// When the caller's deadline or the route's timeout ends it.
    pub deadline: clock::Millis,
    /// Sends after which an upstream may have begun to work on it.
    pub uncertain_sends: atomic::AtomicU32,
}

impl Request {
    /// Time that is left.
    pub fn time_left(&self, now: clock::Millis) -> clock::Millis {
        self.deadline - now
    }

    /// Time until the answer loses worth.
    pub fn target_left(&self, now: clock::Millis) -> clock::Millis {
        self.arrived.plus(self.route.target_latency) - now
    }

    /// Urgency in queues and at engines.
    pub fn priority(&self) -> priority::Priority {
        let customer = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        priority::Priority::new(customer, self.route.priority)
    }

    /// Records a send after which an upstream may begin to work on it.
    pub fn begin_send(&self) {
        self.uncertain_sends.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records that the upstream of the last send did not begin to work on it.
    pub fn end_unexecuted(&self) {
        self.uncertain_sends.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// The failure of a request that is given up for `reason`.
    pub fn abort(&self, reason: &'static str) -> request_failure::RequestFailure {
        if self.uncertain_sends.load(atomic::Ordering::Relaxed) > 0 {
            return request_failure::RequestFailure::uncertain(serve::LATE_STATUS, reason);
        }
        request_failure::RequestFailure::unavailable(reason)
    }

    /// Writes how it failed.
    pub fn log_failure(&self, core: &core::Core, failure: &request_failure::RequestFailure) {
        log::info!(
            "event=request-failed request={} route={} kind={} customer={} status={} verdict={} \
             wait={} span={} reason={:?}",
            self.head.request,
            self.route.name,
            self.route.kind,
            self.customer_name(),
            failure.status.as_u16(),
            failure.verdict,
            failure.wait.unwrap_or_default(),
            core.now() - self.arrived,
            failure.reason
        );
    }

    /// Name of the customer for logs.
    pub fn customer_name(&self) -> &str {
        self.customer
            .as_ref()
            .map_or("-", |customer| customer.name.as_str())
    }
}
