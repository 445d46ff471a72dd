//! Requests forwarded by an entry host to the coordinating host of an upstream.

use bytes::Bytes;
use prost::Message;

/// A header of a request or an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value, as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A caller's whole request, forwarded to the coordinating host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Request {
    /// Number of the request on this connection, never reused.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Catalogue entry.
    #[prost(string, tag = "2")]
    pub entry: String,
    /// Upstream that owns the key according to the entry host.
    #[prost(string, tag = "3")]
    pub upstream: String,
    /// Slice of the key; absent if the entry is not divided by key.
    #[prost(uint64, optional, tag = "4")]
    pub slice: Option<u64>,
    /// Time left, in microseconds.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// Whether the request was admitted as idempotent.
    #[prost(bool, tag = "6")]
    pub idempotent: bool,
    /// The request's id.
    #[prost(string, tag = "7")]
    pub request_id: String,
    /// HTTP method.
    #[prost(string, tag = "8")]
    pub method: String,
    /// Path and query, as sent to the upstream.
    #[prost(string, tag = "9")]
    pub path: String,
    /// Headers to send to the upstream.
    #[prost(message, repeated, tag = "10")]
    pub headers: Vec<Header>,
    /// The whole body.
    #[prost(bytes = "bytes", tag = "11")]
    pub body: Bytes,
    /// Highest table revision that the entry host knows.
    #[prost(uint64, tag = "12")]
    pub revision: u64,
    /// Hash of the key, used to detect hot keys; zero if there is no key.
    #[prost(uint64, tag = "13")]
    pub key_hash: u64,
    /// Time that the request had from its arrival at the entry host until its deadline, in
    /// microseconds; zero if the sender is of a version that does not state it.
    #[prost(uint64, tag = "14")]
    pub total_us: u64,
}

/// Cancels a request because the caller disconnected or the deadline passed.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Cancel {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub call: u64,
}

/// An upstream's whole answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Answer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers to send to the caller.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The whole body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// Reports that a request got no answer from the upstream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Refusal {
    /// Text of the reason, which determines the outcome.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Delay before the caller should try again, in milliseconds; zero if unknown.
    #[prost(uint32, tag = "2")]
    pub retry_after_ms: u32,
    /// Highest table revision that the coordinating host knows.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// The result in a reply.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Result {
    /// The upstream's whole answer.
    #[prost(message, tag = "2")]
    Answer(Answer),
    /// The reason why there is no answer.
    #[prost(message, tag = "3")]
    Refusal(Refusal),
}

/// The coordinating host's reply to a [`Request`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Answer or refusal.
    #[prost(oneof = "Result", tags = "2, 3")]
    pub result: Option<Result>,
    /// Number of requests that the coordinating host has running or queued for the upstream.
    #[prost(uint32, tag = "4")]
    pub load: u32,
}

/// A message that an entry host sends on a dispatch connection.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all messages are requests, and a box would cost each an allocation"
)]
pub enum DispatchMessage {
    /// A request.
    #[prost(message, tag = "1")]
    Request(Request),
    /// A cancellation.
    #[prost(message, tag = "2")]
    Cancel(Cancel),
}

/// The frame around a [`DispatchMessage`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DispatchFrame {
    /// The message.
    #[prost(oneof = "DispatchMessage", tags = "1, 2")]
    pub message: Option<DispatchMessage>,
}
