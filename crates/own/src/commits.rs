//! Transactions whose result is not known yet.
//!
//! A transaction is resubmitted unchanged until its subject's row has a higher revision than the
//! transaction checks for. From then on no copy of it can take effect, and the row shows which
//! write did. A higher revision of another checked row proves less: the transaction may have taken
//! effect earlier, with its subject's row still in transit to this host.

use std::collections::BTreeMap;

use ids::{EntryId, Revision, Timestamp, UpstreamId};
use platform::{RowKey, Txn};

use crate::{EntryRow, OwnRow};

/// Row that a transaction is for. Each subject has at most one pending transaction.
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
    /// Time of the next submission.
    pub(crate) again_at: Timestamp,
    /// Whether a submission ended without a result.
    pub(crate) in_doubt: bool,
    /// Number of submissions that have not ended.
    pub(crate) open: u32,
    /// Whether a submission that ended may have taken effect.
    pub(crate) unconfirmed: bool,
}

impl Subject {
    /// Returns the key of the row that a transaction is for.
    fn key(&self) -> RowKey {
        match self {
            Self::Upstream(u) => OwnRow::key(u),
            Self::Entry(e) => EntryRow::key(e),
        }
    }
}

impl Pending {
    /// Returns whether a submission ended without a result.
    pub(crate) const fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Returns whether all submissions ended and none of them can have taken effect.
    pub(crate) const fn has_no_effect(&self) -> bool {
        self.open == 0 && !self.unconfirmed
    }

    /// Returns whether a row at `revision` proves that no copy can take effect any more.
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
    /// Returns the number of the next transaction. Rows store it as the sequence number of the
    /// write.
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

    /// Returns the transaction with this number.
    pub(crate) fn find(&self, txn: u64) -> Option<&Pending> {
        self.pending.values().find(|p| p.txn == txn)
    }

    /// Ends the transaction with this number.
    pub(crate) fn end(&mut self, txn: u64) {
        self.pending.retain(|_, p| p.txn != txn);
    }

    /// Records that a submission ended without a result, and schedules the next one for `again_at`.
    pub(crate) fn doubt(&mut self, txn: u64, again_at: Timestamp, unconfirmed: bool) {
        if let Some(p) = self.pending.values_mut().find(|p| p.txn == txn) {
            p.again_at = again_at;
            p.in_doubt = true;
            p.open = p.open.saturating_sub(1);
            p.unconfirmed |= unconfirmed;
        }
    }

    /// Ends the transaction whose subject's row has reached `revision`. Others that check the row
    /// are resubmitted at once if they are in doubt; the answer then shows their result.
    pub(crate) fn settle(&mut self, now: Timestamp, key: &RowKey, revision: Revision) {
        self.pending
            .retain(|s, p| s.key() != *key || !p.is_overtaken(key, revision));
        let overtaken = |p: &&mut Pending| p.in_doubt && p.is_overtaken(key, revision);
        for p in self.pending.values_mut().filter(overtaken) {
            p.again_at = now;
        }
    }

    /// Iterates over the transactions that are due for resubmission.
    pub(crate) fn due(&mut self, now: Timestamp) -> impl Iterator<Item = &mut Pending> {
        self.pending.values_mut().filter(move |p| p.again_at <= now)
    }
}
