//! Starts and stops the threads of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use arc_swap::ArcSwap;
use gate::callers::PathSettings;
use gate::{
    DispatchChannels, DispatchCommand, DispatchSettings, DispatchThread, Gate, GateContext,
    GateSettings, Metrics, UpstreamSettings,
};
use ids::{BootClock, Clock, Incarnation};
use platform::{HttpPlatform, HttpSettings, Token};
use route::DispatcherSettings;
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::control::input::{self, Input, InputTx};
use crate::control::thread::{ControlChannels, ControlThread, Dependencies};
use crate::settings::Settings;
use crate::status::{ControlStatus, ControlTraffic, StatusEndpoint};

/// Capacity of the channel for notices to the control thread.
const NOTICE_CAPACITY: usize = 4_096;
/// Capacity of the channel for load samples to the control thread; further ones are dropped and
/// counted.
const SAMPLE_CAPACITY: usize = 16_384;
/// Time between two transmissions of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a host could not start.
pub type StartError = anyhow::Error;

/// Addresses on which a host listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For requests of other hosts.
    pub dispatch: SocketAddr,
    /// For control connections of other hosts.
    pub control: SocketAddr,
}

/// A running host.
#[derive(Debug)]
pub struct Host {
    addresses: Addresses,
    drain_timeout: Duration,
    linger: Duration,
    gate: Gate,
    dispatch: DispatchThread,
    input: InputTx,
    handed_over: oneshot::Receiver<()>,
    stop: oneshot::Sender<()>,
    control: JoinHandle<()>,
    log: Logger,
}

impl Host {
    /// Starts all threads of a host. `token` is its credential at the platform.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(cfg: Settings, token: Token, log: Logger) -> Result<Self, StartError> {
        let shared = SharedState::new(&cfg, log)?;
        let (notices_tx, notices) = mpsc::channel(NOTICE_CAPACITY);
        let (samples_tx, samples) = mpsc::channel(SAMPLE_CAPACITY);
        let channels = DispatchChannels {
            events: notices_tx,
            samples: samples_tx,
        };
        let listener = bind(cfg.listen.control)?;
        let dispatch = DispatchThread::start(
            dispatch_settings(&cfg),
            DispatcherSettings::default(),
            Arc::clone(&shared.cx),
            channels,
        )?;
        let gate = shared.start_gate(&cfg, &dispatch)?;
        let addresses = Addresses {
            callers: gate.address(),
            dispatch: dispatch.address(),
            control: listener.local_addr()?,
        };
        let (handed_over_tx, handed_over) = oneshot::channel();
        let (stop, stop_rx) = oneshot::channel();
        let (input, inputs) = input::channel();
        let control_channels = ControlChannels {
            inputs,
            notices,
            samples,
            handed_over: handed_over_tx,
            stop: stop_rx,
        };
        let drain_timeout = Duration::from_millis(cfg.callers.drain_timeout_ms.into());
        let linger = Duration::from_millis(cfg.callers.linger_ms.into());
        let log = shared.log.clone();
        start_metrics(&shared.cx.metrics, log.clone())?;
        let deps = shared.into_dependencies(cfg, token, addresses, &dispatch);
        let control = start_control(deps, input.clone(), listener, control_channels)?;
        info!(log, "started"; "callers" => %addresses.callers);
        Ok(Self {
            addresses,
            drain_timeout,
            linger,
            gate,
            dispatch,
            input,
            handed_over,
            stop,
            control,
            log,
        })
    }

    /// Returns the addresses on which the host listens.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Drains and stops the host: hands over all upstreams, continues to serve until the load
    /// balancer sends no more requests, and finishes all requests in flight.
    ///
    /// Blocks the calling thread, which must not belong to an asynchronous runtime.
    pub fn leave(self) {
        self.input.blocking_send(Input::Leave);
        let leaving_since = std::time::Instant::now();
        if !wait_until_closed(self.handed_over, self.drain_timeout) {
            warn!(self.log, "not all upstreams were handed over in time");
        }
        std::thread::sleep(self.linger.saturating_sub(leaving_since.elapsed()));
        self.gate.join();
        let tx = self.dispatch.tx();
        let _ended = tx.blocking_send(DispatchCommand::Leave);
        let _ended = tx.blocking_send(DispatchCommand::Stop);
        drop(tx);
        self.dispatch.join();
        let _ended = self.stop.send(());
        if self.control.join().is_err() {
            warn!(self.log, "the control thread panicked");
        }
        info!(self.log, "left");
    }
}

/// State shared by the threads of one incarnation of a host.
#[derive(Debug)]
struct SharedState {
    incarnation: Incarnation,
    clock: Arc<dyn Clock>,
    cx: Arc<GateContext>,
    status: Arc<ArcSwap<ControlStatus>>,
    traffic: ControlTraffic,
    log: Logger,
}

impl SharedState {
    fn new(cfg: &Settings, log: Logger) -> Result<Self, StartError> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock);
        let metrics = Arc::new(metrics(cfg)?);
        let host = cfg.host.clone();
        let cx = GateContext::new(host, Arc::clone(&clock), metrics, log.clone());
        Ok(Self {
            incarnation: incarnation(),
            clock,
            cx: Arc::new(cx),
            status: Arc::default(),
            traffic: ControlTraffic::default(),
            log,
        })
    }

    fn start_gate(&self, cfg: &Settings, dispatch: &DispatchThread) -> Result<Gate, StartError> {
        let endpoint = StatusEndpoint::new(
            cfg.host.clone(),
            cfg.domain.clone(),
            self.incarnation,
            Arc::clone(&self.cx),
            Arc::clone(&self.status),
            self.traffic.clone(),
        );
        let gate = Gate::start(
            gate_settings(cfg),
            PathSettings::default(),
            Arc::clone(&self.cx),
            dispatch.tx(),
            Arc::new(endpoint),
        )?;
        Ok(gate)
    }

    fn into_dependencies(
        self,
        cfg: Settings,
        token: Token,
        addresses: Addresses,
        dispatch: &DispatchThread,
    ) -> Dependencies {
        let identity = spread::HostIdentity {
            host: cfg.host.clone(),
            domain: cfg.domain.clone(),
            incarnation: self.incarnation,
            control: addresses.control,
            dispatch: addresses.dispatch,
        };
        let settings = HttpSettings {
            address: cfg.platform.address,
            token,
            timeout: Duration::from_millis(cfg.platform.timeout_ms.into()),
            ..HttpSettings::default()
        };
        let platform = HttpPlatform::counted(settings, Arc::clone(&self.traffic.platform));
        Dependencies {
            ownership_settings: cfg.ownership.ownership_settings(),
            upstream_source: cfg.upstream_source,
            membership_settings: cfg.ownership.membership_settings(),
            cfg,
            identity,
            clock: self.clock,
            cx: self.cx,
            dispatch: dispatch.tx(),
            platform,
            traffic: self.traffic,
            status: self.status,
            log: self.log,
        }
    }
}

fn bind(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("bind control address {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Waits until the sender is dropped, for at most `limit`. Returns whether it was dropped.
fn wait_until_closed(mut rx: oneshot::Receiver<()>, limit: Duration) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let began = std::time::Instant::now();
    while began.elapsed() < limit {
        if matches!(rx.try_recv(), Err(oneshot::error::TryRecvError::Closed)) {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}

fn start_control(
    deps: Dependencies,
    input: InputTx,
    listener: std::net::TcpListener,
    channels: ControlChannels,
) -> Result<JoinHandle<()>, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    let run = move || {
        let run = async move {
            let listener = tokio::net::TcpListener::from_std(listener)
                .expect("a non-blocking listener can be added to the runtime");
            ControlThread::new(deps, input)
                .run(listener, channels)
                .await;
        };
        runtime.block_on(LocalSet::new().run_until(run));
    };
    Ok(thread.spawn(run)?)
}

fn start_metrics(metrics: &Arc<Metrics>, log: Logger) -> Result<(), StartError> {
    let weak = Arc::downgrade(metrics);
    let thread = std::thread::Builder::new().name("metrics".to_owned());
    thread.spawn(move || {
        while let Some(metrics) = weak.upgrade() {
            if let Err(e) = metrics.flush() {
                warn!(log, "metrics were not sent"; "cause" => %e);
            }
            drop(metrics);
            std::thread::sleep(METRICS_INTERVAL);
        }
    })?;
    Ok(())
}

fn metrics(cfg: &Settings) -> Result<Metrics, StartError> {
    match cfg.statsd {
        Some(server) => Metrics::to_statsd(server)
            .with_context(|| format!("open metrics socket towards {server}")),
        None => Ok(Metrics::default()),
    }
}

/// Returns the number of this incarnation. It is taken from the wall clock because a host stores
/// nothing.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(1, |d| d.as_micros() as u64))
}

fn gate_settings(cfg: &Settings) -> GateSettings {
    GateSettings {
        listen: cfg.listen.callers,
        max_connections: cfg.callers.connections,
        header_bytes: cfg.callers.head_bytes,
        header_timeout_ms: cfg.callers.head_timeout_ms,
        idle_timeout_ms: cfg.callers.idle_timeout_ms,
        body_timeout_ms: cfg.callers.body_timeout_ms,
        stop_ms: cfg.callers.drain_timeout_ms,
        ..GateSettings::default()
    }
}

fn dispatch_settings(cfg: &Settings) -> DispatchSettings {
    DispatchSettings {
        listen: cfg.listen.dispatch,
        stop_ms: cfg.callers.drain_timeout_ms,
        upstream: UpstreamSettings {
            source: cfg.upstream_source,
            ..UpstreamSettings::default()
        },
        ..DispatchSettings::default()
    }
}
