//! Property tests of the policy on generated inputs.

use basilgrade_policy::budget::quantiles;
use basilgrade_policy::candidate;
use basilgrade_policy::health::outliers;
use basilgrade_policy::prefix::index;
use basilgrade_policy::prefix::prefix_hits;
use basilgrade_policy::router;
use basilgrade_policy::router::Router;
use basilgrade_policy::router::eligible;
use basilgrade_policy::router::scored;
use basilgrade_policy::share::bucket;
use basilgrade_policy::speed;
use basilgrade_types::clock;
use proptest::prelude::*;
use proptest::test_runner;
use rand::SeedableRng;
use rand::rngs;

const NOW: clock::Millis = clock::Millis(1_000_000);

/// Checks a property on 256 inputs that are generated from a fixed seed.
fn check<S: Strategy>(strategy: &S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = test_runner::Config {
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    if let Err(error) = runner.run(strategy, property) {
        panic!("{error}");
    }
}

fn candidates() -> impl Strategy<Value = Vec<candidate::Candidate>> {
    let numbers = (0..5u16, 0..40u32, 0..1000u32, 0..2_000_000u64, 0..9u32);
    let rates = (0.0..1e6f32, 0.0..10.0f32, 0.0..100.0f32, 0.0..1.0f32);
    let one = (numbers, rates).prop_map(|(numbers, rates)| candidate::Candidate {
        index: 0,
        region: numbers.0,
        capacity: numbers.1,
        running: numbers.2,
        queued: numbers.2 / 2,
        reported: clock::Millis(numbers.3),
        sent: numbers.4,
        inflight: numbers.4,
        limit: 7,
        service_time: rates.0,
        prefill: rates.1,
        decode: rates.2,
        cached_tokens: numbers.2,
        weight: if rates.3 < 0.2 { 0.0 } else { rates.3 },
        price: rates.0,
    });
    proptest::collection::vec(one, 0..40).prop_map(|mut candidates| {
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.index = index as u32;
        }
        candidates
    })
}

/// The router must not refuse a call while an upstream is eligible, nor choose one that is not.
#[test]
fn choice_exists_exactly_if_an_upstream_is_eligible() {
    let inputs = (
        candidates(),
        proptest::collection::vec(0..40u32, 0..5),
        any::<u64>(),
    );
    check(&inputs, |(candidates, excluded, seed)| {
        let call = router::CallShape {
            region: 0,
            bytes: 1 << 20,
            prices: vec![0.0, 400.0],
            latencies: vec![1.0, 10.0],
            prompt: 1000,
            output: 100,
            deadline: NOW + clock::Millis(1),
            excluded,
        };
        let eligible = |found: &&candidate::Candidate| {
            eligible::Eligibility::of(found, &call) == eligible::Eligibility::Eligible
        };
        let mut rng = rngs::StdRng::seed_from_u64(seed);

        let chosen = scored::ScoredRouter::default().choose(NOW, &call, &candidates, &mut rng);

        let expected: Vec<_> = candidates
            .iter()
            .filter(eligible)
            .map(|found| found.index)
            .collect();
        match chosen {
            Ok(choice) => prop_assert!(expected.contains(&choice.index)),
            Err(_) => prop_assert!(expected.is_empty()),
        }
        Ok(())
    });
}

/// One observation that is NaN or infinite must not disable the comparison of the upstreams.
#[test]
fn non_finite_observations_are_ignored() {
    let invalid = proptest::sample::select(vec![f32::NAN, f32::INFINITY, f32::NEG_INFINITY]);
    check(&(invalid, 0..3usize), |(invalid, position)| {
        let speed = speed::Slowdown::default();
        speed.observe(NOW, 100.0, invalid);
        speed.observe(NOW, invalid, 100.0);
        speed.observe_pending(NOW, 100.0, invalid);
        let healthy = candidate::Candidate {
            index: 0,
            region: 0,
            capacity: 8,
            running: 1,
            queued: 0,
            reported: NOW,
            sent: 0,
            inflight: 0,
            limit: 8,
            service_time: 10.0,
            prefill: 0.0,
            decode: 0.0,
            cached_tokens: 0,
            weight: 1.0,
            price: 0.0,
        };
        let mut candidates = [healthy; 3];
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.index = index as u32;
        }
        candidates[position].service_time = f32::NAN;
        let call = router::CallShape {
            region: 0,
            bytes: 0,
            prices: Vec::new(),
            latencies: Vec::new(),
            prompt: 0,
            output: 0,
            deadline: NOW + clock::Millis(100),
            excluded: Vec::new(),
        };
        let mut rng = rngs::StdRng::seed_from_u64(1);

        let chosen = scored::ScoredRouter::default().choose(NOW, &call, &candidates, &mut rng);

        prop_assert!(speed.factor(NOW).is_finite());
        prop_assert!(chosen.is_ok_and(|choice| choice.index as usize != position));
        Ok(())
    });
}

/// Quantiles must be in ascending order and must not exceed the largest observation noticeably.
#[test]
fn quantiles_are_ordered_and_within_the_observed_range() {
    let times = proptest::collection::vec(0.0..40_000.0f32, 4..200);
    check(&times, |times| {
        let quantiles = quantiles::TimeQuantiles::default();
        for time in &times {
            quantiles.observe(NOW, *time);
        }

        let summary = quantiles
            .summary(NOW)
            .expect("4 observations or more should yield quantiles");

        let greatest = times.iter().copied().fold(0.0, f32::max);
        prop_assert!(summary.median <= summary.p90 && summary.p90 <= summary.p95);
        prop_assert!(summary.p95 <= (greatest + 1.0) * 1.2);
        Ok(())
    });
}

/// A hit must not be longer than the prompt, and no event may cause a panic.
#[test]
fn hits_are_never_longer_than_the_prompt() {
    let chain = proptest::collection::vec(any::<u64>(), 0..20);
    check(
        &(chain, 0..70_000u32, any::<u64>()),
        |(chain, upstream, number)| {
            let index = index::PrefixIndex::new(4096, 8);
            let mut hits = prefix_hits::Hits::default();
            index.record(NOW, upstream % 8, &chain);
            for hash in &chain {
                let change = basilgrade_policy::prefix::change::CacheChange::Added(*hash);
                index.apply(NOW, upstream, number, change);
            }

            index.lookup(NOW, &chain, &mut hits);

            prop_assert!(
                hits.as_slice()
                    .iter()
                    .all(|hit| hit.blocks as usize <= chain.len())
            );
            Ok(())
        },
    );
}

/// No sequence of observations may eject more than a third of a pool.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    let rounds = proptest::collection::vec((0..12usize, any::<bool>(), 0.1..30.0f32), 1..200);
    check(&(1..12usize, rounds), |(count, rounds)| {
        let outliers = outliers::Outliers::new(count);
        let mut factors = vec![1.0; count];
        for (step, (member, failed, factor)) in rounds.into_iter().enumerate() {
            let now = NOW + clock::Millis(500 * step as u64);
            outliers.observe(now, member, failed);
            factors[member % count] = factor;
            outliers.evaluate(now, &factors);

            let lost: f32 = (0..count).map(|member| 1.0 - outliers.weight(member)).sum();
            prop_assert!(
                lost <= count as f32 / 3.0 + 0.01,
                "lost weight {lost} of {count}"
            );
        }
        Ok(())
    });
}

/// The bucket must not yield more tokens than its rate and burst allow.
#[test]
fn token_bucket_never_exceeds_its_rate_and_burst() {
    let slow = bucket::TokenBucket::default();
    let _ = (slow.take(NOW, 1e-30, 1.0), slow.take(NOW, 1e-30, 1e30));
    let gaps = proptest::collection::vec(0..200u64, 1..300);
    check(
        &(gaps, 0.1..200.0f32, 0.0..50.0f32),
        |(gaps, rate, burst)| {
            let bucket = bucket::TokenBucket::default();
            let mut now = NOW;
            let mut taken = 0u32;
            for gap in gaps {
                now = now + clock::Millis(gap);
                taken += u32::from(bucket.take(now, rate, burst));
            }

            let most = burst.max(1.0) + rate * (now - NOW).0 as f32 / 1000.0;
            prop_assert!(
                taken as f32 <= most + 1.0,
                "took {taken} of at most {most} tokens"
            );
            Ok(())
        },
    );
}
