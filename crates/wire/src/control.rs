//! Heartbeats and the spreading of table rows between hosts.
//!
//! Each control connection carries [`Frame`]s both ways. The side that opened the connection
//! sends a [`Hello`] first, and the other side answers with its own.
//!
//! Times named `sent_us`, `echo_us` and `as_of_us` are readings of the clock of the host that
//! sent the heartbeat; nobody else may compare them with anything.

use bytes::Bytes;
use prost::Message;

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
    /// Whether the sender asks to be fed with changes and evidence.
    #[prost(bool, tag = "4")]
    pub feed: bool,
    /// Hash over the records of all hosts that the sender knows.
    #[prost(fixed32, tag = "5")]
    pub members_hash: u32,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// Answers a [`Heartbeat`] at once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HeartbeatReply {
    /// The heartbeat's `sent_us`.
    #[prost(uint64, tag = "1")]
    pub echo_us: u64,
    /// What the answering host's replica holds.
    #[prost(message, optional, tag = "2")]
    pub holds: Option<Watermarks>,
    /// How long ago the table was last read, as far as the answering host knows, in
    /// milliseconds; absent if it knows of no read.
    #[prost(uint32, optional, tag = "3")]
    pub table_age_ms: Option<u32>,
    /// Hash over the records of all hosts that the answering host knows.
    #[prost(fixed32, tag = "4")]
    pub members_hash: u32,
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

/// A row of the catalogue.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    /// Key, without the prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value, absent if the row was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

/// What an ownership row says but for its slices.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Position of the upstream's name in [`Delta::names`].
    #[prost(uint32, tag = "1")]
    pub upstream: u32,
    /// Revision at which this was last seen to change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The row without slices, encoded; absent if the row was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

/// Slices of one entry that came to one upstream or left it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SliceRun {
    /// Position of the upstream's name in [`Delta::names`].
    #[prost(uint32, tag = "1")]
    pub upstream: u32,
    /// Position of the entry's name in [`Delta::names`].
    #[prost(uint32, tag = "2")]
    pub entry: u32,
    /// Revision at which this was last seen to change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Whether the slices left the upstream.
    #[prost(bool, tag = "4")]
    pub gone: bool,
    /// Slices that are ranges of hashes, rising; each but the first as the distance from the
    /// one before.
    #[prost(uint64, repeated, tag = "5")]
    pub ranges: Vec<u64>,
    /// Slices that are hot keys.
    #[prost(fixed64, repeated, tag = "6")]
    pub hot: Vec<u64>,
}

/// The revision of an upstream's whole row, when it is above that of its head and slices.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Touch {
    /// Position of the upstream's name in [`Delta::names`].
    #[prost(uint32, tag = "1")]
    pub upstream: u32,
    /// Revision of the row.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// One page of what changed below one prefix.
///
/// The pages of one transfer have the same `since` and `up_to` and rising numbers from zero. A
/// receiver that was complete to `since` and takes all pages is complete to `up_to`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// Which prefix: 1 for `catalogue/`, 2 for `own/`.
    #[prost(uint32, tag = "1")]
    pub prefix: u32,
    /// Revision after which changes are listed.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Revision to which the transfer is complete; zero if it claims nothing.
    #[prost(uint64, tag = "3")]
    pub up_to: u64,
    /// Number of the page.
    #[prost(uint32, tag = "4")]
    pub page: u32,
    /// Whether more pages follow.
    #[prost(bool, tag = "5")]
    pub more: bool,
    /// Whether this is a snapshot: what it doesn't list and is no newer doesn't exist.
    #[prost(bool, tag = "6")]
    pub snapshot: bool,
    /// Names of upstreams and entries.
    #[prost(string, repeated, tag = "7")]
    pub names: Vec<String>,
    /// Rows of the catalogue.
    #[prost(message, repeated, tag = "8")]
    pub rows: Vec<Row>,
    /// Heads of ownership rows.
    #[prost(message, repeated, tag = "9")]
    pub heads: Vec<Head>,
    /// Slices of ownership rows.
    #[prost(message, repeated, tag = "10")]
    pub slices: Vec<SliceRun>,
    /// Revisions of ownership rows.
    #[prost(message, repeated, tag = "11")]
    pub touches: Vec<Touch>,
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
}

/// The frame of a control connection.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Frame {
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<Body>,
}
