//! What was served since the start.

use serde::{Deserialize, Serialize};

/// Counts since the start of the server.
///
/// Calls that were throttled, forbidden or malformed count only as such. Each page of
/// changes counts as a read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Reads of any kind.
    pub reads: u64,
    /// Reads of changes.
    pub change_reads: u64,
    /// Rows in answers to reads of changes.
    pub rows_read: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Reads of the list of hosts.
    pub host_reads: u64,
    /// Writes of any kind: transactions, also those in conflict, and stored objects.
    pub writes: u64,
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions that had no effect, as a check didn't hold.
    pub conflicts: u64,
    /// Rows written by transactions that took effect.
    pub rows_written: u64,
    /// Stored objects.
    pub objects_stored: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answer bodies.
    pub bytes_out: u64,
    /// Calls refused because the rate was too high.
    pub throttled: u64,
    /// Calls refused because the token didn't allow them.
    pub forbidden: u64,
    /// Calls refused because they made no sense.
    pub malformed: u64,
    /// Writes carried out whose answer was withheld.
    pub confirmations_lost: u64,
    /// Calls that got no answer because the platform stalled.
    pub stalled: u64,
    /// Connections accepted.
    pub connections: u64,
}
