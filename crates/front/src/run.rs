//! Starts and stops the threads of a host.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use assign::HostIncarnation;
use gate::Metrics;
use ids::Incarnation;
use slog::{Logger, info};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use crate::control::samples::{self, SampleRx};
use crate::control::tables::Table;
use crate::control::{
    ControlState, RequestThreadLinks, SharedControl, announce, follow, heartbeat, keys,
    observations, quarantine, relay,
};
use crate::links::SharedLostLinks;
use crate::observation::{self, ObservationRx};
use crate::peer_exchange;
use crate::ports::{HeaderFormat, Platform};
use crate::request_thread::RequestThread;
use crate::settings::{self, Settings};
use crate::view::{Phase, SharedView};
use crate::{log, serve};

/// Time for which a host that is stopping still accepts connections: the load balancer checks once
/// a second and needs two answers.
const LINGER: Duration = Duration::from_millis(2_300);
/// Time reserved before the process would be killed: requests that no upstream has answered by then
/// are answered in its first half.
const FINAL_ANSWERS: Duration = Duration::from_millis(400);
/// Maximum number of queued link checks that the control thread requested; further ones are dropped,
/// as each failed call requests another.
const MAX_LINK_CHECKS: usize = 64;

/// Runs an entry host until it receives a signal to stop.
///
/// # Errors
///
/// Fails if the settings are not valid, or an address can't be bound.
pub fn run<P: Platform + Send>(
    path: &Path,
    header_format: &Arc<dyn HeaderFormat>,
    platform: impl FnOnce(&Settings) -> P,
) -> anyhow::Result<()> {
    let cfg = settings::load(path)?;
    let log = log::logger(&cfg);
    let this_host = HostIncarnation {
        host: cfg.host.clone(),
        incarnation: incarnation(),
    };
    info!(log, "host starts"; "incarnation" => this_host.incarnation.0,
        "domain" => cfg.domain.as_str());
    let view = SharedView::default();
    let (samples_tx, samples_rx) = samples::ring();
    let (observations_tx, observations_rx) = observation::channel();
    let lost_links = SharedLostLinks::default();
    let (peer_calls_tx, peer_calls_rx) = peer_exchange::calls::channel();
    let (link_checks_tx, link_checks_rx) = mpsc::channel(MAX_LINK_CHECKS);
    let stop = CancellationToken::new();
    let metrics: Arc<Metrics> = Arc::default();
    let request_thread = RequestThread {
        cfg: cfg.clone(),
        view: SharedView::clone(&view),
        header_format: Arc::clone(header_format),
        samples: samples_tx,
        observations: observations_tx,
        lost_links: SharedLostLinks::clone(&lost_links),
        link_checks: link_checks_rx,
        peer_calls: peer_calls_rx,
        metrics: Arc::clone(&metrics),
        stop: stop.clone(),
        log: log.clone(),
    };
    let grace = cfg.stop.grace().saturating_sub(LINGER + FINAL_ANSWERS);
    let (started_tx, started_rx) = std::sync::mpsc::sync_channel(1);
    let request_thread = std::thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || block_on(request_thread.run(&started_tx, grace))?)
        .context("start the request thread")?;
    // A host that can't accept callers must not report that it is ready.
    started_rx
        .recv()
        .context("request thread ended before it reported its start")??;
    let platform = platform(&cfg);
    let shared = RequestThreadLinks {
        lost_links,
        link_checks: link_checks_tx,
        peer_calls: peer_calls_tx,
        view,
        metrics: Arc::clone(&metrics),
    };
    let control = ControlState::new(this_host, cfg, shared, log.clone());
    let services = ControlServices {
        ready_path: header_format.ready_path(),
        metrics,
        stop,
    };
    let channels = Channels {
        samples: samples_rx,
        observations: observations_rx,
    };
    block_on(control_thread(control, platform, channels, services))??;
    let ended = request_thread.join();
    info!(log, "host stops");
    match ended {
        Ok(result) => result,
        Err(_panic) => anyhow::bail!("request thread panicked"),
    }
}

/// Returns a number that rises from one incarnation of a host to the next: microseconds since the
/// Unix epoch.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |t| t.as_micros() as u64))
}

fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start runtime")
}

/// Runs `main` and its local tasks on this thread.
fn block_on<T>(main: impl Future<Output = T>) -> anyhow::Result<T> {
    let runtime = runtime()?;
    Ok(runtime.block_on(LocalSet::new().run_until(main)))
}

/// What the control thread serves and stops besides running the control tasks.
struct ControlServices {
    ready_path: &'static str,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
}

/// Channels from the request thread to the control thread.
struct Channels {
    samples: SampleRx,
    observations: ObservationRx,
}

async fn control_thread<P: Platform>(
    control: ControlState,
    platform: P,
    channels: Channels,
    services: ControlServices,
) -> anyhow::Result<()> {
    let (listen, view, log) = (
        control.cfg.listen,
        SharedView::clone(&control.view),
        control.log.clone(),
    );
    let ready_listener =
        serve::bind(listen.ready).with_context(|| format!("bind {}", listen.ready))?;
    let socket = heartbeat::bind(listen.peers)
        .await
        .with_context(|| format!("bind {}", listen.peers))?;
    let relay_listener =
        serve::bind(listen.peers).with_context(|| format!("bind {}", listen.peers))?;
    let ctl = SharedControl::new(control);
    let metrics_listener =
        serve::bind(listen.metrics).with_context(|| format!("bind {}", listen.metrics))?;
    let ready_path = services.ready_path;
    tokio::task::spawn_local(serve::serve_readiness(
        ready_listener,
        ready_path,
        view,
        log.clone(),
    ));
    tokio::task::spawn_local(serve::serve_metrics(
        metrics_listener,
        services.metrics,
        log.clone(),
    ));
    for table in [Table::Configuration, Table::Shared] {
        tokio::task::spawn_local(follow::follow(ctl.clone(), platform.clone(), table));
    }
    tokio::task::spawn_local(follow::poll(ctl.clone(), platform.clone()));
    tokio::task::spawn_local(follow::confirm(ctl.clone(), platform.clone()));
    tokio::task::spawn_local(announce::announce(ctl.clone(), platform.clone()));
    tokio::task::spawn_local(relay::serve(ctl.clone(), relay_listener));
    tokio::task::spawn_local(relay::receive(ctl.clone(), platform.clone()));
    let Channels {
        samples,
        observations,
    } = channels;
    tokio::task::spawn_local(heartbeat::send(ctl.clone(), Rc::clone(&socket), samples));
    tokio::task::spawn_local(observations::watch(
        ctl.clone(),
        Rc::clone(&socket),
        observations,
    ));
    tokio::task::spawn_local(quarantine::record(ctl.clone(), platform.clone()));
    tokio::task::spawn_local(keys::drive(ctl.clone(), platform, Rc::clone(&socket)));
    tokio::task::spawn_local(heartbeat::receive(ctl.clone(), socket));
    wait_for_stop(&log).await?;
    let killed_at = tokio::time::Instant::now() + ctl.with(|c| c.cfg.stop.grace());
    ctl.with(|c| c.set_phase(Phase::Leaving));
    tokio::time::sleep(LINGER).await;
    services.stop.cancel();
    while tokio::time::Instant::now() + FINAL_ANSWERS < killed_at && ctl.with(|c| c.is_needed()) {
        tokio::time::sleep(FINAL_ANSWERS / 4).await;
    }
    Ok(())
}

/// Waits for a signal to stop. A signal to reload the settings changes nothing, because addresses
/// and names are fixed for the life of the process.
async fn wait_for_stop(log: &Logger) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("watch for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("watch for SIGINT")?;
    let mut hup = signal(SignalKind::hangup()).context("watch for SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => info!(log, "reload: nothing to change"),
        }
    }
    info!(log, "told to stop");
    Ok(())
}
