//! Settings of an entry host, as written in its JSON file.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use ids::{DomainId, HostId};
use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Ratio of the lifetime of a read lease to the heartbeat timeout.
const READ_LEASE_PER_HEARTBEAT_TIMEOUT: f64 = 1.2;

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host; unique among all hosts.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Addresses on which the host listens.
    #[serde(default)]
    pub listen: ListenAddresses,
    /// Local address of connections to upstreams; chosen by the system if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream_source: Option<IpAddr>,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Hosts to contact while the platform's list of hosts can't be read.
    #[serde(default)]
    pub seed_peers: Vec<SeedPeer>,
    /// Addresses that this host uses for other hosts instead of the listed ones.
    #[serde(default)]
    pub address_overrides: IndexMap<HostId, PeerAddresses>,
    /// Address of a `StatsD` server; no metrics are sent without one.
    #[serde(default)]
    #[schemars(extend("format" = "ip-and-port"))]
    pub statsd: Option<SocketAddr>,
    /// Lowest level of the log records that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limits for callers.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Times of the ownership protocol; equal on all hosts.
    #[serde(default)]
    pub ownership: OwnershipTimes,
}

impl Settings {
    /// Creates the settings of a host, with defaults for all other settings.
    #[must_use]
    pub fn new(host: HostId, domain: DomainId, platform: PlatformSettings) -> Self {
        Self {
            host,
            domain,
            listen: ListenAddresses::default(),
            upstream_source: None,
            platform,
            seed_peers: Vec::new(),
            address_overrides: IndexMap::new(),
            statsd: None,
            log_level: LogLevel::default(),
            callers: CallerLimits::default(),
            ownership: OwnershipTimes::default(),
        }
    }
}

/// Addresses on which a host listens; port 0 lets the kernel choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ListenAddresses {
    /// For callers' HTTP.
    #[schemars(extend("format" = "ip-and-port"))]
    pub callers: SocketAddr,
    /// For requests forwarded by other hosts.
    #[schemars(extend("format" = "ip-and-port"))]
    pub dispatch: SocketAddr,
    /// For heartbeats and the replication of rows.
    #[schemars(extend("format" = "ip-and-port"))]
    pub control: SocketAddr,
}

impl Default for ListenAddresses {
    fn default() -> Self {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            callers: any_port,
            dispatch: any_port,
            control: any_port,
        }
    }
}

/// Connection to the platform.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address (IP and port).
    #[schemars(extend("format" = "ip-and-port"))]
    pub address: SocketAddr,
    /// Name of the environment variable that holds the host's token.
    #[serde(default = "default_token_env")]
    pub token_env: SmolStr,
    /// Timeout of a request to the platform, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u32,
}

impl PlatformSettings {
    /// Creates the settings of a platform at `address`, with defaults for all other settings.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            token_env: default_token_env(),
            timeout_ms: default_platform_timeout_ms(),
        }
    }
}

impl std::fmt::Debug for PlatformSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformSettings")
            .field("address", &self.address)
            .field("timeout_ms", &self.timeout_ms)
            .finish_non_exhaustive()
    }
}

fn default_token_env() -> SmolStr {
    SmolStr::new_static("MEDLARDYKE_HOST_TOKEN")
}

const fn default_platform_timeout_ms() -> u32 {
    500
}

/// A host that is known before the platform's list of hosts is read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeedPeer {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Addresses of the host.
    pub addresses: PeerAddresses,
}

/// Addresses of another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerAddresses {
    /// For forwarded requests.
    #[schemars(extend("format" = "ip-and-port"))]
    pub dispatch: SocketAddr,
    /// For heartbeats and the replication of rows.
    #[schemars(extend("format" = "ip-and-port"))]
    pub control: SocketAddr,
}

/// Lowest level of the log records that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// All records.
    Debug,
    /// State changes and above.
    #[default]
    Info,
    /// Problems that may need an operator, and above.
    Warning,
    /// Problems that need an operator.
    Error,
}

/// Limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: u32,
    /// Largest request head, in bytes.
    #[schemars(range(min = 8_192, max = 1_048_576))]
    pub head_bytes: u32,
    /// Longest time for a request's head to arrive, in milliseconds.
    #[schemars(range(min = 10, max = 600_000))]
    pub head_timeout_ms: u32,
    /// Time without a request after which a connection is closed, in milliseconds. It should be
    /// longer than the time for which callers and load balancers keep idle connections, as a request
    /// may cross the close.
    #[schemars(range(min = 10, max = 3_600_000))]
    pub idle_timeout_ms: u32,
    /// Longest time for a request's body to arrive, in milliseconds.
    #[schemars(range(min = 10, max = 600_000))]
    pub body_timeout_ms: u32,
    /// Longest time that a leaving host waits for requests in flight, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub drain_timeout_ms: u32,
    /// Minimum time for which a leaving host continues to serve, so that the load balancer notices
    /// that it leaves, in milliseconds.
    #[schemars(range(min = 0, max = 600_000))]
    pub linger_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 16_384,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 120_000,
            body_timeout_ms: 10_000,
            drain_timeout_ms: 30_000,
            linger_ms: 2_000,
        }
    }
}

/// Times of the ownership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipTimes {
    /// Time for which a grant holds, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub grant_ttl_ms: u32,
    /// Time between renewals of a grant, in milliseconds.
    #[schemars(range(min = 10, max = 20_000))]
    pub renew_every_ms: u32,
    /// Time between heartbeats, in milliseconds.
    #[schemars(range(min = 10, max = 20_000))]
    pub heartbeat_every_ms: u32,
    /// Heartbeat timeout, after which a host counts as unresponsive, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub silence_ms: u32,
    /// Time between reads of the table by a table reader, in milliseconds.
    #[schemars(range(min = 10, max = 60_000))]
    pub poll_every_ms: u32,
}

impl Default for OwnershipTimes {
    fn default() -> Self {
        Self {
            grant_ttl_ms: 600,
            renew_every_ms: 150,
            heartbeat_every_ms: 100,
            silence_ms: 500,
            poll_every_ms: 150,
        }
    }
}

impl OwnershipTimes {
    /// Returns the settings of the ownership machine.
    #[must_use]
    pub fn ownership_settings(&self) -> own::OwnershipSettings {
        let heartbeat_timeout = millis(self.silence_ms);
        own::OwnershipSettings {
            grant_ttl: millis(self.grant_ttl_ms),
            renew_every: millis(self.renew_every_ms),
            heartbeat_every: millis(self.heartbeat_every_ms),
            heartbeat_timeout,
            evidence_ttl: heartbeat_timeout.mul_f64(READ_LEASE_PER_HEARTBEAT_TIMEOUT),
            ..own::OwnershipSettings::default()
        }
    }

    /// Returns the settings of membership and replication.
    #[must_use]
    pub fn membership_settings(&self) -> spread::MembershipSettings {
        spread::MembershipSettings {
            heartbeat_interval: millis(self.heartbeat_every_ms),
            heartbeat_timeout: millis(self.silence_ms),
            own_poll_interval: millis(self.poll_every_ms),
            ..spread::MembershipSettings::default()
        }
    }
}

const fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms as u64)
}
