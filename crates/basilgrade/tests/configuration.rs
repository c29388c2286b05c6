//! Publication and dissemination of configurations among daemon processes.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use basilctl::publish;
use basilctl::publish::error::PublishError;
use basilctl::publish::published::Published;
use basilgrade_config as config;
use basilgrade_platform::http;
use basilgrade_standins::caller;
use basilgrade_standins::fault;
use basilgrade_types::clock;
use basilgrade_types::incarnation;
use basilgrade_types::revision;
use support::deployment;
use support::operator;

/// A configuration that differs from the others by one customer.
fn variant(deployment: &deployment::Deployment, customer: &str) -> String {
    let text = deployment.configuration();
    format!("{text}[customer {customer}]\nrate = 1/s\nburst = 1\n")
}

async fn configuration(address: net::SocketAddr) -> (u64, String) {
    let held = operator::ask(
        address,
        |client| async move { client.configuration().await },
    )
    .await;
    let held = held.expect("the daemon answers").expect("a configuration");
    (held.revision.0, held.text)
}

/// Guards against two publishers that both take themselves for the winner, and against daemons
/// that put different texts in force.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_publishers_wins_everywhere() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let address = deployment.platform.server.address;
    let mut base = revision::Revision(1);
    for round in 0..4 {
        let publishers = ["north", "south"].map(|name| {
            let text = variant(&deployment, &format!("{name}-{round}"));
            let deployment = config::parse(&text, "variant").expect("the variant is valid");
            tokio::spawn(async move {
                let log = http::HttpLog::new(address, http::Settings::default());
                let outcome = publish::publish(&log, &deployment, Some(base)).await;
                (publish::canonical(&deployment), outcome)
            })
        });

        let mut won = Vec::new();
        for publisher in publishers {
            let (text, outcome) = publisher.await.expect("the publisher ends");
            match outcome {
                Ok(Published::InForce(revision)) => won.push((revision, text)),
                Err(PublishError::Lost(revision)) => assert_eq!(revision, base.next()),
                other => panic!("round {round}: {other:?}"),
            }
        }

        assert_eq!(won.len(), 1, "round {round}");
        let (revision, text) = won.remove(0);
        assert_eq!(revision, base.next());
        base = revision;
        deployment.reported(|status| status.revision == base).await;
        for daemon in &deployment.daemons {
            let held = configuration(daemon.admin).await;
            let text = text.as_ref().expect("the text can be published");
            assert_eq!((held.0, &held.1), (base.0, text), "{}", daemon.name);
        }
    }
}

/// What a daemon reported, in order.
type Sample = (incarnation::Incarnation, revision::Revision);

/// Asks a daemon for its revision again and again until `stop`.
async fn sample(address: net::SocketAddr, stop: sync::Arc<atomic::AtomicBool>) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        if let Ok(status) = operator::status(address).await {
            samples.push((status.incarnation, status.revision));
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    samples
}

/// Guards against a process that reverts to an older revision while daemons restart and the log is
/// down, slow, loses answers, has dropped its old records or holds a late publication.
#[tokio::test(flavor = "multi_thread")]
async fn revisions_never_fall() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let observers: Vec<_> = deployment
        .daemons
        .iter()
        .map(|daemon| tokio::spawn(sample(daemon.admin, sync::Arc::clone(&stop))))
        .collect();
    let faults = [
        fault::Fault::Hang,
        fault::Fault::Slow(clock::Millis(400)),
        fault::Fault::RunReset,
        fault::Fault::Reset,
        fault::Fault::None,
    ];

    for (round, fault) in faults.into_iter().enumerate() {
        let base = round as u64 + 1;
        let text = variant(&deployment, &format!("round-{round}"));
        deployment.platform.log_faults.set(fault);
        deployment::publish(&deployment.platform, base, &text);
        // Comes late, against a base that is no longer in force.
        deployment::publish(&deployment.platform, base - 1, &text);
        // The record before the newest is gone for a daemon that starts from now on.
        deployment.platform.expire("config", base);
        let killed = round % deployment.daemons.len();
        deployment.daemons[killed].kill();
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        deployment.daemons[killed].start();
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        deployment.platform.log_faults.set(fault::Fault::None);
        let due = revision::Revision(base + 1);
        deployment.reported(|status| status.revision >= due).await;
    }
    stop.store(true, atomic::Ordering::Relaxed);

    for (observer, daemon) in observers.into_iter().zip(&deployment.daemons) {
        let samples = observer.await.expect("the observer ends");
        assert!(!samples.is_empty(), "{}", daemon.name);
        let fallen = samples
            .windows(2)
            .find(|pair| pair[0].0 == pair[1].0 && pair[0].1 > pair[1].1);
        assert_eq!(fallen, None, "{}", daemon.name);
    }
}

/// Guards against a daemon that serves an old revision, or reports ready without any, because the
/// log cannot be read when it starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_without_log_takes_the_highest_revision_of_the_peers() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    deployment::publish(&deployment.platform, 1, &variant(&deployment, "second"));
    let second = revision::Revision(2);
    deployment
        .reported(|status| status.revision == second)
        .await;
    deployment.platform.log_faults.set(fault::Fault::Hang);
    let (address, admin) = (deployment.daemons[0].caller, deployment.daemons[0].admin);

    deployment.daemons[0].kill();
    deployment.daemons[0].start();
    deployment::until(|| ready(address)).await;
    let joined = operator::status(admin).await.expect("the daemon answers");
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    deployment.daemons[0].start();
    deployment::until(|| async { caller::get(address, "/healthz").await.is_ok() }).await;
    let mut early = false;
    for _ in 0..60 {
        early |= ready(address).await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    deployment.platform.log_faults.set(fault::Fault::None);

    assert_eq!(joined.revision, second);
    assert!(!early, "ready although nothing can have given a revision");
    deployment::until(|| ready(address)).await;
    let last = operator::status(admin).await.expect("the daemon answers");
    assert_eq!(last.revision, second);
}

async fn ready(address: net::SocketAddr) -> bool {
    let response = caller::get(address, "/readyz").await;
    response.is_ok_and(|response| response.status == 200)
}
