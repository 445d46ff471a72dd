//! The request thread: what it listens on, and the order in which its tasks start and stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use anyhow::Context as _;
use gate::Metrics;
use ids::UpstreamId;
use slog::{Logger, warn};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::control::samples::SampleTx;
use crate::forward::{Forwarder, ForwarderParts};
use crate::links::SharedLostLinks;
use crate::memory::MemoryBudget;
use crate::observation::ObservationTx;
use crate::peer_exchange::PeerCallsRx;
use crate::permits::PermitService;
use crate::ports::HeaderFormat;
use crate::serve;
use crate::settings::Settings;
use crate::view::SharedView;

/// State that the request thread starts with.
pub(crate) struct RequestThread {
    pub(crate) cfg: Settings,
    pub(crate) view: SharedView,
    pub(crate) header_format: Arc<dyn HeaderFormat>,
    pub(crate) samples: SampleTx,
    pub(crate) observations: ObservationTx,
    pub(crate) lost_links: SharedLostLinks,
    pub(crate) link_checks: mpsc::Receiver<UpstreamId>,
    pub(crate) peer_calls: PeerCallsRx,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: CancellationToken,
    pub(crate) log: Logger,
}

/// Sockets of the request thread.
struct Sockets {
    callers: TcpListener,
    exchanges: TcpListener,
    permits: Rc<PermitService>,
}

impl Sockets {
    async fn bind(
        cfg: &Settings,
        view: SharedView,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let listen = cfg.listen;
        let bind =
            |address: SocketAddr| serve::bind(address).with_context(|| format!("bind {address}"));
        let permits = PermitService::bind(listen.permits, view, metrics, log).await;
        Ok(Self {
            callers: bind(listen.callers)?,
            exchanges: bind(listen.exchanges())?,
            permits: permits.with_context(|| format!("bind {}", listen.permits))?,
        })
    }
}

impl RequestThread {
    /// Runs until the host stops; sends to `started` whether it could start.
    ///
    /// Requests that are under way then have `grace` to end.
    pub(crate) async fn run(
        self,
        started: &SyncSender<anyhow::Result<()>>,
        grace: Duration,
    ) -> anyhow::Result<()> {
        let (view, metrics) = (SharedView::clone(&self.view), Arc::clone(&self.metrics));
        let bound = Sockets::bind(&self.cfg, view, metrics, self.log.clone()).await;
        let Sockets {
            callers,
            exchanges,
            permits,
        } = match bound {
            Ok(sockets) => sockets,
            Err(e) => return started.send(Err(e)).context("report a failed start"),
        };
        started.send(Ok(())).context("report the start")?;
        tokio::task::spawn_local(Rc::clone(&permits).receive());
        tokio::task::spawn_local(Rc::clone(&permits).tick());
        let memory = MemoryBudget::new(self.cfg.memory_bytes());
        let forwarder = Rc::new(Forwarder::new(ForwarderParts {
            domain: self.cfg.domain,
            upstream_source: self.cfg.upstream_source,
            view: SharedView::clone(&self.view),
            lost_links: self.lost_links,
            header_format: self.header_format,
            retry_budget: self.cfg.retry_budget,
            warmup: self.cfg.warmup.bounds(),
            samples: self.samples,
            observations: self.observations,
            permits,
            memory,
            metrics: self.metrics,
            log: self.log.clone(),
        }));
        tokio::task::spawn_local(Rc::clone(&forwarder).check_links(self.link_checks));
        tokio::task::spawn_local(Rc::clone(&forwarder).serve_peer_calls(self.peer_calls));
        let peer_server = forwarder.peer_server();
        let peers = tokio::task::spawn_local(peer_server.serve(exchanges, self.stop.clone()));
        let peers_served = async {
            self.stop.cancelled().await;
            tokio::time::timeout(grace, peers).await
        };
        let (view, stop, log) = (self.view, self.stop.clone(), self.log.clone());
        let callers_served = serve::serve_callers(callers, forwarder, view, stop, grace, log);
        let ((), peers_served) = tokio::join!(callers_served, peers_served);
        if peers_served.is_err() {
            warn!(
                self.log,
                "grace period over, requests of other hosts are cancelled"
            );
        }
        Ok(())
    }
}
