//! Merging of pages of changes into the changes at one revision.

use std::collections::BTreeMap;

use ids::Revision;

use crate::{Changes, Row, RowKey};

/// Pages of changes, read in sequence.
///
/// Each page starts after the last whole transaction of the page before it. A row that
/// changes while the pages are read is included again, at its new revision, in a later page. So
/// the newest versions of all rows, over all pages, are the changes at the last page's revision.
#[derive(Debug, Default)]
pub(super) struct Pages {
    revision: Revision,
    rows: BTreeMap<RowKey, Row>,
}

impl Pages {
    /// Adds the next page.
    pub(super) fn add(&mut self, page: Changes) {
        self.revision = self.revision.max(page.revision);
        for row in page.rows {
            let key = row.key.clone();
            self.rows.insert(key, row);
        }
    }

    /// Returns the changes at the last page's revision.
    pub(super) fn join(self) -> Changes {
        let mut rows: Vec<Row> = self.rows.into_values().collect();
        // The sort is stable, so rows of one transaction stay sorted by key.
        rows.sort_by_key(|r| r.revision);
        Changes {
            revision: self.revision,
            rows,
        }
    }
}
