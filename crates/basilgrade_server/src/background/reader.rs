//! Reading of the log.

use std::sync;

use basilgrade_types::clock;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::core;
use crate::journal::streams;
use crate::platform;

/// Time between reads while the log answers.
const INTERVAL: clock::Millis = clock::Millis(500);

/// Longest time between reads while the log does not answer, so that a recovered log is not met
/// by all readers at once.
const BACKOFF_LIMIT: clock::Millis = clock::Millis::from_secs(5);

/// Reads the log until `stop`.
pub async fn run(
    core: sync::Arc<core::Core>,
    streams: sync::Arc<streams::Streams>,
    platform: platform::Platform,
    stop: CancellationToken,
) {
    let mut wait = INTERVAL;
    loop {
        match streams.catch_up(platform.log.as_ref(), &core).await {
            Ok(()) => wait = INTERVAL,
            Err(error) => {
                log::warn!("event=log-read-failed error={:?}", error.to_string());
                wait = clock::Millis(wait.0 * 2).min(BACKOFF_LIMIT);
            }
        }
        let jitter = rand::rng().random_range(0..=wait.0 / 2);
        let pause = clock::Millis(wait.0 * 3 / 4 + jitter);
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(pause.duration()) => {}
        }
    }
}
