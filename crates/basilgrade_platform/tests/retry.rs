//! Tests of retried reads from the platform.

use std::cell;

use basilgrade_platform::error;
use basilgrade_platform::retry;
use basilgrade_types::clock;
use basilgrade_types::offset;
use rand::SeedableRng;
use rand::rngs;

fn policy() -> retry::RetryPolicy {
    retry::RetryPolicy {
        max_attempts: 3,
        base_delay: clock::Millis(100),
        max_delay: clock::Millis(1000),
    }
}

fn random() -> rngs::StdRng {
    rngs::StdRng::seed_from_u64(7)
}

/// Guards against a reader that stops retrying at the first failure or retries without limit.
#[tokio::test(start_paused = true)]
async fn unavailable_reads_are_retried_up_to_the_limit() {
    let attempts = cell::Cell::new(0);
    let fail = || {
        attempts.set(attempts.get() + 1);
        std::future::ready(Err::<(), _>(error::ReadError::Unavailable("down".into())))
    };

    let result = policy().read(&mut random(), fail).await;

    assert!(matches!(result, Err(error::ReadError::Unavailable(_))));
    assert_eq!(attempts.get(), 3);
}

/// Guards against retrying a read whose error is permanent, such as expired records.
#[tokio::test(start_paused = true)]
async fn permanent_errors_are_not_retried() {
    let attempts = cell::Cell::new(0);
    let expired = error::ReadError::Expired(offset::Offset(9));
    let fail = || {
        attempts.set(attempts.get() + 1);
        std::future::ready(Err::<(), _>(expired.clone()))
    };

    let result = policy().read(&mut random(), fail).await;

    assert_eq!(result, Err(expired.clone()));
    assert_eq!(attempts.get(), 1);
}

/// Guards against delays without jitter, which make readers retry at the same moment, and against
/// delays above the upper bound.
#[test]
fn delays_have_full_jitter_and_an_upper_bound() {
    let mut random = random();

    let delays: Vec<_> = (0..1000).map(|_| policy().delay(9, &mut random)).collect();

    let low_count = delays.iter().filter(|delay| delay.0 < 500).count();
    assert!(
        (400..600).contains(&low_count),
        "{low_count} of 1000 delays are below 500 ms"
    );
    assert!(delays.iter().all(|delay| *delay <= clock::Millis(1000)));
    assert!(policy().delay(u32::MAX, &mut random) <= clock::Millis(1000));
}
