//! The declarations as written in JSON files.

use std::net::SocketAddr;

use ids::{DomainId, EntryId, OperatorId, RegionId, UpstreamId};
use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::shape::AddressSchema;

/// All that is declared.
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
    /// Whether an operator declares the domain lost: its hosts and upstreams are surely off,
    /// and others may take its keys.
    #[serde(default)]
    pub lost: bool,
}

/// A catalogue entry: a service whose requests are routed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Operators who may change the entry.
    pub owners: Vec<OperatorId>,
    /// First segment of the path, without slashes, by which requests name the entry.
    pub path: SmolStr,
    /// Whether requests may run more than once.
    pub class: Class,
    /// Whether the entry is divided by key, and how.
    pub sharding: Sharding,
    /// Deadline of a request that brings none, in milliseconds.
    pub deadline_ms: u32,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// What a domain that is cut off does with the entry's keys.
    #[serde(default)]
    pub cut_off: CutOff,
    /// What placement weighs.
    #[serde(default)]
    pub objective: Objective,
    /// Whether an answer must echo the request's id.
    #[serde(default)]
    pub verify_echo: bool,
}

/// Whether requests may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Running a request again does no harm.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
}

/// Whether an entry is divided by key, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, tag = "by")]
pub enum Sharding {
    /// Any upstream of the entry may serve any request.
    None,
    /// Each key has one owner among the entry's upstreams.
    Key {
        /// Where requests carry their key.
        key: KeyLocation,
        /// Number of slices; fixed for the entry's life.
        slices: u32,
    },
}

/// Where requests carry their key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyLocation {
    /// A header of this name.
    Header(SmolStr),
    /// A segment of the path, counted from zero after the entry's own.
    PathSegment(u32),
}

/// Limits of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests a second over all hosts; zero for no limit.
    pub rate_per_s: u32,
    /// Requests under way at one entry host; zero for no limit.
    pub concurrency: u32,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Largest request body, in bytes.
    pub request_bytes: u32,
    /// Largest answer body, in bytes.
    pub answer_bytes: u32,
    /// Retries allowed for each hundred requests, in percent.
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
    /// It goes on serving them; nobody else takes them over.
    #[default]
    Serve,
    /// It gives them up, and they fail over to other domains.
    FailOver,
}

/// What placement weighs against each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Weight of imbalance.
    pub imbalance: f64,
    /// Weight of churn.
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

/// A server that runs requests.
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
    /// Requests that it runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that it takes.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it checks who gives it an order.
    #[serde(default)]
    pub checks_grants: bool,
    /// Whether it is being emptied before it goes.
    #[serde(default)]
    pub leaving: bool,
}

const fn default_slots() -> u32 {
    4
}

const fn default_connections() -> u32 {
    130
}
