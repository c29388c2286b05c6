//! A store that comes back from an older copy, so that offsets go back.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;

/// Status of the answer of the daemon with this index to a request with the API key `key`.
async fn status(deployment: &deployment::Deployment, daemon: usize, key: &str) -> u16 {
    let address = deployment.daemons[daemon].caller_address;
    let request = client::request_with_key("request", "GET", "/safe/x", key);
    let answer = client::send(address, request, "").await;
    answer.expect("the daemon answers").status
}

/// Waits until every daemon serves requests with the API key `key`.
async fn wait_until_served(deployment: &deployment::Deployment, key: &str) {
    for daemon in 0..deployment.daemons.len() {
        deployment::wait_until("the configuration is in force", || async {
            status(deployment, daemon, key).await == 200
        })
        .await;
    }
}

/// Guards against daemons that ignore all that the store holds after it was restored, because its
/// offsets are lower than before, and against daemons that take an older configuration over.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_take_effect_after_the_store_was_restored() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    let copy = deployment.store.copy();
    for version in 2..6 {
        deployment.publish(&deployment::configuration(version, &["key-one", "key-two"]));
    }
    wait_until_served(&deployment, "key-two").await;

    deployment.store.restore(&copy);
    let restored_at = time::Instant::now();
    while restored_at.elapsed() < time::Duration::from_secs(3) {
        for daemon in 0..3 {
            assert_eq!(status(&deployment, daemon, "key-two").await, 200);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    deployment.publish(&deployment::configuration(9, &["key-one", "key-three"]));

    wait_until_served(&deployment, "key-three").await;
}

/// Guards against a second restore that is taken for the first one, and against records that were
/// read between the two.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_take_effect_after_two_restores_in_a_row() {
    let deployment = deployment::start(&["a", "b"]).await;
    let copy = deployment.store.copy();
    deployment.publish(&deployment::configuration(2, &["key-one", "key-two"]));
    wait_until_served(&deployment, "key-two").await;

    for version in [5, 7] {
        deployment.store.restore(&copy);
        // The same offset holds another record after each restore.
        let key = format!("key-{version}");
        deployment.publish(&deployment::configuration(version, &["key-two", &key]));
        wait_until_served(&deployment, &key).await;
        wait_until_served(&deployment, "key-two").await;
    }
}

/// Guards against a daemon that starts while the store holds an older configuration, and serves by
/// it although the other daemons have a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn starting_daemon_learns_the_configuration_that_the_store_has_lost() {
    let mut deployment = deployment::start(&["a", "b"]).await;
    let copy = deployment.store.copy();
    deployment.publish(&deployment::configuration(2, &["key-one", "key-two"]));
    wait_until_served(&deployment, "key-two").await;
    deployment.store.restore(&copy);

    for domain in ["a", "c"] {
        deployment.add_daemon(&format!("vm-new-{domain}"), domain);
        deployment
            .wait_until_ready(deployment.daemons.len() - 1)
            .await;
    }

    wait_until_served(&deployment, "key-two").await;
}

/// Guards against requests to an upstream that had left before the copy was taken over, and against
/// losing one that came after the copy.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_are_known_after_the_store_was_restored() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    deployment.register_again("desk", 0, "ready", 7);
    let copy = deployment.store.copy();
    deployment.add_upstream("desk", 2).await;
    deployment.register_again("desk", 0, "draining", 8);
    deployment.register_again("desk", 1, "draining", 8);
    deployment.store.put("keyed.servers", "desk-1", "");
    let send = |id: String| {
        let addresses: Vec<_> = deployment
            .daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect();
        async move {
            for address in addresses {
                let request = client::request(&id, "GET", "/safe/x");
                let answer = client::send(address, request, "").await;
                let answer = answer.expect("the daemon answers");
                assert_eq!(answer.status, 200, "{id}: {}", answer.body);
            }
        }
    };
    deployment::wait_until("only the new upstream gets requests", || async {
        send("before".to_owned()).await;
        let runs = |number| deployment.upstream(&format!("desk-{number}")).runs().len();
        let old = runs(0) + runs(1);
        send("again".to_owned()).await;
        runs(0) + runs(1) == old
    })
    .await;

    deployment.store.restore(&copy);
    let restored_at = time::Instant::now();
    let mut number = 0;
    while restored_at.elapsed() < time::Duration::from_secs(2) {
        send(format!("after-{number}")).await;
        number += 1;
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }

    for upstream in ["desk-0", "desk-1"] {
        let runs = deployment.upstream(upstream).runs();
        let late = runs.iter().filter(|run| run.request.starts_with("after"));
        assert_eq!(late.count(), 0, "`{upstream}` got requests");
    }
}
