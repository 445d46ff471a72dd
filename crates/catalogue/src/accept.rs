//! The state machine that gets a change accepted.
//!
//! Each attempt reads the catalogue, works out the plan, reads the change id, and commits one
//! transaction that writes the items, the head and the history. It checks that
//!
//! - the head has not moved, so that versions are in one order and the plan was made on what is
//!   in force,
//! - no row that it writes has moved, and
//! - no change of this id was decided, so that none is applied twice.
//!
//! An attempt whose confirmation was lost can still land late, but only while the head stands
//! where the attempt saw it. After any other commit it is void; and a further attempt on the same
//! head excludes it by the check on the id.

use std::time::Duration;

use ids::{ChangeId, Revision, Version};
use platform::{Commit, PlatformError, Row, Txn};
use smol_str::{SmolStr, format_smolstr};

use self::draft::{Draft, Object, object};
use crate::base::Base;
use crate::fault::Faults;
use crate::in_force::{InForce, RowFault};
use crate::item::ItemKey;
use crate::plan::{Plan, Wanted, plan};
use crate::rows::{Head, IdRow, decode, id_key};

mod draft;
pub mod types;

pub use types::{Action, BaseFrom, Event, Intention, Patience, Verdict};

/// What the machine waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The rows of the catalogue.
    ReadCatalogue,
    /// The row of the change id, before an attempt.
    ReadId,
    /// The object of a large change to be stored.
    Store,
    /// The transaction to be decided.
    Commit,
    /// The row of the change id, after a lost confirmation.
    ReadBack,
    /// Nothing more.
    Done,
}

/// Gets one change accepted.
///
/// It takes events and gives one action for each; it does no I/O and reads no clock.
#[derive(Debug)]
pub struct Apply {
    wanted: Wanted,
    base: BaseFrom,
    message: SmolStr,
    at_ms: u64,
    patience: Patience,
    in_force: InForce,
    read_to: Revision,
    has_base: bool,
    plan: Plan,
    change: Option<ChangeId>,
    step: Step,
    /// Failed calls in a row.
    failures: u32,
    attempts: u32,
    /// Attempts whose confirmation was lost; each may have landed or may land yet.
    unconfirmed: u32,
    last_failure: Option<PlatformError>,
    /// A refused transaction, and the head that it was made for.
    refused: Option<(PlatformError, Revision)>,
    verdict: Option<Verdict>,
}

impl Apply {
    /// Creates the machine.
    #[must_use]
    pub fn new(intention: Intention, patience: Patience) -> Self {
        let given = match &intention.base {
            BaseFrom::Given(base) => base.clone(),
            BaseFrom::FirstRead { .. } => Base::default(),
        };
        Self {
            wanted: Wanted {
                catalogue: intention.catalogue,
                sources: intention.sources,
                base: given,
                expect: intention.expect,
                operator: intention.operator,
                admin: intention.admin,
            },
            base: intention.base,
            message: intention.message,
            at_ms: intention.at_ms,
            patience,
            in_force: InForce::new(),
            read_to: Revision(0),
            has_base: false,
            plan: Plan::default(),
            change: intention.change,
            step: Step::ReadCatalogue,
            failures: 0,
            attempts: 0,
            unconfirmed: 0,
            last_failure: None,
            refused: None,
            verdict: None,
        }
    }

    /// Returns how it ended, once it has.
    #[must_use]
    pub const fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Returns the plan of the last attempt.
    #[must_use]
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the id of the change, once it is known.
    #[must_use]
    pub const fn change(&self) -> Option<&ChangeId> {
        self.change.as_ref()
    }

    /// Returns the catalogue as last read.
    #[must_use]
    pub const fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Works out the plan on `in_force` without submitting anything.
    pub fn plan_on(&mut self, in_force: &InForce) -> Plan {
        self.in_force = in_force.clone();
        self.take_base();
        plan(&self.wanted, in_force)
    }

    /// Returns the base of the operator's directory after a change that made `version`.
    #[must_use]
    pub fn base_after(&self, version: Version) -> Base {
        self.plan.base_after(&self.wanted, &self.in_force, version)
    }

    /// Takes an event and pushes the next action.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the event does not answer the last action.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        debug_assert!(self.verdict.is_none(), "nothing happens after the end");
        let action = match event {
            Event::Start | Event::Woken => self.ask(),
            Event::Failed(e) => self.failed(e),
            Event::Catalogue(rows) => self.catalogue(&rows),
            Event::Id(rows) => self.id(&rows),
            Event::Stored => self.go(Step::Commit),
            Event::Committed(commit) => self.committed(commit),
        };
        actions.push(action);
    }

    fn go(&mut self, step: Step) -> Action {
        self.failures = 0;
        self.step = step;
        self.ask()
    }

    /// Returns the action of the current step.
    fn ask(&mut self) -> Action {
        match self.step {
            Step::ReadCatalogue => Action::ReadCatalogue(self.read_to),
            Step::ReadId | Step::ReadBack => Action::ReadId(self.change_id()),
            Step::Store => self.store(),
            Step::Commit => Action::Commit(self.txn()),
            Step::Done => Action::Finish,
        }
    }

    fn store(&mut self) -> Action {
        let Some(Object { name, body, .. }) = object(&self.plan.changes) else {
            return self.go(Step::Commit);
        };
        Action::Store { name, body }
    }

    fn finish(&mut self, verdict: Verdict) -> Action {
        self.step = Step::Done;
        self.verdict = Some(verdict);
        Action::Finish
    }

    fn change_id(&self) -> ChangeId {
        let derived = || self.plan.change_id(&self.wanted.operator);
        self.change.clone().unwrap_or_else(derived)
    }

    fn catalogue(&mut self, rows: &[Row]) -> Action {
        let last = rows.iter().map(|r| r.revision).max();
        self.read_to = last.unwrap_or(self.read_to).max(self.read_to);
        let applied = self.in_force.apply_rows(rows);
        if !applied.faults.is_empty() {
            return self.finish(Verdict::Unreadable(applied.faults));
        }
        if !self.in_force.is_complete() {
            return self.failed(self.torn_read());
        }
        if !self.has_base {
            self.take_base();
        }
        self.plan = plan(&self.wanted, &self.in_force);
        if self.plan.intended.is_empty() && self.change.is_none() {
            let version = self.in_force.version();
            return self.finish(Verdict::InForce { version });
        }
        self.change = Some(self.change_id());
        self.go(Step::ReadId)
    }

    /// Says that the rows were read while others wrote them.
    fn torn_read(&self) -> PlatformError {
        let version = self.next_version().0 - 1;
        PlatformError::BadAnswer {
            step: "read catalogue",
            peer: SmolStr::new_static("platform"),
            cause: format_smolstr!("the rows read are not all of version {version}"),
        }
    }

    /// Fixes the base at the first read.
    ///
    /// Were it taken anew at later reads, what others changed in between would look like part
    /// of it and be overwritten.
    fn take_base(&mut self) {
        self.has_base = true;
        let BaseFrom::FirstRead { others } = self.base else {
            return;
        };
        let mut base = Base::of(&self.in_force);
        if !others {
            let operator = &self.wanted.operator;
            let own = |key: &ItemKey| {
                let held = self.in_force.item(key);
                held.is_some_and(|h| h.operator == *operator)
            };
            base.items.retain(|key, _| own(key));
        }
        self.wanted.base = base;
    }

    fn id(&mut self, rows: &[Row]) -> Action {
        if let Some(verdict) = self.decided(rows) {
            return self.finish(verdict);
        }
        if self.step == Step::ReadBack {
            if self.unconfirmed >= self.patience.failures {
                return self.finish_unknown();
            }
            // No attempt has landed so far, but one may yet, until another one is decided.
            return self.go(Step::ReadCatalogue);
        }
        if let Some((e, head)) = self.refused.take()
            && head == self.head_revision()
        {
            return self.give_up(e);
        }
        self.proceed()
    }

    /// Finds what became of the change in rows that may hold the row of its id.
    fn decided(&self, rows: &[Row]) -> Option<Verdict> {
        let change = self.change_id();
        let key = id_key(&change);
        let row = rows.iter().rfind(|r| r.key == key)?;
        let value = row.value.as_ref()?;
        let verdict = match decode(value) {
            Ok(IdRow::Accepted { version }) => Verdict::Accepted {
                version,
                change,
                again: self.unconfirmed == 0,
            },
            Ok(IdRow::Withdrawn { operator }) => Verdict::Withdrawn { change, operator },
            Err(e) => Verdict::Unreadable(vec![RowFault::Unreadable {
                key,
                revision: row.revision,
                cause: format_smolstr!("{e}"),
            }]),
        };
        Some(verdict)
    }

    /// Goes on once it is known that no attempt so far has landed.
    ///
    /// The catalogue was read before the id. If the plan has conflicts, the head moved since any
    /// earlier attempt, so that none can land any more.
    fn proceed(&mut self) -> Action {
        if !self.plan.conflicts.is_empty() {
            return self.finish(Verdict::Conflict(self.plan.conflicts.clone()));
        }
        if !self.plan.denials.is_empty() {
            return self.finish(Verdict::Denied(self.plan.denials.clone()));
        }
        if !self.plan.faults.is_empty() {
            return self.finish(Verdict::Invalid(Faults(self.plan.faults.clone())));
        }
        if self.plan.changes.is_empty() {
            let version = self.in_force.version();
            return self.finish(Verdict::InForce { version });
        }
        if self.attempts >= self.patience.attempts {
            if self.unconfirmed > 0 {
                return self.finish_unknown();
            }
            let attempts = self.attempts;
            return self.finish(Verdict::Contended { attempts });
        }
        self.attempts += 1;
        match object(&self.plan.changes) {
            None => self.go(Step::Commit),
            Some(_) => self.go(Step::Store),
        }
    }

    fn committed(&mut self, commit: Commit) -> Action {
        match commit {
            Commit::Done(_) => {
                let version = self.next_version();
                let change = self.change_id();
                self.finish(Verdict::Accepted {
                    version,
                    change,
                    again: false,
                })
            }
            Commit::Conflict(rows) => {
                if let Some(verdict) = self.decided(&rows) {
                    return self.finish(verdict);
                }
                self.go(Step::ReadCatalogue)
            }
        }
    }

    fn failed(&mut self, e: PlatformError) -> Action {
        if self.step == Step::Commit && !e.had_no_effect() {
            self.unconfirmed += 1;
            self.step = Step::ReadBack;
        }
        self.failures += 1;
        self.last_failure = Some(e.clone());
        if is_refusal(&e) {
            return self.was_refused(e);
        }
        if self.failures < self.patience.failures {
            return Action::Sleep(self.wait());
        }
        self.give_up(e)
    }

    /// Finds out whether the platform refuses the operator, or just what was overtaken.
    ///
    /// It may look at who may write what before it looks at the checks, and neither the row of a
    /// version that another operator has made meanwhile can be written again, nor that of an id
    /// that was withdrawn. So catalogue and id are read again first.
    fn was_refused(&mut self, e: PlatformError) -> Action {
        if self.step != Step::Commit {
            return self.give_up(e);
        }
        self.refused = Some((e, self.head_revision()));
        self.go(Step::ReadCatalogue)
    }

    fn head_revision(&self) -> Revision {
        self.in_force.head().map_or(Revision(0), |h| h.revision)
    }

    fn give_up(&mut self, e: PlatformError) -> Action {
        if self.unconfirmed > 0 {
            return self.finish_unknown();
        }
        if is_refusal(&e) {
            return self.finish(Verdict::Refused(e));
        }
        self.finish(Verdict::Unreachable(e))
    }

    fn finish_unknown(&mut self) -> Action {
        let cause = self.last_failure.clone();
        let cause = cause.expect("an attempt is unconfirmed because a call failed");
        let change = self.change_id();
        self.finish(Verdict::Unknown { change, cause })
    }

    fn wait(&self) -> Duration {
        let doublings = (self.failures - 1).min(16);
        let wait = self.patience.first_wait.saturating_mul(1 << doublings);
        wait.min(self.patience.longest_wait)
    }

    fn next_version(&self) -> Version {
        let head = self.in_force.head();
        head.map_or(Version(1), |h| h.head.version.next())
    }

    fn txn(&self) -> Txn {
        let head = Head {
            version: self.next_version(),
            change: self.change_id(),
            operator: self.wanted.operator.clone(),
            at_ms: self.at_ms,
            digest: self.in_force.digest(),
        };
        let draft = Draft::new(&self.in_force, head);
        draft.build(&self.plan.changes, &self.message, self.patience.prune_after)
    }
}

const fn is_refusal(e: &PlatformError) -> bool {
    matches!(e, PlatformError::Forbidden { .. })
}
