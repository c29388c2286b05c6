//! Control calls against the engine, and the peculiarities of engines that they show.

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
    engine::start(options).await.expect("free port")
}

fn order(fence: u64, models: &[&str]) -> order::Order {
    let parse = |name: &&str| name.parse().expect("valid name");
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

/// Guards against an order of an old lease holder that is followed where numbers are checked, and
/// against a stand-in that checks them where the deployment says they are ignored.
#[tokio::test]
async fn old_orders_are_refused_only_where_numbers_are_checked() {
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
            .expect("followed");

        let old = client.order(address, order(7, &["old"])).await;

        let checked = fencing == engine::Fencing::Checked;
        assert_eq!(old.is_err(), checked);
        assert_eq!(engine.models(), [expected]);
    }
}

/// Guards against an order that is taken for done before the load report shows it.
#[tokio::test]
async fn a_model_that_is_loading_is_not_reported() {
    let engine = engine(engine::Options {
        loading: common::LONG,
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    let address = engine.server.address;

    client
        .order(address, order(1, &["new"]))
        .await
        .expect("accepted");

    let load = client.load(address).await.expect("load");
    assert!(load.models.is_empty());
}

/// Guards against a generation that is sent to a model which is not loaded and counts as run.
#[tokio::test]
async fn a_missing_model_is_refused_as_not_run() {
    let engine = engine(engine::Options {
        models: vec!["base".to_owned()],
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    let mut generation = generation(&engine, "p");
    generation.model = Some("other".parse().expect("valid name"));

    let (_, error) = common::collect(&client, generation).await;

    assert!(matches!(error, Some(call_error::CallError::Refused(..))));
    assert!(engine.server.executions.all().is_empty());
}

/// Guards against load reports without the lag that real engines have.
#[tokio::test]
async fn a_load_report_shows_the_load_after_its_lag() {
    let slow = |lag| engine::Options {
        interval: common::LONG,
        lag,
        ..engine::Options::default()
    };
    for (lag, running) in [(clock::Millis::ZERO, 1), (common::LONG, 0)] {
        let engine = engine(slow(lag)).await;
        let client = common::client();
        let call = generation(&engine, "p");
        let mut stream = client.generate(call);
        let started = async {
            common::until(|| !engine.started().is_empty()).await;
        };
        tokio::select! {
            _ = stream.next() => panic!("the engine waits before its first token"),
            () = started => {}
        }

        let load = client.load(engine.server.address).await.expect("load");

        assert_eq!((load.running, load.age), (running, lag.0));
    }
}

/// Guards against a leaving engine whose report does not say so.
#[tokio::test]
async fn a_leaving_engine_refuses_and_reports_it() {
    let engine = engine(engine::Options::default()).await;
    let client = common::client();
    engine.server.faults.set(fault::Fault::Leaving);

    let (_, error) = common::collect(&client, generation(&engine, "p")).await;
    let load = client.load(engine.server.address).await.expect("load");

    let leaving = matches!(error, Some(call_error::CallError::Refused(_, true)));
    assert!(leaving, "{error:?}");
    assert!(load.leaving);
}

/// Guards against cache events that are complete, which real engines do not promise, and against
/// a cache without limit.
#[tokio::test]
async fn cache_events_have_gaps_and_tell_of_evictions() {
    let engine = engine(engine::Options {
        cache: 2,
        gap: 4,
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

    // Stored a, b, c; evicted a, which is lost; stored a; evicted b.
    let event = |seq, prompt, change| load::CacheEvent {
        seq,
        prefix: engine::prefix(prompt),
        change,
    };
    let expected = [
        event(0, "a", load::CacheChange::Stored),
        event(1, "b", load::CacheChange::Stored),
        event(2, "c", load::CacheChange::Stored),
        event(4, "a", load::CacheChange::Stored),
        event(5, "b", load::CacheChange::Evicted),
    ];
    assert_eq!(all.expect("events"), expected);
    assert_eq!(later.expect("events"), expected[3..]);
}

/// Guards against a cancellation by request id that reaches no or only one attempt.
#[tokio::test]
async fn cancelling_a_request_stops_its_generation() {
    let engine = engine(engine::Options {
        interval: clock::Millis(1),
        ..engine::Options::default()
    })
    .await;
    let client = common::client();
    let generation = common::generation(engine.server.address, 1_000_000);
    let request = generation.call.request;
    let mut stream = client.generate(generation);
    stream.next().await.expect("token").expect("token");

    client
        .cancel(engine.server.address, request)
        .await
        .expect("cancelled");

    // Drains what was sent before the cancellation.
    let error = loop {
        match stream.next().await.expect("a cancelled stream has no end") {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert!(matches!(error, call_error::CallError::Malformed(..)));
    assert_eq!(engine.stopped(), [request.to_string()]);
}

/// Guards against control calls that wait without end for an engine that accepts and never answers.
#[tokio::test]
async fn control_calls_are_bounded_in_time() {
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

/// Guards against KV cache that is changed in a transfer, and a missing prefix that looks empty.
#[tokio::test]
async fn kv_cache_moves_between_engines() {
    let engine = engine(engine::Options::default()).await;
    let client = common::client();
    let address = engine.server.address;

    client
        .import_kv(address, 5, "cache".into())
        .await
        .expect("imported");
    let exported = client.export_kv(address, 5).await;
    let missing = client.export_kv(address, 6).await;

    assert_eq!(exported.expect("cache"), "cache");
    assert_eq!(missing, Err(call_error::CallError::Status(address, 404)));
}
