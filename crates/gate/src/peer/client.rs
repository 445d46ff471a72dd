//! Hands calls to the dispatch duty of another host.

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

/// Time between two looks whether a retired connection has finished its calls.
const RETIRED_LOOK: Duration = Duration::from_millis(50);

/// Connections to other hosts; lives on one thread.
#[derive(Debug)]
pub struct Peers {
    cx: Arc<GateContext>,
    settings: PeerSettings,
    by_host: RefCell<IndexMap<HostId, Rc<Peer>>>,
    /// The table that `by_host` follows.
    table: RefCell<Arc<PeerTable>>,
}

/// One other host.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    connections: Vec<Rc<Connection>>,
}

/// A connection that is opened when a call needs it, again and again.
#[derive(Debug)]
struct Connection {
    link: Link,
    state: Cell<State>,
    wanted: Notify,
}

/// Where a connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It is open, or will be once a call needs it.
    Ready,
    /// It failed to open or broke, and is not tried again yet.
    Paused,
    /// Its host has another address, or none.
    Retired,
}

/// A call handed to another host; dropping it before the reply cancels the call.
#[derive(Debug)]
pub struct PeerCall {
    connection: Rc<Connection>,
    number: u64,
    reply: oneshot::Receiver<Reply>,
    done: bool,
}

impl Peers {
    /// Creates connections to no host yet.
    #[must_use]
    pub fn new(cx: Arc<GateContext>, settings: PeerSettings) -> Self {
        Self {
            cx,
            settings,
            by_host: RefCell::default(),
            table: RefCell::default(),
        }
    }

    /// Hands a call to `host`.
    ///
    /// Needs to run on a thread with local tasks.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal if the host is not known, can't be reached at the
    /// moment, or has too many calls without a reply.
    pub fn call(&self, host: &HostId, call: Call) -> Result<PeerCall, Reason> {
        let peer = self.peer(host).ok_or(Reason::HostUnreachable)?;
        let connection = peer.choose().ok_or(Reason::HostUnreachable)?;
        if connection.link.open() >= self.settings.outstanding as usize {
            return Err(Reason::QueueFull);
        }
        let (tx, rx) = oneshot::channel();
        let number = connection.link.push(call, tx);
        connection.wanted.notify_one();
        self.cx.metrics.count(Count::HandedOn);
        Ok(PeerCall {
            connection,
            number,
            reply: rx,
            done: false,
        })
    }

    /// Finds the connections to a host.
    fn peer(&self, host: &HostId) -> Option<Rc<Peer>> {
        let table = self.cx.peers.load();
        if !Arc::ptr_eq(&table, &self.table.borrow()) {
            self.follow(Arc::clone(&table));
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

    /// Retires the connections to hosts that are gone or have another address.
    fn follow(&self, table: Arc<PeerTable>) {
        self.by_host.borrow_mut().retain(|host, peer| {
            let stays = table.dispatch.get(host) == Some(&peer.address);
            if !stays {
                peer.retire();
            }
            stays
        });
        *self.table.borrow_mut() = table;
    }

    fn connect(&self, address: SocketAddr) -> Peer {
        let connections = (0..self.settings.connections.max(1))
            .map(|_| self.start(address))
            .collect();
        Peer {
            address,
            connections,
        }
    }

    fn start(&self, address: SocketAddr) -> Rc<Connection> {
        let connection = Rc::new(Connection {
            link: Link::default(),
            state: Cell::new(State::Ready),
            wanted: Notify::new(),
        });
        let keeper = Keeper {
            cx: Arc::clone(&self.cx),
            settings: self.settings.clone(),
            address,
            connection: Rc::clone(&connection),
        };
        tokio::task::spawn_local(keeper.run());
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
    fn choose(&self) -> Option<Rc<Connection>> {
        self.connections
            .iter()
            .filter(|c| c.state.get() == State::Ready && c.link.is_usable())
            .min_by_key(|c| c.link.open())
            .map(Rc::clone)
    }

    fn retire(&self) {
        for connection in &self.connections {
            connection.state.set(State::Retired);
            connection.wanted.notify_one();
        }
    }
}

impl PeerCall {
    /// Waits for the reply until `limit`; without one, the call is given up.
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
            self.connection.link.give_up(self.number);
        }
    }
}

/// Opens a connection whenever it is needed.
struct Keeper {
    cx: Arc<GateContext>,
    settings: PeerSettings,
    address: SocketAddr,
    connection: Rc<Connection>,
}

impl Keeper {
    async fn run(self) {
        let mut failures = 0;
        loop {
            self.connection.wanted.notified().await;
            if self.is_retired() {
                self.connection.link.fail();
                return;
            }
            match self.carry().await {
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

    /// Opens the connection and uses it until it ends.
    async fn carry(&self) -> anyhow::Result<()> {
        let opened = self.open().await;
        let ended = match opened {
            Ok(stream) => {
                self.cx.metrics.count(Count::PeerConnected);
                self.use_until_end(stream).await
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

    async fn use_until_end(&self, stream: TcpStream) -> anyhow::Result<()> {
        let mut run = std::pin::pin!(self.connection.link.run(&self.cx, stream));
        loop {
            let retired = self.is_retired();
            if retired && self.connection.link.open() == 0 {
                return Ok(());
            }
            tokio::select! {
                ended = &mut run => return Ok(ended?),
                () = self.connection.wanted.notified() => {}
                () = tokio::time::sleep(RETIRED_LOOK), if retired => {}
            }
        }
    }

    /// Refuses calls for a while, so that a host that is down costs its callers no time.
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
