//! Authentication between tools and daemons.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync::Arc;

use basilgrade_admin::Client;
use basilgrade_admin::client::error::ClientError;
use basilgrade_admin::handshake;
use basilgrade_config::settings::peers::secret;
use proptest::prelude::*;
use proptest::test_runner;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

mod common;

/// Everything that a server sends to a client that answers with `bytes`.
fn sent_to(address: net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = net::TcpStream::connect(address).expect("the server listens");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(net::Shutdown::Write);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    received
}

/// Guards against a daemon that serves, or tells anything to, a client without the secret.
#[test]
fn another_secret_is_refused() {
    let server = common::serve(Arc::default());
    let wrong = secret::Secret::new("0123456789abcdeX").expect("the secret is long enough");

    let found = common::run(async { Client::connect(server.address(), &wrong).await.err() });

    assert!(matches!(found, Some(ClientError::Refused(..))), "{found:?}");
    server.stop();
}

/// Guards against a client that talks to a server without the secret.
#[test]
fn impostors_are_refused() {
    let found = common::run(async {
        let (mut near, mut far) = tokio::io::duplex(4096);
        let impostor = async {
            far.write_all(b"bgadmin1").await?;
            far.write_all(&[7; 32]).await?;
            let mut answer = [0; 64];
            far.read_exact(&mut answer).await?;
            // The client's own code is the best that an impostor can offer.
            far.write_all(&answer[32..]).await
        };
        let secret = common::right();
        let connect = handshake::connect(&mut near, secret.as_bytes());
        futures::join!(connect, impostor).0
    });

    assert!(
        matches!(found, Err(handshake::HandshakeError::Secret)),
        "{found:?}"
    );
}

/// Guards against a recorded handshake that opens a second connection.
#[test]
fn recorded_answers_are_refused() {
    let server = common::serve(Arc::default());
    let recorded = common::run(async {
        let (mut near, mut far) = tokio::io::duplex(4096);
        let secret = common::right();
        let record = async {
            let mut challenge = [0; handshake::CHALLENGE_LENGTH];
            let stream = tokio::net::TcpStream::connect(server.address()).await;
            let mut stream = stream.expect("the server listens");
            stream.read_exact(&mut challenge).await.expect("challenge");
            far.write_all(&challenge).await.expect("the pipe is open");
            let mut answer = [0; 64];
            far.read_exact(&mut answer).await.expect("answer");
            stream.write_all(&answer).await.expect("the server reads");
            let mut proof = [0; 32];
            stream
                .read_exact(&mut proof)
                .await
                .expect("the server accepts the first time");
            far.write_all(&proof).await.expect("the pipe is open");
            answer
        };
        let connect = handshake::connect(&mut near, secret.as_bytes());
        futures::join!(connect, record).1
    });

    let received = sent_to(server.address(), &recorded);

    assert_eq!(received.len(), handshake::CHALLENGE_LENGTH);
    server.stop();
}

fn config(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        ..test_runner::Config::default()
    }
}

/// Guards against panics, and against any byte but the challenge for clients that send anything.
#[test]
fn arbitrary_bytes_get_only_the_challenge() {
    let server = common::serve(Arc::default());
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);

    let checked = test_runner::TestRunner::new(config(64)).run(&bytes, |bytes| {
        prop_assert!(sent_to(server.address(), &bytes).len() <= handshake::CHALLENGE_LENGTH);
        Ok(())
    });

    assert_eq!(checked, Ok(()));
    let status = common::run(async {
        let client = Client::connect(server.address(), &common::right()).await?;
        client.status().await
    });
    assert!(status.is_ok(), "{status:?}");
    server.stop();
}

/// Guards against a panic on malformed messages of a client that knows the secret.
#[test]
fn malformed_messages_end_only_their_connection() {
    let server = common::serve(Arc::default());
    let bytes = proptest::collection::vec(prop_oneof![Just(0), 0..4_u8, any::<u8>()], 0..400);

    let checked = test_runner::TestRunner::new(config(64)).run(&bytes, |bytes| {
        common::run(async {
            let stream = tokio::net::TcpStream::connect(server.address()).await;
            let mut stream = stream.expect("the server listens");
            handshake::connect(&mut stream, common::right().as_bytes())
                .await
                .expect("the server accepts the secret");
            // The server may close the connection before it has read everything.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received).await;
        });
        Ok(())
    });

    assert_eq!(checked, Ok(()));
    let status = common::run(async {
        let client = Client::connect(server.address(), &common::right()).await?;
        client.status().await
    });
    assert!(status.is_ok(), "{status:?}");
    server.stop();
}
