//! Daemons of entry VMs in front of a stand-in of the users' platform.

mod edge_support;

use std::sync::atomic;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

fn events(from: u64, request: &str) -> String {
    let event = |id| format!("id: {id}\ndata: {request}-{id}\n\n");
    (from..=upstream::EVENTS).map(event).collect()
}

/// Guards against a request that is changed on its way, or answered by another's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_calm_day_is_served() {
    let deployment = deployment::start(&["a", "b"]).await;

    for (number, daemon) in deployment.daemons.iter().enumerate() {
        let id = format!("once-{number}");
        let request = client::request(&id, "POST", "/once/charge?x=1").header("x-tenant", "forged");
        let answer = client::send(daemon.callers, request, "a seat")
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(answer.body.ends_with(&id) && answer.headers.contains_key("x-engine-signature"));
        assert_eq!(deployment.count(&id), 1);

        let id = format!("stream-{number}");
        let answer = client::send(daemon.callers, client::staged(&id, "/stream/plan"), "why?")
            .await
            .expect("an answer");
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
        assert_eq!(answer.body, events(1, &id));
    }
    let runs: Vec<_> = deployment
        .upstreams
        .iter()
        .flat_map(|upstream| upstream.runs())
        .collect();
    let once = runs
        .iter()
        .find(|run| run.request == "once-0")
        .expect("it ran");
    assert_eq!(
        (once.path.as_str(), &once.body[..]),
        ("/once/charge?x=1", &b"a seat"[..])
    );
    assert_eq!(once.headers["x-tenant"], "customer-one");
    assert!(!once.headers.contains_key("authorization"));
    let stream = runs
        .iter()
        .find(|run| run.request == "stream-0")
        .expect("it ran");
    let inputs = stream.headers["x-inputs"].to_str().expect("text");
    assert_eq!(inputs.matches("stream-0.1.").count(), 3, "{inputs}");
}

/// Guards against requests that run although they are not allowed, or proper ones that do not.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_not_allowed_do_not_run() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    let bare = |path: &str| {
        hyper::Request::post(path)
            .header("host", "users.example")
            .header("x-attempt-id", "bad")
    };
    let cases = [
        (bare("/once/x"), "", 401),
        (
            bare("/once/x").header("authorization", "Bearer other"),
            "",
            401,
        ),
        (client::request("bad", "POST", "/none/x"), "", 404),
        (client::request("bad", "POST", "/once"), "", 404),
        (
            client::request("bad", "POST", "/once/x").header("x-attempt-id", "two"),
            "",
            400,
        ),
        (
            client::request("bad", "POST", "/once/x").header("x-deadline-ms", "1"),
            "",
            400,
        ),
        (
            client::request("bad", "POST", "/once/x").header("x-pieces", "x"),
            "",
            400,
        ),
        (client::request("bad", "POST", "/once/x"), LONG, 413),
    ];
    for (request, body, status) in cases {
        let answer = client::send(address, request, body)
            .await
            .expect("an answer");
        assert_eq!(answer.status, status, "{answer:?}");
    }
    assert_eq!(deployment.count("bad"), 0);
}

/// Longer than the configured limit.
const LONG: &str = match std::str::from_utf8(&[b'x'; 5000]) {
    Ok(text) => text,
    Err(_) => "",
};

/// Guards against a request that runs twice because its connection ended, and against an answer
/// that says `not run` of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_repeated() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    for mood in [
        upstream::Mood::Mute,
        upstream::Mood::Unsigned,
        upstream::Mood::Foreign,
    ] {
        for number in 0..2 {
            deployment.upstream(&format!("desk-{number}")).set(mood);
        }
        let id = format!("once-{mood:?}");
        let answer = client::send(address, client::request(&id, "POST", "/once/x"), "")
            .await
            .expect("an answer");
        assert_eq!(answer.status, 502, "{mood:?}: {answer:?}");
        assert_eq!(deployment.count(&id), 1, "{mood:?}");
    }
}

/// Guards against a refusal of a request of which an earlier send may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_repeat_does_not_hide_the_first_send() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    deployment.upstream("desk-0").set(upstream::Mood::Mute);
    deployment.upstream("desk-1").set(upstream::Mood::Full);
    let mut number = 0;
    while deployment.upstream("desk-0").runs().is_empty() {
        number += 1;
        let id = format!("safe-{number}");
        let answer = client::send(address, client::request(&id, "GET", "/safe/x"), "").await;
        let status = answer.expect("an answer").status;
        let has_run = deployment.count(&id) > 0;
        assert_eq!(status, if has_run { 502 } else { 503 });
    }
}

/// Guards against refusals that reach the caller although another upstream has room.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_did_not_run_goes_to_another_upstream() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    deployment.upstream("desk-0").set(upstream::Mood::Full);

    for number in 0..4 {
        let id = format!("once-{number}");
        let answer = client::send(address, client::request(&id, "POST", "/once/x"), "")
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(deployment.count(&id), 1);
    }
    deployment.upstream("desk-1").set(upstream::Mood::Full);
    let refused = client::send(address, client::request("refused", "POST", "/once/x"), "")
        .await
        .expect("an answer");

    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(deployment.count("refused"), 0);
}

/// Guards against events that are lost, doubled or cut when an engine ends, and against a stream
/// that may not go on but looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_elsewhere_if_it_may() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    let set = |mood| {
        for number in 0..2 {
            deployment.upstream(&format!("engine-{number}")).set(mood);
        }
    };
    for event in [1, 4] {
        set(upstream::Mood::BreaksIn(event));
        let id = format!("resumed-{event}");
        let sending = tokio::spawn(client::send(
            address,
            client::staged(&id, "/stream-resumable/x"),
            "",
        ));
        deployment::until("the stream starts", || async { deployment.count(&id) == 1 }).await;
        set(upstream::Mood::Sound);
        let answer = sending.await.expect("no panic").expect("an answer");

        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
        assert_eq!(answer.body, events(1, &id));
        assert_eq!(deployment.count(&id), 2);
    }
    set(upstream::Mood::BreaksIn(4));
    let answer = client::send(address, client::staged("broken", "/stream/x"), "")
        .await
        .expect("an answer");

    assert!(!answer.is_whole);
    let whole = events(1, "broken");
    assert!(
        whole.starts_with(&answer.body) && answer.body.ends_with("\n\n"),
        "{answer:?}"
    );
    assert_eq!(deployment.count("broken"), 1);
}

/// Guards against requests sent to an upstream that is leaving or gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_requests() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    let answered_by = |id: String, name: &'static str| async move {
        let answer = client::send(address, client::request(&id, "GET", "/safe/x"), "").await;
        answer.is_some_and(|answer| answer.body.starts_with(name))
    };
    let mut number = 0;
    let mut next = || {
        number += 1;
        format!("safe-{number}")
    };
    deployment::until("the first desk is used", || answered_by(next(), "desk-0")).await;

    deployment.register("desk", 0, "draining");
    let reads = deployment.store.reads();
    deployment::until("the daemon has read it", || async {
        deployment.store.reads() > reads + 1
    })
    .await;

    let before = deployment.upstream("desk-0").runs().len();
    for _ in 0..10 {
        assert!(answered_by(next(), "desk-1").await);
    }
    assert_eq!(deployment.upstream("desk-0").runs().len(), before);
}

/// Guards against a daemon that serves an older configuration, and one that cannot start while the
/// store is away although others know what it needs.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_arrive_with_and_without_the_store() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    deployment.publish(&deployment::configuration(9, &["key-two"]));
    for daemon in &deployment.daemons {
        deployment::until("the old key is refused", || async {
            let answer =
                client::send(daemon.callers, client::request("old", "GET", "/safe/x"), "").await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
    }
    // An older version in a newer record changes nothing at those who know better.
    deployment.publish(&deployment::configuration(5, &["key-one"]));
    let reads = deployment.store.reads();
    deployment::until("the daemons have read it", || async {
        deployment.store.reads() > reads + 4
    })
    .await;
    let address = deployment.daemons[0].callers;
    let old = client::send(address, client::request("old", "GET", "/safe/x"), "").await;
    assert_eq!(old.expect("an answer").status, 401);
    deployment.publish(&deployment::configuration(12, &["key-two", "key-three"]));
    for daemon in &deployment.daemons {
        deployment::until("the new key is known", || async {
            let request = client::request_with_key("new", "GET", "/safe/x", "key-three");
            let answer = client::send(daemon.callers, request, "").await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    deployment
        .store_server
        .refuses
        .store(true, atomic::Ordering::Relaxed);
    deployment.add_daemon("vm-3", "b");
    deployment.ready(3).await;

    for daemon in &deployment.daemons {
        let old = client::send(daemon.callers, client::request("old", "GET", "/safe/x"), "").await;
        assert_eq!(old.expect("an answer").status, 401);
        let request = client::request_with_key("new", "GET", "/safe/x", "key-two");
        let new = client::send(daemon.callers, request, "").await;
        assert_eq!(new.expect("an answer").status, 200);
    }
}

/// Guards against a failure domain that learns nothing more when its reader of the store ends.
#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_reads_when_the_reader_ends() {
    let mut deployment = deployment::start(&["a", "a", "a"]).await;
    for number in 0..3 {
        deployment.daemons[number].kill();
        deployment.publish(&deployment::configuration(
            10 + 2 * number as u64,
            &["key-two"],
        ));
        let left = &deployment.daemons[(number + 1) % 3];
        deployment::until("the change arrives", || async {
            let answer =
                client::send(left.callers, client::request("old", "GET", "/safe/x"), "").await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
        deployment.publish(&deployment::configuration(
            11 + 2 * number as u64,
            &["key-one"],
        ));
        deployment.daemons[number].start();
        deployment.ready(number).await;
        deployment::until("the key is back", || async {
            let left = &deployment.daemons[(number + 1) % 3];
            let answer =
                client::send(left.callers, client::request("now", "GET", "/safe/x"), "").await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }
}

/// Guards against a shutdown that cuts a stream off, or a balancer that goes on sending callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_finishes_what_is_open() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    for number in 0..2 {
        deployment
            .upstream(&format!("engine-{number}"))
            .set(upstream::Mood::Slow(300));
    }
    let sending = tokio::spawn(client::send(
        address,
        client::staged("long", "/stream/x"),
        "",
    ));
    deployment::until("the stream starts", || async {
        deployment.count("long") == 1
    })
    .await;

    deployment.daemons[0].signal("TERM");
    deployment::until("the daemon is not ready", || async {
        !deployment.is_ready(0).await
    })
    .await;
    let late = client::send(address, client::request("late", "POST", "/once/x"), "").await;
    let answer = sending.await.expect("no panic").expect("an answer");

    assert_eq!(late.expect("an answer").status, 200);
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, events(1, "long"));
    assert!(deployment.daemons[0].ended().await);
    assert!(deployment.store.newest("keyed.status").is_empty());
}

/// Guards against an engine that works on for a caller who has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_request() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    for number in 0..2 {
        deployment
            .upstream(&format!("engine-{number}"))
            .set(upstream::Mood::Slow(200));
    }
    let sending = tokio::spawn(client::send(
        address,
        client::staged("left", "/stream-resumable/x"),
        "",
    ));
    deployment::until("the stream starts", || async {
        deployment.count("left") == 1
    })
    .await;

    sending.abort();

    // A daemon that went on would resume the stream or keep it in progress through a shutdown.
    let mut deployment = deployment;
    deployment.daemons[0].signal("TERM");
    assert!(deployment.daemons[0].ended().await);
    assert_eq!(deployment.count("left"), 1);
}

/// Guards against callers that hold connections with heads that never end, and against cutting
/// callers that keep a connection idle between requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_head_is_cut_and_an_idle_connection_is_kept() {
    use tokio::io::AsyncReadExt as _;
    use tokio::io::AsyncWriteExt as _;

    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    let head = "GET /safe/list HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: idle\r\n\
                x-deadline-ms: 8000\r\nauthorization: Bearer key-one\r\n\r\n";
    let mut idle = tokio::net::TcpStream::connect(address)
        .await
        .expect("it connects");
    let mut slow = tokio::net::TcpStream::connect(address)
        .await
        .expect("it connects");
    let mut buffer = vec![0; 4096];

    idle.write_all(head.as_bytes()).await.expect("it is sent");
    let first = idle.read(&mut buffer).await.expect("an answer");
    slow.write_all(b"GET /safe/list HTTP/1.1\r\nhost")
        .await
        .expect("it is sent");
    // The limit of the configuration is 3 s; the library closes the connection with an answer.
    let limit = std::time::Duration::from_secs(10);
    let cut = tokio::time::timeout(limit, async {
        while slow.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    });

    assert!(cut.await.is_ok(), "the slow head is not cut");
    idle.write_all(head.as_bytes()).await.expect("it is sent");
    let second = idle.read(&mut buffer).await.expect("an answer");
    assert!(first > 0 && second > 0);
}

/// Guards against callers whose connections are closed without an answer at the end of a shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_answers_what_it_cannot_finish() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].callers;
    for number in 0..2 {
        let engine = deployment.upstream(&format!("engine-{number}"));
        engine.set(upstream::Mood::Silent);
    }
    let stuck = client::staged("stuck", "/stream/x");
    let sending = tokio::spawn(client::send(address, stuck, ""));
    deployment::until("the engine has it", || async {
        deployment.count("stuck") == 1
    })
    .await;

    deployment.daemons[0].signal("TERM");
    let answer = sending.await.expect("no panic").expect("an answer");

    // It has run, so the answer does not promise otherwise.
    assert_eq!(answer.status, 504, "{answer:?}");
    assert!(deployment.daemons[0].ended().await);
}
