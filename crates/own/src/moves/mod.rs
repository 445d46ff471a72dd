//! Removal of slices from an upstream.
//!
//! Planned moves are first recorded in one transaction on the rows of both sides, and transferred
//! afterwards (see [`transfer`](crate::transfer)). Slices of a failed upstream are recorded only
//! once
//! - no previous coordinating host of the upstream can still grant them,
//! - the standby has promised not to grant them under its reserved epoch, and
//! - the upstream's grant has expired.
//!
//! - `wishes`: proposed moves, and hot keys to carve out or fold back.
//! - `targets`: choice of the upstreams that receive slices.
//! - `rows`: rows of both sides of a move.
//! - `settle`: steps that follow once a removal is recorded.

mod rows;
mod settle;
mod targets;
mod wishes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ids::{SliceNo, Timestamp, UpstreamId};

use self::rows::moved;
use crate::commits::Subject;
use crate::held::{Going, Held, Removal, Why};
use crate::machine::Machine;
use crate::replica::Known;
use crate::transfer::is_unreleased;
use crate::{Action, OwnRow};

/// Maximum duration of a planned move before it is cancelled.
const LONGEST_WISH: Duration = Duration::from_secs(2);
/// Longest time for which requests are held for an upstream that is not reported as served.
const LONGEST_HOLD: Duration = Duration::from_millis(300);
/// Factor by which the sample from which the least loaded upstreams are chosen exceeds their
/// number.
const SAMPLE: usize = 4;

/// Slices to move, by the upstream that receives them.
type Plan = BTreeMap<UpstreamId, Vec<SliceNo>>;

impl Machine {
    /// Starts or advances the removal of slices.
    pub(crate) fn move_slices(&mut self, upstream: &UpstreamId, held: &mut Held) {
        if !held.recorded || held.handing.is_some() {
            return;
        }
        if self.is_busy(upstream) {
            self.give_up_unsent(upstream, held);
            self.loose(upstream, held);
            return;
        }
        if self.has_yielded(upstream, held) {
            return;
        }
        if held.removal.is_none() {
            self.unpark(upstream, held);
        }
        if held.removal.is_none() {
            self.start_removal(upstream, held);
        }
        self.leave_undrained(upstream, held);
        if self.is_hopeless(upstream, held) {
            self.cancel_removal(upstream, held);
            return;
        }
        if self.may_remove(upstream, held) {
            self.submit_removal(upstream, held);
        }
    }

    /// Resumes the requests of a planned move whose transaction takes too long. The upstream keeps
    /// the slices until they are released, whatever the result of the transaction.
    fn loose(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let subject = Subject::Upstream(upstream.clone());
        let Some(p) = self.commits.get(&subject) else {
            return;
        };
        let slow = p.is_in_doubt() || self.now.since(p.sent_at) >= self.cfg.loose_after;
        let planned = |r: &&mut Removal| r.why != Why::Lost && !r.loosed && r.txn == Some(p.txn);
        let Some(r) = held.removal.as_mut().filter(planned) else {
            return;
        };
        if !slow {
            return;
        }
        r.loosed = true;
        for hold in r.going.iter().map(|g| g.hold).collect::<Vec<_>>() {
            self.release(upstream, hold, upstream.clone(), self.me.clone());
        }
    }

    fn start_removal(&mut self, upstream: &UpstreamId, kept: &mut Held) {
        if self.leaving || !self.table_reachable {
            return;
        }
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let all = known.row.slices.iter().map(|a| a.slice);
        let (why, plan) = if self.is_lost(upstream, kept) {
            (Why::Lost, self.spread(upstream, all))
        } else if !kept.outgoing.is_empty() || !self.may_plan(upstream, kept) {
            return;
        } else if self.is_emptying(upstream, kept) {
            let here = all.filter(|s| !is_unreleased(&known.row, kept, *s));
            let batch = here.take(self.cfg.move_batch);
            (Why::Emptying, self.spread(upstream, batch))
        } else {
            (Why::Wish, self.take_wishes(upstream, kept, &known))
        };
        if plan.is_empty() {
            return;
        }
        let mut going = Vec::new();
        for (to, slices) in plan {
            going.extend(slices.into_iter().map(|s| (s, to.clone())));
        }
        going.sort();
        let going = going.into_iter().map(|(s, to)| {
            let generation = known.row.generation(s).map_or(0, |g| g + 1);
            self.hold(upstream, s, generation, to)
        });
        let going = going.collect();
        kept.removal = Some(Removal {
            why,
            since: self.now,
            going,
            end: None,
            txn: None,
            loosed: false,
        });
        self.want_scope(upstream, kept);
        self.tell_lease(upstream, kept);
    }

    /// Holds the requests of a slice that is to be moved.
    pub(crate) fn hold(
        &mut self,
        upstream: &UpstreamId,
        slice: SliceNo,
        generation: u64,
        to: UpstreamId,
    ) -> Going {
        let hold = self.number();
        self.out.push(Action::Hold {
            upstream: upstream.clone(),
            hold,
            slices: Some(Arc::from([slice])),
        });
        Going {
            slice,
            generation,
            hold,
            to,
            drained: false,
        }
    }

    /// Resumes the removal of a failed upstream's deferred slices.
    fn unpark(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let parked = std::mem::take(&mut held.parked);
        if parked.is_empty() {
            return;
        }
        if !self.is_lost(upstream, held) {
            for g in parked {
                self.release(upstream, g.hold, upstream.clone(), self.me.clone());
            }
            self.want_scope(upstream, held);
            return;
        }
        held.removal = Some(Removal {
            why: Why::Lost,
            since: self.now,
            going: parked,
            end: held.parked_end,
            txn: None,
            loosed: false,
        });
    }

    /// Returns whether an upstream has failed: its domain is declared lost, or its grant has
    /// expired and it is unresponsive.
    pub(crate) fn is_lost(&self, upstream: &UpstreamId, held: &Held) -> bool {
        if self.view.in_lost_domain(upstream) {
            return true;
        }
        let over = !self.checks_grants(upstream) || held.link.end() <= self.now;
        over && held.link.is_silent(self.roster.awake(), self.cfg.silence)
    }

    /// Returns whether a removal should be cancelled. A removal is not cancelled while its
    /// transaction is in doubt.
    fn is_hopeless(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let Some(r) = &held.removal else {
            return false;
        };
        match r.why {
            Why::Lost => !self.is_lost(upstream, held) && !held.link.is_silent_since(r.since),
            Why::Wish | Why::Emptying => {
                let long = self.now.since(r.since) >= LONGEST_WISH;
                long || r.loosed || !self.table_reachable || !self.may_plan(upstream, held)
            }
        }
    }

    /// Returns whether the state of the previous hosts allows a planned move to complete. Otherwise
    /// its slices would be held in vain.
    fn may_plan(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let checked = self.checks_grants(upstream) || self.view.is_idempotent(upstream);
        held.inherit.quiet_at() <= self.now && (checked || self.others_done(upstream, held))
    }

    /// Returns whether no request sent by previous hosts can start at an upstream that does not
    /// check grants: all of them confirmed that they stopped, and the upstream has replied for long
    /// enough since.
    fn others_done(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let Some(steady) = held.link.steady_since() else {
            return false;
        };
        let since = held.inherit.quiet_at().max(steady);
        held.inherit.waiting().is_empty() && since + self.finish(upstream) <= self.now
    }

    /// Drops slices that don't drain from a planned move, to limit how long other requests are
    /// held. The next attempt waits longer.
    fn leave_undrained(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let Some(r) = &mut held.removal else {
            return;
        };
        if r.is_revoking() || self.now.since(r.since) < held.patience {
            return;
        }
        if r.going.iter().all(|g| g.drained) {
            return;
        }
        let busy = r.going.extract_if(.., |g| !g.drained).collect::<Vec<_>>();
        let none = r.going.is_empty();
        held.patience = (held.patience * 2).min(LONGEST_WISH);
        for g in busy {
            self.release(upstream, g.hold, upstream.clone(), self.me.clone());
        }
        if none {
            held.removal = None;
        }
    }

    /// Cancels a removal; the upstream keeps the slices.
    pub(crate) fn cancel_removal(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let Some(r) = held.removal.take() else {
            return;
        };
        let going = r.going.into_iter().filter(|_| !r.loosed);
        for g in going.chain(held.parked.drain(..)) {
            self.release(upstream, g.hold, upstream.clone(), self.me.clone());
        }
        self.want_scope(upstream, held);
    }

    /// Returns whether a removal may be recorded.
    fn may_remove(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let Some(r) = &held.removal else {
            return false;
        };
        if !r.is_revoking() {
            return r.going.iter().all(|g| g.drained);
        }
        // The expiry is known only once the slices are not wanted any more.
        let retired = |g: &Going| self.is_retired(upstream, held, g.slice);
        r.end.is_some() && held.inherit.quiet_at() <= self.now && r.going.iter().all(retired)
    }

    /// Returns whether the upstream gave a slice up, or can't run requests of it any more.
    pub(crate) fn is_given_up(
        &self,
        upstream: &UpstreamId,
        held: &Held,
        lost: bool,
        end: Option<Timestamp>,
        drained: bool,
    ) -> bool {
        let over = end.is_some_and(|end| end <= self.now);
        if self.view.in_lost_domain(upstream) || (lost && held.link.is_refused()) {
            return over;
        }
        let harmless = self.view.is_idempotent(upstream);
        let finish = self.finish(upstream);
        let others = held.inherit.quiet_at();
        if self.checks_grants(upstream) {
            // A failed or undeclared upstream can't be queried.
            let unasked = lost || self.view.upstream(upstream).is_none();
            let own_done = drained || end.is_some_and(|end| end + finish <= self.now);
            // Previous hosts sent their last requests before their last grant expired.
            let rest = finish.saturating_sub(self.cfg.grant_ttl);
            let done = harmless || (own_done && others + rest <= self.now);
            return held.link.is_settled(held.epoch) || (unasked && over && done);
        }
        if harmless {
            return over && (drained || held.lease_end + finish <= self.now);
        }
        // Requests that were sent to a frozen upstream may still start there at any time, and a
        // frozen host may still send requests that it has queued.
        !lost && drained && self.others_done(upstream, held)
    }

    /// Returns how long a request may run at a responsive upstream.
    fn finish(&self, upstream: &UpstreamId) -> Duration {
        let deadline = Duration::from_millis(self.view.deadline_ms(upstream).into());
        deadline + self.cfg.deadline_margin
    }

    /// Defers slices that have to wait longer than the others, and returns whether any slice is
    /// ready.
    fn park(&self, upstream: &UpstreamId, held: &mut Held) -> bool {
        let Some(mut r) = held.removal.take() else {
            return false;
        };
        if !r.is_revoking() {
            held.removal = Some(r);
            return true;
        }
        let ready = |g: &Going| self.is_given_up(upstream, held, true, r.end, g.drained);
        let ready = r.going.iter().map(ready).collect::<Vec<_>>();
        let all = ready.iter().all(|r| *r);
        let any = ready.iter().any(|r| *r);
        if any && !all {
            let mut ready = ready.into_iter();
            let waits = r.going.extract_if(.., |_| ready.next() == Some(false));
            held.parked.extend(waits);
            held.parked_end = r.end;
        }
        held.removal = Some(r);
        any
    }

    fn submit_removal(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        if !self.park(upstream, held) || !self.retarget(upstream, held) {
            return;
        }
        let Some(r) = &held.removal else {
            return;
        };
        let targets = r.going.iter().filter_map(|g| {
            let target = self.replica.get(&g.to)?.clone();
            Some((g.clone(), target))
        });
        let targets = targets.collect::<Vec<_>>();
        debug_assert_eq!(targets.len(), r.going.len(), "targets are known");
        // The target's row of an earlier move may have arrived before this upstream's own.
        let behind = |(g, target): &(Going, Known)| g.to != *upstream && target.row.holds(g.slice);
        if targets.iter().any(behind) {
            return;
        }
        let close = matches!(r.why, Why::Lost | Why::Emptying);
        let planned = r.why != Why::Lost;
        let waits = self.unreleased(upstream, held);
        let subject = Subject::Upstream(upstream.clone());
        let submitted = self.commit(subject.clone(), |writer| {
            let mut from = OwnRow::clone(&known.row);
            from.writer = writer;
            from.open &= !close;
            from.incoming = waits;
            Some(moved(upstream, known.revision, from, &targets, planned))
        });
        if submitted && let Some(r) = &mut held.removal {
            r.txn = self.commits.get(&subject).map(|p| p.txn);
        }
    }

    /// Cancels a removal that cannot have been recorded, as its slices would be held until the
    /// table is reachable.
    fn give_up_unsent(&mut self, upstream: &UpstreamId, held: &mut Held) {
        let Some(r) = held.removal.as_ref().filter(|r| r.why != Why::Lost) else {
            return;
        };
        let subject = Subject::Upstream(upstream.clone());
        let Some(p) = self.commits.get(&subject) else {
            return;
        };
        if r.txn != Some(p.txn) {
            if !self.table_reachable {
                self.cancel_removal(upstream, held);
            }
            return;
        }
        if p.has_no_effect() {
            let txn = p.txn;
            self.commits.end(txn);
            held.wishes.clear();
            self.cancel_removal(upstream, held);
        }
    }

    /// Chooses other targets for slices whose target can't accept them any more, and returns
    /// whether all slices have one.
    fn retarget(&mut self, upstream: &UpstreamId, held: &mut Held) -> bool {
        let Some(mut r) = held.removal.take() else {
            return false;
        };
        let mut all = true;
        let named = r.going.iter().map(|g| g.to.clone());
        let named = named.collect::<BTreeSet<_>>().into_iter();
        let unfit = named.filter(|to| !self.is_target(upstream, to));
        let unfit = unfit.collect::<BTreeSet<_>>();
        for g in r.going.iter_mut().filter(|g| unfit.contains(&g.to)) {
            let plan = self.spread(upstream, std::iter::once(g.slice));
            match plan.into_keys().next() {
                Some(to) => g.to = to,
                None => all = false,
            }
        }
        held.removal = Some(r);
        all
    }
}
