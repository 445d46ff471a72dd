//! Transactions whose result is not known yet.
//!
//! A transaction is submitted again, unchanged, until some row that it checks has a higher
//! revision than it asks for. From then on no copy of it can take effect any more, and the rows
//! themselves say what did.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{EntryId, Revision, Timestamp, UpstreamId};
use platform::{RowKey, Txn};

/// Whom a transaction is for; there is at most one at a time for each.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Upstream(UpstreamId),
    Entry(EntryId),
}

/// A transaction whose result is not known yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) txn: u64,
    pub(crate) body: Txn,
    pub(crate) sent_at: Timestamp,
    /// When to submit it again.
    pub(crate) again_at: Timestamp,
    /// Whether a submission ended without a result.
    pub(crate) in_doubt: bool,
}

impl Pending {
    /// Tells whether a submission ended without a result.
    pub(crate) const fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Tells whether a row at `revision` shows that no copy can take effect any more.
    fn is_overtaken(&self, key: &RowKey, revision: Revision) -> bool {
        let check = self.body.checks.iter().find(|c| c.key == *key);
        check.is_some_and(|c| c.revision.is_none_or(|r| r < revision))
    }
}

/// Transactions whose result is not known yet.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    pending: BTreeMap<Subject, Pending>,
    last: u64,
}

impl Commits {
    /// Draws the number of the next transaction; rows carry it as their writer's number.
    pub(crate) const fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    pub(crate) fn is_busy(&self, subject: &Subject) -> bool {
        self.pending.contains_key(subject)
    }

    pub(crate) fn get(&self, subject: &Subject) -> Option<&Pending> {
        self.pending.get(subject)
    }

    pub(crate) fn start(&mut self, subject: Subject, pending: Pending) {
        debug_assert!(!self.is_busy(&subject), "one transaction at a time");
        self.pending.insert(subject, pending);
    }

    /// Ends the transaction with this number.
    pub(crate) fn end(&mut self, txn: u64) -> Option<(Subject, Pending)> {
        let subject = self.subject(txn)?;
        let pending = self.pending.remove(&subject)?;
        Some((subject, pending))
    }

    fn subject(&self, txn: u64) -> Option<Subject> {
        let found = self.pending.iter().find(|(_, p)| p.txn == txn);
        found.map(|(s, _)| s.clone())
    }

    /// Lets the transaction with this number be submitted again after `wait`.
    pub(crate) fn doubt(&mut self, txn: u64, now: Timestamp, wait: Duration) {
        if let Some(p) = self.pending.values_mut().find(|p| p.txn == txn) {
            p.again_at = now + wait;
            p.in_doubt = true;
        }
    }

    /// Ends the transactions that a row at `revision` has overtaken.
    pub(crate) fn settle(&mut self, key: &RowKey, revision: Revision) {
        self.pending.retain(|_, p| !p.is_overtaken(key, revision));
    }

    /// Iterates over the transactions that are due to be submitted again.
    pub(crate) fn due(&mut self, now: Timestamp) -> impl Iterator<Item = &mut Pending> {
        self.pending.values_mut().filter(move |p| p.again_at <= now)
    }
}
