//! The quarantined requests, which are sent to no upstream for now, and the contents of their row.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use direct::{Quarantine, RequestFingerprint};
use ids::{Revision, Timestamp};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Most requests in the row, which must stay within the 64 KiB that today's store accepts; the
/// earliest are left out.
const MAX_ROW_REQUESTS: usize = 1_000;

/// The quarantined requests, as known to this host and to the store.
#[derive(Debug, Default)]
pub struct QuarantineState {
    pub(super) in_force: Arc<Quarantine>,
    /// Requests that this host quarantined and has not seen in the store yet.
    pub(super) unrecorded: IndexSet<RequestFingerprint>,
    /// The store's row, and the revision at which it was written.
    pub(super) row: Option<(Revision, QuarantineRow)>,
    /// Requests that this host quarantined, whether the store has them or not.
    own: IndexSet<RequestFingerprint>,
    /// Wakes the task that writes the row.
    pub(super) wake: Rc<Notify>,
}

impl QuarantineState {
    /// Returns the quarantined requests.
    #[must_use]
    pub fn in_force(&self) -> Arc<Quarantine> {
        Arc::clone(&self.in_force)
    }

    /// Schedules a request that this host quarantined to be written to the store.
    pub fn record(&mut self, fingerprint: RequestFingerprint) {
        self.unrecorded.insert(fingerprint);
        self.own.insert(fingerprint);
        self.wake.notify_one();
    }

    /// Schedules all requests that this host quarantined to be written again, unless the store still
    /// has them: it may have lost what was written last.
    pub(super) fn record_again(&mut self) {
        self.unrecorded.extend(self.own.iter().copied());
        if !self.unrecorded.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Records that the store has no row.
    pub(super) fn row_removed(&mut self) {
        self.row = None;
    }

    /// Drops requests that the store has or whose quarantine has ended; returns the rest, with the
    /// remaining times.
    pub(super) fn unrecorded_requests(
        &mut self,
        now: Timestamp,
    ) -> Vec<(RequestFingerprint, Duration)> {
        let (row, in_force) = (&self.row, &self.in_force);
        let is_recorded = |fingerprint| {
            row.as_ref()
                .is_some_and(|(_, row)| row.contains(fingerprint))
        };
        self.unrecorded
            .retain(|c| !is_recorded(*c) && in_force.remaining(now, *c).is_some());
        self.own.retain(|c| in_force.remaining(now, *c).is_some());
        let left = |c: &RequestFingerprint| Some((*c, in_force.remaining(now, *c)?));
        self.unrecorded.iter().filter_map(left).collect()
    }
}

/// The row of quarantined requests in the store.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineRow {
    pub(super) requests: Vec<QuarantineEntry>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(super) struct QuarantineEntry {
    #[serde(rename = "content")]
    pub(super) fingerprint: u64,
    /// Second of the store's clock at which the quarantine ends.
    pub(super) until_s: f64,
}

impl QuarantineRow {
    /// Returns a row with `quarantined` and with the entries of this one that have not ended by the
    /// store's clock.
    pub(super) fn merged(
        &self,
        quarantined: &[(RequestFingerprint, Duration)],
        clock_s: f64,
    ) -> Self {
        let mut all: IndexMap<u64, f64> = IndexMap::new();
        let left = self.requests.iter().filter(|e| e.until_s > clock_s);
        all.extend(left.map(|e| (e.fingerprint, e.until_s)));
        for (fingerprint, left) in quarantined {
            let until_s = clock_s + left.as_secs_f64();
            all.entry(fingerprint.0).or_insert(until_s);
        }
        let excess = all.len().saturating_sub(MAX_ROW_REQUESTS);
        let entry = |(fingerprint, until_s)| QuarantineEntry {
            fingerprint,
            until_s,
        };
        Self {
            requests: all.into_iter().skip(excess).map(entry).collect(),
        }
    }

    fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.requests.iter().any(|e| e.fingerprint == fingerprint.0)
    }
}
