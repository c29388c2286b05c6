//! Choice of the queue for a job among the failure domains of a pool.

mod common;

use basilgrade_fleet::batch::cells;
use basilgrade_fleet::batch::load;
use basilgrade_fleet::model::priority;
use basilgrade_fleet::placement;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

/// Failure domains `a` and `b` are in one region, `c` in another.
fn topology() -> placement::Topology {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions
        .map(|(domain, region)| (common::domain(domain), region.parse().expect("valid name")))
        .into_iter()
        .collect();
    placement::Topology {
        domain: common::domain("a"),
        regions,
    }
}

/// Cells with two upstreams in each of three failure domains.
fn cells() -> cells::Cells {
    let counts: IndexMap<id::DomainId, u32> = ["a", "b", "c"]
        .map(|domain| (common::domain(domain), 2))
        .into_iter()
        .collect();
    let mut cells = cells::Cells::default();
    cells.set_upstream_counts(&counts);
    cells
}

fn load_with_wait(ms: u64) -> load::Load {
    load::Load {
        wait: clock::Millis(ms),
        by_priority: Vec::new(),
    }
}

fn demand(home: &id::DomainId, transfer_size: u64) -> cells::Demand<'_> {
    cells::Demand {
        home,
        priority: priority::Priority(0),
        pieces: 2,
        target_left: clock::Millis(2000),
        transfer_size: size::ByteCount(transfer_size),
    }
}

#[test]
fn job_goes_to_the_domain_of_its_inputs() {
    let mut cells = cells();
    let home = common::domain("b");

    let chosen = cells.choose(&topology(), &common::pieces(), &demand(&home, 0), &[]);

    assert_eq!(chosen, Some(home));
}

/// Guards against callers that wait in one failure domain while upstreams of another are idle.
#[test]
fn job_spills_to_the_nearest_idle_domain() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, load_with_wait(900));

    let chosen = cells.choose(&topology(), &common::pieces(), &demand(&home, 0), &[]);

    assert_eq!(chosen, Some(common::domain("b")));
}

/// Guards against transfers between failure domains that cost more than the wait they avoid.
#[test]
fn large_transfer_keeps_job_in_its_domain() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, load_with_wait(300));

    let small = cells.choose(&topology(), &common::pieces(), &demand(&home, 10_000), &[]);
    let large = cells.choose(
        &topology(),
        &common::pieces(),
        &demand(&home, 4_000_000),
        &[],
    );

    assert_eq!(small, Some(common::domain("b")));
    assert_eq!(large, Some(home));
}

/// Guards against late answers that a transfer to another failure domain would have avoided.
#[test]
fn job_spills_to_meet_its_target_latency() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, load_with_wait(300));
    let mut urgent = demand(&home, 4_000_000);
    urgent.target_left = clock::Millis(400);

    let chosen = cells.choose(&topology(), &common::pieces(), &urgent, &[]);

    assert_eq!(chosen, Some(common::domain("b")));
}

/// Guards against a burst that goes as a whole to the queue that was idle at the last load report.
///
/// Pieces sent since the report must count as load.
#[test]
fn burst_is_spread_between_load_reports() {
    let mut cells = cells();
    let home = common::domain("a");
    cells.update_load(&home, load_with_wait(900));

    let mut counts: IndexMap<id::DomainId, u32> = IndexMap::new();
    for _ in 0..60 {
        let chosen = cells.choose(&topology(), &common::pieces(), &demand(&home, 0), &[]);
        *counts
            .entry(chosen.expect("a queue was chosen"))
            .or_default() += 1;
    }

    assert_eq!(counts.len(), 3, "{counts:?}");
}

/// Guards against retries at a queue that has just failed to take the job.
#[test]
fn tried_queues_are_excluded() {
    let mut cells = cells();
    let home = common::domain("a");

    let tried = [home.clone(), common::domain("b")];
    let chosen = cells.choose(&topology(), &common::pieces(), &demand(&home, 0), &tried);
    let none = cells.choose(
        &topology(),
        &common::pieces(),
        &demand(&home, 0),
        &["a", "b", "c"].map(common::domain),
    );

    assert_eq!(chosen, Some(common::domain("c")));
    assert_eq!(none, None);
}

/// Guards against jobs that are sent to a failure domain without upstreams.
#[test]
fn domain_without_upstreams_gets_no_jobs() {
    let mut cells = cells();
    let home = common::domain("a");
    let counts = [(common::domain("c"), 1)].into_iter().collect();
    cells.set_upstream_counts(&counts);

    let chosen = cells.choose(&topology(), &common::pieces(), &demand(&home, 0), &[]);

    assert_eq!(chosen, Some(common::domain("c")));
    assert_eq!(cells.load(&topology(), &home), Some(&load_with_wait(0)));
}
