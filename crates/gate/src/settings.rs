//! Settings of all parts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of the HTTP server towards callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct GateSettings {
    /// Address for callers; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Connections of callers at the same time; more are closed at once.
    pub max_connections: u32,
    /// HTTP/2 streams at the same time on one connection.
    pub max_streams: u32,
    /// Largest head of a request, in bytes.
    pub header_bytes: u32,
    /// Longest time for a head to arrive; an idle connection is closed after it as well.
    pub header_timeout_ms: u32,
    /// Longest time for a body to arrive.
    pub body_timeout_ms: u32,
    /// Longest time for which a caller may take nothing of its answer.
    pub write_timeout_ms: u32,
    /// Bytes of request bodies that this host holds at the same time.
    pub buffered_bytes: u64,
    /// Longest deadline that a request may ask for.
    pub deadline_cap_ms: u32,
    /// Most of the deadline that is kept back for the way of the reply; it is a twentieth at most.
    pub reply_reserve_ms: u32,
    /// Longest time that requests under way get to finish when the host stops.
    pub stop_ms: u32,
    /// Connections to other hosts.
    pub peer: PeerSettings,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            listen: any_port(),
            max_connections: 4_096,
            max_streams: 256,
            header_bytes: 16 << 10,
            header_timeout_ms: 60_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 10_000,
            buffered_bytes: 64 << 20,
            deadline_cap_ms: 60_000,
            reply_reserve_ms: 10,
            stop_ms: 60_000,
            peer: PeerSettings::default(),
        }
    }
}

/// Settings of connections to the dispatch duty of other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Connections to each host.
    pub connections: u32,
    /// Longest time for a connection to open.
    pub connect_timeout_ms: u32,
    /// Pause after a connection failed; doubles with each further failure.
    pub backoff_ms: u32,
    /// Longest pause.
    pub backoff_max_ms: u32,
    /// Requests without a reply on one connection; more are refused.
    pub outstanding: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            connections: 2,
            connect_timeout_ms: 500,
            backoff_ms: 20,
            backoff_max_ms: 1_000,
            outstanding: 4_096,
        }
    }
}

/// Settings of the dispatch duty.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    /// Address for other hosts' requests; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Requests that may wait in the ring to the duty.
    pub ring: u32,
    /// Requests without a reply on one connection of another host; more are refused.
    pub outstanding: u32,
    /// Time before the end of a lease from which on nothing is written under it.
    pub lease_margin_ms: u32,
    /// Longest time that calls under way get to finish when the duty stops.
    pub stop_ms: u32,
    /// Connections to upstreams.
    pub upstream: UpstreamSettings,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            listen: any_port(),
            ring: 8_192,
            outstanding: 8_192,
            lease_margin_ms: 20,
            stop_ms: 60_000,
            upstream: UpstreamSettings::default(),
        }
    }
}

/// Settings of connections to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Longest time for a connection to open.
    pub connect_timeout_ms: u32,
    /// Time after which a connection that is not used is closed.
    pub idle_ms: u32,
    /// Largest head of an answer, in bytes.
    pub header_bytes: u32,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            idle_ms: 30_000,
            header_bytes: 32 << 10,
        }
    }
}

/// Converts a setting in milliseconds.
#[must_use]
pub const fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms as u64)
}

const fn any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}
