//! Grants, renews, releases and moves the ranges of one entry.
//!
//! Every host has a keeper; only that of the host which the row names acts. It is told what was
//! read and how calls ended, and returns the calls and commits to make.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{Revision, Timestamp, UpstreamId};

use crate::evidence::Evidence;
use crate::live::{Former, LastGrant, Live, carry_over};
use crate::order::{Action, CallEnd, CallKind, CommitEnd, OrderCall, Standing};
use crate::plan::{Planner, UpstreamView};
use crate::row::{EntryRow, Piece, Run};
use crate::settings::AssignSettings;

/// Time between two releases of the same keys, while none is answered.
const RELEASE_EVERY: Duration = Duration::from_millis(500);
/// Time between two plans while an owner of keys leaves: its requests wait for the move.
const URGENT_EVERY: Duration = Duration::from_millis(100);
/// Part of the time between renewals after which a piece is first renewed at the soonest.
const SOONEST: f64 = 0.25;
/// Renewals that may fail before their upstream counts as silent.
const FAILURES_OF_SILENT: u32 = 2;

/// Time between two writes that only strike out former owners.
///
/// Whoever takes over releases them once more, which costs milliseconds; a write costs a read at
/// each host.
const TIDY_EVERY: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct Health {
    failures: u32,
    failing_since: Timestamp,
}

/// A call on its way.
#[derive(Debug)]
struct Underway {
    call: OrderCall,
    /// The grant before this one.
    earlier: LastGrant,
}

#[derive(Debug)]
struct Known {
    row: EntryRow,
    revision: Revision,
    live: Vec<Live>,
}

/// The keeper of one entry at one host.
#[derive(Debug)]
pub struct Keeper {
    cfg: AssignSettings,
    planner: Planner,
    me: Run,
    known: Option<Known>,
    evidence: Evidence,
    /// Until when grants of earlier granting hosts may hold.
    others_until: Timestamp,
    /// Earlier granting runs that are not known to be over.
    earlier: Vec<Run>,
    /// Revision of the row that this host replaced.
    replaced_at: Revision,
    /// Revision of the row that made this host the granting one.
    named_at: Revision,
    /// Rows before this one don't let this host grant: it was told of its successor.
    not_before: Revision,
    /// The row of a commit that has not ended.
    commit: Option<EntryRow>,
    calls: HashMap<u64, Underway>,
    next_call: u64,
    health: HashMap<UpstreamId, Health>,
    gone: HashSet<UpstreamId>,
    plan_at: Timestamp,
    tidy_at: Timestamp,
}

impl Keeper {
    /// Creates the keeper of one entry at the host `me`.
    #[must_use]
    pub fn new(me: Run, cfg: AssignSettings, planner: Planner) -> Self {
        Self {
            cfg,
            planner,
            me,
            known: None,
            evidence: Evidence::default(),
            others_until: Timestamp::ZERO,
            earlier: Vec::new(),
            replaced_at: Revision::default(),
            named_at: Revision::default(),
            not_before: Revision::default(),
            commit: None,
            calls: HashMap::new(),
            next_call: 0,
            health: HashMap::new(),
            gone: HashSet::new(),
            plan_at: Timestamp::ZERO,
            tidy_at: Timestamp::ZERO,
        }
    }

    /// Returns the row that the host knows.
    #[must_use]
    pub fn row(&self) -> Option<&EntryRow> {
        self.known.as_ref().map(|k| &k.row)
    }

    /// Tells whether the row names this run of this host as the granting one, as far as it knows.
    #[must_use]
    pub fn is_granter(&self) -> bool {
        let names_me = |k: &Known| k.row.granter == self.me && k.revision >= self.not_before;
        self.known.as_ref().is_some_and(names_me)
    }

    /// Tells whether this host grants: the row names it, and it knew so lately.
    #[must_use]
    pub fn is_granting(&self, now: Timestamp) -> bool {
        self.is_granter() && self.evidence.is_within(now, self.cfg.evidence)
    }

    /// Tells whether the row names `upstream` as an owner or former owner.
    #[must_use]
    pub fn mentions(&self, upstream: &UpstreamId) -> bool {
        let names = |p: &Piece| p.owner == *upstream || p.former.contains(upstream);
        self.row().is_some_and(|row| row.pieces.iter().any(names))
    }

    /// Returns the revision of the row that the host knows.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.known.as_ref().map(|k| k.revision)
    }

    /// Returns how old this host's knowledge of the row is.
    #[must_use]
    pub fn evidence_age(&self, now: Timestamp) -> Option<Duration> {
        self.evidence.age(now)
    }

    /// Notes a read of the store that began at `began` and brought everything up to then.
    pub fn read(&mut self, began: Timestamp) {
        self.evidence.read(began);
    }

    /// Takes a row that was read; older ones than the known one are left.
    ///
    /// Tells whether it is news.
    pub fn take(&mut self, now: Timestamp, row: EntryRow, revision: Revision) -> bool {
        if self.known.as_ref().is_some_and(|k| k.revision >= revision) {
            return false;
        }
        let was_granter = self.is_granter();
        let old = self.known.as_ref().map(|k| (&k.row, k.live.as_slice()));
        let live = carry_over(old, &row, now);
        self.gone.retain(|up| {
            row.pieces
                .iter()
                .any(|p| p.owner == *up || p.former.contains(up))
        });
        self.known = Some(Known {
            row,
            revision,
            live,
        });
        // Calls on their way belong to pieces that may be others now; how they end still counts.
        if !was_granter && self.is_granter() {
            self.begin(now);
        }
        true
    }

    /// Proposes this host as the granting one.
    ///
    /// `is_over` says that the run which grants has surely ended or stopped. Without a row, all
    /// keys are divided among `ready`.
    pub fn take_over(&mut self, is_over: bool, ready: &[UpstreamView], actions: &mut Vec<Action>) {
        if self.commit.is_some() || self.is_granter() {
            return;
        }
        let Some(known) = &self.known else {
            let owners: Vec<_> = ready.iter().map(|u| u.id.clone()).collect();
            if !owners.is_empty() {
                let row = EntryRow::even(self.me.clone(), &owners);
                self.propose(row, None, actions);
            }
            return;
        };
        let mut row = known.row.clone();
        let replaced = std::mem::replace(&mut row.granter, self.me.clone());
        // What this run sent itself it knows.
        row.earlier.retain(|run| *run != self.me);
        if !is_over && !row.earlier.contains(&replaced) {
            row.earlier.push(replaced);
        }
        let revision = known.revision;
        self.replaced_at = revision;
        self.propose(row, Some(revision), actions);
    }

    /// Begins to grant: the row that names this host became known at `now`.
    ///
    /// The hosts that granted before may have read until just now that they do.
    fn begin(&mut self, now: Timestamp) {
        let Some(known) = &self.known else {
            return;
        };
        self.earlier.clone_from(&known.row.earlier);
        self.named_at = known.revision;
        let stops_in = if self.earlier.is_empty() {
            Duration::ZERO
        } else {
            self.cfg.evidence.mul_f64(1.0 + self.cfg.drift)
        };
        self.others_until = now + stops_in + self.cfg.outlast();
        self.health.clear();
        self.plan_at = now + self.cfg.plan_every;
    }

    /// Returns earlier granting runs that are not known to be over.
    #[must_use]
    pub fn earlier(&self) -> &[Run] {
        &self.earlier
    }

    /// Returns the revision of the row that this host replaced: a run that was announced later is
    /// another one than those that granted before.
    #[must_use]
    pub const fn replaced_at(&self) -> Revision {
        self.replaced_at
    }

    /// Returns the revision of the row that made this host the granting one.
    ///
    /// Earlier granting hosts that can't read the store are told of it, so that they stop.
    #[must_use]
    pub const fn named_at(&self) -> Revision {
        self.named_at
    }

    /// Notes that the row at `revision` names another granting host: this one grants nothing by
    /// rows before it.
    pub fn replaced(&mut self, revision: Revision) {
        self.not_before = self.not_before.max(revision);
    }

    /// Returns the revision below which no row lets this host grant.
    #[must_use]
    pub fn knows(&self) -> Revision {
        self.revision().unwrap_or_default().max(self.not_before)
    }

    /// Notes that `run` grants nothing by rows before `knows`.
    pub fn heard(&mut self, now: Timestamp, run: &Run, knows: Revision) {
        if !self.is_granter() {
            return;
        }
        let over = |earlier: &&Run| {
            let has_ended = earlier.incarnation != run.incarnation;
            earlier.host == run.host && (has_ended || knows >= self.named_at)
        };
        let over: Vec<Run> = self.earlier.iter().filter(over).cloned().collect();
        for earlier in over {
            self.is_over(now, &earlier);
        }
    }

    /// Notes that an earlier granting run has surely ended or stopped.
    pub fn is_over(&mut self, now: Timestamp, run: &Run) {
        self.earlier.retain(|r| r != run);
        if self.earlier.is_empty() {
            self.others_until = self.others_until.min(now + self.cfg.outlast());
        }
    }

    fn propose(&mut self, row: EntryRow, expected: Option<Revision>, actions: &mut Vec<Action>) {
        debug_assert!(row.check().is_ok(), "only valid rows are written");
        self.commit = Some(row.clone());
        actions.push(Action::Commit { row, expected });
    }

    /// Notes how the commit ended.
    pub fn commit_ended(&mut self, now: Timestamp, end: CommitEnd) {
        let Some(proposed) = self.commit.take() else {
            return;
        };
        match end {
            CommitEnd::Done(revision) => {
                self.take(now, proposed, revision);
            }
            CommitEnd::Conflict(Some((row, revision))) => {
                self.take(now, row, revision);
            }
            CommitEnd::Conflict(None) | CommitEnd::Unknown | CommitEnd::NotDone => {}
        }
    }

    /// Notes how a call ended.
    pub fn call_ended(&mut self, now: Timestamp, id: u64, end: &CallEnd) {
        let Some(underway) = self.calls.remove(&id) else {
            return;
        };
        let call = &underway.call;
        self.note_health(now, call, end);
        let is_grant = matches!(call.kind, CallKind::Grant { .. });
        if matches!(end, CallEnd::Gone) {
            self.gone.insert(call.upstream.clone());
        }
        if is_grant {
            self.grant_ended(now, &underway, end);
        } else {
            self.release_ended(now, call, end);
        }
    }

    fn note_health(&mut self, now: Timestamp, call: &OrderCall, end: &CallEnd) {
        if !matches!(end, CallEnd::NoAnswer { .. }) {
            self.health.remove(&call.upstream);
            return;
        }
        // A release is answered only when the work on its keys has ended.
        if call.kind == CallKind::Release {
            return;
        }
        let health = self.health.entry(call.upstream.clone()).or_insert(Health {
            failures: 0,
            failing_since: now,
        });
        health.failures += 1;
    }

    fn grant_ended(&mut self, now: Timestamp, underway: &Underway, end: &CallEnd) {
        let every = self.cfg.renew_every;
        if matches!(end, CallEnd::NoAnswer { maybe_sent: false }) {
            self.forget_sent(underway);
        }
        let Some(live) = self.live_of(&underway.call) else {
            return;
        };
        live.granting = false;
        match end {
            CallEnd::Done { .. } => {
                live.handover = None;
                // Pieces that are granted together, as after a take-over, would always be.
                let part = if live.is_apart {
                    1.0
                } else {
                    live.is_apart = true;
                    SOONEST + (1.0 - SOONEST) * underway.call.range.place()
                };
                live.next_at = underway.call.decided + every.mul_f64(part);
            }
            CallEnd::NoAnswer { .. } => live.next_at = now + every / 4,
            CallEnd::Fenced | CallEnd::Gone => live.next_at = now + every,
        }
    }

    /// Takes back that a grant was sent which surely did not leave: the one before it is the last.
    fn forget_sent(&mut self, underway: &Underway) {
        let Some(known) = &mut self.known else {
            return;
        };
        let (call, earlier) = (underway.call.id, underway.earlier);
        for live in &mut known.live {
            live.last_grant.take_back(call, earlier);
            for former in &mut live.former {
                former.last_grant.take_back(call, earlier);
            }
        }
    }

    fn release_ended(&mut self, now: Timestamp, call: &OrderCall, end: &CallEnd) {
        let Some(known) = &mut self.known else {
            return;
        };
        let pieces = known.row.pieces.iter().zip(&mut known.live);
        for (piece, live) in pieces {
            if piece.fence != call.fence || piece.range != call.range {
                continue;
            }
            let Some(former) = live.former.iter_mut().find(|f| f.upstream == call.upstream) else {
                continue;
            };
            former.releasing = false;
            match end {
                CallEnd::Done { handover } => {
                    former.released = true;
                    if handover.is_some() {
                        live.handover.clone_from(handover);
                    }
                }
                CallEnd::Gone | CallEnd::Fenced | CallEnd::NoAnswer { .. } => {
                    former.release_at = now + RELEASE_EVERY;
                }
            }
        }
    }

    fn live_of(&mut self, call: &OrderCall) -> Option<&mut Live> {
        let known = self.known.as_mut()?;
        let pieces = known.row.pieces.iter().zip(&mut known.live);
        pieces
            .filter(|(p, _)| p.fence == call.fence && p.range == call.range)
            .find(|(p, _)| p.owner == call.upstream)
            .map(|(_, live)| live)
    }

    /// Makes the calls that are due.
    pub fn poll(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.is_granting(now) {
            return;
        }
        self.free_former(now);
        self.call_upstreams(now, actions);
    }

    /// Tells whether [`Self::plan`] may have something to do: what it needs costs some work.
    #[must_use]
    pub fn may_plan(&self, now: Timestamp) -> bool {
        let planned_at = self.plan_at - self.cfg.plan_every;
        self.is_granting(now) && self.commit.is_none() && now >= planned_at + URGENT_EVERY
    }

    /// Moves ranges, if it is time to or an owner of keys leaves.
    pub fn plan(&mut self, now: Timestamp, standing: &Standing<'_>, actions: &mut Vec<Action>) {
        let is_due = now >= self.plan_at || self.has_leaving(standing.ready);
        if is_due && standing.may_move && self.may_plan(now) {
            self.plan_at = now + self.cfg.plan_every;
            self.move_ranges(now, standing, actions);
        }
    }

    /// Tells whether an owner of keys is not among those that take requests.
    fn has_leaving(&self, ready: &[UpstreamView]) -> bool {
        let is_ready = |up: &UpstreamId| ready.iter().any(|u| u.id == *up);
        self.row()
            .is_some_and(|row| row.pieces.iter().any(|p| !is_ready(&p.owner)))
    }

    /// Finds former owners that surely hold nothing any more.
    fn free_former(&mut self, now: Timestamp) {
        let Some(known) = &mut self.known else {
            return;
        };
        let outlast = self.cfg.outlast();
        let (gone, others_until) = (&self.gone, self.others_until);
        for former in known.live.iter_mut().flat_map(|live| &mut live.former) {
            let over = now >= (former.last_grant.sent + outlast).max(others_until);
            // A release under the piece's fence makes the upstream refuse all grants that were
            // sent before, whoever sent them and however late they come.
            former.free |= over || former.released || gone.contains(&former.upstream);
        }
    }

    fn call_upstreams(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(known) = &mut self.known else {
            return;
        };
        let (gone, calls, next_call) = (&self.gone, &mut self.calls, &mut self.next_call);
        let mut call = |upstream: &UpstreamId, kind, range, fence, earlier| {
            *next_call += 1;
            let call = OrderCall {
                id: *next_call,
                upstream: upstream.clone(),
                kind,
                range,
                fence,
                decided: now,
            };
            let underway = Underway {
                call: call.clone(),
                earlier,
            };
            calls.insert(call.id, underway);
            actions.push(Action::Call(call));
            *next_call
        };
        for (piece, live) in known.row.pieces.iter().zip(&mut known.live) {
            for former in live.former.iter_mut().filter(|f| is_release_due(f, now)) {
                former.releasing = true;
                let (range, fence) = (piece.range, piece.fence);
                let none = LastGrant::default();
                call(&former.upstream, CallKind::Release, range, fence, none);
            }
            let due = live.is_free() && !live.granting && now >= live.next_at;
            if !due || gone.contains(&piece.owner) {
                continue;
            }
            live.granting = true;
            let kind = CallKind::Grant {
                hold: self.cfg.hold,
                handover: live.handover.clone(),
            };
            let id = call(
                &piece.owner,
                kind,
                piece.range,
                piece.fence,
                live.last_grant,
            );
            live.last_grant = LastGrant {
                sent: now,
                call: Some(id),
            };
        }
    }

    fn move_ranges(&mut self, now: Timestamp, standing: &Standing<'_>, actions: &mut Vec<Action>) {
        let Some(known) = &self.known else {
            return;
        };
        let takers: Vec<UpstreamView> = standing
            .ready
            .iter()
            .filter(|u| !self.gone.contains(&u.id) && !self.is_silent(now, &u.id))
            .cloned()
            .collect();
        // A host that hears only few upstreams is likely cut off itself.
        if takers.len() * 2 < standing.ready.len() || takers.is_empty() {
            return;
        }
        let mut row = known.row.clone();
        let fence = row.fence.next();
        let mut moves = self.planner.evacuate(&row, standing.loads, &takers);
        if moves.is_empty() {
            moves = self.planner.balance(&row, standing.loads, &takers);
        }
        let are_quiet = now >= self.others_until && !row.earlier.is_empty();
        let is_free = |l: &Live| !l.former.is_empty() && l.is_free();
        let has_settled = are_quiet || known.live.iter().any(is_free);
        let tidies = has_settled && now >= self.tidy_at;
        if moves.is_empty() && !tidies {
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
        self.propose(row, Some(revision), actions);
    }

    fn is_silent(&self, now: Timestamp, upstream: &UpstreamId) -> bool {
        self.health.get(upstream).is_some_and(|h| {
            h.failures >= FAILURES_OF_SILENT && now.since(h.failing_since) >= self.cfg.silence
        })
    }
}

fn is_release_due(former: &Former, now: Timestamp) -> bool {
    !former.free && !former.released && !former.releasing && now >= former.release_at
}
