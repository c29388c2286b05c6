//! Tests of token streams: resuming, cancellation, time limits and invalid streams.

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
        .expect("expected a free port")
}

/// An engine that generates one token every 5 ms, so that long generations outlast a test.
async fn slow_engine() -> engine::Engine {
    let options = engine::Options {
        token_interval: clock::Millis(5),
        ..engine::Options::default()
    };
    engine::start(options).await.expect("expected a free port")
}

/// Generates on alternating engines until all tokens are received, as a daemon does. Returns the
/// tokens and the number of attempts.
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

fn stream_faults() -> Vec<fault::Fault> {
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
        fault::Fault::Duplicate,
        fault::Fault::WrongAttempt,
        fault::Fault::WrongRequest,
        fault::Fault::WrongStage,
    ]
}

/// Guards against missing or repeated tokens, and tokens of another stream, when a stream resumes
/// on another engine after any sequence of faults.
#[test]
fn resumed_stream_has_each_token_once() {
    let runtime = tokio::runtime::Runtime::new().expect("expected a tokio runtime");
    let (engines, client) =
        runtime.block_on(async { ([engine().await, engine().await], common::client()) });
    let faults = prop::collection::vec(prop::sample::select(stream_faults()), 0..6);
    let inputs = (faults, 0_u64..40);

    let result =
        test_runner::TestRunner::new(common::cases(96, 5)).run(&inputs, |(faults, total)| {
            let (tokens, attempts) = runtime.block_on(generate(&client, &engines, &faults, total));
            for engine in &engines {
                engine.server.faults.clear();
            }
            let prompt = common::generation(engines[0].server.address, 0).prompt;
            prop_assert_eq!(
                common::joined_text(&tokens),
                engine::completion(&prompt, total)
            );
            prop_assert!(tokens.iter().map(|token| token.offset).eq(0..total));
            prop_assert!(attempts as usize <= faults.len() + 1);
            Ok(())
        });

    assert_eq!(result, Ok(()));
    // In every resumption, the received tokens are those that the engine would have generated.
    assert!(engines.iter().all(|engine| engine.resume_conflicts() == 0));
}

/// Guards against an invalid stream that is accepted as complete.
#[tokio::test]
async fn invalid_stream_fails_after_valid_tokens() {
    let table = [
        (fault::Fault::NoDone, 8, true),
        (fault::Fault::OffsetJump, 4, true),
        (fault::Fault::OffsetRepeat, 8, false),
        (fault::Fault::Truncated, 4, true),
        (fault::Fault::Duplicate, 8, false),
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

/// Guards against tokens delivered twice when an engine ignores the offset and starts at 0.
#[tokio::test]
async fn tokens_below_offset_are_dropped_and_counted() {
    let engine = engine().await;
    let client = common::client();
    let event = |offset| format!("data: {{\"offset\":{offset},\"token\":\"t{offset}\"}}\n\n");
    let events = (0..6).map(event).collect::<Vec<_>>().concat();
    let mut generation = common::generation(engine.server.address, 6);
    generation.offset = size::TokenCount(4);
    let response = response(&generation.call, &(events + "data: [DONE]\n\n"));
    engine
        .server
        .faults
        .push(fault::Fault::Raw(response.into()));

    let (tokens, error) = common::collect(&client, generation).await;

    assert_eq!(
        (common::joined_text(&tokens).as_str(), error),
        ("t4t5", None)
    );
    assert_eq!(client.counters().tokens_repeated, 4);
}

/// Response to a call with a stream that ends when the connection is closed.
fn response(call: &call::Call, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nbasilgrade-request-id: {}\r\nbasilgrade-stage: {}\r\n\
         basilgrade-attempt: {}\r\n\r\n{body}",
        call.request, call.stage, call.attempt
    )
    .into()
}

/// Guards against an engine that continues to generate after the stream was dropped.
#[tokio::test]
async fn dropped_stream_is_cancelled_at_engine() {
    let engine = slow_engine().await;
    let client = common::client();
    let generation = common::generation(engine.server.address, 1_000_000);
    let request = generation.call.request.to_string();
    let mut stream = client.generate(generation);

    stream
        .next()
        .await
        .expect("expected a token")
        .expect("expected a token");
    drop(stream);

    common::wait_until(|| !engine.cancellations().is_empty()).await;
    let cancellation = &engine.cancellations()[0];
    assert_eq!(cancellation.request, request);
    assert_eq!(cancellation.attempt.as_deref(), Some("0"));
    assert_eq!(engine.server.executions.count_by_request(&request), 1);
}

/// Guards against a dropped call, such as a hedge that lost, that is not cancelled at the engine.
#[tokio::test]
async fn dropped_call_is_cancelled_at_engine() {
    let engine = slow_engine().await;
    let client = common::client();
    let mut call = common::call(engine.server.address);
    call.path = "/v1/completions".to_owned();
    call.body = "{\"prompt\":\"p\",\"max_tokens\":1000000}".into();
    let request = call.request.to_string();
    let mut future = client.call(call);

    while engine.server.executions.count_by_request(&request) == 0 {
        assert!(future.as_mut().now_or_never().is_none());
        tokio::task::yield_now().await;
    }
    drop(future);

    common::wait_until(|| !engine.cancellations().is_empty()).await;
    assert_eq!(engine.cancellations()[0].request, request);
}

/// Guards against a cancellation that stops a second attempt at the same request.
#[tokio::test]
async fn cancellation_stops_only_its_attempt() {
    let engine = slow_engine().await;
    let client = common::client();
    let first = common::generation(engine.server.address, 1_000_000);
    let mut second = first.clone();
    second.call.attempt = attempt::Attempt(1);
    second.max_tokens = size::TokenCount(20);
    let expected = engine::completion(&second.prompt, 20);
    let mut cancelled = client.generate(first);
    cancelled
        .next()
        .await
        .expect("expected a token")
        .expect("expected a token");
    let mut kept = client.generate(second);
    let mut tokens = vec![kept.next().await.expect("next token").expect("a token")];

    drop(cancelled);
    common::wait_until(|| !engine.cancellations().is_empty()).await;
    while let Some(token) = kept.next().await {
        tokens.push(token.expect("expected a token"));
    }

    assert_eq!(common::joined_text(&tokens), expected);
}

/// Guards against cancellations of finished generations, each of which costs a call.
#[tokio::test]
async fn finished_or_refused_stream_is_not_cancelled() {
    let engine = engine().await;
    let client = common::client();

    let (_, done) = common::collect(&client, common::generation(engine.server.address, 4)).await;
    engine.server.faults.push(fault::Fault::NotRun);
    let (_, refused) = common::collect(&client, common::generation(engine.server.address, 4)).await;

    assert_eq!(done, None);
    assert!(matches!(refused, Some(call_error::CallError::Refused(..))));
    assert_eq!(client.counters().cancels, 0);
}

/// Guards against the cancellation of a call that was never sent.
#[tokio::test]
async fn unsent_stream_is_not_cancelled() {
    let engine = engine().await;
    let client = common::client();

    drop(client.generate(common::generation(engine.server.address, 4)));

    assert_eq!(client.counters(), client::Counters::default());
}

/// Guards against a stream that exceeds the time left of its call.
#[tokio::test]
async fn stream_times_out_after_time_left() {
    let engine = slow_engine().await;
    let client = common::client();
    let mut generation = common::generation(engine.server.address, 1_000_000);
    generation.call.time_left = clock::Millis(200);

    let (_, error) = common::collect(&client, generation).await;

    // On a slow machine the time may run out before the generation is sent.
    let error = error.expect("expected an error");
    let expected = matches!(
        error,
        call_error::CallError::Connect(..)
            | call_error::CallError::Timeout(..)
            | call_error::CallError::Unsent(..)
    );
    assert!(expected, "{error}");
}

/// Guards against a stand-in of an engine that ignores priorities.
#[tokio::test]
async fn higher_priority_starts_first() {
    let options = engine::Options {
        max_running: 1,
        token_interval: clock::Millis(1),
        ..engine::Options::default()
    };
    let engine = engine::start(options).await.expect("expected a free port");
    let client = common::client();
    let generation = |prompt: &str, priority, tokens| {
        let mut generation = common::generation(engine.server.address, tokens);
        prompt.clone_into(&mut generation.prompt);
        generation.priority = priority;
        generation
    };
    let mut first = client.generate(generation("first", 0, 1_000_000));
    first
        .next()
        .await
        .expect("expected a token")
        .expect("expected a token");
    let low = tokio::spawn(collect(client.clone(), generation("low", 1, 1)));
    let high = tokio::spawn(collect(client.clone(), generation("high", 9, 1)));
    common::wait_until(|| engine.queued() == 2).await;

    drop(first);
    low.await.expect("expected the task to finish");
    high.await.expect("expected the task to finish");

    assert_eq!(engine.started(), ["first", "high", "low"]);
}

async fn collect(client: client::HttpUpstream, generation: call::Generation) {
    common::collect(&client, generation).await;
}

/// Guards against more tokens than requested, and against a line that exhausts the memory.
#[tokio::test]
async fn streams_beyond_limits_are_malformed() {
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
        let response = response(&generation.call, &body);
        engine
            .server
            .faults
            .push(fault::Fault::Raw(response.into()));

        let (tokens, error) = common::collect(&client, generation).await;

        let Some(call_error::CallError::Malformed(_, reason)) = error else {
            panic!("expected a malformed stream with `{expected}`, got {error:?}");
        };
        assert!(reason.contains(expected), "{reason}");
        assert!(tokens.len() <= 1);
    }
}

/// Guards against tokens that are lost or joined when an event is split across chunks.
#[test]
fn events_are_decoded_across_chunk_boundaries() {
    let runtime = tokio::runtime::Runtime::new().expect("expected a tokio runtime");
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
            let head = response(&generation.call, "");
            let head = head
                .strip_suffix(b"\r\n")
                .expect("expected a head that ends with an empty line");
            // The stand-in closes the connection, so the client must not pool it.
            let more = b"connection: close\r\ntransfer-encoding: chunked\r\n\r\n";
            let mut bytes = [head, more].concat();
            let mut rest = body.as_bytes();
            for size in sizes.iter().cycle() {
                let (chunk, more) = rest.split_at((*size).min(rest.len()));
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend([chunk, b"\r\n"].concat());
                // The chunk of size 0 that was just written ends the body.
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

/// Guards against a panic, or a stream accepted as complete, on arbitrary bytes without end marker.
#[test]
fn arbitrary_bytes_are_malformed() {
    let runtime = tokio::runtime::Runtime::new().expect("expected a tokio runtime");
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
        let mut bytes = response(&generation.call, "");
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
