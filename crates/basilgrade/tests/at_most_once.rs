//! At-most-once execution and accurate verdicts while daemons are killed or paused and connections
//! fail.

mod support;

use std::sync;
use std::sync::atomic;
use std::time;

use basilgrade_standins::caller;
use basilgrade_standins::fault;
use basilgrade_standins::service;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use support::deployment;
use support::history;

const PATH: &str = "/v1/services/ticket-sales/charge";

/// A failure that is injected while callers send; numbers are indexes of daemons.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Kills the daemon and restarts it after 4 s.
    Kill(usize),
    /// Makes the log hang for 5 s.
    LogOutage,
    /// Makes the log run requests and reset their connections for 5 s.
    LostAnswers,
    /// Pauses the daemon for 5 s.
    Pause(usize),
    /// Makes each service reset the connections of two calls, of which it runs one.
    ServiceReset,
}

/// Sends a charge with the key `key` to two daemons at once, and again until one
/// daemon answers with the verdict `ran`.
async fn send_key(
    addresses: Vec<std::net::SocketAddr>,
    key: String,
    seed: u64,
) -> Vec<history::Call> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for _ in 0..12 {
        let first = rng.random_range(0..addresses.len());
        let second = (first + rng.random_range(1..addresses.len())) % addresses.len();
        let sends = [first, second].map(|daemon| {
            let (address, key) = (addresses[daemon], key.clone());
            async move {
                let headers = [deployment::CUSTOMER, ("idempotency-key", key.as_str())];
                let response = caller::post(address, PATH, &headers, &key).await;
                history::Call {
                    key,
                    daemon,
                    response,
                }
            }
        });
        let [first, second] = sends;
        let (first, second) = tokio::join!(first, second);
        let has_run = |call: &history::Call| {
            let verdict = call.response.as_ref().map(|response| &response.verdict[..]);
            verdict == Ok("ran")
        };
        let is_answered = has_run(&first) || has_run(&second);
        calls.extend([first, second]);
        if is_answered {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(50..400))).await;
    }
    calls
}

/// Injects a failure; a failure that has a duration is over when this returns.
async fn inject(deployment: &mut deployment::Deployment, failure: Failure) {
    let pause = time::Duration::from_secs(5);
    match failure {
        Failure::Kill(index) => {
            deployment.daemons[index].kill();
            tokio::time::sleep(time::Duration::from_secs(4)).await;
            deployment.daemons[index].start();
        }
        Failure::Pause(index) => {
            deployment.daemons[index].signal("STOP");
            tokio::time::sleep(pause).await;
            deployment.daemons[index].signal("CONT");
        }
        Failure::LogOutage => {
            deployment.platform.log_faults.set(fault::Fault::Hang);
            tokio::time::sleep(pause).await;
            deployment.platform.log_faults.set(fault::Fault::None);
        }
        Failure::LostAnswers => {
            deployment.platform.log_faults.set(fault::Fault::RunReset);
            tokio::time::sleep(pause).await;
            deployment.platform.log_faults.set(fault::Fault::None);
        }
        Failure::ServiceReset => {
            for service in &deployment.services {
                service.faults.push(fault::Fault::RunReset);
                service.faults.push(fault::Fault::Reset);
            }
        }
    }
}

/// Injects `failures` one after the other while eight tasks send, then checks all calls.
async fn run(seed: u64, failures: &[Failure]) {
    let mut deployment = deployment::start(&["a", "a", "a", "b", "b"]).await;
    let addresses: Vec<_> = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.caller_address)
        .collect();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let mut senders = Vec::new();
    for sender in 0..8_u64 {
        let (addresses, stop) = (addresses.clone(), sync::Arc::clone(&stop));
        senders.push(tokio::spawn(async move {
            let mut calls = Vec::new();
            let mut count = 0;
            while !stop.load(atomic::Ordering::Relaxed) && count < 400 {
                let key = uuid::Uuid::now_v7().to_string();
                let seed = seed ^ (sender << 32) ^ count;
                calls.extend(send_key(addresses.clone(), key, seed).await);
                count += 1;
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            calls
        }));
    }
    for failure in failures {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        inject(&mut deployment, *failure).await;
    }
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    stop.store(true, atomic::Ordering::Relaxed);
    let mut calls = Vec::new();
    for sender in senders {
        calls.extend(sender.await.expect("the sending task does not panic"));
    }
    assert_at_most_once(seed, &deployment, &calls);
}

/// Panics if the calls with a key violate the at-most-once guarantee, or if no charge ran.
fn assert_at_most_once(seed: u64, deployment: &deployment::Deployment, calls: &[history::Call]) {
    let mut run_count = 0;
    for calls in calls.chunk_by(|left, right| left.key == right.key) {
        let key = &calls[0].key;
        let executions = deployment.count_charges(key);
        run_count += executions;
        let receipt = service::receipt(key.as_bytes());
        let violations = history::find_violations(calls, executions, &receipt);
        assert!(
            violations.is_empty(),
            "seed {seed}: {}",
            violations.join("\n")
        );
    }
    println!("seed {seed}: {} calls, {run_count} executions", calls.len());
    assert!(
        run_count > 0,
        "seed {seed}: no charge ran, so the test checked nothing"
    );
}

/// Guards against a second run of a key when the daemon that granted it is killed and restarts
/// without its state.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_at_most_once_while_daemons_are_killed() {
    run(1, &[Failure::Kill(0), Failure::Kill(1), Failure::Kill(3)]).await;
}

/// Guards against a second run of a key by a daemon that resumes after a pause and still acts as
/// the primary of the key's slot.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_at_most_once_while_daemons_are_paused() {
    run(
        2,
        &[Failure::Pause(0), Failure::Pause(3), Failure::Pause(1)],
    )
    .await;
}

/// Guards against a second run of a key when answers of the log or of the service are lost.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_at_most_once_while_the_log_fails() {
    let failures = [
        Failure::LogOutage,
        Failure::ServiceReset,
        Failure::LostAnswers,
        Failure::Kill(2),
        Failure::LogOutage,
    ];
    run(3, &failures).await;
}
