//! A TCP stream that counts the bytes written to it.

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
    traffic: Option<Arc<Traffic>>,
}

impl CountedStream {
    /// Wraps `inner`; its bytes are also counted in `traffic`, if given.
    #[must_use]
    pub fn new(inner: TcpStream, traffic: Option<Arc<Traffic>>) -> Self {
        Self {
            inner,
            written: Arc::default(),
            traffic,
        }
    }

    /// Returns the shared counter of the bytes written to the socket.
    #[must_use]
    pub fn written(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written)
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
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if let Some(traffic) = &self.traffic {
            traffic.add_received(buf.filled().len() - before);
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
