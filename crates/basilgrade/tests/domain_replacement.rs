//! Replacement of all VMs of a failure domain while callers send requests.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use basilgrade_admin::status::slot;
use basilgrade_standins::caller;
use basilgrade_standins::service;
use support::deployment;
use support::history;
use support::operator;

const CHARGE: &str = "/v1/services/ticket-sales/charge";
const PIPELINE: &str = "/v1/pipelines/seating";

/// Number of slots into which the key space is divided.
const SLOT_COUNT: usize = 64;

/// Signal that ends the daemon of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Departure {
    /// SIGKILL ends the daemon without a graceful shutdown.
    Kill,
    /// SIGTERM makes the daemon shut down gracefully and exit.
    Terminate,
}

/// One request that reached a daemon, with its outcome.
#[derive(Debug)]
enum Sent {
    /// A charge with an idempotency key.
    Charge(history::Call),
    /// A pipeline request, with the index of the daemon that received it.
    Question(usize, Result<caller::Response, String>),
}

/// The daemons that the platform's load balancer sends to: index in the deployment and address.
type Balancer = sync::Arc<sync::Mutex<Vec<(usize, net::SocketAddr)>>>;

/// Sends requests to the daemons of the balancer in turn until `stop` is set. When a connection is
/// refused, tries the next daemon, as a load balancer does.
async fn send_requests(
    balancer: Balancer,
    first_turn: usize,
    stop: sync::Arc<atomic::AtomicBool>,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut turn = first_turn;
    while !stop.load(atomic::Ordering::Relaxed) {
        turn += 1;
        let (daemon, address) = {
            let daemons = balancer.lock().expect("no holder of the lock panics");
            daemons[turn % daemons.len()]
        };
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [deployment::CUSTOMER, ("idempotency-key", key.as_str())];
        let is_charge = !turn.is_multiple_of(4);
        let response = if is_charge {
            caller::post(address, CHARGE, &headers, &key).await
        } else {
            caller::post(address, PIPELINE, &headers[..1], "Who sits there?").await
        };
        let is_refused = |error: &String| error.contains("refused");
        if response.as_ref().is_err_and(is_refused) {
            continue;
        }
        sent.push(if is_charge {
            Sent::Charge(history::Call {
                key,
                daemon,
                response,
            })
        } else {
            Sent::Question(daemon, response)
        });
    }
    sent
}

/// Waits until every slot has a primary and each slot with its primary in domain `a` has a backup.
async fn wait_until_paired(deployment: &mut deployment::Deployment) {
    let mut running = Vec::new();
    for daemon in &mut deployment.daemons {
        if daemon.is_running() {
            running.push(daemon.admin_address);
        }
    }
    deployment::wait_until(|| async {
        let (mut primaries, mut domain_primaries, mut domain_backups) = (0, 0, 0);
        for address in &running {
            let Ok(status) = operator::status(*address).await else {
                return false;
            };
            let count = |role| status.slots.iter().filter(|held| held.role == role).count();
            primaries += count(slot::Role::Primary);
            if status.domain.as_str() == "a" {
                domain_primaries += count(slot::Role::Primary);
                domain_backups += count(slot::Role::Backup);
            }
        }
        primaries == SLOT_COUNT && domain_primaries == domain_backups
    })
    .await;
}

/// Replaces the daemons of domain `a` one after the other while callers send, and checks all
/// requests.
async fn replace(departure: Departure) {
    let mut deployment = deployment::start(&["a", "a", "a", "b"]).await;
    let balancer: Balancer = sync::Arc::default();
    let add = |index: usize, deployment: &deployment::Deployment| {
        let entry = (index, deployment.daemons[index].caller_address);
        balancer
            .lock()
            .expect("no holder of the lock panics")
            .push(entry);
    };
    for index in 0..4 {
        add(index, &deployment);
    }
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let senders: Vec<_> = (0..8)
        .map(|first_turn| {
            let balancer = sync::Arc::clone(&balancer);
            tokio::spawn(send_requests(balancer, first_turn, sync::Arc::clone(&stop)))
        })
        .collect();

    let mut killed = Vec::new();
    for old in 0..3 {
        let new = deployment.add_daemon(&format!("next-{old}"), "a");
        deployment.wait_until_ready().await;
        add(new, &deployment);
        let remove_from_balancer = || {
            let mut daemons = balancer.lock().expect("no holder of the lock panics");
            daemons.retain(|(index, _)| *index != old);
        };
        match departure {
            Departure::Terminate => {
                remove_from_balancer();
                deployment.daemons[old].signal("TERM");
                assert_eq!(deployment.daemons[old].wait_for_exit().await, Some(0));
            }
            Departure::Kill => {
                deployment.daemons[old].kill();
                killed.push(old);
                remove_from_balancer();
            }
        }
        // If the next daemon died before the slots have a primary and a backup again, both copies
        // of a slot could be lost.
        wait_until_paired(&mut deployment).await;
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    let last = deployment.daemons.len() - 1;
    let address = deployment.daemons[last].caller_address;
    let key = deployment::mint_key(address).await;
    deployment::wait_until(|| async {
        let headers = [deployment::CUSTOMER, ("idempotency-key", key.as_str())];
        let response = caller::post(address, CHARGE, &headers, &key).await;
        let ran = response.is_ok_and(|response| response.verdict == "ran");
        ran && deployment.count_charges(&key) == 1
    })
    .await;
    stop.store(true, atomic::Ordering::Relaxed);

    let mut sent = Vec::new();
    for sender in senders {
        sent.extend(sender.await.expect("the sending task does not panic"));
    }
    assert_outcomes(&deployment, departure, &killed, &sent);
}

/// Panics if a key ran twice, a verdict is wrong, an idempotent request failed, or a request to a
/// daemon that was not killed was cut off.
fn assert_outcomes(
    deployment: &deployment::Deployment,
    departure: Departure,
    killed: &[usize],
    sent: &[Sent],
) {
    let (mut ran, mut refused, mut interrupted) = (0, 0, 0);
    for sent in sent {
        let (daemon, response) = match sent {
            Sent::Charge(call) => {
                let receipt = service::receipt(call.key.as_bytes());
                let calls = std::slice::from_ref(call);
                let violations =
                    history::find_violations(calls, deployment.count_charges(&call.key), &receipt);
                assert!(
                    violations.is_empty(),
                    "{departure:?}: {}",
                    violations.join("\n")
                );
                (call.daemon, &call.response)
            }
            Sent::Question(daemon, response) => (*daemon, response),
        };
        match response.as_ref().map(|response| &response.verdict[..]) {
            Ok("ran") => ran += 1,
            Ok("not-run") => {
                let is_charge = matches!(sent, Sent::Charge(_));
                assert!(
                    is_charge,
                    "{departure:?}: an idempotent request got the verdict `not-run`: {sent:?}"
                );
                refused += 1;
            }
            _ => {
                let was_killed = killed.contains(&daemon);
                assert!(
                    was_killed,
                    "{departure:?}: a request to a daemon that was not killed was cut off: {sent:?}"
                );
                interrupted += 1;
            }
        }
    }
    println!("{departure:?}: {ran} ran, {refused} not run, {interrupted} interrupted");
    assert!(ran > 0, "no request ran, so the test checked nothing");
}

/// Guards against a rolling replacement that cuts off a request, runs a key twice or leaves the
/// failure domain unable to mint keys.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_cuts_off_no_request() {
    replace(Departure::Terminate).await;
}

/// Guards against a killed VM that interrupts requests to other VMs, and against claims that are
/// lost when all VMs of a failure domain are killed one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn killed_vm_interrupts_only_its_own_requests() {
    replace(Departure::Kill).await;
}
