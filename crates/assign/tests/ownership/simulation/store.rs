//! A simulated store that may return from an earlier copy of itself.

use std::collections::BTreeMap;
use std::time::Duration;

use assign::{CommitOutcome, PartitionRow};
use ids::{Revision, StoreEra};

/// Rows of the store: one for each era.
#[derive(Debug, Clone, Default)]
struct Rows {
    /// Number of transactions.
    version: u64,
    rows: BTreeMap<StoreEra, (PartitionRow, Revision)>,
}

/// A commit that arrived at the store.
#[derive(Debug, Clone)]
pub(super) struct StoreCommit {
    pub(super) row: PartitionRow,
    pub(super) expected: Option<Revision>,
    /// The era in which the host decided on it.
    pub(super) era: StoreEra,
}

#[derive(Debug, Default)]
pub(super) struct SimulatedStore {
    pub(super) era: StoreEra,
    now: Rows,
    /// The rows after each commit.
    history: Vec<(Duration, Rows)>,
    committed: Vec<StoreCommit>,
}

impl SimulatedStore {
    /// Returns whether it has no row of any era.
    pub(super) fn is_empty(&self) -> bool {
        self.now.rows.is_empty()
    }

    /// Returns the row of the present era.
    pub(super) fn row(&self) -> Option<&(PartitionRow, Revision)> {
        self.now.rows.get(&self.era)
    }

    /// Returns the row of the latest era that has one.
    pub(super) fn latest_row(&self) -> Option<&(PartitionRow, Revision)> {
        self.now.rows.values().next_back()
    }

    /// Commits if the row of the commit's era has the expected version. Versions are given out again
    /// after a return, so that the condition may hold by accident.
    pub(super) fn commit(&mut self, at: Duration, commit: StoreCommit) -> CommitOutcome {
        let present = self.now.rows.get(&commit.era);
        let version = |r: Revision| r.version();
        let holds = present.map(|(_, r)| version(*r)) == commit.expected.map(version);
        let is_past = commit.era != self.era;
        if !holds {
            let present = present.filter(|_| !is_past);
            return CommitOutcome::Conflict(present.cloned());
        }
        self.now.version += 1;
        let revision = Revision::in_era(commit.era, self.now.version).expect("small numbers");
        let row = (commit.row.clone(), revision);
        self.now.rows.insert(commit.era, row);
        if commit.expected.is_none() {
            self.now.rows.retain(|era, _| *era >= commit.era);
        }
        self.history.push((at, self.now.clone()));
        self.committed.push(commit);
        if is_past {
            return CommitOutcome::Conflict(None);
        }
        CommitOutcome::Committed(revision)
    }

    /// Returns from the copy that was made at `at`; returns the commits of the lost history.
    pub(super) fn return_from_copy(&mut self, at: Duration) -> Vec<StoreCommit> {
        self.history.retain(|(made, _)| *made <= at);
        self.now = self
            .history
            .last()
            .map(|(_, rows)| rows.clone())
            .unwrap_or_default();
        self.era = self.era.next();
        std::mem::take(&mut self.committed)
    }
}
