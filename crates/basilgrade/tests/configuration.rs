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

/// Returns the published configuration with `customer` as an additional customer.
fn variant(deployment: &deployment::Deployment, customer: &str) -> String {
    let text = deployment.configuration();
    format!("{text}[customer {customer}]\nrate = 1/s\nburst = 1\n")
}

/// Returns the revision and the text of the configuration in force at the daemon with the admin
/// address `address`.
async fn configuration_in_force(address: net::SocketAddr) -> (u64, String) {
    let in_force = operator::with_client(
        address,
        |client| async move { client.configuration().await },
    )
    .await;
    let in_force = in_force
        .expect("the daemon answers the operator")
        .expect("the daemon has a configuration");
    (in_force.revision.0, in_force.text)
}

/// Guards against two concurrent publications on the same base that both report success, and
/// against daemons that put different configurations in force.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_publications_put_one_configuration_in_force() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let address = deployment.platform.server.address;
    let mut base = revision::Revision(1);
    for round in 0..4 {
        let publishers = ["north", "south"].map(|name| {
            let text = variant(&deployment, &format!("{name}-{round}"));
            let deployment =
                config::parse(&text, "variant").expect("the changed configuration is valid");
            tokio::spawn(async move {
                let log = http::HttpLog::new(address, http::Settings::default());
                let outcome = publish::publish(&log, &deployment, Some(base)).await;
                (publish::canonical(&deployment), outcome)
            })
        });

        let mut winners = Vec::new();
        for publisher in publishers {
            let (text, outcome) = publisher.await.expect("the publishing task does not panic");
            match outcome {
                Ok(Published::InForce(revision)) => winners.push((revision, text)),
                Err(PublishError::Lost(revision)) => assert_eq!(revision, base.next()),
                other => panic!("round {round}: {other:?}"),
            }
        }

        assert_eq!(winners.len(), 1, "round {round}");
        let (revision, text) = winners.remove(0);
        assert_eq!(revision, base.next());
        base = revision;
        deployment
            .wait_for_status(|status| status.revision == base)
            .await;
        for daemon in &deployment.daemons {
            let in_force = configuration_in_force(daemon.admin_address).await;
            let text = text
                .as_ref()
                .expect("the configuration has a canonical text");
            assert_eq!((in_force.0, &in_force.1), (base.0, text), "{}", daemon.name);
        }
    }
}

/// Incarnation and revision that a daemon reported at one time.
type Sample = (incarnation::Incarnation, revision::Revision);

/// Polls the revision of the daemon with the admin address `address` until `stop` is set.
async fn observe(address: net::SocketAddr, stop: sync::Arc<atomic::AtomicBool>) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        if let Ok(status) = operator::status(address).await {
            samples.push((status.incarnation, status.revision));
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    samples
}

/// Guards against a daemon process that reverts to an older revision while daemons restart and the
/// log is down, is slow, loses answers, has expired old records or holds a stale publication.
#[tokio::test(flavor = "multi_thread")]
async fn revision_never_decreases_within_an_incarnation() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let observers: Vec<_> = deployment
        .daemons
        .iter()
        .map(|daemon| tokio::spawn(observe(daemon.admin_address, sync::Arc::clone(&stop))))
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
        // A stale publication: its base revision is no longer in force.
        deployment::publish(&deployment.platform, base - 1, &text);
        // A daemon that starts from now on cannot read the record before the newest.
        deployment.platform.expire("config", base);
        let killed = round % deployment.daemons.len();
        deployment.daemons[killed].kill();
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        deployment.daemons[killed].start();
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        deployment.platform.log_faults.set(fault::Fault::None);
        let published = revision::Revision(base + 1);
        deployment
            .wait_for_status(|status| status.revision >= published)
            .await;
    }
    stop.store(true, atomic::Ordering::Relaxed);

    for (observer, daemon) in observers.into_iter().zip(&deployment.daemons) {
        let samples = observer.await.expect("the observing task does not panic");
        assert!(!samples.is_empty(), "{}", daemon.name);
        let decrease = samples
            .windows(2)
            .find(|pair| pair[0].0 == pair[1].0 && pair[0].1 > pair[1].1);
        assert_eq!(decrease, None, "{}", daemon.name);
    }
}

/// Guards against a daemon that serves an old revision, or reports ready without a configuration,
/// because the log cannot be read when the daemon starts.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_started_during_a_log_outage_adopts_the_highest_peer_revision() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    deployment::publish(&deployment.platform, 1, &variant(&deployment, "second"));
    let second = revision::Revision(2);
    deployment
        .wait_for_status(|status| status.revision == second)
        .await;
    deployment.platform.log_faults.set(fault::Fault::Hang);
    let (address, admin) = (
        deployment.daemons[0].caller_address,
        deployment.daemons[0].admin_address,
    );

    deployment.daemons[0].kill();
    deployment.daemons[0].start();
    deployment::wait_until(|| is_ready(address)).await;
    let joined = operator::status(admin)
        .await
        .expect("the daemon reports its status");
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    deployment.daemons[0].start();
    deployment::wait_until(|| async { caller::get(address, "/healthz").await.is_ok() }).await;
    let mut was_ready = false;
    for _ in 0..60 {
        was_ready |= is_ready(address).await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    deployment.platform.log_faults.set(fault::Fault::None);

    assert_eq!(joined.revision, second);
    assert!(
        !was_ready,
        "the daemon reported ready although neither the log nor a peer could provide a revision"
    );
    deployment::wait_until(|| is_ready(address)).await;
    let last = operator::status(admin)
        .await
        .expect("the daemon reports its status");
    assert_eq!(last.revision, second);
}

async fn is_ready(address: net::SocketAddr) -> bool {
    let response = caller::get(address, "/readyz").await;
    response.is_ok_and(|response| response.status == 200)
}
