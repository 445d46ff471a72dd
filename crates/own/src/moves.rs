//! Taking slices off an upstream.
//!
//! Slices that move as planned are recorded first, in one transaction on the rows of both sides,
//! and go from one to the other then (see [`transfer`](crate::transfer)). Slices of a lost
//! upstream are recorded only once
//! - nobody who coordinated the upstream before can still grant them,
//! - the deputy promised not to grant them on its reserve, and
//! - the upstream's grant is surely over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ids::{EntryId, Revision, SliceNo, Timestamp, UpstreamId};
use platform::Txn;

use crate::commits::Subject;
use crate::held::{Going, Held, Removal, SHORT_PATIENCE, Settling, Why};
use crate::machine::{Machine, check, write};
use crate::replica::Known;
use crate::roster::weight;
use crate::transfer::is_unreleased;
use crate::{Action, Assigned, Carved, HostRef, Incoming, OwnRow};

/// Longest time that a wished move may take before it is given up.
const LONGEST_WISH: Duration = Duration::from_secs(2);
/// Longest time for which requests are held for an upstream that is not said to serve.
const LONGEST_HOLD: Duration = Duration::from_millis(300);
/// From how many times more upstreams than are needed the emptiest are taken.
const SAMPLE: usize = 4;

/// Where slices should go.
type Plan = BTreeMap<UpstreamId, Vec<SliceNo>>;

impl Machine {
    pub(crate) fn on_wish(&mut self, entry: &EntryId, slice: SliceNo, to: UpstreamId) {
        let Some(upstream) = self.holder(entry, slice) else {
            return;
        };
        self.with_held(&upstream.clone(), |_, h| {
            if to == upstream {
                h.wishes.remove(&slice);
            } else {
                h.wishes.insert(slice, to);
            }
        });
    }

    /// Returns the upstream, coordinated by this host, that owns a slice.
    fn holder(&self, entry: &EntryId, slice: SliceNo) -> Option<UpstreamId> {
        let owns = |u: &&UpstreamId| {
            let known = self.replica.get(u);
            self.view.known(u).is_some_and(|d| d.entry == *entry)
                && known.is_some_and(|k| k.row.holds(slice))
        };
        self.held.keys().find(owns).cloned()
    }

    pub(crate) fn on_carve(&mut self, entry: &EntryId, base: SliceNo, hot: SliceNo) {
        debug_assert!(hot.is_hot(), "only hot keys are carved out");
        let Some(upstream) = self.holder(entry, base) else {
            return;
        };
        let Some(known) = self.replica.get(&upstream) else {
            return;
        };
        // Higher than any generation that the slice can have had before: each change of its
        // owner was a transaction of its own.
        let generation = known.revision.0 + 1;
        let known_hot = known.row.carved.iter().any(|c| c.hot == hot);
        if known_hot || self.is_on_its_way(&upstream, base) {
            return;
        }
        self.rewrite(&upstream, |row| {
            row.carved.push(Carved { hot, base });
            row.carved.sort();
            row.slices.push(Assigned {
                slice: hot,
                generation,
            });
            row.slices.sort();
        });
    }

    pub(crate) fn on_fold(&mut self, entry: &EntryId, hot: SliceNo) {
        let Some(upstream) = self.holder(entry, hot) else {
            return;
        };
        let known = self.replica.get(&upstream);
        let carved = known.and_then(|k| k.row.carved.iter().find(|c| c.hot == hot));
        let Some(base) = carved.map(|c| c.base) else {
            return;
        };
        if self.is_on_its_way(&upstream, hot) || self.is_on_its_way(&upstream, base) {
            return;
        }
        // The upstream has the key either way. A deputy that knows only the row before is asked
        // before the slice moves on.
        self.rewrite(&upstream, |row| {
            row.carved.retain(|c| c.hot != hot);
            row.slices.retain(|a| a.slice != hot);
        });
    }

    /// Tells whether a slice of an upstream of this host may still be another upstream's.
    fn is_on_its_way(&self, upstream: &UpstreamId, slice: SliceNo) -> bool {
        let held = self.held.get(upstream);
        let waits = held.map(|h| self.unreleased(upstream, h));
        waits.is_some_and(|w| w.iter().any(|i| i.slice == slice))
    }

    /// Starts and pursues the removal of slices that should go.
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

    /// Lets the requests of a planned move go on whose transaction takes long: the upstream has
    /// the slices until they are freed, whatever became of it.
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

    /// Holds the requests of a slice that is to go.
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

    /// Goes on with the slices of a lost upstream that had to wait.
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

    /// Tells whether an upstream is lost: its grant is over and it replies to nothing.
    pub(crate) fn is_lost(&self, upstream: &UpstreamId, held: &Held) -> bool {
        if self.view.in_lost_domain(upstream) {
            return true;
        }
        let over = !self.checks_grants(upstream) || held.link.end() <= self.now;
        over && held.link.is_silent(self.roster.awake(), self.cfg.silence)
    }

    /// Spreads slices over other upstreams of the same entry, the emptiest first.
    fn spread(&self, upstream: &UpstreamId, slices: impl Iterator<Item = SliceNo>) -> Plan {
        let mut plan = Plan::new();
        let mut loads = self.targets(upstream);
        for slice in slices {
            let Some((load, to)) = loads.iter_mut().min() else {
                break;
            };
            *load += 1;
            plan.entry(to.clone()).or_default().push(slice);
        }
        plan
    }

    /// Returns some upstreams that may take slices of this one, with how many they have.
    ///
    /// Each lost upstream takes its own sample, so that many lost at once don't all write the rows
    /// of the same few.
    fn targets(&self, upstream: &UpstreamId) -> Vec<(usize, UpstreamId)> {
        let Some(entry) = self.view.known(upstream).map(|d| &d.entry) else {
            return Vec::new();
        };
        let mut open = self.open_upstreams(entry);
        open.retain(|(u, _)| u != upstream && !self.is_known_unfit(u));
        open.sort_by_key(|(u, _)| weight(upstream.as_str(), u.as_str()));
        open.truncate(self.cfg.spread_targets * SAMPLE);
        let load = |(u, k): (UpstreamId, Known)| (k.row.slices.len(), u);
        let mut loads = open.into_iter().map(load).collect::<Vec<_>>();
        loads.sort();
        loads.truncate(self.cfg.spread_targets);
        loads
    }

    /// Tells whether this host, which coordinates an upstream, knows better than its row.
    fn is_known_unfit(&self, upstream: &UpstreamId) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|h| self.is_emptying(upstream, h) || !self.is_serving(upstream, h))
    }

    fn take_wishes(&self, upstream: &UpstreamId, held: &mut Held, known: &Known) -> Plan {
        let mut plan = Plan::new();
        let mut taken = 0;
        while let Some((slice, to)) = held.wishes.pop_first() {
            let here = known.row.holds(slice) && !is_unreleased(&known.row, held, slice);
            if here && self.is_target(upstream, &to) {
                plan.entry(to).or_default().push(slice);
                taken += 1;
            }
            if taken == self.cfg.move_batch {
                break;
            }
        }
        plan
    }

    fn is_target(&self, from: &UpstreamId, to: &UpstreamId) -> bool {
        let Some(entry) = self.view.known(from).map(|d| &d.entry) else {
            return false;
        };
        let mut open = self.open_upstreams(entry).into_iter();
        from != to && !self.is_known_unfit(to) && open.any(|(u, _)| u == *to)
    }

    /// Tells whether a removal should be given up; none is while its transaction is in doubt.
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

    /// Tells whether a planned move could go through, as far as those before this host go. Else
    /// its slices would be held for nothing.
    fn may_plan(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let checked = self.checks_grants(upstream) || self.view.is_idempotent(upstream);
        held.inherit.quiet_at() <= self.now && (checked || self.others_done(upstream, held))
    }

    /// Tells whether nothing that others sent can start at an upstream that does not check grants:
    /// each of them said that it stopped, and the upstream has answered for long enough since.
    fn others_done(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let Some(steady) = held.link.steady_since() else {
            return false;
        };
        let since = held.inherit.quiet_at().max(steady);
        held.inherit.waiting().is_empty() && since + self.finish(upstream) <= self.now
    }

    /// Lets slices of a planned move stay that don't drain: nobody waits for long for the requests
    /// of others. The next try waits for longer.
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

    /// Gives a removal up: the slices stay.
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

    /// Tells whether a removal may be recorded.
    fn may_remove(&self, upstream: &UpstreamId, held: &Held) -> bool {
        let Some(r) = &held.removal else {
            return false;
        };
        if !r.is_revoking() {
            return r.going.iter().all(|g| g.drained);
        }
        // The end is known from when the slices are not wanted any more.
        let retired = |g: &Going| self.is_retired(upstream, held, g.slice);
        r.end.is_some() && held.inherit.quiet_at() <= self.now && r.going.iter().all(retired)
    }

    /// Tells whether the upstream gave a slice up, or can't run requests of it any more.
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
            // One that is lost, or not declared any more, can't be asked.
            let unasked = lost || self.view.upstream(upstream).is_none();
            let own_done = drained || end.is_some_and(|end| end + finish <= self.now);
            // Others started their last ones before their last grant ended.
            let rest = finish.saturating_sub(self.cfg.grant_ttl);
            let done = harmless || (own_done && others + rest <= self.now);
            return held.link.is_settled(held.epoch) || (unasked && over && done);
        }
        if harmless {
            return over && (drained || held.lease_end + finish <= self.now);
        }
        // What was sent may still start at an upstream that froze, at any time; nor does anybody
        // know what a host has in hand that froze.
        !lost && drained && self.others_done(upstream, held)
    }

    /// Returns how long a request may run at an upstream that replies.
    fn finish(&self, upstream: &UpstreamId) -> Duration {
        let deadline = Duration::from_millis(self.view.deadline_ms(upstream).into());
        deadline + self.cfg.deadline_margin
    }

    /// Parks slices that have to wait for longer than the others; tells whether any is left.
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
        // A target's row of an earlier move may have come ahead of this upstream's own.
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

    /// Gives a removal up that surely was not recorded while the table can't be reached: its
    /// slices would be held until it can.
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

    /// Gives slices whose upstream can't take them any more another one.
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

    /// Ends a removal whose slices are gone from the row.
    pub(crate) fn after_row(&mut self, upstream: &UpstreamId) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let Some(mut held) = self.held.remove(upstream) else {
            return;
        };
        self.forget_stays(upstream, &mut held);
        let still = |r: &Removal| r.slices().iter().any(|s| known.row.holds(*s));
        if let Some(r) = held.removal.take_if(|r| !still(r)) {
            held.patience = SHORT_PATIENCE;
            if r.is_revoking() {
                for g in r.going {
                    self.settle_hold(upstream, g.hold, Some(g.slice), g.to, known.revision);
                }
            } else {
                self.start_outgoing(upstream, &mut held, r);
            }
        }
        self.held.insert(upstream.clone(), held);
    }

    /// Keeps requests held until `to` serves the row of this revision.
    pub(crate) fn settle_hold(
        &mut self,
        upstream: &UpstreamId,
        hold: u64,
        slice: Option<SliceNo>,
        to: UpstreamId,
        revision: Revision,
    ) {
        self.settling.push(Settling {
            upstream: upstream.clone(),
            hold,
            to,
            slice,
            revision,
            until: self.now + LONGEST_HOLD,
        });
    }

    /// Releases requests whose upstream serves now, by what this host itself knows.
    pub(crate) fn release_settled(&mut self) {
        let served = |s: &Settling| {
            let known = self.replica.get(&s.to);
            let newer = known.is_some_and(|k| k.revision >= s.revision);
            let held = self.held.get(&s.to);
            let came = |h: &Held| {
                let waits = self.unreleased(&s.to, h);
                waits.iter().all(|i| s.slice.is_some_and(|s| s != i.slice))
            };
            newer && held.is_some_and(|h| self.is_serving(&s.to, h) && came(h))
        };
        let done = |s: &Settling| self.now >= s.until || served(s);
        let (due, kept) = self.settling.iter().cloned().partition(done);
        self.settling = kept;
        self.release_all(due);
    }

    /// Releases requests that were held for a host which serves now.
    pub(crate) fn release_served(
        &mut self,
        to: &UpstreamId,
        by: &HostRef,
        revision: Revision,
        without: &[SliceNo],
    ) {
        let known = self.replica.get(to);
        let named = known.and_then(|k| k.row.coordinator.as_ref());
        if !named.is_some_and(|c| c.is(by)) {
            return;
        }
        let due = |s: &Settling| {
            let came = s.slice.is_none_or(|s| without.binary_search(&s).is_err());
            s.to == *to && s.revision <= revision && came
        };
        let (due, kept) = self.settling.iter().cloned().partition(due);
        self.settling = kept;
        self.release_all(due);
    }

    fn release_all(&mut self, due: Vec<Settling>) {
        for s in due {
            let known = self.replica.get(&s.to);
            let host = known.and_then(|k| k.row.coordinator.clone());
            let host = host.unwrap_or_else(|| self.me.clone());
            self.release(&s.upstream, s.hold, s.to, host);
        }
    }
}

/// Builds the transaction that moves slices off an upstream.
fn moved(
    upstream: &UpstreamId,
    revision: Revision,
    mut from: OwnRow,
    going: &[(Going, Known)],
    planned: bool,
) -> Txn {
    let mut checks = vec![check(upstream, Some(revision))];
    let mut rows = BTreeMap::<UpstreamId, OwnRow>::new();
    for (g, target) in going {
        let row = rows.entry(g.to.clone()).or_insert_with(|| {
            checks.push(check(&g.to, Some(target.revision)));
            OwnRow::clone(&target.row)
        });
        row.writer = from.writer.clone();
        take_slice(&mut from, row, g.slice);
        mark_incoming(upstream, &mut from, (&g.to, row), g.slice, planned);
    }
    let mut writes = vec![write(upstream, &from)];
    writes.extend(rows.iter().map(|(u, row)| write(u, row)));
    Txn { checks, writes }
}

/// Moves a slice, and the hot keys carved out of it, from one row to another.
fn take_slice(from: &mut OwnRow, to: &mut OwnRow, slice: SliceNo) {
    let taken = from.slices.extract_if(.., |a| a.slice == slice);
    to.slices.extend(taken.map(|a| Assigned {
        slice: a.slice,
        generation: a.generation + 1,
    }));
    to.slices.sort();
    let carved = from.carved.extract_if(.., |c| c.base == slice);
    to.carved.extend(carved);
    to.carved.sort();
}

/// Marks a slice that moves as not free yet: at the upstream that it leaves, or, if that one is
/// lost, at the one before if it was not free there.
fn mark_incoming(
    upstream: &UpstreamId,
    from: &mut OwnRow,
    (target, to): (&UpstreamId, &mut OwnRow),
    slice: SliceNo,
    planned: bool,
) {
    let before = from.incoming.extract_if(.., |i| i.slice == slice);
    let before = before.map(|i| i.from).last();
    let owner = if planned {
        Some(upstream.clone())
    } else {
        before
    };
    // One that never let go of it has it again.
    let owner = owner.filter(|o| o != target);
    to.incoming.retain(|i| i.slice != slice);
    to.incoming
        .extend(owner.map(|from| Incoming { slice, from }));
    to.incoming.sort();
}
