//! Ends of connections that must not be taken for the end of an answer.

use std::io;
use std::pin;
use std::task;

use tokio::io as tokio_io;

use crate::http::transfer;

/// Connection whose end is an error unless all bytes that were to be sent have been written.
///
/// The end of the connection is the end of an answer without a length. A peer that closes before it
/// has taken the whole request has usually stopped, so its answer may be a part only. A reset is
/// reported once, to the next read or write; after a write that got it, reads find a regular end.
#[derive(Debug)]
pub struct EarlyEndStream<S> {
    stream: S,
    /// Whether the last write took fewer bytes than it was given, or failed.
    is_writing: bool,
    written: transfer::WrittenBytes,
}

impl<S> EarlyEndStream<S> {
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            is_writing: false,
            written: transfer::WrittenBytes::default(),
        }
    }

    /// Number of bytes written.
    pub fn written(&self) -> &transfer::WrittenBytes {
        &self.written
    }

    fn record_write(&mut self, length: usize, written: &task::Poll<io::Result<usize>>) {
        if let task::Poll::Ready(Ok(count)) = written {
            self.written.add(*count);
        }
        self.is_writing = !matches!(written, task::Poll::Ready(Ok(count)) if *count == length);
    }
}

impl<S: tokio_io::AsyncRead + Unpin> tokio_io::AsyncRead for EarlyEndStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.remaining();
        let read = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_end = matches!(read, task::Poll::Ready(Ok(()))) && buffer.remaining() == before;
        if is_end && before > 0 && self.is_writing {
            let reason = "the connection ended before the request was written";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, reason)));
        }
        read
    }
}

impl<S: tokio_io::AsyncWrite + Unpin> tokio_io::AsyncWrite for EarlyEndStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(bytes.len(), &written);
        written
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
        let length = slices.iter().map(|slice| slice.len()).sum();
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(length, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
