//! Fixtures shared by the tests of the HTTP client.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::net;
use std::str::FromStr;

use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::request;
use basilgrade_types::size;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;
use basilgrade_upstream::client;
use basilgrade_upstream::token;
use basilgrade_upstream::upstream::Upstream;
use futures::StreamExt;
use proptest::test_runner;

/// Time limit far above what any test needs, so that no test depends on the speed of the machine.
pub(crate) const LONG: clock::Millis = clock::Millis::from_secs(120);

/// A client whose time limits never expire in a test.
pub(crate) fn client() -> client::HttpUpstream {
    client::HttpUpstream::new(client::Settings {
        connect_timeout: LONG,
        control_timeout: LONG,
        transfer_timeout: LONG,
        idle_timeout: LONG,
        ..client::Settings::default()
    })
}

/// A call to a member of a stage pool with the body `in`.
pub(crate) fn call(address: net::SocketAddr) -> call::Call {
    call::Call {
        address,
        method: hyper::Method::POST,
        path: "/run".to_owned(),
        headers: hyper::HeaderMap::new(),
        body: "in".into(),
        request: request::RequestId::mint(),
        stage: id::StageId::from_str("rerank").expect("expected a valid stage name"),
        attempt: attempt::Attempt(0),
        key: None,
        time_left: LONG,
        echo: call::Echo::Required,
    }
}

pub(crate) fn generation(address: net::SocketAddr, tokens: u64) -> call::Generation {
    call::Generation {
        call: call(address),
        model: None,
        prompt: "Which gown is worn in Mendoza?".to_owned(),
        max_tokens: size::TokenCount(tokens),
        offset: size::TokenCount(0),
        received: Vec::new(),
        priority: 0,
    }
}

/// Reads a stream to its end. Returns the tokens, and the error if the stream failed.
pub(crate) async fn collect(
    client: &client::HttpUpstream,
    generation: call::Generation,
) -> (Vec<token::Token>, Option<call_error::CallError>) {
    let mut stream = client.generate(generation);
    let mut tokens = Vec::new();
    while let Some(item) = stream.next().await {
        match item {
            Ok(token) => tokens.push(token),
            Err(error) => return (tokens, Some(error)),
        }
    }
    (tokens, None)
}

/// Configuration of property tests that generates the same cases in every run.
pub(crate) fn cases(cases: u32, seed: u64) -> test_runner::Config {
    test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..test_runner::Config::default()
    }
}

/// Waits until a condition holds. Panics if it does not hold within [`LONG`].
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(clock::Millis(1).duration()).await;
        }
    };
    tokio::time::timeout(LONG.duration(), waiting)
        .await
        .expect("expected the condition to hold in time");
}

pub(crate) fn joined_text(tokens: &[token::Token]) -> String {
    tokens.iter().map(|token| token.text.as_str()).collect()
}
