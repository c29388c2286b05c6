//! Fixture of a daemon core in virtual time, with scripted upstreams and claims.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

pub(crate) mod fake_ledger;
pub(crate) mod fake_upstream;
pub(crate) mod virtual_clock;

use std::sync;

use basilgrade_policy::router;
use basilgrade_server::caller::respond;
use basilgrade_server::core;
use basilgrade_server::limits;
use basilgrade_server::metrics;
use basilgrade_server::serve;
use basilgrade_types::revision;
use bytes::Bytes;
use http_body_util::BodyExt;

/// A core with scripted components.
pub(crate) struct Fixture {
    /// The core under test.
    pub(crate) core: sync::Arc<core::Core>,
    /// Scripted upstreams of the core.
    pub(crate) upstream: fake_upstream::FakeUpstream,
    /// Scripted claims of the core.
    pub(crate) ledger: fake_ledger::FakeLedger,
}

/// Configuration of all tests, with two upstreams in each pool.
pub(crate) const CONFIGURATION: &str = "\
[deployment]\nname = test\n\
[domain a]\nregion = north\n\
[pool encoders]\nkind = encoder\nprice = 1\n\
[pool rerankers]\nkind = reranker\nprice = 1\n\
[pool sales]\nkind = service\nprice = 1\n\
[upstream encoder-1]\npool = encoders\ndomain = a\naddress = 127.0.0.1:1\ncapacity = 8\n\
[upstream encoder-2]\npool = encoders\ndomain = a\naddress = 127.0.0.1:2\ncapacity = 8\n\
[upstream reranker-1]\npool = rerankers\ndomain = a\naddress = 127.0.0.1:3\ncapacity = 8\n\
[upstream reranker-2]\npool = rerankers\ndomain = a\naddress = 127.0.0.1:4\ncapacity = 8\n\
[upstream sales-1]\npool = sales\ndomain = a\naddress = 127.0.0.1:5\ncapacity = 8\n\
[upstream sales-2]\npool = sales\ndomain = a\naddress = 127.0.0.1:6\ncapacity = 8\n\
[pipeline p]\ndeadline = 10s\nstages = encode, rerank\n\
[stage p encode]\npool = encoders\nidempotency = idempotent\n\
[stage p rerank]\npool = rerankers\nidempotency = idempotent\nskip = true\n\
[service sales]\ndeadline = 3s\nidempotency = non-idempotent\n\
[customer c]\nrate = 1000/s\nburst = 1000\n";

/// Builds a core with [`CONFIGURATION`] in force.
pub(crate) fn fixture() -> Fixture {
    let upstream = fake_upstream::FakeUpstream::default();
    let ledger = fake_ledger::FakeLedger::default();
    let core = core::Core::new(core::Components {
        clock: sync::Arc::new(virtual_clock::VirtualClock::start()),
        upstream: sync::Arc::new(upstream.clone()),
        router: |weights, _| {
            let settings = router::settings::ScoreSettings::new(weights);
            sync::Arc::new(router::scored::ScoredRouter::new(settings))
        },
        ledger: sync::Arc::new(ledger.clone()),
        metrics: sync::Arc::new(
            metrics::Metrics::new().expect("expected the metrics to be set up"),
        ),
        limits: limits::Limits::default(),
        domain: "a".parse().expect("expected a valid domain name"),
    });
    let deployment = basilgrade_config::parse(CONFIGURATION, "test.ini")
        .expect("expected a valid configuration");
    core.install(revision::Revision(1), &deployment);
    Fixture {
        core: sync::Arc::new(core),
        upstream,
        ledger,
    }
}

/// A response with its body as text.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) body: String,
}

/// Sends one `POST` request to the core and reads the response.
pub(crate) async fn post(fixture: &Fixture, path: &str, headers: &[(&str, &str)]) -> Response {
    let mut request = hyper::Request::post(path).header("basilgrade-customer", "c");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = http_body_util::Full::new(Bytes::from_static(b"in"));
    let request = request.body(body).expect("expected a valid request");
    read_response(serve::serve(sync::Arc::clone(&fixture.core), request).await).await
}

async fn read_response(response: hyper::Response<respond::Body>) -> Response {
    let verdict = response.headers().get("basilgrade-verdict");
    let verdict = verdict.map(|value| value.to_str().expect("expected ASCII text").to_owned());
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("expected a complete body");
    Response {
        status,
        verdict: verdict.unwrap_or_default(),
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}
