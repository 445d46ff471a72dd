//! Events that the membership handles, and actions that it returns.

use std::net::SocketAddr;

use bytes::Bytes;
use ids::{HostId, Incarnation, Revision, Timestamp};
use platform::{Changes, ListedHost, Row};
use wire::control::Frame;

use crate::Prefix;

/// The right to act on ownership that follows from a recent read of the table.
///
/// Every ownership row committed before `as_of`, by this host's clock, is in the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLease {
    /// Reading of this host's clock.
    pub as_of: Timestamp,
    /// Revision of the table to which the replica is complete.
    pub revision: Revision,
}

/// An event that the membership handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// A control connection to or from a host is open, and that host's `Hello` was its first frame.
    /// A second connection to the same host replaces the first.
    Connected {
        /// Host at the other end.
        host: HostId,
    },
    /// The control connection with a host was closed, or none could be opened.
    Disconnected {
        /// Host at the other end.
        host: HostId,
    },
    /// A frame arrived; also used for the `Hello`.
    FrameReceived {
        /// Host that sent it.
        from: HostId,
        /// The frame.
        frame: Frame,
    },
    /// The platform's list of hosts was read.
    HostsListed(Vec<ListedHost>),
    /// A read requested by [`Action::ReadTable`] ended.
    TableRead {
        /// Prefix that was read.
        prefix: Prefix,
        /// Revision after which changes were requested.
        since: Revision,
        /// Reading of this host's clock before the read was sent.
        began: Timestamp,
        /// The changes, or `None` if the read failed.
        changes: Option<Changes>,
    },
    /// Rows of a transaction that this host committed, or that a conflict returned to it.
    RowsCommitted(Vec<Row>),
    /// The counterparts of this host: the other hosts that are coordinating host or standby of the
    /// same upstreams.
    Counterparts(Vec<HostId>),
    /// A frame could not be sent, as there is no connection with the host.
    ConnectionNeeded {
        /// Receiver of the frame.
        host: HostId,
    },
    /// This host is about to leave.
    Leaving,
}

/// What changed in the replica or the membership.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChangeSummary {
    /// Whether rows of the catalogue changed.
    pub catalogue: bool,
    /// Whether ownership rows changed.
    pub own: bool,
    /// Whether host records changed.
    pub hosts: bool,
}

/// An action for the host to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a frame on the control connection with a host; drop the frame if there is none.
    Send {
        /// Receiver.
        to: HostId,
        /// The frame.
        frame: Frame,
    },
    /// Open a control connection; answered by [`Event::Connected`] or [`Event::Disconnected`].
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
    /// Read changes below a prefix; answered by [`Event::TableRead`]. At most one such read of each
    /// prefix is in progress.
    ReadTable {
        /// Prefix to read.
        prefix: Prefix,
        /// Revision after which to list changes.
        since: Revision,
    },
    /// The replica or the membership changed; returned once per step, before a read lease that
    /// depends on it. [`Membership::take_changed_rows`](crate::Membership::take_changed_rows)
    /// returns the rows.
    Changed(ChangeSummary),
    /// There is a fresher read lease.
    ReadLease(ReadLease),
    /// Whether the table can be read, as far as the table readers of this host's domain report;
    /// returned when that changes. Until the first time it counts as readable.
    TableReachable(bool),
    /// A host answered a heartbeat that this host sent at `echo_of`.
    PeerAlive {
        /// The host that answered.
        host: HostId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Reading of this host's clock when it sent the heartbeat.
        echo_of: Timestamp,
    },
    /// A host that counted as alive is now unresponsive.
    PeerUnresponsive {
        /// The unresponsive host.
        host: HostId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A message for the ownership code arrived from a host.
    Own {
        /// Host that sent it.
        from: HostId,
        /// The encoded message.
        message: Bytes,
    },
}
