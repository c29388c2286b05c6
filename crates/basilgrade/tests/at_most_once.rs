//! At most once and truthful refusals while processes are killed, paused and cut off.

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

/// What happens to the system while callers send.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Kill(usize),
    LogOutage,
    LostAnswers,
    Pause(usize),
    ServiceReset,
}

/// Sends every key to two daemons at once and repeats what was not run.
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
        let sent = [first, second].map(|daemon| {
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
        let [one, two] = sent;
        let (one, two) = tokio::join!(one, two);
        let done = |call: &history::Call| {
            let verdict = call.response.as_ref().map(|response| &response.verdict[..]);
            verdict == Ok("ran")
        };
        let over = done(&one) || done(&two);
        calls.extend([one, two]);
        if over {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(50..400))).await;
    }
    calls
}

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

async fn run(seed: u64, failures: &[Failure]) {
    let mut deployment = deployment::start(&["a", "a", "a", "b", "b"]).await;
    let addresses: Vec<_> = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.caller)
        .collect();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let mut senders = Vec::new();
    for lane in 0..8_u64 {
        let (addresses, stop) = (addresses.clone(), sync::Arc::clone(&stop));
        senders.push(tokio::spawn(async move {
            let mut calls = Vec::new();
            let mut count = 0;
            while !stop.load(atomic::Ordering::Relaxed) && count < 400 {
                let key = uuid::Uuid::now_v7().to_string();
                let seed = seed ^ (lane << 32) ^ count;
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
        calls.extend(sender.await.expect("a sender ends"));
    }
    judge(seed, &deployment, &calls);
}

fn judge(seed: u64, deployment: &deployment::Deployment, calls: &[history::Call]) {
    let mut ran = 0;
    for calls in calls.chunk_by(|one, two| one.key == two.key) {
        let key = &calls[0].key;
        let executions = deployment.charges(key);
        ran += executions;
        let receipt = service::receipt(key.as_bytes());
        let wrong = history::check(calls, executions, &receipt);
        assert!(wrong.is_empty(), "seed {seed}: {}", wrong.join("\n"));
    }
    println!("seed {seed}: {} calls, {ran} executions", calls.len());
    assert!(ran > 0, "seed {seed}: nothing ran, so nothing was tested");
}

/// Guards against a second run when the daemon that granted a key is killed and restarted empty.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_once_while_daemons_are_killed() {
    run(1, &[Failure::Kill(0), Failure::Kill(1), Failure::Kill(3)]).await;
}

/// Guards against a second run by a daemon that wakes up and still takes itself for the primary.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_once_while_daemons_are_paused() {
    run(
        2,
        &[Failure::Pause(0), Failure::Pause(3), Failure::Pause(1)],
    )
    .await;
}

/// Guards against a second run when answers of the log or of the service are lost.
#[tokio::test(flavor = "multi_thread")]
async fn keys_run_once_while_the_log_fails() {
    let failures = [
        Failure::LogOutage,
        Failure::ServiceReset,
        Failure::LostAnswers,
        Failure::Kill(2),
        Failure::LogOutage,
    ];
    run(3, &failures).await;
}
