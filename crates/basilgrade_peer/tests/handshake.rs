//! Authentication of peers and of the frames that they exchange.

use basilgrade_peer::error;
use basilgrade_peer::handshake;
use basilgrade_peer::secret;
use bytes::Bytes;
use bytes::BytesMut;
use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

fn secret(text: &str) -> secret::Secret {
    text.parse().expect("the secret is long enough")
}

async fn connected_codecs() -> (
    basilgrade_peer::codec::AuthenticatedCodec,
    basilgrade_peer::codec::AuthenticatedCodec,
) {
    let (mut client, mut server) = tokio::io::duplex(256);
    let shared = secret("0123456789abcdef");
    let (connected, accepted) = tokio::join!(
        handshake::connect(&mut client, &shared),
        handshake::accept(&mut server, &shared),
    );
    (
        connected.expect("the client authenticates the server"),
        accepted.expect("the server authenticates the client"),
    )
}

fn encode_frame(
    codec: &mut basilgrade_peer::codec::AuthenticatedCodec,
    text: &'static str,
) -> BytesMut {
    let mut buffer = BytesMut::new();
    codec
        .encode(Bytes::from_static(text.as_bytes()), &mut buffer)
        .expect("the frame is shorter than the maximum");
    buffer
}

/// Guards against frames of one peer that the other cannot verify and decode.
#[tokio::test(start_paused = true)]
async fn frame_is_decoded_with_same_secret() {
    let (mut client, mut server) = connected_codecs().await;

    let mut buffer = encode_frame(&mut client, "hello");
    let decoded = server
        .decode(&mut buffer)
        .expect("the HMAC of the frame is correct");

    assert_eq!(decoded.as_deref(), Some(&b"hello"[..]));
}

/// Guards against a server that sends more than its nonce to a client without the secret.
#[tokio::test(start_paused = true)]
async fn client_without_secret_receives_only_nonce() {
    let (mut client, mut server) = tokio::io::duplex(256);
    let server_task =
        tokio::spawn(
            async move { handshake::accept(&mut server, &secret("0123456789abcdef")).await },
        );

    client
        .write_all(&[7; 64])
        .await
        .expect("the connection is open");
    let mut received = Vec::new();
    client
        .read_to_end(&mut received)
        .await
        .expect("the server closes the connection");

    assert_eq!(received.len(), handshake::NONCE_LENGTH);
    let error = server_task
        .await
        .expect("the server does not panic")
        .expect_err("the HMAC of the client is wrong");
    assert!(matches!(error, error::LinkError::Unauthenticated));
}

/// Guards against a client that accepts a server with another secret.
#[tokio::test(start_paused = true)]
async fn client_rejects_server_with_another_secret() {
    let (mut client, mut server) = tokio::io::duplex(256);
    let ours = secret("0123456789abcdef");
    let theirs = secret("another secret, long enough");

    let (connected, accepted) = tokio::join!(handshake::connect(&mut client, &ours), async {
        let result = handshake::accept(&mut server, &theirs).await;
        drop(server);
        result
    });

    assert!(connected.is_err());
    assert!(accepted.is_err());
}

/// Guards against a connection that a peer keeps open without ever responding.
#[tokio::test(start_paused = true)]
async fn handshake_with_silent_peer_times_out() {
    let (_client, mut server) = tokio::io::duplex(256);

    let result = handshake::accept(&mut server, &secret("0123456789abcdef")).await;

    assert!(matches!(result, Err(error::LinkError::Timeout)));
}

/// Guards against a replayed frame that is accepted: the message in it would take effect twice.
#[tokio::test(start_paused = true)]
async fn replayed_frame_is_rejected() {
    let (mut client, mut server) = connected_codecs().await;
    let buffer = encode_frame(&mut client, "charge once");
    let mut first = buffer.clone();
    let mut second = buffer;

    assert!(server.decode(&mut first).is_ok());
    assert!(server.decode(&mut second).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a frame that is accepted although one of its bits was changed in transit.
    #[test]
    fn modified_frame_is_rejected(position in 4_usize..25, bit in 0_u8..8) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("the runtime can be built");
        runtime.block_on(async {
            let (mut client, mut server) = connected_codecs().await;
            let mut buffer = encode_frame(&mut client, "hello");
            let position = position.min(buffer.len() - 1);
            buffer[position] ^= 1 << bit;
            assert!(server.decode(&mut buffer).is_err());
        });
    }

    /// Guards against arbitrary bytes that cause a panic or are accepted as a frame, and against
    /// unbounded memory use for a frame with a huge length prefix.
    #[test]
    fn arbitrary_bytes_are_not_decoded(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("the runtime can be built");
        runtime.block_on(async {
            let (_, mut server) = connected_codecs().await;
            let mut buffer = BytesMut::from(&bytes[..]);
            let decoded = server.decode(&mut buffer);
            assert!(!matches!(decoded, Ok(Some(_))));
            assert!(buffer.capacity() <= basilgrade_peer::codec::FRAME_MAX_BYTES + 1024);
        });
    }
}
