//! Counts of the bytes sent and received on connections.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes sent and received on all connections of one kind, which share this counter.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

/// The counts of a [`Traffic`] at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TrafficSnapshot {
    /// Bytes accepted by the operating system for sending.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    /// Adds bytes that the operating system accepted for sending.
    pub fn add_sent(&self, count: usize) {
        self.sent.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Adds bytes that were received.
    pub fn add_received(&self, count: usize) {
        self.received.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns the current counts.
    #[must_use]
    pub fn snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// A connection whose bytes are counted in a [`Traffic`].
#[derive(Debug)]
pub struct Counted<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S> Counted<S> {
    /// Wraps `inner`; its bytes are added to `traffic`.
    #[must_use]
    pub const fn new(inner: S, traffic: Arc<Traffic>) -> Self {
        Self { inner, traffic }
    }

    /// Returns the wrapped connection.
    pub const fn get_ref(&self) -> &S {
        &self.inner
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.traffic.add_received(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.traffic.add_sent(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.traffic.add_sent(count);
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
