//! Upstreams that announce in their answers which requests they take.

mod edge_support;

use std::sync::atomic;
use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Has both upstreams of `pool` announce the header `name` with this value.
fn announce(
    deployment: &deployment::Deployment,
    pool: &str,
    name: &'static str,
    value: &'static str,
) {
    for number in 0..2 {
        let id = format!("{pool}-{number}");
        deployment.upstream(&id).announce(name, Some(value));
    }
}

/// Sends requests one after the other to the first daemon; returns the answers.
async fn send_in_turn(
    deployment: &deployment::Deployment,
    path: &str,
    count: usize,
) -> Vec<client::Answer> {
    let mut answers = Vec::new();
    for number in 0..count {
        let request = client::staged_request(&format!("{path}-{number}"), path);
        let answer = client::send(deployment.daemons[0].caller_address, request, "").await;
        answers.push(answer.expect("the daemon answers"));
    }
    answers
}

fn statuses(answers: &[client::Answer]) -> Vec<u16> {
    answers.iter().map(|answer| answer.status).collect()
}

fn count_runs(deployment: &deployment::Deployment, pool: &str) -> [usize; 2] {
    [0, 1].map(|number| {
        let upstream = deployment.upstream(&format!("{pool}-{number}"));
        upstream.runs().len()
    })
}

fn count_arrivals(deployment: &deployment::Deployment, pool: &str) -> [usize; 2] {
    [0, 1].map(|number| {
        let upstream = deployment.upstream(&format!("{pool}-{number}"));
        upstream.arrivals.load(atomic::Ordering::Relaxed)
    })
}

/// Has the upstream `id` refuse all requests and ask for none for this many seconds.
fn pause(deployment: &deployment::Deployment, id: &str, secs: &'static str) {
    let upstream = deployment.upstream(id);
    upstream.set_behaviour(upstream::Behaviour::Full);
    upstream.announce("retry-after", Some(secs));
}

/// Waits until the daemon has read what was written to the store before.
async fn wait_for_reads(deployment: &deployment::Deployment) {
    let reads = deployment.store.upstream_reads();
    deployment::wait_until("the daemon reads the registrations", || async {
        deployment.store.upstream_reads() > reads + 1
    })
    .await;
}

/// Guards against requests to a registered upstream whose answers announce that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_announces_its_leaving_gets_no_further_requests() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    for (pool, path) in [("desk", "/once/x"), ("engine", "/stream/x")] {
        announce(&deployment, pool, "server-leaving", "1");

        let answers = send_in_turn(&deployment, path, 4).await;

        assert_eq!(count_runs(&deployment, pool), [1, 1], "{path}");
        assert_eq!(statuses(&answers), [200, 200, 503, 503], "{path}");
        let is_told = |answer: &client::Answer| answer.headers.contains_key("server-leaving");
        assert!(!answers.iter().any(is_told), "{answers:?}");
    }
}

/// Guards against streams that are resumed at an upstream that has announced its leaving.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_resumed_at_an_upstream_that_announced_its_leaving() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    announce(&deployment, "engine", "server-leaving", "1");
    send_in_turn(&deployment, "/stream-resumable/first", 1).await;
    for number in 0..2 {
        let engine = deployment.upstream(&format!("engine-{number}"));
        engine.set_behaviour(upstream::Behaviour::BreaksIn(3));
    }

    let answers = send_in_turn(&deployment, "/stream-resumable/second", 1).await;

    assert_eq!(count_runs(&deployment, "engine"), [1, 1]);
    assert!(!answers[0].is_whole, "{answers:?}");
}

/// Guards against calls for pieces to an upstream that has announced its leaving.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_announces_its_leaving_gets_no_further_calls_for_pieces() {
    let deployment = deployment::start(&["a"]).await;
    deployment
        .upstream("encode-0")
        .announce("server-leaving", Some("1"));

    let answers = send_in_turn(&deployment, "/stream/x", 6).await;

    assert!(statuses(&answers).iter().all(|status| *status == 200));
    assert_eq!(count_runs(&deployment, "encode")[0], 1);
}

/// Guards against a leaving upstream that is registered again, and a new run that gets nothing.
#[tokio::test(flavor = "multi_thread")]
async fn announced_leaving_ends_with_the_run_of_the_upstream() {
    let deployment = deployment::start_with(&["a"], 1, &deployment::without_stages()).await;
    let desk = deployment.upstream("desk-0");
    desk.announce("server-leaving", Some("1"));
    send_in_turn(&deployment, "/once/first", 1).await;
    desk.announce("server-leaving", None);

    deployment.store.put("keyed.servers", "desk-0", "");
    wait_for_reads(&deployment).await;
    deployment.register_again("desk", 0, "ready", 2);
    wait_for_reads(&deployment).await;
    let answers = send_in_turn(&deployment, "/once/second", 2).await;
    assert_eq!(statuses(&answers), [503, 503]);

    deployment.register_start("desk", 0, 2000);
    deployment::wait_until("the new run gets requests", || async {
        statuses(&send_in_turn(&deployment, "/once/third", 1).await) == [200]
    })
    .await;
}

/// Guards against requests to paused upstreams, and callers who wait or are told another time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_all_upstreams_ask_for_none() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    for (pool, path) in [("desk", "/once/x"), ("engine", "/stream/x")] {
        let ids = [0, 1].map(|number| format!("{pool}-{number}"));
        for id in &ids {
            pause(&deployment, id, "2.5");
        }
        let start = time::Instant::now();

        let answers = send_in_turn(&deployment, path, 5).await;

        assert_eq!(statuses(&answers), [503; 5], "{path}");
        assert_eq!(count_arrivals(&deployment, pool), [1, 1], "{path}");
        for answer in &answers {
            let wait = answer.headers["retry-after"].to_str();
            let wait: f64 = wait.expect("text").parse().expect("a number");
            let elapsed = start.elapsed().as_secs_f64();
            assert!(wait >= 2.5 - elapsed, "{wait} s after {elapsed} s");
        }
        for id in &ids {
            deployment.upstream(id).announce("retry-after", None);
            let behaviour = upstream::Behaviour::Healthy;
            deployment.upstream(id).set_behaviour(behaviour);
        }
        deployment::wait_until("the upstreams get requests again", || async {
            statuses(&send_in_turn(&deployment, path, 1).await) == [200]
        })
        .await;
        assert!(start.elapsed() >= time::Duration::from_millis(2500));
    }
}

/// Guards against requests and pieces that wait for a paused upstream while another one is free.
#[tokio::test(flavor = "multi_thread")]
async fn other_upstreams_serve_while_one_asks_for_no_requests() {
    let deployment = deployment::start(&["a"]).await;
    for id in ["desk-0", "encode-0", "engine-0"] {
        pause(&deployment, id, "60");
    }

    let plain = send_in_turn(&deployment, "/once/x", 6).await;
    let staged = send_in_turn(&deployment, "/stream/x", 6).await;

    assert_eq!(statuses(&plain), [200; 6]);
    assert_eq!(statuses(&staged), [200; 6]);
    for pool in ["desk", "encode"] {
        assert_eq!(count_arrivals(&deployment, pool)[0], 1, "{pool}");
    }
    assert!(count_arrivals(&deployment, "engine")[0] <= 1);
}

/// Guards against requests that a brittle upstream has to refuse one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstream_refuses_no_more_than_it_bears() {
    let deployment = deployment::start(&["a"]).await;
    for id in ["desk-0", "encode-0"] {
        let upstream = deployment.upstream(id);
        upstream.set_behaviour(upstream::Behaviour::Full);
        upstream.announce("server-brittle", Some("1"));
    }
    let start = time::Instant::now();
    let mut answers = Vec::new();
    while start.elapsed() < time::Duration::from_secs(3) {
        answers.extend(send_in_turn(&deployment, "/once/x", 1).await);
        answers.extend(send_in_turn(&deployment, "/stream/x", 1).await);
    }
    let bearable = start.elapsed().as_secs_f64().ceil() as usize;

    assert!(statuses(&answers).iter().all(|status| *status == 200));
    for pool in ["desk", "encode"] {
        let refused = count_arrivals(&deployment, pool)[0];
        assert!(refused <= bearable, "{refused} refusals in {bearable} s");
    }
}
