//! Settings of all modules.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of the HTTP server for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct GateSettings {
    /// Address for callers; port 0 lets the operating system choose.
    pub listen: SocketAddr,
    /// Maximum number of open connections of callers; further ones are closed at once.
    pub max_connections: u32,
    /// Maximum number of concurrent HTTP/2 streams on one connection.
    pub max_streams: u32,
    /// Largest head of a request, in bytes.
    pub header_bytes: u32,
    /// Timeout for receiving a head, and for the first request of a connection.
    pub header_timeout_ms: u32,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u32,
    /// Timeout for receiving a body.
    pub body_timeout_ms: u32,
    /// Longest time for which a caller may read nothing of its answer.
    pub write_timeout_ms: u32,
    /// Maximum total bytes of request bodies held by this host.
    pub buffered_bytes: u64,
    /// Longest deadline that a request may set.
    pub deadline_cap_ms: u32,
    /// Time reserved within the deadline for the return of the reply; at most a twentieth of the
    /// remaining time is reserved.
    pub reply_reserve_ms: u32,
    /// Longest time for requests in flight to finish when the host stops.
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
            idle_timeout_ms: 60_000,
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

/// Settings of connections to the dispatch threads of other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Number of connections to each host.
    pub connections: u32,
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u32,
    /// Delay after a failed connection; doubles with each further failure.
    pub backoff_ms: u32,
    /// Longest delay after failed connections.
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

/// Settings of the dispatch thread.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchSettings {
    /// Address for other hosts' requests; port 0 lets the operating system choose.
    pub listen: SocketAddr,
    /// Capacity of the channel to the dispatch thread, in requests.
    pub ring: u32,
    /// Requests without a reply on one connection of another host; more are refused.
    pub outstanding: u32,
    /// Time before the end of a lease from which no request is written under it any more.
    pub lease_margin_ms: u32,
    /// Longest time for calls in flight to finish when the dispatch thread stops.
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
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u32,
    /// Time after which an idle connection is closed.
    pub idle_ms: u32,
    /// Largest head of an answer, in bytes.
    pub header_bytes: u32,
    /// Local address of connections; chosen by the system if there is none.
    pub source: Option<IpAddr>,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            source: None,
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
