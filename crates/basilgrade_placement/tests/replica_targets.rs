//! Tests of replica targets, of the allotment of slots and of the assignment to engines.

use basilgrade_placement::allotment;
use basilgrade_placement::assignment;
use basilgrade_placement::demand;
use basilgrade_placement::meter;
use basilgrade_placement::targets;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner;

mod support;

const SEED: u64 = 20_261_204;

fn demand(rate: f64, deadline: u64) -> demand::Demand {
    demand::Demand {
        rate: rate::RequestRate(rate),
        service_time: clock::Millis(1000),
        deadline: clock::Millis(deadline),
        capacity: 10,
    }
}

/// Guards against a number of replicas that ignores the deadline or the capacity of a replica.
#[test]
fn tight_deadline_needs_more_replicas() {
    assert_eq!(demand(0.0, 10_000).replicas(), 0);
    assert_eq!(demand(16.0, 10_000).replicas(), 2);
    assert!(demand(16.0, 1_100).replicas() > 2);
}

/// Guards against loads and unloads on every fluctuation of demand.
#[test]
fn target_is_lowered_only_after_delay() {
    let mut targets = targets::Targets::default();
    let model = support::name("a");
    let start = clock::Millis::from_secs(10);
    let after_delay = start.plus(targets::LOWERING_DELAY);

    assert_eq!(targets.update(start, &model, 4), 4);
    assert_eq!(targets.update(start, &model, 1), 4);
    assert_eq!(targets.update(start.plus(clock::Millis(1)), &model, 2), 4);
    assert_eq!(targets.update(after_delay, &model, 1), 2);
    assert_eq!(targets.update(after_delay, &model, 5), 5);
}

/// Guards against a measured rate that jumps with a burst of one second.
#[test]
fn rate_is_averaged() {
    let mut meter = meter::Meter::default();
    for second in 0..300 {
        meter.observe(clock::Millis::from_secs(second), second * 10);
    }
    assert!((meter.rate().0 - 10.0).abs() < 0.01);

    meter.observe(clock::Millis::from_secs(300), 2990 + 110);

    assert!(meter.rate().0 < 16.0, "{:?}", meter.rate());
}

/// Guards against high demand for one model that leaves another below its declared minimum.
#[test]
fn declared_minimum_precedes_demand() {
    let range = |minimum, target| allotment::ReplicaRange { minimum, target };
    let ranges: IndexMap<id::ModelId, _> = [
        (support::name("a"), range(1, 9)),
        (support::name("b"), range(1, 1)),
        (support::name("c"), range(0, 3)),
    ]
    .into_iter()
    .collect();

    let allotted = allotment::allot(&ranges, 2, 3);

    let replicas: Vec<u32> = allotted.values().copied().collect();
    assert_eq!(replicas, [1, 1, 1]);
}

fn proptest_config() -> test_runner::Config {
    test_runner::Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}

fn any_assignment() -> impl Strategy<Value = assignment::Assignment> {
    let models = proptest::collection::vec(0..6_usize, 0..=3);
    proptest::collection::vec(models, 1..8).prop_map(|engines| {
        let engine = |(index, models): (usize, Vec<usize>)| {
            let models = models
                .iter()
                .map(|model| support::name(&format!("m{model}")));
            (support::name(&format!("e{index}")), models.collect())
        };
        engines.into_iter().enumerate().map(engine).collect()
    })
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against engines with more models than slots, the loss of replicas that a target
    /// needs, replicas above a target, and repeated moves when nothing has changed.
    #[test]
    fn assignment_reaches_targets_with_few_loads(
        current in any_assignment(), target_counts in proptest::collection::vec(0..4_u32, 6),
    ) {
        let targets: IndexMap<id::ModelId, u32> = target_counts
            .iter()
            .enumerate()
            .map(|(index, target)| (support::name(&format!("m{index}")), *target))
            .collect();
        let replica_count = |assignment: &assignment::Assignment, model: &id::ModelId| {
            assignment.values().filter(|models| models.contains(model)).count()
        };

        let result = assignment::assign(&current, 3, &targets);

        prop_assert!(result.values().all(|models| models.len() <= 3));
        let mut loads = 0;
        for (engine, models) in &result {
            loads += models.difference(&current[engine]).count();
        }
        let mut missing = 0;
        for (model, target) in &targets {
            let (before, after) = (replica_count(&current, model), replica_count(&result, model));
            prop_assert!(after >= before.min(*target as usize), "{model}");
            prop_assert!(after <= before.max(*target as usize), "{model}");
            missing += after.saturating_sub(before);
        }
        // Each missing replica takes one load, and a second one if another model is moved for it.
        prop_assert!(loads <= 2 * missing, "{loads} loads for {missing} replicas");
        let repeated = assignment::assign(&result, 3, &targets);
        prop_assert_eq!(repeated, result);
    }
}
