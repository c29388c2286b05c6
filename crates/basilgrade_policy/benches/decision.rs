//! Benchmarks of the decisions on the path of a request.
//!
//! The main figure is the time of one routing decision among 60 and among 1,200 candidates, for
//! each router.

use std::hint;
use std::time;

use basilgrade_config::model::customer;
use basilgrade_config::model::deployment;
use basilgrade_config::model::pipeline;
use basilgrade_config::model::stage;
use basilgrade_policy::budget::plan;
use basilgrade_policy::budget::planner;
use basilgrade_policy::candidate;
use basilgrade_policy::prefix::index;
use basilgrade_policy::prefix::prefix_hits;
use basilgrade_policy::router;
use basilgrade_policy::router::Router;
use basilgrade_policy::router::least_outstanding;
use basilgrade_policy::router::random;
use basilgrade_policy::router::round_robin;
use basilgrade_policy::router::scored;
use basilgrade_policy::router::two_choices;
use basilgrade_policy::share::pressure;
use basilgrade_policy::share::shares;
use basilgrade_types::clock;
use basilgrade_types::rate;
use basilgrade_types::size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

const NOW: clock::Millis = clock::Millis(1_000_000);

/// Decisions per batch. A batch is short, so that other processes leave some batches undisturbed.
const BATCH: u32 = 50;

/// Batches per measured figure.
const BATCHES: usize = 400;

fn candidates(count: u32, rng: &mut rngs::StdRng) -> Vec<candidate::Candidate> {
    (0..count)
        .map(|index| candidate::Candidate {
            index,
            region: (index % 3) as u16,
            capacity: 16,
            running: rng.random_range(0..16),
            queued: rng.random_range(0..4),
            // Reports of different age make the estimate from own calls a part of the measurement.
            reported: NOW - clock::Millis(rng.random_range(0..1000)),
            sent: rng.random_range(0..4),
            inflight: rng.random_range(0..4),
            limit: 32,
            service_time: 10.0,
            prefill: 0.2,
            decode: 10.0,
            cached_tokens: rng.random_range(0..2) * 512,
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
        latencies: vec![1.0, 10.0, 12.0],
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
    println!("decision,size,least microseconds,median microseconds");
    for (name, router) in &routers {
        for count in [60, 1200] {
            let mut rng = rngs::StdRng::seed_from_u64(1);
            let list = candidates(count, &mut rng);
            measure(name, count, || {
                let choice = router.choose(NOW, &call, hint::black_box(&list), &mut rng);
                let _ = hint::black_box(choice);
            });
        }
    }
    measure_plan();
    measure_lookup();
    measure_admit();
}

/// Prints the minimum and the median time of `decide`.
fn measure(name: &str, size: u32, mut decide: impl FnMut()) {
    let mut times: Vec<_> = (0..BATCHES)
        .map(|_| {
            let start = time::Instant::now();
            for _ in 0..BATCH {
                decide();
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(BATCH)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!("{name},{size},{:.3},{:.3}", times[0], times[BATCHES / 2]);
}

/// Measures planning a request of six stages.
fn measure_plan() {
    let stage = |index: u32| stage::Stage {
        id: format!("s{index}")
            .parse()
            .expect("the generated text should be a valid name"),
        pool: "pool"
            .parse()
            .expect("the generated text should be a valid name"),
        model: None,
        tokens: size::TokenCount(100),
        idempotency: stage::Idempotency::Idempotent,
        degrade: stage::Degrade::Skip,
    };
    let pipeline = pipeline::Pipeline {
        id: "pipeline"
            .parse()
            .expect("the generated text should be a valid name"),
        deadline: clock::Millis::from_secs(10),
        stages: (0..6).map(stage).collect(),
    };
    let mut deployment = deployment::Deployment::default();
    deployment.pipelines.insert(pipeline.id.clone(), pipeline);
    let planner = planner::Planner::new(&deployment);
    for step in 0..600 {
        planner.observe(NOW, 0, step % 6, plan::Action::Run, 100.0);
    }
    let deadline = NOW + clock::Millis::from_secs(10);
    measure("plan of stages", 6, || {
        let _ = hint::black_box(planner.plan(NOW, 0, 0, deadline));
    });
}

/// Measures the lookup of a prompt of 16 blocks in the prefix index.
fn measure_lookup() {
    let index = index::PrefixIndex::new(256 << 10, 1200);
    let mut hits = prefix_hits::Hits::default();
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let hashes: Vec<u64> = (0..16).map(|_| rng.random()).collect();
    for upstream in 0..8 {
        index.record(NOW, upstream, &hashes);
    }
    measure("lookup of blocks", 16, || {
        index.lookup(NOW, hint::black_box(&hashes), &mut hits);
    });
}

/// Measures the admission of requests among 5 and among 4,200 customers.
fn measure_admit() {
    for count in [5, 4200] {
        let customer = |index| customer::Customer {
            id: format!("c{index}")
                .parse()
                .expect("the generated text should be a valid name"),
            rate: rate::RequestRate(10.0),
            burst: 10,
            targets: Vec::new(),
        };
        let customers: Vec<_> = (0..count).map(customer).collect();
        let shares = shares::CustomerShares::new(NOW, &customers, 9);
        let mut customer_index = 0;
        measure("admission among customers", count, || {
            customer_index = (customer_index + 7) % customers.len();
            let _ =
                hint::black_box(shares.admit(NOW, customer_index, pressure::PoolPressure::Busy));
        });
    }
}
