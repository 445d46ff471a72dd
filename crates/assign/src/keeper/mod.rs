//! Grants, renews, releases and moves the ranges of one part of an entry's keys.
//!
//! Every host has a keeper; only that of the host which the row names acts. It is told what was
//! read and how calls ended, and returns the calls and commits to make.
//!
//! - `calls`: grants, renewals and releases, and what their ends say.
//! - `moves`: moves of ranges to other owners.
//! - `strays`: former owners that a held-up grant may still reach.
//! - `waits`: how long keys that move wait for their owner.

mod calls;
mod moves;
mod strays;
mod waits;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ids::{Revision, Timestamp, UpstreamId};

use crate::clock::StoreClock;
use crate::evidence::Evidence;
use crate::live::{LastGrant, Live, carry_over};
use crate::order::{Action, CommitEnd, OrderCall};
use crate::part::Part;
use crate::plan::{Planner, UpstreamView};
use crate::range::Fence;
use crate::row::{Earlier, EntryRow, Piece, Run};
use crate::settings::AssignSettings;

use self::strays::Stray;

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

/// The calls on their way.
#[derive(Debug, Default)]
struct Calls {
    underway: HashMap<u64, Underway>,
    /// The number of the call begun last.
    last: u64,
}

impl Calls {
    /// Begins `call` under a new number, which replaces its `id` and is returned; `earlier` is the grant before it.
    fn begin(&mut self, mut call: OrderCall, earlier: LastGrant, actions: &mut Vec<Action>) -> u64 {
        self.last += 1;
        call.id = self.last;
        let underway = Underway {
            call: call.clone(),
            earlier,
        };
        self.underway.insert(call.id, underway);
        actions.push(Action::Call(call));
        self.last
    }
}

#[derive(Debug)]
struct Known {
    row: EntryRow,
    revision: Revision,
    live: Vec<Live>,
}

/// The keeper of one part of an entry's keys at one host.
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
    earlier: Vec<Earlier>,
    /// When this host first read that a run had been replaced: what that one read before then is
    /// all that lets it grant. One that granted again since has another last row.
    replaced_since: Vec<(Earlier, Timestamp)>,
    /// The newest reading of the store's clock.
    clock: Option<StoreClock>,
    /// When an earlier granting run was last found to be over.
    over_at: Timestamp,
    /// Revision of the row that made this host the granting one.
    named_at: Revision,
    /// When that became known, and the highest fence then.
    began: (Timestamp, Fence),
    /// Rows before this one don't let this host grant: it was told of its successor.
    not_before: Revision,
    /// The row of a commit that has not ended, and when it began.
    commit: Option<(EntryRow, Timestamp)>,
    calls: Calls,
    health: HashMap<UpstreamId, Health>,
    gone: HashSet<UpstreamId>,
    strays: Vec<Stray>,
    plan_at: Timestamp,
    tidy_at: Timestamp,
}

impl Keeper {
    /// Creates the keeper of one part of an entry's keys at the host `me`.
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
            replaced_since: Vec::new(),
            clock: None,
            over_at: Timestamp::ZERO,
            named_at: Revision::default(),
            began: (Timestamp::ZERO, Fence::default()),
            not_before: Revision::default(),
            commit: None,
            calls: Calls::default(),
            health: HashMap::new(),
            gone: HashSet::new(),
            strays: Vec::new(),
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

    /// Tells whether the row names `upstream` as an owner or former owner, or it is still told that it is none.
    #[must_use]
    pub fn mentions(&self, upstream: &UpstreamId) -> bool {
        let names = |p: &Piece| p.owner == *upstream || p.former.contains(upstream);
        self.row().is_some_and(|row| row.pieces.iter().any(names)) || self.is_stray(upstream)
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
        let known = std::mem::take(&mut self.replaced_since);
        let since = |e: &Earlier| {
            let known = known.iter().find(|(k, _)| k.is_same(e));
            (e.clone(), known.map_or(now, |(_, since)| *since))
        };
        self.replaced_since = row.earlier.iter().map(since).collect();
        self.known = Some(Known {
            row,
            revision,
            live,
        });
        self.retain_strays();
        // Calls on their way belong to pieces that may be others now; how they end still counts.
        if !was_granter && self.is_granter() {
            self.begin(now);
        }
        true
    }

    /// Proposes this host as the granting one.
    ///
    /// `is_over` says that the run which grants has surely ended or stopped. Without a row, all
    /// keys of `part` are divided among those of `ready` that own keys of it.
    pub fn take_over(
        &mut self,
        now: Timestamp,
        is_over: bool,
        part: Part,
        ready: &[UpstreamView],
        actions: &mut Vec<Action>,
    ) {
        if self.commit.is_some() || self.is_granter() {
            return;
        }
        let Some(known) = &self.known else {
            let mut owners: Vec<_> = ready.iter().map(|u| u.id.clone()).collect();
            part.retain(&mut owners, |id| id);
            if !owners.is_empty() {
                let row = EntryRow::even(self.me.clone(), part, &owners);
                self.propose(now, row, None, actions);
            }
            return;
        };
        let mut row = known.row.clone();
        let replaced = std::mem::replace(&mut row.granter, self.me.clone());
        let revision = known.revision;
        // What this run sent itself it knows.
        row.earlier
            .retain(|e| e.run != self.me && e.run != replaced);
        if !is_over {
            row.earlier.push(Earlier {
                run: replaced,
                last: revision,
                replaced_by_ms: None,
            });
        }
        self.propose(now, row, Some(revision), actions);
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
        self.began = (now, known.row.fence);
        self.over_at = Timestamp::ZERO;
        self.others_until = self.wait_for_earlier(now);
        self.health.clear();
        self.plan_at = now + self.cfg.plan_every;
    }

    /// Notes what the store's clock said.
    pub fn clock_read(&mut self, now: Timestamp, clock: StoreClock) {
        self.clock = Some(clock);
        if self.is_granter() && !self.earlier.is_empty() {
            self.others_until = self.others_until.min(self.wait_for_earlier(now));
        }
    }

    /// Returns until when grants of earlier granting hosts may hold, as far as is known at `now`.
    fn wait_for_earlier(&self, now: Timestamp) -> Timestamp {
        let evidence = self.cfg.evidence.mul_f64(1.0 + self.cfg.drift);
        let stopped = |e: &Earlier| self.replaced_before(e, now) + evidence;
        let stopped = self.earlier.iter().map(stopped).max();
        let (began, _) = self.began;
        stopped.unwrap_or(began).max(began).max(self.over_at) + self.cfg.outlast()
    }

    /// Returns the earliest time before which the run `earlier` had surely been replaced, by this host's
    /// clock.
    fn replaced_before(&self, earlier: &Earlier, now: Timestamp) -> Timestamp {
        let since = self.replaced_since.iter().find(|(e, _)| e.is_same(earlier));
        let seen = since.map_or(now, |(_, since)| *since);
        let (Some(ms), Some(clock)) = (earlier.replaced_by_ms, self.clock) else {
            return seen;
        };
        let ago = clock.least(now, self.cfg.drift);
        let ago = ago.saturating_sub(Duration::from_millis(ms));
        seen.min(now - ago.mul_f64(1.0 - self.cfg.drift))
    }

    /// Writes into `row` by when earlier runs had been replaced that it doesn't say it of; tells whether
    /// there were any.
    ///
    /// The reading must have been asked for after this host knew that it grants, as the runs had been
    /// replaced by then.
    fn note_replaced(&self, row: &mut EntryRow) -> bool {
        let (began, _) = self.began;
        let Some(clock) = self.clock.filter(|clock| clock.asked >= began) else {
            return false;
        };
        let untold = row
            .earlier
            .iter_mut()
            .filter(|e| e.replaced_by_ms.is_none());
        let ms = u64::try_from(clock.reads.as_millis()).unwrap_or(u64::MAX);
        let told = untold.map(|e| e.replaced_by_ms = Some(ms + 1));
        told.count() > 0
    }

    /// Returns earlier granting runs that are not known to be over.
    #[must_use]
    pub fn earlier(&self) -> &[Earlier] {
        &self.earlier
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

    /// Notes that an earlier granting run has surely ended or stopped.
    pub fn is_over(&mut self, now: Timestamp, run: &Run) {
        self.earlier.retain(|e| e.run != *run);
        self.over_at = now;
        if self.earlier.is_empty() {
            self.others_until = self.others_until.min(now + self.cfg.outlast());
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
        self.commit = Some((row.clone(), now));
        actions.push(Action::Commit { row, expected });
    }

    /// Notes how the commit ended.
    pub fn commit_ended(&mut self, now: Timestamp, end: CommitEnd) {
        let Some((proposed, began)) = self.commit.take() else {
            return;
        };
        match end {
            CommitEnd::Done(revision) => {
                // The store had this row after the commit began: that is as good as a read of it.
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
