//! Ownership messages between hosts, and the content of ownership rows.
//!
//! Fields named `stamp_us` are readings of the clock of the host that sent the request. The host
//! that replies returns them unchanged; no other host may compare them with anything.

use prost::Message;

/// An incarnation of a host and its addresses.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostRef {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Address for control connections, as `ip:port`.
    #[prost(string, tag = "4")]
    pub control: String,
    /// Address for dispatch connections, as `ip:port`.
    #[prost(string, tag = "5")]
    pub dispatch: String,
}

/// A hot key that was carved out of the slice that contained it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CarvedKey {
    /// Slice that contains only the hot key.
    #[prost(fixed64, tag = "1")]
    pub hot: u64,
    /// Slice that contained the key before.
    #[prost(uint64, tag = "2")]
    pub base: u64,
}

/// A slice that a planned move assigned to an upstream and that its previous owner may still have.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IncomingSlice {
    /// Slice.
    #[prost(fixed64, tag = "1")]
    pub slice: u64,
    /// Upstream that owned it before.
    #[prost(string, tag = "2")]
    pub from: String,
}

/// Content of the row `own/<upstream>`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OwnershipRow {
    /// Fencing token; the next higher one is reserved for the standby.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Coordinating host; absent if there is none.
    #[prost(message, optional, tag = "2")]
    pub coordinator: Option<HostRef>,
    /// Standby, which may take over under the reserved epoch; absent if there is none.
    #[prost(message, optional, tag = "3")]
    pub deputy: Option<HostRef>,
    /// Whether the upstream can be assigned slices; a failed or leaving one can't.
    #[prost(bool, tag = "4")]
    pub open: bool,
    /// Slices of the upstream, in ascending order.
    #[prost(fixed64, repeated, tag = "5")]
    pub slices: Vec<u64>,
    /// Number of changes of owner of each of `slices`, in the same order.
    #[prost(uint64, repeated, tag = "6")]
    pub generations: Vec<u64>,
    /// Hot keys carved out of `slices`, whichever upstreams own them now.
    #[prost(message, repeated, tag = "7")]
    pub carved: Vec<CarvedKey>,
    /// Host that wrote the row.
    #[prost(string, tag = "8")]
    pub writer: String,
    /// Incarnation of that host.
    #[prost(uint64, tag = "9")]
    pub writer_incarnation: u64,
    /// Number of that write in the incarnation.
    #[prost(uint64, tag = "10")]
    pub writer_seq: u64,
    /// Hosts that acted for the upstream before and have not confirmed that they stopped.
    #[prost(message, repeated, tag = "11")]
    pub unsettled: Vec<HostRef>,
    /// Those of `slices` that another upstream may still have, in ascending order.
    #[prost(message, repeated, tag = "12")]
    pub incoming: Vec<IncomingSlice>,
}

/// Content of the row `own/entry/<entry>`, which records that the entry's slices were assigned.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryRow {
    /// Number of slices of the entry.
    #[prost(uint32, tag = "1")]
    pub slices: u32,
    /// Host that wrote the row.
    #[prost(string, tag = "2")]
    pub writer: String,
    /// Incarnation of that host.
    #[prost(uint64, tag = "3")]
    pub writer_incarnation: u64,
    /// Number of that write in the incarnation.
    #[prost(uint64, tag = "4")]
    pub writer_seq: u64,
}

/// An upstream and the epoch under which the sender coordinates it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claim {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// Heartbeat from a coordinating host that asks its standby for promises not to act.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimHeartbeat {
    /// Reading of the sender's clock.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
    /// Upstreams for which the receiver is the standby.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<Claim>,
}

/// A standby's view of a claim.
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
pub enum ClaimStatus {
    /// The standby knows no row with this claim.
    Unknown = 0,
    /// The standby does not act until it has received nothing from the coordinating host for the
    /// heartbeat timeout.
    Promised = 1,
    /// The standby acts, under the epoch of its answer.
    Acting = 2,
}

/// A standby's answer to a claim.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimAnswer {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the claim, or the one under which the standby acts.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Status of the claim.
    #[prost(enumeration = "ClaimStatus", tag = "3")]
    pub status: i32,
}

/// A standby's reply to a [`ClaimHeartbeat`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimHeartbeatReply {
    /// The `stamp_us` of the [`ClaimHeartbeat`].
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
    /// One answer for each claim.
    #[prost(message, repeated, tag = "2")]
    pub answers: Vec<ClaimAnswer>,
}

/// Asks the standby to promise not to grant these slices of the current row.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SlicePromiseRequest {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the row; the promise ends when the standby knows a higher one.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Slices, in ascending order.
    #[prost(fixed64, repeated, tag = "4")]
    pub slices: Vec<u64>,
    /// Number of this request; the reply returns it.
    #[prost(uint64, tag = "5")]
    pub seq: u64,
    /// The row, if the receiver may not know it yet: without it, the receiver can't promise
    /// anything about it.
    #[prost(message, optional, tag = "6")]
    pub row: Option<OwnershipRow>,
}

/// The promise that a [`SlicePromiseRequest`] asks for.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SlicePromise {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
}

/// Notifies a host that it must not act for an upstream under a lower epoch than this one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Supersede {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the row with this epoch.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// That row.
    #[prost(message, optional, tag = "4")]
    pub row: Option<OwnershipRow>,
}

/// Confirms that the sender no longer acts for an upstream under a lower epoch than this one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Superseded {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the [`Supersede`].
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Time until all grants of the sender and of the hosts before it have expired, in
    /// microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
}

/// Relays a row directly, ahead of the regular relaying of changes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedRow {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Revision of the row.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The row.
    #[prost(message, optional, tag = "3")]
    pub row: Option<OwnershipRow>,
}

/// Hands over an upstream: the sender stopped, and the receiver coordinates it from now on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Handover {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch under which the receiver acts.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Time until all grants of the sender and of the hosts before it have expired, in
    /// microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
    /// Revision of the row.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// The row as recorded in the table; it still has the previous epoch if the table could not be
    /// reached.
    #[prost(message, optional, tag = "5")]
    pub row: Option<OwnershipRow>,
}

/// Announces that the sender serves an upstream, or slices of it, so that held requests can be
/// sent to it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Serving {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the row that the sender serves.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Slices of that row that the sender does not serve yet, in ascending order.
    #[prost(fixed64, repeated, tag = "4")]
    pub unserved: Vec<u64>,
}

/// A slice and the generation of its ownership.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SliceGeneration {
    /// Slice.
    #[prost(fixed64, tag = "1")]
    pub slice: u64,
    /// Number of changes of owner, including the one to this owner.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
}

/// Asks the coordinating host of an upstream whether it has released slices that moved away.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseQuery {
    /// Upstream that owned them before.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Upstream that owns them now.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Slices, in ascending order.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<SliceGeneration>,
}

/// Confirms the release of slices that moved away: no host grants them at the previous owner any
/// more.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseConfirmation {
    /// Upstream that owned them before.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Upstream that owns them now.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Slices, in ascending order.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<SliceGeneration>,
}

/// Asks whether the receiver is up, before the sender claims upstreams that it coordinates.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LivenessRequest {
    /// Reading of the sender's clock.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
}

/// The reply to a [`LivenessRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LivenessReply {
    /// The `stamp_us` of the [`LivenessRequest`].
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
}

/// Asks a host whether it reaches an upstream, which does not reply to the sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReachQuery {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of the question.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Says that the sender reaches an upstream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReachConfirmation {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of the question.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The content of a message.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Body {
    /// See [`ClaimHeartbeat`].
    #[prost(message, tag = "2")]
    ClaimHeartbeat(ClaimHeartbeat),
    /// See [`ClaimHeartbeatReply`].
    #[prost(message, tag = "3")]
    ClaimHeartbeatReply(ClaimHeartbeatReply),
    /// See [`SlicePromiseRequest`].
    #[prost(message, tag = "4")]
    SlicePromiseRequest(SlicePromiseRequest),
    /// See [`SlicePromise`].
    #[prost(message, tag = "5")]
    SlicePromise(SlicePromise),
    /// See [`Supersede`].
    #[prost(message, tag = "6")]
    Supersede(Supersede),
    /// See [`Superseded`].
    #[prost(message, tag = "7")]
    Superseded(Superseded),
    /// See [`RelayedRow`].
    #[prost(message, tag = "8")]
    RelayedRow(RelayedRow),
    /// See [`Handover`].
    #[prost(message, tag = "9")]
    Handover(Handover),
    /// See [`Serving`].
    #[prost(message, tag = "10")]
    Serving(Serving),
    /// See [`LivenessRequest`].
    #[prost(message, tag = "11")]
    LivenessRequest(LivenessRequest),
    /// See [`LivenessReply`].
    #[prost(message, tag = "12")]
    LivenessReply(LivenessReply),
    /// See [`ReleaseQuery`].
    #[prost(message, tag = "13")]
    ReleaseQuery(ReleaseQuery),
    /// See [`ReleaseConfirmation`].
    #[prost(message, tag = "14")]
    ReleaseConfirmation(ReleaseConfirmation),
    /// See [`ReachQuery`].
    #[prost(message, tag = "15")]
    ReachQuery(ReachQuery),
    /// See [`ReachConfirmation`].
    #[prost(message, tag = "16")]
    ReachConfirmation(ReachConfirmation),
}

/// An ownership message from one host to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerMessage {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<HostRef>,
    /// Content of the message.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub body: Option<Body>,
}
