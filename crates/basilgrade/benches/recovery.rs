//! What callers notice of a failure: refusals, unclear outcomes and the time until both end.
//!
//! Callers send pipeline requests and charges to five daemons in two failure domains. Requests that
//! were sent to the failed daemon itself are counted apart, as the balancer takes some time to send
//! them elsewhere.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use basilgrade_standins::caller;
use basilgrade_standins::fault;
use basilgrade_types::clock;
use support::deployment;

/// The daemon that fails.
const FAILED: usize = 0;

/// Time before and after each failure.
const BEFORE: time::Duration = time::Duration::from_secs(3);
const AFTER: time::Duration = time::Duration::from_secs(12);

/// Time between two charges of one sender.
const CHARGE_PACE: time::Duration = time::Duration::from_millis(20);

/// Time between two pipeline requests of one sender. A generation takes 0.8 s and the two engines
/// run 128 at once, so five senders at this pace use two thirds of them.
const PIPELINE_PACE: time::Duration = time::Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Charge,
    Pipeline,
}

#[derive(Clone, Debug)]
struct Outcome {
    kind: Kind,
    daemon: usize,
    sent: time::Instant,
    verdict: String,
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    Kill,
    LogOutage,
    Pause,
    SlowUpstream,
    Terminate,
    UpstreamDead,
}

const FAILURES: [Failure; 6] = [
    Failure::Kill,
    Failure::Pause,
    Failure::Terminate,
    Failure::LogOutage,
    Failure::UpstreamDead,
    Failure::SlowUpstream,
];

#[tokio::main]
async fn main() {
    println!(
        "failure       kind      sent   ran  not-run  may-have-run  broken  last_s  at_failed_daemon"
    );
    for failure in FAILURES {
        let mut deployment = deployment::start(&["a", "a", "a", "b", "b"]).await;
        let outcomes = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut senders = Vec::new();
        for (daemon, process) in deployment.daemons.iter().enumerate() {
            for kind in [Kind::Charge, Kind::Pipeline] {
                let sender = Sender {
                    address: process.caller,
                    daemon,
                    kind,
                    outcomes: sync::Arc::clone(&outcomes),
                    stop: sync::Arc::clone(&stop),
                };
                senders.push(tokio::spawn(sender.run()));
            }
        }
        tokio::time::sleep(BEFORE).await;
        let began = time::Instant::now();
        inject(&mut deployment, failure).await;
        tokio::time::sleep(AFTER.saturating_sub(began.elapsed())).await;
        stop.store(true, atomic::Ordering::Relaxed);
        for sender in senders {
            sender.await.expect("a sender ends");
        }
        let outcomes = outcomes.lock().expect("no sender failed").clone();
        for kind in [Kind::Charge, Kind::Pipeline] {
            report(failure, kind, began, &outcomes);
        }
    }
}

async fn inject(deployment: &mut deployment::Deployment, failure: Failure) {
    match failure {
        Failure::Kill => deployment.daemons[FAILED].kill(),
        Failure::Terminate => deployment.daemons[FAILED].signal("TERM"),
        Failure::Pause => {
            deployment.daemons[FAILED].signal("STOP");
            tokio::time::sleep(time::Duration::from_secs(5)).await;
            deployment.daemons[FAILED].signal("CONT");
        }
        Failure::LogOutage => {
            deployment.platform.log_faults.set(fault::Fault::Hang);
            tokio::time::sleep(time::Duration::from_secs(10)).await;
            deployment.platform.log_faults.set(fault::Fault::None);
        }
        Failure::UpstreamDead => {
            deployment.services[0].set_fault(fault::Fault::Dead).await;
            deployment.encoders[0].set_fault(fault::Fault::Dead).await;
        }
        Failure::SlowUpstream => {
            let slow = fault::Fault::Slow(clock::Millis(500));
            deployment.services[0].set_fault(slow.clone()).await;
            deployment.encoders[0].set_fault(slow).await;
        }
    }
}

struct Sender {
    address: net::SocketAddr,
    daemon: usize,
    kind: Kind,
    outcomes: sync::Arc<sync::Mutex<Vec<Outcome>>>,
    stop: sync::Arc<atomic::AtomicBool>,
}

impl Sender {
    async fn run(self) {
        let pace = match self.kind {
            Kind::Charge => CHARGE_PACE,
            Kind::Pipeline => PIPELINE_PACE,
        };
        let mut pending = Vec::new();
        while !self.stop.load(atomic::Ordering::Relaxed) {
            let (address, kind, daemon) = (self.address, self.kind, self.daemon);
            let outcomes = sync::Arc::clone(&self.outcomes);
            pending.push(tokio::spawn(async move {
                let sent = time::Instant::now();
                let verdict = send(address, kind).await;
                let mut outcomes = outcomes.lock().expect("no sender failed");
                outcomes.push(Outcome {
                    kind,
                    daemon,
                    sent,
                    verdict,
                });
            }));
            tokio::time::sleep(pace).await;
        }
        for request in pending {
            request.await.expect("a request ends");
        }
    }
}

async fn send(address: net::SocketAddr, kind: Kind) -> String {
    let customer = deployment::CUSTOMER;
    let response = match kind {
        Kind::Charge => {
            let key = uuid::Uuid::now_v7().to_string();
            let headers = [customer, ("idempotency-key", key.as_str())];
            caller::post(address, "/v1/services/ticket-sales/charge", &headers, &key).await
        }
        Kind::Pipeline => {
            caller::post(address, "/v1/pipelines/seating", &[customer], "Where?").await
        }
    };
    response.map_or_else(|_| "broken".to_owned(), |response| response.verdict)
}

fn report(failure: Failure, kind: Kind, began: time::Instant, outcomes: &[Outcome]) {
    let fails_itself = matches!(failure, Failure::Kill | Failure::Pause | Failure::Terminate);
    let after = outcomes
        .iter()
        .filter(|outcome| outcome.kind == kind && outcome.sent >= began);
    let (failed, others): (Vec<_>, Vec<_>) =
        after.partition(|outcome| fails_itself && outcome.daemon == FAILED);
    let count = |verdict: &str| {
        let with = others.iter().filter(|outcome| outcome.verdict == verdict);
        with.count()
    };
    let last = others
        .iter()
        .filter(|outcome| outcome.verdict != "ran")
        .map(|outcome| outcome.sent.duration_since(began).as_secs_f64())
        .fold(0.0, f64::max);
    let unserved = failed
        .iter()
        .filter(|outcome| outcome.verdict != "ran")
        .count();
    println!(
        "{:<13} {:<8} {:>5} {:>5} {:>8} {:>13} {:>7} {last:>7.2} {unserved:>10}/{}",
        format!("{failure:?}"),
        format!("{kind:?}"),
        others.len(),
        count("ran"),
        count("not-run"),
        count("may-have-run"),
        count("broken"),
        failed.len(),
    );
}
