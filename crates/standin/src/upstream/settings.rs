//! Settings of an upstream stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use catalogue::KeyLocation;
use ids::{EntryId, UpstreamId};
use serde::{Deserialize, Serialize};

/// How long requests run.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Always the same time.
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

/// How slow an upstream is after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// Factor on the service time at the start; it falls to one in a straight line.
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

/// How true the load is that the health endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum LoadReport {
    /// The load at this moment.
    #[default]
    Honest,
    /// The load of some time ago.
    Lagging {
        /// Age, in milliseconds.
        ms: u64,
    },
    /// No load, ever.
    FrozenZero,
    /// Full load, always.
    FrozenFull,
    /// Idle when busy and busy when idle.
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
    /// Where requests carry their key, for the journal and the answer.
    pub key: Option<KeyLocation>,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Connections that it takes; more are closed at once.
    pub connections: u32,
    /// Whether it checks who gives it an order.
    pub checks_grants: bool,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// How slow it is after its start.
    pub cold_start: ColdStart,
    /// Time that a new connection costs, in milliseconds.
    pub connect_cost_ms: f64,
    /// Time that a health probe costs, in milliseconds; it takes a slot if one is free.
    pub probe_cost_ms: f64,
    /// How true the reported load is.
    pub load_report: LoadReport,
    /// Whether work ends when its client leaves; otherwise only work that waits is dropped.
    pub cancels: bool,
    /// Requests that may wait for a slot; more are shed.
    pub shed_above: u32,
    /// Least size of an answer's body, in bytes; shorter ones are filled up.
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
