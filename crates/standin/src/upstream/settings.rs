//! Settings of an upstream stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use catalogue::KeyLocation;
use ids::{EntryId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Distribution of service times.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Constant.
    Fixed {
        /// Time, in milliseconds.
        ms: f64,
    },
    /// Exponentially distributed.
    Exponential {
        /// Mean, in milliseconds.
        mean_ms: f64,
    },
    /// Log-normally distributed.
    LogNormal {
        /// Median, in milliseconds.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

/// Slowdown of an upstream after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// Factor on the service time at the start; it decreases linearly to one.
    pub factor: f64,
    /// Time until the factor is one, in milliseconds.
    pub decay_ms: u64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            factor: 1.0,
            decay_ms: 0,
        }
    }
}

/// How the load that the health endpoint reports deviates from the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum LoadReport {
    /// The current load.
    #[default]
    Honest,
    /// The load at an earlier time.
    Lagging {
        /// Age, in milliseconds.
        ms: u64,
    },
    /// Always no load.
    FrozenZero,
    /// Always full load.
    FrozenFull,
    /// The capacity minus the current load.
    Inverted,
}

/// Settings of an upstream stand-in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Address to listen on; port zero lets the kernel choose.
    pub listen: SocketAddr,
    /// Name.
    pub name: UpstreamId,
    /// Entry that it serves.
    pub entry: EntryId,
    /// Location of the key in requests, for the journal and the response.
    pub key: Option<KeyLocation>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of connections; further ones are closed immediately.
    pub connections: u32,
    /// Whether it implements the grant endpoint and rejects requests that no grant allows.
    pub checks_grants: bool,
    /// Distribution of service times.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// Slowdown after its start.
    pub cold_start: ColdStart,
    /// Delay before a new connection is served, in milliseconds.
    pub connect_cost_ms: f64,
    /// Duration of a health probe, in milliseconds; the probe occupies a slot if one is free.
    pub probe_cost_ms: f64,
    /// How the reported load deviates from the actual load.
    pub load_report: LoadReport,
    /// Whether a running request is cancelled when its client disconnects; a queued request is always
    /// dropped then.
    pub cancels: bool,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub shed_above: u32,
    /// Minimum size of a response's body, in bytes; shorter ones are padded.
    pub answer_bytes: u32,
    /// File to which the journal is appended.
    pub journal: Option<PathBuf>,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: UpstreamId::new("upstream-1").expect("the name is valid"),
            entry: EntryId::new("entry").expect("the name is valid"),
            key: None,
            slots: 4,
            connections: 130,
            checks_grants: true,
            service_time: ServiceTime::Fixed { ms: 5.0 },
            seed: 1,
            cold_start: ColdStart::default(),
            connect_cost_ms: 1.0,
            probe_cost_ms: 6.0,
            load_report: LoadReport::default(),
            cancels: true,
            shed_above: 8,
            answer_bytes: 0,
            journal: None,
        }
    }
}
