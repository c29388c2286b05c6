//! Repeating reads.

use std::cell;

use basilgrade_platform::error;
use basilgrade_platform::retry;
use basilgrade_types::clock;
use basilgrade_types::offset;
use rand::SeedableRng;
use rand::rngs;

fn retry() -> retry::RetryPolicy {
    retry::RetryPolicy {
        max_attempts: 3,
        base_delay: clock::Millis(100),
        max_delay: clock::Millis(1000),
    }
}

fn random() -> rngs::StdRng {
    rngs::StdRng::seed_from_u64(7)
}

/// Guards against a reader that gives up at the first failure or never.
#[tokio::test(start_paused = true)]
async fn an_unavailable_platform_is_asked_again_within_the_limit() {
    let calls = cell::Cell::new(0);
    let fail = || {
        calls.set(calls.get() + 1);
        std::future::ready(Err::<(), _>(error::ReadError::Unavailable("down".into())))
    };

    let result = retry().read(&mut random(), fail).await;

    assert!(matches!(result, Err(error::ReadError::Unavailable(_))));
    assert_eq!(calls.get(), 3);
}

/// Guards against repeating a read whose answer cannot change.
#[tokio::test(start_paused = true)]
async fn other_errors_are_returned_at_once() {
    let calls = cell::Cell::new(0);
    let expired = error::ReadError::Expired(offset::Offset(9));
    let fail = || {
        calls.set(calls.get() + 1);
        std::future::ready(Err::<(), _>(expired.clone()))
    };

    let result = retry().read(&mut random(), fail).await;

    assert_eq!(result, Err(expired.clone()));
    assert_eq!(calls.get(), 1);
}

/// Guards against readers that come back at the same moment, and against waits above the cap.
#[test]
fn waits_are_spread_and_capped() {
    let mut random = random();

    let waits: Vec<_> = (0..1000).map(|_| retry().delay(9, &mut random)).collect();

    let low = waits.iter().filter(|wait| wait.0 < 500).count();
    assert!((400..600).contains(&low), "{low}");
    assert!(waits.iter().all(|wait| *wait <= clock::Millis(1000)));
    assert!(retry().delay(u32::MAX, &mut random) <= clock::Millis(1000));
}
