//! Moves of ranges to other owners.

use std::collections::HashSet;
use std::time::Duration;

use ids::{Timestamp, UpstreamId};

use super::Keeper;
use crate::live::Live;
use crate::order::{Action, Standing};
use crate::plan::UpstreamView;

/// Time between two plans while an owner of keys leaves: its requests wait for the move.
const URGENT_EVERY: Duration = Duration::from_millis(100);
/// Renewals that may fail before their upstream counts as silent.
const FAILURES_OF_SILENT: u32 = 2;
/// Time between two writes that only strike out former owners.
///
/// Whoever takes over releases them once more, which costs milliseconds; a write costs a read at
/// each host.
const TIDY_EVERY: Duration = Duration::from_secs(5);

impl Keeper {
    /// Tells whether [`Self::plan`] may have something to do: what it needs costs some work.
    #[must_use]
    pub fn may_plan(&self, now: Timestamp) -> bool {
        let planned_at = self.plan_at - self.cfg.plan_every;
        self.is_granting(now) && self.commit.is_none() && now >= planned_at + URGENT_EVERY
    }

    /// Moves ranges, if it is time to or an owner of keys leaves.
    pub fn plan(&mut self, now: Timestamp, standing: &mut Standing<'_>, actions: &mut Vec<Action>) {
        let is_due = now >= self.plan_at || self.has_leaving(standing.ready);
        if is_due && standing.may_move && self.may_plan(now) {
            self.plan_at = now + self.cfg.plan_every;
            self.move_ranges(now, standing, actions);
        }
    }

    /// Tells whether an owner of keys is not among those that take requests.
    fn has_leaving(&self, ready: &[UpstreamView]) -> bool {
        let ready: HashSet<&UpstreamId> = ready.iter().map(|u| &u.id).collect();
        self.row()
            .is_some_and(|row| row.pieces.iter().any(|p| !ready.contains(&p.owner)))
    }

    fn move_ranges(
        &mut self,
        now: Timestamp,
        standing: &mut Standing<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = &self.known else {
            return;
        };
        let takers: Vec<UpstreamView> = standing
            .ready
            .iter()
            .filter(|u| !self.gone.contains(&u.id) && !self.is_silent(now, &u.id))
            .filter(|u| !self.is_being_told(&u.id))
            .cloned()
            .collect();
        // A host that hears only few upstreams is likely cut off itself.
        if takers.len() * 2 < standing.ready.len() || takers.is_empty() {
            return;
        }
        standing.loads.sum_up(now);
        let mut row = known.row.clone();
        let fence = row.fence.next();
        let mut moves = self.planner.evacuate(&row, standing.loads, &takers);
        if moves.is_empty() {
            moves = self.planner.balance(&row, standing.loads, &takers);
        }
        let are_quiet = now >= self.others_until && !row.earlier.is_empty();
        let is_free = |l: &Live| !l.former.is_empty() && l.is_free();
        let has_settled = known.live.iter().any(is_free) && now >= self.tidy_at;
        // Whoever takes over next waits for earlier granting hosts anew as long as the row names them.
        let tidies = has_settled || are_quiet;
        let tells = !are_quiet && self.note_replaced(&mut row);
        if moves.is_empty() && !tidies && !tells {
            return;
        }
        self.tidy_at = now + TIDY_EVERY;
        for (piece, live) in row.pieces.iter_mut().zip(&known.live) {
            piece.former.retain(|up| {
                let former = live.former.iter().find(|f| f.upstream == *up);
                former.is_none_or(|f| !f.free)
            });
        }
        if are_quiet {
            row.earlier.clear();
        }
        for m in moves {
            row.give(m.range, &m.from, &m.to, fence);
        }
        row.join_neighbours();
        let revision = known.revision;
        self.propose(now, row, Some(revision), actions);
    }

    fn is_silent(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        self.health.get(upstream).is_some_and(|h| {
            h.failures >= FAILURES_OF_SILENT && now.since(h.failing_since) >= self.cfg.silence
        })
    }
}
