//! Compares the verdicts of calls with the executions that the upstream recorded.

mod common;

use basilgrade_standins::fault;
use basilgrade_standins::pool;
use basilgrade_standins::server;
use basilgrade_standins::service;
use basilgrade_types::clock;
use basilgrade_types::key;
use basilgrade_types::slot;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;
use basilgrade_upstream::client;
use basilgrade_upstream::upstream::Upstream;
use proptest::prelude::*;
use proptest::test_runner;

/// Time left of calls that have to time out. Connecting may take longer on a slow machine, so tests
/// that use this constant also accept errors before the call is sent.
const SHORT: clock::Millis = clock::Millis(40);

fn key() -> key::RequestKey {
    let request = basilgrade_types::request::RequestId::mint();
    let slot = slot::Slot::new(3).expect("expected a valid slot");
    key::RequestKey::mint(slot, clock::Millis(1), request.0.as_u128())
}

fn charge(address: std::net::SocketAddr) -> call::Call {
    call::Call {
        path: "/charge".to_owned(),
        key: Some(key()),
        echo: call::Echo::Optional,
        ..common::call(address)
    }
}

fn lookup(address: std::net::SocketAddr) -> call::Call {
    call::Call {
        method: hyper::Method::GET,
        path: "/lookup/seat-12".to_owned(),
        body: bytes::Bytes::new(),
        echo: call::Echo::Optional,
        ..common::call(address)
    }
}

fn verdict_of<T>(result: &Result<T, call_error::CallError>) -> verdict::Verdict {
    match result {
        Ok(_) => verdict::Verdict::Ran,
        Err(error) => error.verdict(),
    }
}

/// Name of the variant of an error, or `ok`.
fn error_name<T>(result: &Result<T, call_error::CallError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(call_error::CallError::Broken(..)) => "broken",
        Err(call_error::CallError::Connect(..)) => "connect",
        Err(call_error::CallError::Malformed(..)) => "malformed",
        Err(call_error::CallError::Mismatch(..)) => "mismatch",
        Err(call_error::CallError::Refused(_, false)) => "refused",
        Err(call_error::CallError::Leaving(..)) => "leaving, may have run",
        Err(call_error::CallError::Refused(_, true)) => "leaving",
        Err(call_error::CallError::Status(..)) => "status",
        Err(call_error::CallError::Timeout(..)) => "timeout",
        Err(call_error::CallError::TooLarge(..)) => "too large",
        Err(call_error::CallError::Unsent(..)) => "unsent",
    }
}

/// Whether a verdict is consistent with the number of executions that the upstream recorded.
fn is_consistent(verdict: verdict::Verdict, executions: usize) -> bool {
    match verdict {
        verdict::Verdict::NotRun => executions == 0,
        verdict::Verdict::Ran => executions == 1,
        verdict::Verdict::MayHaveRun => executions <= 1,
    }
}

/// Response of an upstream that is leaving and states no verdict.
const LEAVING: &str = "HTTP/1.1 503 -\r\nbasilgrade-leaving: true\r\ncontent-length: 0\r\n\r\n";

fn raw(text: &str) -> fault::Fault {
    fault::Fault::Raw(text.to_owned().into())
}

/// Guards against a wrong error or verdict for any fault of a pool member.
#[tokio::test]
async fn pool_member_faults_map_to_errors() {
    let table = [
        (fault::Fault::CloseIdle, "ok", 1),
        (fault::Fault::Dead, "broken", 0),
        (fault::Fault::Leaving, "leaving", 0),
        (fault::Fault::NoEcho, "mismatch", 1),
        (fault::Fault::None, "ok", 1),
        (fault::Fault::NotRun, "refused", 0),
        (fault::Fault::Reset, "broken", 0),
        (fault::Fault::RunReset, "broken", 1),
        (fault::Fault::Slow(clock::Millis(1)), "ok", 1),
        (fault::Fault::Status(500), "status", 1),
        (fault::Fault::Status(503), "status", 1),
        (fault::Fault::Truncated, "malformed", 1),
        (fault::Fault::Duplicate, "ok", 1),
        (fault::Fault::WrongAttempt, "mismatch", 1),
        (fault::Fault::WrongRequest, "mismatch", 1),
        (fault::Fault::WrongStage, "mismatch", 1),
        (raw("nonsense\r\n\r\n"), "malformed", 0),
        (raw("HTTP/1.1 200 OK\r\n\r\nbody"), "mismatch", 0),
        (raw(""), "broken", 0),
    ];
    for (fault, expected, expected_runs) in table {
        let member = pool::start().await.expect("expected a free port");
        let client = common::client();
        let call = common::call(member.address);
        let request = call.request.to_string();
        member.faults.push(fault.clone());

        let result = client.call(call).await;

        let executions = member.executions.count_by_request(&request);
        assert_eq!(
            (error_name(&result), executions),
            (expected, expected_runs),
            "{fault:?}"
        );
        assert!(is_consistent(verdict_of(&result), executions), "{fault:?}");
    }
}

/// Guards against a wrong error or verdict for any fault of a service that echoes no headers.
#[tokio::test]
async fn service_faults_map_to_errors() {
    let table = [
        (fault::Fault::Leaving, "leaving", 0),
        (fault::Fault::None, "ok", 1),
        (fault::Fault::NotRun, "refused", 0),
        (fault::Fault::Reset, "broken", 0),
        (fault::Fault::RunReset, "broken", 1),
        (fault::Fault::Status(404), "ok", 1),
        (raw(LEAVING), "leaving, may have run", 0),
        (fault::Fault::Status(500), "status", 1),
        (fault::Fault::Truncated, "malformed", 1),
        (fault::Fault::Duplicate, "ok", 1),
        (raw("HTTP/1.1 200 OK\r\n\r\nbody"), "malformed", 0),
        (
            raw("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbo"),
            "malformed",
            0,
        ),
        (
            raw("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n"),
            "too large",
            0,
        ),
    ];
    for (fault, expected, expected_runs) in table {
        let service = service::start(service::Echo::Omitted, service::Keys::Ignored)
            .await
            .expect("expected a free port");
        let client = common::client();
        let call = charge(service.address);
        let key = call.key.expect("expected a call with a key").to_string();
        service.faults.push(fault.clone());

        let result = client.call(call).await;

        let executions = service.executions.count_by_key(&key);
        assert_eq!(
            (error_name(&result), executions),
            (expected, expected_runs),
            "{fault:?}"
        );
        assert!(is_consistent(verdict_of(&result), executions), "{fault:?}");
        let leaving = result.is_err_and(|error| error.is_leaving());
        assert_eq!(leaving, expected.starts_with("leaving"), "{fault:?}");
    }
}

/// Guards against unbounded memory for heads and bodies, and against a misjudged end of a body.
#[tokio::test]
async fn heads_and_bodies_are_bounded() {
    let long = "x".repeat(1 << 20);
    let chunk = format!("{:x}\r\n{long}\r\n", long.len());
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let table = [
        (format!("{ok}a: {long}\r\n\r\n"), "malformed"),
        (format!("{ok}{}\r\n", "a: b\r\n".repeat(5000)), "malformed"),
        (
            chunked.clone() + &chunk.repeat(9) + "0\r\n\r\n",
            "too large",
        ),
        (chunked.clone() + &chunk.repeat(7) + "0\r\n\r\n", "ok"),
        (chunked.clone() + &chunk, "malformed"),
        (chunked + "zz\r\n", "malformed"),
        (format!("{ok}content-length: 8388609\r\n\r\n"), "too large"),
        (format!("{ok}content-length: 2\r\n\r\n{long}"), "ok"),
        (format!("{ok}content-length: -1\r\n\r\n"), "malformed"),
        (
            "HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned(),
            "malformed",
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n".to_owned(), "ok"),
        (long, "malformed"),
    ];
    for (number, (response, expected)) in table.into_iter().enumerate() {
        let service = service::start(service::Echo::Omitted, service::Keys::Ignored)
            .await
            .expect("expected a free port");
        let client = common::client();
        service.faults.push(raw(&response));

        let result = client.call(lookup(service.address)).await;

        let result = result.map(|reply| reply.body.len());
        assert_eq!(error_name(&result), expected, "{number}: {result:?}");
    }
}

/// Guards against waiting for the body that a response to `HEAD` declares but does not have.
#[tokio::test]
async fn response_to_head_has_no_body() {
    let service = service::start(service::Echo::Omitted, service::Keys::Ignored)
        .await
        .expect("expected a free port");
    let client = common::client();
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    service.faults.push(raw(response));
    let call = call::Call {
        method: hyper::Method::HEAD,
        ..lookup(service.address)
    };

    let reply = client.call(call).await.expect("expected a response");

    assert!(reply.body.is_empty());
}

/// Guards against the verdict `may have run` for a call whose connection was refused.
#[tokio::test]
async fn refused_connection_is_not_run_and_recovers() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();
    member.set_fault(fault::Fault::Dead).await;

    let during = client.call(common::call(member.address)).await;
    member.set_fault(fault::Fault::None).await;
    let after = client.call(common::call(member.address)).await;

    assert_eq!(error_name(&during), "connect");
    assert_eq!(verdict_of(&during), verdict::Verdict::NotRun);
    assert_eq!(error_name(&after), "ok");
}

/// Guards against a call that uses up its time left on an upstream that does not accept
/// connections, although another upstream could have run the call.
#[tokio::test]
async fn connection_timeout_is_not_run() {
    let socket = tokio::net::TcpSocket::new_v4().expect("expected a socket");
    let any = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    socket.bind(any).expect("expected a free port");
    let listener = socket.listen(1).expect("expected a listener");
    let address = listener.local_addr().expect("expected a local address");
    // These connections are never accepted. The kernel does not answer further ones, because they
    // exceed the backlog.
    let queued = (0..2).map(|_| tokio::net::TcpStream::connect(address));
    let _queued = futures::future::join_all(queued).await;
    let client = client::HttpUpstream::new(client::Settings {
        connect_timeout: SHORT,
        ..client::Settings::default()
    });

    let result = client.call(common::call(address)).await;

    assert_eq!(error_name(&result), "connect", "{result:?}");
    assert_eq!(client.counters().connects, 0);
}

/// Guards against a call that waits longer than its time left.
#[tokio::test]
async fn call_times_out_after_time_left() {
    let faults = [
        fault::Fault::Hang,
        fault::Fault::Late(common::LONG),
        fault::Fault::Slow(common::LONG),
    ];
    for fault in faults {
        let member = pool::start().await.expect("expected a free port");
        let client = common::client();
        let call = call::Call {
            time_left: SHORT,
            ..common::call(member.address)
        };
        let request = call.request.to_string();
        member.faults.set(fault.clone());

        let result = client.call(call).await;

        let executions = member.executions.count_by_request(&request);
        let expected = ["timeout", "connect", "unsent"].contains(&error_name(&result));
        assert!(expected, "{fault:?}: {result:?}");
        assert!(is_consistent(verdict_of(&result), executions), "{fault:?}");
    }
}

/// Guards against connecting for a call without time left, with an invalid path, or by `CONNECT`.
#[tokio::test]
async fn invalid_calls_are_unsent() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();
    let late = call::Call {
        time_left: clock::Millis::ZERO,
        ..common::call(member.address)
    };
    let paths = ["run", "http://other/run", "/a b", ""];
    let invalid = paths.map(|path| call::Call {
        path: path.to_owned(),
        ..common::call(member.address)
    });
    let tunnel = call::Call {
        method: hyper::Method::CONNECT,
        ..common::call(member.address)
    };

    for call in invalid.into_iter().chain([late, tunnel]) {
        let result = client.call(call).await;

        assert_eq!(error_name(&result), "unsent", "{result:?}");
    }
    assert_eq!(client.counters().connects, 0);
}

/// Guards against a duplicate response that is mistaken for the response to the next call.
#[tokio::test]
async fn duplicate_response_reaches_no_other_call() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();
    let late = fault::Fault::LateDuplicate(clock::Millis(1));
    for number in 0..50 {
        let faults = [fault::Fault::Duplicate, late.clone()];
        member.faults.push(faults[number % 2].clone());
        let call = call::Call {
            body: number.to_string().into(),
            ..common::call(member.address)
        };

        let result = client.call(call).await;

        // The duplicate response may arrive before or after the next call is written.
        match result {
            Ok(reply) => {
                let expected = pool::transform("rerank", number.to_string().as_bytes());
                assert_eq!(reply.body, expected);
            }
            Err(error) => assert_eq!(error.verdict(), verdict::Verdict::MayHaveRun),
        }
    }
    let dropped = || client.counters().unexpected_bytes + client.counters().mismatches;
    common::wait_until(|| dropped() > 0).await;
}

/// Guards against reuse of a connection whose responses echo no identity of their calls.
#[tokio::test]
async fn connection_without_echo_is_not_reused() {
    let service = service::start(service::Echo::Omitted, service::Keys::Ignored)
        .await
        .expect("expected a free port");
    let client = common::client();

    for fault in [
        fault::Fault::None,
        fault::Fault::Duplicate,
        fault::Fault::None,
    ] {
        service.faults.push(fault);
        let reply = client
            .call(lookup(service.address))
            .await
            .expect("expected a response");
        assert_eq!(reply.body, service::lookup("seat-12"));
    }

    assert_eq!(client.counters().reused, 0);
}

/// Guards against a non-idempotent call on a pooled connection. The upstream may be closing such a
/// connection, which would give the verdict `may have run` to a call that did not run.
#[tokio::test]
async fn non_idempotent_calls_use_new_connection() {
    let service = service::start(service::Echo::Sent, service::Keys::Ignored)
        .await
        .expect("expected a free port");
    let with_key = call::Call {
        key: Some(key()),
        ..lookup(service.address)
    };
    let posted = call::Call {
        key: None,
        ..charge(service.address)
    };
    for (call, reused) in [(with_key, 0), (posted, 0), (lookup(service.address), 2)] {
        let client = common::client();

        for _ in 0..3 {
            client
                .call(call.clone())
                .await
                .expect("expected a response");
        }

        assert_eq!(client.counters().reused, reused, "{call:?}");
    }
}

/// Guards against a call that fails because the service closed the connection of a previous call.
#[tokio::test]
async fn non_idempotent_calls_succeed_despite_closed_connections() {
    let service = service::start(service::Echo::Sent, service::Keys::Ignored)
        .await
        .expect("expected a free port");
    let client = common::client();
    service.faults.set(fault::Fault::CloseIdle);

    for _ in 0..20 {
        client
            .call(charge(service.address))
            .await
            .expect("expected a response");
    }

    assert_eq!(service.executions.all().len(), 20);
}

/// Guards against an idempotency key that does not reach the service, and against a second charge
/// when a daemon retries a call with the same key.
#[tokio::test]
async fn retry_with_honoured_key_is_charged_once() {
    let service = service::start(service::Echo::Sent, service::Keys::Honoured)
        .await
        .expect("expected a free port");
    let client = common::client();
    let call = charge(service.address);
    let key = call.key.expect("expected a call with a key").to_string();
    service.faults.push(fault::Fault::RunReset);

    let first = client.call(call.clone()).await;
    let second = client.call(call).await;

    assert_eq!(verdict_of(&first), verdict::Verdict::MayHaveRun);
    assert_eq!(
        second.expect("expected a response").body,
        service::receipt(b"in")
    );
    assert_eq!(service.executions.count_by_key(&key), 1);
}

/// Guards against a connection pool that grows without bound.
#[tokio::test]
async fn idle_connections_are_bounded() {
    let member = pool::start().await.expect("expected a free port");
    let client = client::HttpUpstream::new(client::Settings {
        connect_timeout: common::LONG,
        idle_timeout: common::LONG,
        max_idle: 3,
        ..client::Settings::default()
    });
    let calls = (0..20).map(|_| client.call(common::call(member.address)));

    let results = futures::future::join_all(calls).await;

    assert!(results.iter().all(Result::is_ok));
    assert!(client.idle_connections(member.address) <= 3);
}

/// Guards against headers of the caller that forge the identity of a call or its body length.
#[tokio::test]
async fn caller_headers_do_not_replace_client_headers() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();
    let mut call = common::call(member.address);
    let forged = ["basilgrade-request-id", "idempotency-key", "host"];
    for header in forged {
        let value = hyper::header::HeaderValue::from_static("forged");
        call.headers.insert(header, value);
    }
    let length = hyper::header::HeaderValue::from_static("1");
    call.headers.insert("content-length", length);
    let request = call.request.to_string();

    let reply = client.call(call).await.expect("expected a response");

    assert_eq!(reply.body, pool::transform("rerank", b"in"));
    let execution = &member.executions.all()[0];
    assert_eq!((&execution.request, &execution.key), (&request, &None));
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Charge,
    Lookup,
    Run,
}

#[derive(Clone, Debug, PartialEq)]
struct Step {
    kind: Kind,
    fault: fault::Fault,
    left: clock::Millis,
}

fn any_fault() -> impl Strategy<Value = (fault::Fault, clock::Millis)> {
    let soon = clock::Millis(2);
    let finite = prop::sample::select(vec![
        fault::Fault::CloseIdle,
        fault::Fault::Dead,
        fault::Fault::Late(soon),
        fault::Fault::LateDuplicate(soon),
        fault::Fault::Leaving,
        fault::Fault::NoEcho,
        fault::Fault::None,
        fault::Fault::NotRun,
        fault::Fault::Reset,
        fault::Fault::RunReset,
        fault::Fault::Slow(soon),
        fault::Fault::Status(500),
        fault::Fault::Truncated,
        fault::Fault::Duplicate,
        fault::Fault::WrongAttempt,
        fault::Fault::WrongRequest,
        fault::Fault::WrongStage,
    ]);
    let endless = prop::sample::select(vec![fault::Fault::Hang, fault::Fault::Late(common::LONG)]);
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    prop_oneof![
        12 => finite.prop_map(|fault| (fault, common::LONG)),
        1 => endless.prop_map(|fault| (fault, SHORT)),
        2 => bytes.prop_map(|bytes| (fault::Fault::Raw(bytes.into()), common::LONG)),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let kinds = prop::sample::select(vec![Kind::Charge, Kind::Lookup, Kind::Run]);
    (kinds, any_fault()).prop_map(|(kind, (fault, left))| Step { kind, fault, left })
}

struct Upstreams {
    member: server::Server,
    service: server::Server,
    client: client::HttpUpstream,
}

impl Upstreams {
    async fn start() -> Self {
        let service = service::start(service::Echo::Sent, service::Keys::Ignored);
        Self {
            member: pool::start().await.expect("expected a free port"),
            service: service.await.expect("expected a free port"),
            client: common::client(),
        }
    }

    /// Makes one call. Returns a description if the verdict contradicts the recorded executions.
    async fn step(&self, step: &Step) -> Result<(), String> {
        let (server, call) = match step.kind {
            Kind::Charge => (&self.service, charge(self.service.address)),
            Kind::Lookup => (&self.service, lookup(self.service.address)),
            Kind::Run => (&self.member, common::call(self.member.address)),
        };
        let call = call::Call {
            time_left: step.left,
            ..call
        };
        let request = call.request.to_string();
        server.faults.push(step.fault.clone());
        let result = self.client.call(call).await;
        // The upstream only consumes the fault if it reads the call.
        server.faults.clear();
        let executions = server.executions.count_by_request(&request);
        let complete = match &result {
            Ok(reply) => reply.body == expected(step.kind),
            Err(_) => true,
        };
        if is_consistent(verdict_of(&result), executions) && complete {
            return Ok(());
        }
        Err(format!("{result:?} with {executions} executions"))
    }
}

fn expected(kind: Kind) -> bytes::Bytes {
    match kind {
        Kind::Charge => service::receipt(b"in"),
        Kind::Lookup => service::lookup("seat-12"),
        Kind::Run => pool::transform("rerank", b"in"),
    }
}

/// Guards against a verdict that denies an execution, a response to another call, and a call that
/// the client sends twice, in sequences of calls that share pooled connections.
#[test]
fn verdicts_are_consistent_with_executions() {
    let runtime = tokio::runtime::Runtime::new().expect("expected a tokio runtime");
    let steps = prop::collection::vec(any_step(), 1..12);

    let result = test_runner::TestRunner::new(common::cases(96, 4)).run(&steps, |steps| {
        runtime.block_on(async {
            let upstreams = Upstreams::start().await;
            for step in &steps {
                let consistent = upstreams.step(step).await;
                prop_assert!(consistent.is_ok(), "{step:?}: {consistent:?}");
            }
            Ok(())
        })
    });

    assert_eq!(result, Ok(()));
}
