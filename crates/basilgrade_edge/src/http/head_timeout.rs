//! Caller's connection with a time-out for the arrival of each request head.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use basilgrade_types::clock;
use tokio::io as tokio_io;
use tokio::net;
use tokio::time;

/// Progress of the requests on a connection, shared between the stream and the request handler.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    is_serving: sync::Arc<atomic::AtomicBool>,
    heads: sync::Arc<atomic::AtomicU64>,
}

/// Guard that suspends the head time-out of a connection while a request is served.
#[derive(Debug)]
pub struct ServingGuard {
    progress: RequestProgress,
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.progress
            .is_serving
            .store(false, atomic::Ordering::Relaxed);
    }
}

impl RequestProgress {
    /// Records that a complete request head has arrived; the request is served until the guard
    /// drops.
    pub fn begin_request(&self) -> ServingGuard {
        self.is_serving.store(true, atomic::Ordering::Relaxed);
        self.heads.fetch_add(1, atomic::Ordering::Relaxed);
        ServingGuard {
            progress: self.clone(),
        }
    }

    fn is_serving(&self) -> bool {
        self.is_serving.load(atomic::Ordering::Relaxed)
    }
}

/// Stream whose reads fail if a request head takes longer than `limit` to arrive.
///
/// The header time-out of hyper also counts the idle time before a request, but callers may keep a
/// connection idle for far longer than a request head may take.
pub struct HeadTimeoutStream {
    stream: net::TcpStream,
    progress: RequestProgress,
    limit: clock::Millis,
    /// Timer for the partially received head; `None` if no head has begun to arrive.
    deadline: Option<pin::Pin<Box<time::Sleep>>>,
    /// Number of complete heads at the last read.
    heads: u64,
}

impl HeadTimeoutStream {
    /// Wraps `stream`, on which each request head must arrive within `limit`.
    pub fn new(stream: net::TcpStream, progress: RequestProgress, limit: clock::Millis) -> Self {
        Self {
            stream,
            progress,
            limit,
            deadline: None,
            heads: 0,
        }
    }
}

impl tokio_io::AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let heads = self.progress.heads.load(atomic::Ordering::Relaxed);
        if heads != self.heads {
            self.heads = heads;
            self.deadline = None;
        }
        if let Some(deadline) = &mut self.deadline
            && deadline.as_mut().poll(context).is_ready()
        {
            let reason = format!("request head not received within {}", self.limit);
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
        }
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_begun = buffer.filled().len() > before && !self.progress.is_serving();
        if has_begun && self.deadline.is_none() {
            self.deadline = Some(Box::pin(time::sleep(self.limit.duration())));
        }
        read
    }
}

impl tokio_io::AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
