//! Grants and health requests to upstreams. Each upstream has its own task.

use std::net::{IpAddr, SocketAddr};
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

/// Capacity of the channel for calls to one upstream; a grant that finds it full gets no reply.
const CALL_CAPACITY: usize = 4;

/// A call to an upstream.
#[derive(Debug)]
enum UpstreamCall {
    Grant { attempt: u64, request: GrantRequest },
    Probe { attempt: u64 },
}

/// Times of calls to upstreams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamCallSettings {
    /// Timeout of one call.
    pub(crate) timeout: Duration,
    /// Time between health reports.
    pub(crate) health_interval: Duration,
    /// Local address of connections; chosen by the system if there is none.
    pub(crate) source: Option<IpAddr>,
}

impl Default for UpstreamCallSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(300),
            health_interval: Duration::from_secs(1),
            source: None,
        }
    }
}

#[derive(Debug)]
struct UpstreamTask {
    address: SocketAddr,
    tx: mpsc::Sender<UpstreamCall>,
}

/// Tasks that call the upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamClients {
    cfg: UpstreamCallSettings,
    input: InputTx,
    traffic: Arc<Traffic>,
    tasks: IndexMap<UpstreamId, UpstreamTask>,
}

impl UpstreamClients {
    /// Creates the empty set. The bytes of all connections are added to `traffic`.
    pub(crate) fn new(cfg: UpstreamCallSettings, input: InputTx, traffic: Arc<Traffic>) -> Self {
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
        self.call(upstream, address, UpstreamCall::Grant { attempt, request });
    }

    /// Sends a health request to the upstream at `address`.
    pub(crate) fn probe(&mut self, upstream: &UpstreamId, address: SocketAddr, attempt: u64) {
        self.call(upstream, address, UpstreamCall::Probe { attempt });
    }

    /// Sends a health request to the upstream at `address` over a connection of its own, which is then
    /// closed.
    pub(crate) fn check_reach(&self, upstream: UpstreamId, address: SocketAddr, attempt: u64) {
        let (input, traffic) = (self.input.clone(), Arc::clone(&self.traffic));
        let mut client = UpstreamClient::new(self.cfg, upstream, address, input, traffic);
        tokio::task::spawn_local(async move {
            let is_reached = client.client.health().await.is_ok();
            let checked = Input::ReachChecked {
                attempt,
                is_reached,
            };
            client.input.send(checked).await;
        });
    }

    /// Stops the task of an upstream that this host no longer calls.
    pub(crate) fn remove(&mut self, upstream: &UpstreamId) {
        self.tasks.shift_remove(upstream);
    }

    fn call(&mut self, upstream: &UpstreamId, address: SocketAddr, call: UpstreamCall) {
        let known = self.tasks.get(upstream);
        if known.is_none_or(|t| t.address != address || t.tx.is_closed()) {
            let tx = self.spawn(upstream.clone(), address);
            self.tasks
                .insert(upstream.clone(), UpstreamTask { address, tx });
        }
        // If the channel is full, the upstream hasn't replied for several renewals; the attempts in
        // progress will report that.
        let _full = self.tasks[upstream].tx.try_send(call);
    }

    fn spawn(&self, upstream: UpstreamId, address: SocketAddr) -> mpsc::Sender<UpstreamCall> {
        let (tx, rx) = mpsc::channel(CALL_CAPACITY);
        let cfg = self.cfg;
        let input = self.input.clone();
        let traffic = Arc::clone(&self.traffic);
        tokio::task::spawn_local(async move {
            let client = UpstreamClient::new(cfg, upstream, address, input, traffic);
            client.run(rx).await;
        });
        tx
    }
}

struct UpstreamClient {
    cfg: UpstreamCallSettings,
    upstream: UpstreamId,
    client: GrantClient,
    input: InputTx,
}

impl UpstreamClient {
    fn new(
        cfg: UpstreamCallSettings,
        upstream: UpstreamId,
        address: SocketAddr,
        input: InputTx,
        traffic: Arc<Traffic>,
    ) -> Self {
        let settings = GrantSettings {
            connect_timeout: cfg.timeout,
            timeout: cfg.timeout,
            source: cfg.source,
            ..GrantSettings::default()
        };
        Self {
            cfg,
            upstream,
            client: GrantClient::new(settings, address).with_traffic(traffic),
            input,
        }
    }

    async fn run(mut self, mut rx: mpsc::Receiver<UpstreamCall>) {
        let first = Instant::now() + self.cfg.health_interval;
        let mut health = interval_at(first, self.cfg.health_interval);
        loop {
            tokio::select! {
                biased;
                call = rx.recv() => match call {
                    Some(call) => self.execute(call).await,
                    None => return,
                },
                _ = health.tick() => self.report_health().await,
            }
        }
    }

    async fn execute(&mut self, call: UpstreamCall) {
        let upstream = self.upstream.clone();
        let input = match call {
            UpstreamCall::Grant { attempt, request } => match self.client.grant(&request).await {
                Ok(reply) => Input::GrantReply {
                    upstream,
                    attempt,
                    reply,
                },
                Err(e) => no_reply(upstream, attempt, &e),
            },
            UpstreamCall::Probe { attempt } => match self.client.health().await {
                Ok(_report) => Input::Healthy { upstream, attempt },
                Err(e) => no_reply(upstream, attempt, &e),
            },
        };
        self.input.send(input).await;
    }

    async fn report_health(&mut self) {
        if let Ok(report) = self.client.health().await {
            let upstream = self.upstream.clone();
            self.input
                .send(Input::HealthReport { upstream, report })
                .await;
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
