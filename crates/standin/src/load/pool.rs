//! Connections to one target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::sync::{Mutex as AsyncMutex, Semaphore};

use crate::client::{Connection, Protocol, SendError};

/// Connections to one target.
///
/// Over HTTP/1.1 a request has exclusive use of a connection while it is in progress. Over HTTP/2
/// all requests share one. A connection that failed or whose request was dropped is not reused.
#[derive(Debug)]
pub(crate) struct Pool {
    peer: SocketAddr,
    protocol: Protocol,
    permits: Semaphore,
    idle: Mutex<Vec<Connection>>,
    shared: AsyncMutex<Option<Connection>>,
}

impl Pool {
    pub(crate) fn new(peer: SocketAddr, protocol: Protocol, connections: u32) -> Arc<Self> {
        Arc::new(Self {
            peer,
            protocol,
            permits: Semaphore::new(connections as usize),
            idle: Mutex::new(Vec::new()),
            shared: AsyncMutex::new(None),
        })
    }

    pub(crate) const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send(
        &self,
        req: &Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        match self.protocol {
            Protocol::Http1 => self.send_exclusive(req).await,
            Protocol::Http2 => self.shared().await?.send(req.clone()).await,
        }
    }

    async fn send_exclusive(
        &self,
        req: &Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        let permit = self.permits.acquire().await;
        let _permit = permit.expect("the semaphore is never closed");
        while let Some(mut connection) = self.take_idle() {
            match connection.send(req.clone()).await {
                // The server had closed the idle connection, so none of the request was sent.
                Err(SendError::Closed { .. }) => {}
                Ok(answer) => return Ok(self.keep(connection, answer)),
                Err(e) => return Err(e),
            }
        }
        let mut connection = Connection::open(self.peer, self.protocol).await?;
        let answer = connection.send(req.clone()).await?;
        Ok(self.keep(connection, answer))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        loop {
            let connection = idle.pop()?;
            if !connection.is_closed() {
                return Some(connection);
            }
        }
    }

    fn keep(&self, connection: Connection, answer: Response<Bytes>) -> Response<Bytes> {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        idle.push(connection);
        answer
    }

    async fn shared(&self) -> Result<Connection, SendError> {
        let mut shared = self.shared.lock().await;
        let open = shared.as_ref().filter(|c| !c.is_closed());
        if let Some(connection) = open.and_then(Connection::share) {
            return Ok(connection);
        }
        let connection = Connection::open(self.peer, self.protocol).await?;
        *shared = connection.share();
        Ok(connection)
    }
}
