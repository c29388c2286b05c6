//! The failure domain's part of the weight store's rate.

use std::collections::HashSet;

use basilgrade_config::model::deployment;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;

/// Spreads loads so that the store's rate is not exceeded.
///
/// Each failure domain takes an equal part of the rate. The number of parts is that of the failure
/// domains with engines that take orders, which every writer knows from the configuration. So the
/// domains need no messages, and the sum stays within the rate while they are partitioned from each
/// other; the price is that the part of a lost domain is not used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    ready: clock::Millis,
}

impl Budget {
    /// Whether a load may start.
    pub fn is_ready(&self, now: clock::Millis) -> bool {
        now >= self.ready
    }

    /// Notes the start of a load for which this domain's part of the rate needs `span`; the next
    /// one may start after it.
    pub fn take(&mut self, now: clock::Millis, span: clock::Millis) {
        self.ready = now.plus(span);
    }
}

/// Time that a load takes at the part of `rate` that one of `parts` failure domains has.
pub fn span(size: size::ByteCount, rate: rate::ByteRate, parts: usize) -> clock::Millis {
    if rate.0 <= 0.0 {
        return clock::Millis::ZERO;
    }
    let seconds = size.0 as f64 * parts.max(1) as f64 / rate.0;
    clock::Millis((seconds * 1000.0).ceil() as u64)
}

/// The number of failure domains with engines of pools for which models are declared.
pub fn parts(deployment: &deployment::Deployment) -> usize {
    let pools: HashSet<&id::PoolId> = deployment
        .models
        .values()
        .map(|model| &model.pool)
        .collect();
    let domains: HashSet<&id::DomainId> = deployment
        .upstreams
        .values()
        .filter(|upstream| pools.contains(&upstream.pool))
        .map(|upstream| &upstream.domain)
        .collect();
    domains.len()
}
