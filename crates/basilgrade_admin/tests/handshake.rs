//! Mutual authentication of operators' tools and daemons.

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

/// Everything that the server at `address` sends to a client that sends `bytes`.
fn response_to(address: net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = net::TcpStream::connect(address).expect("the server listens");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(net::Shutdown::Write);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    received
}

/// Guards against a daemon that accepts a client with a wrong secret.
#[test]
fn client_with_wrong_secret_is_refused() {
    let server = common::start_server(Arc::default());
    let wrong = secret::Secret::new("0123456789abcdeX").expect("the secret is long enough");

    let found = common::block_on(async { Client::connect(server.address(), &wrong).await.err() });

    assert!(matches!(found, Some(ClientError::Refused(..))), "{found:?}");
    server.stop();
}

/// Guards against a client that accepts a server without the secret.
#[test]
fn server_without_secret_is_refused() {
    let found = common::block_on(async {
        let (mut client_end, mut server_end) = tokio::io::duplex(4096);
        let fake_server = async {
            server_end.write_all(b"bgadmin1").await?;
            server_end.write_all(&[7; 32]).await?;
            let mut response = [0; 64];
            server_end.read_exact(&mut response).await?;
            // Without the secret, the best attempt is to reflect the HMAC of the client.
            server_end.write_all(&response[32..]).await
        };
        let secret = common::server_secret();
        let connect = handshake::connect(&mut client_end, secret.as_bytes());
        futures::join!(connect, fake_server).0
    });

    assert!(
        matches!(found, Err(handshake::HandshakeError::Secret)),
        "{found:?}"
    );
}

/// Guards against accepting a recorded handshake on a second connection.
#[test]
fn replayed_handshake_is_refused() {
    let server = common::start_server(Arc::default());
    let recorded = common::block_on(async {
        let (mut client_end, mut server_end) = tokio::io::duplex(4096);
        let secret = common::server_secret();
        let record = async {
            let mut challenge = [0; handshake::CHALLENGE_LENGTH];
            let stream = tokio::net::TcpStream::connect(server.address()).await;
            let mut stream = stream.expect("the server listens");
            stream
                .read_exact(&mut challenge)
                .await
                .expect("the server sends the challenge");
            server_end
                .write_all(&challenge)
                .await
                .expect("the client reads");
            let mut response = [0; 64];
            server_end
                .read_exact(&mut response)
                .await
                .expect("the client responds to the challenge");
            stream.write_all(&response).await.expect("the server reads");
            let mut proof = [0; 32];
            stream
                .read_exact(&mut proof)
                .await
                .expect("the server accepts the original handshake");
            server_end
                .write_all(&proof)
                .await
                .expect("the client reads");
            response
        };
        let connect = handshake::connect(&mut client_end, secret.as_bytes());
        futures::join!(connect, record).1
    });

    let received = response_to(server.address(), &recorded);

    assert_eq!(received.len(), handshake::CHALLENGE_LENGTH);
    server.stop();
}

fn config_with_fixed_seed(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        ..test_runner::Config::default()
    }
}

/// Guards against panics on arbitrary bytes, and against sending more than the challenge to a
/// client that is not authenticated.
#[test]
fn arbitrary_bytes_receive_only_the_challenge() {
    let server = common::start_server(Arc::default());
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);

    let checked = test_runner::TestRunner::new(config_with_fixed_seed(64)).run(&bytes, |bytes| {
        prop_assert!(response_to(server.address(), &bytes).len() <= handshake::CHALLENGE_LENGTH);
        Ok(())
    });

    assert_eq!(checked, Ok(()));
    let status = common::block_on(async {
        let client = Client::connect(server.address(), &common::server_secret()).await?;
        client.status().await
    });
    assert!(status.is_ok(), "{status:?}");
    server.stop();
}

/// Guards against a panic on malformed messages from an authenticated client.
#[test]
fn malformed_messages_close_only_their_connection() {
    let server = common::start_server(Arc::default());
    let bytes = proptest::collection::vec(prop_oneof![Just(0), 0..4_u8, any::<u8>()], 0..400);

    let checked = test_runner::TestRunner::new(config_with_fixed_seed(64)).run(&bytes, |bytes| {
        common::block_on(async {
            let stream = tokio::net::TcpStream::connect(server.address()).await;
            let mut stream = stream.expect("the server listens");
            handshake::connect(&mut stream, common::server_secret().as_bytes())
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
    let status = common::block_on(async {
        let client = Client::connect(server.address(), &common::server_secret()).await?;
        client.status().await
    });
    assert!(status.is_ok(), "{status:?}");
    server.stop();
}
