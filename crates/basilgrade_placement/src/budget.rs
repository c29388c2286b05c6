//! The failure domain's share of the delivery rate of the weight store.

use std::collections::HashSet;

use basilgrade_config::model::deployment;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;

/// Spaces the loads of a failure domain so that the rate of the weight store is not exceeded.
///
/// Each failure domain uses an equal share of the rate. The number of shares is the number of
/// failure domains with engines that take orders, which every placement writer reads from the
/// configuration. The domains therefore exchange no messages, and the sum of their rates stays
/// within the limit during a network partition. The trade-off is that the share of a lost domain
/// is unused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    next_start: clock::Millis,
}

impl Budget {
    /// Whether a load may start at `now`.
    pub fn is_available(&self, now: clock::Millis) -> bool {
        now >= self.next_start
    }

    /// Reserves the domain's share of the rate for a load that starts at `now` and takes
    /// `duration`; the next load may start after that time.
    pub fn reserve(&mut self, now: clock::Millis, duration: clock::Millis) {
        self.next_start = now.plus(duration);
    }
}

/// Time to load `size` bytes at the share of `rate` that one of `domains` failure domains has;
/// zero if the store declares no rate.
pub fn load_duration(size: size::ByteCount, rate: rate::ByteRate, domains: usize) -> clock::Millis {
    if rate.0 <= 0.0 {
        return clock::Millis::ZERO;
    }
    let seconds = size.0 as f64 * domains.max(1) as f64 / rate.0;
    clock::Millis((seconds * 1000.0).ceil() as u64)
}

/// Number of failure domains that have engines of a pool for which models are declared.
pub fn domain_count(deployment: &deployment::Deployment) -> usize {
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
