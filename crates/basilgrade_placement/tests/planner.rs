//! Tests of the placement planner of a failure domain with simulated engines in virtual time.

use basilgrade_placement::engine;
use basilgrade_placement::planner;
use basilgrade_types::clock;
use rand::RngExt;
use rand::SeedableRng;

mod support;

/// Guards against models that are never loaded, parallel loads, and loads that exceed the failure
/// domain's share of the weight store's rate.
#[test]
fn loads_are_spread_in_time() {
    // Engines that load faster (10 s) and slower (40 s) than the domain's share of the rate allows.
    for loading_time in [10, 40] {
        let models = [("a", ""), ("b", ""), ("c", ""), ("d", "")];
        let deployment = support::deployment(4, 1, &models);
        let mut world = support::World::new(deployment, &[&["a"], &[], &[], &[]]);
        for engine in world.engines.values_mut() {
            engine.loading_time = clock::Millis::from_secs(loading_time);
        }

        world.run(200);

        assert!(models.iter().all(|(model, _)| world.replicas(model) == 1));
        assert_eq!(world.max_parallel, 1);
        assert_eq!(world.loads.len(), 3);
        let gaps = world.loads.windows(2).map(|pair| (pair[1] - pair[0]).0);
        let gaps: Vec<u64> = gaps.collect();
        // A load takes 20 s: 10⁹ bytes at half of 10⁸ bytes per second.
        assert!(gaps.iter().all(|gap| *gap >= 20_000), "{gaps:?}");
    }
}

/// Guards against a version change that leaves a model without a replica or never completes.
#[test]
fn new_version_is_loaded_before_former_is_unloaded() {
    let former = [("a", "version = v1"), ("b", "")];
    let next = [("a", "version = v2"), ("b", "")];
    // The new version is loaded into a free slot, in place of a second replica, or on a spare
    // engine.
    let cases: [(u32, &[&[&str]]); 3] = [
        (2, &[&["a.v1"], &["b"]]),
        (1, &[&["a.v1"], &["a.v1"], &["b"]]),
        (1, &[&["a.v1"], &["b"], &[]]),
    ];
    for (slots, loaded) in cases {
        let deployment = support::deployment(loaded.len(), slots, &former);
        let mut world = support::World::new(deployment, loaded);
        world.run(10);
        world.configure(support::deployment(loaded.len(), slots, &next));

        for _ in 0..200 {
            world.step();
            assert!(
                world.replicas("a") > 0 && world.replicas("b") > 0,
                "{loaded:?}"
            );
        }

        let versions: Vec<_> = world
            .engines
            .values()
            .flat_map(|engine| &engine.loaded)
            .collect();
        assert!(
            versions.iter().any(|found| found.as_str() == "a.v2"),
            "{:?}",
            world.log
        );
        assert!(
            !versions.iter().any(|found| found.as_str() == "a.v1"),
            "{:?}",
            world.log
        );
    }
}

/// Guards against unloading the only replica of a model in favour of a model with more demand.
#[test]
fn last_replica_is_never_unloaded() {
    let deployment = support::deployment(2, 1, &[("a", "least = 0"), ("b", "least = 0")]);
    let mut world = support::World::new(deployment, &[&["a"], &["a"]]);
    world.demand("b", 2);

    for _ in 0..600 {
        world.step();
        assert!(world.replicas("a") > 0);
    }

    assert_eq!(world.replicas("b"), 1);
    assert!(
        world
            .log
            .iter()
            .any(|line| line.contains("reason=last-replica")),
        "{:?}",
        world.log
    );
}

/// Guards against counting replicas on engines with stale load reports or on leaving engines.
#[test]
fn replicas_on_stale_and_leaving_engines_do_not_count() {
    for state in [engine::State::Stale, engine::State::Leaving] {
        let deployment = support::deployment(3, 1, &[("a", ""), ("b", "")]);
        let mut world = support::World::new(deployment, &[&["a"], &["b"], &["b"]]);
        world.run(5);
        world.engine(0).state = state;

        world.run(60);

        assert_eq!(
            (world.replicas("a"), world.replicas("b")),
            (1, 1),
            "{state:?}"
        );
    }
}

/// Guards against a delayed order of a former writer that stays in effect.
#[test]
fn delayed_order_of_former_writer_is_corrected() {
    let deployment = support::deployment(2, 1, &[("a", ""), ("b", "")]);
    let mut world = support::World::new(deployment, &[&["a"], &["b"]]);
    world.run(5);
    let now = world.now;
    world.engine(1).start_order(now, support::set(&["a"]));

    world.run(60);

    assert_eq!((world.replicas("a"), world.replicas("b")), (1, 1));
}

/// Guards against parallel loads after all engines restarted without models.
#[test]
fn lost_weights_are_reloaded_one_at_a_time() {
    let deployment = support::deployment(3, 1, &[("a", ""), ("b", ""), ("c", "")]);
    let mut world = support::World::new(deployment, &[&["a"], &["b"], &["c"]]);
    world.run(5);
    for index in 0..3 {
        world.engine(index).loaded.clear();
    }

    world.run(120);

    assert_eq!(world.max_parallel, 1);
    assert_eq!(
        ["a", "b", "c"].map(|model| world.replicas(model)),
        [1, 1, 1]
    );
}

/// Guards against a new writer that relies on a replica which an order of the former writer, still
/// in progress, is about to unload.
#[test]
fn new_writer_supersedes_orders_in_progress() {
    let deployment = support::deployment(2, 1, &[("a", "least = 0"), ("b", "least = 0")]);
    let mut world = support::World::new(deployment, &[&["a"], &["a"]]);
    for index in 0..2 {
        world.engine(index).unload = support::Unload::Last;
    }
    world.demand("b", 1);
    world.run(6);
    assert!(
        world
            .engines
            .values()
            .any(|engine| engine.loading.is_some())
    );
    let mut new_planner = planner::Planner::default();
    std::mem::swap(&mut world.planner, &mut new_planner);
    // Reversing the engines makes the new writer choose a different engine for the load.
    world.engines.reverse();

    for _ in 0..300 {
        world.step();
        assert!(world.replicas("a") > 0, "{:?}", world.log);
    }

    assert_eq!(world.replicas("b"), 1);
}

/// Guards against a lost last replica, engines with more models than slots, unfinished placement
/// and needless loads under random changes of demand, failures of engines and changes of the
/// writer. Uses seeds 0 to 11.
#[test]
fn invariants_hold_in_random_histories() {
    let models = [("a", ""), ("b", ""), ("c", "least = 0"), ("d", "least = 2")];
    for seed in 0..12 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let loaded: [&[&str]; 5] = [&["a", "b"], &["c", "d"], &["d"], &["a"], &[]];
        let mut world = support::World::new(support::deployment(5, 2, &models), &loaded);
        if seed % 2 == 0 {
            for engine in world.engines.values_mut() {
                engine.unload = support::Unload::Last;
            }
        }
        for _ in 0..400 {
            let before = models.map(|(model, _)| world.replicas(model));
            let mut failed = false;
            match rng.random_range(0..60) {
                0 => world.demand(models[rng.random_range(0..4)].0, rng.random_range(0..5)),
                1 => {
                    let engine = world.engine(rng.random_range(0..5));
                    engine.state = match engine.state {
                        engine::State::Reporting => engine::State::Stale,
                        _ => engine::State::Reporting,
                    };
                    failed = true;
                }
                2 => world.planner.suspend(),
                _ => {}
            }
            world.step();
            let after = models.map(|(model, _)| world.replicas(model));
            for index in 0..models.len() {
                let lost = before[index] > 0 && after[index] == 0;
                assert!(
                    failed || !lost,
                    "seed {seed}: {} {:?}",
                    models[index].0,
                    world.log
                );
            }
            assert!(
                world
                    .engines
                    .values()
                    .all(|engine| engine.loaded.len() <= 2)
            );
        }
        for engine in world.engines.values_mut() {
            engine.state = engine::State::Reporting;
        }
        let settled = world.now.plus(clock::Millis::from_secs(700));
        while world.now < settled {
            world.step();
        }
        let loads = world.loads.len();
        world.run(60);
        assert_eq!(
            world.loads.len(),
            loads,
            "seed {seed}: loads in a stable state"
        );
        assert!(
            world.replicas("d") >= 2 && world.replicas("a") >= 1,
            "seed {seed}: {:?}",
            world.log
        );
    }
}
