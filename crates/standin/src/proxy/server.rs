//! Listener of a fault proxy.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anyhow::Context;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::plan::{FaultPlan, NumberedPlan};
use super::pump;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Settings of a fault proxy.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxySettings {
    /// Address to listen on; port zero lets the kernel choose.
    pub listen: SocketAddr,
    /// Address of the server behind the proxy.
    pub target: SocketAddr,
    /// Seed of all random choices.
    pub seed: u64,
    /// Initial plan.
    pub plan: FaultPlan,
}

impl Default for ProxySettings {
    fn default() -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: loopback,
            target: loopback,
            seed: 1,
            plan: FaultPlan::default(),
        }
    }
}

/// Counts of a fault proxy since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxyCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Exchanges started.
    pub exchanges: u64,
    /// Connections cut or broken.
    pub cuts: u64,
    /// Bytes forwarded to the server.
    pub request_bytes: u64,
    /// Bytes forwarded to the client.
    pub answer_bytes: u64,
}

/// Counters that the connections share.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) connections: AtomicU64,
    pub(crate) exchanges: AtomicU64,
    pub(crate) cuts: AtomicU64,
    pub(crate) request_bytes: AtomicU64,
    pub(crate) answer_bytes: AtomicU64,
}

/// State that the connections of a proxy share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) target: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) plan: watch::Sender<Arc<NumberedPlan>>,
    pub(crate) counters: Counters,
    /// Cancelled and replaced to cut all current connections.
    connections: Mutex<CancellationToken>,
    stop: CancellationToken,
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, CancellationToken> {
        self.connections.lock().expect("the lock is not poisoned")
    }
}

/// A TCP proxy that injects faults; it stops when dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Starts a proxy on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the proxy can't listen on the address.
    pub fn bind(cfg: ProxySettings) -> anyhow::Result<Self> {
        // A socket that is bound but not listening reserves the port while connections are refused.
        let port = bind_socket(cfg.listen)?;
        let address = port.local_addr().context("read own address")?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            target: cfg.target,
            seed: cfg.seed,
            plan: watch::Sender::new(Arc::new(NumberedPlan {
                number: 0,
                plan: cfg.plan,
            })),
            counters: Counters::default(),
            connections: Mutex::new(stop.child_token()),
            stop: stop.clone(),
        });
        let listener = listen(address)?;
        let accepting = accept(Arc::clone(&shared), port, address, listener);
        tokio::spawn(stop.run_until_cancelled_owned(accepting));
        Ok(Self { address, shared })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the plan, also for current connections; held bytes are decided on again.
    pub fn set_plan(&self, plan: FaultPlan) {
        self.shared.plan.send_modify(|previous| {
            let number = previous.number + 1;
            *previous = Arc::new(NumberedPlan { number, plan });
        });
    }

    /// Cuts all current connections.
    pub fn cut(&self) {
        let next = self.shared.stop.child_token();
        let previous = std::mem::replace(&mut *self.shared.connections(), next);
        previous.cancel();
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> ProxyCounts {
        let counters = &self.shared.counters;
        ProxyCounts {
            connections: counters.connections.load(Ordering::Relaxed),
            exchanges: counters.exchanges.load(Ordering::Relaxed),
            cuts: counters.cuts.load(Ordering::Relaxed),
            request_bytes: counters.request_bytes.load(Ordering::Relaxed),
            answer_bytes: counters.answer_bytes.load(Ordering::Relaxed),
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stop.cancel();
    }
}

fn bind_socket(address: SocketAddr) -> anyhow::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let socket = socket.context("open socket")?;
    socket.set_reuseaddr(true).context("share address")?;
    socket.set_reuseport(true).context("share port")?;
    socket
        .bind(address)
        .with_context(|| format!("bind {address}"))?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    bind_socket(address)?
        .listen(BACKLOG)
        .with_context(|| format!("listen on {address}"))
}

async fn accept(shared: Arc<Shared>, _port: TcpSocket, address: SocketAddr, listener: TcpListener) {
    let mut plan = shared.plan.subscribe();
    let mut listener = Some(listener);
    loop {
        let is_refusing = plan.borrow_and_update().plan.refuse;
        listener = match listener {
            _ if is_refusing => None,
            Some(listener) => Some(listener),
            // The port is reserved, so listening again fails only if descriptors are exhausted.
            None => listen(address).ok(),
        };
        tokio::select! {
            changed = plan.changed() => changed.expect("the proxy owns the sender"),
            accepted = accept_one(listener.as_ref()) => {
                if let Some(socket) = accepted {
                    serve(&shared, socket);
                }
            }
        }
    }
}

async fn accept_one(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => Some(listener.accept().await.ok()?.0),
        None => std::future::pending().await,
    }
}

fn serve(shared: &Arc<Shared>, client: TcpStream) {
    let number = shared.counters.connections.fetch_add(1, Ordering::Relaxed);
    let cut = shared.connections().child_token();
    tokio::spawn(pump::connection(Arc::clone(shared), client, number, cut));
}
