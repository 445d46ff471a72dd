//! Log of committed transactions and their authors.

use std::collections::VecDeque;

use ids::{OperatorId, Revision, Timestamp};
use platform::Txn;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::access::Role;

/// A committed transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision of its writes.
    pub revision: Revision,
    /// Time since the machine's boot, in microseconds.
    pub at_us: u64,
    /// The operator who committed it; `None` if it was a host.
    pub operator: Option<OperatorId>,
    /// Keys of the written rows.
    pub keys: Vec<SmolStr>,
}

/// The most recent committed transactions.
#[derive(Debug, Default)]
pub struct AuditLog {
    max_entries: usize,
    entries: VecDeque<AuditEntry>,
}

impl AuditLog {
    /// Creates an audit log that holds up to `max_entries` transactions.
    #[must_use]
    pub const fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            entries: VecDeque::new(),
        }
    }

    /// Appends a transaction and drops the oldest ones beyond the limit.
    pub fn add(&mut self, now: Timestamp, role: &Role, revision: Revision, txn: &Txn) {
        let operator = match role {
            Role::Host => None,
            Role::Operator { id, .. } => Some(id.clone()),
        };
        self.entries.push_back(AuditEntry {
            revision,
            at_us: now.as_micros(),
            operator,
            keys: txn.writes.iter().map(|w| w.key.0.clone()).collect(),
        });
        while self.entries.len() > self.max_entries {
            self.entries.pop_front();
        }
    }

    /// Returns the transactions after `since`.
    #[must_use]
    pub fn after(&self, since: Revision) -> Vec<AuditEntry> {
        let first = self.entries.partition_point(|e| e.revision <= since);
        self.entries.range(first..).cloned().collect()
    }
}
