//! Datagrams between the control threads of hosts.

use std::time::Duration;

use assign::{FencingToken, MovingRanges};
use ids::Revision;

use crate::rate_limit_message::RateLimitMessage;

/// A datagram about one partition of an entry's keys, mostly a heartbeat to its granting host.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Heartbeat {
    /// The partition.
    #[prost(string, tag = "1")]
    pub partition: String,
    /// Requests by key, since the last heartbeat.
    #[prost(message, repeated, tag = "2")]
    pub keys: Vec<KeyCount>,
    /// Service times of upstreams.
    #[prost(message, repeated, tag = "3")]
    pub service_times: Vec<ServiceTime>,
    /// The reply to a heartbeat, if this is one.
    #[prost(message, optional, tag = "4")]
    pub reply: Option<HeartbeatReply>,
    /// Revision of the row by which the sender replaced the receiver as the granting host.
    #[prost(uint64, optional, tag = "5")]
    pub replaced_at: Option<u64>,
    /// Ranges that no upstream serves at present, if the sender is the granting host.
    #[prost(message, optional, tag = "6")]
    pub moving: Option<MovingRangesReport>,
    /// Whether the sender only asks when the receiver last received a reply of the granting host.
    #[prost(bool, tag = "7")]
    pub asks_for_sighting: bool,
    /// The answer to `asks_for_sighting`.
    #[prost(message, optional, tag = "8")]
    pub sighting: Option<GranterSighting>,
    /// An upstream that ended under a request. All other fields are empty then.
    #[prost(message, optional, tag = "9")]
    pub crash: Option<CrashReport>,
    /// A quarantined request. All other fields are empty then.
    #[prost(message, optional, tag = "10")]
    pub quarantined: Option<QuarantinedRequest>,
    /// Limits that upstreams of the partition announced recently.
    #[prost(message, repeated, tag = "11")]
    pub limits: Vec<UpstreamLimit>,
    /// Revision before which the sender grants by no row of the partition.
    #[prost(uint64, optional, tag = "12")]
    pub grants_from: Option<u64>,
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
    pub limit: Option<RateLimitMessage>,
}

/// An upstream that ended while it had a request.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct CrashReport {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
}

/// A request that is sent to no upstream, as upstreams ended under it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct QuarantinedRequest {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Remaining time of the quarantine, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// When a host last received a reply of the granting host.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct GranterSighting {
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
pub struct MovingRangesReport {
    /// Revision of the row.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The ranges whose owner can't serve them yet.
    #[prost(message, repeated, tag = "2")]
    pub ranges: Vec<MovingRange>,
}

/// A range whose owner can't serve it yet.
#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct MovingRange {
    /// Its first key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Its fencing token.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// Time until its owner may serve it, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
}

impl From<&MovingRanges> for MovingRangesReport {
    fn from(moving: &MovingRanges) -> Self {
        let range = |&(first, fencing_token, left): &(u16, FencingToken, Duration)| MovingRange {
            first: first.into(),
            fencing_token: fencing_token.0,
            left_ms: left.as_millis() as u32,
        };
        Self {
            revision: moving.revision.0,
            ranges: moving.ranges.iter().map(range).collect(),
        }
    }
}

impl From<&MovingRangesReport> for MovingRanges {
    fn from(report: &MovingRangesReport) -> Self {
        let range = |p: &MovingRange| {
            let first = u16::try_from(p.first).ok()?;
            Some((
                first,
                FencingToken(p.fencing_token),
                Duration::from_millis(p.left_ms.into()),
            ))
        };
        Self {
            revision: Revision(report.revision),
            ranges: report.ranges.iter().filter_map(range).collect(),
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
pub struct ServiceTime {
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
pub struct HeartbeatReply {
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
    pub read_age_ms: Option<u32>,
    /// Revision of the oldest row by which it still grants.
    #[prost(uint64, tag = "5")]
    pub grants_from: u64,
    /// Number of owners of the partition's keys that it does not reach, although other hosts do.
    #[prost(uint32, tag = "6")]
    pub unreachable_owners: u32,
}
