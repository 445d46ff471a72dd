//! Transactions whose result is not known yet.
//!
//! A transaction is resubmitted unchanged until its subject's row has a higher revision than the
//! transaction checks for. From then on no copy of it can take effect, and the row shows which
//! write did. A higher revision of another checked row proves less: the transaction may have taken
//! effect earlier, with its subject's row still in transit to this host.

use std::collections::BTreeMap;

use ids::{EntryId, Revision, Timestamp, UpstreamId};
use platform::{RowKey, Txn};

use crate::{EntryRow, OwnershipRow};

/// Row that a transaction is for. Each subject has at most one pending transaction.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TxnSubject {
    Upstream(UpstreamId),
    Entry(EntryId),
}

/// A transaction whose result is not known yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingTxn {
    pub(crate) txn: u64,
    pub(crate) body: Txn,
    /// Time of the first submission.
    pub(crate) sent_at: Timestamp,
    /// Time of the next submission.
    pub(crate) resubmit_at: Timestamp,
    /// Whether a submission ended without a result.
    pub(crate) in_doubt: bool,
    /// Number of submissions that have not ended.
    pub(crate) outstanding: u32,
    /// Whether a submission that ended may have taken effect.
    pub(crate) unconfirmed: bool,
}

impl TxnSubject {
    /// Returns the key of the row that a transaction is for.
    fn key(&self) -> RowKey {
        match self {
            Self::Upstream(u) => OwnershipRow::key(u),
            Self::Entry(e) => EntryRow::key(e),
        }
    }
}

impl PendingTxn {
    /// Returns whether a submission ended without a result.
    pub(crate) const fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Returns whether all submissions ended and none of them can have taken effect.
    pub(crate) const fn has_no_effect(&self) -> bool {
        self.outstanding == 0 && !self.unconfirmed
    }

    /// Returns whether a row at `revision` proves that no copy can take effect any more.
    fn is_superseded(&self, key: &RowKey, revision: Revision) -> bool {
        let check = self.body.checks.iter().find(|c| c.key == *key);
        check.is_some_and(|c| c.revision.is_none_or(|r| r < revision))
    }
}

/// Transactions whose result is not known yet.
#[derive(Debug, Default)]
pub(crate) struct PendingTxns {
    pending: BTreeMap<TxnSubject, PendingTxn>,
    last: u64,
}

impl PendingTxns {
    /// Returns the number of the next transaction. Rows store it as the sequence number of the
    /// write.
    pub(crate) const fn next_number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    pub(crate) fn has_pending_txn(&self, subject: &TxnSubject) -> bool {
        self.pending.contains_key(subject)
    }

    pub(crate) fn get(&self, subject: &TxnSubject) -> Option<&PendingTxn> {
        self.pending.get(subject)
    }

    pub(crate) fn start(&mut self, subject: TxnSubject, pending: PendingTxn) {
        debug_assert!(
            !self.has_pending_txn(&subject),
            "the subject has a pending transaction"
        );
        self.pending.insert(subject, pending);
    }

    /// Returns the transaction with this number.
    pub(crate) fn find(&self, txn: u64) -> Option<&PendingTxn> {
        self.pending.values().find(|p| p.txn == txn)
    }

    /// Ends the transaction with this number.
    pub(crate) fn complete(&mut self, txn: u64) {
        self.pending.retain(|_, p| p.txn != txn);
    }

    /// Records that a submission ended without a result, and schedules the next one for `again_at`.
    pub(crate) fn mark_in_doubt(&mut self, txn: u64, resubmit_at: Timestamp, unconfirmed: bool) {
        if let Some(p) = self.pending.values_mut().find(|p| p.txn == txn) {
            p.resubmit_at = resubmit_at;
            p.in_doubt = true;
            p.outstanding = p.outstanding.saturating_sub(1);
            p.unconfirmed |= unconfirmed;
        }
    }

    /// Ends the transaction whose subject's row has reached `revision`. Others that check the row
    /// are resubmitted at once if they are in doubt; the answer then shows their result.
    pub(crate) fn resolve(&mut self, now: Timestamp, key: &RowKey, revision: Revision) {
        self.pending
            .retain(|s, p| s.key() != *key || !p.is_superseded(key, revision));
        let superseded = |p: &&mut PendingTxn| p.in_doubt && p.is_superseded(key, revision);
        for p in self.pending.values_mut().filter(superseded) {
            p.resubmit_at = now;
        }
    }

    /// Iterates over the transactions that are due for resubmission.
    pub(crate) fn due(&mut self, now: Timestamp) -> impl Iterator<Item = &mut PendingTxn> {
        self.pending
            .values_mut()
            .filter(move |p| p.resubmit_at <= now)
    }
}
