//! State machine of the ownership protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use ids::{DomainId, EntryId, Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use platform::{Check, Row, RowKey, Txn, Write};
use wire::own::{Body, PeerMessage};

use crate::commits::{Commits, Pending, Subject};
use crate::held::{Handed, Held, Settling};
use crate::peers::Mark;
use crate::replica::{Known, Replica, Taken};
use crate::roster::Roster;
use crate::transfer::is_unreleased;
use crate::view::View;
use crate::{
    Action, CommitOutcome, EntryRow, Event, HostRef, OwnChange, OwnRow, OwnSettings, Stop, Writer,
};

/// State machine of one host's part in the ownership protocol: handles `(now, event)` and pushes
/// actions.
///
/// The machine is level-triggered: an event updates its state, and the actions follow from the
/// state alone. Lost or repeated messages and transactions without a known result need no rollback.
#[derive(Debug)]
pub struct Machine {
    pub(crate) cfg: OwnSettings,
    pub(crate) me: HostRef,
    pub(crate) now: Timestamp,
    pub(crate) out: Vec<Action>,
    /// Messages to this host itself.
    pub(crate) loopback: Vec<Body>,
    pub(crate) roster: Roster,
    pub(crate) replica: Replica,
    pub(crate) view: View,
    pub(crate) commits: Commits,
    /// Upstreams that this host coordinates.
    pub(crate) held: BTreeMap<UpstreamId, Held>,
    /// Handovers that this host completed, of upstreams that are not served yet.
    pub(crate) handed: BTreeMap<UpstreamId, Handed>,
    /// Local time at which everything that this host granted to an upstream it coordinates no
    /// longer has expired.
    pub(crate) past: BTreeMap<UpstreamId, Timestamp>,
    /// Slices that this host, as standby, promised not to grant.
    pub(crate) marks: BTreeMap<UpstreamId, Mark>,
    pub(crate) settling: Vec<Settling>,
    /// Declared upstreams without a row.
    pub(crate) rowless: BTreeSet<UpstreamId>,
    /// Time since which an entry waits for the assignment of its slices.
    pub(crate) unassigned: BTreeMap<EntryId, Timestamp>,
    /// Time since which a domain has had no live host.
    pub(crate) deserted: BTreeMap<DomainId, Timestamp>,
    pub(crate) table_stamp: Option<Timestamp>,
    pub(crate) table_reachable: bool,
    pub(crate) watch_at: Timestamp,
    pub(crate) scan_at: Timestamp,
    pub(crate) leaving: bool,
    pub(crate) leaving_since: Option<Timestamp>,
    pub(crate) left: bool,
    last_number: u64,
}

impl Machine {
    /// Creates the machine of one incarnation of a host.
    #[must_use]
    pub fn new(settings: OwnSettings, me: HostRef) -> Self {
        debug_assert_eq!(settings.check(), Ok(()), "settings contradict each other");
        Self {
            cfg: settings,
            roster: Roster::new(me.clone()),
            me,
            now: Timestamp::ZERO,
            out: Vec::new(),
            loopback: Vec::new(),
            replica: Replica::default(),
            view: View::default(),
            commits: Commits::default(),
            held: BTreeMap::new(),
            handed: BTreeMap::new(),
            past: BTreeMap::new(),
            marks: BTreeMap::new(),
            settling: Vec::new(),
            rowless: BTreeSet::new(),
            unassigned: BTreeMap::new(),
            deserted: BTreeMap::new(),
            table_stamp: None,
            table_reachable: true,
            watch_at: Timestamp::ZERO,
            scan_at: Timestamp::ZERO,
            leaving: false,
            leaving_since: None,
            left: false,
            last_number: 0,
        }
    }

    /// Returns the identity and addresses of this host.
    #[must_use]
    pub const fn me(&self) -> &HostRef {
        &self.me
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &OwnSettings {
        &self.cfg
    }

    /// Returns the row of an upstream in this host's replica, and its revision.
    #[must_use]
    pub fn row(&self, upstream: &UpstreamId) -> Option<(Revision, Arc<OwnRow>)> {
        let known = self.replica.get(upstream)?;
        Some((known.revision, Arc::clone(&known.row)))
    }

    /// Iterates over the upstreams that this host coordinates, with its epochs.
    pub fn coordinated(&self) -> impl Iterator<Item = (&UpstreamId, Epoch)> {
        self.held.iter().map(|(u, h)| (u, h.epoch))
    }

    /// Handles an event that occurred at `now` and pushes the resulting actions onto `actions`.
    ///
    /// `now` must not be lower than in the previous step.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.roster.runs(now, self.cfg.pause());
        self.take(event);
        while let Some(body) = self.loopback.pop() {
            let me = self.me.clone();
            self.on_body(&me, &body);
        }
        actions.append(&mut self.out);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Row(row) => self.on_table_row(&row),
            Event::TableEvidence { as_of } => {
                self.table_stamp = self.table_stamp.max(Some(as_of));
                self.advance_all();
            }
            Event::TableReachable(reachable) => self.table_reachable = reachable,
            Event::Committed { txn, outcome } => self.on_committed(txn, outcome),
            Event::GrantReply {
                upstream,
                attempt,
                reply,
            } => self.with_held(&upstream, |m, h| {
                h.link
                    .reply(m.now, m.roster.awake(), &m.cfg, attempt, &reply);
            }),
            Event::Healthy { upstream, .. } => self.with_held(&upstream, |m, h| {
                h.link.healthy(m.now, m.roster.awake());
            }),
            Event::NoReply {
                upstream, refused, ..
            } => self.with_held(&upstream, |_, h| h.link.no_reply(refused)),
            Event::Peer {
                from,
                echo_of,
                leaving,
            } => self.on_peer(&from, echo_of, leaving),
            Event::PeerGone(host) => {
                self.roster.gone(&host);
                self.take_over_from(&host);
                self.advance_all();
            }
            Event::PeerMessage(message) => self.on_message(&message),
            Event::Catalogue(catalogue) => self.on_catalogue(catalogue),
            Event::Drained { upstream, hold } => {
                self.with_held(&upstream, |_, h| h.drained(hold));
            }
            Event::Draining { upstream, draining } => {
                self.with_held(&upstream, |_, h| h.draining = draining);
            }
            Event::MoveWish { entry, slice, to } => self.on_wish(&entry, slice, to),
            Event::CarveWish { entry, base, hot } => self.on_carve(&entry, base, hot),
            Event::FoldWish { entry, hot } => self.on_fold(&entry, hot),
            Event::Leave => {
                self.leaving = true;
                self.leaving_since = Some(self.now);
                self.advance_all();
            }
        }
    }

    fn tick(&mut self) {
        self.submit_again();
        self.take_over_silent();
        self.advance_all();
        self.ask_partners();
        self.hand_over_without_table();
        self.pass_on_handed();
        self.release_settled();
        if self.now >= self.scan_at {
            self.scan_at = self.now + self.cfg.watch_every;
            self.scan();
        }
        self.check_left();
    }

    fn check_left(&mut self) {
        let idle = self.held.is_empty() && self.handed.is_empty() && self.settling.is_empty();
        if self.leaving && !self.left && idle {
            self.left = true;
            self.out.push(Action::Left);
        }
    }

    fn on_catalogue(&mut self, catalogue: Arc<catalogue::Catalogue>) {
        self.view.take(catalogue);
        let declared = self.view.upstreams().map(|(u, _)| u);
        let rowless = declared.filter(|u| self.replica.get(u).is_none());
        self.rowless = rowless.cloned().collect();
        self.advance_all();
    }

    fn on_peer(&mut self, from: &HostRef, echo_of: Option<Timestamp>, leaving: bool) {
        self.heard(from, echo_of.is_some());
        self.roster.leaving(from, leaving);
        if let Some(echo) = echo_of {
            self.roster.echoed(from, echo);
        }
    }

    /// Records contact with a host.
    pub(crate) fn heard(&mut self, from: &HostRef, direct: bool) {
        self.roster.heard(from, direct);
        if !direct {
            return;
        }
        for h in self.held.values_mut() {
            h.inherit.heard(self.now, &self.cfg, from);
        }
    }

    /// Returns a new number for an attempt, a hold or a request.
    pub(crate) const fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Applies `change` to the state of a coordinated upstream, and advances it.
    pub(crate) fn with_held(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut Self, &mut Held),
    ) {
        let Some(mut held) = self.held.remove(upstream) else {
            return;
        };
        change(self, &mut held);
        self.held.insert(upstream.clone(), held);
        self.advance(upstream);
    }

    pub(crate) fn advance_all(&mut self) {
        let all = self.held.keys().cloned().collect::<Vec<_>>();
        for u in &all {
            self.advance(u);
        }
    }

    /// Takes the actions that are due for a coordinated upstream.
    pub(crate) fn advance(&mut self, upstream: &UpstreamId) {
        let Some(mut held) = self.held.remove(upstream) else {
            return;
        };
        self.refresh_evidence(upstream, &mut held);
        self.want_scope(upstream, &mut held);
        self.tell_lease(upstream, &mut held);
        self.renew(upstream, &mut held);
        self.ask_predecessors(upstream, &mut held);
        self.tell_serving(upstream, &mut held);
        self.keep_row(upstream, &mut held);
        self.ask_free(upstream, &mut held);
        self.move_slices(upstream, &mut held);
        self.ask_to_retire(upstream, &mut held);
        self.free_outgoing(upstream, &mut held);
        self.hand_over(upstream, &mut held);
        self.held.insert(upstream.clone(), held);
    }

    fn on_table_row(&mut self, row: &Row) {
        // A row that can't be decoded is ignored, and its revision is not recorded.
        match OwnChange::parse(row) {
            Ok(OwnChange::Upstream(u, revision, Some(content))) => {
                self.on_row(&u, revision, &content);
            }
            Ok(OwnChange::Entry(e, revision, Some(content))) => {
                self.on_entry_row(e, revision, content);
            }
            Ok(OwnChange::Upstream(_, _, None) | OwnChange::Entry(_, _, None)) | Err(_) => {}
        }
    }

    fn on_entry_row(&mut self, entry: EntryId, revision: Revision, row: EntryRow) {
        self.commits
            .settle(self.now, &EntryRow::key(&entry), revision);
        self.unassigned.remove(&entry);
        self.replica.take_entry(entry, revision, row);
    }

    /// Handles a row of an upstream, from the table or a peer.
    pub(crate) fn on_row(&mut self, upstream: &UpstreamId, revision: Revision, row: &Arc<OwnRow>) {
        let taken = self.replica.take(
            self.now,
            self.roster.awake(),
            &self.me,
            upstream,
            revision,
            Arc::clone(row),
        );
        let Taken::News(before) = taken else {
            return;
        };
        self.rowless.remove(upstream);
        self.commits
            .settle(self.now, &OwnRow::key(upstream), revision);
        let mine = row.coordinator.as_ref().is_some_and(|c| c.is(&self.me));
        match (mine, self.held.contains_key(upstream)) {
            (true, true) => self.keep(upstream, row, before.as_ref()),
            (true, false) => self.adopt(upstream, row, before.as_ref()),
            (false, true) => self.check_replaced(upstream, row),
            (false, false) => {}
        }
        self.release_settled();
    }

    /// Starts to coordinate an upstream whose row names this host.
    fn adopt(&mut self, upstream: &UpstreamId, row: &OwnRow, before: Option<&Known>) {
        let handed = self.handed.get(upstream);
        if handed.is_some_and(|h| h.epoch > row.epoch) {
            return;
        }
        let mut held = Held::new(self.now, self.roster.awake(), row.epoch, true);
        self.inherit(&mut held, row, before);
        self.held.insert(upstream.clone(), held);
        self.advance(upstream);
    }

    /// Continues to coordinate an upstream whose row changed.
    fn keep(&mut self, upstream: &UpstreamId, row: &OwnRow, before: Option<&Known>) {
        let Some(mut held) = self.held.remove(upstream) else {
            return;
        };
        if row.epoch >= held.epoch {
            held.epoch = row.epoch;
            held.recorded = true;
            held.yielded = false;
        }
        if before.is_none_or(|b| b.row.epoch != row.epoch) {
            self.inherit(&mut held, row, before);
        }
        self.held.insert(upstream.clone(), held);
        self.after_row(upstream);
        self.advance(upstream);
    }

    /// Records the hosts of the previous row that may still act.
    fn inherit(&self, held: &mut Held, row: &OwnRow, before: Option<&Known>) {
        let Some(before) = before else {
            let others = row.unsettled.iter().filter(|h| !h.is(&self.me));
            held.inherit.add(self.now, &self.cfg, others.cloned());
            return;
        };
        held.older_since = before.since;
        let both = [&before.row.coordinator, &before.row.deputy];
        let named = both.into_iter().flatten().chain(&row.unsettled);
        let others = named.filter(|h| !h.is(&self.me));
        held.inherit.add(self.now, &self.cfg, others.cloned());
    }

    /// Stops coordinating an upstream if its row names another host.
    fn check_replaced(&mut self, upstream: &UpstreamId, row: &OwnRow) {
        let Some(held) = self.held.get(upstream) else {
            return;
        };
        let reserve = row.deputy.as_ref().is_some_and(|d| d.is(&self.me));
        if !held.recorded && reserve && row.reserved() == held.epoch {
            self.advance(upstream);
            return;
        }
        let handing = held.handing.as_ref().map(|h| h.to.clone());
        if handing.is_some_and(|to| row.coordinator.as_ref().is_some_and(|c| c.is(&to))) {
            self.handed_over(upstream, row.epoch);
            return;
        }
        self.drop_held(upstream, Stop::Replaced);
    }

    /// Stops coordinating an upstream.
    pub(crate) fn drop_held(&mut self, upstream: &UpstreamId, why: Stop) {
        let Some(held) = self.held.remove(upstream) else {
            return;
        };
        self.past.insert(upstream.clone(), held.end());
        self.out.push(Action::StopUpstream {
            upstream: upstream.clone(),
            why,
        });
        for hold in held.holds() {
            self.settle_hold(upstream, hold, None, upstream.clone(), Revision(0));
        }
    }

    fn on_committed(&mut self, txn: u64, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Done(revision) => self.on_done(txn, revision),
            CommitOutcome::Conflict(rows) => {
                for row in &rows {
                    self.on_table_row(row);
                }
                // The transaction ends only after the rows are handled, as an earlier copy may have
                // written some of them.
                self.commits.end(txn);
                self.advance_all();
            }
            CommitOutcome::Unreachable | CommitOutcome::Unconfirmed => {
                let unconfirmed = outcome == CommitOutcome::Unconfirmed;
                let again_at = self.now + self.cfg.commit_retry;
                self.commits.doubt(txn, again_at, unconfirmed);
                self.hand_over_without_table();
            }
        }
    }

    fn on_done(&mut self, txn: u64, revision: Revision) {
        let Some(pending) = self.commits.find(txn).cloned() else {
            return;
        };
        for write in pending.body.writes {
            let row = Row {
                key: write.key,
                revision,
                value: write.value,
            };
            self.on_table_row(&row);
            self.tell_row(&row);
        }
        // The transaction was committed after it was sent, and only because no other row had
        // intervened.
        self.commits.end(txn);
        self.note_commit(&pending.body.checks, pending.sent_at);
    }

    fn note_commit(&mut self, checks: &[Check], sent_at: Timestamp) {
        for (u, held) in &mut self.held {
            let key = OwnRow::key(u);
            if held.recorded && checks.iter().any(|c| c.key == key) {
                held.evidence = held.evidence.max(Some(sent_at));
            }
        }
        self.advance_all();
    }

    /// Submits a transaction for `subject` unless one is pending.
    pub(crate) fn commit(
        &mut self,
        subject: Subject,
        build: impl FnOnce(Writer) -> Option<Txn>,
    ) -> bool {
        if self.commits.is_busy(&subject) {
            return false;
        }
        let txn = self.commits.next();
        let writer = Writer {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            seq: txn,
        };
        let Some(body) = build(writer) else {
            return false;
        };
        let pending = Pending {
            txn,
            body: body.clone(),
            sent_at: self.now,
            again_at: self.now + self.cfg.commit_patience,
            in_doubt: false,
            open: 1,
            unconfirmed: false,
        };
        self.commits.start(subject, pending);
        self.out.push(Action::Commit { txn, body });
        true
    }

    fn submit_again(&mut self) {
        for p in self.commits.due(self.now) {
            p.sent_at = self.now;
            p.again_at = self.now + self.cfg.commit_patience;
            p.open += 1;
            self.out.push(Action::Commit {
                txn: p.txn,
                body: p.body.clone(),
            });
        }
    }

    pub(crate) fn is_busy(&self, upstream: &UpstreamId) -> bool {
        self.commits.is_busy(&Subject::Upstream(upstream.clone()))
    }

    /// Rewrites the row of an upstream with `change`, provided that the known revision is current.
    pub(crate) fn rewrite(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut OwnRow),
    ) -> bool {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return false;
        };
        let subject = Subject::Upstream(upstream.clone());
        self.commit(subject, |writer| {
            let mut row = OwnRow::clone(&known.row);
            change(&mut row);
            row.writer = writer;
            Some(Txn {
                checks: vec![check(upstream, Some(known.revision))],
                writes: vec![write(upstream, &row)],
            })
        })
    }

    /// Returns the hosts that a replacement of the known row must list as unsettled: those that
    /// have not confirmed that they stopped, and those of the known row, except for the next
    /// coordinating host.
    pub(crate) fn unsettled(
        &self,
        upstream: &UpstreamId,
        held: Option<&Held>,
        next: Option<&HostRef>,
    ) -> Vec<HostRef> {
        let known = self.replica.get(upstream);
        let Some(known) = known.filter(|_| !self.checks_grants(upstream)) else {
            return Vec::new();
        };
        let waiting = held.filter(|h| h.recorded).map(|h| h.inherit.waiting());
        let earlier = waiting.unwrap_or(&known.row.unsettled).iter();
        let both = [&known.row.coordinator, &known.row.deputy];
        let all = earlier.chain(both.into_iter().flatten());
        let others = all.filter(|h| next.is_none_or(|n| !h.is(n)));
        let mut all = others.cloned().collect::<Vec<_>>();
        all.sort();
        all.dedup();
        all
    }

    pub(crate) fn send(&mut self, to: &HostRef, body: Body) {
        if to.is(&self.me) {
            if matches!(body, Body::AskFree(_) | Body::Freed(_)) {
                self.loopback.push(body);
            }
            return;
        }
        let message = Box::new(PeerMessage {
            from: Some((&self.me).into()),
            body: Some(body),
        });
        self.out.push(Action::SendPeer {
            to: to.clone(),
            message,
        });
    }

    /// Returns the slices that an upstream should have according to its row and pending removals.
    pub(crate) fn wanted(&self, upstream: &UpstreamId, held: &Held) -> Vec<SliceNo> {
        let Some(known) = self.replica.get(upstream) else {
            return Vec::new();
        };
        let mark = self.marks.get(upstream);
        let mark = mark.filter(|m| !held.recorded && known.revision <= m.revision);
        let removal = held.removal.as_ref().filter(|r| r.is_revoking());
        let kept = |s: &SliceNo| {
            let retired = mark.is_some_and(|m| m.slices.binary_search(s).is_ok());
            let parked = held.parked.iter().any(|g| g.slice == *s);
            let going = parked || removal.is_some_and(|r| r.holds(*s));
            !retired && !going && !is_unreleased(&known.row, held, *s)
        };
        let all = known.row.slices.iter().map(|a| a.slice);
        let outgoing = held.outgoing.iter();
        let still = outgoing.filter(|(_, o)| o.had && o.end.is_none());
        let mut wanted = all.filter(kept).collect::<Vec<_>>();
        wanted.extend(still.map(|(s, _)| *s));
        wanted.sort();
        wanted
    }
}

/// Builds the check that an upstream's row has this revision.
pub(crate) fn check(upstream: &UpstreamId, revision: Option<Revision>) -> Check {
    Check {
        key: OwnRow::key(upstream),
        revision,
    }
}

/// Builds the write of an upstream's row.
pub(crate) fn write(upstream: &UpstreamId, row: &OwnRow) -> Write {
    debug_assert!(row.slices.is_sorted_by(|a, b| a.slice < b.slice));
    write_value(OwnRow::key(upstream), row.encode())
}

/// Builds the write of a row with this value.
pub(crate) fn write_value(key: RowKey, value: Vec<u8>) -> Write {
    Write {
        key,
        value: Some(Bytes::from(value)),
    }
}
