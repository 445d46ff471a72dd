//! Heartbeats and the spreading of table rows between hosts.
//!
//! Each control connection carries [`Frame`]s both ways. The side that opened the connection
//! sends a [`Hello`] first, and the other side answers with its own.
//!
//! Times named `sent_us`, `echo_us` and `as_of_us` are readings of the clock of the host that
//! sent the heartbeat; nobody else may compare them with anything.

use bytes::Bytes;
use prost::Message;

use crate::own;

/// One host as others know it; the record with the higher `(incarnation, beat, silent)` wins.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostRecord {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Run of the process; zero if nobody has heard from the host yet.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the heartbeat of that run at which this record changed last.
    #[prost(uint64, tag = "4")]
    pub beat: u64,
    /// Whether those who watch the host have heard nothing since that heartbeat.
    #[prost(bool, tag = "5")]
    pub silent: bool,
    /// Whether the host said that it is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Address for control connections, as `ip:port`.
    #[prost(string, tag = "7")]
    pub control: String,
    /// Address for dispatch connections, as `ip:port`.
    #[prost(string, tag = "8")]
    pub dispatch: String,
}

/// Introduces the sender; the first frame each way.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub host: Option<HostRecord>,
}

/// The table revisions to which a replica is complete, one for each prefix.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Watermarks {
    /// Revision for `catalogue/`.
    #[prost(uint64, tag = "1")]
    pub catalogue: u64,
    /// Revision for `own/`.
    #[prost(uint64, tag = "2")]
    pub own: u64,
}

/// What the sender of a heartbeat asks of the receiver.
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
pub enum Feed {
    /// Nothing.
    None = 0,
    /// Changes and evidence as soon as there are any.
    Full = 1,
    /// Evidence, but changes only if the sender falls behind.
    Standby = 2,
}

/// Says that the sender is up.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Number of the heartbeat in this run of the process.
    #[prost(uint64, tag = "1")]
    pub beat: u64,
    /// Reading of the sender's clock.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// What the sender's replica holds.
    #[prost(message, optional, tag = "3")]
    pub holds: Option<Watermarks>,
    /// What the sender asks for.
    #[prost(enumeration = "Feed", tag = "4")]
    pub feed: i32,
    /// Hash over the records of all hosts that the sender knows.
    #[prost(fixed32, tag = "5")]
    pub members_hash: u32,
    /// Whether the sender asks for the records of all hosts.
    #[prost(bool, tag = "6")]
    pub sync: bool,
    /// Whether the sender could not apply a patch and asks for whole rows.
    #[prost(bool, tag = "7")]
    pub whole: bool,
    /// Whether the reply need not say more than that it is one.
    #[prost(bool, tag = "8")]
    pub brief: bool,
}

/// Answers a [`Heartbeat`] at once.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeartbeatReply {
    /// The heartbeat's `sent_us`.
    #[prost(uint64, tag = "1")]
    pub echo_us: u64,
    /// What the answering host's replica holds; like all that follows absent from a brief reply.
    #[prost(message, optional, tag = "2")]
    pub holds: Option<Watermarks>,
    /// How old the answering host's knowledge of ownership is, in milliseconds: how long ago
    /// some host began to read what it holds; absent if it never was told.
    #[prost(uint32, optional, tag = "3")]
    pub own_age_ms: Option<u32>,
    /// The same for the catalogue.
    #[prost(uint32, optional, tag = "4")]
    pub catalogue_age_ms: Option<u32>,
    /// How long ago a host of the answering host's domain last read the table, in milliseconds;
    /// absent if none did.
    #[prost(uint32, optional, tag = "5")]
    pub reach_age_ms: Option<u32>,
    /// Hash over the records of all hosts that the answering host knows.
    #[prost(fixed32, tag = "6")]
    pub members_hash: u32,
    /// Names of domains of which the answering host's domain hears nobody.
    #[prost(string, repeated, tag = "7")]
    pub unheard_domains: Vec<String>,
}

/// Says how fresh the receiver's knowledge of ownership is.
///
/// Every ownership row committed before the receiver's clock showed `as_of_us` has a revision
/// of at most `revision`, and the receiver has it once its replica is complete to `revision`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Evidence {
    /// Reading of the receiver's clock, taken from one of its heartbeats.
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
    /// Revision, as the distance from the transfer's `since`.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value, absent if the row was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

/// How one state of an upstream's ownership row differs from an earlier one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Patch {
    /// Key, without the prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the later state, as the distance from the transfer's `since`.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Revision of the earlier state, which the receiver must hold, as the distance back from
    /// the transfer's `since`.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// Epoch, hosts and whether the upstream is open, if any of them changed.
    #[prost(message, optional, tag = "4")]
    pub head: Option<own::Row>,
    /// Slices that left, rising.
    #[prost(uint64, repeated, tag = "5")]
    pub gone: Vec<u64>,
    /// Slices that are ranges and that came or have another generation, rising.
    #[prost(uint64, repeated, tag = "6")]
    pub ranges: Vec<u64>,
    /// Slices that are hot keys and that came or have another generation, rising; all of them
    /// come after `ranges`.
    #[prost(fixed64, repeated, tag = "7")]
    pub hot: Vec<u64>,
    /// Generations of `ranges` and then of `hot`.
    #[prost(uint64, repeated, tag = "8")]
    pub generations: Vec<u64>,
    /// Hot keys that were carved out.
    #[prost(message, repeated, tag = "9")]
    pub carved: Vec<own::Carved>,
    /// Hot slices of keys that were folded back, rising.
    #[prost(fixed64, repeated, tag = "10")]
    pub folded: Vec<u64>,
    /// Who wrote the later state.
    #[prost(oneof = "Writer", tags = "11, 12")]
    pub writer: Option<Writer>,
    /// Number of that write.
    #[prost(uint64, tag = "13")]
    pub writer_seq: u64,
}

/// Who wrote a row.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Writer {
    /// The later state's coordinating host (true) or its deputy (false).
    #[prost(bool, tag = "11")]
    Coordinator(bool),
    /// Some other run of a host.
    #[prost(message, tag = "12")]
    Run(Run),
}

/// A run of a host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Run {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Run of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// One page of what changed below one prefix.
///
/// The pages of one transfer have the same `transfer`, `since` and `up_to`, and numbers that rise
/// from zero. A receiver that was complete to `since` and takes all pages is complete to `up_to`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// Which prefix: 1 for `catalogue/`, 2 for `own/`.
    #[prost(uint32, tag = "1")]
    pub prefix: u32,
    /// Revision after which changes are listed.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Revision to which the transfer is complete, as the distance from `since`.
    #[prost(uint64, tag = "3")]
    pub up_to: u64,
    /// Number of the page.
    #[prost(uint32, tag = "4")]
    pub page: u32,
    /// Whether more pages follow.
    #[prost(bool, tag = "5")]
    pub more: bool,
    /// Rows.
    #[prost(message, repeated, tag = "6")]
    pub rows: Vec<Row>,
    /// Changes of ownership rows.
    #[prost(message, repeated, tag = "7")]
    pub patches: Vec<Patch>,
    /// Number of the transfer on this connection; zero if it has one page only.
    #[prost(uint64, tag = "8")]
    pub transfer: u64,
}

/// Tells that a row of some revision exists, so that a reader of the table may look at once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Hint {
    /// Which prefix: 1 for `catalogue/`, 2 for `own/`.
    #[prost(uint32, tag = "1")]
    pub prefix: u32,
    /// Revision of the row.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// What a host passes on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Push {
    /// Changes.
    #[prost(message, repeated, tag = "1")]
    pub deltas: Vec<Delta>,
    /// Evidence; holds once the deltas of the same frame and of earlier ones are taken.
    #[prost(message, optional, tag = "2")]
    pub evidence: Option<Evidence>,
    /// Records of hosts that changed.
    #[prost(message, repeated, tag = "3")]
    pub hosts: Vec<HostRecord>,
    /// Whether `hosts` has a record of each host that the sender knows.
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
    /// Work, in thousandths of a busy slot.
    #[prost(uint32, tag = "2")]
    pub milli_slots: u32,
}

/// The loads of the upstreams that the sender coordinates, for placement.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Loads {
    /// Upstreams.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<UpstreamLoad>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Body {
    /// The first frame each way.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat.
    #[prost(message, tag = "3")]
    Reply(HeartbeatReply),
    /// Changes, evidence and records of hosts.
    #[prost(message, tag = "4")]
    Push(Push),
    /// A message of the ownership code ([`crate::own`]), encoded.
    #[prost(bytes = "bytes", tag = "5")]
    Own(Bytes),
    /// Loads of upstreams.
    #[prost(message, tag = "6")]
    Loads(Loads),
}

/// The frame of a control connection.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Frame {
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<Body>,
}
