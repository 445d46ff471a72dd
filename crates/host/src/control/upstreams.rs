//! Grants and health requests to upstreams, a task for each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gate::{ControlCallError, GrantClient, GrantSettings};
use ids::UpstreamId;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval_at};
use wire::Traffic;
use wire::grant::GrantRequest;

use super::input::{Input, InputTx};

/// Messages that may wait for one upstream; a grant that finds no room brings no reply.
const RING_ASKS: usize = 4;

/// What one upstream is asked.
#[derive(Debug)]
enum Ask {
    Grant { attempt: u64, request: GrantRequest },
    Probe { attempt: u64 },
}

/// Times of the exchanges with upstreams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AskSettings {
    /// Longest time for one exchange.
    pub(crate) timeout: Duration,
    /// Time between health reports.
    pub(crate) health_every: Duration,
}

impl Default for AskSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(300),
            health_every: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
struct Asked {
    address: SocketAddr,
    tx: mpsc::Sender<Ask>,
}

/// The upstreams that this host talks to.
#[derive(Debug)]
pub(crate) struct Upstreams {
    cfg: AskSettings,
    input: InputTx,
    traffic: Arc<Traffic>,
    tasks: IndexMap<UpstreamId, Asked>,
}

impl Upstreams {
    /// Creates the empty set; the bytes of all connections are added to `traffic`.
    pub(crate) fn new(cfg: AskSettings, input: InputTx, traffic: Arc<Traffic>) -> Self {
        Self {
            cfg,
            input,
            traffic,
            tasks: IndexMap::new(),
        }
    }

    /// Sends a grant to the upstream at `address`.
    pub(crate) fn grant(
        &mut self,
        upstream: &UpstreamId,
        address: SocketAddr,
        attempt: u64,
        request: GrantRequest,
    ) {
        self.ask(upstream, address, Ask::Grant { attempt, request });
    }

    /// Asks the upstream at `address` whether it is up.
    pub(crate) fn probe(&mut self, upstream: &UpstreamId, address: SocketAddr, attempt: u64) {
        self.ask(upstream, address, Ask::Probe { attempt });
    }

    /// Forgets an upstream that this host has no more to do with.
    pub(crate) fn forget(&mut self, upstream: &UpstreamId) {
        self.tasks.shift_remove(upstream);
    }

    fn ask(&mut self, upstream: &UpstreamId, address: SocketAddr, ask: Ask) {
        let known = self.tasks.get(upstream);
        if known.is_none_or(|t| t.address != address || t.tx.is_closed()) {
            let tx = self.start(upstream.clone(), address);
            self.tasks.insert(upstream.clone(), Asked { address, tx });
        }
        // A full ring means that the upstream hasn't replied for several renewals; the attempts
        // that are under way will say so.
        let _full = self.tasks[upstream].tx.try_send(ask);
    }

    fn start(&self, upstream: UpstreamId, address: SocketAddr) -> mpsc::Sender<Ask> {
        let (tx, rx) = mpsc::channel(RING_ASKS);
        let cfg = self.cfg;
        let input = self.input.clone();
        let traffic = Arc::clone(&self.traffic);
        tokio::task::spawn_local(async move {
            let asker = Asker::new(cfg, upstream, address, input, traffic);
            asker.run(rx).await;
        });
        tx
    }
}

struct Asker {
    cfg: AskSettings,
    upstream: UpstreamId,
    client: GrantClient,
    input: InputTx,
}

impl Asker {
    fn new(
        cfg: AskSettings,
        upstream: UpstreamId,
        address: SocketAddr,
        input: InputTx,
        traffic: Arc<Traffic>,
    ) -> Self {
        let settings = GrantSettings {
            connect_timeout: cfg.timeout,
            timeout: cfg.timeout,
            ..GrantSettings::default()
        };
        Self {
            cfg,
            upstream,
            client: GrantClient::new(settings, address).with_traffic(traffic),
            input,
        }
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Ask>) {
        let first = Instant::now() + self.cfg.health_every;
        let mut health = interval_at(first, self.cfg.health_every);
        loop {
            tokio::select! {
                biased;
                ask = rx.recv() => match ask {
                    Some(ask) => self.carry_out(ask).await,
                    None => return,
                },
                _ = health.tick() => self.report().await,
            }
        }
    }

    async fn carry_out(&mut self, ask: Ask) {
        let upstream = self.upstream.clone();
        let input = match ask {
            Ask::Grant { attempt, request } => match self.client.grant(&request).await {
                Ok(reply) => Input::Granted {
                    upstream,
                    attempt,
                    reply,
                },
                Err(e) => no_reply(upstream, attempt, &e),
            },
            Ask::Probe { attempt } => match self.client.health().await {
                Ok(_report) => Input::Healthy { upstream, attempt },
                Err(e) => no_reply(upstream, attempt, &e),
            },
        };
        self.input.send(input).await;
    }

    async fn report(&mut self) {
        if let Ok(report) = self.client.health().await {
            let upstream = self.upstream.clone();
            self.input.send(Input::Health { upstream, report }).await;
        }
    }
}

fn no_reply(upstream: UpstreamId, attempt: u64, e: &ControlCallError) -> Input {
    Input::NoReply {
        upstream,
        attempt,
        refused: e.was_refused(),
    }
}
