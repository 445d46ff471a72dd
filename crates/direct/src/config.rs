//! The operator's configuration, decoded.

use std::time::Duration;

use ids::{EntryId, Version};
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::warmup::Warmup;

/// A complete, self-consistent configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Increases with each configuration that the operator submits.
    pub version: Version,
    /// All routes, in the order in which the operator lists them.
    pub routes: Vec<Route>,
    /// All entries that routes may refer to.
    pub entries: IndexMap<EntryId, EntrySpec>,
    /// Limits on what callers may send.
    pub caller_limits: CallerLimits,
}

/// Maps a host name and a path prefix to the entries that serve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Unique within a configuration, and stable between configurations.
    pub name: SmolStr,
    /// Host name in lower case, without a port.
    pub host: SmolStr,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether callers send large bodies, which may not take the memory that other requests need.
    pub large_bodies: bool,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Latency objective: an answer within this time has its full value.
    pub objective: Duration,
    /// Priority among the routes of an entry; zero is the most urgent.
    pub priority: u32,
    /// Maximum number of upstreams to which a request is sent.
    pub max_attempts: u32,
    /// Entries that serve the route, with their weights; one entry if the route is not split.
    pub weighted_entries: Vec<WeightedEntry>,
}

impl Route {
    /// Returns whether `entry` serves requests of the route.
    #[must_use]
    pub fn leads_to(&self, entry: &EntryId) -> bool {
        match self.weighted_entries.as_slice() {
            [only] => only.entry == *entry,
            all => all.iter().any(|s| s.entry == *entry && s.weight > 0),
        }
    }
}

/// An entry of a route and its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedEntry {
    /// The entry.
    pub entry: EntryId,
    /// Share of the requests that the entry gets, in proportion to the other weights.
    pub weight: u32,
}

/// Configuration of an entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EntrySpec {
    /// Whether its upstreams own keys.
    pub divided: bool,
    /// Request rate that its upstreams bear while they are cold; none if being cold makes no
    /// difference.
    pub warmup: Option<Warmup>,
}

/// Limits on what callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time until a request's head has arrived.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that are common among HTTP servers, in force until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
