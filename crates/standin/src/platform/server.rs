//! Listeners of the platform; they can be closed on command.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ids::{BootClock, Clock, HostId, Revision};
use platform::{ListedHost, MemoryTable};
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::audit::AuditEntry;
use super::counters::Counters;
use super::faults::{ConfirmationLoss, Faults, Mode};
use super::settings::{PlatformSettings, RateLimits};
use super::store::Store;
use super::{admin, service};

const BACKLOG: u32 = 1024;
/// Delay before the next attempt to listen or accept.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// State that all connections share.
#[derive(Debug)]
pub(super) struct Shared {
    store: Mutex<Store>,
    mode: watch::Sender<Mode>,
}

impl Shared {
    fn new(settings: PlatformSettings) -> Self {
        Self {
            store: Mutex::new(Store::new(BootClock.now(), settings)),
            mode: watch::Sender::new(Mode::Up),
        }
    }

    pub(super) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn mode(&self) -> Mode {
        *self.mode.borrow()
    }

    /// Waits until the mode differs from the current one.
    pub(super) async fn wait_for_mode_change(&self) {
        let mut mode = self.mode.subscribe();
        let now = *mode.borrow_and_update();
        // Fails only if the sender is dropped, but `self` owns it.
        drop(mode.wait_for(|m| *m != now).await);
    }

    pub(super) fn faults(&self) -> Faults {
        Faults {
            mode: self.mode(),
            lose_confirmations: self.store().losses.plan(),
        }
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.store().losses = ConfirmationLoss::new(faults.lose_confirmations);
        self.mode.send_replace(faults.mode);
    }

    pub(super) fn set_rates(&self, rates: RateLimits) {
        self.store().set_rates(BootClock.now(), rates);
    }

    pub(super) fn set_lag(&self, lag: Duration) {
        self.store().hosts.set_lag(lag);
    }

    pub(super) fn put_host(&self, listed: ListedHost) {
        self.store().hosts.put(BootClock.now(), listed);
    }

    pub(super) fn remove_host(&self, host: HostId) {
        self.store().hosts.remove(BootClock.now(), host);
    }

    pub(super) fn counters(&self) -> Counters {
        self.store().counters
    }

    pub(super) fn audit(&self, since: Revision) -> Vec<AuditEntry> {
        self.store().audit.after(since)
    }
}

/// A port that stays reserved while no socket listens on it.
///
/// A second socket, bound to the same address but never listening, prevents the kernel from
/// reassigning the port while the platform is down.
#[derive(Debug)]
struct Port {
    address: SocketAddr,
    _reservation: TcpSocket,
}

impl Port {
    fn reserve(address: SocketAddr) -> io::Result<Self> {
        let reservation = bind_socket(address)?;
        Ok(Self {
            address: reservation.local_addr()?,
            _reservation: reservation,
        })
    }

    fn listen(&self) -> io::Result<TcpListener> {
        bind_socket(self.address)?.listen(BACKLOG)
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// A running stand-in platform; it stops when dropped.
#[derive(Debug)]
pub struct StandinPlatform {
    address: SocketAddr,
    admin_address: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl StandinPlatform {
    /// Starts a platform on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Fails if one of its addresses is in use.
    pub async fn bind(address: SocketAddr, settings: PlatformSettings) -> anyhow::Result<Self> {
        let port = Port::reserve(address).with_context(|| format!("bind {address}"))?;
        let listener = port.listen();
        let listener = listener.with_context(|| format!("listen on {}", port.address))?;
        let admin = TcpListener::bind(settings.admin_address).await;
        let admin = admin.with_context(|| format!("listen on {}", settings.admin_address))?;
        let (address, admin_address) = (port.address, admin.local_addr()?);
        let shared = Arc::new(Shared::new(settings));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_calls(port, listener, Arc::clone(&shared)));
        tasks.spawn(serve_commands(admin, Arc::clone(&shared)));
        Ok(Self {
            address,
            admin_address,
            shared,
            tasks,
        })
    }

    /// Returns the address for calls.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for test commands.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the remaining faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.faults()
    }

    /// Replaces the limits on calls per second.
    pub fn set_rates(&self, rates: RateLimits) {
        self.shared.set_rates(rates);
    }

    /// Sets the lag with which the list of hosts shows subsequent changes.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.set_lag(lag);
    }

    /// Adds a host to the list or replaces it.
    pub fn put_host(&self, listed: ListedHost) {
        self.shared.put_host(listed);
    }

    /// Removes a host from the list.
    pub fn remove_host(&self, host: HostId) {
        self.shared.remove_host(host);
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters()
    }

    /// Returns the transactions committed after `since`.
    #[must_use]
    pub fn audit(&self, since: Revision) -> Vec<AuditEntry> {
        self.shared.audit(since)
    }

    /// Runs `f` on the table, bypassing all faults, counts and access rules.
    pub fn with_table<R>(&self, f: impl FnOnce(&mut MemoryTable) -> R) -> R {
        f(&mut self.shared.store().table)
    }

    /// Closes all connections and stops.
    pub async fn shutdown(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Addresses of a platform that runs as a process, which prints them as one JSON line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Addresses {
    /// Address for calls.
    pub(crate) address: SocketAddr,
    /// Address for test commands.
    pub(crate) admin_address: SocketAddr,
}

/// Runs a platform until the process is interrupted.
///
/// Prints one JSON line with its addresses once it listens.
///
/// # Errors
///
/// Fails if one of its addresses is in use.
pub async fn run(address: SocketAddr, settings: PlatformSettings) -> anyhow::Result<()> {
    let platform = StandinPlatform::bind(address, settings).await?;
    let started = Addresses {
        address: platform.address(),
        admin_address: platform.admin_address(),
    };
    println!("{}", serde_json::to_string(&started)?);
    tokio::signal::ctrl_c().await.context("wait for a signal")?;
    platform.shutdown().await;
    Ok(())
}

async fn serve_calls(port: Port, listener: TcpListener, shared: Arc<Shared>) {
    let mut mode = shared.mode.subscribe();
    let mut listener = Some(listener);
    // Dropping the set closes the connections.
    let mut connections = JoinSet::new();
    loop {
        if *mode.borrow_and_update() == Mode::Down {
            listener = None;
            connections = JoinSet::new();
        } else if listener.is_none() {
            listener = listen(&port).await;
        }
        tokio::select! {
            socket = accept(listener.as_ref()) => {
                shared.store().counters.connections += 1;
                connections.spawn(serve_connection(socket, Arc::clone(&shared)));
            }
            Some(_) = connections.join_next() => {}
            changed = mode.changed() => if changed.is_err() { return },
        }
    }
}

/// Listens again; the port is reserved, so this fails only for lack of resources.
async fn listen(port: &Port) -> Option<TcpListener> {
    let listener = port.listen().ok();
    if listener.is_none() {
        sleep(RETRY_PAUSE).await;
    }
    listener
}

/// Waits for a connection; never completes without a listener.
async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

async fn serve_connection(socket: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|req| service::serve(Arc::clone(&shared), req));
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // An error means that the client disconnected or the service closes without an answer.
    drop(connection.await);
}

async fn serve_commands(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            socket = accept(Some(&listener)) => {
                connections.spawn(serve_command_connection(socket, Arc::clone(&shared)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_command_connection(socket: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|req| {
        let answer = admin::serve(Arc::clone(&shared), req);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // An error means that the client disconnected.
    drop(connection.await);
}
