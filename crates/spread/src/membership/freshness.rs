//! How fresh the replica is.

use std::time::Duration;

use ids::{Revision, Timestamp};

use super::event::Evidence;
use super::peer::at;
use crate::Prefix;

/// Pieces of evidence that may wait for the replica to catch up.
const KEPT_PENDING: usize = 8;

/// How fresh the replica is, by readings of the own clock.
#[derive(Debug, Default)]
pub(super) struct Knowledge {
    /// When a read began that what is held counts on, for each prefix.
    read: [Option<Timestamp>; 2],
    /// When a host of the own domain last read the table.
    reach: Option<Timestamp>,
    /// What was last reported of the table.
    reachable: Option<bool>,
    evidence: Option<Evidence>,
    /// Evidence of revisions that the replica is not complete to.
    pending: Vec<Evidence>,
}

impl Knowledge {
    pub(super) const fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    pub(super) fn age(&self, now: Timestamp, prefix: Prefix) -> Option<Duration> {
        self.read[at(prefix)].map(|read| now.since(read))
    }

    /// Notes that all that was committed before `began` is held.
    pub(super) fn read(&mut self, prefix: Prefix, began: Timestamp) {
        let read = &mut self.read[at(prefix)];
        *read = (*read).max(Some(began));
    }

    pub(super) const fn reach(&self) -> Option<Timestamp> {
        self.reach
    }

    /// Notes that a host of the own domain read the table.
    pub(super) fn reached(&mut self, when: Timestamp) {
        self.reach = self.reach.max(Some(when));
    }

    /// Tells once whether the table turned reachable or unreachable.
    pub(super) fn turn_reachable(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        bound: Duration,
    ) -> Option<bool> {
        let last = self.reach.unwrap_or(since);
        let reachable = now.since(last) < bound;
        if self.reachable.unwrap_or(true) == reachable {
            return None;
        }
        self.reachable = Some(reachable);
        Some(reachable)
    }

    /// Takes evidence, which counts once the replica is complete to its revision.
    pub(super) fn offer(&mut self, evidence: Evidence) {
        if self.pending.len() >= KEPT_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(evidence);
    }

    /// Makes the freshest evidence count that a replica complete to `own` bears out; gives it if
    /// it is fresher than what counted before.
    pub(super) fn settle(&mut self, own: Revision) -> Option<Evidence> {
        let borne_out = self.pending.iter().filter(|e| e.revision <= own);
        let best = borne_out.copied().max_by_key(|e| e.as_of);
        self.pending.retain(|e| e.revision > own);
        let best = best.filter(|b| self.evidence.is_none_or(|e| e.as_of < b.as_of))?;
        self.evidence = Some(best);
        self.read(Prefix::Own, best.as_of);
        Some(best)
    }
}
