//! Hosts in one process, with a fixed catalogue and fixed ownership.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalogue::Catalogue;

use gate::{
    DispatchChannels, DispatchCommand, DispatchEvent, DispatchSettings, DispatchThread, Gate,
    GateContext, GateSettings, HostEndpoints, JointStart, LoadSample, Metrics, PathSettings,
    PeerTable, Phase, UpstreamTarget,
};
use ids::{BootClock, Clock, EntryId, Epoch, HostId, SliceNo, UpstreamId};
use indexmap::IndexMap;
use route::{DispatcherSettings, Event, Ownership, Router, UpstreamLimits, UpstreamOwnership};
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

use super::upstream::Upstream;

/// Number of slices of each divided entry.
pub const SLICES: u32 = 16;

/// Settings that vary between tests.
#[derive(Debug, Clone)]
pub struct RigSettings {
    pub hosts: usize,
    pub gate: GateSettings,
    pub dispatch: DispatchSettings,
    /// Duration of the lease on each upstream; `None` for no lease.
    pub lease: Option<Duration>,
    /// Host that coordinates all upstreams.
    pub coordinator: usize,
    /// Maximum number of concurrent requests at each upstream.
    pub slots: u32,
    /// Whether the server for callers and dispatch share a thread.
    pub joint: bool,
    /// The hosts' own endpoints.
    pub endpoints: Arc<dyn HostEndpoints>,
}

impl Default for RigSettings {
    fn default() -> Self {
        Self {
            hosts: 1,
            gate: GateSettings::default(),
            dispatch: DispatchSettings::default(),
            lease: Some(Duration::from_mins(1)),
            coordinator: 0,
            slots: 4,
            joint: false,
            endpoints: Arc::new(()),
        }
    }
}

/// One host.
pub struct Host {
    pub id: HostId,
    pub cx: Arc<GateContext>,
    pub gate: Gate,
    pub dispatch: DispatchThread,
    pub events: mpsc::Receiver<DispatchEvent>,
    pub samples: mpsc::Receiver<LoadSample>,
}

/// Hosts, and one upstream that serves the keys of all entries.
pub struct Rig {
    pub hosts: Vec<Host>,
    pub upstream: Upstream,
}

/// Returns a catalogue with five entries.
///
/// `look` is divided by the header `x-key` and idempotent, `seg` is divided by a path segment and
/// not idempotent, `any` is not divided and not idempotent, `echo` checks the echoed request id,
/// and `bulk` allows large bodies.
pub fn catalogue(upstream: SocketAddr) -> Catalogue {
    let by_key = |key: &str| format!(r#"{{"by": "key", "key": {key}, "slices": {SLICES}}}"#);
    let entry = |name: &str, class: &str, sharding: &str, echo: bool| {
        let bytes = if name == "bulk" { 32 << 20 } else { 65_536 };
        format!(
            r#""{name}": {{"owners": ["op"], "path": "{name}", "class": "{class}",
            "sharding": {sharding}, "deadline_ms": 2000, "verify_echo": {echo},
            "limits": {{"request_bytes": {bytes}, "answer_bytes": {bytes}, "queue": 64}}}}"#
        )
    };
    let upstream_json = |name: &str| {
        format!(
            r#""up-{name}": {{"entry": "{name}", "address": "{upstream}", "domain": "d1",
            "slots": 4}}"#
        )
    };
    let names = ["look", "seg", "any", "echo", "bulk"];
    let entries = [
        entry(
            "look",
            "idempotent",
            &by_key(r#"{"header": "x-key"}"#),
            false,
        ),
        entry(
            "seg",
            "non-idempotent",
            &by_key(r#"{"path-segment": 0}"#),
            false,
        ),
        entry("any", "non-idempotent", r#"{"by": "none"}"#, false),
        entry("bulk", "non-idempotent", r#"{"by": "none"}"#, false),
        entry("echo", "non-idempotent", r#"{"by": "none"}"#, true),
    ];
    let text = format!(
        r#"{{"domains": {{"d1": {{"region": "r1"}}}}, "entries": {{{}}}, "upstreams": {{{}}}}}"#,
        entries.join(","),
        names.map(upstream_json).join(",")
    );
    serde_json::from_str(&text).expect("a valid catalogue")
}

fn slices_of(name: &str) -> Vec<SliceNo> {
    match name {
        "up-look" | "up-seg" => (0..u64::from(SLICES)).map(SliceNo).collect(),
        _ => Vec::new(),
    }
}

fn router(catalogue: &Catalogue, coordinator: &HostId) -> Router {
    let upstreams: IndexMap<UpstreamId, UpstreamOwnership> = catalogue
        .upstreams
        .keys()
        .map(|id| {
            let owned = UpstreamOwnership {
                host: Some(coordinator.clone()),
                slices: slices_of(id.as_str()),
            };
            (id.clone(), owned)
        })
        .collect();
    let ownership = Ownership {
        revision: ids::Revision(7),
        upstreams,
    };
    Router::build(&Router::default(), catalogue, &ownership)
}

fn start_host(number: usize, settings: &RigSettings) -> Host {
    let id = HostId::new(format!("host-{number}")).expect("a name");
    let log = Logger::root(Discard, o!());
    let metrics = Arc::new(Metrics::default());
    let cx = Arc::new(GateContext::new(
        id.clone(),
        Arc::new(BootClock),
        metrics,
        log,
    ));
    let (event_tx, events) = mpsc::channel(64);
    let (sample_tx, samples) = mpsc::channel(64);
    let channels = DispatchChannels {
        events: event_tx,
        samples: sample_tx,
    };
    let start = JointStart {
        gate: settings.gate.clone(),
        path: PathSettings::default(),
        dispatch: settings.dispatch.clone(),
        dispatcher: DispatcherSettings::default(),
        channels,
        endpoints: Arc::clone(&settings.endpoints),
    };
    let (gate, dispatch) = if settings.joint {
        start.start(&cx).expect("callers and dispatch")
    } else {
        start_on_two_threads(start, &cx)
    };
    Host {
        id,
        cx,
        gate,
        dispatch,
        events,
        samples,
    }
}

fn start_on_two_threads(start: JointStart, cx: &Arc<GateContext>) -> (Gate, DispatchThread) {
    let shared_cx = || Arc::clone(cx);
    let dispatch = DispatchThread::start(
        start.dispatch,
        start.dispatcher,
        shared_cx(),
        start.channels,
    );
    let dispatch = dispatch.expect("dispatch thread");
    let gate = Gate::start(
        start.gate,
        start.path,
        shared_cx(),
        dispatch.tx(),
        start.endpoints,
    );
    (gate.expect("gate"), dispatch)
}

impl Rig {
    pub async fn start(settings: RigSettings) -> Self {
        let upstream = Upstream::start().await;
        let hosts: Vec<Host> = (0..settings.hosts)
            .map(|n| start_host(n, &settings))
            .collect();
        let rig = Self { hosts, upstream };
        let catalogue = catalogue(rig.upstream.address);
        rig.coordinate(&catalogue, &settings).await;
        let dispatch = rig
            .hosts
            .iter()
            .map(|h| (h.id.clone(), h.dispatch.address()))
            .collect();
        let peers = Arc::new(PeerTable { dispatch });
        let router = Arc::new(router(&catalogue, &rig.hosts[settings.coordinator].id));
        for host in &rig.hosts {
            host.cx.peers.store(Arc::clone(&peers));
            host.cx.router.store(Arc::clone(&router));
            host.cx.set_phase(Phase::Serving);
        }
        rig
    }

    async fn coordinate(&self, catalogue: &Catalogue, settings: &RigSettings) {
        let host = &self.hosts[settings.coordinator];
        let tx = host.dispatch.tx();
        for (id, declared) in &catalogue.upstreams {
            let entry = &catalogue.entries[&declared.entry];
            let declared_upstream = DispatchCommand::Upstream {
                upstream: id.clone(),
                limits: UpstreamLimits {
                    slots: settings.slots,
                    connections: declared.connections,
                    queue: entry.limits.queue,
                    divided: !slices_of(id.as_str()).is_empty(),
                },
                target: UpstreamTarget {
                    entry: declared.entry.clone(),
                    address: declared.address,
                    answer_bytes: entry.limits.answer_bytes,
                    verify_echo: entry.verify_echo,
                },
            };
            tx.send(declared_upstream).await.expect("dispatch thread");
            if let Some(lease) = settings.lease {
                let lease = Event::Lease {
                    upstream: id.clone(),
                    epoch: Epoch(3),
                    valid_until: BootClock.now() + lease,
                    slices: Some(slices_of(id.as_str()).into()),
                };
                tx.send(DispatchCommand::Event(lease))
                    .await
                    .expect("dispatch thread");
            }
        }
    }

    /// Returns the address of a host for callers.
    pub fn address(&self, host: usize) -> SocketAddr {
        self.hosts[host].gate.address()
    }

    pub fn metrics(&self, host: usize) -> &Metrics {
        &self.hosts[host].cx.metrics
    }
}

/// Returns the id of an entry.
pub fn entry(name: &str) -> EntryId {
    EntryId::new(name).expect("a name")
}
