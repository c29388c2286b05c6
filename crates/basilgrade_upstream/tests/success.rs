//! Tests of calls and streams without faults.

mod common;

use basilgrade_standins::engine;
use basilgrade_standins::pool;
use basilgrade_upstream::upstream::Upstream;

/// Guards against a response that the client changes, and against a call that runs twice.
#[tokio::test]
async fn call_runs_once_and_returns_response() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();
    let call = common::call(member.address);
    let request = call.request.to_string();

    let reply = client.call(call).await.expect("expected a response");

    assert_eq!(reply.body, pool::transform("rerank", b"in"));
    assert_eq!(member.executions.count_by_request(&request), 1);
}

/// Guards against a connection pool that is never used, which costs a handshake per call.
#[tokio::test]
async fn second_call_reuses_connection() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();

    for _ in 0..2 {
        let call = common::call(member.address);
        client.call(call).await.expect("expected a response");
    }

    let counters = client.counters();
    assert_eq!((counters.connects, counters.reused), (1, 1));
}

/// Guards against tokens that are lost or changed by the client.
#[tokio::test]
async fn stream_delivers_all_tokens() {
    let engine = engine::start(engine::Options::default())
        .await
        .expect("expected a free port");
    let client = common::client();
    let generation = common::generation(engine.server.address, 300);
    let expected = engine::completion(&generation.prompt, 300);

    let (tokens, error) = common::collect(&client, generation).await;

    assert_eq!(error, None);
    assert_eq!(common::joined_text(&tokens), expected);
    assert!(tokens.iter().map(|token| token.offset).eq(0..300));
}

/// Guards against stage names with non-ASCII letters, which operators may use, lost in headers.
#[tokio::test]
async fn stage_name_may_contain_non_ascii_letters() {
    let member = pool::start().await.expect("expected a free port");
    let client = common::client();
    let mut call = common::call(member.address);
    call.stage = "búsqueda-ɛ".parse().expect("expected a valid stage name");

    let reply = client.call(call).await.expect("expected a response");

    assert_eq!(reply.body, pool::transform("búsqueda-ɛ", b"in"));
}
