//! Shares of all customers at this daemon.

use std::sync::atomic;

use basilgrade_config::model::customer;
use basilgrade_types::clock;

use crate::refusal;
use crate::share::bucket;
use crate::share::demand;
use crate::share::pressure;

/// Fraction of a quota that is divided evenly, independent of the demand.
///
/// It admits the first requests at a daemon or in a failure domain without previous demand, before
/// the demand shows up in the reports.
const EVEN_FRACTION: f32 = 0.1;

/// Burst that a daemon admits, unless the customer's whole burst is smaller.
///
/// A few simultaneous requests do not show that a customer exceeds its share: with bursts divided
/// like rates, 0.2% of the requests were refused at 0.56 of the quotas. All daemons together can
/// therefore exceed a customer's burst, each daemon once by this number.
const MIN_BURST: f32 = 10.0;

/// Time after the start of a daemon during which a share is at least the even share.
///
/// A daemon that has just started has seen no demand, so the reports would leave it almost no
/// share; during a rolling restart, 0.9% of the requests were refused for this reason.
const SETTLING_TIME: clock::Millis = clock::Millis(15_000);

/// Fraction of a quota below which the demand of a customer is not reported to other daemons.
const REPORT_THRESHOLD: f32 = 0.1;

/// Demand of one customer in requests per second, and the number of daemons that it is divided
/// over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedDemand {
    /// Demand at this daemon.
    pub daemon: f32,
    /// Demand at all daemons of this failure domain.
    pub domain: f32,
    /// Demand at all daemons.
    pub total: f32,
    /// Number of daemons in this failure domain.
    pub daemons: u32,
    /// Number of failure domains.
    pub domains: u32,
}

/// Quota and state of one customer.
#[derive(Debug)]
struct Customer {
    rate: f32,
    burst: f32,
    /// Bit pattern of this daemon's share of the quota as `f32`, from 0 to 1.
    share: atomic::AtomicU32,
    bucket: bucket::TokenBucket,
    demand: demand::CustomerDemand,
}

/// Quotas divided by demand, first over the failure domains, then over the daemons of each domain.
///
/// A share changes only when reports arrive, so a daemon or failure domain that is isolated by a
/// network partition continues with its last share. Each request costs one atomic update,
/// independent of the number of customers.
#[derive(Debug)]
pub struct CustomerShares {
    customers: Vec<Customer>,
    started: clock::Millis,
    /// Share of each daemon when quotas are divided evenly.
    even_share: f32,
}

impl CustomerShares {
    /// Shares of `customers` in their order, at a daemon that starts now. Each quota is at first
    /// divided evenly over `daemons` daemons.
    pub fn new<'a>(
        now: clock::Millis,
        customers: impl IntoIterator<Item = &'a customer::Customer>,
        daemons: u32,
    ) -> Self {
        let even_share = 1.0 / daemons.max(1) as f32;
        let customer = |state: &customer::Customer| Customer {
            rate: state.rate.0 as f32,
            burst: state.burst as f32,
            share: atomic::AtomicU32::new(even_share.to_bits()),
            bucket: bucket::TokenBucket::default(),
            demand: demand::CustomerDemand::default(),
        };
        Self {
            customers: customers.into_iter().map(customer).collect(),
            started: now,
            even_share,
        }
    }

    /// Admits a request of the customer at position `customer`.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::CustomerLimit`] when the customer exceeds its share and burst while the
    /// upstreams have no unused capacity, or when no customer has this position.
    pub fn admit(
        &self,
        now: clock::Millis,
        customer: usize,
        pressure: pressure::PoolPressure,
    ) -> Result<(), refusal::Refusal> {
        let Some(state) = self.customers.get(customer) else {
            return Err(refusal::Refusal::CustomerLimit);
        };
        state.demand.record(now);
        let share = f32::from_bits(state.share.load(atomic::Ordering::Relaxed));
        let burst = (state.burst * share).max(state.burst.min(MIN_BURST));
        let within = state.bucket.take(now, state.rate * share, burst);
        if within || pressure == pressure::PoolPressure::Spare {
            return Ok(());
        }
        Err(refusal::Refusal::CustomerLimit)
    }

    /// Requests per second of a customer at this daemon.
    pub fn demand(&self, now: clock::Millis, customer: usize) -> f32 {
        self.customers
            .get(customer)
            .map_or(0.0, |state| state.demand.rate(now))
    }

    /// Positions of the customers whose demand exceeds a tenth of their quota, with their requests
    /// per second. Other customers are not reported, because their shares never limit them.
    pub fn report(&self, now: clock::Millis) -> impl Iterator<Item = (usize, f32)> {
        self.customers
            .iter()
            .enumerate()
            .filter_map(move |(index, state)| {
                let rate = state.demand.rate(now);
                (rate > REPORT_THRESHOLD * state.rate).then_some((index, rate))
            })
    }

    /// Sets this daemon's share of a customer's quota from the reported demand.
    pub fn set(&self, now: clock::Millis, customer: usize, reported: &ReportedDemand) {
        let Some(state) = self.customers.get(customer) else {
            return;
        };
        let domain = demand_share(reported.domain, reported.total, reported.domains);
        let daemon = demand_share(reported.daemon, reported.domain, reported.daemons);
        let settling = now - self.started < SETTLING_TIME;
        let share = (domain * daemon).max(if settling { self.even_share } else { 0.0 });
        state
            .share
            .store(share.to_bits(), atomic::Ordering::Relaxed);
    }
}

/// Share of one part among `count` parts: mostly in proportion to its demand, otherwise even.
fn demand_share(part: f32, total: f32, count: u32) -> f32 {
    let even_share = 1.0 / count.max(1) as f32;
    if total <= 0.0 {
        return even_share;
    }
    EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * (part / total).min(1.0)
}
