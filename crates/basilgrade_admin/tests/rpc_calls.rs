//! Calls from a client to a server.

use std::sync::Arc;

use basilgrade_admin::Client;
use basilgrade_admin::client::error::ClientError;
use basilgrade_admin::configuration;
use basilgrade_config::settings::log::level;
use basilgrade_types::request;
use basilgrade_types::revision;

mod common;

/// Guards against fields that are lost or swapped on the way.
#[test]
fn status_arrives_unchanged() {
    let server = common::serve(Arc::default());

    let found = common::run(async {
        let client = Client::connect(server.address(), &common::right()).await?;
        client.status().await
    });

    assert_eq!(found, Ok(common::example_status()));
    server.stop();
}

/// Guards against an unknown request that looks like one without decisions.
#[test]
fn explain_tells_unknown_requests_apart() {
    let server = common::serve(Arc::default());
    let unknown = request::RequestId::mint();

    let (known, unknown) = common::run(async {
        let client = Client::connect(server.address(), &common::right())
            .await
            .expect("the client connects");
        let known = client.explain(common::id(common::KNOWN)).await;
        (known, client.explain(unknown).await)
    });

    let lines = vec!["event=route choice=assistant-1".to_owned(), "ñ".to_owned()];
    assert_eq!(known, Ok(Some(lines)));
    assert_eq!(unknown, Ok(None));
    server.stop();
}

/// Guards against orders that do not reach the daemon, or reach it twice.
#[test]
fn orders_reach_the_daemon_once() {
    let admin = Arc::new(common::FakeAdmin::default());
    let server = common::serve(admin.clone());

    let done = common::run(async {
        let client = Client::connect(server.address(), &common::right()).await?;
        client.set_level(level::Level::Debug).await?;
        client.drain().await
    });

    assert_eq!(done, Ok(()));
    let calls = admin.calls.lock().expect("no test panics here");
    assert_eq!(*calls, ["level debug", "drain"]);
    drop(calls);
    server.stop();
}

/// Guards against a limit on messages below the largest configuration.
#[test]
fn large_configurations_arrive() {
    let configuration = configuration::Configuration {
        revision: revision::Revision(3),
        text: "#\n".repeat(basilgrade_config::limits::TEXT / 2),
    };
    let server = common::serve(Arc::new(common::FakeAdmin {
        configuration: Some(configuration.clone()),
        ..common::FakeAdmin::default()
    }));
    let empty = common::serve(Arc::default());

    let found = common::run(async {
        let client = Client::connect(server.address(), &common::right()).await?;
        client.configuration().await
    });
    let none = common::run(async {
        let client = Client::connect(empty.address(), &common::right()).await?;
        client.configuration().await
    });

    assert!(found == Ok(Some(configuration)));
    assert_eq!(none, Ok(None));
    server.stop();
    empty.stop();
}

/// Guards against an unreachable daemon that is reported as a fault of the call.
#[test]
fn stopped_servers_are_unreachable() {
    let server = common::serve(Arc::default());
    let address = server.address();
    server.stop();

    let found = common::run(async { Client::connect(address, &common::right()).await.err() });

    assert!(
        matches!(found, Some(ClientError::Unreachable(..))),
        "{found:?}"
    );
}
