//! Transports for typed, authenticated messages over TCP.

use std::net;
use std::sync;

use tokio::net as tokio_net;
use tokio::time;
use tokio_util::codec;

use crate::codec as frame_codec;
use crate::error;
use crate::handshake;
use crate::postcard_format;
use crate::secret;
use crate::traffic;

/// The time limit for opening a TCP connection; 1 s is enough within the operator's network.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A transport that receives messages of type `I` and sends messages of type `O`.
pub type Transport<I, O> = tokio_serde::Framed<
    codec::Framed<tokio_net::TcpStream, frame_codec::AuthenticatedCodec>,
    I,
    O,
    postcard_format::PostcardFormat<I, O>,
>;

fn new_transport<I, O>(
    stream: tokio_net::TcpStream,
    codec: frame_codec::AuthenticatedCodec,
) -> Transport<I, O> {
    let framed = codec::Framed::new(stream, codec);
    tokio_serde::Framed::new(framed, postcard_format::PostcardFormat::default())
}

/// Connects to the peer at `address` and authenticates both sides.
///
/// # Errors
///
/// [`error::LinkError`]; in this case, no message was sent to the peer.
pub async fn connect<I, O>(
    address: net::SocketAddr,
    secret: &secret::Secret,
    traffic: &sync::Arc<traffic::Traffic>,
) -> Result<Transport<I, O>, error::LinkError> {
    let connecting = tokio_net::TcpStream::connect(address);
    let mut stream = time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| error::LinkError::Timeout)??;
    stream.set_nodelay(true)?;
    let codec = handshake::connect(&mut stream, secret).await?;
    Ok(new_transport(
        stream,
        codec.with_traffic(sync::Arc::clone(traffic)),
    ))
}

/// Authenticates both sides of an accepted connection.
///
/// # Errors
///
/// [`error::LinkError`]; a client that is not authenticated has received nothing but a nonce.
pub async fn accept<I, O>(
    mut stream: tokio_net::TcpStream,
    secret: &secret::Secret,
    traffic: &sync::Arc<traffic::Traffic>,
) -> Result<Transport<I, O>, error::LinkError> {
    stream.set_nodelay(true)?;
    let codec = handshake::accept(&mut stream, secret).await?;
    Ok(new_transport(
        stream,
        codec.with_traffic(sync::Arc::clone(traffic)),
    ))
}
