//! Token streams: resuming, cancellation and invalid streams.

mod common;

use basilgrade_standins::engine;
use basilgrade_standins::fault;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::size;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;
use basilgrade_upstream::client;
use basilgrade_upstream::token;
use basilgrade_upstream::upstream::Upstream;
use futures::FutureExt;
use futures::StreamExt;
use proptest::prelude::*;
use proptest::test_runner;

async fn engine() -> engine::Engine {
    engine::start(engine::Options::default())
        .await
        .expect("free port")
}

/// An engine that generates a token only after so long that a test never sees the end.
async fn slow_engine() -> engine::Engine {
    let options = engine::Options {
        interval: clock::Millis(5),
        ..engine::Options::default()
    };
    engine::start(options).await.expect("free port")
}

/// Generates on one engine after the other until the answer is complete, as an executor does.
async fn generate(
    client: &client::HttpUpstream,
    engines: &[engine::Engine],
    faults: &[fault::Fault],
    total: u64,
) -> (Vec<token::Token>, u32) {
    let mut tokens: Vec<token::Token> = Vec::new();
    let mut attempts = 0;
    let base = common::generation(engines[0].server.address, total);
    loop {
        let engine = &engines[attempts as usize % engines.len()];
        if let Some(fault) = faults.get(attempts as usize) {
            engine.server.faults.push(fault.clone());
        }
        let mut generation = base.clone();
        generation.call.address = engine.server.address;
        generation.call.attempt = attempt::Attempt(attempts);
        generation.offset = size::TokenCount(tokens.len() as u64);
        generation.received = tokens.iter().map(|token| token.text.clone()).collect();
        let (more, error) = common::collect(client, generation).await;
        tokens.extend(more);
        attempts += 1;
        if error.is_none() {
            return (tokens, attempts);
        }
    }
}

fn broken_streams() -> Vec<fault::Fault> {
    vec![
        fault::Fault::Leaving,
        fault::Fault::NoDone,
        fault::Fault::NoEcho,
        fault::Fault::None,
        fault::Fault::NotRun,
        fault::Fault::OffsetJump,
        fault::Fault::OffsetRepeat,
        fault::Fault::Raw("nonsense".into()),
        fault::Fault::Reset,
        fault::Fault::RunReset,
        fault::Fault::Status(500),
        fault::Fault::Truncated,
        fault::Fault::Twice,
        fault::Fault::WrongAttempt,
        fault::Fault::WrongRequest,
        fault::Fault::WrongStage,
    ]
}

/// Guards against a missing, repeated or foreign token when a stream moves between engines after
/// any sequence of faults.
#[test]
fn a_resumed_stream_has_each_token_once() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let (engines, client) =
        runtime.block_on(async { ([engine().await, engine().await], common::client()) });
    let faults = prop::collection::vec(prop::sample::select(broken_streams()), 0..6);
    let inputs = (faults, 0_u64..40);

    let result =
        test_runner::TestRunner::new(common::cases(96, 5)).run(&inputs, |(faults, total)| {
            let (tokens, attempts) = runtime.block_on(generate(&client, &engines, &faults, total));
            for engine in &engines {
                engine.server.faults.clear();
            }
            let prompt = common::generation(engines[0].server.address, 0).prompt;
            prop_assert_eq!(common::text(&tokens), engine::answer(&prompt, total));
            prop_assert!(tokens.iter().map(|token| token.offset).eq(0..total));
            prop_assert!(attempts as usize <= faults.len() + 1);
            Ok(())
        });

    assert_eq!(result, Ok(()));
    // The engines were told exactly the tokens that they would have generated themselves.
    assert!(engines.iter().all(|engine| engine.conflicts() == 0));
}

/// Guards against an invalid stream that is taken for a complete one.
#[tokio::test]
async fn each_broken_stream_is_an_error_after_its_valid_tokens() {
    let table = [
        (fault::Fault::NoDone, 8, true),
        (fault::Fault::OffsetJump, 4, true),
        (fault::Fault::OffsetRepeat, 8, false),
        (fault::Fault::Truncated, 4, true),
        (fault::Fault::Twice, 8, false),
        (fault::Fault::WrongRequest, 0, true),
        (fault::Fault::Status(404), 0, true),
        (fault::Fault::RunReset, 0, true),
    ];
    for (fault, expected, fails) in table {
        let engine = engine().await;
        let client = common::client();
        engine.server.faults.push(fault.clone());

        let generation = common::generation(engine.server.address, 8);
        let (tokens, error) = common::collect(&client, generation).await;

        assert_eq!(
            (tokens.len(), error.is_some()),
            (expected, fails),
            "{fault:?}"
        );
        let verdict = error.map(|error| error.verdict());
        assert_ne!(verdict, Some(verdict::Verdict::NotRun), "{fault:?}");
    }
}

/// Guards against tokens delivered twice when an engine ignores the offset and starts again.
#[tokio::test]
async fn tokens_below_the_offset_are_dropped_and_counted() {
    let engine = engine().await;
    let client = common::client();
    let event = |offset| format!("data: {{\"offset\":{offset},\"token\":\"t{offset}\"}}\n\n");
    let events = (0..6).map(event).collect::<Vec<_>>().concat();
    let mut generation = common::generation(engine.server.address, 6);
    generation.offset = size::TokenCount(4);
    let answer = answer(&generation.call, &(events + "data: [DONE]\n\n"));
    engine.server.faults.push(fault::Fault::Raw(answer.into()));

    let (tokens, error) = common::collect(&client, generation).await;

    assert_eq!((common::text(&tokens).as_str(), error), ("t4t5", None));
    assert_eq!(client.counters().tokens_repeated, 4);
}

/// A stream answer to a call, ended by the close of the connection.
fn answer(call: &call::Call, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nbasilgrade-request-id: {}\r\nbasilgrade-stage: {}\r\n\
         basilgrade-attempt: {}\r\n\r\n{body}",
        call.request, call.stage, call.attempt
    )
    .into()
}

/// Guards against an engine that goes on generating for a caller that has gone.
#[tokio::test]
async fn a_dropped_stream_is_cancelled_at_the_engine() {
    let engine = slow_engine().await;
    let client = common::client();
    let generation = common::generation(engine.server.address, 1_000_000);
    let request = generation.call.request.to_string();
    let mut stream = client.generate(generation);

    stream.next().await.expect("token").expect("token");
    drop(stream);

    common::until(|| !engine.cancellations().is_empty()).await;
    let cancellation = &engine.cancellations()[0];
    assert_eq!(cancellation.request, request);
    assert_eq!(cancellation.attempt.as_deref(), Some("0"));
    assert_eq!(engine.server.executions.of_request(&request), 1);
}

/// Guards against a call future that is dropped, as by a lost hedge, without telling the engine.
#[tokio::test]
async fn a_dropped_call_is_cancelled_at_the_engine() {
    let engine = slow_engine().await;
    let client = common::client();
    let mut call = common::call(engine.server.address);
    call.path = "/v1/completions".to_owned();
    call.body = "{\"prompt\":\"p\",\"max_tokens\":1000000}".into();
    let request = call.request.to_string();
    let mut future = client.call(call);

    while engine.server.executions.of_request(&request) == 0 {
        assert!(future.as_mut().now_or_never().is_none());
        tokio::task::yield_now().await;
    }
    drop(future);

    common::until(|| !engine.cancellations().is_empty()).await;
    assert_eq!(engine.cancellations()[0].request, request);
}

/// Guards against a cancellation that stops another attempt at the same request.
#[tokio::test]
async fn a_cancellation_concerns_only_its_attempt() {
    let engine = slow_engine().await;
    let client = common::client();
    let first = common::generation(engine.server.address, 1_000_000);
    let mut second = first.clone();
    second.call.attempt = attempt::Attempt(1);
    second.max_tokens = size::TokenCount(20);
    let expected = engine::answer(&second.prompt, 20);
    let mut cancelled = client.generate(first);
    cancelled.next().await.expect("token").expect("token");
    let mut kept = client.generate(second);
    let mut tokens = vec![kept.next().await.expect("token").expect("token")];

    drop(cancelled);
    common::until(|| !engine.cancellations().is_empty()).await;
    while let Some(token) = kept.next().await {
        tokens.push(token.expect("token"));
    }

    assert_eq!(common::text(&tokens), expected);
}

/// Guards against cancellations for generations that ended, which would cost a call each.
#[tokio::test]
async fn a_finished_or_refused_stream_is_not_cancelled() {
    let engine = engine().await;
    let client = common::client();

    let (_, done) = common::collect(&client, common::generation(engine.server.address, 4)).await;
    engine.server.faults.push(fault::Fault::NotRun);
    let (_, refused) = common::collect(&client, common::generation(engine.server.address, 4)).await;

    assert_eq!(done, None);
    assert!(matches!(refused, Some(call_error::CallError::Refused(..))));
    assert_eq!(client.counters().cancels, 0);
}

/// Guards against a cancellation for a call that was never sent.
#[tokio::test]
async fn a_stream_dropped_before_it_was_read_is_not_cancelled() {
    let engine = engine().await;
    let client = common::client();

    drop(client.generate(common::generation(engine.server.address, 4)));

    assert_eq!(client.counters(), client::Counters::default());
}

/// Guards against a stream that outlives the time left of its call.
#[tokio::test]
async fn the_time_left_bounds_a_stream() {
    let engine = slow_engine().await;
    let client = common::client();
    let mut generation = common::generation(engine.server.address, 1_000_000);
    generation.call.time_left = clock::Millis(200);

    let (_, error) = common::collect(&client, generation).await;

    // On a slow machine the time may end before the generation was sent.
    let error = error.expect("error");
    let expected = matches!(
        error,
        call_error::CallError::Connect(..)
            | call_error::CallError::Timeout(..)
            | call_error::CallError::Unsent(..)
    );
    assert!(expected, "{error}");
}

/// Guards against an engine stand-in that ignores priorities.
#[tokio::test]
async fn a_higher_priority_starts_first() {
    let options = engine::Options {
        batch: 1,
        interval: clock::Millis(1),
        ..engine::Options::default()
    };
    let engine = engine::start(options).await.expect("free port");
    let client = common::client();
    let generation = |prompt: &str, priority, tokens| {
        let mut generation = common::generation(engine.server.address, tokens);
        prompt.clone_into(&mut generation.prompt);
        generation.priority = priority;
        generation
    };
    let mut first = client.generate(generation("first", 0, 1_000_000));
    first.next().await.expect("token").expect("token");
    let low = tokio::spawn(collect(client.clone(), generation("low", 1, 1)));
    let high = tokio::spawn(collect(client.clone(), generation("high", 9, 1)));
    common::until(|| engine.waiting() == 2).await;

    drop(first);
    low.await.expect("task");
    high.await.expect("task");

    assert_eq!(engine.started(), ["first", "high", "low"]);
}

async fn collect(client: client::HttpUpstream, generation: call::Generation) {
    common::collect(&client, generation).await;
}

/// Guards against a token beyond the asked number, and against a line that fills the memory.
#[tokio::test]
async fn streams_beyond_their_limits_are_malformed() {
    let token = "data: {\"offset\":0,\"token\":\"a\"}\n";
    let second = "data: {\"offset\":1,\"token\":\"b\"}\n";
    let last = "data: {\"offset\":18446744073709551615,\"token\":\"\"}\n";
    let cases = [
        (token.to_owned() + second, "more than 1 tokens"),
        ("data: ".to_owned() + &"x".repeat(4 << 20), "longer than"),
        (": comment\n".repeat(1000) + last, "jumps from 0"),
        (
            token.to_owned() + "data: {\"error\":\"x\"}\n",
            "not a token",
        ),
        (token.to_owned() + "data: \u{0}\n", "not a token"),
        (token.to_owned(), "without `[DONE]`"),
    ];
    for (body, expected) in cases {
        let engine = engine().await;
        let client = common::client();
        let generation = common::generation(engine.server.address, 1);
        let answer = answer(&generation.call, &body);
        engine.server.faults.push(fault::Fault::Raw(answer.into()));

        let (tokens, error) = common::collect(&client, generation).await;

        let Some(call_error::CallError::Malformed(_, reason)) = error else {
            panic!("{error:?} instead of `{expected}`");
        };
        assert!(reason.contains(expected), "{reason}");
        assert!(tokens.len() <= 1);
    }
}

/// Guards against tokens that are lost or joined when an event is split between chunks.
#[test]
fn events_are_read_whatever_the_chunks() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let engine = runtime.block_on(engine());
    let client = common::client();
    let tokens = prop::collection::vec(any::<String>(), 1..8);
    let sizes = prop::collection::vec(1_usize..30, 1..20);
    let ends = prop::sample::select(vec!["\n\n", "\r\n\r\n", "\n: comment\nid: 4\n"]);
    let inputs = (tokens, sizes, ends);

    let result =
        test_runner::TestRunner::new(common::cases(96, 7)).run(&inputs, |(tokens, sizes, end)| {
            let event = |(offset, token): (usize, &String)| {
                let event = serde_json::json!({"offset": offset, "token": token});
                format!("data: {event}{end}")
            };
            let mut body = tokens
                .iter()
                .enumerate()
                .map(event)
                .collect::<Vec<_>>()
                .concat();
            body += "data: [DONE]\n\n";
            let generation = common::generation(engine.server.address, 50);
            let head = answer(&generation.call, "");
            let head = head.strip_suffix(b"\r\n").expect("end of head");
            // The stand-in closes the connection, so the client must not pool it.
            let more = b"connection: close\r\ntransfer-encoding: chunked\r\n\r\n";
            let mut bytes = [head, more].concat();
            let mut rest = body.as_bytes();
            for size in sizes.iter().cycle() {
                let (chunk, more) = rest.split_at((*size).min(rest.len()));
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend([chunk, b"\r\n"].concat());
                // The chunk of size zero that was just written ends the body.
                if chunk.is_empty() {
                    break;
                }
                rest = more;
            }
            engine.server.faults.push(fault::Fault::Raw(bytes.into()));

            let (found, error) = runtime.block_on(common::collect(&client, generation));

            let found: Vec<_> = found.into_iter().map(|token| token.text).collect();
            prop_assert_eq!(error, None);
            prop_assert_eq!(found, tokens);
            Ok(())
        });

    assert_eq!(result, Ok(()));
}

/// Guards against a panic or a complete stream made of any bytes that do not hold one.
#[test]
fn arbitrary_bytes_are_an_error() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let engine = runtime.block_on(engine());
    let client = common::client();
    let piece = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..40),
        prop::sample::select(vec![
            "data: ",
            "data: {\"offset\":0,\"token\":\"a\"}\n",
            "data: {\"offset\":1,\"token\":\"\\u00e9\"}\r\n\r\n",
            "\n",
            "event: x\n",
            "data:{\"offset\":-1}\n",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
    ];
    let body = prop::collection::vec(piece, 0..12);

    let result = test_runner::TestRunner::new(common::cases(128, 6)).run(&body, |pieces| {
        let generation = common::generation(engine.server.address, 50);
        let mut bytes = answer(&generation.call, "");
        bytes.extend(pieces.concat());
        engine.server.faults.push(fault::Fault::Raw(bytes.into()));
        let (tokens, error) = runtime.block_on(common::collect(&client, generation));
        let malformed = matches!(error, Some(call_error::CallError::Malformed(..)));
        prop_assert!(malformed, "{error:?}");
        prop_assert!(tokens.len() <= 2);
        Ok(())
    });

    assert_eq!(result, Ok(()));
}
