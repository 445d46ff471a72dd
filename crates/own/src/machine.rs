//! State machine of the ownership protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ids::{DomainId, EntryId, Epoch, Revision, SliceNo, Timestamp, UpstreamId};
use platform::Row;
use wire::own::{Body, PeerMessage};

use crate::coordinator::{CompletedHandover, CoordinatorState, HeldRequests};
use crate::liveness::HostLiveness;
use crate::messages::PromisedSlices;
use crate::reach::PendingProbe;
use crate::replica::{Replica, RowUpdate};
use crate::transactions::PendingTxns;
use crate::transfer::is_unreleased;
use crate::view::CatalogueView;
use crate::{
    Action, EntryRow, Event, HostRef, OwnershipRow, OwnershipRowChange, OwnershipSettings,
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
    /// Questions of other hosts that wait for upstreams' replies.
    pub(crate) pending_probes: Vec<PendingProbe>,
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
            pending_probes: Vec::new(),
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
            Event::ReachChecked {
                attempt,
                is_reached,
            } => self.on_reach_checked(attempt, is_reached),
            Event::PeerContact {
                from,
                echo_of,
                leaving,
            } => self.on_peer(&from, echo_of, leaving),
            Event::PeerEnded(host) => {
                self.liveness.record_end(&host);
                self.take_over_unresponsive();
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
        self.ask_reach(upstream, &mut state);
        self.advance_handover(upstream, &mut state);
        self.coordinated.insert(upstream.clone(), state);
    }

    pub(crate) fn on_table_row(&mut self, row: &Row) {
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
