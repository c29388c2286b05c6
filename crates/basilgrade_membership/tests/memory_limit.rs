//! Limits on the memory that a node uses.

mod support;

use basilgrade_membership::body;
use basilgrade_membership::limits;
use basilgrade_membership::load_total;
use basilgrade_membership::message;
use basilgrade_membership::prefix_hint;
use basilgrade_membership::status;
use basilgrade_membership::tag;
use basilgrade_types::id;
use basilgrade_types::rate;
use basilgrade_types::size;
use support::Cluster;
use support::domain;
use support::record;
use support::vm;

const CUSTOMERS: usize = 60;

fn customer(number: usize) -> id::CustomerId {
    format!("customer-{number}").parse().unwrap()
}

fn pool() -> id::PoolId {
    "rerankers".parse().unwrap()
}

fn prefix(number: usize) -> tag::Tag {
    tag::Tag::of(&format!("prefix-{number}"))
}

/// Two domains: node 1 of domain 0 has published prefix hints and demand, and domain 1 has
/// published a load total.
fn cluster_with_items() -> Cluster {
    let mut cluster = Cluster::converged(1, 2, 3);
    let publisher = cluster.node(&vm(0, 1));
    for number in 0..100 {
        publisher.add_prefix_hint(prefix_hint::PrefixHint {
            prefix: prefix(number),
            upstream: tag::Tag::of("engine"),
            tokens: 100,
        });
    }
    for number in 0..CUSTOMERS {
        publisher.set_demand(&customer(number), rate::RequestRate(5.0));
    }
    let total = load_total::LoadTotal {
        running: 4,
        queued: 1,
        capacity: 8,
    };
    cluster.node(&vm(1, 0)).set_load(&pool(), total);
    cluster.run(30_000);
    cluster
}

/// Returns the numbers of hints, demands and loads that node 0 holds under a memory limit, and the
/// encoded size of its items.
fn held_items_under(limit: u64) -> (usize, usize, usize, usize) {
    let mut cluster = cluster_with_items();
    let node = cluster.node(&vm(0, 0));
    node.set_memory_limit(size::ByteCount(limit));
    cluster.run(2000);
    let node = &cluster.nodes[&vm(0, 0)];
    let hints = (0..100).filter(|number| !node.prefix_hints(prefix(*number)).is_empty());
    let demands = (0..CUSTOMERS).filter(|number| node.demand(&customer(*number)).domain.0 > 0.0);
    (
        hints.count(),
        demands.count(),
        usize::from(node.load(&domain(1), &pool()).is_some()),
        node.encoded_size(),
    )
}

/// Guards against growth above the memory limit, and against eviction of load or demand while
/// prefix hints remain.
#[test]
fn prefix_hints_are_evicted_before_demand_and_load() {
    let (hints, demands, loads, full) = held_items_under(1 << 20);
    assert_eq!((hints, demands, loads), (100, CUSTOMERS, 1));

    let limit = full - 500;
    let (hints, demands, loads, encoded_size) = held_items_under(limit as u64);
    assert!(hints < 100 && encoded_size <= limit);
    assert_eq!((demands, loads), (CUSTOMERS, 1));

    let limit = full - 100 * 23 - 200;
    let (hints, demands, loads, encoded_size) = held_items_under(limit as u64);
    assert_eq!((hints, loads), (0, 1));
    assert!(demands < CUSTOMERS && encoded_size <= limit);

    let (hints, demands, loads, _) = held_items_under(100);
    assert_eq!((hints, demands, loads), (0, 0, 0));
}

/// Guards against a table of known incarnations that grows with every replaced VM, and against
/// members that are evicted when the table is full.
#[test]
fn incarnation_table_is_bounded_and_keeps_members() {
    let mut cluster = Cluster::converged(2, 1, 3);
    let observer = vm(0, 0);
    let now = cluster.now;
    for number in 0..6000_u64 {
        let mut foreign = record(7, 0, number);
        foreign.vm = format!("foreign-{number}").parse().unwrap();
        let message = message::Message {
            incarnation: foreign.incarnation,
            body: body::Body::Probe(foreign.clone()),
        };
        cluster.node(&observer).receive(now, &foreign.vm, message);
    }

    let node = &cluster.nodes[&observer];
    let known = (0..6000)
        .map(|number| format!("foreign-{number}").parse().unwrap())
        .filter(|foreign| node.newest_incarnation(foreign).is_some());
    assert!(known.count() <= limits::MAX_VM_NAMES);
    for number in 0..3 {
        let status = node.status(&vm(0, number));
        assert_eq!(
            status,
            Some(status::Status::Alive),
            "member {number} is not alive"
        );
    }
}
