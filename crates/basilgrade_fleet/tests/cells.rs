//! Tests of the choice between the queues of a pool.

mod common;

use basilgrade_fleet::batch::cells;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::model::priority;
use basilgrade_fleet::placement;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

/// Domains `a` and `b` are in one region, `c` in another.
fn place() -> placement::Topology {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions
        .map(|(domain, region)| (common::domain(domain), region.parse().expect("a name")))
        .into_iter()
        .collect();
    placement::Topology {
        domain: common::domain("a"),
        regions,
    }
}

/// Two upstreams in each domain.
fn cells() -> cells::Cells {
    let counts: IndexMap<id::DomainId, u32> = ["a", "b", "c"]
        .map(|domain| (common::domain(domain), 2))
        .into_iter()
        .collect();
    let mut cells = cells::Cells::default();
    cells.set_upstream_counts(&counts);
    cells
}

fn wait(ms: u64) -> load::Load {
    load::Load {
        wait: clock::Millis(ms),
        by_priority: Vec::new(),
    }
}

fn demand(home: &id::DomainId, moved: u64) -> cells::Demand<'_> {
    cells::Demand {
        home,
        priority: priority::Priority(0),
        pieces: 2,
        target_left: clock::Millis(2000),
        transfer_size: size::ByteCount(moved),
    }
}

#[test]
fn jobs_stay_where_their_inputs_are() {
    let mut cells = cells();
    let home = common::domain("b");

    let chosen = cells.choose(&place(), &common::pieces(), &demand(&home, 0), &[]);

    assert_eq!(chosen, Some(home));
}

/// Guards against callers that wait in one failure domain while upstreams of another are idle.
#[test]
fn jobs_leave_a_crowded_domain_for_the_nearest_idle_one() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, wait(900));

    let chosen = cells.choose(&place(), &common::pieces(), &demand(&home, 0), &[]);

    assert_eq!(chosen, Some(common::domain("b")));
}

/// Guards against results that cross failure domains for little gain.
#[test]
fn jobs_with_much_to_move_bear_a_longer_wait() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, wait(300));

    let light = cells.choose(&place(), &common::pieces(), &demand(&home, 10_000), &[]);
    let heavy = cells.choose(&place(), &common::pieces(), &demand(&home, 4_000_000), &[]);

    assert_eq!(light, Some(common::domain("b")));
    assert_eq!(heavy, Some(home));
}

/// Guards against late answers for the sake of a crossing.
#[test]
fn jobs_move_when_they_would_be_late_at_home() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, wait(300));
    let mut urgent = demand(&home, 4_000_000);
    urgent.target_left = clock::Millis(400);

    let chosen = cells.choose(&place(), &common::pieces(), &urgent, &[]);

    assert_eq!(chosen, Some(common::domain("b")));
}

/// Guards against a whole burst that goes to the queue that was idle at the last beat.
#[test]
fn a_burst_is_spread_between_two_beats() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, wait(900));

    let mut counts: IndexMap<id::DomainId, u32> = IndexMap::new();
    for _ in 0..60 {
        let chosen = cells.choose(&place(), &common::pieces(), &demand(&home, 0), &[]);
        *counts.entry(chosen.expect("a queue")).or_default() += 1;
    }

    assert_eq!(counts.len(), 3, "{counts:?}");
}

/// Guards against a queue that failed being asked again at once.
#[test]
fn a_queue_that_failed_is_not_chosen_again() {
    let mut cells = cells();
    let home = common::domain("a");

    let tried = [home.clone(), common::domain("b")];
    let chosen = cells.choose(&place(), &common::pieces(), &demand(&home, 0), &tried);
    let none = cells.choose(
        &place(),
        &common::pieces(),
        &demand(&home, 0),
        &["a", "b", "c"].map(common::domain),
    );

    assert_eq!(chosen, Some(common::domain("c")));
    assert_eq!(none, None);
}

/// Guards against jobs for a failure domain whose upstreams have all left.
#[test]
fn a_domain_without_upstreams_gets_no_jobs() {
    let mut cells = cells();
    let home = common::domain("a");
    let counts = [(common::domain("c"), 1)].into_iter().collect();
    cells.set_upstream_counts(&counts);

    let chosen = cells.choose(&place(), &common::pieces(), &demand(&home, 0), &[]);

    assert_eq!(chosen, Some(common::domain("c")));
    assert_eq!(cells.load(&place(), &home), Some(&wait(0)));
}
