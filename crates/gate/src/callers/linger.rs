//! A caller's stream that is closed without losing the data written last.
//!
//! Closing a socket that holds unread bytes resets the connection, and the caller may not receive
//! the refusal that was written. Therefore the write side is closed first, and data that still
//! arrives is read and discarded for a short time.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::task::TaskTracker;

/// Longest time for which a stream is read after its write side was closed.
const LINGER: Duration = Duration::from_secs(1);
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Streams that are being closed.
#[derive(Debug, Clone, Default)]
pub(crate) struct LingeringStreams {
    tasks: TaskTracker,
    ended: Rc<Cell<bool>>,
}

impl LingeringStreams {
    /// From now on closes streams at once, because the thread's tasks are about to end.
    pub(crate) fn end(&self) {
        self.ended.set(true);
    }

    /// Returns how many streams are being closed.
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Waits until no stream is being closed.
    pub(crate) async fn wait(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn close(&self, stream: TcpStream) {
        if !self.ended.get() {
            self.tasks.spawn_local(linger(stream));
        }
    }
}

async fn linger(mut stream: TcpStream) {
    let lingering = async {
        stream.shutdown().await?;
        let mut buf = vec![0; DISCARD_BUFFER_BYTES];
        while stream.read(&mut buf).await? > 0 {}
        io::Result::Ok(())
    };
    // The stream is closed in any case; errors and the timeout need no handling.
    let _ = tokio::time::timeout(LINGER, lingering).await;
}

/// A stream that is closed without a connection reset when it is dropped.
#[derive(Debug)]
pub(crate) struct LingerStream {
    /// Taken only on drop.
    inner: Option<TcpStream>,
    /// Whether the peer closed the connection or an error occurred.
    is_over: bool,
    lingering: LingeringStreams,
    /// Longest time without progress of a write.
    write_timeout: Duration,
    /// Timer of the pending write, if any.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl LingerStream {
    pub(crate) fn new(
        inner: TcpStream,
        lingering: LingeringStreams,
        write_timeout: Duration,
    ) -> Self {
        Self {
            inner: Some(inner),
            is_over: false,
            lingering,
            write_timeout,
            write_timer: None,
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.inner.as_mut().expect("taken only on drop"))
    }

    /// Fails a write that is pending for too long; `written` is the result of polling the stream.
    fn check_write_timeout(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let write_timeout = self.write_timeout;
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(write_timeout)));
        ready!(write_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn record_error<T>(&mut self, result: &io::Result<T>) {
        self.is_over |= result.is_err();
    }
}

impl Drop for LingerStream {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        if let Some(stream) = self.inner.take() {
            self.lingering.close(stream);
        }
    }
}

impl AsyncRead for LingerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(self.stream().poll_read(cx, buf));
        self.record_error(&result);
        self.is_over |= buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(result)
    }
}

impl AsyncWrite for LingerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write(cx, buf);
        let result = ready!(self.check_write_timeout(cx, written));
        self.record_error(&result);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write_vectored(cx, bufs);
        let result = ready!(self.check_write_timeout(cx, written));
        self.record_error(&result);
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
