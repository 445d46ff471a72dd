//! Replicas of the store's tables, from which this host relays.
//!
//! Revisions rise also when the store returns from an older copy, as they begin with its era. The
//! first read of an era is a snapshot, in which all rows are new, and replaces all that the copy lacks.

use std::collections::HashSet;

use ids::Revision;
use indexmap::IndexMap;
use platform::{Delta, Row, RowKey};

/// Most removed rows that are kept, so that a late read of an older state does not restore them:
/// more rows than a wave of restarts removes in the seconds by which a read may be late.
const MAX_REMOVED_ROWS: usize = 2_000;

/// What a row with a value that was read says to a host that knows an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowNews {
    /// Something that matters.
    Changed,
    /// Nothing new.
    Unchanged,
    /// It is older than what is known, or can't be used.
    Outdated,
}

impl From<bool> for RowNews {
    /// Returns the news of a row that either matters or is of no use.
    fn from(has_changed: bool) -> Self {
        if has_changed {
            Self::Changed
        } else {
            Self::Outdated
        }
    }
}

/// One row of a replica; it has no value if it was removed.
#[derive(Debug, Clone)]
struct ReplicaRow {
    row: Row,
    /// Generation of the replica when this row changed.
    generation: u64,
}

/// A replica of one table.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: IndexMap<RowKey, ReplicaRow>,
    revision: Revision,
    generation: u64,
    /// Revision since which all removals are among the rows.
    removals_complete_since: Revision,
}

impl TableReplica {
    /// Returns the revision of the store up to which the replica is complete.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the generation: the number of changes to the replica.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies a read; returns the changed rows, including removed ones.
    ///
    /// `news_of` returns what a row with a value says; rows that don't matter are left out of the
    /// replica. One that says nothing new in a later era replaces the one that is known: a host whose own
    /// first read of that era lacked the row is sent only rows of that era.
    pub fn apply<N: Into<RowNews>>(
        &mut self,
        delta: Delta,
        mut news_of: impl FnMut(&Row) -> N,
    ) -> Vec<Row> {
        let mut applied = Vec::new();
        let (Delta::Changes(read) | Delta::Snapshot(read)) = &delta;
        let is_new_era = self.revision.era() < read.revision.era();
        let changes = match delta {
            // Changes after a revision of an earlier era may leave out rows.
            Delta::Changes(_) if is_new_era && self.revision != Revision::default() => {
                return applied;
            }
            Delta::Changes(changes) => changes,
            Delta::Snapshot(all) => {
                if is_new_era || self.revision == Revision::default() {
                    self.removals_complete_since = all.revision;
                }
                applied.extend(self.remove_missing(&all.rows, all.revision));
                all
            }
        };
        for row in changes.rows {
            let known = self.rows.get(&row.key).map(|c| &c.row);
            if known.is_some_and(|known| known.revision >= row.revision) {
                continue;
            }
            let was_removed = known.is_some_and(|known| known.value.is_none());
            let is_of_later_era =
                known.is_some_and(|known| known.revision.era() < row.revision.era());
            let news = match row.value {
                Some(_) => news_of(&row).into(),
                None => RowNews::Changed,
            };
            match news {
                RowNews::Unchanged if is_of_later_era && !was_removed => self.insert_row(row),
                RowNews::Unchanged | RowNews::Outdated if !was_removed => {}
                _ => {
                    self.insert_row(row.clone());
                    applied.push(row);
                }
            }
        }
        self.revision = self.revision.max(changes.revision);
        applied
    }

    /// Removes rows that a snapshot at `revision` lacks.
    fn remove_missing(&mut self, all: &[Row], revision: Revision) -> Vec<Row> {
        let present: HashSet<&RowKey> = all.iter().map(|row| &row.key).collect();
        let is_missing = |c: &&ReplicaRow| {
            let row = &c.row;
            row.value.is_some() && row.revision <= revision && !present.contains(&row.key)
        };
        let removal = |c: &ReplicaRow| Row {
            key: c.row.key.clone(),
            revision,
            value: None,
        };
        let missing: Vec<Row> = self.rows.values().filter(is_missing).map(removal).collect();
        for row in &missing {
            self.insert_row(row.clone());
        }
        missing
    }

    fn insert_row(&mut self, row: Row) {
        self.generation += 1;
        let generation = self.generation;
        let is_removed = row.value.is_none();
        self.rows
            .insert(row.key.clone(), ReplicaRow { row, generation });
        if is_removed {
            self.drop_oldest_removed();
        }
    }

    /// Drops the rows that were removed first, if there are too many.
    fn drop_oldest_removed(&mut self) {
        let removed = self.rows.values().filter(|c| c.row.value.is_none());
        let mut generations: Vec<u64> = removed.map(|c| c.generation).collect();
        if generations.len() <= MAX_REMOVED_ROWS {
            return;
        }
        generations.sort_unstable();
        let oldest = generations[generations.len() - MAX_REMOVED_ROWS / 2];
        let keeps = |c: &ReplicaRow| c.row.value.is_some() || c.generation >= oldest;
        let dropped = self.rows.values().filter(|c| !keeps(c));
        let newest = dropped.map(|c| c.row.revision).max();
        self.removals_complete_since = self.removals_complete_since.max(newest.unwrap_or_default());
        self.rows.retain(|_, c| keeps(c));
    }

    /// Returns the rows that changed after `generation`, including removed ones.
    pub fn since_generation(&self, generation: u64) -> impl Iterator<Item = &Row> {
        self.rows
            .values()
            .filter(move |c| c.generation > generation)
            .map(|c| &c.row)
    }

    /// Returns the rows that changed after `revision`, including removed ones, for a host that is
    /// complete up to then; none if rows may be missing that were removed since.
    #[must_use]
    pub fn changed_since(&self, revision: Revision) -> Option<impl Iterator<Item = &Row>> {
        let has_all_removals =
            revision >= self.removals_complete_since && revision != Revision::default();
        has_all_removals.then(|| {
            let rows = self.rows.values().map(|c| &c.row);
            rows.filter(move |row| row.revision > revision)
        })
    }
}
