//! Who wrote which rows.

use std::collections::VecDeque;

use ids::{OperatorId, Revision, Timestamp};
use platform::Txn;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::access::Role;

/// One transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision of its writes.
    pub revision: Revision,
    /// Microseconds since the machine's boot.
    pub at_us: u64,
    /// The operator who wrote; none if it was a host.
    pub operator: Option<OperatorId>,
    /// Keys of the rows.
    pub keys: Vec<SmolStr>,
}

/// The last transactions that took effect.
#[derive(Debug, Default)]
pub struct Audit {
    longest: usize,
    entries: VecDeque<AuditEntry>,
}

impl Audit {
    /// Builds an audit that remembers `longest` transactions.
    #[must_use]
    pub const fn new(longest: usize) -> Self {
        Self {
            longest,
            entries: VecDeque::new(),
        }
    }

    /// Adds a transaction and forgets the oldest if there are too many.
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
        while self.entries.len() > self.longest {
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
