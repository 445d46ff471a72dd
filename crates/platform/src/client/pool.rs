//! Connections kept between calls.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use wire::{Counted, Traffic};

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// A second handle of the socket, to look at it from outside the task.
    probe: std::net::TcpStream,
}

impl Connection {
    async fn open(peer: SocketAddr, traffic: Arc<Traffic>) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let probe = stream.try_clone()?;
        let io = TokioIo::new(Counted::new(TcpStream::from_std(stream)?, traffic));
        let (sender, conn) = handshake(io).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The caller learns of a failure from its exchange.
            drop(conn.await);
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            probe,
        })
    }

    /// Tells whether the connection at rest may be used again.
    ///
    /// The task may not have run since the peer closed the connection, so this asks the
    /// kernel: nothing may have come, neither the end of the stream nor data for no request.
    fn is_usable(&self) -> bool {
        let peeked = self.probe.peek(&mut [0]);
        let is_quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        is_quiet && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Connections at rest, the one used last on top.
#[derive(Debug)]
pub(super) struct Pool {
    peer: SocketAddr,
    kept: usize,
    traffic: Arc<Traffic>,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    pub(super) const fn new(peer: SocketAddr, kept: usize, traffic: Arc<Traffic>) -> Self {
        Self {
            peer,
            kept,
            traffic,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Opens a new connection.
    pub(super) async fn open(&self) -> io::Result<Connection> {
        Connection::open(self.peer, Arc::clone(&self.traffic)).await
    }

    /// Returns a usable connection that rested for at most `longest`.
    pub(super) fn take(&self, longest: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|i| i.connection.is_usable());
        let last = idle.pop_if(|i| i.since.elapsed() <= longest)?;
        Some(last.connection)
    }

    /// Keeps a connection whose last answer was read whole.
    pub(super) fn keep(&self, connection: Connection, longest: Duration) {
        let mut idle = self.lock();
        idle.retain(|i| i.since.elapsed() <= longest);
        if idle.len() >= self.kept || connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        idle.push(Idle { connection, since });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
