//! Tests of the health weights of upstreams that refuse connections, fail calls or are slow.

use basilgrade_policy::health::connection;
use basilgrade_policy::health::outliers;
use basilgrade_policy::speed;
use basilgrade_types::clock;
use rand::SeedableRng;
use rand::rngs;

const NOW: clock::Millis = clock::Millis(100_000);

fn now_plus(offset_ms: u64) -> clock::Millis {
    NOW + clock::Millis(offset_ms)
}

/// Weights after `rounds` evaluations in which the members in `failing` fail every call.
fn weights_after(
    outliers: &outliers::Outliers,
    count: usize,
    failing: &[usize],
    rounds: u64,
) -> Vec<f32> {
    for round in 0..rounds {
        let now = now_plus(1000 * round);
        for member in 0..count {
            for _ in 0..10 {
                outliers.observe(now, member, failing.contains(&member));
            }
        }
        outliers.evaluate(now, &vec![1.0; count]);
    }
    (0..count).map(|member| outliers.weight(member)).collect()
}

/// Calls to an upstream that refuses connections must become less frequent.
#[test]
fn backoff_after_refused_connections_grows_up_to_a_limit() {
    let connection = connection::ConnectionHealth::default();
    let mut rng = rngs::StdRng::seed_from_u64(5);
    let mut now = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        connection.refused(now, &mut rng);
        let start = now;
        while connection.weight(now) <= 0.0 {
            now = now + clock::Millis(1);
        }
        backoffs.push((now - start).0);
    }

    assert!((400..600).contains(&backoffs[0]), "{backoffs:?}");
    assert!(backoffs[3] > 4 * backoffs[0], "{backoffs:?}");
    assert!(
        backoffs.iter().all(|backoff| *backoff <= 10_000),
        "{backoffs:?}"
    );
}

/// An upstream that has not responded yet must not receive its full load.
#[test]
fn upstream_regains_full_weight_with_its_first_response() {
    let connection = connection::ConnectionHealth::default();
    let mut rng = rngs::StdRng::seed_from_u64(5);
    connection.refused(NOW, &mut rng);

    let probing = connection.weight(now_plus(1000));
    connection.answered();

    assert!(probing > 0.0 && probing < 0.5, "{probing}");
    assert!((connection.weight(now_plus(1000)) - 1.0).abs() < f32::EPSILON);
}

/// An upstream that fails calls quickly looks idle and must not attract calls for that reason.
#[test]
fn failing_upstream_loses_and_regains_weight_in_steps() {
    let outliers = outliers::Outliers::new(6);

    let first = weights_after(&outliers, 6, &[2], 1)[2];
    let ejected = weights_after(&outliers, 6, &[2], 6)[2];
    outliers.evaluate(now_plus(60_000), &[1.0; 6]);
    let returning = outliers.weight(2);

    assert!(first > 0.5 && first < 1.0, "{first}");
    assert!(ejected <= 0.0, "{ejected}");
    assert!(returning > 0.0 && returning < 0.5, "{returning}");
}

/// The remaining upstreams of a pool must be able to carry its load.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    let outliers = outliers::Outliers::new(9);

    let weights = weights_after(&outliers, 9, &[0, 1, 2, 3], 10);

    let lost: f32 = weights.iter().map(|weight| 1.0 - weight).sum();
    assert!((lost - 3.0).abs() < 0.01, "{weights:?}");
}

/// Members of a pool that is slow as a whole must not be ejected.
#[test]
fn uniformly_slow_pool_has_no_outliers() {
    let outliers = outliers::Outliers::new(5);
    for second in 0..5 {
        outliers.evaluate(now_plus(1000 * second), &[5.0, 5.5, 4.5, 5.0, 6.0]);
    }

    let slow_pool = outliers.weight(4);
    for second in 5..10 {
        outliers.evaluate(now_plus(1000 * second), &[1.0, 1.1, 0.9, 1.0, 6.0]);
    }

    assert!((slow_pool - 1.0).abs() < f32::EPSILON);
    assert!(outliers.weight(4) <= 0.0);
}

/// Small differences in speed, and slowness of the whole pool, must not move traffic.
#[test]
fn relative_slowdown_applies_only_to_upstreams_slower_than_their_pool() {
    let outliers = outliers::Outliers::new(5);
    outliers.evaluate(NOW, &[2.0, 2.2, 1.8, 2.1, 8.0]);

    let (usual, slow) = (
        outliers.relative_slowdown(2.2),
        outliers.relative_slowdown(8.0),
    );

    assert!((usual - 1.0).abs() < f32::EPSILON, "{usual}");
    assert!((3.5..4.5).contains(&slow), "{slow}");
}

/// A hanging upstream must be detected before its calls end.
#[test]
fn pending_call_raises_the_slowdown_factor() {
    let speed = speed::Slowdown::default();
    for step in 0..20 {
        speed.observe_pending(now_plus(250 * step), 100.0, 250.0 * (step + 1) as f32);
    }

    assert!(
        speed.factor(now_plus(5000)) > 5.0,
        "{}",
        speed.factor(now_plus(5000))
    );
}

/// An upstream that was slow once must be tried again.
#[test]
fn slowdown_factor_decays_without_observations() {
    let speed = speed::Slowdown::default();
    for _ in 0..50 {
        speed.observe(NOW, 100.0, 1000.0);
    }

    let (fresh, old) = (speed.factor(NOW), speed.factor(now_plus(90_000)));

    assert!(fresh > 9.0, "{fresh}");
    assert!(old < 2.0, "{old}");
}
