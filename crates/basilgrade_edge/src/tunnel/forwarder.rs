//! The end of a tunnel at the daemon that forwards.

use std::io;
use std::sync;

use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::paths;
use basilgrade_types::clock;
use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt as _;
use futures::StreamExt as _;
use tokio::io as tokio_io;
use tokio::io::AsyncReadExt as _;
use tokio::net;
use tokio::net::tcp;
use tokio_util::codec;

use crate::core;
use crate::http::early_end;
use crate::http::socket;
use crate::tunnel::message;

/// Time-out for the first message of a tunnel.
const OPEN_TIMEOUT: clock::Millis = clock::Millis(1000);

/// Time-out for connecting to an upstream, below the time that the other daemon waits.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(250);

/// Most connections that a daemon forwards at a time; each takes two descriptors and two buffers.
const MAX_TUNNELS: usize = 512;

/// Size of the buffer for bytes of the upstream.
const BUFFER_BYTES: usize = 16 << 10;

type Upstream = early_end::EarlyEndStream<net::TcpStream>;
type Frames = codec::FramedWrite<tcp::OwnedWriteHalf, codec::LengthDelimitedCodec>;

/// Serves a tunnel, of which the preamble has been read, until one of its ends closes.
pub async fn serve(core: sync::Arc<core::Core>, stream: net::TcpStream) {
    if let Err(error) = forward(&core, stream).await {
        log::debug!("event=tunnel-failed reason={:?}", error.to_string());
    }
}

async fn forward(core: &core::Core, stream: net::TcpStream) -> io::Result<()> {
    socket::configure(&stream, socket::Patience::Answer)?;
    let (read, write) = stream.into_split();
    let mut requests = codec::FramedRead::new(read, message::codec());
    let opening = tokio::time::timeout(OPEN_TIMEOUT.duration(), requests.next()).await;
    let open = opening
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
        .ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    let open: message::Open = postcard::from_bytes(&open).map_err(io::Error::other)?;
    let connected = connect(core, &open).await;
    let reply = connected.as_ref().err().copied();
    let reply = reply.unwrap_or(message::Reply::Connected);
    let mut answers = codec::FramedWrite::new(write, message::codec());
    let encoded = postcard::to_stdvec(&reply).map_err(io::Error::other)?;
    answers.send(Bytes::from(encoded)).await?;
    let Ok(upstream) = connected else {
        return Ok(());
    };
    core.metrics.forwarded.inc();
    let upstream = early_end::EarlyEndStream::new(upstream);
    let (from_upstream, to_upstream) = tokio_io::split(upstream);
    // The other daemon sends nothing before the reply, so the decoder has read no further.
    let requests = requests.into_inner();
    // The end of either direction drops both connections, so the upstream hears of a caller that
    // has left.
    tokio::select! {
        ended = copy_requests(requests, to_upstream) => ended,
        ended = copy_answers(from_upstream, answers) => ended,
    }
}

/// Connects to the upstream that `open` names, if this daemon sends requests to it as well.
async fn connect(
    core: &core::Core,
    open: &message::Open,
) -> Result<net::TcpStream, message::Reply> {
    if core.is_draining() || core.tunnels.len() > MAX_TUNNELS {
        return Err(message::Reply::Refused);
    }
    let view = core.view.load();
    let known = view.directory.get(&open.upstream);
    let usable = known.filter(|entry| {
        entry.state == upstream::State::Ready
            && entry.started_at == open.started_at
            && entry.is_accepting(core.now())
            && !view.directory.is_evacuated(entry)
    });
    let address = usable.ok_or(message::Reply::Refused)?.address;
    if core.paths().plan(core.now(), &open.upstream) == paths::Plan::Tunnel {
        return Err(message::Reply::Unreachable);
    }
    let connecting = socket::connect(
        address,
        CONNECT_TIMEOUT.duration(),
        socket::Patience::Answer,
    );
    let stream = connecting.await.map_err(|_| message::Reply::Unreachable)?;
    core.record_direct(&open.upstream);
    if !core.accepts(&open.upstream, address) {
        return Err(message::Reply::Refused);
    }
    Ok(stream)
}

/// Copies bytes to the upstream until the other daemon closes.
async fn copy_requests(
    mut from: tcp::OwnedReadHalf,
    mut to: tokio_io::WriteHalf<Upstream>,
) -> io::Result<()> {
    match tokio_io::copy(&mut from, &mut to).await {
        Ok(_) => Ok(()),
        // An upstream may answer before it has read a whole body; the answer is still passed on.
        Err(_) => std::future::pending().await,
    }
}

/// Copies bytes of the upstream, and the regular end of its connection, to the other daemon.
async fn copy_answers(mut from: tokio_io::ReadHalf<Upstream>, mut to: Frames) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(BUFFER_BYTES);
        let count = from.read_buf(&mut buffer).await?;
        to.send(buffer.split().freeze()).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
