//! Benchmark of routing decisions: time and allocations of each.

use std::hint;
use std::time;

use basilgrade_config::model::weights;
use basilgrade_policy::candidate;
use basilgrade_policy::router;
use basilgrade_policy::router::Router;
use basilgrade_types::clock;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use crate::counting_allocator;

const SEED: u64 = 7;
const ROUNDS: u32 = 20_000;

/// Measures routing decisions among 60 and among 1,200 candidates.
pub(crate) fn run() {
    println!("decision                     candidates   time_ns  allocations  ratio_to_random");
    for count in [60, 1200] {
        let scored = router::scored::ScoredRouter::new(router::settings::ScoreSettings::new(
            weights::ObjectiveWeights::default(),
        ));
        let base = measure(&router::random::RandomRouter, count);
        report("random", count, base, base);
        report("scored", count, measure(&scored, count), base);
    }
}

fn report(name: &str, count: usize, (nanos, allocations): (f64, f64), base: (f64, f64)) {
    println!(
        "{name:<28} {count:>10} {nanos:>9.0} {allocations:>12.1} {:>16.2}",
        nanos / base.0
    );
}

fn measure(router: &dyn Router, count: usize) -> (f64, f64) {
    let mut rng = rngs::SmallRng::seed_from_u64(SEED);
    let candidates = candidates(count, &mut rng);
    let call = call();
    let now = clock::Millis(10_000);
    let before = counting_allocator::count();
    let start = time::Instant::now();
    for _ in 0..ROUNDS {
        hint::black_box(router.choose(now, hint::black_box(&call), &candidates, &mut rng)).ok();
    }
    let nanos = start.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
    let allocations = (counting_allocator::count() - before) as f64 / f64::from(ROUNDS);
    (nanos, allocations)
}

fn candidates(count: usize, rng: &mut rngs::SmallRng) -> Vec<candidate::Candidate> {
    (0..count)
        .map(|index| candidate::Candidate {
            index: index as u32,
            region: (index % 5) as u16,
            capacity: 32,
            running: rng.random_range(0..32),
            queued: rng.random_range(0..4),
            reported: clock::Millis(9_000 + rng.random_range(0..1000)),
            sent: rng.random_range(0..3),
            inflight: rng.random_range(0..8),
            limit: 64,
            service_time: 20.0,
            prefill: 0.05,
            decode: 12.0,
            cached_tokens: 0,
            weight: 1.0,
            price: 400.0,
        })
        .collect()
}

fn call() -> router::CallShape {
    router::CallShape {
        region: 0,
        bytes: 4096,
        prices: vec![0.0, 90.0, 90.0, 120.0, 120.0],
        latencies: vec![0.0, 8.0, 8.0, 12.0, 12.0],
        prompt: 1024,
        output: 200,
        deadline: clock::Millis(20_000),
        excluded: Vec::new(),
    }
}
