//! Limit on the bytes that arrive before the head of an answer is complete.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io as tokio_io;

/// Most bytes of interim answers and the head of the final one together.
const MAX_BYTES: usize = 64 << 10;

/// Value for a connection that does not wait for a head.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a connection may still read before the head of an answer is complete.
#[derive(Clone, Debug)]
pub struct HeadLimit(sync::Arc<atomic::AtomicUsize>);

impl Default for HeadLimit {
    fn default() -> Self {
        Self(sync::Arc::new(atomic::AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadLimit {
    /// Records that a request is sent, so that a head is awaited.
    pub fn start(&self) {
        self.0.store(MAX_BYTES, atomic::Ordering::Relaxed);
    }

    /// Records that the head is complete.
    pub fn end(&self) {
        self.0.store(UNLIMITED, atomic::Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }

    /// Records that `count` bytes were read. The head may have become complete meanwhile.
    fn consume(&self, count: usize) {
        let consumed = |left: usize| (left != UNLIMITED).then(|| left.saturating_sub(count));
        // An error says that there is no limit, so nothing is counted.
        let _ = self.0.fetch_update(
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
            consumed,
        );
    }
}

/// Stream whose reads fail when a head takes too many bytes.
///
/// The HTTP library drops interim answers without counting them, and one upstream that sends them
/// without end would keep the only thread of the daemon busy.
pub struct HeadLimitStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> HeadLimitStream<S> {
    /// Wraps `stream`, whose reads keep to `limit`.
    pub fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: tokio_io::AsyncRead + Unpin> tokio_io::AsyncRead for HeadLimitStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.limit.left() == 0 {
            let reason = "the head of the answer exceeds the size limit";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limit.consume(buffer.filled().len() - before);
        read
    }
}

impl<S: tokio_io::AsyncWrite + Unpin> tokio_io::AsyncWrite for HeadLimitStream<S> {
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
