//! Heartbeats between hosts and the relaying of table rows.
//!
//! Each control connection carries [`Frame`]s both ways. The side that opened the connection
//! sends a [`Hello`] first, and the other side answers with its own.
//!
//! Times named `sent_us`, `echo_us` and `as_of_us` are readings of the clock of the host that
//! sent the heartbeat; no other host may compare them with anything.

use bytes::Bytes;
use prost::Message;

use crate::own;

/// What the other hosts know of a host; of two records, the one with the higher
/// `(incarnation, beat, unresponsive)` replaces the other.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostRecord {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Incarnation of the process; zero if no host has received a message from it yet.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the heartbeat of that incarnation at which this record last changed.
    #[prost(uint64, tag = "4")]
    pub beat: u64,
    /// Whether the hosts that monitor this host have received nothing since that heartbeat.
    #[prost(bool, tag = "5")]
    pub unresponsive: bool,
    /// Whether the host announced that it is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Address for control connections, as `ip:port`.
    #[prost(string, tag = "7")]
    pub control: String,
    /// Address for dispatch connections, as `ip:port`.
    #[prost(string, tag = "8")]
    pub dispatch: String,
}

/// Identifies the sender; the first frame in each direction.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub host: Option<HostRecord>,
}

/// The table revisions up to which a replica is complete, one for each prefix.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Watermarks {
    /// Revision for `catalogue/`.
    #[prost(uint64, tag = "1")]
    pub catalogue: u64,
    /// Revision for `own/`.
    #[prost(uint64, tag = "2")]
    pub own: u64,
}

/// What the receiver of a heartbeat should relay to its sender.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    prost::Enumeration
)]
#[repr(i32)]
pub enum RelayMode {
    /// Nothing.
    None = 0,
    /// Changes and read leases as soon as there are any.
    Full = 1,
    /// Read leases, and changes only if the sender falls behind.
    Standby = 2,
}

/// Shows that the sender is up.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Number of the heartbeat in this incarnation of the process.
    #[prost(uint64, tag = "1")]
    pub beat: u64,
    /// Reading of the sender's clock.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// Revisions up to which the sender's replica is complete.
    #[prost(message, optional, tag = "3")]
    pub holds: Option<Watermarks>,
    /// What the receiver should relay to the sender.
    #[prost(enumeration = "RelayMode", tag = "4")]
    pub relay_mode: i32,
    /// Hash of the records of all hosts that the sender knows.
    #[prost(fixed32, tag = "5")]
    pub members_hash: u32,
    /// Whether the sender requests the records of all hosts.
    #[prost(bool, tag = "6")]
    pub sync: bool,
    /// Whether the sender could not apply a patch and requests whole rows.
    #[prost(bool, tag = "7")]
    pub whole: bool,
    /// Whether the reply may leave out everything but `echo_us`.
    #[prost(bool, tag = "8")]
    pub brief: bool,
}

/// The immediate reply to a [`Heartbeat`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeartbeatReply {
    /// The heartbeat's `sent_us`.
    #[prost(uint64, tag = "1")]
    pub echo_us: u64,
    /// Revisions up to which the replying host's replica is complete. This field and all that
    /// follow are absent from a brief reply.
    #[prost(message, optional, tag = "2")]
    pub holds: Option<Watermarks>,
    /// Age of the replying host's knowledge of ownership, in milliseconds: the time since the
    /// read of the table that produced it began, on whichever host; absent if it has none.
    #[prost(uint32, optional, tag = "3")]
    pub own_age_ms: Option<u32>,
    /// Age of its knowledge of the catalogue, likewise.
    #[prost(uint32, optional, tag = "4")]
    pub catalogue_age_ms: Option<u32>,
    /// Time since a host of the replying host's domain last read the table, in milliseconds;
    /// absent if none has.
    #[prost(uint32, optional, tag = "5")]
    pub table_reached_age_ms: Option<u32>,
    /// Hash of the records of all hosts that the replying host knows.
    #[prost(fixed32, tag = "6")]
    pub members_hash: u32,
    /// Names of domains from whose hosts the replying host's domain receives nothing.
    #[prost(string, repeated, tag = "7")]
    pub unresponsive_domains: Vec<String>,
}

/// States how fresh the receiver's knowledge of ownership is.
///
/// Every ownership row committed before the receiver's clock showed `as_of_us` has a revision
/// of at most `revision`, and the receiver has it once its replica is complete to `revision`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ReadLease {
    /// Reading of the receiver's clock, from one of its heartbeats.
    #[prost(uint64, tag = "1")]
    pub as_of_us: u64,
    /// Revision of the table at a read that began after that heartbeat was received.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A whole row.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    /// Key, without the prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision, as the difference from the transfer's `since`.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value, absent if the row was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

/// The difference between two states of an upstream's ownership row.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Patch {
    /// Key, without the prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the later state, as the difference from the transfer's `since`.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Revision of the earlier state, which the receiver must hold, as the amount by which it is
    /// below the transfer's `since`.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// The row without its slices, carved keys and writer, if any of the rest changed, such as the
    /// epoch, the hosts or whether the upstream is open.
    #[prost(message, optional, tag = "4")]
    pub head: Option<own::OwnershipRow>,
    /// Slices that were removed, in ascending order.
    #[prost(uint64, repeated, tag = "5")]
    pub removed: Vec<u64>,
    /// Range slices that were added or have another generation, in ascending order.
    #[prost(uint64, repeated, tag = "6")]
    pub ranges: Vec<u64>,
    /// Slices of hot keys that were added or have another generation, in ascending order; they
    /// have higher numbers than all `ranges`.
    #[prost(fixed64, repeated, tag = "7")]
    pub hot: Vec<u64>,
    /// Generations of `ranges`, followed by those of `hot`.
    #[prost(uint64, repeated, tag = "8")]
    pub generations: Vec<u64>,
    /// Hot keys that were carved out.
    #[prost(message, repeated, tag = "9")]
    pub carved: Vec<own::CarvedKey>,
    /// Hot slices of keys that were folded back, in ascending order.
    #[prost(fixed64, repeated, tag = "10")]
    pub folded: Vec<u64>,
    /// Host that wrote the later state.
    #[prost(oneof = "RowWriter", tags = "11, 12")]
    pub writer: Option<RowWriter>,
    /// Number of that write.
    #[prost(uint64, tag = "13")]
    pub writer_seq: u64,
}

/// The host that wrote a row.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum RowWriter {
    /// The later state's coordinating host (true) or its standby (false).
    #[prost(bool, tag = "11")]
    Coordinator(bool),
    /// Another incarnation of a host.
    #[prost(message, tag = "12")]
    Incarnation(HostIncarnation),
}

/// An incarnation of a host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostIncarnation {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// One page of the changes under one prefix.
///
/// The pages of one transfer have the same `transfer`, `since` and `up_to`, and are numbered from
/// zero. A receiver that was complete up to `since` and applies all pages is complete up to
/// `up_to`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// Prefix: 1 for `catalogue/`, 2 for `own/`.
    #[prost(uint32, tag = "1")]
    pub prefix: u32,
    /// Revision after which the transfer contains changes.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Revision up to which the transfer is complete, as the difference from `since`.
    #[prost(uint64, tag = "3")]
    pub up_to: u64,
    /// Number of the page.
    #[prost(uint32, tag = "4")]
    pub page: u32,
    /// Whether more pages follow.
    #[prost(bool, tag = "5")]
    pub more: bool,
    /// Whole rows.
    #[prost(message, repeated, tag = "6")]
    pub rows: Vec<Row>,
    /// Changes to ownership rows.
    #[prost(message, repeated, tag = "7")]
    pub patches: Vec<Patch>,
    /// Number of the transfer on this connection; zero if it has one page only.
    #[prost(uint64, tag = "8")]
    pub transfer: u64,
}

/// Announces that a row with some revision exists, so that a host that reads the table can do so
/// immediately.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Hint {
    /// Prefix: 1 for `catalogue/`, 2 for `own/`.
    #[prost(uint32, tag = "1")]
    pub prefix: u32,
    /// Revision of the row.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Changes, read leases and host records that a host relays.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Push {
    /// Changes.
    #[prost(message, repeated, tag = "1")]
    pub deltas: Vec<Delta>,
    /// Read lease; valid once the deltas of this frame and of earlier frames are applied.
    #[prost(message, optional, tag = "2")]
    pub read_lease: Option<ReadLease>,
    /// Host records that changed.
    #[prost(message, repeated, tag = "3")]
    pub hosts: Vec<HostRecord>,
    /// Whether `hosts` contains a record of every host that the sender knows.
    #[prost(bool, tag = "4")]
    pub all_hosts: bool,
    /// Rows that the sender knows to exist.
    #[prost(message, repeated, tag = "5")]
    pub hints: Vec<Hint>,
}

/// The load of one upstream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UpstreamLoad {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Load, in thousandths of a busy slot.
    #[prost(uint32, tag = "2")]
    pub milli_slots: u32,
}

/// The loads of the upstreams that the sender coordinates, for placement.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Loads {
    /// Load of each upstream.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<UpstreamLoad>,
}

/// The message in a frame.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Body {
    /// The first frame in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// The reply to a heartbeat.
    #[prost(message, tag = "3")]
    Reply(HeartbeatReply),
    /// Changes, read leases and host records.
    #[prost(message, tag = "4")]
    Push(Push),
    /// A message of the ownership code ([`crate::own`]), encoded.
    #[prost(bytes = "bytes", tag = "5")]
    Own(Bytes),
    /// Loads of upstreams.
    #[prost(message, tag = "6")]
    Loads(Loads),
}

/// A frame of a control connection.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Frame {
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<Body>,
}
