//! RPC calls from a client of the admin interface to its server.

use std::sync::Arc;

use basilgrade_admin::Client;
use basilgrade_admin::client::error::ClientError;
use basilgrade_admin::configuration;
use basilgrade_config::settings::log::level;
use basilgrade_types::request;
use basilgrade_types::revision;

mod common;

/// Guards against status fields that are lost or swapped in the conversion to and from messages.
#[test]
fn status_is_transferred_unchanged() {
    let server = common::start_server(Arc::default());

    let found = common::block_on(async {
        let client = Client::connect(server.address(), &common::server_secret()).await?;
        client.status().await
    });

    assert_eq!(found, Ok(common::example_status()));
    server.stop();
}

/// Guards against reporting an unknown request like a known request without decisions.
#[test]
fn explain_returns_none_for_unknown_requests() {
    let server = common::start_server(Arc::default());
    let unknown = request::RequestId::mint();

    let (known, unknown) = common::block_on(async {
        let client = Client::connect(server.address(), &common::server_secret())
            .await
            .expect("the client connects");
        let known = client.explain(common::parse(common::KNOWN_REQUEST)).await;
        (known, client.explain(unknown).await)
    });

    let lines = vec!["event=route choice=assistant-1".to_owned(), "ñ".to_owned()];
    assert_eq!(known, Ok(Some(lines)));
    assert_eq!(unknown, Ok(None));
    server.stop();
}

/// Guards against commands that do not reach the daemon, or reach it twice.
#[test]
fn commands_reach_the_daemon_once() {
    let admin = Arc::new(common::FakeAdmin::default());
    let server = common::start_server(admin.clone());

    let done = common::block_on(async {
        let client = Client::connect(server.address(), &common::server_secret()).await?;
        client.set_level(level::Level::Debug).await?;
        client.drain().await
    });

    assert_eq!(done, Ok(()));
    let calls = admin
        .calls
        .lock()
        .expect("no thread panicked while it held the lock");
    assert_eq!(*calls, ["level debug", "drain"]);
    drop(calls);
    server.stop();
}

/// Guards against a message size limit that is below the size of the largest configuration.
#[test]
fn largest_configuration_is_transferred() {
    let configuration = configuration::Configuration {
        revision: revision::Revision(3),
        text: "#\n".repeat(basilgrade_config::limits::TEXT_BYTES / 2),
    };
    let server = common::start_server(Arc::new(common::FakeAdmin {
        configuration: Some(configuration.clone()),
        ..common::FakeAdmin::default()
    }));
    let empty = common::start_server(Arc::default());

    let found = common::block_on(async {
        let client = Client::connect(server.address(), &common::server_secret()).await?;
        client.configuration().await
    });
    let none = common::block_on(async {
        let client = Client::connect(empty.address(), &common::server_secret()).await?;
        client.configuration().await
    });

    assert!(found == Ok(Some(configuration)));
    assert_eq!(none, Ok(None));
    server.stop();
    empty.stop();
}

/// Guards against reporting an unreachable daemon as a failed call.
#[test]
fn connecting_to_stopped_server_is_reported_as_unreachable() {
    let server = common::start_server(Arc::default());
    let address = server.address();
    server.stop();

    let found = common::block_on(async {
        Client::connect(address, &common::server_secret())
            .await
            .err()
    });

    assert!(
        matches!(found, Some(ClientError::Unreachable(..))),
        "{found:?}"
    );
}
