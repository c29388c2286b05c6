//! Typed, authenticated transports over TCP.

use std::net;
use std::sync;

use tokio::net as tokio_net;
use tokio::time;
use tokio_util::codec;

use crate::codec as sealed;
use crate::error;
use crate::handshake;
use crate::postcard_format;
use crate::secret;
use crate::traffic;

/// Time to connect; peers are inside the operator's network.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A transport that receives `I` and sends `O`.
pub type Transport<I, O> = tokio_serde::Framed<
    codec::Framed<tokio_net::TcpStream, sealed::SealedCodec>,
    I,
    O,
    postcard_format::PostcardFormat<I, O>,
>;

fn frame<I, O>(stream: tokio_net::TcpStream, codec: sealed::SealedCodec) -> Transport<I, O> {
    let frames = codec::Framed::new(stream, codec);
    tokio_serde::Framed::new(frames, postcard_format::PostcardFormat::default())
}

/// Connects to a peer and authenticates both sides.
///
/// # Errors
///
/// [`error::LinkError`]; no message has been sent.
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
    Ok(frame(stream, codec.counted(sync::Arc::clone(traffic))))
}

/// Authenticates both sides of an accepted connection.
///
/// # Errors
///
/// [`error::LinkError`]; the stranger has received nothing but a nonce.
pub async fn accept<I, O>(
    mut stream: tokio_net::TcpStream,
    secret: &secret::Secret,
    traffic: &sync::Arc<traffic::Traffic>,
) -> Result<Transport<I, O>, error::LinkError> {
    stream.set_nodelay(true)?;
    let codec = handshake::accept(&mut stream, secret).await?;
    Ok(frame(stream, codec.counted(sync::Arc::clone(traffic))))
}
