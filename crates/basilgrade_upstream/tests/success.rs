//! Calls without faults.

mod common;

use basilgrade_standins::engine;
use basilgrade_standins::pool;
use basilgrade_upstream::upstream::Upstream;

/// Guards against an answer that is changed on its way, or a call that runs twice.
#[tokio::test]
async fn a_call_runs_once_and_returns_its_answer() {
    let member = pool::start().await.expect("free port");
    let client = common::client();
    let call = common::call(member.address);
    let request = call.request.to_string();

    let reply = client.call(call).await.expect("answer");

    assert_eq!(reply.body, pool::transform("rerank", b"in"));
    assert_eq!(member.executions.of_request(&request), 1);
}

/// Guards against a pool that is never used, which would cost a handshake for each call.
#[tokio::test]
async fn a_second_call_uses_the_first_connection() {
    let member = pool::start().await.expect("free port");
    let client = common::client();

    for _ in 0..2 {
        let call = common::call(member.address);
        client.call(call).await.expect("answer");
    }

    let counters = client.counters();
    assert_eq!((counters.connects, counters.reused), (1, 1));
}

/// Guards against tokens that are lost or changed on their way.
#[tokio::test]
async fn a_stream_delivers_all_tokens() {
    let engine = engine::start(engine::Options::default())
        .await
        .expect("free port");
    let client = common::client();
    let generation = common::generation(engine.server.address, 300);
    let expected = engine::answer(&generation.prompt, 300);

    let (tokens, error) = common::collect(&client, generation).await;

    assert_eq!(error, None);
    assert_eq!(common::text(&tokens), expected);
    assert!(tokens.iter().map(|token| token.offset).eq(0..300));
}

/// Guards against names outside ASCII, which operators may use, being lost in headers.
#[tokio::test]
async fn a_stage_name_may_hold_any_letters() {
    let member = pool::start().await.expect("free port");
    let client = common::client();
    let mut call = common::call(member.address);
    call.stage = "búsqueda-ɛ".parse().expect("valid name");

    let reply = client.call(call).await.expect("answer");

    assert_eq!(reply.body, pool::transform("búsqueda-ɛ", b"in"));
}
