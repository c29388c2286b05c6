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
pub struct Progress {
    busy: sync::Arc<atomic::AtomicBool>,
    heads: sync::Arc<atomic::AtomicU64>,
}

/// Keeps a connection from being timed while one of its requests is served.
#[derive(Debug)]
pub struct Serving {
    progress: Progress,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.progress.busy.store(false, atomic::Ordering::Relaxed);
    }
}

impl Progress {
    /// Notes that a whole head has arrived.
    pub fn serve(&self) -> Serving {
        self.busy.store(true, atomic::Ordering::Relaxed);
        self.heads.fetch_add(1, atomic::Ordering::Relaxed);
        Serving {
            progress: self.clone(),
        }
    }

    fn is_busy(&self) -> bool {
        self.busy.load(atomic::Ordering::Relaxed)
    }
}

/// A connection that fails when a head takes longer than its limit.
///
/// The HTTP library has one limit for the wait for a request and for its head together; callers may
/// keep a connection idle for far longer than a head may take.
pub struct Timed {
    stream: net::TcpStream,
    progress: Progress,
    limit: clock::Millis,
    /// When the head that has begun must have arrived.
    due: Option<pin::Pin<Box<time::Sleep>>>,
    /// Heads that had arrived at the last read.
    heads: u64,
}

impl Timed {
    /// Limits the heads on `stream`.
    pub fn new(stream: net::TcpStream, progress: Progress, limit: clock::Millis) -> Self {
        Self {
            stream,
            progress,
            limit,
            due: None,
            heads: 0,
        }
    }
}

impl tokio_io::AsyncRead for Timed {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let heads = self.progress.heads.load(atomic::Ordering::Relaxed);
        if heads != self.heads {
            self.heads = heads;
            self.due = None;
        }
        if let Some(due) = &mut self.due
            && due.as_mut().poll(context).is_ready()
        {
            let reason = format!("a request head took over {}", self.limit);
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
        }
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_begun = buffer.filled().len() > before && !self.progress.is_busy();
        if has_begun && self.due.is_none() {
            self.due = Some(Box::pin(time::sleep(self.limit.duration())));
        }
        read
    }
}

impl tokio_io::AsyncWrite for Timed {
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
