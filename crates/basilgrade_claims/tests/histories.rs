//! Runs of several daemons under failures, checked against predicates over their histories.

mod sim;

use std::collections::BTreeMap;
use std::env;
use std::ops::Range;
use std::sync::Mutex;
use std::thread;

use sim::plan::Plan;

const THREADS: usize = 3;

/// `count` seeds from `first` on, or as many times more as `BASILGRADE_SEED_FACTOR` says, for a
/// longer search.
fn seeds(first: u64, count: u64) -> Range<u64> {
    let factor = env::var("BASILGRADE_SEED_FACTOR");
    let factor = factor.map_or(1, |text| text.parse().expect("a whole number"));
    first..first + count * factor
}

/// Runs the seeds on a few threads; each run is deterministic by itself.
fn run_all(seeds: Range<u64>, domains: usize, vms: usize) -> BTreeMap<&'static str, usize> {
    let verdicts = Mutex::new(BTreeMap::new());
    let seeds: Vec<u64> = seeds.collect();
    thread::scope(|scope| {
        for part in seeds.chunks(seeds.len().div_ceil(THREADS)) {
            let verdicts = &verdicts;
            scope.spawn(move || {
                for seed in part {
                    let world = sim::check(Plan::random(*seed, domains, vms));
                    let mut verdicts = verdicts.lock().expect("no other thread failed");
                    for (verdict, count) in world.history.verdicts() {
                        *verdicts.entry(verdict).or_insert(0) += count;
                    }
                }
            });
        }
    });
    verdicts.into_inner().expect("no thread failed")
}

/// Guards against a key running twice and against a false `not run` in one failure domain, where
/// all changes of pairs are between the same few daemons.
#[test]
fn no_key_runs_twice_in_one_domain() {
    let verdicts = run_all(seeds(0, 60), 1, 3);

    println!("{verdicts:?}");
    assert!(verdicts["ran"] > 0);
}

/// Guards against the same across failure domains, where slots change domain with lost history.
#[test]
fn no_key_runs_twice_in_three_domains() {
    let verdicts = run_all(seeds(1_000, 40), 3, 9);

    println!("{verdicts:?}");
    assert!(verdicts["ran"] > 0);
}
