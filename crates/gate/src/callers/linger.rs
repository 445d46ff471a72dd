//! A caller's stream that is closed without harm to what was written last.
//!
//! Closing a socket that holds unread bytes resets the connection, and the caller may lose the
//! refusal that it was sent. So the write side is closed first, and what still comes is read and
//! thrown away for a short time.

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

/// Longest time for which a closed stream is read.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes thrown away at once.
const SCRAP: usize = 16 << 10;

/// Where closed streams go.
#[derive(Debug, Clone, Default)]
pub(crate) struct Closing {
    tasks: TaskTracker,
    ended: Rc<Cell<bool>>,
}

impl Closing {
    /// Closes streams at once from now on: the thread's tasks are about to end.
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

    fn take(&self, stream: TcpStream) {
        if !self.ended.get() {
            self.tasks.spawn_local(linger(stream));
        }
    }
}

async fn linger(mut stream: TcpStream) {
    let closing = async {
        stream.shutdown().await?;
        let mut scrap = vec![0; SCRAP];
        while stream.read(&mut scrap).await? > 0 {}
        io::Result::Ok(())
    };
    // However it ends, nothing is left to do for this caller.
    let _ = tokio::time::timeout(LINGER, closing).await;
}

/// A stream that is closed without harm when it is dropped.
#[derive(Debug)]
pub(crate) struct LingerStream {
    /// Taken on drop only.
    inner: Option<TcpStream>,
    /// Whether the other side has closed or broken the connection.
    over: bool,
    closing: Closing,
    /// Longest time for which the other side may take nothing.
    stall_max: Duration,
    /// Ends that time, while a write waits.
    stall: Option<Pin<Box<Sleep>>>,
}

impl LingerStream {
    pub(crate) fn new(inner: TcpStream, closing: Closing, stall_max: Duration) -> Self {
        Self {
            inner: Some(inner),
            over: false,
            closing,
            stall_max,
            stall: None,
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.inner.as_mut().expect("taken on drop only"))
    }

    /// Ends a write that waits for too long; `written` is what the stream says.
    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let stall_max = self.stall_max;
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(stall_max)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn note<T>(&mut self, result: &io::Result<T>) {
        self.over |= result.is_err();
    }
}

impl Drop for LingerStream {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        if let Some(stream) = self.inner.take() {
            self.closing.take(stream);
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
        self.note(&result);
        self.over |= buf.filled().len() == before && buf.remaining() > 0;
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
        let result = ready!(self.check_stall(cx, written));
        self.note(&result);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream().poll_write_vectored(cx, bufs);
        let result = ready!(self.check_stall(cx, written));
        self.note(&result);
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
