//! Returns of the store from copies, and transactions that arrive late or twice.

use std::sync::atomic::Ordering;

use ids::Revision;
use platform::{MemoryTable, Row, Txn, Write};

use super::store::{FleetStore, Shared, lock};

/// Rows of a [`FleetStore`] as of some moment, from which it can return.
#[derive(Debug, Clone)]
pub struct StoreCopy(MemoryTable);

/// Tables that operators and servers write. They write their rows again when the store has returned
/// from a copy.
const REWRITTEN_TABLES: [&str; 2] = ["op", "servers"];
/// Most transactions that are kept for [`FleetStore::commit_again`].
const MAX_KEPT_TXNS: usize = 200;
/// Rows of operators and servers that a store lost when it returned from a copy, as they were last
/// written.
#[derive(Debug, Clone, Default)]
#[must_use]
pub struct LostRows(Vec<Write>);

impl LostRows {
    /// Returns the rows of `now` that differ from those of `copy`.
    fn between(copy: &MemoryTable, now: &MemoryTable) -> Self {
        let changed = REWRITTEN_TABLES.iter().flat_map(|table| {
            let changes = now.changes(&format!("{table}/"), copy.revision());
            changes.rows.into_iter()
        });
        let write = |row: Row| Write {
            key: row.key,
            value: row.value,
        };
        Self(changed.map(write).collect())
    }
}

impl FleetStore {
    /// Returns a copy of the present rows.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.shared.table).clone())
    }

    /// Returns from `copy`: what was written since is gone, its revisions are given out again, and the
    /// era rises by one.
    ///
    /// Operators and servers have not written their rows again yet; see [`Self::rewrite_rows`].
    pub fn return_from(&self, copy: &StoreCopy) -> LostRows {
        let lost = {
            let mut table = lock(&self.shared.table);
            let lost = LostRows::between(&copy.0, &table);
            table.clone_from(&copy.0);
            self.shared.era.fetch_add(1, Ordering::SeqCst);
            lost
        };
        *lock(&self.shared.compacted_revision) = Revision::default();
        self.shared.commits.send_modify(|n| *n += 1);
        lost
    }

    /// Writes the rows of operators and servers that the store had lost, as these do after its return.
    pub fn rewrite_rows(&self, lost: LostRows) {
        for write in lost.0 {
            let txn = Txn {
                checks: Vec::new(),
                writes: vec![write],
            };
            self.shared.commit(&txn);
        }
    }

    /// Returns the store's era.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.shared.era.load(Ordering::SeqCst)
    }

    /// Performs the transactions that were set aside, if their conditions still hold.
    pub fn commit_delayed(&self) {
        let delayed = std::mem::take(&mut *lock(&self.shared.delayed));
        self.shared.commit_all(&delayed);
    }

    /// Performs the latest transactions of hosts once more, if their conditions hold again.
    pub fn commit_again(&self) {
        let committed: Vec<Txn> = lock(&self.shared.committed).iter().cloned().collect();
        self.shared.commit_all(&committed);
    }
}

impl Shared {
    /// Keeps a transaction that took effect.
    pub(super) fn keep(&self, txn: Txn) {
        let mut committed = lock(&self.committed);
        committed.push_back(txn);
        if committed.len() > MAX_KEPT_TXNS {
            committed.pop_front();
        }
    }

    /// Performs transactions in order; those whose conditions don't hold have no effect.
    fn commit_all(&self, txns: &[Txn]) {
        for txn in txns {
            self.commit(txn);
        }
    }
}
