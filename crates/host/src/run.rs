//! Starts and stops the duties of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use arc_swap::ArcSwap;
use gate::callers::PathSettings;
use gate::{
    DispatchChannels, DispatchCommand, DispatchSettings, DispatchThread, Gate, GateContext,
    GateSettings, Metrics,
};
use ids::{BootClock, Clock, Incarnation};
use platform::{HttpPlatform, HttpSettings, Token};
use route::DispatcherSettings;
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::control::duty::{Duty, Parts, Rings};
use crate::control::input::{self, Input, InputTx};
use crate::settings::Settings;
use crate::status::{ControlStatus, ControlTraffic, StatusEndpoint};

/// Notices that may wait for the control duty.
const RING_NOTICES: usize = 4_096;
/// Load samples that may wait for the control duty; more are dropped and counted.
const RING_SAMPLES: usize = 16_384;
/// Time between reports of metrics.
const METRICS_EVERY: Duration = Duration::from_secs(1);

/// Why a host could not start.
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
    drain: Duration,
    linger: Duration,
    gate: Gate,
    dispatch: DispatchThread,
    input: InputTx,
    left: oneshot::Receiver<()>,
    stop: oneshot::Sender<()>,
    control: JoinHandle<()>,
    log: Logger,
}

impl Host {
    /// Starts all duties of a host; `token` is its credential at the platform.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(cfg: Settings, token: Token, log: Logger) -> Result<Self, StartError> {
        let shared = Shared::new(&cfg, log)?;
        let (notices_tx, notices) = mpsc::channel(RING_NOTICES);
        let (samples_tx, samples) = mpsc::channel(RING_SAMPLES);
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
        let (left_tx, left) = oneshot::channel();
        let (stop, stop_rx) = oneshot::channel();
        let (input, inputs) = input::ring();
        let rings = Rings {
            inputs,
            notices,
            samples,
            left: left_tx,
            stop: stop_rx,
        };
        let drain = Duration::from_millis(cfg.callers.drain_timeout_ms.into());
        let linger = Duration::from_millis(cfg.callers.linger_ms.into());
        let log = shared.log.clone();
        start_metrics(&shared.cx.metrics, log.clone())?;
        let parts = shared.into_parts(cfg, token, addresses, &dispatch);
        let control = start_control(parts, input.clone(), listener, rings)?;
        info!(log, "started"; "callers" => %addresses.callers);
        Ok(Self {
            addresses,
            drain,
            linger,
            gate,
            dispatch,
            input,
            left,
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

    /// Leaves: hands over all upstreams, goes on serving while the balancer turns away, finishes
    /// all requests under way, and stops.
    ///
    /// It blocks the calling thread, which must not belong to an asynchronous runtime.
    pub fn leave(self) {
        self.input.blocking_send(Input::Leave);
        let began = std::time::Instant::now();
        if !wait_until_closed(self.left, self.drain) {
            warn!(self.log, "not all upstreams were handed over in time");
        }
        std::thread::sleep(self.linger.saturating_sub(began.elapsed()));
        self.gate.join();
        let tx = self.dispatch.tx();
        let _ended = tx.blocking_send(DispatchCommand::Leave);
        let _ended = tx.blocking_send(DispatchCommand::Stop);
        drop(tx);
        self.dispatch.join();
        let _ended = self.stop.send(());
        if self.control.join().is_err() {
            warn!(self.log, "the control duty panicked");
        }
        info!(self.log, "left");
    }
}

/// What the duties of one run share.
#[derive(Debug)]
struct Shared {
    incarnation: Incarnation,
    clock: Arc<dyn Clock>,
    cx: Arc<GateContext>,
    status: Arc<ArcSwap<ControlStatus>>,
    traffic: ControlTraffic,
    log: Logger,
}

impl Shared {
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

    fn into_parts(
        self,
        cfg: Settings,
        token: Token,
        addresses: Addresses,
        dispatch: &DispatchThread,
    ) -> Parts {
        let me = spread::HostIdentity {
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
        Parts {
            own: cfg.ownership.own(),
            spread: cfg.ownership.spread(),
            cfg,
            me,
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

/// Waits until the sender is dropped, at most for `limit`; tells whether it was.
fn wait_until_closed(mut rx: oneshot::Receiver<()>, limit: Duration) -> bool {
    const LOOK_EVERY: Duration = Duration::from_millis(5);
    let began = std::time::Instant::now();
    while began.elapsed() < limit {
        if matches!(rx.try_recv(), Err(oneshot::error::TryRecvError::Closed)) {
            return true;
        }
        std::thread::sleep(LOOK_EVERY);
    }
    false
}

fn start_control(
    parts: Parts,
    input: InputTx,
    listener: std::net::TcpListener,
    rings: Rings,
) -> Result<JoinHandle<()>, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    let run = move || {
        let run = async move {
            let listener = tokio::net::TcpListener::from_std(listener)
                .expect("a bound listener joins the runtime");
            Duty::new(parts, input).run(listener, rings).await;
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
            std::thread::sleep(METRICS_EVERY);
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

/// Draws the number of this run from the wall clock, as a host keeps nothing.
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
        body_timeout_ms: cfg.callers.body_timeout_ms,
        stop_ms: cfg.callers.drain_timeout_ms,
        ..GateSettings::default()
    }
}

fn dispatch_settings(cfg: &Settings) -> DispatchSettings {
    DispatchSettings {
        listen: cfg.listen.dispatch,
        stop_ms: cfg.callers.drain_timeout_ms,
        ..DispatchSettings::default()
    }
}
