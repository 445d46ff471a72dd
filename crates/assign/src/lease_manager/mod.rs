//! Grants, renews, releases and moves the ranges of one partition of an entry's keys.
//!
//! Every host has a state machine for each partition; only that of the granting host, which the row
//! names, acts. Its inputs are rows that were read and the outcomes of calls; its outputs are the
//! calls and commits to make.
//!
//! - `recovery`: what follows when the store returns from a copy.
//! - `calls`: grants, renewals and releases, and their outcomes.
//! - `moves`: moves of ranges to other owners.
//! - `unconfirmed`: releases that previous owners have not confirmed.
//! - `waits`: how long keys that are moving wait for their new owner.

mod calls;
mod moves;
mod recovery;
mod unconfirmed;
mod waits;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{Revision, StoreEra, Timestamp, UpstreamId};

use crate::clock::StoreClock;
use crate::grant_call::{Action, CallKind, CommitOutcome, GrantCall};
use crate::grant_state::{GrantState, LastGrant, transfer_states};
use crate::partition::Partition;
use crate::plan::{PlannedUpstream, Planner};
use crate::range::{FencingToken, KeyRange};
use crate::read_lease::ReadLease;
use crate::row::{HostIncarnation, OwnedRange, PartitionRow, PreviousGranter, Recovery};
use crate::settings::AssignSettings;

use self::recovery::EraRecovery;
use self::unconfirmed::UnconfirmedRelease;

#[derive(Debug, Clone)]
struct Health {
    failures: u32,
    failing_since: Timestamp,
}

/// A call in flight.
#[derive(Debug)]
struct InFlight {
    call: GrantCall,
    /// The grant before this one.
    previous: LastGrant,
}

/// The calls in flight.
#[derive(Debug, Default)]
struct Calls {
    in_flight: HashMap<u64, InFlight>,
    /// The id of the last call.
    last_id: u64,
}

impl Calls {
    /// Starts `call` under a new id, which replaces its `id` and is returned; `previous` is the
    /// grant before it.
    fn start(
        &mut self,
        mut call: GrantCall,
        previous: LastGrant,
        actions: &mut Vec<Action>,
    ) -> u64 {
        self.last_id += 1;
        call.id = self.last_id;
        let in_flight = InFlight {
            call: call.clone(),
            previous,
        };
        self.in_flight.insert(call.id, in_flight);
        actions.push(Action::Call(call));
        self.last_id
    }

    /// Returns the upstreams and keys of the grants in flight.
    fn grants_in_flight(&self) -> Vec<(UpstreamId, KeyRange)> {
        let calls = self.in_flight.values().map(|f| &f.call);
        let grants = calls.filter(|call| matches!(call.kind, CallKind::Grant { .. }));
        grants.map(|c| (c.upstream.clone(), c.range)).collect()
    }
}

#[derive(Debug)]
struct KnownRow {
    row: PartitionRow,
    revision: Revision,
    states: Vec<GrantState>,
}

/// Manages the grants of one partition of an entry's keys at one host.
#[derive(Debug)]
pub struct PartitionLeaseManager {
    cfg: AssignSettings,
    planner: Planner,
    this_host: HostIncarnation,
    known: Option<KnownRow>,
    read_lease: ReadLease,
    /// When all grants of previous granting hosts have expired.
    previous_grants_until: Timestamp,
    /// Previous granters that are not known to have ended or stopped.
    previous_granters: Vec<PreviousGranter>,
    /// When this host first read that a granter had been replaced. A replaced granter acts only on
    /// what it read before then; one that granted again since has another last row.
    first_read_replaced: Vec<(PreviousGranter, Timestamp)>,
    /// The newest reading of the store's clock.
    clock: Option<StoreClock>,
    /// When a previous granter was last found to have ended or stopped.
    ended_at: Timestamp,
    /// Revision of the row that made this host the granting host.
    granting_revision: Revision,
    /// When this host read that row, and the highest fencing token at that time.
    granting_since: (Timestamp, FencingToken),
    /// Lower tokens than this one may have been used by other hosts for grants.
    own_tokens_from: FencingToken,
    /// Rows before this revision don't let this host grant: it was informed of a successor.
    min_revision: Revision,
    /// The row of the pending commit, and when the commit began.
    pending_commit: Option<(PartitionRow, Timestamp)>,
    calls: Calls,
    health: HashMap<UpstreamId, Health>,
    retired: HashSet<UpstreamId>,
    unconfirmed: Vec<UnconfirmedRelease>,
    next_plan_at: Timestamp,
    next_cleanup_at: Timestamp,
    recovery: EraRecovery,
}

impl PartitionLeaseManager {
    /// Creates the state machine of one partition at `this_host`.
    #[must_use]
    pub fn new(this_host: HostIncarnation, cfg: AssignSettings, planner: Planner) -> Self {
        Self {
            cfg,
            planner,
            this_host,
            known: None,
            read_lease: ReadLease::default(),
            previous_grants_until: Timestamp::ZERO,
            previous_granters: Vec::new(),
            first_read_replaced: Vec::new(),
            clock: None,
            ended_at: Timestamp::ZERO,
            granting_revision: Revision::default(),
            granting_since: (Timestamp::ZERO, FencingToken::default()),
            own_tokens_from: FencingToken::default(),
            min_revision: Revision::default(),
            pending_commit: None,
            calls: Calls::default(),
            health: HashMap::new(),
            retired: HashSet::new(),
            unconfirmed: Vec::new(),
            next_plan_at: Timestamp::ZERO,
            next_cleanup_at: Timestamp::ZERO,
            recovery: EraRecovery::default(),
        }
    }

    /// Returns the last known row.
    #[must_use]
    pub fn row(&self) -> Option<&PartitionRow> {
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
        self.is_granter() && self.read_lease.is_within(now, self.cfg.read_lease)
    }

    /// Returns whether the row names `upstream` as an owner or previous owner, or a release to it
    /// is not confirmed yet.
    #[must_use]
    pub fn mentions(&self, upstream: &UpstreamId) -> bool {
        let names = |p: &OwnedRange| p.owner == *upstream || p.previous_owners.contains(upstream);
        self.row().is_some_and(|row| row.ranges.iter().any(names)) || self.has_unconfirmed(upstream)
    }

    /// Returns the revision of the last known row.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.known.as_ref().map(|k| k.revision)
    }

    /// Returns the time since the last read of the row began.
    #[must_use]
    pub fn read_age(&self, now: Timestamp) -> Option<Duration> {
        self.read_lease.age(now)
    }

    /// Records a read of the store that began at `began` and returned everything up to then; the
    /// store was in `era`.
    ///
    /// A read of another era than that of the known row says nothing about that row.
    pub fn record_read(&mut self, began: Timestamp, era: StoreEra) {
        let row_era = self.known.as_ref().map(|k| k.revision.era());
        if row_era.is_none_or(|row_era| row_era == era) {
            self.read_lease.record_read(began);
        }
    }

    /// Applies a row that was read, unless it is older than the known one.
    ///
    /// Returns whether it is newer.
    pub fn apply_row(&mut self, now: Timestamp, row: PartitionRow, revision: Revision) -> bool {
        if self.known.as_ref().is_some_and(|k| k.revision >= revision) {
            return false;
        }
        let was_granter = self.is_granter();
        let is_new_era = self.revision().is_some_and(|r| r.era() < revision.era());
        if is_new_era {
            self.leave_era(now);
        }
        let old = self.known.as_ref().map(|k| (&k.row, k.states.as_slice()));
        let states = transfer_states(old, &row, now);
        self.retired.retain(|up| {
            row.ranges
                .iter()
                .any(|p| p.owner == *up || p.previous_owners.contains(up))
        });
        let known = std::mem::take(&mut self.first_read_replaced);
        let since = |e: &PreviousGranter| {
            let known = known.iter().find(|(k, _)| k.is_same(e));
            (e.clone(), known.map_or(now, |(_, since)| *since))
        };
        self.first_read_replaced = row.previous_granters.iter().map(since).collect();
        self.known = Some(KnownRow {
            row,
            revision,
            states,
        });
        self.retain_unconfirmed();
        // The ranges of calls in flight may no longer exist in this row; the outcomes of the calls
        // still count.
        if self.is_granter() && !was_granter {
            self.own_tokens_from = self.first_own_token();
        }
        if self.is_granter() && (is_new_era || !was_granter) {
            self.start_granting(now);
        }
        true
    }

    /// Proposes this host as the granting host.
    ///
    /// `has_ended` says that the current granter has ended or stopped for certain. If there is no
    /// row, the keys of `partition` are divided among those of `ready` that may own keys of it.
    pub fn take_over(
        &mut self,
        now: Timestamp,
        has_ended: bool,
        partition: Partition,
        ready: &[PlannedUpstream],
        actions: &mut Vec<Action>,
    ) {
        if self.pending_commit.is_some() || self.is_granter() {
            return;
        }
        let Some(known) = &self.known else {
            let mut owners: Vec<_> = ready.iter().map(|u| u.id.clone()).collect();
            partition.retain_eligible(&mut owners, |id| id);
            if !owners.is_empty() {
                let row = PartitionRow::split_evenly(self.this_host.clone(), partition, &owners);
                let row = self.first_row_of_era(row);
                self.propose(now, row, None, actions);
            }
            return;
        };
        let mut row = known.row.clone();
        let replaced = std::mem::replace(&mut row.granter, self.this_host.clone());
        let revision = known.revision;
        // This incarnation has its own record of the grants that it sent.
        row.previous_granters
            .retain(|e| e.granter != self.this_host && e.granter != replaced);
        if !has_ended {
            row.previous_granters.push(PreviousGranter {
                granter: replaced,
                last_revision: revision,
                replaced_by_ms: None,
            });
        }
        if self.is_row_of_past_era() {
            let row = recovery::recovered_row(row, Recovery::Waits);
            self.propose(now, row, None, actions);
            return;
        }
        // This host can't know to which processes its predecessors granted keys under their tokens.
        if row.recovery.is_none() {
            row.raise_tokens(|_| true);
        }
        self.propose(now, row, Some(revision), actions);
    }

    /// Returns the lowest token that only this host can have used for grants, as the known row makes
    /// it the granting host.
    ///
    /// A host that takes over raises all tokens, unless a recovery does so later.
    fn first_own_token(&self) -> FencingToken {
        let Some(row) = self.row() else {
            return FencingToken::default();
        };
        match row.recovery {
            None => row.highest_token,
            Some(_) => row.highest_token.next(),
        }
    }

    /// Starts granting: the row that names this host became known at `now`.
    ///
    /// Previous granting hosts may have read until now that they still grant.
    fn start_granting(&mut self, now: Timestamp) {
        let Some(known) = &self.known else {
            return;
        };
        self.previous_granters
            .clone_from(&known.row.previous_granters);
        self.granting_revision = known.revision;
        self.granting_since = (now, known.row.highest_token);
        self.recovery.start_granting();
        self.ended_at = Timestamp::ZERO;
        self.previous_grants_until = self.previous_grants_end(now);
        self.health.clear();
        self.next_plan_at = now + self.cfg.plan_every;
    }

    /// Records a reading of the store's clock.
    pub fn record_clock(&mut self, now: Timestamp, clock: StoreClock) {
        self.clock = Some(clock);
        if self.is_granter() && !self.previous_granters.is_empty() {
            self.previous_grants_until = self
                .previous_grants_until
                .min(self.previous_grants_end(now));
        }
    }

    /// Returns when all grants of previous granting hosts have expired, as far as is known at
    /// `now`.
    fn previous_grants_end(&self, now: Timestamp) -> Timestamp {
        let read_lease = self.cfg.read_lease.mul_f64(1.0 + self.cfg.clock_drift);
        let stopped = |e: &PreviousGranter| self.replaced_by(e, now) + read_lease;
        let stopped = self.previous_granters.iter().map(stopped).max();
        let (began, _) = self.granting_since;
        stopped.unwrap_or(began).max(began).max(self.ended_at) + self.cfg.max_grant_age()
    }

    /// Returns the earliest time, by this host's clock, by which the granter `previous` had been
    /// replaced for certain.
    fn replaced_by(&self, previous: &PreviousGranter, now: Timestamp) -> Timestamp {
        let since = self
            .first_read_replaced
            .iter()
            .find(|(e, _)| e.is_same(previous));
        let seen = since.map_or(now, |(_, since)| *since);
        let era = self.revision().unwrap_or_default().era();
        let clock = self.clock.filter(|clock| clock.era == era);
        let (Some(ms), Some(clock)) = (previous.replaced_by_ms, clock) else {
            return seen;
        };
        let ago = clock.lower_bound(now, self.cfg.clock_drift);
        let ago = ago.saturating_sub(Duration::from_millis(ms));
        seen.min(now - ago.mul_f64(1.0 - self.cfg.clock_drift))
    }

    /// Writes into `row` by when previous granters had been replaced, where it does not say so yet;
    /// returns whether there were any.
    ///
    /// The clock reading must have been requested after this host read that it grants, because the
    /// granters had been replaced by then.
    fn write_replaced_by(&self, row: &mut PartitionRow) -> bool {
        let (began, _) = self.granting_since;
        let era = self.revision().unwrap_or_default().era();
        let is_usable = |clock: &StoreClock| clock.requested_at >= began && clock.era == era;
        let Some(clock) = self.clock.filter(is_usable) else {
            return false;
        };
        let missing = row
            .previous_granters
            .iter_mut()
            .filter(|e| e.replaced_by_ms.is_none());
        let ms = u64::try_from(clock.store_time.as_millis()).unwrap_or(u64::MAX);
        let written = missing.map(|e| e.replaced_by_ms = Some(ms + 1));
        written.count() > 0
    }

    /// Returns previous granters that are not known to have ended or stopped.
    #[must_use]
    pub fn previous_granters(&self) -> &[PreviousGranter] {
        &self.previous_granters
    }

    /// Returns the revision of the row that made this host the granting host.
    ///
    /// It is sent to previous granting hosts that can't read the store, so that they stop granting.
    #[must_use]
    pub const fn granting_revision(&self) -> Revision {
        self.granting_revision
    }

    /// Records that the row at `revision` names another granting host: this one grants nothing by
    /// rows before it.
    pub fn mark_replaced(&mut self, revision: Revision) {
        self.min_revision = self.min_revision.max(revision);
    }

    /// Returns the lowest revision of a row that lets this host grant.
    #[must_use]
    pub fn grants_from(&self) -> Revision {
        self.revision().unwrap_or_default().max(self.min_revision)
    }

    /// Records that the host incarnation `granter` grants nothing by rows before the revision
    /// `grants_from`.
    pub fn granter_reported(
        &mut self,
        now: Timestamp,
        granter: &HostIncarnation,
        grants_from: Revision,
    ) {
        if !self.is_granter() {
            return;
        }
        let ended = |previous: &&PreviousGranter| {
            let has_ended = previous.granter.incarnation != granter.incarnation;
            previous.granter.host == granter.host
                && (has_ended || grants_from >= self.granting_revision)
        };
        let ended = self.previous_granters.iter().filter(ended);
        let ended: Vec<HostIncarnation> = ended.map(|e| e.granter.clone()).collect();
        for granter in ended {
            self.mark_ended(now, &granter);
        }
    }

    /// Records that a previous granter has ended or stopped for certain.
    pub fn mark_ended(&mut self, now: Timestamp, granter: &HostIncarnation) {
        self.previous_granters.retain(|e| e.granter != *granter);
        self.ended_at = now;
        if self.previous_granters.is_empty() {
            self.previous_grants_until = self
                .previous_grants_until
                .min(now + self.cfg.max_grant_age());
        }
    }

    fn propose(
        &mut self,
        now: Timestamp,
        row: PartitionRow,
        expected: Option<Revision>,
        actions: &mut Vec<Action>,
    ) {
        debug_assert!(row.check().is_ok(), "only valid rows are written");
        self.pending_commit = Some((row.clone(), now));
        let era = self.era();
        actions.push(Action::Commit { row, expected, era });
    }

    /// Handles the outcome of the pending commit.
    pub fn commit_ended(&mut self, now: Timestamp, outcome: CommitOutcome) {
        let Some((proposed, began)) = self.pending_commit.take() else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(revision) => {
                // The store held this row after the commit began, so the commit renews the read
                // lease as a read does.
                self.apply_row(now, proposed, revision);
                self.record_read(began, revision.era());
            }
            CommitOutcome::Conflict(Some((row, revision))) => {
                self.apply_row(now, row, revision);
            }
            CommitOutcome::Conflict(None)
            | CommitOutcome::Unknown
            | CommitOutcome::NotCommitted => {}
        }
    }
}
