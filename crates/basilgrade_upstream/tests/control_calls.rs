//! Tests of control calls: orders, load reports, cache events, cancellations and KV transfers.

mod common;

use basilgrade_standins::engine;
use basilgrade_standins::fault;
use basilgrade_types::clock;
use basilgrade_types::fence;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;
use basilgrade_upstream::load;
use basilgrade_upstream::order;
use basilgrade_upstream::upstream::Upstream;
use futures::StreamExt;

async fn engine(options: engine::Options) -> engine::Engine {
    engine::start(options).await.expect("expected a free port")
}

fn order(fence: u64, models: &[&str]) -> order::Order {
    let parse = |name: &&str| name.parse().expect("expected a valid name");
    order::Order {
        fence: fence::Fence(fence),
        models: models.iter().map(parse).collect(),
    }
}

fn generation(engine: &engine::Engine, prompt: &str) -> call::Generation {
    let mut generation = common::generation(engine.server.address, 2);
    prompt.clone_into(&mut generation.prompt);
    generation
}

/// Guards against an engine that checks fencing numbers and still executes an order of a former
/// lease holder, and against a stand-in that checks them although its option says otherwise.
#[tokio::test]
async fn stale_order_is_refused_if_fencing_is_checked() {
    for (fencing, expected) in [
        (engine::Fencing::Checked, "new"),
        (engine::Fencing::Ignored, "old"),
    ] {
        let engine = engine(engine::Options {
            fencing,
            ..engine::Options::default()
        })
        .await;
        let client = common::client();
        let address = engine.server.address;
        client
            .order(address, order(8, &["new"]))
            .await
            .expect("expected the order to be executed");

        let stale = client.order(address, order(7, &["old"])).await;

        let checked = fencing == engine::Fencing::Checked;
        assert_eq!(stale.is_err(), checked);
        assert_eq!(engine.models(), [expected]);
    }
}

/// Guards against a load report that lists a model whose load is still in progress.
#[tokio::test]
async fn loading_model_is_not_reported() {
    let engine = engine(engine::Options {
        load_time: common::LONG,
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    let address = engine.server.address;

    client
        .order(address, order(1, &["new"]))
        .await
        .expect("expected the order to be accepted");

    let load = client.load(address).await.expect("expected a load report");
    assert!(load.models.is_empty());
}

/// Guards against an engine that runs a generation although its model is not loaded, and against an
/// error other than a refusal.
#[tokio::test]
async fn missing_model_is_refused_as_not_run() {
    let engine = engine(engine::Options {
        models: vec!["base".to_owned()],
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    let mut generation = generation(&engine, "p");
    generation.model = Some("other".parse().expect("expected a valid name"));

    let (_, error) = common::collect(&client, generation).await;

    assert!(matches!(error, Some(call_error::CallError::Refused(..))));
    assert!(engine.server.executions.all().is_empty());
}

/// Guards against load reports of the stand-in without the lag that real engines have.
#[tokio::test]
async fn load_report_lags_behind_load() {
    let slow_options = |report_lag| engine::Options {
        token_interval: common::LONG,
        report_lag,
        ..engine::Options::default()
    };
    for (lag, running) in [(clock::Millis::ZERO, 1), (common::LONG, 0)] {
        let engine = engine(slow_options(lag)).await;
        let client = common::client();
        let call = generation(&engine, "p");
        let mut stream = client.generate(call);
        let started = async {
            common::wait_until(|| !engine.started().is_empty()).await;
        };
        tokio::select! {
            _ = stream.next() => panic!("expected no token within the interval of the engine"),
            () = started => {}
        }

        let load = client
            .load(engine.server.address)
            .await
            .expect("expected a load report");

        assert_eq!((load.running, load.age), (running, lag.0));
    }
}

/// Guards against a leaving engine that accepts calls or does not announce in the load report that
/// it is leaving.
#[tokio::test]
async fn leaving_engine_refuses_calls_and_reports_leaving() {
    let engine = engine(engine::Options::default()).await;
    let client = common::client();
    engine.server.faults.set(fault::Fault::Leaving);

    let (_, error) = common::collect(&client, generation(&engine, "p")).await;
    let load = client
        .load(engine.server.address)
        .await
        .expect("expected a load report");

    let leaving = matches!(error, Some(call_error::CallError::Refused(_, true)));
    assert!(leaving, "{error:?}");
    assert!(load.leaving);
}

/// Guards against a stand-in that reports all cache events, which real engines do not guarantee,
/// or whose cache is unbounded.
#[tokio::test]
async fn cache_events_have_gaps_and_include_evictions() {
    let engine = engine(engine::Options {
        cache_capacity: 2,
        drop_every: 4,
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    for prompt in ["a", "b", "c", "a"] {
        let (_, error) = common::collect(&client, generation(&engine, prompt)).await;
        assert_eq!(error, None);
    }

    let all = client.cache_events(engine.server.address, 0).await;
    let later = client.cache_events(engine.server.address, 4).await;

    // Events: a, b and c stored; a evicted (the event with `seq` 3 is lost); a stored; b evicted.
    let event = |seq, prompt, change| load::CacheEvent {
        seq,
        prefix: engine::prefix_hash(prompt),
        change,
    };
    let expected = [
        event(0, "a", load::CacheChange::Stored),
        event(1, "b", load::CacheChange::Stored),
        event(2, "c", load::CacheChange::Stored),
        event(4, "a", load::CacheChange::Stored),
        event(5, "b", load::CacheChange::Evicted),
    ];
    assert_eq!(all.expect("expected cache events"), expected);
    assert_eq!(later.expect("expected cache events"), expected[3..]);
}

/// Guards against a cancellation by request id that does not stop the generation.
#[tokio::test]
async fn cancellation_of_request_stops_generation() {
    let engine = engine(engine::Options {
        token_interval: clock::Millis(1),
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    let generation = common::generation(engine.server.address, 1_000_000);
    let request = generation.call.request;
    let mut stream = client.generate(generation);
    stream
        .next()
        .await
        .expect("expected a token")
        .expect("expected a token");

    client
        .cancel(engine.server.address, request)
        .await
        .expect("expected the cancellation to succeed");

    // Reads the tokens that were sent before the cancellation.
    let error = loop {
        match stream
            .next()
            .await
            .expect("expected an error at the end of a cancelled stream")
        {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert!(matches!(error, call_error::CallError::Malformed(..)));
    assert_eq!(engine.cancelled_requests(), [request.to_string()]);
}

/// Guards against control calls that wait forever for an engine that accepts and never responds.
#[tokio::test]
async fn control_calls_time_out() {
    let engine = engine(engine::Options::default()).await;
    let client =
        basilgrade_upstream::client::HttpUpstream::new(basilgrade_upstream::client::Settings {
            control_timeout: clock::Millis(50),
            transfer_timeout: clock::Millis(50),
            ..basilgrade_upstream::client::Settings::default()
        });
    let address = engine.server.address;
    engine.server.faults.set(fault::Fault::Hang);
    let request = basilgrade_types::request::RequestId::mint();

    assert!(client.load(address).await.is_err());
    assert!(client.cache_events(address, 0).await.is_err());
    assert!(client.order(address, order(1, &[])).await.is_err());
    assert!(client.export_kv(address, 1).await.is_err());
    assert!(client.import_kv(address, 1, "kv".into()).await.is_err());
    assert!(client.cancel(address, request).await.is_err());
}

/// Guards against a KV cache changed by a transfer, and a missing prefix that looks empty.
#[tokio::test]
async fn kv_cache_is_imported_and_exported_unchanged() {
    let engine = engine(engine::Options::default()).await;
    let client = common::client();
    let address = engine.server.address;

    client
        .import_kv(address, 5, "cache".into())
        .await
        .expect("expected the import to succeed");
    let exported = client.export_kv(address, 5).await;
    let missing = client.export_kv(address, 6).await;

    assert_eq!(exported.expect("expected the exported cache"), "cache");
    assert_eq!(missing, Err(call_error::CallError::Status(address, 404)));
}
