//! Memory of a daemon whose upstreams send many bytes at once.

mod edge_support;

use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::endless_upstream;

/// Memory of the smallest VM.
const VM_MEMORY: u64 = 160_000_000;

async fn start(pool: &str, start: &'static str, pause_at: u64) -> deployment::Deployment {
    start_with(pool, start, "zzzzzzzz", pause_at).await
}

/// Starts a daemon whose route `/safe/` leads to a sound upstream, and all others to six upstreams
/// of `pool` that answer with `start` and `filler` without end, and pause before `pause_at` bytes.
async fn start_with(
    pool: &str,
    start: &'static str,
    filler: &'static str,
    pause_at: u64,
) -> deployment::Deployment {
    let sound = if pool == "desk" { "engine" } else { "desk" };
    let mut document: serde_json::Value =
        serde_json::from_str(&deployment::without_stages()).expect("the configuration is JSON");
    for route in document["routes"].as_array_mut().expect("a list") {
        if route["name"] == "safe" {
            route["service"] = sound.into();
        }
    }
    let mut deployment = deployment::start_with(&["a"], 0, &document.to_string()).await;
    deployment.add_upstream(sound, 0).await;
    for number in 0..6 {
        endless_upstream::EndlessUpstream::start_with_pause(start, filler, pause_at)
            .await
            .register(&deployment, pool, number);
    }
    deployment::wait_until("the daemon knows the upstreams", || async {
        request(&deployment, "probe", "/safe/probe").await == Some(200)
    })
    .await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    deployment
}

/// Sends a request with the id `id` for `path`; returns the status of the answer.
async fn request(deployment: &deployment::Deployment, id: &str, path: &str) -> Option<u16> {
    let address = deployment.daemons[0].caller_address;
    let request = client::request(id, "POST", path)
        .header("x-model", "m")
        .header("x-token-usage", "1000,50");
    Some(client::send(address, request, "").await?.status)
}

/// Sends `count` requests for `path` at once, and for the sound upstream beside them; checks
/// the memory of the daemon and that each sound request is answered in time.
async fn check_memory(deployment: &deployment::Deployment, path: &str, count: usize) {
    let endless = (0..count)
        .map(|number| async move { request(deployment, &format!("endless-{number}"), path).await });
    let sound = async {
        for number in 0..60 {
            let status = request(deployment, &format!("sound-{number}"), "/safe/ask").await;
            assert_eq!(status, Some(200), "sound request {number}");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    let (_, ()) = tokio::join!(futures::future::join_all(endless), sound);

    let peak = deployment.daemons[0].peak_memory();
    println!("{path}: {peak} bytes at the peak");
    assert!(peak < VM_MEMORY, "the daemon took {peak} bytes");
    assert!(deployment.is_ready(0).await);
}

/// Guards against a daemon that runs out of memory as many answers without end are read at once.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_stay_within_the_memory_of_the_vm() {
    let head = "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\n\r\n";
    let deployment = start("desk", head, 15 << 19).await;
    check_memory(&deployment, "/once/charge", 96).await;
}

/// Guards against a daemon that runs out of memory as many events without end are read at once.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_stay_within_the_memory_of_the_vm() {
    let head = "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\n\r\nid: 1\ndata: ";
    let deployment = start("engine", head, 250 << 10).await;
    check_memory(&deployment, "/stream/plan", 600).await;
}

/// Guards against interim answers without end that are kept in memory or keep out other requests.
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_stay_within_the_memory_of_the_vm() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n";
    let deployment = start_with("desk", "", interim, u64::MAX).await;
    check_memory(&deployment, "/once/charge", 12).await;
}

/// Guards against the extensions of a chunk, or trailers, without end.
#[tokio::test(flavor = "multi_thread")]
async fn extensions_and_trailers_without_end_stay_within_the_memory_of_the_vm() {
    const EXTENSION: &str =
        "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\ntransfer-encoding: chunked\r\n\r\n1;";
    const TRAILERS: &str =
        "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    for (start, filler) in [(EXTENSION, "xxxxxxxx"), (TRAILERS, "x-more: yyyyyyyy\r\n")] {
        let deployment = start_with("desk", start, filler, u64::MAX).await;
        check_memory(&deployment, "/once/charge", 96).await;
    }
}

/// Guards against requests that are blocked as if they crashed engines, as the daemon itself gave up
/// their answers.
#[tokio::test(flavor = "multi_thread")]
async fn given_up_answers_do_not_block_their_request() {
    let head = "HTTP/1.1 200 OK\r\nx-engine-signature: s\r\n\r\n";
    let deployment = start("desk", head, 15 << 19).await;
    let address = deployment.daemons[0].caller_address;
    let sends = (0..40).map(|number| async move {
        tokio::time::sleep(time::Duration::from_millis(100 * number)).await;
        let request = client::request(&format!("large-{number}"), "POST", "/once/charge")
            .header("x-model", "m")
            .header("x-token-usage", "1000,50");
        client::send(address, request, "").await
    });

    let answers = futures::future::join_all(sends).await;

    for answer in answers.into_iter().flatten() {
        let is_blocked = answer.body.contains("crashes engines");
        assert!(!is_blocked, "{}", answer.body);
    }
}
