//! Ownership messages between hosts, and what ownership rows hold.
//!
//! Readings named `stamp_us` are of the clock of the host that sent the question; the host that
//! replies returns them unchanged, and nobody else may compare them with anything.

use prost::Message;

/// One run of a host, and where to reach it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HostRef {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Run of the process.
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

/// A hot key that was carved out of the slice that held it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Carved {
    /// Slice of the hot key alone.
    #[prost(fixed64, tag = "1")]
    pub hot: u64,
    /// Slice that held the key before.
    #[prost(uint64, tag = "2")]
    pub base: u64,
}

/// A slice that came by a planned move, and that the upstream before may still have.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Incoming {
    /// Slice.
    #[prost(fixed64, tag = "1")]
    pub slice: u64,
    /// Upstream that had it.
    #[prost(string, tag = "2")]
    pub from: String,
}

/// Content of the row `own/<upstream>`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    /// Fencing token; the deputy's reserve is the next higher one.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Coordinating host; absent if there is none.
    #[prost(message, optional, tag = "2")]
    pub coordinator: Option<HostRef>,
    /// Host that may take over on the reserved epoch; absent if there is none.
    #[prost(message, optional, tag = "3")]
    pub deputy: Option<HostRef>,
    /// Whether the upstream takes slices; a lost or leaving one does not.
    #[prost(bool, tag = "4")]
    pub open: bool,
    /// Slices of the upstream, rising.
    #[prost(fixed64, repeated, tag = "5")]
    pub slices: Vec<u64>,
    /// How often each of `slices` changed its owner, in the same order.
    #[prost(uint64, repeated, tag = "6")]
    pub generations: Vec<u64>,
    /// Hot keys carved out of `slices`, wherever they are now.
    #[prost(message, repeated, tag = "7")]
    pub carved: Vec<Carved>,
    /// Host that wrote the row.
    #[prost(string, tag = "8")]
    pub writer: String,
    /// Run of that host.
    #[prost(uint64, tag = "9")]
    pub writer_incarnation: u64,
    /// Number of that write in the run.
    #[prost(uint64, tag = "10")]
    pub writer_seq: u64,
    /// Hosts that acted for the upstream before and never said that they stopped.
    #[prost(message, repeated, tag = "11")]
    pub unsettled: Vec<HostRef>,
    /// Those of `slices` that another upstream may still have; rising.
    #[prost(message, repeated, tag = "12")]
    pub incoming: Vec<Incoming>,
}

/// Content of the row `own/entry/<entry>`: the entry's slices were handed out.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryRow {
    /// How many slices the entry has.
    #[prost(uint32, tag = "1")]
    pub slices: u32,
    /// Host that wrote the row.
    #[prost(string, tag = "2")]
    pub writer: String,
    /// Run of that host.
    #[prost(uint64, tag = "3")]
    pub writer_incarnation: u64,
    /// Number of that write in the run.
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

/// A coordinating host asks its deputy for promises not to act.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Watch {
    /// Reading of the sender's clock.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
    /// Upstreams that the receiver is deputy of.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<Claim>,
}

/// What a deputy says of one claim.
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
pub enum Standing {
    /// The deputy does not know a row with this claim.
    Unknown = 0,
    /// The deputy does not act until it has heard nothing from the coordinating host for the bound.
    Promised = 1,
    /// The deputy acts, under the epoch of its answer.
    Acting = 2,
}

/// A deputy's answer to one claim.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Answer {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the claim, or that under which the deputy acts.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// What the deputy says.
    #[prost(enumeration = "Standing", tag = "3")]
    pub standing: i32,
}

/// A deputy's reply to a [`Watch`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Promise {
    /// The [`Watch`]'s own reading.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
    /// One answer for each claim.
    #[prost(message, repeated, tag = "2")]
    pub answers: Vec<Answer>,
}

/// A coordinating host asks its deputy not to grant these slices of the row as it stands.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Retire {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the row; the promise ends when a higher one is known.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Slices, rising.
    #[prost(fixed64, repeated, tag = "4")]
    pub slices: Vec<u64>,
    /// Number of this question; the answer returns it.
    #[prost(uint64, tag = "5")]
    pub seq: u64,
    /// The row, if the receiver may not know it yet: it can't promise anything about it then.
    #[prost(message, optional, tag = "6")]
    pub row: Option<Row>,
}

/// A deputy's promise on a [`Retire`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Retired {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of the question.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
}

/// Tells a host that it must not act for an upstream below this epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Supersede {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the row that says so.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// That row.
    #[prost(message, optional, tag = "4")]
    pub row: Option<Row>,
}

/// Says that the sender does not act for an upstream below this epoch any more.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Superseded {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the [`Supersede`].
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Time after which nothing that the sender or those before it granted can last, in
    /// microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
}

/// Passes on a row that was just written, ahead of the usual spreading.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Told {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Revision of the row.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The row.
    #[prost(message, optional, tag = "3")]
    pub row: Option<Row>,
}

/// Hands an upstream over: the sender stopped, and the receiver coordinates it at once.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Handover {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch under which the receiver acts.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Time after which nothing that the sender or those before it granted can last, in
    /// microseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_us: u64,
    /// Revision of the row.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// The row, as recorded; under the epoch before if the table could not be reached.
    #[prost(message, optional, tag = "5")]
    pub row: Option<Row>,
}

/// Says that the sender serves an upstream, or slices of it, so that held requests may come.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Serving {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the row that it serves.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Slices of that row that it does not serve yet, rising.
    #[prost(fixed64, repeated, tag = "4")]
    pub without: Vec<u64>,
}

/// A slice in one of its owners' hands.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stay {
    /// Slice.
    #[prost(fixed64, tag = "1")]
    pub slice: u64,
    /// How often it had changed its owner, with the change to this one.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
}

/// Asks the coordinating host of an upstream whether slices that moved away are free there.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AskFree {
    /// Upstream that had them.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Upstream that owns them now.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Slices, rising.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<Stay>,
}

/// Says that slices that moved away are free: nobody grants them at the upstream before any more.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Freed {
    /// Upstream that had them.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Upstream that owns them now.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Slices, rising.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<Stay>,
}

/// Asks whether the receiver is up, before the sender claims upstreams of it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Ping {
    /// Reading of the sender's clock.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
}

/// Answers a [`Ping`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Pong {
    /// The [`Ping`]'s own reading.
    #[prost(uint64, tag = "1")]
    pub stamp_us: u64,
}

/// What a message is about.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Body {
    /// See [`Watch`].
    #[prost(message, tag = "2")]
    Watch(Watch),
    /// See [`Promise`].
    #[prost(message, tag = "3")]
    Promise(Promise),
    /// See [`Retire`].
    #[prost(message, tag = "4")]
    Retire(Retire),
    /// See [`Retired`].
    #[prost(message, tag = "5")]
    Retired(Retired),
    /// See [`Supersede`].
    #[prost(message, tag = "6")]
    Supersede(Supersede),
    /// See [`Superseded`].
    #[prost(message, tag = "7")]
    Superseded(Superseded),
    /// See [`Told`].
    #[prost(message, tag = "8")]
    Told(Told),
    /// See [`Handover`].
    #[prost(message, tag = "9")]
    Handover(Handover),
    /// See [`Serving`].
    #[prost(message, tag = "10")]
    Serving(Serving),
    /// See [`Ping`].
    #[prost(message, tag = "11")]
    Ping(Ping),
    /// See [`Pong`].
    #[prost(message, tag = "12")]
    Pong(Pong),
    /// See [`AskFree`].
    #[prost(message, tag = "13")]
    AskFree(AskFree),
    /// See [`Freed`].
    #[prost(message, tag = "14")]
    Freed(Freed),
}

/// An ownership message from one host to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerMessage {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<HostRef>,
    /// What the message is about.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}
