//! Removal of slices from an upstream.
//!
//! Planned moves are first recorded in one transaction on the rows of both sides, and transferred
//! afterwards (see [`transfer`](crate::transfer)). Slices of a failed upstream are recorded only
//! once
//! - no previous coordinating host of the upstream can still grant them,
//! - the standby has promised not to grant them under its reserved epoch, and
//! - the upstream's grant has expired.
//!
//! - `proposals`: proposed moves, and hot keys to carve out or fold back.
//! - `targets`: choice of the upstreams that receive slices.
//! - `rows`: rows of both sides of a move.
//! - `held_requests`: steps after a removal is recorded, and release of held requests.

mod held_requests;
mod proposals;
mod rows;
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ids::{SliceNo, Timestamp, UpstreamId};

use self::rows::move_txn;
use crate::coordinator::{CoordinatorState, Removal, RemovalReason, SliceMove};
use crate::machine::OwnershipMachine;
use crate::replica::KnownRow;
use crate::transactions::TxnSubject;
use crate::transfer::is_unreleased;
use crate::{Action, OwnershipRow};

/// Maximum duration of a planned move before it is cancelled.
const PLANNED_MOVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which requests are held for an upstream that is not reported as served.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of sampled upstreams for each one that is chosen from the sample as least loaded.
const SAMPLE_FACTOR: usize = 4;

/// Slices to move, by the upstream that receives them.
type MovePlan = BTreeMap<UpstreamId, Vec<SliceNo>>;

impl OwnershipMachine {
    /// Starts or advances the removal of slices.
    pub(crate) fn move_slices(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if !state.recorded || state.handover.is_some() {
            return;
        }
        if self.has_pending_txn(upstream) {
            self.cancel_unsent(upstream, state);
            self.resume_slow_removal(upstream, state);
            return;
        }
        if self.has_yielded(upstream, state) {
            return;
        }
        if state.removal.is_none() {
            self.resume_deferred(upstream, state);
        }
        if state.removal.is_none() {
            self.start_removal(upstream, state);
        }
        self.drop_undrained(upstream, state);
        if self.should_cancel(upstream, state) {
            self.cancel_removal(upstream, state);
            return;
        }
        if self.may_record_removal(upstream, state) {
            self.submit_removal(upstream, state);
        }
    }

    /// Resumes the requests of a planned move whose transaction takes too long. The upstream keeps
    /// the slices until they are released, whatever the result of the transaction.
    fn resume_slow_removal(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let subject = TxnSubject::Upstream(upstream.clone());
        let Some(p) = self.transactions.get(&subject) else {
            return;
        };
        let slow = p.is_in_doubt() || self.now.since(p.sent_at) >= self.cfg.move_hold_timeout;
        let planned = |r: &&mut Removal| {
            r.reason != RemovalReason::Failed && !r.requests_resumed && r.txn == Some(p.txn)
        };
        let Some(r) = state.removal.as_mut().filter(planned) else {
            return;
        };
        if !slow {
            return;
        }
        r.requests_resumed = true;
        for hold in r.moves.iter().map(|m| m.hold).collect::<Vec<_>>() {
            self.release_hold(upstream, hold, upstream.clone(), self.me.clone());
        }
    }

    fn start_removal(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if self.leaving || !self.table_reachable {
            return;
        }
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let all = known.row.slices.iter().map(|a| a.slice);
        let (reason, plan) = if self.has_failed(upstream, state) {
            (RemovalReason::Failed, self.plan_spread(upstream, all))
        } else if !state.outgoing.is_empty() || !self.may_complete_planned(upstream, state) {
            return;
        } else if self.must_be_empty(upstream, state) {
            let here = all.filter(|s| !is_unreleased(&known.row, state, *s));
            let batch = here.take(self.cfg.move_batch);
            (RemovalReason::Draining, self.plan_spread(upstream, batch))
        } else {
            (
                RemovalReason::Proposed,
                self.plan_proposed_moves(upstream, state, &known),
            )
        };
        if plan.is_empty() {
            return;
        }
        let mut moves = Vec::new();
        for (to, slices) in plan {
            moves.extend(slices.into_iter().map(|s| (s, to.clone())));
        }
        moves.sort();
        let moves = moves.into_iter().map(|(s, to)| {
            let generation = known.row.generation(s).map_or(0, |g| g + 1);
            self.hold_slice(upstream, s, generation, to)
        });
        let moves = moves.collect();
        state.removal = Some(Removal {
            reason,
            since: self.now,
            moves,
            expires_at: None,
            txn: None,
            requests_resumed: false,
        });
        self.update_scope(upstream, state);
        self.update_lease(upstream, state);
    }

    /// Holds the requests of a slice that is to be moved.
    pub(crate) fn hold_slice(
        &mut self,
        upstream: &UpstreamId,
        slice: SliceNo,
        generation: u64,
        to: UpstreamId,
    ) -> SliceMove {
        let hold = self.next_number();
        self.actions.push(Action::Hold {
            upstream: upstream.clone(),
            hold,
            slices: Some(Arc::from([slice])),
        });
        SliceMove {
            slice,
            generation,
            hold,
            to,
            drained: false,
        }
    }

    /// Resumes the removal of a failed upstream's deferred slices.
    fn resume_deferred(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let deferred = std::mem::take(&mut state.deferred);
        if deferred.is_empty() {
            return;
        }
        if !self.has_failed(upstream, state) {
            for m in deferred {
                self.release_hold(upstream, m.hold, upstream.clone(), self.me.clone());
            }
            self.update_scope(upstream, state);
            return;
        }
        state.removal = Some(Removal {
            reason: RemovalReason::Failed,
            since: self.now,
            moves: deferred,
            expires_at: state.deferred_expire_at,
            txn: None,
            requests_resumed: false,
        });
    }

    /// Returns whether an upstream has failed: its domain is declared lost, or its grant has
    /// expired and it is unresponsive.
    pub(crate) fn has_failed(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        if self.catalogue.in_lost_domain(upstream) {
            return true;
        }
        let expired = !self.checks_grants(upstream) || state.grant.expires_at() <= self.now;
        expired
            && state
                .grant
                .is_unresponsive(self.liveness.uptime(), self.cfg.heartbeat_timeout)
    }

    /// Returns whether a removal should be cancelled. A removal is not cancelled while its
    /// transaction is in doubt.
    fn should_cancel(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let Some(r) = &state.removal else {
            return false;
        };
        match r.reason {
            RemovalReason::Failed => {
                !self.has_failed(upstream, state) && !state.grant.has_no_reply_since(r.since)
            }
            RemovalReason::Proposed | RemovalReason::Draining => {
                let timed_out = self.now.since(r.since) >= PLANNED_MOVE_TIMEOUT;
                timed_out
                    || r.requests_resumed
                    || !self.table_reachable
                    || !self.may_complete_planned(upstream, state)
            }
        }
    }

    /// Returns whether the state of the previous hosts allows a planned move to complete. Otherwise
    /// its slices would be held in vain.
    fn may_complete_planned(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let checked = self.checks_grants(upstream) || self.catalogue.is_idempotent(upstream);
        state.previous_hosts.expires_at() <= self.now
            && (checked || self.previous_requests_done(upstream, state))
    }

    /// Returns whether no request sent by previous hosts can start at an upstream that does not
    /// check grants: all of them confirmed that they stopped, and the upstream has replied for long
    /// enough since.
    fn previous_requests_done(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let Some(responsive) = state.grant.responsive_since() else {
            return false;
        };
        let since = state.previous_hosts.expires_at().max(responsive);
        state.previous_hosts.unconfirmed().is_empty()
            && since + self.max_request_time(upstream) <= self.now
    }

    /// Drops slices that don't drain from a planned move, to limit how long other requests are
    /// held. The next attempt waits longer.
    fn drop_undrained(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let Some(r) = &mut state.removal else {
            return;
        };
        if r.is_revoking() || self.now.since(r.since) < state.drain_timeout {
            return;
        }
        if r.moves.iter().all(|m| m.drained) {
            return;
        }
        let undrained = r.moves.extract_if(.., |m| !m.drained).collect::<Vec<_>>();
        let is_empty = r.moves.is_empty();
        state.drain_timeout = (state.drain_timeout * 2).min(PLANNED_MOVE_TIMEOUT);
        for m in undrained {
            self.release_hold(upstream, m.hold, upstream.clone(), self.me.clone());
        }
        if is_empty {
            state.removal = None;
        }
    }

    /// Cancels a removal; the upstream keeps the slices.
    pub(crate) fn cancel_removal(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let Some(r) = state.removal.take() else {
            return;
        };
        let moves = r.moves.into_iter().filter(|_| !r.requests_resumed);
        for m in moves.chain(state.deferred.drain(..)) {
            self.release_hold(upstream, m.hold, upstream.clone(), self.me.clone());
        }
        self.update_scope(upstream, state);
    }

    /// Returns whether a removal may be recorded.
    fn may_record_removal(&self, upstream: &UpstreamId, state: &CoordinatorState) -> bool {
        let Some(r) = &state.removal else {
            return false;
        };
        if !r.is_revoking() {
            return r.moves.iter().all(|m| m.drained);
        }
        // The expiry is known only once the slices are not wanted any more.
        let promised = |m: &SliceMove| self.is_promised(upstream, state, m.slice);
        r.expires_at.is_some()
            && state.previous_hosts.expires_at() <= self.now
            && r.moves.iter().all(promised)
    }

    /// Returns whether the upstream gave a slice up, or can't run requests of it any more.
    pub(crate) fn has_relinquished(
        &self,
        upstream: &UpstreamId,
        state: &CoordinatorState,
        failed: bool,
        end: Option<Timestamp>,
        drained: bool,
    ) -> bool {
        let expired = end.is_some_and(|end| end <= self.now);
        if self.catalogue.in_lost_domain(upstream)
            || (failed && state.grant.is_connection_refused())
        {
            return expired;
        }
        let idempotent = self.catalogue.is_idempotent(upstream);
        let max_request_time = self.max_request_time(upstream);
        let previous_end = state.previous_hosts.expires_at();
        if self.checks_grants(upstream) {
            // A failed or undeclared upstream can't be queried.
            let cannot_query = failed || self.catalogue.upstream(upstream).is_none();
            let own_done = drained || end.is_some_and(|end| end + max_request_time <= self.now);
            // Previous hosts sent their last requests before their last grant expired.
            let remaining = max_request_time.saturating_sub(self.cfg.grant_ttl);
            let done = idempotent || (own_done && previous_end + remaining <= self.now);
            return state.grant.is_accepted_and_idle(state.epoch)
                || (cannot_query && expired && done);
        }
        if idempotent {
            return expired && (drained || state.lease_expires_at + max_request_time <= self.now);
        }
        // Requests that were sent to a frozen upstream may still start there at any time, and a
        // frozen host may still send requests that it has queued.
        !failed && drained && self.previous_requests_done(upstream, state)
    }

    /// Returns how long a request may run at a responsive upstream.
    fn max_request_time(&self, upstream: &UpstreamId) -> Duration {
        let deadline = Duration::from_millis(self.catalogue.deadline_ms(upstream).into());
        deadline + self.cfg.deadline_margin
    }

    /// Defers slices that have to wait longer than the others, and returns whether any slice is
    /// ready.
    fn defer_unready(&self, upstream: &UpstreamId, state: &mut CoordinatorState) -> bool {
        let Some(mut r) = state.removal.take() else {
            return false;
        };
        if !r.is_revoking() {
            state.removal = Some(r);
            return true;
        }
        let ready =
            |m: &SliceMove| self.has_relinquished(upstream, state, true, r.expires_at, m.drained);
        let ready = r.moves.iter().map(ready).collect::<Vec<_>>();
        let all = ready.iter().all(|r| *r);
        let any = ready.iter().any(|r| *r);
        if any && !all {
            let mut ready = ready.into_iter();
            let deferred = r.moves.extract_if(.., |_| ready.next() == Some(false));
            state.deferred.extend(deferred);
            state.deferred_expire_at = r.expires_at;
        }
        state.removal = Some(r);
        any
    }

    fn submit_removal(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        if !self.defer_unready(upstream, state) || !self.replace_targets(upstream, state) {
            return;
        }
        let Some(r) = &state.removal else {
            return;
        };
        let targets = r.moves.iter().filter_map(|m| {
            let target = self.replica.get(&m.to)?.clone();
            Some((m.clone(), target))
        });
        let targets = targets.collect::<Vec<_>>();
        debug_assert_eq!(targets.len(), r.moves.len(), "a target has no row");
        // The target's row of an earlier move may have arrived before this upstream's own.
        let behind =
            |(m, target): &(SliceMove, KnownRow)| m.to != *upstream && target.row.contains(m.slice);
        if targets.iter().any(behind) {
            return;
        }
        let close = matches!(r.reason, RemovalReason::Failed | RemovalReason::Draining);
        let planned = r.reason != RemovalReason::Failed;
        let unreleased = self.unreleased_incoming(upstream, state);
        let subject = TxnSubject::Upstream(upstream.clone());
        let submitted = self.submit(subject.clone(), |writer| {
            let mut from = OwnershipRow::clone(&known.row);
            from.writer = writer;
            from.open &= !close;
            from.incoming = unreleased;
            Some(move_txn(upstream, known.revision, from, &targets, planned))
        });
        if submitted && let Some(r) = &mut state.removal {
            r.txn = self.transactions.get(&subject).map(|p| p.txn);
        }
    }

    /// Cancels a removal that cannot have been recorded, as its slices would be held until the
    /// table is reachable.
    fn cancel_unsent(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let Some(r) = state
            .removal
            .as_ref()
            .filter(|r| r.reason != RemovalReason::Failed)
        else {
            return;
        };
        let subject = TxnSubject::Upstream(upstream.clone());
        let Some(p) = self.transactions.get(&subject) else {
            return;
        };
        if r.txn != Some(p.txn) {
            if !self.table_reachable {
                self.cancel_removal(upstream, state);
            }
            return;
        }
        if p.has_no_effect() {
            let txn = p.txn;
            self.transactions.complete(txn);
            state.proposed_moves.clear();
            self.cancel_removal(upstream, state);
        }
    }

    /// Chooses other targets for slices whose target can't accept them any more, and returns
    /// whether all slices have one.
    fn replace_targets(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) -> bool {
        let Some(mut r) = state.removal.take() else {
            return false;
        };
        let mut all = true;
        let named = r.moves.iter().map(|m| m.to.clone());
        let named = named.collect::<BTreeSet<_>>().into_iter();
        let unfit = named.filter(|to| !self.is_valid_target(upstream, to));
        let unfit = unfit.collect::<BTreeSet<_>>();
        for m in r.moves.iter_mut().filter(|m| unfit.contains(&m.to)) {
            let plan = self.plan_spread(upstream, std::iter::once(m.slice));
            match plan.into_keys().next() {
                Some(to) => m.to = to,
                None => all = false,
            }
        }
        state.removal = Some(r);
        all
    }
}
