//! A pool of connections kept open between calls.

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

/// An open connection, closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// A second handle to the socket, used to check its state from outside the task.
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
            // The caller gets the error from its request.
            drop(conn.await);
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            probe,
        })
    }

    /// Returns whether the idle connection can be reused.
    ///
    /// The task may not have run since the peer closed the connection, so this checks the
    /// socket: it must have received nothing, neither the end of the stream nor unrequested data.
    fn is_usable(&self) -> bool {
        let peeked = self.probe.peek(&mut [0]);
        let nothing_received = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        nothing_received && !self.sender.is_closed()
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

/// A stack of idle connections with the most recently used one on top.
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

    /// Returns a usable connection that was idle for at most `max_idle`.
    pub(super) fn take(&self, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|i| i.connection.is_usable());
        let last = idle.pop_if(|i| i.since.elapsed() <= max_idle)?;
        Some(last.connection)
    }

    /// Returns a connection to the pool after its last answer was read completely, and closes
    /// those that were idle for longer than `max_idle`.
    pub(super) fn keep(&self, connection: Connection, max_idle: Duration) {
        let mut idle = self.lock();
        idle.retain(|i| i.since.elapsed() <= max_idle);
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
