//! Effect of failures on callers: refused requests, uncertain outcomes and the time until both end.
//!
//! Callers send pipeline requests and charges to five daemons in two failure domains. Requests that
//! were sent to the failed daemon itself are counted separately, as a load balancer takes some time
//! to send requests elsewhere.

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

/// Index of the daemon that fails.
const FAILED_DAEMON: usize = 0;

/// Time that callers send before the failure.
const TIME_BEFORE_FAILURE: time::Duration = time::Duration::from_secs(3);

/// Time that callers send from the start of the failure on.
const TIME_AFTER_FAILURE: time::Duration = time::Duration::from_secs(12);

/// Interval between two charges of one sender.
const CHARGE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Interval between two pipeline requests of one sender. A generation takes 0.8 s and the two
/// engines run 128 at once, so five senders at this interval use about two thirds of their
/// capacity.
const PIPELINE_INTERVAL: time::Duration = time::Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Charge,
    Pipeline,
}

#[derive(Clone, Debug)]
struct Outcome {
    kind: Kind,
    /// Index of the daemon that received the request.
    daemon: usize,
    sent: time::Instant,
    /// Verdict of the response, or `broken` if there was none.
    verdict: String,
}

#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Kills the daemon.
    Kill,
    /// Makes the log hang for 10 s.
    LogOutage,
    /// Pauses the daemon for 5 s.
    Pause,
    /// Makes one service and one encoder delay each call by 500 ms.
    SlowUpstream,
    /// Shuts the daemon down gracefully.
    Terminate,
    /// Makes one service and one encoder close and refuse all connections.
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
                    address: process.caller_address,
                    daemon,
                    kind,
                    outcomes: sync::Arc::clone(&outcomes),
                    stop: sync::Arc::clone(&stop),
                };
                senders.push(tokio::spawn(sender.run()));
            }
        }
        tokio::time::sleep(TIME_BEFORE_FAILURE).await;
        let failure_start = time::Instant::now();
        inject(&mut deployment, failure).await;
        tokio::time::sleep(TIME_AFTER_FAILURE.saturating_sub(failure_start.elapsed())).await;
        stop.store(true, atomic::Ordering::Relaxed);
        for sender in senders {
            sender.await.expect("the sending task does not panic");
        }
        let outcomes = outcomes
            .lock()
            .expect("no holder of the lock panics")
            .clone();
        for kind in [Kind::Charge, Kind::Pipeline] {
            report(failure, kind, failure_start, &outcomes);
        }
    }
}

/// Injects a failure; an outage or a pause is over when this returns.
async fn inject(deployment: &mut deployment::Deployment, failure: Failure) {
    match failure {
        Failure::Kill => deployment.daemons[FAILED_DAEMON].kill(),
        Failure::Terminate => deployment.daemons[FAILED_DAEMON].signal("TERM"),
        Failure::Pause => {
            deployment.daemons[FAILED_DAEMON].signal("STOP");
            tokio::time::sleep(time::Duration::from_secs(5)).await;
            deployment.daemons[FAILED_DAEMON].signal("CONT");
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

/// Sends requests of one kind to one daemon at a fixed interval.
struct Sender {
    address: net::SocketAddr,
    daemon: usize,
    kind: Kind,
    outcomes: sync::Arc<sync::Mutex<Vec<Outcome>>>,
    stop: sync::Arc<atomic::AtomicBool>,
}

impl Sender {
    async fn run(self) {
        let interval = match self.kind {
            Kind::Charge => CHARGE_INTERVAL,
            Kind::Pipeline => PIPELINE_INTERVAL,
        };
        let mut pending = Vec::new();
        while !self.stop.load(atomic::Ordering::Relaxed) {
            let (address, kind, daemon) = (self.address, self.kind, self.daemon);
            let outcomes = sync::Arc::clone(&self.outcomes);
            pending.push(tokio::spawn(async move {
                let sent = time::Instant::now();
                let verdict = send(address, kind).await;
                let mut outcomes = outcomes.lock().expect("no holder of the lock panics");
                outcomes.push(Outcome {
                    kind,
                    daemon,
                    sent,
                    verdict,
                });
            }));
            tokio::time::sleep(interval).await;
        }
        for request in pending {
            request.await.expect("the request task does not panic");
        }
    }
}

/// Sends a request and returns the verdict of the response, or `broken` if there is none.
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

/// Prints the outcomes of the requests of one kind that were sent after the start of the failure.
fn report(failure: Failure, kind: Kind, failure_start: time::Instant, outcomes: &[Outcome]) {
    let is_daemon_failure = matches!(failure, Failure::Kill | Failure::Pause | Failure::Terminate);
    let after = outcomes
        .iter()
        .filter(|outcome| outcome.kind == kind && outcome.sent >= failure_start);
    let (failed, others): (Vec<_>, Vec<_>) =
        after.partition(|outcome| is_daemon_failure && outcome.daemon == FAILED_DAEMON);
    let count = |verdict: &str| {
        let matching = others.iter().filter(|outcome| outcome.verdict == verdict);
        matching.count()
    };
    let last_s = others
        .iter()
        .filter(|outcome| outcome.verdict != "ran")
        .map(|outcome| outcome.sent.duration_since(failure_start).as_secs_f64())
        .fold(0.0, f64::max);
    let unserved = failed
        .iter()
        .filter(|outcome| outcome.verdict != "ran")
        .count();
    println!(
        "{:<13} {:<8} {:>5} {:>5} {:>8} {:>13} {:>7} {last_s:>7.2} {unserved:>10}/{}",
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
