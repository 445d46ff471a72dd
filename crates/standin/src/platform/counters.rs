//! Counts of calls since the start.

use serde::{Deserialize, Serialize};

/// Counts of calls since the start of the server.
///
/// A throttled, forbidden or malformed call increments only the counter of that name. Each page
/// of changes counts as a read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// All reads.
    pub reads: u64,
    /// Reads of changes.
    pub change_reads: u64,
    /// Rows in answers to reads of changes.
    pub rows_read: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Reads of the list of hosts.
    pub host_reads: u64,
    /// All writes: transactions, including those in conflict, and stored objects.
    pub writes: u64,
    /// Committed transactions.
    pub commits: u64,
    /// Transactions that were not committed because a check failed.
    pub conflicts: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Stored objects.
    pub objects_stored: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answer bodies.
    pub bytes_out: u64,
    /// Calls refused because the rate was too high.
    pub throttled: u64,
    /// Calls refused because the token does not permit them.
    pub forbidden: u64,
    /// Calls refused because they could not be parsed.
    pub malformed: u64,
    /// Writes that were executed but not answered.
    pub confirmations_lost: u64,
    /// Calls that were not answered because of [`Mode::Stall`](super::Mode::Stall).
    pub stalled: u64,
    /// Connections accepted.
    pub connections: u64,
}
