//! A TCP stream that counts the bytes written to it and limits those read from it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use wire::Traffic;

/// A TCP stream that counts the bytes written to it. After an error, the count shows whether any
/// byte was sent.
#[derive(Debug)]
pub struct CountedStream {
    inner: TcpStream,
    written: Arc<AtomicU64>,
    read_limit: ReadLimit,
    traffic: Option<Arc<Traffic>>,
}

/// Number of bytes that may still be read from a stream; clones share it.
#[derive(Debug, Clone)]
pub struct ReadLimit(Arc<AtomicU64>);

impl Default for ReadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(u64::MAX)))
    }
}

impl ReadLimit {
    /// Lets `bytes` more be read; further reads fail.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes as u64, Ordering::Relaxed);
    }

    /// Ends the limit.
    pub fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    fn is_reached(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn subtract(&self, count: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != u64::MAX {
            self.0
                .store(left.saturating_sub(count as u64), Ordering::Relaxed);
        }
    }
}

impl CountedStream {
    /// Wraps `inner`; its bytes are also counted in `traffic`, if given.
    #[must_use]
    pub fn new(inner: TcpStream, traffic: Option<Arc<Traffic>>) -> Self {
        Self {
            inner,
            written: Arc::default(),
            read_limit: ReadLimit::default(),
            traffic,
        }
    }

    /// Returns the shared counter of the bytes written to the socket.
    #[must_use]
    pub fn written(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written)
    }

    /// Returns the limit of the bytes read from the socket.
    #[must_use]
    pub fn read_limit(&self) -> ReadLimit {
        self.read_limit.clone()
    }

    fn add(&self, count: usize) {
        self.written.fetch_add(count as u64, Ordering::Relaxed);
        if let Some(traffic) = &self.traffic {
            traffic.add_sent(count);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_limit.is_reached() {
            let e = io::Error::new(io::ErrorKind::InvalidData, "too many bytes");
            return Poll::Ready(Err(e));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        self.read_limit.subtract(count);
        if let Some(traffic) = &self.traffic {
            traffic.add_received(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.add(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.add(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
