//! What hosts tell each other in datagrams of the control duty.

use std::time::Duration;

use assign::{FencingToken, MovingRanges};
use ids::Revision;

use crate::limit_told::LimitTold;

/// What a host tells the one that grants the keys of a part of an entry.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Beat {
    /// The part of the entry's keys.
    #[prost(string, tag = "1")]
    pub part: String,
    /// Requests by key, since the last heartbeat.
    #[prost(message, repeated, tag = "2")]
    pub keys: Vec<KeyCount>,
    /// Times of upstreams for one request.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<Service>,
    /// The answer, if this is one.
    #[prost(message, optional, tag = "4")]
    pub echo: Option<Echo>,
    /// Revision of the row by which the sender grants in place of the receiver.
    #[prost(uint64, optional, tag = "5")]
    pub replaced_at: Option<u64>,
    /// Keys that nobody serves for the moment, if the sender grants.
    #[prost(message, optional, tag = "6")]
    pub moving: Option<MovingKeys>,
    /// Whether the sender asks when the receiver last heard the granting host, and nothing else.
    #[prost(bool, tag = "7")]
    pub asks_when_heard: bool,
    /// The answer to that.
    #[prost(message, optional, tag = "8")]
    pub heard: Option<Heard>,
    /// An upstream that ended under a request; says nothing else.
    #[prost(message, optional, tag = "9")]
    pub ended: Option<EndedUnder>,
    /// A request that is to be sent to no upstream; says nothing else.
    #[prost(message, optional, tag = "10")]
    pub quarantined: Option<Quarantined>,
    /// Limits that upstreams of the part named lately.
    #[prost(message, repeated, tag = "11")]
    pub limits: Vec<UpstreamLimit>,
}

/// How many requests a second an upstream takes, as the sender heard it.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct UpstreamLimit {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its word.
    #[prost(message, optional, tag = "2")]
    pub told: Option<LimitTold>,
}

/// An upstream that ended while it had a request.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct EndedUnder {
    /// What the request asked, hashed.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
}

/// A request under which upstreams ended, and that is to be sent to none.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Quarantined {
    /// What it asks, hashed.
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    /// For how long, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// When a host last heard the one that grants.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Heard {
    /// The run that it heard.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// How long ago, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub ago_ms: u32,
}

/// Keys that nobody serves for the moment, by one row.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct MovingKeys {
    /// Revision of the row.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Its pieces whose owner can't serve them yet.
    #[prost(message, repeated, tag = "2")]
    pub pieces: Vec<MovingPiece>,
}

/// A piece whose owner can't serve it yet.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct MovingPiece {
    /// Its first key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Its fence.
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

/// Requests on one key.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct KeyCount {
    /// The key.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// How many.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// An upstream's time for one request that doesn't wait.
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

/// What the granting host says of itself.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Echo {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its run.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// It grants no more and never will again.
    #[prost(bool, tag = "3")]
    pub has_stopped: bool,
    /// Age of its knowledge of the store, in milliseconds.
    #[prost(uint32, optional, tag = "4")]
    pub evidence_ms: Option<u32>,
    /// It grants nothing by rows before this revision.
    #[prost(uint64, tag = "5")]
    pub knows: u64,
}
