//! The end of a tunnel at the daemon that opens it.

use std::io;
use std::net;

use basilgrade_types::clock;
use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt as _;
use futures::StreamExt as _;
use futures::stream;
use quick_error::quick_error;
use tokio::io as tokio_io;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;
use tokio_util::codec;
use tokio_util::io as util_io;

use crate::http::socket;
use crate::tunnel::message;

/// Time-out for connecting to the daemon that forwards, and for its reply.
const TIMEOUT: clock::Millis = clock::Millis(600);

/// Connection to an upstream through another daemon.
pub type TunnelStream = tokio_io::Join<util_io::StreamReader<Chunks, Bytes>, tcp::OwnedWriteHalf>;

/// Bytes that the upstream sends.
type Chunks = stream::BoxStream<'static, io::Result<Bytes>>;

quick_error! {
    /// Reason why a tunnel was not opened; no byte has reached the upstream.
    #[derive(Debug)]
    pub enum TunnelError {
        /// The connection to the other daemon failed.
        Io(reason: io::Error) {
            from()
            display("{reason}")
        }
        /// The other daemon has replied that it does not forward.
        Rejected(reply: message::Reply) {
            display("the daemon replied `{reply:?}`")
        }
    }
}

/// Opens a connection to the upstream that `open` names through the daemon at `forwarder`.
///
/// # Errors
///
/// [`TunnelError`]; no byte has reached the upstream.
pub async fn connect(
    forwarder: net::SocketAddr,
    open: &message::Open,
) -> Result<TunnelStream, TunnelError> {
    let opening = exchange(forwarder, open);
    tokio::time::timeout(TIMEOUT.duration(), opening)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn exchange(
    forwarder: net::SocketAddr,
    open: &message::Open,
) -> Result<TunnelStream, TunnelError> {
    let stream = socket::connect(forwarder, TIMEOUT.duration(), socket::Patience::Answer).await?;
    let (read, mut write) = stream.into_split();
    write.write_all(&message::PREAMBLE).await?;
    let mut sink = codec::FramedWrite::new(write, message::codec());
    let open = postcard::to_stdvec(open).map_err(io::Error::other)?;
    sink.send(Bytes::from(open)).await?;
    let mut frames = codec::FramedRead::new(read, message::codec());
    let reply = frames.next().await.ok_or_else(end_of_daemon)??;
    match postcard::from_bytes(&reply).map_err(io::Error::other)? {
        message::Reply::Connected => {}
        reply => return Err(TunnelError::Rejected(reply)),
    }
    let reader = util_io::StreamReader::new(chunks(frames));
    Ok(tokio_io::join(reader, sink.into_inner()))
}

fn end_of_daemon() -> io::Error {
    let reason = "the daemon that forwards closed the connection";
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

/// Bytes in `frames` up to the empty frame; an error if they end without one.
fn chunks(
    frames: impl stream::Stream<Item = io::Result<BytesMut>> + Send + Unpin + 'static,
) -> Chunks {
    let chunks = stream::unfold(Some(frames), |frames| async {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(end_of_daemon()), None)),
        }
    });
    Box::pin(chunks)
}
