//! Datagrams between the control threads of hosts.

use std::time::Duration;

use assign::{FencingToken, MovingRanges};
use ids::Revision;

use crate::rate_limit_message::RateLimitMessage;

/// A datagram about one partition of an entry's keys, mostly a heartbeat to its granting host.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Beat {
    /// The partition.
    #[prost(string, tag = "1")]
    pub part: String,
    /// Requests by key, since the last heartbeat.
    #[prost(message, repeated, tag = "2")]
    pub keys: Vec<KeyCount>,
    /// Service times of upstreams.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<Service>,
    /// The reply to a heartbeat, if this is one.
    #[prost(message, optional, tag = "4")]
    pub echo: Option<Echo>,
    /// Revision of the row by which the sender replaced the receiver as the granting host.
    #[prost(uint64, optional, tag = "5")]
    pub replaced_at: Option<u64>,
    /// Ranges that no upstream serves at present, if the sender is the granting host.
    #[prost(message, optional, tag = "6")]
    pub moving: Option<MovingKeys>,
    /// Whether the sender only asks when the receiver last received a reply of the granting host.
    #[prost(bool, tag = "7")]
    pub asks_when_heard: bool,
    /// The answer to `asks_for_sighting`.
    #[prost(message, optional, tag = "8")]
    pub heard: Option<Heard>,
    /// An upstream that ended under a request. All other fields are empty then.
    #[prost(message, optional, tag = "9")]
    pub ended: Option<EndedUnder>,
    /// A quarantined request. All other fields are empty then.
    #[prost(message, optional, tag = "10")]
    pub quarantined: Option<Quarantined>,
    /// Limits that upstreams of the partition announced recently.
    #[prost(message, repeated, tag = "11")]
    pub limits: Vec<UpstreamLimit>,
}

/// The rate limit that an upstream announced to the sender.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct UpstreamLimit {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The announced limit.
    #[prost(message, optional, tag = "2")]
    pub told: Option<RateLimitMessage>,
}

/// An upstream that ended while it had a request.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct EndedUnder {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
}

/// A request that is sent to no upstream, as upstreams ended under it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Quarantined {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// Remaining time of the quarantine, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// When a host last received a reply of the granting host.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Heard {
    /// The incarnation of the granting host.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Time since the reply, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub ago_ms: u32,
}

/// Ranges of one row that no upstream serves at present.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct MovingKeys {
    /// Revision of the row.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The ranges whose owner can't serve them yet.
    #[prost(message, repeated, tag = "2")]
    pub pieces: Vec<MovingPiece>,
}

/// A range whose owner can't serve it yet.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct MovingPiece {
    /// Its first key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Its fencing token.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Time until its owner may serve it, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
}

impl From<&MovingRanges> for MovingKeys {
    fn from(moving: &MovingRanges) -> Self {
        let piece = |&(first, fence, left): &(u16, FencingToken, Duration)| MovingPiece {
            first: first.into(),
            fence: fence.0,
            left_ms: left.as_millis() as u32,
        };
        Self {
            revision: moving.revision.0,
            pieces: moving.ranges.iter().map(piece).collect(),
        }
    }
}

impl From<&MovingKeys> for MovingRanges {
    fn from(told: &MovingKeys) -> Self {
        let piece = |p: &MovingPiece| {
            let first = u16::try_from(p.first).ok()?;
            Some((
                first,
                FencingToken(p.fence),
                Duration::from_millis(p.left_ms.into()),
            ))
        };
        Self {
            revision: Revision(told.revision),
            ranges: told.pieces.iter().filter_map(piece).collect(),
        }
    }
}

/// Number of requests for one key.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct KeyCount {
    /// The key.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// The number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Service time of an upstream: its time for one request, without time in a queue.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Service {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The time, in microseconds.
    #[prost(uint32, tag = "2")]
    pub micros: u32,
}

/// The granting host's report of itself.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Echo {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether it has stopped granting for good.
    #[prost(bool, tag = "3")]
    pub has_stopped: bool,
    /// Age of its last read of the store, in milliseconds.
    #[prost(uint32, optional, tag = "4")]
    pub evidence_ms: Option<u32>,
    /// Revision of the oldest row by which it still grants.
    #[prost(uint64, tag = "5")]
    pub knows: u64,
}
