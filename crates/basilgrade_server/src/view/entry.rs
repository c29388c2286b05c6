//! One upstream of the configuration in force.

use std::net;
use std::sync;
use std::sync::atomic;

use basilgrade_policy::candidate;
use basilgrade_types::clock;
use basilgrade_types::id;

use crate::view::stats;

/// An upstream with its declared properties and its observed state.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name of the upstream.
    pub id: id::UpstreamId,
    /// Pool of the upstream.
    pub pool: id::PoolId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Position of its region.
    pub region: u16,
    /// Calls it can work on at once.
    pub capacity: u32,
    /// Price of one call, in millionths of the currency.
    pub price: f32,
    /// Observed state.
    pub stats: sync::Arc<stats::Stats>,
}

impl Entry {
    /// What the router sees of this upstream at `now`.
    ///
    /// An upstream that never reported its load is known by own calls alone, which are never old.
    pub fn candidate(&self, index: u32, now: clock::Millis) -> candidate::Candidate {
        let load = |counter: &atomic::AtomicU32| counter.load(atomic::Ordering::Relaxed);
        let stats = &self.stats;
        let reported = match stats.reported.load(atomic::Ordering::Relaxed) {
            0 => now,
            at => clock::Millis(at),
        };
        candidate::Candidate {
            index,
            region: self.region,
            capacity: self.capacity,
            running: load(&stats.running),
            queued: load(&stats.queued),
            reported,
            sent: load(&stats.sent),
            inflight: load(&stats.inflight),
            limit: u32::MAX,
            service: stats.service.get(),
            prefill: 0.0,
            decode: stats.decode.get(),
            cached: 0,
            weight: 1.0,
            price: self.price,
        }
    }
}
