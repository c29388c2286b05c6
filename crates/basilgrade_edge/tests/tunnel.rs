//! Tunnels to upstreams through another daemon, as the daemon that opens them sees them.

use std::net;

use basilgrade_edge::tunnel::message;
use basilgrade_edge::tunnel::stream;
use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt as _;
use futures::StreamExt as _;
use tokio::io::AsyncReadExt as _;
use tokio::net as tokio_net;
use tokio_util::codec;

fn open() -> message::Open {
    message::Open {
        upstream: "engine-0".parse().expect("the name is valid"),
        started_at: None,
    }
}

/// Starts a daemon that replies `reply` to one tunnel, sends `frames` and closes.
async fn start_forwarder(
    reply: message::Reply,
    frames: &'static [&'static str],
) -> net::SocketAddr {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the caller connects");
        let mut first = [0; message::PREAMBLE.len()];
        let read = stream.read_exact(&mut first).await;
        assert!(read.is_ok() && first == message::PREAMBLE);
        let mut link = codec::Framed::new(stream, message::codec());
        let asked: BytesMut = link
            .next()
            .await
            .and_then(Result::ok)
            .expect("the message arrives");
        let asked: message::Open = postcard::from_bytes(&asked).expect("the message is valid");
        assert_eq!(asked.upstream, open().upstream);
        let reply = postcard::to_stdvec(&reply).expect("the reply can be encoded");
        link.send(Bytes::from(reply)).await.expect("it is read");
        for frame in frames {
            let sent = link.send(Bytes::from_static(frame.as_bytes())).await;
            sent.expect("it is read");
        }
    });
    address
}

/// Guards against an answer without a length that ends with the daemon that forwards and is taken
/// for complete.
#[tokio::test]
async fn end_of_the_forwarding_daemon_is_no_end_of_the_answer() {
    let mut bodies = Vec::new();
    for frames in [&["whole ", "answer", ""][..], &["whole ", "answer"][..]] {
        let address = start_forwarder(message::Reply::Connected, frames).await;
        let mut tunnel = stream::connect(address, &open())
            .await
            .expect("the tunnel opens");

        let mut body = String::new();
        let ended = tunnel.read_to_string(&mut body).await;
        bodies.push(ended.is_ok().then_some(body));
    }

    assert_eq!(bodies, [Some("whole answer".to_owned()), None]);
}

/// Guards against a tunnel that is used although the other daemon has rejected it.
#[tokio::test]
async fn rejected_tunnel_is_an_error() {
    for reply in [message::Reply::Unreachable, message::Reply::Refused] {
        let address = start_forwarder(reply, &[]).await;

        let opened = stream::connect(address, &open()).await;

        assert!(matches!(
            opened.err(),
            Some(stream::TunnelError::Rejected(found)) if found == reply
        ));
    }
}
