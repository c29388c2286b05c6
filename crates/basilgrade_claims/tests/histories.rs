//! Randomized simulations of several daemons under faults, whose histories are checked against
//! safety predicates.

mod sim;

use std::collections::BTreeMap;
use std::env;
use std::ops::Range;
use std::sync::Mutex;
use std::thread;

use sim::plan::Plan;

const THREADS: usize = 3;

/// Returns `count` seeds from `first` on, multiplied by the environment variable
/// `BASILGRADE_SEED_FACTOR` for a longer search.
fn seeds(first: u64, count: u64) -> Range<u64> {
    let factor = env::var("BASILGRADE_SEED_FACTOR");
    let factor = factor.map_or(1, |text| text.parse().expect("whole-number seed factor"));
    first..first + count * factor
}

/// Simulates all seeds on several threads and counts the verdicts; each simulation is
/// deterministic.
fn run_all(seeds: Range<u64>, domains: usize, vms: usize) -> BTreeMap<&'static str, usize> {
    let verdicts = Mutex::new(BTreeMap::new());
    let seeds: Vec<u64> = seeds.collect();
    thread::scope(|scope| {
        for part in seeds.chunks(seeds.len().div_ceil(THREADS)) {
            let verdicts = &verdicts;
            scope.spawn(move || {
                for seed in part {
                    let simulation = sim::check(Plan::random(*seed, domains, vms));
                    let mut verdicts = verdicts.lock().expect("no other thread panicked");
                    for (verdict, count) in simulation.history.verdicts() {
                        *verdicts.entry(verdict).or_insert(0) += count;
                    }
                }
            });
        }
    });
    verdicts.into_inner().expect("no thread panicked")
}

/// Guards against a key that runs twice and against a wrong verdict `not run` in one failure
/// domain, where slots move only between the same few daemons.
#[test]
fn no_key_runs_twice_in_one_domain() {
    let verdicts = run_all(seeds(0, 60), 1, 3);

    println!("{verdicts:?}");
    assert!(verdicts["ran"] > 0);
}

/// Guards against a key that runs twice and against a wrong verdict `not run` in three failure
/// domains, where slots move to other domains without their claims.
#[test]
fn no_key_runs_twice_in_three_domains() {
    let verdicts = run_all(seeds(1_000, 40), 3, 9);

    println!("{verdicts:?}");
    assert!(verdicts["ran"] > 0);
}
