//! Time of one routing decision at 60 and 1,200 candidates, for each router.

use std::hint;
use std::time;

use basilgrade_policy::candidate;
use basilgrade_policy::router;
use basilgrade_policy::router::Router;
use basilgrade_policy::router::least_outstanding;
use basilgrade_policy::router::random;
use basilgrade_policy::router::round_robin;
use basilgrade_policy::router::scored;
use basilgrade_policy::router::two_choices;
use basilgrade_types::clock;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

const NOW: clock::Millis = clock::Millis(1_000_000);

/// Decisions per batch; short, so that some batches run undisturbed by other processes.
const BATCH: u32 = 50;

/// Batches per figure.
const BATCHES: usize = 400;

fn candidates(count: u32, rng: &mut rngs::StdRng) -> Vec<candidate::Candidate> {
    (0..count)
        .map(|index| candidate::Candidate {
            index,
            region: (index % 3) as u16,
            capacity: 16,
            running: rng.random_range(0..16),
            queued: rng.random_range(0..4),
            // Half of the reports are old, so that the random subset is part of the measurement.
            reported: NOW - clock::Millis(rng.random_range(0..1000)),
            sent: rng.random_range(0..4),
            inflight: rng.random_range(0..4),
            limit: 32,
            service: 10.0,
            prefill: 0.2,
            decode: 10.0,
            cached: rng.random_range(0..2) * 512,
            weight: 1.0,
            price: 10.0,
        })
        .collect()
}

fn main() {
    let call = router::CallShape {
        region: 0,
        bytes: 65_536,
        prices: vec![0.0, 400.0, 500.0],
        latency: vec![1.0, 10.0, 12.0],
        prompt: 1200,
        output: 200,
        deadline: NOW + clock::Millis::from_secs(10),
        excluded: vec![3],
    };
    let routers: Vec<(&str, Box<dyn Router>)> = vec![
        ("scored", Box::new(scored::ScoredRouter::default())),
        (
            "round_robin",
            Box::new(round_robin::RoundRobinRouter::default()),
        ),
        ("random", Box::new(random::RandomRouter)),
        (
            "least_outstanding",
            Box::new(least_outstanding::LeastOutstandingRouter),
        ),
        ("two_choices", Box::new(two_choices::TwoChoicesRouter)),
    ];
    println!("router,candidates,least microseconds,median microseconds");
    for (name, router) in &routers {
        for count in [60, 1200] {
            let mut rng = rngs::StdRng::seed_from_u64(1);
            let list = candidates(count, &mut rng);
            let mut times: Vec<_> = (0..BATCHES)
                .map(|_| {
                    let start = time::Instant::now();
                    for _ in 0..BATCH {
                        let choice = router.choose(NOW, &call, hint::black_box(&list), &mut rng);
                        let _ = hint::black_box(choice);
                    }
                    start.elapsed()
                })
                .map(|time| time.as_secs_f64() * 1e6 / f64::from(BATCH))
                .collect();
            times.sort_by(f64::total_cmp);
            let (least, median) = (times[0], times[BATCHES / 2]);
            println!("{name},{count},{least:.3},{median:.3}");
        }
    }
}
