//! Replicas of the store's tables, from which this host relays.

use std::collections::HashSet;

use ids::Revision;
use indexmap::IndexMap;
use platform::{Delta, Row, RowKey};

/// Most removed rows that are kept, so that a late read of an older state does not restore them:
/// more rows than a wave of restarts removes in the seconds by which a read may be late.
const REMOVED_KEPT: usize = 2_000;

/// One row of a replica; it has no value if it was removed.
#[derive(Debug, Clone)]
struct Copied {
    row: Row,
    /// Generation of the replica when this row changed.
    generation: u64,
}

/// A replica of one table.
#[derive(Debug, Default)]
pub struct Copy {
    rows: IndexMap<RowKey, Copied>,
    revision: Revision,
    generation: u64,
    /// Revision since which all removals are among the rows.
    whole_since: Revision,
}

impl Copy {
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
    /// `is_relevant` returns whether a row with a value matters; other rows are left out of the
    /// replica.
    pub fn take(&mut self, delta: Delta, mut is_news: impl FnMut(&Row) -> bool) -> Vec<Row> {
        let mut news = Vec::new();
        let changes = match delta {
            Delta::Changes(changes) => changes,
            Delta::Snapshot(all) => {
                if self.revision == Revision::default() {
                    self.whole_since = all.revision;
                }
                news.extend(self.drop_missing(&all.rows, all.revision));
                all
            }
        };
        for row in changes.rows {
            let known = self.rows.get(&row.key).map(|c| &c.row);
            if known.is_some_and(|known| known.revision >= row.revision) {
                continue;
            }
            let was_gone = known.is_some_and(|known| known.value.is_none());
            let matters = row.value.is_none() || is_news(&row);
            if !matters && !was_gone {
                continue;
            }
            self.put(row.clone());
            news.push(row);
        }
        self.revision = self.revision.max(changes.revision);
        news
    }

    /// Removes rows that a snapshot at `revision` lacks.
    fn drop_missing(&mut self, all: &[Row], revision: Revision) -> Vec<Row> {
        let there: HashSet<&RowKey> = all.iter().map(|row| &row.key).collect();
        let is_missing = |c: &&Copied| {
            let row = &c.row;
            row.value.is_some() && row.revision <= revision && !there.contains(&row.key)
        };
        let gone = |c: &Copied| Row {
            key: c.row.key.clone(),
            revision,
            value: None,
        };
        let missing: Vec<Row> = self.rows.values().filter(is_missing).map(gone).collect();
        for row in &missing {
            self.put(row.clone());
        }
        missing
    }

    fn put(&mut self, row: Row) {
        self.generation += 1;
        let generation = self.generation;
        let is_removed = row.value.is_none();
        self.rows
            .insert(row.key.clone(), Copied { row, generation });
        if is_removed {
            self.forget_removed();
        }
    }

    /// Drops the rows that were removed first, if there are too many.
    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|c| c.row.value.is_none());
        let mut generations: Vec<u64> = removed.map(|c| c.generation).collect();
        if generations.len() <= REMOVED_KEPT {
            return;
        }
        generations.sort_unstable();
        let oldest = generations[generations.len() - REMOVED_KEPT / 2];
        let is_kept = |c: &Copied| c.row.value.is_some() || c.generation >= oldest;
        let forgotten = self.rows.values().filter(|c| !is_kept(c));
        let newest = forgotten.map(|c| c.row.revision).max();
        self.whole_since = self.whole_since.max(newest.unwrap_or_default());
        self.rows.retain(|_, c| is_kept(c));
    }

    /// Returns the rows that changed after `generation`, including removed ones.
    pub fn since(&self, generation: u64) -> impl Iterator<Item = &Row> {
        self.rows
            .values()
            .filter(move |c| c.generation > generation)
            .map(|c| &c.row)
    }

    /// Returns the rows that changed after `revision`, including removed ones, for a host that is
    /// complete up to then; none if rows may be missing that were removed since.
    #[must_use]
    pub fn changed_since(&self, revision: Revision) -> Option<impl Iterator<Item = &Row>> {
        let is_known = revision >= self.whole_since && revision != Revision::default();
        is_known.then(|| {
            let rows = self.rows.values().map(|c| &c.row);
            rows.filter(move |row| row.revision > revision)
        })
    }
}
