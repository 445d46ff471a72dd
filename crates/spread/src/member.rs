//! The state machine of one host: whom it hears, whom it feeds, when it reads the table.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ids::{DomainId, HostId, Incarnation, Revision, Timestamp};
use platform::{Changes, ListedHost, Row};
use wire::control::Frame;

use crate::{Prefix, Replica};

/// Settings of a [`Member`].
#[derive(Debug, Clone)]
pub struct Config {
    /// Time between heartbeats to each peer.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a host counts as silent.
    pub silent_after: Duration,
    /// Time between a relay's reads of ownership rows.
    pub poll_own: Duration,
    /// Time between a relay's reads of the catalogue.
    pub poll_catalogue: Duration,
    /// Hosts of each domain that read the table.
    pub relays: usize,
    /// Hosts that one host feeds within its domain.
    pub fan_out: usize,
    /// Hosts that watch one host, besides its pairs.
    pub watchers: usize,
    /// Hosts of a domain up to which all of them watch each other.
    pub small_domain: usize,
    /// Most bytes of rows in one frame.
    pub page_bytes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(250),
            silent_after: Duration::from_millis(800),
            poll_own: Duration::from_millis(250),
            poll_catalogue: Duration::from_secs(1),
            relays: 3,
            fan_out: 8,
            watchers: 3,
            small_domain: 12,
            page_bytes: 64 * 1024,
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

/// What this host knows of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Run of the process; zero if the host is known from the platform's list alone.
    pub incarnation: Incarnation,
    /// Address for control connections.
    pub control: SocketAddr,
    /// Address for dispatch connections.
    pub dispatch: SocketAddr,
    /// Whether the host counts as alive: heard by this host or by one that watches it, and not
    /// reported silent since.
    pub alive: bool,
    /// Whether the host said that it is leaving.
    pub leaving: bool,
    /// When this host itself last heard from it, if ever.
    pub heard: Option<Timestamp>,
}

/// How fresh this host's knowledge of ownership is.
///
/// Every ownership row committed before `as_of` (this host's clock) is in the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Reading of this host's clock.
    pub as_of: Timestamp,
    /// Revision of the table that the replica is complete to.
    pub revision: Revision,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time went by; expected every 50 ms or so.
    Tick,
    /// A control connection to or from a host is up, and that host's `Hello` was its first
    /// frame. A second connection to the same host replaces the first.
    Connected {
        /// Host at the other end.
        host: HostId,
    },
    /// The control connection with a host ended, or none could be opened.
    Lost {
        /// Host at the other end.
        host: HostId,
    },
    /// A frame came; also given for the `Hello`.
    Heard {
        /// Host that sent it.
        from: HostId,
        /// The frame.
        frame: Frame,
    },
    /// The platform's list of hosts was read.
    Listed(Vec<ListedHost>),
    /// A read asked for by [`Action::ReadTable`] ended.
    TableRead {
        /// Prefix that was read.
        prefix: Prefix,
        /// Revision after which changes were asked for.
        since: Revision,
        /// Reading of this host's clock before the read was sent.
        began: Timestamp,
        /// The changes, or nothing if the read failed.
        changes: Option<Changes>,
    },
    /// This host committed a transaction itself, or was given rows by a conflict.
    Rows(Vec<Row>),
    /// The hosts that coordinate or stand by with this one for the same upstreams.
    Pairs(Vec<HostId>),
    /// This host is about to leave.
    Leaving,
}

/// What changed in the replica or the membership.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changed {
    /// Rows of the catalogue.
    pub catalogue: bool,
    /// Ownership rows.
    pub own: bool,
    /// Records of hosts.
    pub hosts: bool,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a frame on the control connection with a host; drop it if there is none.
    Send {
        /// Receiver.
        to: HostId,
        /// The frame.
        frame: Frame,
    },
    /// Open a control connection; answered by [`Event::Connected`] or [`Event::Lost`].
    Connect {
        /// Host to reach.
        host: HostId,
        /// Its address for control connections.
        addr: SocketAddr,
    },
    /// Close the control connection with a host.
    Disconnect {
        /// Host at the other end.
        host: HostId,
    },
    /// Read changes below a prefix; answered by [`Event::TableRead`]. At most one such read of
    /// each prefix is under way.
    ReadTable {
        /// Prefix to read.
        prefix: Prefix,
        /// Revision after which to list changes.
        since: Revision,
    },
    /// The replica or the membership changed; given once a step, after all else.
    Changed(Changed),
    /// There is fresher evidence of ownership.
    Evidence(Evidence),
    /// A host answered a heartbeat that this host sent at `echo_of`.
    PeerAlive {
        /// Host.
        host: HostId,
        /// Run of its process.
        incarnation: Incarnation,
        /// Reading of this host's clock when it sent the heartbeat.
        echo_of: Timestamp,
    },
    /// A host that counted as alive is now silent.
    PeerSilent {
        /// Host.
        host: HostId,
        /// Run of its process.
        incarnation: Incarnation,
    },
    /// A message for the ownership code came from a host.
    Own {
        /// Host that sent it.
        from: HostId,
        /// The encoded message.
        message: Bytes,
    },
}

/// The membership and spreading state of one host.
#[derive(Debug)]
pub struct Member {
    cfg: Config,
    me: Me,
    replica: Replica,
}

impl Member {
    /// Creates the state of a host that has just started at `now`.
    #[must_use]
    pub fn new(cfg: Config, me: Me, _now: Timestamp) -> Self {
        Self {
            cfg,
            me,
            replica: Replica::new(),
        }
    }

    /// Takes `event` at `now` and pushes what is to be done.
    pub fn step(&mut self, _now: Timestamp, _event: Event, _actions: &mut Vec<Action>) {}

    /// Returns the replica.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the settings.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns who this host is.
    #[must_use]
    pub const fn me(&self) -> &Me {
        &self.me
    }

    /// Returns the first frame to send on each new control connection.
    #[must_use]
    pub fn hello(&self) -> Frame {
        Frame::default()
    }

    /// Iterates over all known hosts but this one, by name.
    pub fn hosts(&self) -> impl Iterator<Item = HostView> {
        std::iter::empty()
    }

    /// Returns what is known of a host.
    #[must_use]
    pub fn host(&self, _host: &HostId) -> Option<HostView> {
        None
    }

    /// Iterates over the live hosts of a domain, this one included, by name.
    pub fn alive_in(&self, _domain: &DomainId) -> impl Iterator<Item = HostView> {
        std::iter::empty()
    }

    /// Returns the freshest evidence of ownership, if there was any.
    #[must_use]
    pub fn evidence(&self) -> Option<Evidence> {
        None
    }

    /// Returns how long ago the table was last read for what this host holds of a prefix, as far
    /// as it knows. A host that was started in an outage says by this how old its knowledge is.
    #[must_use]
    pub fn age(&self, _now: Timestamp, _prefix: Prefix) -> Option<Duration> {
        None
    }

    /// Tells whether this host reads the table for its domain.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        false
    }
}
