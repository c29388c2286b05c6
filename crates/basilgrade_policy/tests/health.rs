//! Weights of upstreams that refuse, fail or are slow.

use basilgrade_policy::health::connection;
use basilgrade_policy::health::outliers;
use basilgrade_policy::speed;
use basilgrade_types::clock;
use rand::SeedableRng;
use rand::rngs;

const NOW: clock::Millis = clock::Millis(100_000);

fn later(span: u64) -> clock::Millis {
    NOW + clock::Millis(span)
}

/// Weights after `rounds` evaluations in which the members in `bad` fail every call.
fn weights_after(
    outliers: &outliers::Outliers,
    count: usize,
    bad: &[usize],
    rounds: u64,
) -> Vec<f32> {
    for round in 0..rounds {
        let now = later(1000 * round);
        for member in 0..count {
            for _ in 0..10 {
                outliers.observe(now, member, bad.contains(&member));
            }
        }
        outliers.evaluate(now, &vec![1.0; count]);
    }
    (0..count).map(|member| outliers.weight(member)).collect()
}

/// Guards against calling a dead upstream again and again.
#[test]
fn refused_connections_are_tried_after_growing_times() {
    let connection = connection::ConnectionHealth::default();
    let mut rng = rngs::StdRng::seed_from_u64(5);
    let mut now = NOW;
    let mut spans = Vec::new();
    for _ in 0..8 {
        connection.refused(now, &mut rng);
        let start = now;
        while connection.weight(now) <= 0.0 {
            now = now + clock::Millis(1);
        }
        spans.push((now - start).0);
    }

    assert!((400..600).contains(&spans[0]), "{spans:?}");
    assert!(spans[3] > 4 * spans[0], "{spans:?}");
    assert!(spans.iter().all(|span| *span <= 10_000), "{spans:?}");
}

/// Guards against sending full load to an upstream that has answered nothing yet.
#[test]
fn an_upstream_returns_with_its_first_answer() {
    let connection = connection::ConnectionHealth::default();
    let mut rng = rngs::StdRng::seed_from_u64(5);
    connection.refused(NOW, &mut rng);

    let probing = connection.weight(later(1000));
    connection.answered();

    assert!(probing > 0.0 && probing < 0.5, "{probing}");
    assert!((connection.weight(later(1000)) - 1.0).abs() < f32::EPSILON);
}

/// Guards against an upstream that fails fast and draws calls because it looks idle.
#[test]
fn a_failing_upstream_loses_weight_in_steps_and_returns_in_steps() {
    let outliers = outliers::Outliers::new(6);

    let first = weights_after(&outliers, 6, &[2], 1)[2];
    let ejected = weights_after(&outliers, 6, &[2], 6)[2];
    outliers.evaluate(later(60_000), &[1.0; 6]);
    let returning = outliers.weight(2);

    assert!(first > 0.5 && first < 1.0, "{first}");
    assert!(ejected <= 0.0, "{ejected}");
    assert!(returning > 0.0 && returning < 0.5, "{returning}");
}

/// Guards against ejecting so many that the rest cannot carry the load.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    let outliers = outliers::Outliers::new(9);

    let weights = weights_after(&outliers, 9, &[0, 1, 2, 3], 10);

    let lost: f32 = weights.iter().map(|weight| 1.0 - weight).sum();
    assert!((lost - 3.0).abs() < 0.01, "{weights:?}");
}

/// Guards against ejecting members of a pool that is slow as a whole.
#[test]
fn a_slow_pool_has_no_outliers() {
    let outliers = outliers::Outliers::new(5);
    for second in 0..5 {
        outliers.evaluate(later(1000 * second), &[5.0, 5.5, 4.5, 5.0, 6.0]);
    }

    let slow_pool = outliers.weight(4);
    for second in 5..10 {
        outliers.evaluate(later(1000 * second), &[1.0, 1.1, 0.9, 1.0, 6.0]);
    }

    assert!((slow_pool - 1.0).abs() < f32::EPSILON);
    assert!(outliers.weight(4) <= 0.0);
}

/// Guards against moving traffic because of small or common differences in speed.
#[test]
fn only_an_upstream_slower_than_its_pool_counts_as_slow() {
    let outliers = outliers::Outliers::new(5);
    outliers.evaluate(NOW, &[2.0, 2.2, 1.8, 2.1, 8.0]);

    let (usual, slow) = (
        outliers.relative_slowdown(2.2),
        outliers.relative_slowdown(8.0),
    );

    assert!((usual - 1.0).abs() < f32::EPSILON, "{usual}");
    assert!((3.5..4.5).contains(&slow), "{slow}");
}

/// Guards against noticing a hanging upstream only when its calls end.
#[test]
fn a_pending_call_raises_the_speed_factor() {
    let speed = speed::Slowdown::default();
    for step in 0..20 {
        speed.observe_pending(later(250 * step), 100.0, 250.0 * (step + 1) as f32);
    }

    assert!(
        speed.factor(later(5000)) > 5.0,
        "{}",
        speed.factor(later(5000))
    );
}

/// Guards against never trying an upstream again that was slow once.
#[test]
fn an_old_speed_factor_fades() {
    let speed = speed::Slowdown::default();
    for _ in 0..50 {
        speed.observe(NOW, 100.0, 1000.0);
    }

    let (fresh, old) = (speed.factor(NOW), speed.factor(later(90_000)));

    assert!(fresh > 9.0, "{fresh}");
    assert!(old < 2.0, "{old}");
}
