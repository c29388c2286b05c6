//! Targets, allocation and assignment.

use basilgrade_placement::allocation;
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

/// Guards against targets that ignore the deadline or the capacity of a replica.
#[test]
fn tight_deadlines_need_more_replicas() {
    assert_eq!(demand(0.0, 10_000).replicas(), 0);
    assert_eq!(demand(16.0, 10_000).replicas(), 2);
    assert!(demand(16.0, 1_100).replicas() > 2);
}

/// Guards against loads and unloads that follow every change of demand.
#[test]
fn targets_are_lowered_only_after_the_delay() {
    let mut targets = targets::Targets::default();
    let model = support::name("a");
    let start = clock::Millis::from_secs(10);
    let late = start.plus(targets::LOWERING_DELAY);

    assert_eq!(targets.update(start, &model, 4), 4);
    assert_eq!(targets.update(start, &model, 1), 4);
    assert_eq!(targets.update(start.plus(clock::Millis(1)), &model, 2), 4);
    assert_eq!(targets.update(late, &model, 1), 2);
    assert_eq!(targets.update(late, &model, 5), 5);
}

/// Guards against a rate that follows a burst of one second.
#[test]
fn rates_are_averaged() {
    let mut meter = meter::Meter::default();
    for second in 0..300 {
        meter.observe(clock::Millis::from_secs(second), second * 10);
    }
    assert!((meter.rate().0 - 10.0).abs() < 0.01);

    meter.observe(clock::Millis::from_secs(300), 2990 + 110);

    assert!(meter.rate().0 < 16.0, "{:?}", meter.rate());
}

/// Guards against demand that takes the declared least replicas from other models.
#[test]
fn least_replicas_come_first() {
    let claim = |least, target| allocation::ReplicaRange { least, target };
    let claims: IndexMap<id::ModelId, _> = [
        (support::name("a"), claim(1, 9)),
        (support::name("b"), claim(1, 1)),
        (support::name("c"), claim(0, 3)),
    ]
    .into_iter()
    .collect();

    let allocated = allocation::allocate(&claims, 2, 3);

    let numbers: Vec<u32> = allocated.values().copied().collect();
    assert_eq!(numbers, [1, 1, 1]);
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}

fn current() -> impl Strategy<Value = assignment::Assignment> {
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
    #![proptest_config(config())]

    /// Guards against engines over their slots, replicas below target that are moved away, and
    /// slots left to a surplus replica while a model is short.
    #[test]
    fn assignments_keep_what_is_needed(
        current in current(), wanted in proptest::collection::vec(0..4_u32, 6),
    ) {
        let targets: IndexMap<id::ModelId, u32> = wanted
            .iter()
            .enumerate()
            .map(|(index, target)| (support::name(&format!("m{index}")), *target))
            .collect();
        let count = |assignment: &assignment::Assignment, model: &id::ModelId| {
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
            let (before, after) = (count(&current, model), count(&result, model));
            prop_assert!(after >= before.min(*target as usize), "{model}");
            prop_assert!(after <= before.max(*target as usize), "{model}");
            missing += after.saturating_sub(before);
        }
        // Each missing replica takes one load, and one more if another model has to make room.
        prop_assert!(loads <= 2 * missing, "{loads} loads for {missing} replicas");
        let again = assignment::assign(&result, 3, &targets);
        prop_assert_eq!(again, result);
    }
}
