//! Moves of ranges to other owners.

use std::collections::HashSet;
use std::time::Duration;

use ids::{Timestamp, UpstreamId};

use super::PartitionLeaseManager;
use crate::grant_call::{Action, LeaseContext};
use crate::grant_state::GrantState;
use crate::plan::PlannedUpstream;

/// Time between two plans while an owner of keys is draining, because its requests wait for the
/// move.
const DRAINING_PLAN_EVERY: Duration = Duration::from_millis(100);
/// Failed renewals after which an upstream may count as unresponsive.
const UNRESPONSIVE_FAILURES: u32 = 2;
/// Time between two writes that only remove previous owners.
///
/// A host that takes over releases them once more, which costs milliseconds; a write costs a read
/// at each host.
const CLEANUP_EVERY: Duration = Duration::from_secs(5);
/// Delay before keys get a higher fencing token because their owner's process may have changed.
///
/// An owner that has restarted usually registers within this time, and its keys then move at once.
const RAISE_DELAY: Duration = Duration::from_millis(500);

impl PartitionLeaseManager {
    /// Returns whether [`Self::plan`] may have something to do; its arguments are costly to
    /// compute.
    #[must_use]
    pub fn may_plan(&self, now: Timestamp) -> bool {
        let planned_at = self.next_plan_at - self.cfg.plan_every;
        self.is_granting(now)
            && self.is_recovered()
            && self.pending_commit.is_none()
            && now >= planned_at + DRAINING_PLAN_EVERY
    }

    /// Raises fencing tokens that need it; moves ranges if a plan is due or an owner of keys is
    /// draining.
    pub fn plan(&mut self, now: Timestamp, ctx: &mut LeaseContext<'_>, actions: &mut Vec<Action>) {
        self.raise_tokens(now, actions);
        let is_due = now >= self.next_plan_at || self.has_draining_owner(ctx.ready);
        if is_due && ctx.may_move && self.may_plan(now) {
            self.next_plan_at = now + self.cfg.plan_every;
            self.move_ranges(now, ctx, actions);
        }
    }

    /// Issues a higher fencing token for keys whose owner may run in another process than the one
    /// that was granted them.
    fn raise_tokens(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(known) = self.known.as_ref().filter(|_| self.may_plan(now)) else {
            return;
        };
        let is_due = |state: &GrantState| {
            let since = state.needs_token_since;
            since.is_some_and(|since| now.since(since) >= RAISE_DELAY)
        };
        if !known.states.iter().any(is_due) {
            return;
        }
        let (mut row, revision) = (known.row.clone(), known.revision);
        row.raise_tokens(|i| is_due(&known.states[i]));
        self.propose(now, row, Some(revision), actions);
    }

    /// Returns whether an owner of keys is not among the upstreams that accept requests.
    fn has_draining_owner(&self, ready: &[PlannedUpstream]) -> bool {
        let ready: HashSet<&UpstreamId> = ready.iter().map(|u| &u.id).collect();
        self.row()
            .is_some_and(|row| row.ranges.iter().any(|p| !ready.contains(&p.owner)))
    }

    fn move_ranges(
        &mut self,
        now: Timestamp,
        ctx: &mut LeaseContext<'_>,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = &self.known else {
            return;
        };
        let destinations: Vec<PlannedUpstream> = ctx
            .ready
            .iter()
            .filter(|u| !self.retired.contains(&u.id) && !self.is_unresponsive(now, &u.id))
            .filter(|u| !self.is_releasing(&u.id))
            .cloned()
            .collect();
        // A host that reaches only few upstreams is probably cut off itself.
        if destinations.len() * 2 < ctx.ready.len() || destinations.is_empty() {
            return;
        }
        ctx.loads.sum_up(now);
        let mut row = known.row.clone();
        let token = row.highest_token.next();
        let mut moves = self.planner.evacuate(&row, ctx.loads, &destinations);
        if moves.is_empty() {
            moves = self.planner.balance(&row, ctx.loads, &destinations);
        }
        let previous_ended = now >= self.previous_grants_until && !row.previous_granters.is_empty();
        let is_free = |s: &GrantState| !s.previous_owners.is_empty() && s.is_free();
        let has_settled = known.states.iter().any(is_free) && now >= self.next_cleanup_at;
        // The next granting host waits for previous granters again as long as the row names them.
        let cleans_up = has_settled || previous_ended;
        let adds_replaced_by = !previous_ended && self.write_replaced_by(&mut row);
        if moves.is_empty() && !cleans_up && !adds_replaced_by {
            return;
        }
        self.next_cleanup_at = now + CLEANUP_EVERY;
        for (owned, state) in row.ranges.iter_mut().zip(&known.states) {
            owned.previous_owners.retain(|up| {
                let previous = state.previous_owners.iter().find(|o| o.upstream == *up);
                previous.is_none_or(|o| !o.free)
            });
        }
        if previous_ended {
            row.previous_granters.clear();
        }
        for m in moves {
            row.reassign(m.range, &m.from, &m.to, token);
        }
        row.merge_adjacent();
        let revision = known.revision;
        self.propose(now, row, Some(revision), actions);
    }

    fn is_unresponsive(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        self.health.get(upstream).is_some_and(|h| {
            h.failures >= UNRESPONSIVE_FAILURES
                && now.since(h.failing_since) >= self.cfg.owner_timeout
        })
    }
}
