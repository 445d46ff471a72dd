//! Settings of a load generator.

use std::net::SocketAddr;

use catalogue::KeyLocation;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Requests to one entry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLoad {
    /// First segment of the path.
    pub path: SmolStr,
    /// Location of the key in requests; absent for an entry that is not divided by key.
    pub key: Option<KeyLocation>,
    /// HTTP method.
    pub method: SmolStr,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Share of the requests, relative to those of the other entries.
    pub share: f64,
    /// Length of the body, in bytes.
    pub body_bytes: u32,
}

impl Default for EntryLoad {
    fn default() -> Self {
        Self {
            path: SmolStr::new_static("entry"),
            key: None,
            method: SmolStr::new_static("POST"),
            idempotent: false,
            share: 1.0,
            body_bytes: 100,
        }
    }
}

/// Distribution of requests over keys.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyDistribution {
    /// Number of keys.
    pub count: u64,
    /// Exponent of the Zipf distribution; zero gives a uniform distribution.
    pub exponent: f64,
    /// Interval at which the hot keys change, in milliseconds; zero disables changes.
    pub move_every_ms: u64,
}

impl Default for KeyDistribution {
    fn default() -> Self {
        Self {
            count: 10_000,
            exponent: 0.9,
            move_every_ms: 0,
        }
    }
}

/// Settings of a load generator.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadSettings {
    /// Addresses of entry hosts; each request goes to one at random.
    pub targets: Vec<SocketAddr>,
    /// Requests per second, regardless of whether earlier ones are answered.
    pub rate_per_s: f64,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// Entries that get requests.
    pub entries: Vec<EntryLoad>,
    /// Distribution of requests over keys.
    pub keys: KeyDistribution,
    /// Seed of all random choices.
    pub seed: u64,
    /// Prefix of the request ids; random if absent.
    pub id_prefix: Option<SmolStr>,
    /// Deadline that requests carry, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Timeout of the client, counted from the intended time, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
    /// Maximum number of connections to each target; over HTTP/2 all requests to a target share one.
    pub connections: u32,
    /// Whether to use HTTP/2.
    pub http2: bool,
    /// Whether a request goes to the next target if it can't be sent to the first.
    pub next_target: bool,
    /// Fraction of the requests that are sent a second time under the same id.
    pub repeat_share: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            rate_per_s: 100.0,
            duration_ms: 1_000,
            entries: vec![EntryLoad::default()],
            keys: KeyDistribution::default(),
            seed: 1,
            id_prefix: None,
            deadline_ms: Some(1_000),
            timeout_ms: 5_000,
            connections: 64,
            http2: false,
            next_target: true,
            repeat_share: 0.0,
        }
    }
}
