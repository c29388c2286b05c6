//! Fair shares of customers.

use basilgrade_config::model::customer;
use basilgrade_policy::refusal;
use basilgrade_policy::share::pressure;
use basilgrade_policy::share::shares;
use basilgrade_types::clock;
use basilgrade_types::rate;

const NOW: clock::Millis = clock::Millis(100_000);

/// Long enough after the start that shares follow the demand.
const SETTLED: clock::Millis = clock::Millis(160_000);

/// Shares of one customer with 100 requests per second over 10 daemons.
fn shares() -> shares::CustomerShares {
    let customer = customer::Customer {
        id: "birrete".parse().expect("a valid name"),
        rate: rate::RequestRate(100.0),
        burst: 100,
        targets: Vec::new(),
    };
    shares::CustomerShares::new(NOW, [&customer], 10)
}

/// Requests admitted of `count` that come evenly in `seconds`.
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

/// Guards against a customer that takes the capacity of the others.
#[test]
fn a_customer_over_its_share_is_refused_when_upstreams_are_busy() {
    let shares = shares();

    let busy = admitted(&shares, NOW, 10, 1000, pressure::PoolPressure::Busy);

    // A tenth of 100 requests per second for 10 s, and the least burst.
    assert!((105..=115).contains(&busy), "{busy}");
}

/// Guards against refusing requests while capacity is unused.
#[test]
fn unused_capacity_is_given_to_customers_over_their_share() {
    let shares = shares();

    let spare = admitted(&shares, NOW, 10, 1000, pressure::PoolPressure::Spare);

    assert_eq!(spare, 1000);
}

/// Guards against refusing a burst within the share.
#[test]
fn a_burst_within_the_share_is_admitted() {
    let shares = shares();

    let first = admitted(&shares, NOW, 0, 10, pressure::PoolPressure::Busy);
    let more = admitted(&shares, NOW, 0, 10, pressure::PoolPressure::Busy);

    assert_eq!((first, more), (10, 0));
}

/// Guards against a share that stays where the demand was.
#[test]
fn shares_follow_the_demand() {
    let (all, none) = (shares(), shares());
    all.set(SETTLED, 0, &reported(50.0, 50.0, 50.0));
    none.set(SETTLED, 0, &reported(0.0, 50.0, 50.0));

    let here = admitted(&all, NOW, 10, 2000, pressure::PoolPressure::Busy);
    let elsewhere = admitted(&none, NOW, 10, 2000, pressure::PoolPressure::Busy);

    assert!((850..=1050).contains(&here), "{here}");
    // The part that is split evenly: a tenth of a fifth, and the least burst.
    assert!((15..=35).contains(&elsewhere), "{elsewhere}");
}

/// Guards against refusing the first requests at a daemon that has just started.
#[test]
fn a_daemon_that_starts_has_an_even_share() {
    let shares = shares();
    shares.set(NOW + clock::Millis(1000), 0, &reported(0.0, 50.0, 100.0));

    let admitted = admitted(&shares, NOW, 10, 1000, pressure::PoolPressure::Busy);

    assert!((105..=115).contains(&admitted), "{admitted}");
}

/// Guards against a daemon that is cut off and refuses everything, or admits everything.
#[test]
fn the_last_share_holds_without_reports() {
    let shares = shares();
    shares.set(SETTLED, 0, &reported(50.0, 50.0, 100.0));

    let later = NOW + clock::Millis::from_secs(3600);
    let admitted = admitted(&shares, later, 10, 2000, pressure::PoolPressure::Busy);

    assert!((400..=560).contains(&admitted), "{admitted}");
}

/// Guards against reports that grow with the number of idle customers.
#[test]
fn only_demand_near_the_quota_is_reported() {
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

/// Guards against admitting a customer that the configuration does not name.
#[test]
fn an_unknown_customer_is_refused() {
    let shares = shares();

    let refused = shares.admit(NOW, 7, pressure::PoolPressure::Spare);

    assert_eq!(refused, Err(refusal::Refusal::CustomerLimit));
}
