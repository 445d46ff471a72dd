//! Sends calls to the dispatch threads of other hosts.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ids::{HostId, Reason};
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

use crate::call::{Call, Reply};
use crate::context::{GateContext, PeerTable};
use crate::counters::Count;
use crate::peer::link::Link;
use crate::settings::{PeerSettings, millis};

/// Interval of the checks whether a retired connection has finished its calls.
const RETIRED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Connections to other hosts, owned by one thread.
#[derive(Debug)]
pub struct Peers {
    cx: Arc<GateContext>,
    settings: PeerSettings,
    by_host: RefCell<IndexMap<HostId, Rc<Peer>>>,
    /// The table that `by_host` was last updated from.
    table: RefCell<Arc<PeerTable>>,
}

/// Connections to one host.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    connections: Vec<Rc<Connection>>,
}

/// A connection that is opened, and reopened, when a call needs it.
#[derive(Debug)]
struct Connection {
    link: Link,
    state: Cell<State>,
    wake: Notify,
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Open, or opened by the next call.
    Ready,
    /// It failed, and the delay before it is opened again has not passed.
    Paused,
    /// Its host has another address, or is no longer in the table.
    Retired,
}

/// A call sent to another host; dropping it before the reply cancels the call.
#[derive(Debug)]
pub struct PeerCall {
    connection: Rc<Connection>,
    number: u64,
    reply: oneshot::Receiver<Reply>,
    done: bool,
}

impl Peers {
    /// Creates the collection, without connections.
    #[must_use]
    pub fn new(cx: Arc<GateContext>, settings: PeerSettings) -> Self {
        Self {
            cx,
            settings,
            by_host: RefCell::default(),
            table: RefCell::default(),
        }
    }

    /// Sends a call to `host`.
    ///
    /// Must be called on a thread with local tasks.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal if the host is not known, is currently unreachable, or
    /// has too many calls without a reply.
    pub fn call(&self, host: &HostId, call: Call) -> Result<PeerCall, Reason> {
        let peer = self.peer(host).ok_or(Reason::HostUnreachable)?;
        let connection = peer.least_loaded().ok_or(Reason::HostUnreachable)?;
        if connection.link.open_calls() >= self.settings.outstanding as usize {
            return Err(Reason::QueueFull);
        }
        let (tx, rx) = oneshot::channel();
        let number = connection.link.push(call, tx);
        connection.wake.notify_one();
        self.cx.metrics.count(Count::HandedOn);
        Ok(PeerCall {
            connection,
            number,
            reply: rx,
            done: false,
        })
    }

    /// Returns the connections to a host, created if needed.
    fn peer(&self, host: &HostId) -> Option<Rc<Peer>> {
        let table = self.cx.peers.load();
        if !Arc::ptr_eq(&table, &self.table.borrow()) {
            self.apply_table(Arc::clone(&table));
        }
        if let Some(peer) = self.by_host.borrow().get(host) {
            return Some(Rc::clone(peer));
        }
        let address = *table.dispatch.get(host)?;
        let peer = Rc::new(self.connect(address));
        self.by_host
            .borrow_mut()
            .insert(host.clone(), Rc::clone(&peer));
        Some(peer)
    }

    /// Retires the connections to hosts that were removed or have another address.
    fn apply_table(&self, table: Arc<PeerTable>) {
        self.by_host.borrow_mut().retain(|host, peer| {
            let is_unchanged = table.dispatch.get(host) == Some(&peer.address);
            if !is_unchanged {
                peer.retire();
            }
            is_unchanged
        });
        *self.table.borrow_mut() = table;
    }

    fn connect(&self, address: SocketAddr) -> Peer {
        let connections = (0..self.settings.connections.max(1))
            .map(|_| self.start_connection(address))
            .collect();
        Peer {
            address,
            connections,
        }
    }

    fn start_connection(&self, address: SocketAddr) -> Rc<Connection> {
        let connection = Rc::new(Connection {
            link: Link::default(),
            state: Cell::new(State::Ready),
            wake: Notify::new(),
        });
        let connector = PeerConnector {
            cx: Arc::clone(&self.cx),
            settings: self.settings.clone(),
            address,
            connection: Rc::clone(&connection),
        };
        tokio::task::spawn_local(connector.run());
        connection
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        for peer in self.by_host.borrow().values() {
            peer.retire();
        }
    }
}

impl Peer {
    /// Chooses the connection with the fewest calls without a reply.
    fn least_loaded(&self) -> Option<Rc<Connection>> {
        self.connections
            .iter()
            .filter(|c| c.state.get() == State::Ready && c.link.is_usable())
            .min_by_key(|c| c.link.open_calls())
            .map(Rc::clone)
    }

    fn retire(&self) {
        for connection in &self.connections {
            connection.state.set(State::Retired);
            connection.wake.notify_one();
        }
    }
}

impl PeerCall {
    /// Waits for the reply; cancels the call after `limit`.
    pub async fn reply(mut self, limit: Duration) -> Reply {
        let waited = tokio::time::timeout(limit, &mut self.reply).await;
        if let Ok(Ok(reply)) = waited {
            self.done = true;
            return reply;
        }
        self.done = true;
        Reply::refused(self.connection.link.time_out(self.number))
    }
}

impl Drop for PeerCall {
    fn drop(&mut self) {
        if !self.done {
            self.connection.link.cancel(self.number);
        }
    }
}

/// Opens a connection whenever a call needs it.
struct PeerConnector {
    cx: Arc<GateContext>,
    settings: PeerSettings,
    address: SocketAddr,
    connection: Rc<Connection>,
}

impl PeerConnector {
    async fn run(self) {
        let mut failures = 0;
        loop {
            self.connection.wake.notified().await;
            if self.is_retired() {
                self.connection.link.fail();
                return;
            }
            match self.open_and_run().await {
                Ok(()) => failures = 0,
                Err(e) => {
                    slog::info!(self.cx.log, "connection to a host failed";
                        "peer" => %self.address, "error" => %e);
                    self.cx.metrics.count(Count::PeerFailed);
                    failures += 1;
                }
            }
            self.pause(failures).await;
        }
    }

    /// Opens the connection and runs it until it ends.
    async fn open_and_run(&self) -> anyhow::Result<()> {
        let opened = self.open().await;
        let ended = match opened {
            Ok(stream) => {
                self.cx.metrics.count(Count::PeerConnected);
                self.run_until_end(stream).await
            }
            Err(e) => Err(e.into()),
        };
        self.connection.link.fail();
        ended
    }

    async fn open(&self) -> io::Result<TcpStream> {
        let limit = millis(self.settings.connect_timeout_ms);
        let stream = tokio::time::timeout(limit, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn run_until_end(&self, stream: TcpStream) -> anyhow::Result<()> {
        let mut run = std::pin::pin!(self.connection.link.run(&self.cx, stream));
        loop {
            let retired = self.is_retired();
            if retired && self.connection.link.open_calls() == 0 {
                return Ok(());
            }
            tokio::select! {
                ended = &mut run => return Ok(ended?),
                () = self.connection.wake.notified() => {}
                () = tokio::time::sleep(RETIRED_CHECK_INTERVAL), if retired => {}
            }
        }
    }

    /// Refuses calls during the backoff, so that callers do not wait for a host that is down.
    async fn pause(&self, failures: u32) {
        if failures == 0 || self.is_retired() {
            return;
        }
        let backoff = millis(self.settings.backoff_ms) * 2_u32.saturating_pow(failures - 1);
        let backoff = backoff.min(millis(self.settings.backoff_max_ms));
        self.connection.state.set(State::Paused);
        tokio::time::sleep(backoff).await;
        if !self.is_retired() {
            self.connection.state.set(State::Ready);
        }
    }

    fn is_retired(&self) -> bool {
        self.connection.state.get() == State::Retired
    }
}
