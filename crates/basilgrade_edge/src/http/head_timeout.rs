//! A caller's connection whose request heads have to arrive in time.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use basilgrade_types::clock;
use tokio::io as tokio_io;
use tokio::net;
use tokio::time;

/// What the connection and its requests know of each other.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    is_serving: sync::Arc<atomic::AtomicBool>,
    head_count: sync::Arc<atomic::AtomicU64>,
}

/// Keeps a connection from being timed while one of its requests is served.
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
    /// Notes that a whole head has arrived.
    pub fn begin_request(&self) -> ServingGuard {
        self.is_serving.store(true, atomic::Ordering::Relaxed);
        self.head_count.fetch_add(1, atomic::Ordering::Relaxed);
        ServingGuard {
            progress: self.clone(),
        }
    }

    fn is_serving(&self) -> bool {
        self.is_serving.load(atomic::Ordering::Relaxed)
    }
}

/// A connection that fails when a head takes longer than its limit.
///
/// The HTTP library has one limit for the wait for a request and for its head together; callers may
/// keep a connection idle for far longer than a head may take.
pub struct HeadTimeoutStream {
    stream: net::TcpStream,
    progress: RequestProgress,
    limit: clock::Millis,
    /// When the head that has begun must have arrived.
    deadline: Option<pin::Pin<Box<time::Sleep>>>,
    /// Heads that had arrived at the last read.
    head_count: u64,
}

impl HeadTimeoutStream {
    /// Limits the heads on `stream`.
    pub fn new(stream: net::TcpStream, progress: RequestProgress, limit: clock::Millis) -> Self {
        Self {
            stream,
            progress,
            limit,
            deadline: None,
            head_count: 0,
        }
    }
}

impl tokio_io::AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let head_count = self.progress.head_count.load(atomic::Ordering::Relaxed);
        if head_count != self.head_count {
            self.head_count = head_count;
            self.deadline = None;
        }
        if let Some(deadline) = &mut self.deadline
            && deadline.as_mut().poll(context).is_ready()
        {
            let reason = format!("a request head took over {}", self.limit);
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
