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
