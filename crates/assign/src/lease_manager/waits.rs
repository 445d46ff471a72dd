//! How long keys that are moving wait for their new owner.

use std::time::Duration;

use ids::Timestamp;

use super::PartitionLeaseManager;
use crate::grant_state::{GrantState, PreviousOwner};
use crate::row::OwnedRange;
use crate::unserved::MovingRanges;

/// Usual time in which a responsive previous owner ends its requests on keys that it gives up:
/// about a service time of current upstreams.
const USUAL_RELEASE_TIME: Duration = Duration::from_millis(250);
/// Time without an answer to a release after which none is expected: longer than the longest
/// request of current upstreams.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(1);
/// Unanswered releases after which no answer is expected.
pub(super) const MAX_UNANSWERED: u32 = 2;
/// Time within which previous granting hosts that are up have reported that they stopped: two
/// heartbeats. Until then the waits reported to callers assume that they have.
const PREVIOUS_GRANTERS_REPORT_TIME: Duration = Duration::from_secs(1);
/// Usual time of a grant to a new owner.
const USUAL_GRANT_TIME: Duration = Duration::from_millis(20);
/// Most ranges in one report, so that it fits into a datagram. Requests on keys of further ranges
/// are sent to their owner, which rejects them.
const MAX_REPORTED_RANGES: usize = 64;

impl PartitionLeaseManager {
    /// Returns the ranges whose owner can't serve them yet, if this host grants.
    #[must_use]
    pub fn moving_ranges(&self, now: Timestamp) -> Option<MovingRanges> {
        let known = self.known.as_ref().filter(|_| self.is_granting(now))?;
        if let Some(at) = self.waits_until() {
            return Some(self.waiting_ranges(now, at));
        }
        let ranges = known.row.ranges.iter().zip(&known.states);
        let unserved = ranges.filter(|(owned, state)| self.is_unserved(now, owned, state));
        let reported = unserved.map(|(owned, state)| {
            let left = state
                .previous_owners
                .iter()
                .map(|o| self.time_left(now, o))
                .max();
            (
                owned.range.first,
                owned.token,
                left.unwrap_or(USUAL_GRANT_TIME),
            )
        });
        Some(MovingRanges {
            revision: known.revision,
            ranges: reported.take(MAX_REPORTED_RANGES).collect(),
        })
    }

    /// Returns all ranges as unserved until `at`, as soon as grants of the previous granting host have
    /// expired.
    fn waiting_ranges(&self, now: Timestamp, at: Timestamp) -> MovingRanges {
        let (began, _) = self.granting_since;
        let may_still_hold = self.may_grant(now) || now.since(began) < self.cfg.grant_ttl;
        let known = self.known.iter().filter(|_| !may_still_hold);
        let ranges = known.flat_map(|k| &k.row.ranges);
        let left = at.since(now) + USUAL_GRANT_TIME;
        let unserved = ranges.map(|owned| (owned.range.first, owned.token, left));
        MovingRanges {
            revision: self.revision().unwrap_or_default(),
            ranges: unserved.take(MAX_REPORTED_RANGES).collect(),
        }
    }

    /// Returns whether no upstream serves the keys of a range.
    ///
    /// Grants of the previous granting host stay valid for a while.
    fn is_unserved(&self, now: Timestamp, owned: &OwnedRange, state: &GrantState) -> bool {
        let (began, token) = self.granting_since;
        let may_still_hold = owned.token <= token && now.since(began) < self.cfg.grant_ttl;
        !owned.previous_owners.is_empty() && !state.granted && !may_still_hold
    }

    /// Returns the time until a previous owner can hold no keys for certain and the next owner is
    /// granted.
    fn time_left(&self, now: Timestamp, previous: &PreviousOwner) -> Duration {
        if previous.free {
            return USUAL_GRANT_TIME;
        }
        let (began, _) = self.granting_since;
        let max_age = self.cfg.max_grant_age();
        let previous_grants_until = if now.since(began) < PREVIOUS_GRANTERS_REPORT_TIME {
            self.previous_grants_until.min(began + max_age)
        } else {
            self.previous_grants_until
        };
        let expires_at = (previous.last_grant.sent + max_age).max(previous_grants_until);
        let until_expiry = expires_at.since(now) + USUAL_GRANT_TIME;
        let is_overdue =
            previous.releasing && now.since(previous.release_sent_at) > MAX_RELEASE_TIME;
        let is_unresponsive = previous.unanswered >= MAX_UNANSWERED || is_overdue;
        if is_unresponsive || self.health.contains_key(&previous.upstream) {
            until_expiry
        } else {
            until_expiry.min(USUAL_RELEASE_TIME)
        }
    }
}
