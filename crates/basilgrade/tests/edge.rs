//! Daemons of entry VMs in front of a stand-in for the users' platform.

mod edge_support;

use std::sync::atomic;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;

/// Returns the body of a stream from event `from` to the last one.
fn stream_body(from: u64, request: &str) -> String {
    let event = |id| format!("id: {id}\ndata: {request}-{id}\n\n");
    (from..=upstream::EVENTS).map(event).collect()
}

/// Guards against a request that is modified on the way to the upstream, and against an answer that
/// belongs to another request. No failure is injected.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_unmodified_and_get_their_own_answers() {
    let deployment = deployment::start(&["a", "b"]).await;

    for (number, daemon) in deployment.daemons.iter().enumerate() {
        let id = format!("once-{number}");
        let request = client::request(&id, "POST", "/once/charge?x=1").header("x-tenant", "forged");
        let answer = client::send(daemon.caller_address, request, "a seat")
            .await
            .expect("the daemon answers");
        assert_eq!(answer.status, 200);
        assert!(answer.body.ends_with(&id) && answer.headers.contains_key("x-engine-signature"));
        assert_eq!(deployment.count_runs(&id), 1);

        let id = format!("stream-{number}");
        let answer = client::send(
            daemon.caller_address,
            client::staged_request(&id, "/stream/plan"),
            "why?",
        )
        .await
        .expect("the daemon answers");
        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
        assert_eq!(answer.body, stream_body(1, &id));
    }
    let runs: Vec<_> = deployment
        .upstreams
        .iter()
        .flat_map(|upstream| upstream.runs())
        .collect();
    let once_run = runs
        .iter()
        .find(|run| run.request == "once-0")
        .expect("an upstream ran the request");
    assert_eq!(
        (once_run.path.as_str(), &once_run.body[..]),
        ("/once/charge?x=1", &b"a seat"[..])
    );
    assert_eq!(once_run.headers["x-tenant"], "customer-one");
    assert!(!once_run.headers.contains_key("authorization"));
    let stream_run = runs
        .iter()
        .find(|run| run.request == "stream-0")
        .expect("an upstream ran the request");
    let inputs = stream_run.headers["x-inputs"]
        .to_str()
        .expect("the header is text");
    assert_eq!(inputs.matches("stream-0.1.").count(), 3, "{inputs}");
}

/// Guards against requests that run although they are unauthorized, malformed, too large or match
/// no route.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_without_running() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    let without_key = |path: &str| {
        hyper::Request::post(path)
            .header("host", "users.example")
            .header("x-attempt-id", "bad")
    };
    let cases = [
        (without_key("/once/x"), "", 401),
        (
            without_key("/once/x").header("authorization", "Bearer other"),
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
        (
            client::request("bad", "POST", "/once/x"),
            OVERSIZED_BODY,
            413,
        ),
    ];
    for (request, body, status) in cases {
        let answer = client::send(address, request, body)
            .await
            .expect("the daemon answers");
        assert_eq!(answer.status, status, "{answer:?}");
    }
    assert_eq!(deployment.count_runs("bad"), 0);
}

/// A body longer than the configured limit of 4096 bytes.
const OVERSIZED_BODY: &str = match std::str::from_utf8(&[b'x'; 5000]) {
    Ok(text) => text,
    Err(_) => "",
};

/// Guards against a second run of an unsafe request whose connection to the upstream ended or whose
/// answer was invalid, and against an answer that reports such a request as not run.
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_that_may_have_run_is_not_retried() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    for behaviour in [
        upstream::Behaviour::Mute,
        upstream::Behaviour::Unsigned,
        upstream::Behaviour::Foreign,
    ] {
        for number in 0..2 {
            deployment
                .upstream(&format!("desk-{number}"))
                .set_behaviour(behaviour);
        }
        let id = format!("once-{behaviour:?}");
        let answer = client::send(address, client::request(&id, "POST", "/once/x"), "")
            .await
            .expect("the daemon answers");
        assert_eq!(answer.status, 502, "{behaviour:?}: {answer:?}");
        assert_eq!(deployment.count_runs(&id), 1, "{behaviour:?}");
    }
}

/// Guards against an answer that reports a request as not run because its last attempt was refused,
/// although an earlier attempt may have run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_retry_does_not_mask_an_earlier_attempt() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    deployment
        .upstream("desk-0")
        .set_behaviour(upstream::Behaviour::Mute);
    deployment
        .upstream("desk-1")
        .set_behaviour(upstream::Behaviour::Full);
    let mut number = 0;
    while deployment.upstream("desk-0").runs().is_empty() {
        number += 1;
        let id = format!("safe-{number}");
        let answer = client::send(address, client::request(&id, "GET", "/safe/x"), "").await;
        let status = answer.expect("the daemon answers").status;
        let has_run = deployment.count_runs(&id) > 0;
        assert_eq!(status, if has_run { 502 } else { 503 });
    }
}

/// Guards against refusals of one upstream that reach the caller although another upstream has free
/// capacity.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_retried_at_another_upstream() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    deployment
        .upstream("desk-0")
        .set_behaviour(upstream::Behaviour::Full);

    for number in 0..4 {
        let id = format!("once-{number}");
        let answer = client::send(address, client::request(&id, "POST", "/once/x"), "")
            .await
            .expect("the daemon answers");
        assert_eq!(answer.status, 200);
        assert_eq!(deployment.count_runs(&id), 1);
    }
    deployment
        .upstream("desk-1")
        .set_behaviour(upstream::Behaviour::Full);
    let refused = client::send(address, client::request("refused", "POST", "/once/x"), "")
        .await
        .expect("the daemon answers");

    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(deployment.count_runs("refused"), 0);
}

/// Guards against events that are lost, repeated or truncated when the connection to an engine
/// breaks, and against a non-resumable stream that looks complete although it was interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn only_resumable_streams_resume_on_another_engine() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    let set_engines = |behaviour| {
        for number in 0..2 {
            deployment
                .upstream(&format!("engine-{number}"))
                .set_behaviour(behaviour);
        }
    };
    for event in [1, 4] {
        set_engines(upstream::Behaviour::BreaksIn(event));
        let id = format!("resumed-{event}");
        let sending = tokio::spawn(client::send(
            address,
            client::staged_request(&id, "/stream-resumable/x"),
            "",
        ));
        deployment::wait_until("the stream starts", || async {
            deployment.count_runs(&id) == 1
        })
        .await;
        set_engines(upstream::Behaviour::Healthy);
        let answer = sending
            .await
            .expect("the sending task does not panic")
            .expect("the daemon answers");

        assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
        assert_eq!(answer.body, stream_body(1, &id));
        assert_eq!(deployment.count_runs(&id), 2);
    }
    set_engines(upstream::Behaviour::BreaksIn(4));
    let answer = client::send(address, client::staged_request("broken", "/stream/x"), "")
        .await
        .expect("the daemon answers");

    assert!(!answer.is_whole);
    let complete = stream_body(1, "broken");
    assert!(
        complete.starts_with(&answer.body) && answer.body.ends_with("\n\n"),
        "{answer:?}"
    );
    assert_eq!(deployment.count_runs("broken"), 1);
}

/// Guards against new requests to an upstream that is registered as draining.
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_new_requests() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    let answered_by = |id: String, name: &'static str| async move {
        let answer = client::send(address, client::request(&id, "GET", "/safe/x"), "").await;
        answer.is_some_and(|answer| answer.body.starts_with(name))
    };
    let mut number = 0;
    let mut next = || {
        number += 1;
        format!("safe-{number}")
    };
    deployment::wait_until("`desk-0` gets a request", || answered_by(next(), "desk-0")).await;

    deployment.register("desk", 0, "draining");
    let reads = deployment.store.upstream_reads();
    deployment::wait_until("the daemon reads the changed registration", || async {
        deployment.store.upstream_reads() > reads + 1
    })
    .await;

    let before = deployment.upstream("desk-0").runs().len();
    for _ in 0..10 {
        assert!(answered_by(next(), "desk-1").await);
    }
    assert_eq!(deployment.upstream("desk-0").runs().len(), before);
}

/// Guards against a daemon that reverts to an older configuration, and against a daemon that cannot
/// start during a store outage although its peers hold the configuration and the upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_are_learned_from_the_store_or_from_peers() {
    let mut deployment = deployment::start(&["a", "a", "b"]).await;
    deployment.publish(&deployment::configuration(9, &["key-two"]));
    for daemon in &deployment.daemons {
        deployment::wait_until("the removed API key is refused", || async {
            let answer = client::send(
                daemon.caller_address,
                client::request("old", "GET", "/safe/x"),
                "",
            )
            .await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
    }
    // Daemons ignore an older version in a newer record.
    deployment.publish(&deployment::configuration(5, &["key-one"]));
    let reads = deployment.store.upstream_reads();
    deployment::wait_until(
        "the daemons read the record with the older version",
        || async { deployment.store.upstream_reads() > reads + 4 },
    )
    .await;
    let address = deployment.daemons[0].caller_address;
    let old = client::send(address, client::request("old", "GET", "/safe/x"), "").await;
    assert_eq!(old.expect("the daemon answers").status, 401);
    deployment.publish(&deployment::configuration(12, &["key-two", "key-three"]));
    for daemon in &deployment.daemons {
        deployment::wait_until("the added API key is accepted", || async {
            let request = client::request_with_key("new", "GET", "/safe/x", "key-three");
            let answer = client::send(daemon.caller_address, request, "").await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    deployment
        .store_server
        .refuses
        .store(true, atomic::Ordering::Relaxed);
    deployment.add_daemon("vm-3", "b");
    deployment.wait_until_ready(3).await;

    for daemon in &deployment.daemons {
        let old = client::send(
            daemon.caller_address,
            client::request("old", "GET", "/safe/x"),
            "",
        )
        .await;
        assert_eq!(old.expect("the daemon answers").status, 401);
        let request = client::request_with_key("new", "GET", "/safe/x", "key-two");
        let new = client::send(daemon.caller_address, request, "").await;
        assert_eq!(new.expect("the daemon answers").status, 200);
    }
}

/// Guards against a failure domain that learns of no more changes after the daemon that reads the
/// store for it was killed.
#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_reads_the_store_after_the_reader_is_killed() {
    let mut deployment = deployment::start(&["a", "a", "a"]).await;
    for number in 0..3 {
        deployment.daemons[number].kill();
        deployment.publish(&deployment::configuration(
            10 + 2 * number as u64,
            &["key-two"],
        ));
        let survivor = &deployment.daemons[(number + 1) % 3];
        deployment::wait_until("the removed API key is refused", || async {
            let answer = client::send(
                survivor.caller_address,
                client::request("old", "GET", "/safe/x"),
                "",
            )
            .await;
            answer.is_some_and(|answer| answer.status == 401)
        })
        .await;
        deployment.publish(&deployment::configuration(
            11 + 2 * number as u64,
            &["key-one"],
        ));
        deployment.daemons[number].start();
        deployment.wait_until_ready(number).await;
        deployment::wait_until("the restored API key is accepted", || async {
            let survivor = &deployment.daemons[(number + 1) % 3];
            let answer = client::send(
                survivor.caller_address,
                client::request("now", "GET", "/safe/x"),
                "",
            )
            .await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }
}

/// Guards against a shutdown that cuts off an open stream, refuses late requests or leaves the
/// readiness check positive, so that the balancer keeps sending callers.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_open_streams() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    for number in 0..2 {
        deployment
            .upstream(&format!("engine-{number}"))
            .set_behaviour(upstream::Behaviour::Slow(300));
    }
    let sending = tokio::spawn(client::send(
        address,
        client::staged_request("long", "/stream/x"),
        "",
    ));
    deployment::wait_until("the stream starts", || async {
        deployment.count_runs("long") == 1
    })
    .await;

    deployment.daemons[0].signal("TERM");
    deployment::wait_until(
        "the readiness check of the daemon turns negative",
        || async { !deployment.is_ready(0).await },
    )
    .await;
    let late = client::send(address, client::request("late", "POST", "/once/x"), "").await;
    let answer = sending
        .await
        .expect("the sending task does not panic")
        .expect("the daemon answers");

    assert_eq!(late.expect("the daemon answers").status, 200);
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, stream_body(1, "long"));
    assert!(deployment.daemons[0].wait_for_exit().await);
    assert!(deployment.store.newest("keyed.status").is_empty());
}

/// Guards against a request that goes on, or is resumed, after its caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_its_request() {
    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    for number in 0..2 {
        deployment
            .upstream(&format!("engine-{number}"))
            .set_behaviour(upstream::Behaviour::Slow(200));
    }
    let sending = tokio::spawn(client::send(
        address,
        client::staged_request("left", "/stream-resumable/x"),
        "",
    ));
    deployment::wait_until("the stream starts", || async {
        deployment.count_runs("left") == 1
    })
    .await;

    sending.abort();

    // If the daemon went on with the request, the stream would be resumed or would delay the exit.
    let mut deployment = deployment;
    deployment.daemons[0].signal("TERM");
    assert!(deployment.daemons[0].wait_for_exit().await);
    assert_eq!(deployment.count_runs("left"), 1);
}

/// Guards against callers that occupy connections with request heads that never end, and against
/// closing connections that are idle between requests.
#[tokio::test(flavor = "multi_thread")]
async fn header_timeout_closes_slow_heads_but_not_idle_connections() {
    use tokio::io::AsyncReadExt as _;
    use tokio::io::AsyncWriteExt as _;

    let deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    let head = "GET /safe/list HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: idle\r\n\
                x-deadline-ms: 8000\r\nauthorization: Bearer key-one\r\n\r\n";
    let mut idle = tokio::net::TcpStream::connect(address)
        .await
        .expect("the daemon accepts the connection");
    let mut slow = tokio::net::TcpStream::connect(address)
        .await
        .expect("the daemon accepts the connection");
    let mut buffer = vec![0; 4096];

    idle.write_all(head.as_bytes())
        .await
        .expect("the request head can be sent");
    let first = idle.read(&mut buffer).await.expect("the daemon answers");
    slow.write_all(b"GET /safe/list HTTP/1.1\r\nhost")
        .await
        .expect("the request head can be sent");
    // The configured header timeout is 3 s; the HTTP library answers and then closes the
    // connection.
    let limit = std::time::Duration::from_secs(10);
    let closed = tokio::time::timeout(limit, async {
        while slow.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    });

    assert!(
        closed.await.is_ok(),
        "the connection with the slow head was not closed within {limit:?}"
    );
    idle.write_all(head.as_bytes())
        .await
        .expect("the request head can be sent");
    let second = idle.read(&mut buffer).await.expect("the daemon answers");
    assert!(first > 0 && second > 0);
}

/// Guards against requests that outlast the grace period of a shutdown and whose connections are
/// closed without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_answers_requests_that_outlast_the_grace_period() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    for number in 0..2 {
        let engine = deployment.upstream(&format!("engine-{number}"));
        engine.set_behaviour(upstream::Behaviour::Silent);
    }
    let stuck = client::staged_request("stuck", "/stream/x");
    let sending = tokio::spawn(client::send(address, stuck, ""));
    deployment::wait_until("an engine runs the request", || async {
        deployment.count_runs("stuck") == 1
    })
    .await;

    deployment.daemons[0].signal("TERM");
    let answer = sending
        .await
        .expect("the sending task does not panic")
        .expect("the daemon answers");

    // The request may have run, so the answer is 504 and not a refusal.
    assert_eq!(answer.status, 504, "{answer:?}");
    assert!(deployment.daemons[0].wait_for_exit().await);
}

/// Guards against requests that are taken late in a shutdown, passed on, and cut off at its end.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_refuses_streams_that_would_be_cut_off_at_its_end() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    let set_pause = |pause| {
        for number in 0..2 {
            let engine = deployment.upstream(&format!("engine-{number}"));
            engine.set_behaviour(upstream::Behaviour::Slow(pause));
        }
    };
    set_pause(50);
    let known = client::send(address, client::staged_request("known", "/stream/x"), "").await;
    set_pause(900);

    deployment.daemons[0].signal("TERM");
    deployment::wait_until(
        "the readiness check of the daemon turns negative",
        || async { !deployment.is_ready(0).await },
    )
    .await;
    set_pause(50);
    let short = client::staged_request("short", "/stream/x");
    let short = client::send(address, short, "").await;
    set_pause(900);
    // Forty times the tokens of the first stream.
    let long = client::request("long", "POST", "/stream/x")
        .header("x-model", "m")
        .header("x-token-usage", "1000,2000")
        .header("x-prefix-hash", "aa:400,bb:400,cc:200")
        .header("x-pieces", "2,3")
        .header("x-piece-key", "piece-key");
    let long = client::send(address, long, "")
        .await
        .expect("the daemon answers");

    assert_eq!(known.expect("the daemon answers").status, 200);
    let short = short.expect("the daemon answers");
    assert_eq!((short.status, short.is_whole), (200, true), "{short:?}");
    assert_eq!(long.status, 503, "{long:?}");
    assert!(long.headers.contains_key("retry-after"), "{long:?}");
    assert_eq!(long.headers["connection"], "close");
    assert_eq!(deployment.count_runs("long"), 0);
    assert!(deployment.daemons[0].wait_for_exit().await);
}
