//! Replacement of all VMs of a failure domain while callers send.

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

/// Slots of the key space.
const SLOTS: usize = 64;

/// How a VM goes away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Departure {
    Kill,
    Terminate,
}

/// One call that reached a daemon.
#[derive(Debug)]
enum Sent {
    Charge(history::Call),
    Question(usize, Result<caller::Response, String>),
}

/// The daemons that the platform's balancer sends to, by their position in the deployment.
type Balancer = sync::Arc<sync::Mutex<Vec<(usize, net::SocketAddr)>>>;

/// Sends to the balancer's daemons until `stop`. A connection that is refused goes to the next
/// daemon, as a balancer would do.
async fn send(balancer: Balancer, lane: usize, stop: sync::Arc<atomic::AtomicBool>) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut turn = lane;
    while !stop.load(atomic::Ordering::Relaxed) {
        turn += 1;
        let (daemon, address) = {
            let daemons = balancer.lock().expect("no caller panics with the list");
            daemons[turn % daemons.len()]
        };
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [deployment::CUSTOMER, ("idempotency-key", key.as_str())];
        let charge = !turn.is_multiple_of(4);
        let response = if charge {
            caller::post(address, CHARGE, &headers, &key).await
        } else {
            caller::post(address, PIPELINE, &headers[..1], "Who sits there?").await
        };
        let refused = |reason: &String| reason.contains("refused");
        if response.as_ref().is_err_and(refused) {
            continue;
        }
        sent.push(if charge {
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

/// Waits until the running daemons of domain `a` hold every slot that is theirs in pairs.
async fn paired(deployment: &mut deployment::Deployment) {
    let mut running = Vec::new();
    for daemon in &mut deployment.daemons {
        if daemon.is_running() {
            running.push(daemon.admin);
        }
    }
    deployment::until(|| async {
        let (mut primaries, mut near, mut backups) = (0, 0, 0);
        for address in &running {
            let Ok(status) = operator::status(*address).await else {
                return false;
            };
            let count = |role| status.slots.iter().filter(|held| held.role == role).count();
            primaries += count(slot::Role::Primary);
            if status.domain.as_str() == "a" {
                near += count(slot::Role::Primary);
                backups += count(slot::Role::Backup);
            }
        }
        primaries == SLOTS && near == backups
    })
    .await;
}

/// Replaces all daemons of domain `a` one after another and judges what the callers saw.
async fn replace(departure: Departure) {
    let mut deployment = deployment::start(&["a", "a", "a", "b"]).await;
    let balancer: Balancer = sync::Arc::default();
    let add = |index: usize, deployment: &deployment::Deployment| {
        let entry = (index, deployment.daemons[index].caller);
        balancer.lock().expect("no caller panics").push(entry);
    };
    for index in 0..4 {
        add(index, &deployment);
    }
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let senders: Vec<_> = (0..8)
        .map(|lane| {
            let balancer = sync::Arc::clone(&balancer);
            tokio::spawn(send(balancer, lane, sync::Arc::clone(&stop)))
        })
        .collect();

    let mut killed = Vec::new();
    for old in 0..3 {
        let new = deployment.add(&format!("next-{old}"), "a");
        deployment.settled().await;
        add(new, &deployment);
        let leave = || {
            let mut daemons = balancer.lock().expect("no caller panics");
            daemons.retain(|(index, _)| *index != old);
        };
        match departure {
            Departure::Terminate => {
                leave();
                deployment.daemons[old].signal("TERM");
                assert_eq!(deployment.daemons[old].ended().await, Some(0));
            }
            Departure::Kill => {
                deployment.daemons[old].kill();
                killed.push(old);
                leave();
            }
        }
        // Both members of a pair would be lost if the next one died before the pair is whole.
        paired(&mut deployment).await;
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    let last = deployment.daemons.len() - 1;
    let address = deployment.daemons[last].caller;
    let key = deployment::mint(address).await;
    deployment::until(|| async {
        let headers = [deployment::CUSTOMER, ("idempotency-key", key.as_str())];
        let response = caller::post(address, CHARGE, &headers, &key).await;
        let ran = response.is_ok_and(|response| response.verdict == "ran");
        ran && deployment.charges(&key) == 1
    })
    .await;
    stop.store(true, atomic::Ordering::Relaxed);

    let mut sent = Vec::new();
    for sender in senders {
        sent.extend(sender.await.expect("the sender ends"));
    }
    judge(&deployment, departure, &killed, &sent);
}

/// Fails when a key ran twice, a verdict is wrong, or a call outside the killed VMs was cut off.
fn judge(
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
                let wrong = history::check(calls, deployment.charges(&call.key), &receipt);
                assert!(wrong.is_empty(), "{departure:?}: {}", wrong.join("\n"));
                (call.daemon, &call.response)
            }
            Sent::Question(daemon, response) => (*daemon, response),
        };
        match response.as_ref().map(|response| &response.verdict[..]) {
            Ok("ran") => ran += 1,
            Ok("not-run") => {
                let charge = matches!(sent, Sent::Charge(_));
                assert!(
                    charge,
                    "{departure:?}: an idempotent request failed: {sent:?}"
                );
                refused += 1;
            }
            _ => {
                let died = killed.contains(&daemon);
                assert!(died, "{departure:?}: a request was cut off: {sent:?}");
                interrupted += 1;
            }
        }
    }
    println!("{departure:?}: {ran} ran, {refused} not run, {interrupted} interrupted");
    assert!(ran > 0, "nothing ran, so nothing was tested");
}

/// Guards against a request that is cut off, a key that runs twice, or a domain without keys after
/// a rolling replacement.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_domain_cuts_off_no_request() {
    replace(Departure::Terminate).await;
}

/// Guards against requests that are affected outside the VMs that die, and against claims that are
/// lost when all VMs of a domain are killed one after another.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_vm_interrupts_only_its_own_requests() {
    replace(Departure::Kill).await;
}
