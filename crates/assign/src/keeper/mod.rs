//! Grants, renews, releases and moves the ranges of one partition of an entry's keys.
//!
//! Every host has a state machine for each partition; only that of the granting host, which the row
//! names, acts. Its inputs are rows that were read and the outcomes of calls; its outputs are the
//! calls and commits to make.
//!
//! - `calls`: grants, renewals and releases, and their outcomes.
//! - `moves`: moves of ranges to other owners.
//! - `unconfirmed`: releases that previous owners have not confirmed.
//! - `waits`: how long keys that are moving wait for their new owner.

mod calls;
mod moves;
mod unconfirmed;
mod waits;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{Revision, Timestamp, UpstreamId};

use crate::clock::StoreClock;
use crate::evidence::Evidence;
use crate::grant_state::{GrantState, LastGrant, transfer_states};
use crate::order::{Action, CommitEnd, OrderCall};
use crate::part::Part;
use crate::plan::{Planner, UpstreamView};
use crate::range::Fence;
use crate::row::{Earlier, EntryRow, Piece, Run};
use crate::settings::AssignSettings;

use self::unconfirmed::UnconfirmedRelease;

#[derive(Debug, Clone)]
struct Health {
    failures: u32,
    failing_since: Timestamp,
}

/// A call in flight.
#[derive(Debug)]
struct InFlight {
    call: OrderCall,
    /// The grant before this one.
    earlier: LastGrant,
}

/// The calls in flight.
#[derive(Debug, Default)]
struct Calls {
    in_flight: HashMap<u64, InFlight>,
    /// The id of the last call.
    last_id: u64,
}

impl Calls {
    /// Starts `call` under a new id, which replaces its `id` and is returned; `earlier` is the
    /// grant before it.
    fn start(&mut self, mut call: OrderCall, earlier: LastGrant, actions: &mut Vec<Action>) -> u64 {
        self.last_id += 1;
        call.id = self.last_id;
        let in_flight = InFlight {
            call: call.clone(),
            earlier,
        };
        self.in_flight.insert(call.id, in_flight);
        actions.push(Action::Call(call));
        self.last_id
    }
}

#[derive(Debug)]
struct KnownRow {
    row: EntryRow,
    revision: Revision,
    states: Vec<GrantState>,
}

/// Manages the grants of one partition of an entry's keys at one host.
#[derive(Debug)]
pub struct Keeper {
    cfg: AssignSettings,
    planner: Planner,
    this_host: Run,
    known: Option<KnownRow>,
    evidence: Evidence,
    /// When all grants of previous granting hosts have expired.
    previous_grants_until: Timestamp,
    /// Previous granters that are not known to have ended or stopped.
    earlier: Vec<Earlier>,
    /// When this host first read that a granter had been replaced. A replaced granter acts only on
    /// what it read before then; one that granted again since has another last row.
    first_read_replaced: Vec<(Earlier, Timestamp)>,
    /// The newest reading of the store's clock.
    clock: Option<StoreClock>,
    /// When a previous granter was last found to have ended or stopped.
    ended_at: Timestamp,
    /// Revision of the row that made this host the granting host.
    named_at: Revision,
    /// When this host read that row, and the highest fencing token at that time.
    granting_since: (Timestamp, Fence),
    /// Rows before this revision don't let this host grant: it was informed of a successor.
    min_revision: Revision,
    /// The row of the pending commit, and when the commit began.
    pending_commit: Option<(EntryRow, Timestamp)>,
    calls: Calls,
    health: HashMap<UpstreamId, Health>,
    retired: HashSet<UpstreamId>,
    unconfirmed: Vec<UnconfirmedRelease>,
    next_plan_at: Timestamp,
    next_cleanup_at: Timestamp,
}

impl Keeper {
    /// Creates the state machine of one partition at the host `me`.
    #[must_use]
    pub fn new(me: Run, cfg: AssignSettings, planner: Planner) -> Self {
        Self {
            cfg,
            planner,
            this_host: me,
            known: None,
            evidence: Evidence::default(),
            previous_grants_until: Timestamp::ZERO,
            earlier: Vec::new(),
            first_read_replaced: Vec::new(),
            clock: None,
            ended_at: Timestamp::ZERO,
            named_at: Revision::default(),
            granting_since: (Timestamp::ZERO, Fence::default()),
            min_revision: Revision::default(),
            pending_commit: None,
            calls: Calls::default(),
            health: HashMap::new(),
            retired: HashSet::new(),
            unconfirmed: Vec::new(),
            next_plan_at: Timestamp::ZERO,
            next_cleanup_at: Timestamp::ZERO,
        }
    }

    /// Returns the last known row.
    #[must_use]
    pub fn row(&self) -> Option<&EntryRow> {
        self.known.as_ref().map(|k| &k.row)
    }

    /// Returns whether the last known row names this incarnation of this host as the granting host.
    #[must_use]
    pub fn is_granter(&self) -> bool {
        let names_this_host =
            |k: &KnownRow| k.row.granter == self.this_host && k.revision >= self.min_revision;
        self.known.as_ref().is_some_and(names_this_host)
    }

    /// Returns whether this host grants: the row names it, and its read lease has not expired.
    #[must_use]
    pub fn is_granting(&self, now: Timestamp) -> bool {
        self.is_granter() && self.evidence.is_within(now, self.cfg.evidence)
    }

    /// Returns whether the row names `upstream` as an owner or previous owner, or a release to it
    /// is not confirmed yet.
    #[must_use]
    pub fn mentions(&self, upstream: &UpstreamId) -> bool {
        let names = |p: &Piece| p.owner == *upstream || p.former.contains(upstream);
        self.row().is_some_and(|row| row.pieces.iter().any(names)) || self.has_unconfirmed(upstream)
    }

    /// Returns the revision of the last known row.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.known.as_ref().map(|k| k.revision)
    }

    /// Returns the time since the last read of the row began.
    #[must_use]
    pub fn evidence_age(&self, now: Timestamp) -> Option<Duration> {
        self.evidence.age(now)
    }

    /// Records a read of the store that began at `began` and returned everything up to then.
    pub fn read(&mut self, began: Timestamp) {
        self.evidence.read(began);
    }

    /// Applies a row that was read, unless it is older than the known one.
    ///
    /// Returns whether it is newer.
    pub fn take(&mut self, now: Timestamp, row: EntryRow, revision: Revision) -> bool {
        if self.known.as_ref().is_some_and(|k| k.revision >= revision) {
            return false;
        }
        let was_granter = self.is_granter();
        let old = self.known.as_ref().map(|k| (&k.row, k.states.as_slice()));
        let states = transfer_states(old, &row, now);
        self.retired.retain(|up| {
            row.pieces
                .iter()
                .any(|p| p.owner == *up || p.former.contains(up))
        });
        let known = std::mem::take(&mut self.first_read_replaced);
        let since = |e: &Earlier| {
            let known = known.iter().find(|(k, _)| k.is_same(e));
            (e.clone(), known.map_or(now, |(_, since)| *since))
        };
        self.first_read_replaced = row.earlier.iter().map(since).collect();
        self.known = Some(KnownRow {
            row,
            revision,
            states,
        });
        self.retain_unconfirmed();
        // The ranges of calls in flight may no longer exist in this row; the outcomes of the calls
        // still count.
        if !was_granter && self.is_granter() {
            self.start_granting(now);
        }
        true
    }

    /// Proposes this host as the granting host.
    ///
    /// `is_over` says that the current granter has ended or stopped for certain. If there is no
    /// row, the keys of `part` are divided among those of `ready` that may own keys of it.
    pub fn take_over(
        &mut self,
        now: Timestamp,
        is_over: bool,
        part: Part,
        ready: &[UpstreamView],
        actions: &mut Vec<Action>,
    ) {
        if self.pending_commit.is_some() || self.is_granter() {
            return;
        }
        let Some(known) = &self.known else {
            let mut owners: Vec<_> = ready.iter().map(|u| u.id.clone()).collect();
            part.retain(&mut owners, |id| id);
            if !owners.is_empty() {
                let row = EntryRow::even(self.this_host.clone(), part, &owners);
                self.propose(now, row, None, actions);
            }
            return;
        };
        let mut row = known.row.clone();
        let replaced = std::mem::replace(&mut row.granter, self.this_host.clone());
        let revision = known.revision;
        // This incarnation has its own record of the grants that it sent.
        row.earlier
            .retain(|e| e.run != self.this_host && e.run != replaced);
        if !is_over {
            row.earlier.push(Earlier {
                run: replaced,
                last: revision,
                replaced_by_ms: None,
            });
        }
        self.propose(now, row, Some(revision), actions);
    }

    /// Starts granting: the row that names this host became known at `now`.
    ///
    /// Previous granting hosts may have read until now that they still grant.
    fn start_granting(&mut self, now: Timestamp) {
        let Some(known) = &self.known else {
            return;
        };
        self.earlier.clone_from(&known.row.earlier);
        self.named_at = known.revision;
        self.granting_since = (now, known.row.fence);
        self.ended_at = Timestamp::ZERO;
        self.previous_grants_until = self.previous_grants_end(now);
        self.health.clear();
        self.next_plan_at = now + self.cfg.plan_every;
    }

    /// Records a reading of the store's clock.
    pub fn clock_read(&mut self, now: Timestamp, clock: StoreClock) {
        self.clock = Some(clock);
        if self.is_granter() && !self.earlier.is_empty() {
            self.previous_grants_until = self
                .previous_grants_until
                .min(self.previous_grants_end(now));
        }
    }

    /// Returns when all grants of previous granting hosts have expired, as far as is known at
    /// `now`.
    fn previous_grants_end(&self, now: Timestamp) -> Timestamp {
        let evidence = self.cfg.evidence.mul_f64(1.0 + self.cfg.drift);
        let stopped = |e: &Earlier| self.replaced_by(e, now) + evidence;
        let stopped = self.earlier.iter().map(stopped).max();
        let (began, _) = self.granting_since;
        stopped.unwrap_or(began).max(began).max(self.ended_at) + self.cfg.outlast()
    }

    /// Returns the earliest time, by this host's clock, by which the granter `earlier` had been
    /// replaced for certain.
    fn replaced_by(&self, earlier: &Earlier, now: Timestamp) -> Timestamp {
        let since = self
            .first_read_replaced
            .iter()
            .find(|(e, _)| e.is_same(earlier));
        let seen = since.map_or(now, |(_, since)| *since);
        let (Some(ms), Some(clock)) = (earlier.replaced_by_ms, self.clock) else {
            return seen;
        };
        let ago = clock.least(now, self.cfg.drift);
        let ago = ago.saturating_sub(Duration::from_millis(ms));
        seen.min(now - ago.mul_f64(1.0 - self.cfg.drift))
    }

    /// Writes into `row` by when previous granters had been replaced, where it does not say so yet;
    /// returns whether there were any.
    ///
    /// The clock reading must have been requested after this host read that it grants, because the
    /// granters had been replaced by then.
    fn write_replaced_by(&self, row: &mut EntryRow) -> bool {
        let (began, _) = self.granting_since;
        let Some(clock) = self.clock.filter(|clock| clock.asked >= began) else {
            return false;
        };
        let missing = row
            .earlier
            .iter_mut()
            .filter(|e| e.replaced_by_ms.is_none());
        let ms = u64::try_from(clock.reads.as_millis()).unwrap_or(u64::MAX);
        let written = missing.map(|e| e.replaced_by_ms = Some(ms + 1));
        written.count() > 0
    }

    /// Returns previous granters that are not known to have ended or stopped.
    #[must_use]
    pub fn earlier(&self) -> &[Earlier] {
        &self.earlier
    }

    /// Returns the revision of the row that made this host the granting host.
    ///
    /// It is sent to previous granting hosts that can't read the store, so that they stop granting.
    #[must_use]
    pub const fn named_at(&self) -> Revision {
        self.named_at
    }

    /// Records that the row at `revision` names another granting host: this one grants nothing by
    /// rows before it.
    pub fn replaced(&mut self, revision: Revision) {
        self.min_revision = self.min_revision.max(revision);
    }

    /// Returns the lowest revision of a row that lets this host grant.
    #[must_use]
    pub fn knows(&self) -> Revision {
        self.revision().unwrap_or_default().max(self.min_revision)
    }

    /// Records that the host incarnation `run` grants nothing by rows before the revision `knows`.
    pub fn heard(&mut self, now: Timestamp, run: &Run, knows: Revision) {
        if !self.is_granter() {
            return;
        }
        let over = |earlier: &&Earlier| {
            let has_ended = earlier.run.incarnation != run.incarnation;
            earlier.run.host == run.host && (has_ended || knows >= self.named_at)
        };
        let over = self.earlier.iter().filter(over);
        let over: Vec<Run> = over.map(|e| e.run.clone()).collect();
        for run in over {
            self.is_over(now, &run);
        }
    }

    /// Records that a previous granter has ended or stopped for certain.
    pub fn is_over(&mut self, now: Timestamp, run: &Run) {
        self.earlier.retain(|e| e.run != *run);
        self.ended_at = now;
        if self.earlier.is_empty() {
            self.previous_grants_until = self.previous_grants_until.min(now + self.cfg.outlast());
        }
    }

    fn propose(
        &mut self,
        now: Timestamp,
        row: EntryRow,
        expected: Option<Revision>,
        actions: &mut Vec<Action>,
    ) {
        debug_assert!(row.check().is_ok(), "only valid rows are written");
        self.pending_commit = Some((row.clone(), now));
        actions.push(Action::Commit { row, expected });
    }

    /// Handles the outcome of the pending commit.
    pub fn commit_ended(&mut self, now: Timestamp, end: CommitEnd) {
        let Some((proposed, began)) = self.pending_commit.take() else {
            return;
        };
        match end {
            CommitEnd::Done(revision) => {
                // The store held this row after the commit began, so the commit renews the read
                // lease as a read does.
                self.evidence.read(began);
                self.take(now, proposed, revision);
            }
            CommitEnd::Conflict(Some((row, revision))) => {
                self.take(now, row, revision);
            }
            CommitEnd::Conflict(None) | CommitEnd::Unknown | CommitEnd::NotDone => {}
        }
    }
}
