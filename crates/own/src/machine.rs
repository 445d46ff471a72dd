//! State machine of the ownership protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use ids::{DomainId, EntryId, Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use platform::{Check, Row, RowKey, Txn, Write};
use wire::own::{Body, PeerMessage};

use crate::coordinator::{CompletedHandover, CoordinatorState, HeldRequests};
use crate::liveness::HostLiveness;
use crate::messages::PromisedSlices;
use crate::replica::{KnownRow, Replica, RowUpdate};
use crate::transactions::{PendingTxn, PendingTxns, TxnSubject};
use crate::transfer::is_unreleased;
use crate::view::CatalogueView;
use crate::{
    Action, CommitOutcome, EntryRow, Event, HostRef, OwnershipRow, OwnershipRowChange,
    OwnershipSettings, StopReason, WriteId,
};

/// State machine of one host's part in the ownership protocol: handles `(now, event)` and pushes
/// actions.
///
/// The machine is level-triggered: an event updates its state, and the actions follow from the
/// state alone. Lost or repeated messages and transactions without a known result need no rollback.
#[derive(Debug)]
pub struct OwnershipMachine {
    pub(crate) cfg: OwnershipSettings,
    pub(crate) me: HostRef,
    pub(crate) now: Timestamp,
    pub(crate) actions: Vec<Action>,
    /// Messages to this host itself.
    pub(crate) loopback: Vec<Body>,
    pub(crate) liveness: HostLiveness,
    pub(crate) replica: Replica,
    pub(crate) catalogue: CatalogueView,
    pub(crate) transactions: PendingTxns,
    /// Upstreams that this host coordinates.
    pub(crate) coordinated: BTreeMap<UpstreamId, CoordinatorState>,
    /// Handovers that this host completed, of upstreams that are not served yet.
    pub(crate) completed_handovers: BTreeMap<UpstreamId, CompletedHandover>,
    /// For upstreams that this host no longer coordinates: local time at which all its grants have
    /// expired.
    pub(crate) past_grants_expire_at: BTreeMap<UpstreamId, Timestamp>,
    /// Slices that this host, as standby, promised not to grant.
    pub(crate) promised_slices: BTreeMap<UpstreamId, PromisedSlices>,
    pub(crate) held_requests: Vec<HeldRequests>,
    /// Declared upstreams without a row.
    pub(crate) upstreams_without_row: BTreeSet<UpstreamId>,
    /// Time since which an entry waits for the assignment of its slices.
    pub(crate) unassigned_since: BTreeMap<EntryId, Timestamp>,
    /// Time since which a domain has had no live host.
    pub(crate) hostless_since: BTreeMap<DomainId, Timestamp>,
    pub(crate) table_as_of: Option<Timestamp>,
    pub(crate) table_reachable: bool,
    pub(crate) next_heartbeat_at: Timestamp,
    pub(crate) next_scan_at: Timestamp,
    pub(crate) leaving: bool,
    pub(crate) leaving_since: Option<Timestamp>,
    pub(crate) left: bool,
    last_number: u64,
}

impl OwnershipMachine {
    /// Creates the machine of one incarnation of a host.
    #[must_use]
    pub fn new(settings: OwnershipSettings, me: HostRef) -> Self {
        debug_assert_eq!(settings.check(), Ok(()), "inconsistent settings");
        Self {
            cfg: settings,
            liveness: HostLiveness::new(me.clone()),
            me,
            now: Timestamp::ZERO,
            actions: Vec::new(),
            loopback: Vec::new(),
            replica: Replica::default(),
            catalogue: CatalogueView::default(),
            transactions: PendingTxns::default(),
            coordinated: BTreeMap::new(),
            completed_handovers: BTreeMap::new(),
            past_grants_expire_at: BTreeMap::new(),
            promised_slices: BTreeMap::new(),
            held_requests: Vec::new(),
            upstreams_without_row: BTreeSet::new(),
            unassigned_since: BTreeMap::new(),
            hostless_since: BTreeMap::new(),
            table_as_of: None,
            table_reachable: true,
            next_heartbeat_at: Timestamp::ZERO,
            next_scan_at: Timestamp::ZERO,
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
    pub const fn settings(&self) -> &OwnershipSettings {
        &self.cfg
    }

    /// Returns the row of an upstream in this host's replica, and its revision.
    #[must_use]
    pub fn row(&self, upstream: &UpstreamId) -> Option<(Revision, Arc<OwnershipRow>)> {
        let known = self.replica.get(upstream)?;
        Some((known.revision, Arc::clone(&known.row)))
    }

    /// Iterates over the upstreams that this host coordinates, with its epochs.
    pub fn coordinated(&self) -> impl Iterator<Item = (&UpstreamId, Epoch)> {
        self.coordinated.iter().map(|(u, s)| (u, s.epoch))
    }

    /// Handles an event that occurred at `now` and pushes the resulting actions onto `actions`.
    ///
    /// `now` must not be lower than in the previous step.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.liveness
            .advance_uptime(now, self.cfg.pause_threshold());
        self.handle(event);
        while let Some(body) = self.loopback.pop() {
            let me = self.me.clone();
            self.handle_body(&me, &body);
        }
        actions.append(&mut self.actions);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Row(row) => self.on_table_row(&row),
            Event::TableRead { as_of } => {
                self.table_as_of = self.table_as_of.max(Some(as_of));
                self.advance_all();
            }
            Event::TableReachable(reachable) => self.table_reachable = reachable,
            Event::CommitEnded { txn, outcome } => self.on_committed(txn, outcome),
            Event::GrantReply {
                upstream,
                attempt,
                reply,
            } => self.update_coordinated(&upstream, |m, state| {
                state
                    .grant
                    .handle_reply(m.now, m.liveness.uptime(), &m.cfg, attempt, &reply);
            }),
            Event::Healthy { upstream, .. } => self.update_coordinated(&upstream, |m, state| {
                state.grant.record_reply(m.now, m.liveness.uptime());
            }),
            Event::NoReply {
                upstream, refused, ..
            } => self.update_coordinated(&upstream, |_, s| s.grant.record_no_reply(refused)),
            Event::PeerContact {
                from,
                echo_of,
                leaving,
            } => self.on_peer(&from, echo_of, leaving),
            Event::PeerEnded(host) => {
                self.liveness.record_end(&host);
                self.take_over_from(&host);
                self.advance_all();
            }
            Event::PeerMessage(message) => self.on_message(&message),
            Event::Catalogue(catalogue) => self.on_catalogue(catalogue),
            Event::Drained { upstream, hold } => {
                self.update_coordinated(&upstream, |_, state| state.drained(hold));
            }
            Event::Draining { upstream, draining } => {
                self.update_coordinated(&upstream, |_, state| state.draining = draining);
            }
            Event::MoveWish { entry, slice, to } => self.on_move_proposal(&entry, slice, to),
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
        self.resubmit_due();
        self.take_over_unresponsive();
        self.advance_all();
        self.send_heartbeats();
        self.complete_handovers_without_table();
        self.send_handovers();
        self.release_served_locally();
        if self.now >= self.next_scan_at {
            self.next_scan_at = self.now + self.cfg.heartbeat_every;
            self.scan();
        }
        self.check_left();
    }

    fn check_left(&mut self) {
        let idle = self.coordinated.is_empty()
            && self.completed_handovers.is_empty()
            && self.held_requests.is_empty();
        if self.leaving && !self.left && idle {
            self.left = true;
            self.actions.push(Action::LeaveComplete);
        }
    }

    fn on_catalogue(&mut self, catalogue: Arc<catalogue::Catalogue>) {
        self.catalogue.replace(catalogue);
        let declared = self.catalogue.upstreams().map(|(u, _)| u);
        let upstreams_without_row = declared.filter(|u| self.replica.get(u).is_none());
        self.upstreams_without_row = upstreams_without_row.cloned().collect();
        self.advance_all();
    }

    fn on_peer(&mut self, from: &HostRef, echo_of: Option<Timestamp>, leaving: bool) {
        self.record_contact(from, echo_of.is_some());
        self.liveness.set_leaving(from, leaving);
        if let Some(echo) = echo_of {
            self.liveness.record_echo(from, echo);
        }
    }

    /// Records contact with a host.
    pub(crate) fn record_contact(&mut self, from: &HostRef, direct: bool) {
        self.liveness.record_contact(from, direct);
        if !direct {
            return;
        }
        for state in self.coordinated.values_mut() {
            state
                .previous_hosts
                .record_contact(self.now, &self.cfg, from);
        }
    }

    /// Returns a new number for an attempt, a hold or a request.
    pub(crate) const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Applies `change` to the state of a coordinated upstream, and advances it.
    pub(crate) fn update_coordinated(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut Self, &mut CoordinatorState),
    ) {
        let Some(mut state) = self.coordinated.remove(upstream) else {
            return;
        };
        change(self, &mut state);
        self.coordinated.insert(upstream.clone(), state);
        self.advance(upstream);
    }

    pub(crate) fn advance_all(&mut self) {
        let all = self.coordinated.keys().cloned().collect::<Vec<_>>();
        for u in &all {
            self.advance(u);
        }
    }

    /// Takes the actions that are due for a coordinated upstream.
    pub(crate) fn advance(&mut self, upstream: &UpstreamId) {
        let Some(mut state) = self.coordinated.remove(upstream) else {
            return;
        };
        self.refresh_evidence(upstream, &mut state);
        self.update_scope(upstream, &mut state);
        self.update_lease(upstream, &mut state);
        self.renew(upstream, &mut state);
        self.notify_previous_hosts(upstream, &mut state);
        self.notify_serving(upstream, &mut state);
        self.maintain_row(upstream, &mut state);
        self.query_releases(upstream, &mut state);
        self.move_slices(upstream, &mut state);
        self.request_promise(upstream, &mut state);
        self.release_outgoing(upstream, &mut state);
        self.advance_handover(upstream, &mut state);
        self.coordinated.insert(upstream.clone(), state);
    }

    fn on_table_row(&mut self, row: &Row) {
        // A row that can't be decoded is ignored, and its revision is not recorded.
        match OwnershipRowChange::parse(row) {
            Ok(OwnershipRowChange::Upstream(u, revision, Some(content))) => {
                self.on_row(&u, revision, &content);
            }
            Ok(OwnershipRowChange::Entry(e, revision, Some(content))) => {
                self.on_entry_row(e, revision, content);
            }
            Ok(
                OwnershipRowChange::Upstream(_, _, None) | OwnershipRowChange::Entry(_, _, None),
            )
            | Err(_) => {}
        }
    }

    fn on_entry_row(&mut self, entry: EntryId, revision: Revision, row: EntryRow) {
        self.transactions
            .resolve(self.now, &EntryRow::key(&entry), revision);
        self.unassigned_since.remove(&entry);
        self.replica.apply_entry(entry, revision, row);
    }

    /// Handles a row of an upstream, from the table or a peer.
    pub(crate) fn on_row(
        &mut self,
        upstream: &UpstreamId,
        revision: Revision,
        row: &Arc<OwnershipRow>,
    ) {
        let update = self.replica.apply(
            self.now,
            self.liveness.uptime(),
            &self.me,
            upstream,
            revision,
            Arc::clone(row),
        );
        let RowUpdate::Applied(before) = update else {
            return;
        };
        self.upstreams_without_row.remove(upstream);
        self.transactions
            .resolve(self.now, &OwnershipRow::key(upstream), revision);
        let is_mine = row
            .coordinator
            .as_ref()
            .is_some_and(|c| c.is_same(&self.me));
        match (is_mine, self.coordinated.contains_key(upstream)) {
            (true, true) => self.continue_coordinating(upstream, row, before.as_ref()),
            (true, false) => self.start_coordinating(upstream, row, before.as_ref()),
            (false, true) => self.check_replaced(upstream, row),
            (false, false) => {}
        }
        self.release_served_locally();
    }

    /// Starts to coordinate an upstream whose row names this host.
    fn start_coordinating(
        &mut self,
        upstream: &UpstreamId,
        row: &OwnershipRow,
        before: Option<&KnownRow>,
    ) {
        let completed = self.completed_handovers.get(upstream);
        if completed.is_some_and(|h| h.epoch > row.epoch) {
            return;
        }
        let mut state = CoordinatorState::new(self.now, self.liveness.uptime(), row.epoch, true);
        self.record_previous_hosts(&mut state, row, before);
        self.coordinated.insert(upstream.clone(), state);
        self.advance(upstream);
    }

    /// Continues to coordinate an upstream whose row changed.
    fn continue_coordinating(
        &mut self,
        upstream: &UpstreamId,
        row: &OwnershipRow,
        before: Option<&KnownRow>,
    ) {
        let Some(mut state) = self.coordinated.remove(upstream) else {
            return;
        };
        if row.epoch >= state.epoch {
            state.advance_epoch(row.epoch);
        }
        if before.is_none_or(|b| b.row.epoch != row.epoch) {
            self.record_previous_hosts(&mut state, row, before);
        }
        self.coordinated.insert(upstream.clone(), state);
        self.finish_recorded_removal(upstream);
        self.advance(upstream);
    }

    /// Records the hosts of the previous row that may still act.
    fn record_previous_hosts(
        &self,
        state: &mut CoordinatorState,
        row: &OwnershipRow,
        before: Option<&KnownRow>,
    ) {
        let Some(before) = before else {
            let others = row.unsettled.iter().filter(|h| !h.is_same(&self.me));
            state
                .previous_hosts
                .add(self.now, &self.cfg, others.cloned());
            return;
        };
        state.previous_row_since = before.epoch_since;
        let both = [&before.row.coordinator, &before.row.deputy];
        let named = both.into_iter().flatten().chain(&row.unsettled);
        let others = named.filter(|h| !h.is_same(&self.me));
        state
            .previous_hosts
            .add(self.now, &self.cfg, others.cloned());
    }

    /// Stops coordinating an upstream if its row names another host.
    fn check_replaced(&mut self, upstream: &UpstreamId, row: &OwnershipRow) {
        let Some(state) = self.coordinated.get(upstream) else {
            return;
        };
        let is_standby = row.deputy.as_ref().is_some_and(|d| d.is_same(&self.me));
        if !state.recorded && is_standby && row.reserved_epoch() == state.epoch {
            self.advance(upstream);
            return;
        }
        let handover = state.handover.as_ref().map(|h| h.to.clone());
        if handover.is_some_and(|to| row.coordinator.as_ref().is_some_and(|c| c.is_same(&to))) {
            self.complete_handover(upstream, row.epoch);
            return;
        }
        self.stop_coordinating(upstream, StopReason::Replaced);
    }

    /// Stops coordinating an upstream.
    pub(crate) fn stop_coordinating(&mut self, upstream: &UpstreamId, reason: StopReason) {
        let Some(state) = self.coordinated.remove(upstream) else {
            return;
        };
        self.past_grants_expire_at
            .insert(upstream.clone(), state.grants_expire_at());
        self.actions.push(Action::StopUpstream {
            upstream: upstream.clone(),
            reason,
        });
        for hold in state.hold_numbers() {
            self.hold_until_served(upstream, hold, None, upstream.clone(), Revision(0));
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
                self.transactions.complete(txn);
                self.advance_all();
            }
            CommitOutcome::Unreachable | CommitOutcome::Unconfirmed => {
                let unconfirmed = outcome == CommitOutcome::Unconfirmed;
                let resubmit_at = self.now + self.cfg.commit_retry_delay;
                self.transactions
                    .mark_in_doubt(txn, resubmit_at, unconfirmed);
                self.complete_handovers_without_table();
            }
        }
    }

    fn on_done(&mut self, txn: u64, revision: Revision) {
        let Some(pending) = self.transactions.find(txn).cloned() else {
            return;
        };
        for write in pending.body.writes {
            let row = Row {
                key: write.key,
                revision,
                value: write.value,
            };
            self.on_table_row(&row);
            self.relay_written_row(&row);
        }
        // The transaction was committed after it was sent, and only because no other row had
        // intervened.
        self.transactions.complete(txn);
        self.record_commit_evidence(&pending.body.checks, pending.sent_at);
    }

    fn record_commit_evidence(&mut self, checks: &[Check], sent_at: Timestamp) {
        for (u, state) in &mut self.coordinated {
            let key = OwnershipRow::key(u);
            if state.recorded && checks.iter().any(|c| c.key == key) {
                state.evidence = state.evidence.max(Some(sent_at));
            }
        }
        self.advance_all();
    }

    /// Submits a transaction for `subject` unless one is pending.
    pub(crate) fn submit(
        &mut self,
        subject: TxnSubject,
        build: impl FnOnce(WriteId) -> Option<Txn>,
    ) -> bool {
        if self.transactions.has_pending_txn(&subject) {
            return false;
        }
        let txn = self.transactions.next_number();
        let writer = WriteId {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            seq: txn,
        };
        let Some(body) = build(writer) else {
            return false;
        };
        let pending = PendingTxn {
            txn,
            body: body.clone(),
            sent_at: self.now,
            resubmit_at: self.now + self.cfg.commit_timeout,
            in_doubt: false,
            outstanding: 1,
            unconfirmed: false,
        };
        self.transactions.start(subject, pending);
        self.actions.push(Action::Commit { txn, body });
        true
    }

    fn resubmit_due(&mut self) {
        for p in self.transactions.due(self.now) {
            p.sent_at = self.now;
            p.resubmit_at = self.now + self.cfg.commit_timeout;
            p.outstanding += 1;
            self.actions.push(Action::Commit {
                txn: p.txn,
                body: p.body.clone(),
            });
        }
    }

    pub(crate) fn has_pending_txn(&self, upstream: &UpstreamId) -> bool {
        self.transactions
            .has_pending_txn(&TxnSubject::Upstream(upstream.clone()))
    }

    /// Rewrites the row of an upstream with `change`, provided that the known revision is current.
    pub(crate) fn rewrite_row(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut OwnershipRow),
    ) -> bool {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return false;
        };
        let subject = TxnSubject::Upstream(upstream.clone());
        self.submit(subject, |writer| {
            let mut row = OwnershipRow::clone(&known.row);
            change(&mut row);
            row.writer = writer;
            Some(Txn {
                checks: vec![row_check(upstream, Some(known.revision))],
                writes: vec![row_write(upstream, &row)],
            })
        })
    }

    /// Returns the hosts that a replacement of the known row must list as unsettled: those that
    /// have not confirmed that they stopped, and those of the known row, except for the next
    /// coordinating host.
    pub(crate) fn unsettled_hosts(
        &self,
        upstream: &UpstreamId,
        state: Option<&CoordinatorState>,
        next: Option<&HostRef>,
    ) -> Vec<HostRef> {
        let known = self.replica.get(upstream);
        let Some(known) = known.filter(|_| !self.checks_grants(upstream)) else {
            return Vec::new();
        };
        let unconfirmed = state
            .filter(|s| s.recorded)
            .map(|s| s.previous_hosts.unconfirmed());
        let earlier = unconfirmed.unwrap_or(&known.row.unsettled).iter();
        let both = [&known.row.coordinator, &known.row.deputy];
        let all = earlier.chain(both.into_iter().flatten());
        let others = all.filter(|h| next.is_none_or(|n| !h.is_same(n)));
        let mut all = others.cloned().collect::<Vec<_>>();
        all.sort();
        all.dedup();
        all
    }

    pub(crate) fn send(&mut self, to: &HostRef, body: Body) {
        if to.is_same(&self.me) {
            if matches!(body, Body::ReleaseQuery(_) | Body::ReleaseConfirmation(_)) {
                self.loopback.push(body);
            }
            return;
        }
        let message = Box::new(PeerMessage {
            from: Some((&self.me).into()),
            body: Some(body),
        });
        self.actions.push(Action::SendPeer {
            to: to.clone(),
            message,
        });
    }

    /// Returns the slices that an upstream should have according to its row and pending removals.
    pub(crate) fn wanted_slices(
        &self,
        upstream: &UpstreamId,
        state: &CoordinatorState,
    ) -> Vec<SliceNo> {
        let Some(known) = self.replica.get(upstream) else {
            return Vec::new();
        };
        let promised = self.promised_slices.get(upstream);
        let promised = promised.filter(|m| !state.recorded && known.revision <= m.revision);
        let removal = state.removal.as_ref().filter(|r| r.is_revoking());
        let kept = |s: &SliceNo| {
            let is_promised = promised.is_some_and(|m| m.slices.binary_search(s).is_ok());
            let deferred = state.deferred.iter().any(|g| g.slice == *s);
            let is_moving = deferred || removal.is_some_and(|r| r.contains(*s));
            !is_promised && !is_moving && !is_unreleased(&known.row, state, *s)
        };
        let all = known.row.slices.iter().map(|a| a.slice);
        let outgoing = state.outgoing.iter();
        let still = outgoing.filter(|(_, o)| o.was_granted && o.expires_at.is_none());
        let mut wanted = all.filter(kept).collect::<Vec<_>>();
        wanted.extend(still.map(|(s, _)| *s));
        wanted.sort();
        wanted
    }
}

/// Builds the check that an upstream's row has this revision.
pub(crate) fn row_check(upstream: &UpstreamId, revision: Option<Revision>) -> Check {
    Check {
        key: OwnershipRow::key(upstream),
        revision,
    }
}

/// Builds the write of an upstream's row.
pub(crate) fn row_write(upstream: &UpstreamId, row: &OwnershipRow) -> Write {
    debug_assert!(row.slices.is_sorted_by(|a, b| a.slice < b.slice));
    value_write(OwnershipRow::key(upstream), row.encode())
}

/// Builds the write of a row with this value.
pub(crate) fn value_write(key: RowKey, value: Vec<u8>) -> Write {
    Write {
        key,
        value: Some(Bytes::from(value)),
    }
}
