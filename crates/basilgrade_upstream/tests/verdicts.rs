//! Verdicts of calls compared with what the upstream executed.

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

/// Too short for an answer that is late or missing; whether it is long enough for the connection
/// depends on the machine, so tests that use it accept both outcomes.
const SHORT: clock::Millis = clock::Millis(40);

fn key() -> key::RequestKey {
    let request = basilgrade_types::request::RequestId::mint();
    let slot = slot::Slot::new(3).expect("valid slot");
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

/// The name of an error's variant, or `ok`.
fn name<T>(result: &Result<T, call_error::CallError>) -> &'static str {
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

/// The rule that all of this is about.
fn agrees(verdict: verdict::Verdict, executions: usize) -> bool {
    match verdict {
        verdict::Verdict::NotRun => executions == 0,
        verdict::Verdict::Ran => executions == 1,
        verdict::Verdict::MayHaveRun => executions <= 1,
    }
}

/// The answer of an upstream that is leaving and gives no verdict.
const LEAVING: &str = "HTTP/1.1 503 -\r\nbasilgrade-leaving: true\r\ncontent-length: 0\r\n\r\n";

fn raw(text: &str) -> fault::Fault {
    fault::Fault::Raw(text.to_owned().into())
}

/// Guards against a wrong error or verdict for any fault of a pool member.
#[tokio::test]
async fn each_fault_of_a_pool_member_has_its_error() {
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
        (fault::Fault::Twice, "ok", 1),
        (fault::Fault::WrongAttempt, "mismatch", 1),
        (fault::Fault::WrongRequest, "mismatch", 1),
        (fault::Fault::WrongStage, "mismatch", 1),
        (raw("nonsense\r\n\r\n"), "malformed", 0),
        (raw("HTTP/1.1 200 OK\r\n\r\nbody"), "mismatch", 0),
        (raw(""), "broken", 0),
    ];
    for (fault, expected, runs) in table {
        let member = pool::start().await.expect("free port");
        let client = common::client();
        let call = common::call(member.address);
        let request = call.request.to_string();
        member.faults.push(fault.clone());

        let result = client.call(call).await;

        let executions = member.executions.of_request(&request);
        assert_eq!((name(&result), executions), (expected, runs), "{fault:?}");
        assert!(agrees(verdict_of(&result), executions), "{fault:?}");
    }
}

/// Guards against a wrong error or verdict for any fault of a plain service without echo.
#[tokio::test]
async fn each_fault_of_a_service_has_its_error() {
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
        (fault::Fault::Twice, "ok", 1),
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
    for (fault, expected, runs) in table {
        let service = service::start(service::Echo::Unknown, service::Keys::Ignored)
            .await
            .expect("free port");
        let client = common::client();
        let call = charge(service.address);
        let key = call.key.expect("key").to_string();
        service.faults.push(fault.clone());

        let result = client.call(call).await;

        let executions = service.executions.of_key(&key);
        assert_eq!((name(&result), executions), (expected, runs), "{fault:?}");
        assert!(agrees(verdict_of(&result), executions), "{fault:?}");
        let leaving = result.is_err_and(|error| error.is_leaving());
        assert_eq!(leaving, expected.starts_with("leaving"), "{fault:?}");
    }
}

/// Guards against unbounded memory for heads and bodies, and against a wrong end of a body.
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
    for (number, (answer, expected)) in table.into_iter().enumerate() {
        let service = service::start(service::Echo::Unknown, service::Keys::Ignored)
            .await
            .expect("free port");
        let client = common::client();
        service.faults.push(raw(&answer));

        let result = client.call(lookup(service.address)).await;

        let result = result.map(|reply| reply.body.len());
        assert_eq!(name(&result), expected, "{number}: {result:?}");
    }
}

/// Guards against waiting for the body that an answer to `HEAD` declares and does not have.
#[tokio::test]
async fn an_answer_to_head_has_no_body() {
    let service = service::start(service::Echo::Unknown, service::Keys::Ignored)
        .await
        .expect("free port");
    let client = common::client();
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    service.faults.push(raw(answer));
    let call = call::Call {
        method: hyper::Method::HEAD,
        ..lookup(service.address)
    };

    let reply = client.call(call).await.expect("answer");

    assert!(reply.body.is_empty());
}

/// Guards against a call that is reported as possibly run although its connection was refused.
#[tokio::test]
async fn a_refused_connection_is_not_run_and_recovers() {
    let member = pool::start().await.expect("free port");
    let client = common::client();
    member.set(fault::Fault::Dead).await;

    let during = client.call(common::call(member.address)).await;
    member.set(fault::Fault::None).await;
    let after = client.call(common::call(member.address)).await;

    assert_eq!(name(&during), "connect");
    assert_eq!(verdict_of(&during), verdict::Verdict::NotRun);
    assert_eq!(name(&after), "ok");
}

/// Guards against a call that spends all of its time on an upstream whose host does not accept
/// connections, although another upstream could have run it.
#[tokio::test]
async fn a_connection_that_is_not_established_is_not_run() {
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    let any = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    socket.bind(any).expect("free port");
    let listener = socket.listen(1).expect("listener");
    let address = listener.local_addr().expect("address");
    // Connections that are never accepted; the kernel leaves those beyond its queue unanswered.
    let queued = (0..2).map(|_| tokio::net::TcpStream::connect(address));
    let _queued = futures::future::join_all(queued).await;
    let client = client::HttpUpstream::new(client::Settings {
        connect_timeout: SHORT,
        ..client::Settings::default()
    });

    let result = client.call(common::call(address)).await;

    assert_eq!(name(&result), "connect", "{result:?}");
    assert_eq!(client.counters().connects, 0);
}

/// Guards against a call that waits without end, and against one sent with no time left.
#[tokio::test]
async fn the_time_left_bounds_a_call() {
    let faults = [
        fault::Fault::Hang,
        fault::Fault::Late(common::LONG),
        fault::Fault::Slow(common::LONG),
    ];
    for fault in faults {
        let member = pool::start().await.expect("free port");
        let client = common::client();
        let call = call::Call {
            time_left: SHORT,
            ..common::call(member.address)
        };
        let request = call.request.to_string();
        member.faults.set(fault.clone());

        let result = client.call(call).await;

        let executions = member.executions.of_request(&request);
        let expected = ["timeout", "connect", "unsent"].contains(&name(&result));
        assert!(expected, "{fault:?}: {result:?}");
        assert!(agrees(verdict_of(&result), executions), "{fault:?}");
    }
}

/// Guards against bytes sent for a call that cannot be answered in time or has no valid path.
#[tokio::test]
async fn calls_that_cannot_be_sent_are_not_run() {
    let member = pool::start().await.expect("free port");
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

        assert_eq!(name(&result), "unsent", "{result:?}");
    }
    assert_eq!(client.counters().connects, 0);
}

/// Guards against a second answer being taken for the answer to the next call.
#[tokio::test]
async fn a_duplicate_answer_reaches_no_other_call() {
    let member = pool::start().await.expect("free port");
    let client = common::client();
    let late = fault::Fault::LateDuplicate(clock::Millis(1));
    for number in 0..50 {
        let faults = [fault::Fault::Twice, late.clone()];
        member.faults.push(faults[number % 2].clone());
        let call = call::Call {
            body: number.to_string().into(),
            ..common::call(member.address)
        };

        let result = client.call(call).await;

        // The duplicate may arrive before or after the next call is written.
        match result {
            Ok(reply) => {
                let expected = pool::transform("rerank", number.to_string().as_bytes());
                assert_eq!(reply.body, expected);
            }
            Err(error) => assert_eq!(error.verdict(), verdict::Verdict::MayHaveRun),
        }
    }
    let dropped = || client.counters().unexpected_bytes + client.counters().mismatches;
    common::until(|| dropped() > 0).await;
}

/// Guards against a connection that is reused although nothing binds its answers to their calls.
#[tokio::test]
async fn a_connection_without_echo_is_not_reused() {
    let service = service::start(service::Echo::Unknown, service::Keys::Ignored)
        .await
        .expect("free port");
    let client = common::client();

    for fault in [fault::Fault::None, fault::Fault::Twice, fault::Fault::None] {
        service.faults.push(fault);
        let reply = client.call(lookup(service.address)).await.expect("answer");
        assert_eq!(reply.body, service::lookup("seat-12"));
    }

    assert_eq!(client.counters().reused, 0);
}

/// Guards against a non-idempotent call on a pooled connection, which the upstream may be closing,
/// so that the call would end as `may have run` without need.
#[tokio::test]
async fn non_idempotent_calls_get_a_new_connection() {
    let service = service::start(service::Echo::Sent, service::Keys::Ignored)
        .await
        .expect("free port");
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
            client.call(call.clone()).await.expect("answer");
        }

        assert_eq!(client.counters().reused, reused, "{call:?}");
    }
}

/// Guards against a call that fails because the service closed its connection after the one before.
#[tokio::test]
async fn non_idempotent_calls_succeed_beside_closing_connections() {
    let service = service::start(service::Echo::Sent, service::Keys::Ignored)
        .await
        .expect("free port");
    let client = common::client();
    service.faults.set(fault::Fault::CloseIdle);

    for _ in 0..20 {
        client.call(charge(service.address)).await.expect("answer");
    }

    assert_eq!(service.executions.all().len(), 20);
}

/// Guards against a key that does not reach the service, and against a service that is charged
/// twice when the executor repeats a call with the same key.
#[tokio::test]
async fn a_repeat_with_an_honoured_key_is_charged_once() {
    let service = service::start(service::Echo::Sent, service::Keys::Honoured)
        .await
        .expect("free port");
    let client = common::client();
    let call = charge(service.address);
    let key = call.key.expect("key").to_string();
    service.faults.push(fault::Fault::RunReset);

    let first = client.call(call.clone()).await;
    let second = client.call(call).await;

    assert_eq!(verdict_of(&first), verdict::Verdict::MayHaveRun);
    assert_eq!(second.expect("answer").body, service::receipt(b"in"));
    assert_eq!(service.executions.of_key(&key), 1);
}

/// Guards against a pool that grows without bound.
#[tokio::test]
async fn idle_connections_are_bounded() {
    let member = pool::start().await.expect("free port");
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

/// Guards against headers of the caller that forge the identity or change the connection.
#[tokio::test]
async fn headers_of_the_caller_do_not_replace_those_of_the_client() {
    let member = pool::start().await.expect("free port");
    let client = common::client();
    let mut call = common::call(member.address);
    let forged = ["basilgrade-request-id", "idempotency-key", "host"];
    for name in forged {
        let value = hyper::header::HeaderValue::from_static("forged");
        call.headers.insert(name, value);
    }
    let length = hyper::header::HeaderValue::from_static("1");
    call.headers.insert("content-length", length);
    let request = call.request.to_string();

    let reply = client.call(call).await.expect("answer");

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
        fault::Fault::Twice,
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
            member: pool::start().await.expect("free port"),
            service: service.await.expect("free port"),
            client: common::client(),
        }
    }

    /// Makes one call. Returns a description when verdict and record disagree.
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
        // A call that was never read has not used up its fault.
        server.faults.clear();
        let executions = server.executions.of_request(&request);
        let complete = match &result {
            Ok(reply) => reply.body == expected(step.kind),
            Err(_) => true,
        };
        if agrees(verdict_of(&result), executions) && complete {
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

/// Guards against a verdict that denies an execution, an answer to another call, and a call that
/// the client sends twice, over sequences of calls that share pooled connections.
#[test]
fn verdicts_agree_with_executions_over_any_sequence_of_faults() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let steps = prop::collection::vec(any_step(), 1..12);

    let result = test_runner::TestRunner::new(common::cases(96, 4)).run(&steps, |steps| {
        runtime.block_on(async {
            let upstreams = Upstreams::start().await;
            for step in &steps {
                let agreed = upstreams.step(step).await;
                prop_assert!(agreed.is_ok(), "{step:?}: {agreed:?}");
            }
            Ok(())
        })
    });

    assert_eq!(result, Ok(()));
}
