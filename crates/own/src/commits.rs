//! Transactions that a machine submits, and what follows from their results.

use bytes::Bytes;
use ids::{Revision, Timestamp, UpstreamId};
use platform::{Check, Row, RowKey, Txn, Write};

use crate::machine::OwnershipMachine;
use crate::transactions::{PendingTxn, TxnSubject};
use crate::{Action, CommitOutcome, OwnershipRow, WriteId};

impl OwnershipMachine {
    pub(crate) fn on_committed(&mut self, txn: u64, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Done(revision) => self.on_done(txn, revision),
            CommitOutcome::Conflict(rows) => {
                for row in &rows {
                    self.on_table_row(row);
                }
                // The transaction ends only after the rows are handled, as an earlier copy may have
                // written some of them.
                self.transactions.complete(txn);
                self.advance_all();
            }
            CommitOutcome::Unreachable | CommitOutcome::Unconfirmed => {
                let unconfirmed = outcome == CommitOutcome::Unconfirmed;
                let resubmit_at = self.now + self.cfg.commit_retry_delay;
                self.transactions
                    .mark_in_doubt(txn, resubmit_at, unconfirmed);
                self.complete_handovers_without_table();
            }
        }
    }

    fn on_done(&mut self, txn: u64, revision: Revision) {
        let Some(pending) = self.transactions.find(txn).cloned() else {
            return;
        };
        for write in pending.body.writes {
            let row = Row {
                key: write.key,
                revision,
                value: write.value,
            };
            self.on_table_row(&row);
            self.relay_written_row(&row);
        }
        // The transaction was committed after it was first sent, and only because no other row had
        // intervened. Which of its copies it was is not known.
        self.transactions.complete(txn);
        self.record_commit_evidence(&pending.body.checks, pending.sent_at);
    }

    fn record_commit_evidence(&mut self, checks: &[Check], sent_at: Timestamp) {
        for (u, state) in &mut self.coordinated {
            let key = OwnershipRow::key(u);
            if state.recorded && checks.iter().any(|c| c.key == key) {
                state.evidence = state.evidence.max(Some(sent_at));
            }
        }
        self.advance_all();
    }

    /// Submits a transaction for `subject` unless one is pending.
    pub(crate) fn submit(
        &mut self,
        subject: TxnSubject,
        build: impl FnOnce(WriteId) -> Option<Txn>,
    ) -> bool {
        if self.transactions.has_pending_txn(&subject) {
            return false;
        }
        let txn = self.transactions.next_number();
        let writer = WriteId {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            seq: txn,
        };
        let Some(body) = build(writer) else {
            return false;
        };
        let pending = PendingTxn {
            txn,
            body: body.clone(),
            sent_at: self.now,
            resubmit_at: self.now + self.cfg.commit_timeout,
            in_doubt: false,
            outstanding: 1,
            unconfirmed: false,
        };
        self.transactions.start(subject, pending);
        self.actions.push(Action::Commit { txn, body });
        true
    }

    pub(crate) fn resubmit_due(&mut self) {
        for p in self.transactions.due(self.now) {
            p.resubmit_at = self.now + self.cfg.commit_timeout;
            p.outstanding += 1;
            self.actions.push(Action::Commit {
                txn: p.txn,
                body: p.body.clone(),
            });
        }
    }

    pub(crate) fn has_pending_txn(&self, upstream: &UpstreamId) -> bool {
        self.transactions
            .has_pending_txn(&TxnSubject::Upstream(upstream.clone()))
    }

    /// Rewrites the row of an upstream with `change`, provided that the known revision is current.
    pub(crate) fn rewrite_row(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut OwnershipRow),
    ) -> bool {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return false;
        };
        let subject = TxnSubject::Upstream(upstream.clone());
        self.submit(subject, |writer| {
            let mut row = OwnershipRow::clone(&known.row);
            change(&mut row);
            row.writer = writer;
            Some(Txn {
                checks: vec![row_check(upstream, Some(known.revision))],
                writes: vec![row_write(upstream, &row)],
            })
        })
    }
}

/// Builds the check that an upstream's row has this revision.
pub(crate) fn row_check(upstream: &UpstreamId, revision: Option<Revision>) -> Check {
    Check {
        key: OwnershipRow::key(upstream),
        revision,
    }
}

/// Builds the write of an upstream's row.
pub(crate) fn row_write(upstream: &UpstreamId, row: &OwnershipRow) -> Write {
    debug_assert!(row.slices.is_sorted_by(|a, b| a.slice < b.slice));
    value_write(OwnershipRow::key(upstream), row.encode())
}

/// Builds the write of a row with this value.
pub(crate) fn value_write(key: RowKey, value: Vec<u8>) -> Write {
    Write {
        key,
        value: Some(Bytes::from(value)),
    }
}
