//! Tests of the fair shares of customers.

use basilgrade_config::model::customer;
use basilgrade_policy::refusal;
use basilgrade_policy::share::pressure;
use basilgrade_policy::share::shares;
use basilgrade_types::clock;
use basilgrade_types::rate;

const NOW: clock::Millis = clock::Millis(100_000);

/// Instant after the settling time of 15 s, from which the shares follow the demand.
const SETTLED: clock::Millis = clock::Millis(160_000);

/// Shares of one customer with a quota of 100 requests per second, divided over 10 daemons.
fn shares() -> shares::CustomerShares {
    let customer = customer::Customer {
        id: "birrete".parse().expect("the customer id should be valid"),
        rate: rate::RequestRate(100.0),
        burst: 100,
        targets: Vec::new(),
    };
    shares::CustomerShares::new(NOW, [&customer], 10)
}

/// Number of requests admitted out of `count` that arrive evenly within `seconds`.
fn admitted(
    shares: &shares::CustomerShares,
    start: clock::Millis,
    seconds: u64,
    count: u64,
    pressure: pressure::PoolPressure,
) -> usize {
    (0..count)
        .filter(|step| {
            let now = start + clock::Millis(1000 * seconds * step / count);
            shares.admit(now, 0, pressure).is_ok()
        })
        .count()
}

fn reported(daemon: f32, domain: f32, total: f32) -> shares::ReportedDemand {
    shares::ReportedDemand {
        daemon,
        domain,
        total,
        daemons: 5,
        domains: 2,
    }
}

/// A customer must not take the capacity of other customers.
#[test]
fn customer_over_its_share_is_refused_when_pool_is_busy() {
    let shares = shares();

    let busy = admitted(&shares, NOW, 10, 1000, pressure::PoolPressure::Busy);

    // A tenth of 100 requests per second for 10 s, plus the minimum burst of 10.
    assert!((105..=115).contains(&busy), "{busy}");
}

/// Requests must not be refused while upstreams have unused capacity.
#[test]
fn customer_over_its_share_is_admitted_when_pool_has_spare_capacity() {
    let shares = shares();

    let spare = admitted(&shares, NOW, 10, 1000, pressure::PoolPressure::Spare);

    assert_eq!(spare, 1000);
}

/// A burst within the customer's share must not be refused.
#[test]
fn burst_within_the_share_is_admitted() {
    let shares = shares();

    let first = admitted(&shares, NOW, 0, 10, pressure::PoolPressure::Busy);
    let more = admitted(&shares, NOW, 0, 10, pressure::PoolPressure::Busy);

    assert_eq!((first, more), (10, 0));
}

/// A share must move to the daemon where the demand is.
#[test]
fn shares_follow_the_demand() {
    let (with_demand, without_demand) = (shares(), shares());
    with_demand.set(SETTLED, 0, &reported(50.0, 50.0, 50.0));
    without_demand.set(SETTLED, 0, &reported(0.0, 50.0, 50.0));

    let admitted_with_demand = admitted(&with_demand, NOW, 10, 2000, pressure::PoolPressure::Busy);
    let admitted_without_demand =
        admitted(&without_demand, NOW, 10, 2000, pressure::PoolPressure::Busy);

    assert!(
        (850..=1050).contains(&admitted_with_demand),
        "{admitted_with_demand}"
    );
    // The part of the quota that is divided evenly (a tenth of a fifth), plus the minimum burst.
    assert!(
        (15..=35).contains(&admitted_without_demand),
        "{admitted_without_demand}"
    );
}

/// A daemon that has just started must not refuse the first requests for lack of reported demand.
#[test]
fn starting_daemon_has_at_least_the_even_share() {
    let shares = shares();
    shares.set(NOW + clock::Millis(1000), 0, &reported(0.0, 50.0, 100.0));

    let admitted = admitted(&shares, NOW, 10, 1000, pressure::PoolPressure::Busy);

    assert!((105..=115).contains(&admitted), "{admitted}");
}

/// A daemon that is isolated by a network partition must neither refuse nor admit all requests.
#[test]
fn last_share_remains_in_force_without_reports() {
    let shares = shares();
    shares.set(SETTLED, 0, &reported(50.0, 50.0, 100.0));

    let later = NOW + clock::Millis::from_secs(3600);
    let admitted = admitted(&shares, later, 10, 2000, pressure::PoolPressure::Busy);

    assert!((400..=560).contains(&admitted), "{admitted}");
}

/// The size of the reports must not grow with the number of idle customers.
#[test]
fn only_demand_above_a_tenth_of_the_quota_is_reported() {
    let shares = shares();
    admitted(&shares, NOW, 10, 50, pressure::PoolPressure::Spare);
    let later = NOW + clock::Millis::from_secs(10);
    let low = shares.report(later).count();

    admitted(&shares, later, 10, 500, pressure::PoolPressure::Spare);
    let high: Vec<_> = shares
        .report(later + clock::Millis::from_secs(10))
        .collect();

    assert_eq!(low, 0);
    assert_eq!(high.len(), 1);
    assert!((30.0..60.0).contains(&high[0].1), "{high:?}");
}

/// A customer that is missing from the configuration must not be admitted.
#[test]
fn unknown_customer_is_refused() {
    let shares = shares();

    let refused = shares.admit(NOW, 7, pressure::PoolPressure::Spare);

    assert_eq!(refused, Err(refusal::Refusal::CustomerLimit));
}
