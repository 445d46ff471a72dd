//! Settings of a member, and who it is.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, HostId, Incarnation};

/// Settings of a [`Member`](crate::Member).
#[derive(Debug, Clone)]
pub struct Config {
    /// Time between heartbeats to a host of the own domain.
    pub heartbeat: Duration,
    /// The same in domains of more than `small_domain` hosts, if it is longer.
    pub heartbeat_in_large: Duration,
    /// Time between heartbeats to a host of another domain.
    pub far_heartbeat: Duration,
    /// Time without a heartbeat after which a host counts as silent, or three times that between
    /// heartbeats if that is longer.
    pub silent_after: Duration,
    /// Time without a frame from any host of a domain after which the domain counts as unheard.
    pub domain_silent_after: Duration,
    /// A gap between two steps from which on this host counts as having been paused itself.
    pub pause: Duration,
    /// Time between a relay's reads of ownership rows, unless `reads_per_s` asks for more.
    pub poll_own: Duration,
    /// Time between a relay's reads of the catalogue.
    pub poll_catalogue: Duration,
    /// Reads of ownership rows a second that all relays of all domains make together.
    pub reads_per_s: u32,
    /// Least time between two reads of one prefix.
    pub read_gap: Duration,
    /// Time without a read after which the table counts as unreachable from a domain, and its
    /// relays ask others for changes.
    pub unreachable_after: Duration,
    /// Hosts of each domain that read the table.
    pub relays: usize,
    /// Hosts that one host feeds within its domain; it stands by for as many again.
    pub fan_out: usize,
    /// Hosts that watch one host, besides its pairs.
    pub watchers: usize,
    /// Hosts of a domain up to which all of them watch each other.
    pub small_domain: usize,
    /// Time that a host gives each level of hosts below it to ask for evidence before it asks.
    pub settle: Duration,
    /// Lag after which a host that stands by sends changes.
    pub standby_lag: Duration,
    /// Time after which changes that a host still lacks are sent again.
    pub resend_after: Duration,
    /// Most bytes of rows in one frame.
    pub page_bytes: usize,
    /// Bytes a second that a host gives to transfers of more than one page.
    pub transfer_bytes_per_s: u32,
    /// Longest time that a starting host waits for a host of its domain to tell it of the others.
    pub join_within: Duration,
    /// Time between attempts to reach a host, doubled up to `connect_at_most`.
    pub connect_first: Duration,
    /// Longest time between attempts to reach a host.
    pub connect_at_most: Duration,
    /// Time that a connection without use is kept.
    pub idle: Duration,
    /// Time that a difference in records of hosts may last before all are asked for.
    pub sync_after: Duration,
    /// Time after which a silent host is forgotten.
    pub forget_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            heartbeat_in_large: Duration::from_millis(300),
            far_heartbeat: Duration::from_secs(1),
            silent_after: Duration::from_millis(500),
            domain_silent_after: Duration::from_secs(3),
            pause: Duration::from_millis(300),
            poll_own: Duration::from_millis(150),
            poll_catalogue: Duration::from_secs(1),
            reads_per_s: 150,
            read_gap: Duration::from_millis(30),
            unreachable_after: Duration::from_millis(1_200),
            relays: 3,
            fan_out: 4,
            watchers: 3,
            small_domain: 12,
            settle: Duration::from_millis(30),
            standby_lag: Duration::from_millis(400),
            resend_after: Duration::from_secs(1),
            page_bytes: 64 * 1024,
            transfer_bytes_per_s: 8 * 1024 * 1024,
            join_within: Duration::from_secs(1),
            connect_first: Duration::from_millis(100),
            connect_at_most: Duration::from_secs(5),
            idle: Duration::from_secs(10),
            sync_after: Duration::from_secs(3),
            forget_after: Duration::from_hours(1),
        }
    }
}

/// Who this host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Me {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Run of the process; higher than that of any earlier run of this host.
    pub incarnation: Incarnation,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
}
