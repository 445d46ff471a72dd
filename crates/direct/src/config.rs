//! What the operator's configuration says.

use std::time::Duration;

use ids::{EntryId, Version};
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::warmup::Warmup;

/// A whole configuration, valid in itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each configuration that the operator submits.
    pub version: Version,
    /// All routes, in the operator's order.
    pub routes: Vec<Route>,
    /// All entries that routes may name.
    pub entries: IndexMap<EntryId, EntrySpec>,
    /// What callers may send.
    pub bounds: CallerBounds,
}

/// From a host name and a path prefix to the entries that serve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, unique within a configuration and stable between them.
    pub name: SmolStr,
    /// Host name in lower case, without a port.
    pub host: SmolStr,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether callers send large bodies, which may not take the memory that other requests need.
    pub large_bodies: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective: an answer within this time has its full worth.
    pub objective: Duration,
    /// Rank among routes of one entry; zero is the most urgent.
    pub priority: u32,
    /// Most upstreams to which one request is sent.
    pub max_attempts: u32,
    /// Entries that serve it, with their weights; one entry for a plain route.
    pub shares: Vec<Share>,
}

/// An entry's part of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The entry.
    pub entry: EntryId,
    /// Its part of the requests, in proportion to the other weights.
    pub weight: u32,
}

/// What a configuration says of an entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EntrySpec {
    /// Whether its upstreams own keys.
    pub divided: bool,
    /// What its upstreams bear while they are cold; none if they bear as much as ever.
    pub warmup: Option<Warmup>,
}

/// Limits on what callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    /// The usual bounds of HTTP servers, in force until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
