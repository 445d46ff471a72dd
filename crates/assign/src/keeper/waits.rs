//! How long keys that move wait for their owner.

use std::time::Duration;

use ids::Timestamp;

use super::Keeper;
use crate::live::{Former, Live};
use crate::row::Piece;
use crate::unserved::Moving;

/// Time that a former owner which answers takes to finish its work on keys that it gives up: about a
/// service time of today's upstreams.
const RELEASE_USUAL: Duration = Duration::from_millis(250);
/// Time without an answer to a release after which none is expected: longer than the longest work of
/// today's upstreams.
const RELEASE_LONGEST: Duration = Duration::from_secs(1);
/// Releases without an answer after which none is expected.
const UNANSWERED: u32 = 2;
/// Time within which earlier granting hosts that are there have said that they stop: two heartbeats. Until
/// then callers are told as if they had.
const EARLIER_SAY: Duration = Duration::from_secs(1);
/// Time for a grant to a new owner.
const GRANT_USUAL: Duration = Duration::from_millis(20);
/// Most pieces that are told of, so that all fit into a datagram; requests on the keys of others are
/// sent to their owner, which turns them away.
const TOLD_MAX: usize = 64;

impl Keeper {
    /// Returns the pieces whose owner can't serve them yet, if this host grants.
    #[must_use]
    pub fn moving(&self, now: Timestamp) -> Option<Moving> {
        let known = self.known.as_ref().filter(|_| self.is_granting(now))?;
        let pieces = known.row.pieces.iter().zip(&known.live);
        let waiting = pieces.filter(|(piece, live)| self.waits(now, piece, live));
        let told = waiting.map(|(piece, live)| {
            let left = live.former.iter().map(|f| self.time_left(now, f)).max();
            (piece.range.first, piece.fence, left.unwrap_or(GRANT_USUAL))
        });
        Some(Moving {
            revision: known.revision,
            pieces: told.take(TOLD_MAX).collect(),
        })
    }

    /// Tells whether nobody serves the keys of a piece.
    ///
    /// What an earlier granting host had granted holds on for a while.
    fn waits(&self, now: Timestamp, piece: &Piece, live: &Live) -> bool {
        let (began, fence) = self.began;
        let may_still_hold = piece.fence <= fence && now.since(began) < self.cfg.hold;
        !piece.former.is_empty() && !live.granted && !may_still_hold
    }

    /// Returns how long until a former owner surely holds nothing and the next one can be granted.
    fn time_left(&self, now: Timestamp, former: &Former) -> Duration {
        if former.free {
            return GRANT_USUAL;
        }
        let (began, _) = self.began;
        let outlast = self.cfg.outlast();
        let others_until = if now.since(began) < EARLIER_SAY {
            self.others_until.min(began + outlast)
        } else {
            self.others_until
        };
        let over = (former.last_grant.sent + outlast).max(others_until);
        let waited_out = over.since(now) + GRANT_USUAL;
        let is_overdue = former.releasing && now.since(former.release_sent) > RELEASE_LONGEST;
        let is_silent = former.unanswered >= UNANSWERED || is_overdue;
        if is_silent || self.health.contains_key(&former.upstream) {
            waited_out
        } else {
            waited_out.min(RELEASE_USUAL)
        }
    }
}
