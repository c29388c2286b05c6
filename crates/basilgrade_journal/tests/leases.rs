//! Placement leases under paused daemons, log outages and lost append responses, in virtual time.

use std::sync::Arc;

use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::lease_manager::Fencing;
use basilgrade_journal::lease_manager::LeaseManager;
use basilgrade_journal::lease_manager::LeaseTimes;
use basilgrade_journal::node::Node;
use basilgrade_journal::replayer::Replayer;
use basilgrade_types::clock::Millis;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::offset::Offset;
use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

/// The longest time that an order takes to arrive, and the margin that the daemons allow for it.
const MARGIN_MS: u64 = 2_000;

/// An order to an engine, with its arrival time in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Order {
    arrival: u64,
    fence: u64,
    holder: usize,
}

/// A simulated daemon with its own clock; times are in milliseconds.
struct Daemon {
    manager: LeaseManager,
    replayer: Replayer<ControlState>,
    paused_until: u64,
    clock_skew: u64,
}

fn daemon(number: usize, fencing: Fencing, rng: &mut StdRng) -> Daemon {
    let node = Node {
        vm: format!("vm{number}")
            .parse()
            .expect("expected a valid name"),
        incarnation: Incarnation(1),
    };
    let times = LeaseTimes {
        ttl: Millis(5_000),
        margin: Millis(MARGIN_MS),
        retry: Millis(1_000),
    };
    Daemon {
        manager: LeaseManager::new(
            node,
            "d0".parse().expect("expected a valid name"),
            fencing,
            times,
        ),
        replayer: Replayer::new(Arc::new(())),
        paused_until: 0,
        clock_skew: rng.random_range(0..100_000),
    }
}

/// The orders that three daemons send in two minutes, in order of arrival.
///
/// `fencing` is what the daemons assume about the engines. `max_delay` is the longest time in
/// milliseconds between the check of the lease and the arrival of the order; it includes a pause
/// of the daemon between the check and the sending.
fn orders(seed: u64, fencing: Fencing, max_delay: u64) -> Vec<Order> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut daemons: Vec<_> = (0..3)
        .map(|number| daemon(number, fencing, &mut rng))
        .collect();
    let mut log: Vec<Bytes> = Vec::new();
    let mut pending_appends: Vec<(u64, Bytes)> = Vec::new();
    let mut orders = Vec::new();
    let mut outage_end = 0;
    for now in (1_000_000..1_120_000).step_by(100) {
        if rng.random_bool(0.002) {
            outage_end = now + rng.random_range(1_000..15_000);
        }
        pending_appends.sort_by_key(|(due, _)| *due);
        while pending_appends.first().is_some_and(|(due, _)| *due <= now) {
            log.push(pending_appends.remove(0).1);
        }
        for (number, daemon) in daemons.iter_mut().enumerate() {
            if rng.random_bool(0.004) {
                daemon.paused_until = now + rng.random_range(1_000..20_000);
            }
            if now < daemon.paused_until {
                continue;
            }
            let local_now = Millis(now + daemon.clock_skew);
            if now >= outage_end && rng.random_bool(0.3) {
                let from = daemon.replayer.read_offset();
                let entries: Vec<_> = (from.0..log.len() as u64)
                    .map(|at| Entry {
                        offset: Offset(at),
                        body: log[at as usize].clone(),
                    })
                    .collect();
                let chunk = Chunk {
                    from,
                    first: Offset(0),
                    next: Offset(log.len() as u64),
                    entries,
                };
                daemon.replayer.replay_chunk(local_now, &chunk);
                daemon.manager.observe(local_now, daemon.replayer.state());
            }
            let id = Uuid::from_u128(rng.random());
            // Several daemons can be candidates at the same time, as their views of the failure
            // domain can differ.
            if let Some(body) = daemon.manager.propose(local_now, id, rng.random_bool(0.5))
                && now >= outage_end
            {
                let slow_append = rng.random_bool(0.2);
                let append_delay = rng.random_range(0..if slow_append { 4_000 } else { 100 });
                pending_appends.push((now + append_delay, body));
            }
            if let Some(fence) = daemon.manager.fence(local_now) {
                orders.push(Order {
                    arrival: now + rng.random_range(0..=max_delay),
                    fence: fence.0,
                    holder: number,
                });
            }
        }
    }
    orders.sort_unstable();
    orders
}

/// Two orders of different holders of which the engine accepts the later one although its fencing
/// number is not higher; `engine` tells whether the engine checks fencing numbers.
fn find_overlap(orders: &[Order], engine: Fencing) -> Option<(Order, Order)> {
    let mut newest: Option<Order> = None;
    for order in orders {
        match newest {
            Some(seen) if order.fence < seen.fence => {
                if engine == Fencing::Ignored && order.holder != seen.holder {
                    return Some((seen, *order));
                }
            }
            Some(seen) if order.fence == seen.fence && order.holder != seen.holder => {
                return Some((seen, *order));
            }
            _ => newest = Some(*order),
        }
    }
    None
}

/// Guards against two holders whose orders have the same fencing number, and against a failure
/// domain without a placement writer, which would send few orders.
#[test]
fn fencing_numbers_are_unique_per_holder() {
    for seed in 0..100 {
        let orders = orders(seed, Fencing::Checked, 60_000);

        let overlap = find_overlap(&orders, Fencing::Checked);

        assert_eq!(overlap, None, "seed {seed}");
        assert!(orders.len() > 100, "seed {seed}");
    }
}

/// Guards against a holder that measures its time to live from too late an instant and continues to
/// send orders when another daemon may hold the lease.
#[test]
fn holders_never_overlap() {
    for seed in 0..100 {
        let orders = orders(seed, Fencing::Checked, 0);

        let overlap = find_overlap(&orders, Fencing::Ignored);

        assert_eq!(overlap, None, "seed {seed}");
    }
}

/// Guards against an order of a previous holder arriving after one of a newer holder at an engine
/// that ignores fencing numbers, provided that no order takes longer than the margin to arrive.
#[test]
fn orders_do_not_overlap_if_engines_ignore_fencing_numbers() {
    for seed in 0..100 {
        let orders = orders(seed, Fencing::Ignored, MARGIN_MS);

        let overlap = find_overlap(&orders, Fencing::Ignored);

        assert_eq!(overlap, None, "seed {seed}");
    }
}

/// Shows that a new holder has to wait for orders of the previous holder if engines ignore fencing
/// numbers: without the wait, orders overlap for at least one seed.
#[test]
fn orders_overlap_without_wait_for_previous_holder() {
    let overlapping = (0..100)
        .map(|seed| orders(seed, Fencing::Checked, MARGIN_MS))
        .filter(|orders| find_overlap(orders, Fencing::Ignored).is_some());

    assert!(overlapping.count() > 0);
}
