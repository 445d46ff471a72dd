//! The declarations as written in JSON files.

use std::net::SocketAddr;

use ids::{DomainId, EntryId, OperatorId, RegionId, UpstreamId};
use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::schema::AddressSchema;

/// All declarations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Catalogue {
    /// Failure domains.
    pub domains: IndexMap<DomainId, Domain>,
    /// Entries.
    pub entries: IndexMap<EntryId, Entry>,
    /// Upstreams.
    pub upstreams: IndexMap<UpstreamId, Upstream>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Region of the domain.
    pub region: RegionId,
    /// Whether an operator declares the domain lost: its hosts and upstreams are certainly off,
    /// and other domains may take over its keys.
    #[serde(default)]
    pub lost: bool,
}

/// A catalogue entry: a service whose requests are routed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Operators who may change the entry.
    pub owners: Vec<OperatorId>,
    /// First segment of the request path, without slashes, that selects the entry.
    pub path: SmolStr,
    /// Whether requests may run more than once.
    pub class: Class,
    /// Whether the entry is divided by key, and how.
    pub sharding: Sharding,
    /// Deadline of a request that does not state one, in milliseconds.
    pub deadline_ms: u32,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// What a domain does with the entry's keys while it is cut off from the other domains and
    /// from the platform.
    #[serde(default)]
    pub cut_off: CutOff,
    /// Weights of the placement objective.
    #[serde(default)]
    pub objective: Objective,
    /// Whether an answer must echo the id of its request.
    #[serde(default)]
    pub verify_echo: bool,
}

/// Whether requests may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A request may run more than once without harm.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
}

/// Whether an entry is divided by key, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, tag = "by")]
pub enum Sharding {
    /// The entry is not divided: any of its upstreams may serve any request.
    None,
    /// Each key is owned by one of the entry's upstreams.
    Key {
        /// Where requests carry their key.
        key: KeyLocation,
        /// Number of slices; it can't change while the entry exists.
        slices: u32,
    },
}

/// Where requests carry their key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyLocation {
    /// The header of this name.
    Header(SmolStr),
    /// The path segment of this index, counted from zero after the entry's own segment.
    PathSegment(u32),
}

/// Limits of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests per second, summed over all hosts; zero for no limit.
    pub rate_per_s: u32,
    /// Concurrent requests at one entry host; zero for no limit.
    pub concurrency: u32,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Largest request body, in bytes.
    pub request_bytes: u32,
    /// Largest answer body, in bytes.
    pub answer_bytes: u32,
    /// Retries allowed, in percent of the requests.
    pub retry_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate_per_s: 0,
            concurrency: 0,
            queue: 64,
            request_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            retry_percent: 10,
        }
    }
}

/// What a domain that is cut off from the others and from the platform does with an entry's keys.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    JsonSchema
)]
#[serde(rename_all = "kebab-case")]
pub enum CutOff {
    /// It continues to serve them; no other domain takes them over.
    #[default]
    Serve,
    /// It stops serving them, and they fail over to other domains.
    FailOver,
}

/// Weights of the goals that placement balances.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Weight of imbalance between upstreams.
    pub imbalance: f64,
    /// Weight of churn, the moving of keys between upstreams.
    pub churn: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            imbalance: 1.0,
            churn: 1.0,
        }
    }
}

/// An upstream: a server that runs the requests of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Entry that it serves.
    pub entry: EntryId,
    /// Address (IP and port).
    #[schemars(with = "AddressSchema")]
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Number of requests that it runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Number of connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it checks grants: it then starts a request only within a grant that it accepted
    /// from its coordinating host.
    #[serde(default)]
    pub checks_grants: bool,
    /// Whether its keys are being moved to other upstreams because it will be removed.
    #[serde(default)]
    pub leaving: bool,
}

const fn default_slots() -> u32 {
    4
}

const fn default_connections() -> u32 {
    130
}
