//! What a member is told, and what it wants done.

use std::net::SocketAddr;

use bytes::Bytes;
use ids::{HostId, Incarnation, Revision, Timestamp};
use platform::{Changes, ListedHost, Row};
use wire::control::Frame;

use crate::Prefix;

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
    /// The replica or the membership changed; given once a step, before evidence that counts on
    /// it. [`Member::take_changes`](crate::Member::take_changes) gives the rows.
    Changed(Changed),
    /// There is fresher evidence of ownership.
    Evidence(Evidence),
    /// Whether the table answers, as far as the relays of this host's domain can tell; given when
    /// that changes. Until the first time it counts as answering.
    TableReachable(bool),
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
