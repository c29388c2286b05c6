//! Workload: the state that daemons of the target deployment report to membership.

use basilgrade_membership::health;
use basilgrade_membership::load_total;
use basilgrade_membership::node;
use basilgrade_membership::prefix_hint;
use basilgrade_membership::tag;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use rand::Rng;
use rand::RngExt;

/// Customers of the target deployment.
const CUSTOMERS: usize = 4200;
/// Customers per domain whose demand exceeds a tenth of their quota at one or more daemons.
const ACTIVE_CUSTOMERS_PER_DOMAIN: usize = 60;
/// Customers per daemon whose demand exceeds a tenth of their quota there.
const ACTIVE_CUSTOMERS_PER_DAEMON: usize = 40;
/// Pools per domain: 19 model pools and 6 pools of encoders, retrievers and rerankers.
const POOLS_PER_DOMAIN: usize = 25;
/// Prefix hints that a daemon reports per second; most exceed the soft-state rate and are not sent.
const HINTS_PER_SECOND: usize = 10;

/// Reports to a node what its daemon has observed in the last second.
pub(crate) fn report(
    now: clock::Millis,
    domain: usize,
    number: usize,
    node: &mut node::Node,
    rng: &mut dyn Rng,
) {
    for index in 0..ACTIVE_CUSTOMERS_PER_DAEMON {
        let customer =
            (domain * 97 + (number + index) % ACTIVE_CUSTOMERS_PER_DOMAIN * 7) % CUSTOMERS;
        let name: id::CustomerId = parse(&format!("customer-{customer:04}"));
        node.set_demand(&name, rate::RequestRate(rng.random_range(1.0..2.0)));
    }
    if node.reads_log(now) {
        for pool in 0..POOLS_PER_DOMAIN {
            let total = load_total::LoadTotal {
                running: rng.random_range(20..60),
                queued: rng.random_range(0..20),
                capacity: 64,
            };
            node.set_load(&parse(&format!("pool-{pool:02}")), total);
        }
    }
    for _ in 0..HINTS_PER_SECOND {
        node.add_prefix_hint(prefix_hint::PrefixHint {
            prefix: tag::Tag::of(&format!("prefix-{}", rng.random_range(0..100_000))),
            upstream: tag::Tag::of(&format!("engine-{}", rng.random_range(0..60))),
            tokens: rng.random_range(64..4096),
        });
    }
    // One daemon of each domain reports one upstream as ejected for 20 s of every minute.
    if number == 3 {
        let upstream: id::UpstreamId = parse(&format!("engine-{domain}-1"));
        let health = if now.0 / 1000 % 60 < 20 {
            health::Health::Ejected
        } else {
            health::Health::Healthy
        };
        node.set_health(now, &upstream, health);
    }
}

fn parse<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("generated name should be valid")
}
