//! Settings of the membership, and the identity of the host.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, HostId, Incarnation};

/// Settings of a [`Membership`](crate::Membership).
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Interval between heartbeats to a host of the own domain.
    pub heartbeat_interval: Duration,
    /// The same in domains of more than `small_domain` hosts, if it is longer.
    pub heartbeat_interval_in_large: Duration,
    /// Interval between heartbeats to a host of another domain.
    pub remote_heartbeat_interval: Duration,
    /// Time without a heartbeat after which a host counts as unresponsive; at least three times the
    /// interval between heartbeats applies.
    pub heartbeat_timeout: Duration,
    /// Time without a frame from any host of a domain after which the domain counts as
    /// unresponsive.
    pub domain_timeout: Duration,
    /// Minimum gap between two steps after which this host counts as having been paused itself.
    pub min_pause: Duration,
    /// Interval between a table reader's reads of ownership rows, unless `reads_per_s` requires a
    /// longer one.
    pub own_poll_interval: Duration,
    /// Interval between a table reader's reads of the catalogue.
    pub catalogue_poll_interval: Duration,
    /// Rate limit for scheduled reads of ownership rows by the table readers of all domains
    /// together, in reads per second.
    pub reads_per_s: u32,
    /// Minimum time between two reads of one prefix.
    pub min_read_interval: Duration,
    /// Time without a read after which the table counts as unreachable from a domain, and its table
    /// readers request changes from other hosts.
    pub unreachable_after: Duration,
    /// Number of hosts of each domain that read the table.
    pub readers_per_domain: usize,
    /// Number of hosts of its domain that one host relays to; it is the standby source for as many
    /// again.
    pub fan_out: usize,
    /// Number of hosts that watch one host, besides its counterparts.
    pub watchers: usize,
    /// Maximum number of hosts of a domain that all watch each other.
    pub small_domain: usize,
    /// Time that a host waits for each level of hosts below it to request a read lease, before it
    /// requests its own.
    pub lease_request_delay: Duration,
    /// Lag of a host after which its standby source sends it changes.
    pub standby_lag: Duration,
    /// Time after which changes that a host still lacks are sent again.
    pub resend_after: Duration,
    /// Approximate maximum size of the rows in one frame, in bytes.
    pub page_bytes: usize,
    /// Rate limit for transfers of more than one page, in bytes per second.
    pub transfer_bytes_per_s: u32,
    /// Maximum time that a starting host waits for the host records of another host of its domain.
    pub join_timeout: Duration,
    /// Delay after the first failed attempt to reach a host; doubles with each further one up to
    /// `max_connect_delay`.
    pub min_connect_delay: Duration,
    /// Maximum delay between attempts to reach a host.
    pub max_connect_delay: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Time that a difference in host records may persist before all records are requested.
    pub sync_delay: Duration,
    /// Time after which the record of an unresponsive host is removed.
    pub forget_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            heartbeat_interval_in_large: Duration::from_millis(300),
            remote_heartbeat_interval: Duration::from_secs(1),
            heartbeat_timeout: Duration::from_millis(500),
            domain_timeout: Duration::from_secs(3),
            min_pause: Duration::from_millis(300),
            own_poll_interval: Duration::from_millis(150),
            catalogue_poll_interval: Duration::from_secs(1),
            reads_per_s: 150,
            min_read_interval: Duration::from_millis(30),
            unreachable_after: Duration::from_millis(1_200),
            readers_per_domain: 3,
            fan_out: 4,
            watchers: 3,
            small_domain: 12,
            lease_request_delay: Duration::from_millis(30),
            standby_lag: Duration::from_millis(400),
            resend_after: Duration::from_secs(1),
            page_bytes: 64 * 1024,
            transfer_bytes_per_s: 8 * 1024 * 1024,
            join_timeout: Duration::from_secs(1),
            min_connect_delay: Duration::from_millis(100),
            max_connect_delay: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(10),
            sync_delay: Duration::from_secs(3),
            forget_after: Duration::from_hours(1),
        }
    }
}

/// The identity of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Incarnation of the process; higher than that of any earlier process of this host.
    pub incarnation: Incarnation,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
}
