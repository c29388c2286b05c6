//! The shares of all customers at this daemon.

use std::sync::atomic;

use basilgrade_config::model::customer;
use basilgrade_types::clock;

use crate::refusal;
use crate::share::customer_demand;
use crate::share::pool_pressure;
use crate::share::token_bucket;

/// Part of a quota that is split evenly, whatever the demand.
///
/// It admits the first requests at a daemon or domain that had none, before the reports show them.
const EVEN: f32 = 0.1;

/// Requests that a daemon admits at once, if the customer's whole burst allows as many.
///
/// A few requests that come together are no sign of a customer over its share: with a burst split
/// like the rate, 0.2% of the requests were refused at 0.56 of the quotas. All daemons together can
/// exceed a burst by this number each, once.
const LEAST_BURST: f32 = 10.0;

/// Time after the start during which a share is at least the even one.
///
/// A daemon that has just started has seen no demand, so its reports would leave it almost no share;
/// 0.9% of the requests were refused during a rolling restart.
const SETTLING: clock::Millis = clock::Millis(15_000);

/// Share of a quota below which demand is not worth reporting.
const REPORTED: f32 = 0.1;

/// Requests of a customer, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedDemand {
    /// At this daemon.
    pub daemon: f32,
    /// At all daemons of this failure domain.
    pub domain: f32,
    /// At all daemons.
    pub total: f32,
    /// Daemons of this failure domain.
    pub daemons: u32,
    /// Failure domains.
    pub domains: u32,
}

/// One customer.
#[derive(Debug)]
struct Customer {
    rate: f32,
    burst: f32,
    /// Bits of this daemon's share of the quota, from 0 to 1.
    share: atomic::AtomicU32,
    bucket: token_bucket::TokenBucket,
    demand: customer_demand::CustomerDemand,
}

/// Quotas split over daemons by demand: first over failure domains, then over their daemons.
///
/// CustomerShares are only set when reports arrive, so a daemon or domain that is cut off goes on with its
/// last share. A request costs one atomic update, whatever the number of customers.
#[derive(Debug)]
pub struct CustomerShares {
    customers: Vec<Customer>,
    started: clock::Millis,
    /// Share of every daemon when quotas are split evenly.
    even: f32,
}

impl CustomerShares {
    /// CustomerShares of `customers` in their order, each split evenly over `daemons` daemons, at a daemon
    /// that starts now.
    pub fn new<'a>(
        now: clock::Millis,
        customers: impl IntoIterator<Item = &'a customer::Customer>,
        daemons: u32,
    ) -> Self {
        let even = 1.0 / daemons.max(1) as f32;
        let customer = |found: &customer::Customer| Customer {
            rate: found.rate.0 as f32,
            burst: found.burst as f32,
            share: atomic::AtomicU32::new(even.to_bits()),
            bucket: token_bucket::TokenBucket::default(),
            demand: customer_demand::CustomerDemand::default(),
        };
        Self {
            customers: customers.into_iter().map(customer).collect(),
            started: now,
            even,
        }
    }

    /// Admits a request of the customer at position `customer`.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::CustomerLimit`] when the customer is over its share, its burst is used up
    /// and the upstreams have no unused capacity.
    pub fn admit(
        &self,
        now: clock::Millis,
        customer: usize,
        pressure: pool_pressure::PoolPressure,
    ) -> Result<(), refusal::Refusal> {
        let Some(found) = self.customers.get(customer) else {
            return Err(refusal::Refusal::CustomerLimit);
        };
        found.demand.record(now);
        let share = f32::from_bits(found.share.load(atomic::Ordering::Relaxed));
        let burst = (found.burst * share).max(found.burst.min(LEAST_BURST));
        let within = found.bucket.take(now, found.rate * share, burst);
        if within || pressure == pool_pressure::PoolPressure::Spare {
            return Ok(());
        }
        Err(refusal::Refusal::CustomerLimit)
    }

    /// Requests per second of a customer at this daemon.
    pub fn demand(&self, now: clock::Millis, customer: usize) -> f32 {
        self.customers
            .get(customer)
            .map_or(0.0, |found| found.demand.rate(now))
    }

    /// Customers whose demand is above a tenth of their quota, with their requests per second; the
    /// others are not reported, because their shares never bind.
    pub fn report(&self, now: clock::Millis) -> impl Iterator<Item = (usize, f32)> {
        self.customers
            .iter()
            .enumerate()
            .filter_map(move |(index, found)| {
                let rate = found.demand.rate(now);
                (rate > REPORTED * found.rate).then_some((index, rate))
            })
    }

    /// Sets this daemon's share of a customer's quota from what was reported.
    pub fn set(&self, now: clock::Millis, customer: usize, reported: &ReportedDemand) {
        let Some(found) = self.customers.get(customer) else {
            return;
        };
        let domain = split(reported.domain, reported.total, reported.domains);
        let daemon = split(reported.daemon, reported.domain, reported.daemons);
        let settling = now - self.started < SETTLING;
        let share = (domain * daemon).max(if settling { self.even } else { 0.0 });
        found
            .share
            .store(share.to_bits(), atomic::Ordering::Relaxed);
    }
}

/// Share of one part in `count` parts, mostly by demand.
fn split(part: f32, total: f32, count: u32) -> f32 {
    let even = 1.0 / count.max(1) as f32;
    if total <= 0.0 {
        return even;
    }
    EVEN * even + (1.0 - EVEN) * (part / total).min(1.0)
}
