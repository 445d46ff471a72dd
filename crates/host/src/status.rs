//! The status of a host, served at `/medlardyke/status`.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use gate::counters::MetricsSnapshot;
use gate::{GateContext, HostAnswer, HostEndpoints, HostRequest, Phase};
use http::StatusCode;
use ids::{DomainId, HostId, Incarnation, Revision, Version};
use serde::Serialize;
use smol_str::SmolStr;
use wire::{Traffic, TrafficSnapshot};

/// Path of the status endpoint.
pub const STATUS_PATH: &str = "/medlardyke/status";

/// Status of the control thread.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ControlStatus {
    /// Version of the catalogue in force.
    pub catalogue_version: Version,
    /// Time since a host began the table read that returned it, in milliseconds; absent if unknown.
    pub catalogue_age_ms: Option<u64>,
    /// Highest revision of ownership known to this host.
    pub revision: Revision,
    /// Time since a host began the table read that returned it, in milliseconds; absent if unknown.
    pub revision_age_ms: Option<u64>,
    /// Hosts that count as alive, this one included.
    pub live_hosts: u32,
    /// Upstreams that this host coordinates.
    pub upstreams: Vec<SmolStr>,
    /// Whether this host reads the table for its domain.
    pub reads_table: bool,
}

/// Byte counters of control connections by kind of peer; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ControlTraffic {
    /// Connections with other hosts.
    pub hosts: Arc<Traffic>,
    /// Connections with upstreams, for grants and health reports.
    pub upstreams: Arc<Traffic>,
    /// Connections with the platform.
    pub platform: Arc<Traffic>,
}

impl ControlTraffic {
    fn snapshot(&self) -> TrafficStatus {
        TrafficStatus {
            hosts: self.hosts.snapshot(),
            upstreams: self.upstreams.snapshot(),
            platform: self.platform.snapshot(),
        }
    }
}

/// Bytes on control connections since the start of the process.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
struct TrafficStatus {
    hosts: TrafficSnapshot,
    upstreams: TrafficSnapshot,
    platform: TrafficSnapshot,
}

/// Body of the status endpoint.
#[derive(Debug, Serialize)]
struct Status<'a> {
    host: &'a HostId,
    domain: &'a DomainId,
    incarnation: Incarnation,
    phase: &'static str,
    #[serde(flatten)]
    control: &'a ControlStatus,
    traffic: TrafficStatus,
    counters: MetricsSnapshot,
}

/// Serves the host's own endpoints.
#[derive(Debug)]
pub struct StatusEndpoint {
    host: HostId,
    domain: DomainId,
    incarnation: Incarnation,
    cx: Arc<GateContext>,
    control: Arc<ArcSwap<ControlStatus>>,
    traffic: ControlTraffic,
}

impl StatusEndpoint {
    /// Creates the endpoint. The control thread stores its status in `control`.
    #[must_use]
    pub fn new(
        host: HostId,
        domain: DomainId,
        incarnation: Incarnation,
        cx: Arc<GateContext>,
        control: Arc<ArcSwap<ControlStatus>>,
        traffic: ControlTraffic,
    ) -> Self {
        Self {
            host,
            domain,
            incarnation,
            cx,
            control,
            traffic,
        }
    }

    fn status(&self) -> HostAnswer {
        let control = self.control.load();
        let status = Status {
            host: &self.host,
            domain: &self.domain,
            incarnation: self.incarnation,
            phase: phase_text(self.cx.phase()),
            control: &control,
            traffic: self.traffic.snapshot(),
            counters: self.cx.metrics.snapshot(),
        };
        let body = serde_json::to_vec(&status).expect("a status serializes to JSON");
        HostAnswer {
            status: StatusCode::OK,
            content_type: "application/json",
            body: Bytes::from(body),
        }
    }
}

impl HostEndpoints for StatusEndpoint {
    fn answer(&self, request: HostRequest<'_>) -> Option<HostAnswer> {
        (request.path == STATUS_PATH).then(|| self.status())
    }
}

const fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
    }
}
