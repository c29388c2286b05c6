//! Caller's connection with a time-out for the arrival of each request head.

use std::io;
use std::mem;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use basilgrade_types::clock;
use tokio::io as tokio_io;
use tokio::net;
use tokio::time;
use tokio_util::sync as tokio_sync;

use crate::http::caller_connection;

/// Progress of the requests on a connection, shared between the stream and the request handler.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    is_serving: sync::Arc<atomic::AtomicBool>,
    heads: sync::Arc<atomic::AtomicU64>,
    is_cut: sync::Arc<atomic::AtomicBool>,
    /// Wakes the reader of the connection at the end of a request, which starts the idle time-out.
    reader: sync::Arc<futures::task::AtomicWaker>,
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
            .store(false, atomic::Ordering::Release);
        self.progress.reader.wake();
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

    /// Records that a response whose end is that of the connection was cut, so that the connection
    /// must not end regularly.
    pub fn record_cut(&self) {
        self.is_cut.store(true, atomic::Ordering::Release);
    }

    fn is_serving(&self) -> bool {
        self.is_serving.load(atomic::Ordering::Acquire)
    }
}

/// Time-outs of a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Maximum time for a request head to arrive.
    pub head: clock::Millis,
    /// Maximum time between two requests.
    pub idle: clock::Millis,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Wait {
    /// The first byte of a request.
    Request,
    /// The rest of a request head.
    Head,
}

/// Time-out that runs.
struct Timer {
    wait: Wait,
    start: time::Instant,
    sleep: pin::Pin<Box<time::Sleep>>,
}

impl Timer {
    fn new(wait: Wait, limit: clock::Millis) -> Self {
        Self {
            wait,
            start: time::Instant::now(),
            sleep: Box::pin(time::sleep(limit.duration())),
        }
    }
}

/// Stream whose reads fail if a request head takes too long to arrive, or if no request arrives, and
/// that ends between two requests once the daemon closes idle connections.
///
/// The header time-out of hyper also counts the idle time before a request, but callers may keep a
/// connection idle for far longer than a request head may take. It is also fixed when the
/// connection is accepted.
pub struct HeadTimeoutStream {
    stream: net::TcpStream,
    caller: caller_connection::CallerConnection,
    /// Ends when the connection is to be reset.
    ended: pin::Pin<Box<tokio_sync::WaitForCancellationFutureOwned>>,
    progress: RequestProgress,
    /// Returns the time-outs in force.
    timeouts: Box<dyn Fn() -> Timeouts + Send>,
    /// `None` while a request is served.
    timer: Option<Timer>,
    /// Number of complete heads at the last read.
    heads: u64,
    /// Ends when idle connections are to be closed.
    stop: pin::Pin<Box<tokio_sync::WaitForCancellationFutureOwned>>,
}

impl HeadTimeoutStream {
    /// Wraps `stream`, whose time-outs are those that `timeouts` returns when a head begins, and
    /// which ends once it is idle after `stop` is cancelled.
    pub fn new(
        stream: net::TcpStream,
        caller: caller_connection::CallerConnection,
        progress: RequestProgress,
        timeouts: Box<dyn Fn() -> Timeouts + Send>,
        stop: tokio_sync::CancellationToken,
    ) -> Self {
        Self {
            stream,
            ended: Box::pin(caller.ended().clone().cancelled_owned()),
            caller,
            progress,
            timeouts,
            timer: None,
            heads: 0,
            stop: Box::pin(stop.cancelled_owned()),
        }
    }

    /// Records what was written; an error if the connection is to end instead.
    fn poll_written(
        &mut self,
        context: &mut task::Context<'_>,
        written: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if let task::Poll::Ready(Ok(count)) = &written {
            self.caller.written.add(*count);
        }
        if written.is_pending() && self.ended.as_mut().poll(context).is_ready() {
            self.progress.record_cut();
            let reason = "the answer was given up, as its caller reads too slowly";
            return task::Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                reason,
            )));
        }
        written
    }

    /// Has the connection end with a reset if its response was cut; `true` if that is so.
    fn reset_cut(&self) -> bool {
        let is_cut = self.progress.is_cut.load(atomic::Ordering::Acquire);
        if is_cut {
            // Without this option, which only fails for a connection that is lost, a regular end.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(time::Duration::ZERO));
        }
        is_cut
    }

    /// Whether the connection is closed, as the daemon closes those on which no request has begun
    /// since the last one.
    ///
    /// A request may have arrived that was not read yet, so a connection with input is not closed.
    fn is_closed(&mut self, context: &mut task::Context<'_>) -> bool {
        let is_idle = self.heads > 0
            && !self.progress.is_serving()
            && self
                .timer
                .as_ref()
                .is_none_or(|timer| timer.wait == Wait::Request);
        is_idle && self.stop.as_mut().poll(context).is_ready() && !has_input(&self.stream)
    }

    /// Waits for the end of the time-out that applies now.
    fn poll_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Error> {
        self.progress.reader.register(context.waker());
        if self.timer.is_none() && !self.progress.is_serving() {
            let limit = (self.timeouts)().idle;
            self.timer = Some(Timer::new(Wait::Request, limit));
        }
        let Some(timer) = &mut self.timer else {
            return task::Poll::Pending;
        };
        task::ready!(timer.sleep.as_mut().poll(context));
        if has_input(&self.stream) {
            // The runtime wakes this task when it learns of the bytes.
            return task::Poll::Pending;
        }
        let reason = match timer.wait {
            Wait::Head => "the request head was not received within the header time-out",
            Wait::Request => {
                let end = timer.start + (self.timeouts)().idle.duration();
                if end > time::Instant::now() {
                    // The time-out was raised while the connection was idle.
                    timer.sleep.as_mut().reset(end);
                    context.waker().wake_by_ref();
                    return task::Poll::Pending;
                }
                "no request was received within the idle time-out"
            }
        };
        task::Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, reason))
    }
}

/// Whether the socket of `stream` holds bytes, or the end of the connection.
///
/// After a standstill of the process, the runtime may see that a timer has ended before it sees that
/// a socket is readable, as the signal that resumes a process interrupts the poll of its sockets.
fn has_input(stream: &net::TcpStream) -> bool {
    let mut byte = [mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl Drop for HeadTimeoutStream {
    fn drop(&mut self) {
        self.reset_cut();
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
            self.timer = None;
        }
        let before = buffer.filled().len();
        // A head that arrived in time may be read late, after a standstill of the process.
        if let task::Poll::Ready(read) = pin::Pin::new(&mut self.stream).poll_read(context, buffer)
        {
            let is_head = buffer.filled().len() > before && !self.progress.is_serving();
            let has_begun = self
                .timer
                .as_ref()
                .is_some_and(|timer| timer.wait == Wait::Head);
            if is_head && !has_begun {
                self.timer = Some(Timer::new(Wait::Head, (self.timeouts)().head));
            }
            return task::Poll::Ready(read);
        }
        if self.is_closed(context) {
            return task::Poll::Ready(Ok(()));
        }
        self.poll_timer(context).map(Err)
    }
}

impl tokio_io::AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_written(context, written)
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
        if self.reset_cut() {
            return task::Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.poll_written(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
