//! Authentication of links between daemons.

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
    text.parse().expect("long enough")
}

async fn codecs() -> (
    basilgrade_peer::codec::SealedCodec,
    basilgrade_peer::codec::SealedCodec,
) {
    let (mut client, mut server) = tokio::io::duplex(256);
    let shared = secret("0123456789abcdef");
    let (connected, accepted) = tokio::join!(
        handshake::connect(&mut client, &shared),
        handshake::accept(&mut server, &shared),
    );
    (connected.expect("connects"), accepted.expect("accepts"))
}

fn sealed(codec: &mut basilgrade_peer::codec::SealedCodec, text: &'static str) -> BytesMut {
    let mut wire = BytesMut::new();
    codec
        .encode(Bytes::from_static(text.as_bytes()), &mut wire)
        .expect("short enough");
    wire
}

/// Guards against sealed frames that the other side cannot open.
#[tokio::test(start_paused = true)]
async fn frames_pass_between_peers_with_the_same_secret() {
    let (mut client, mut server) = codecs().await;

    let mut wire = sealed(&mut client, "hello");
    let opened = server.decode(&mut wire).expect("opens");

    assert_eq!(opened.as_deref(), Some(&b"hello"[..]));
}

/// Guards against a server that tells a stranger anything beyond the nonce.
#[tokio::test(start_paused = true)]
async fn a_stranger_receives_only_the_nonce() {
    let (mut client, mut server) = tokio::io::duplex(256);
    let serving =
        tokio::spawn(
            async move { handshake::accept(&mut server, &secret("0123456789abcdef")).await },
        );

    client.write_all(&[7; 64]).await.expect("writes");
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.expect("reads");

    assert_eq!(received.len(), handshake::NONCE_LENGTH);
    let refused = serving.await.expect("ends").expect_err("refused");
    assert!(matches!(refused, error::LinkError::Unauthenticated));
}

/// Guards against a client that talks to a server without the secret.
#[tokio::test(start_paused = true)]
async fn a_client_refuses_a_server_with_another_secret() {
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

/// Guards against connections held open by a peer that never answers.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_times_out() {
    let (_client, mut server) = tokio::io::duplex(256);

    let refused = handshake::accept(&mut server, &secret("0123456789abcdef")).await;

    assert!(matches!(refused, Err(error::LinkError::Timeout)));
}

/// Guards against replayed frames.
#[tokio::test(start_paused = true)]
async fn a_repeated_frame_is_refused() {
    let (mut client, mut server) = codecs().await;
    let wire = sealed(&mut client, "charge once");
    let mut first = wire.clone();
    let mut second = wire;

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

    /// Guards against frames that were changed on the way, and against panics on arbitrary bytes.
    #[test]
    fn a_changed_frame_is_refused(position in 4_usize..25, bit in 0_u8..8) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("builds");
        runtime.block_on(async {
            let (mut client, mut server) = codecs().await;
            let mut wire = sealed(&mut client, "hello");
            let position = position.min(wire.len() - 1);
            wire[position] ^= 1 << bit;
            assert!(server.decode(&mut wire).is_err());
        });
    }

    /// Guards against unbounded memory for a peer that announces a huge frame.
    #[test]
    fn arbitrary_bytes_never_open(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("builds");
        runtime.block_on(async {
            let (_, mut server) = codecs().await;
            let mut wire = BytesMut::from(&bytes[..]);
            let opened = server.decode(&mut wire);
            assert!(!matches!(opened, Ok(Some(_))));
            assert!(wire.capacity() <= basilgrade_peer::codec::FRAME_LIMIT + 1024);
        });
    }
}
