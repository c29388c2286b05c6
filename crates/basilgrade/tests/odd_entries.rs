//! Entries of another writer that cannot be read, among those that the store keeps.

mod edge_support;

use edge_support::client;
use edge_support::deployment;

/// Sends `count` requests to every daemon, all of which must be served.
async fn assert_served(deployment: &deployment::Deployment, phase: &str, count: usize) {
    for daemon in &deployment.daemons {
        for number in 0..count {
            let id = format!("{phase}-{}-{number}", daemon.name);
            let request = client::request(&id, "POST", "/once/charge");
            let answer = client::send(daemon.caller_address, request, "").await;
            let answer = answer.expect("the daemon answers");
            assert_eq!(answer.status, 200, "{id}: {}", answer.body);
        }
    }
}

/// Guards against a daemon that cannot read on after a page of the newest records, because the key at
/// its end is no name.
#[tokio::test(flavor = "multi_thread")]
async fn odd_key_at_the_end_of_a_page_hides_no_later_upstream() {
    let mut deployment = deployment::start(&["a"]).await;
    deployment.store.limit_pages(1);
    for key in ["0 0", "0&after=z", "0%zz", "0\u{1}", "0#", "0\u{e9}"] {
        deployment.store.put("keyed.servers", key, "{}");
    }

    // No other daemon can tell what the store holds.
    deployment.daemons.clear();
    deployment.add_daemon("vm-new", "b");
    deployment.wait_until_ready(0).await;

    assert_served(&deployment, "paged", 1).await;
}
