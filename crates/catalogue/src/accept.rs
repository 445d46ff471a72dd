//! The state machine that submits a change until it is accepted or rejected.
//!
//! Each attempt reads the catalogue, computes the plan, reads the row of the change id, and commits
//! one transaction that writes the items, the head and the history. The transaction checks that
//!
//! - the head row has not changed, so that versions are totally ordered and the plan was made for
//!   the catalogue in force,
//! - no row that it writes has changed, and
//! - the change id has no row yet, so that no change is applied twice.
//!
//! An attempt whose confirmation was lost may still commit later, but only while the head is the
//! one that the attempt read. Any other commit invalidates it. If a further attempt is made on the
//! same head, the check of the change id lets only one of the two commit.

use std::time::Duration;

use ids::{ChangeId, Revision, Version};
use platform::{Commit, PlatformError, Row, Txn};
use smol_str::{SmolStr, format_smolstr};

use self::txn::{ChangeObject, TxnBuilder, change_object};
use crate::base::Base;
use crate::fault::Faults;
use crate::in_force::{EffectiveCatalogue, RowFault};
use crate::item::ItemKey;
use crate::plan::{Plan, PlanInput, plan};
use crate::rows::{Head, IdRow, decode, id_key};

mod txn;
pub mod types;

pub use types::{Action, ApplyConfig, ApplyEnd, ApplyInput, BaseSource, Event};

/// The step whose result the state machine waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Reading the rows of the catalogue.
    ReadCatalogue,
    /// Reading the row of the change id before an attempt.
    ReadId,
    /// Storing the object of a large change.
    Store,
    /// Committing the transaction.
    Commit,
    /// Reading the row of the change id after a lost confirmation.
    ReadBack,
    /// None; the change has ended.
    Done,
}

/// A state machine that submits one change.
///
/// It returns one action for each event; it does no I/O and reads no clock.
#[derive(Debug)]
pub struct Apply {
    plan_input: PlanInput,
    base_source: BaseSource,
    message: SmolStr,
    at_ms: u64,
    config: ApplyConfig,
    in_force: EffectiveCatalogue,
    last_revision: Revision,
    has_base: bool,
    plan: Plan,
    change: Option<ChangeId>,
    step: Step,
    /// Number of consecutive failed calls.
    consecutive_failures: u32,
    attempts: u32,
    /// Number of attempts whose confirmation was lost; each may have committed or may still commit.
    unconfirmed_attempts: u32,
    last_failure: Option<PlatformError>,
    /// The error of a forbidden transaction, and the revision of the head that it was made for.
    refusal: Option<(PlatformError, Revision)>,
    end: Option<ApplyEnd>,
}

impl Apply {
    /// Creates the state machine.
    #[must_use]
    pub fn new(input: ApplyInput, config: ApplyConfig) -> Self {
        let base = match &input.base {
            BaseSource::Given(base) => base.clone(),
            BaseSource::FirstRead { .. } => Base::default(),
        };
        Self {
            plan_input: PlanInput {
                catalogue: input.catalogue,
                sources: input.sources,
                base,
                expect: input.expect,
                operator: input.operator,
                admin: input.admin,
            },
            base_source: input.base,
            message: input.message,
            at_ms: input.at_ms,
            config,
            in_force: EffectiveCatalogue::new(),
            last_revision: Revision(0),
            has_base: false,
            plan: Plan::default(),
            change: input.change,
            step: Step::ReadCatalogue,
            consecutive_failures: 0,
            attempts: 0,
            unconfirmed_attempts: 0,
            last_failure: None,
            refusal: None,
            end: None,
        }
    }

    /// Returns the result, once the change has ended.
    #[must_use]
    pub const fn end(&self) -> Option<&ApplyEnd> {
        self.end.as_ref()
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
    pub const fn in_force(&self) -> &EffectiveCatalogue {
        &self.in_force
    }

    /// Computes the plan for `in_force` without submitting anything.
    pub fn plan_on(&mut self, in_force: &EffectiveCatalogue) -> Plan {
        self.in_force = in_force.clone();
        self.set_base();
        plan(&self.plan_input, in_force)
    }

    /// Returns the base of the operator's directory after the plan was applied as `version`.
    #[must_use]
    pub fn base_after(&self, version: Version) -> Base {
        self.plan
            .base_after(&self.plan_input, &self.in_force, version)
    }

    /// Handles an event and appends the next action to `actions`.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the change has ended already.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        debug_assert!(self.end.is_none(), "no event follows the end of a change");
        let action = match event {
            Event::Start | Event::Woken => self.step_action(),
            Event::Failed(e) => self.on_failure(e),
            Event::Catalogue(rows) => self.on_catalogue(&rows),
            Event::Id(rows) => self.on_change_id(&rows),
            Event::Stored => self.enter(Step::Commit),
            Event::Committed(commit) => self.on_commit(commit),
        };
        actions.push(action);
    }

    /// Enters a step and returns its action.
    fn enter(&mut self, step: Step) -> Action {
        self.consecutive_failures = 0;
        self.step = step;
        self.step_action()
    }

    /// Returns the action of the current step.
    fn step_action(&mut self) -> Action {
        match self.step {
            Step::ReadCatalogue => Action::ReadCatalogue(self.last_revision),
            Step::ReadId | Step::ReadBack => Action::ReadId(self.change_id()),
            Step::Store => self.store_object(),
            Step::Commit => Action::Commit(self.txn()),
            Step::Done => Action::Finish,
        }
    }

    fn store_object(&mut self) -> Action {
        let Some(ChangeObject { name, body, .. }) = change_object(&self.plan.changes) else {
            return self.enter(Step::Commit);
        };
        Action::Store { name, body }
    }

    fn finish(&mut self, end: ApplyEnd) -> Action {
        self.step = Step::Done;
        self.end = Some(end);
        Action::Finish
    }

    fn change_id(&self) -> ChangeId {
        let derived = || self.plan.change_id(&self.plan_input.operator);
        self.change.clone().unwrap_or_else(derived)
    }

    fn on_catalogue(&mut self, rows: &[Row]) -> Action {
        let newest = rows.iter().map(|r| r.revision).max();
        self.last_revision = newest.unwrap_or(self.last_revision).max(self.last_revision);
        let applied = self.in_force.apply_rows(rows);
        if !applied.faults.is_empty() {
            return self.finish(ApplyEnd::Unreadable(applied.faults));
        }
        if !self.in_force.is_complete() {
            return self.on_failure(self.torn_read());
        }
        if !self.has_base {
            self.set_base();
        }
        self.plan = plan(&self.plan_input, &self.in_force);
        if self.plan.intended.is_empty() && self.change.is_none() {
            let version = self.in_force.version();
            return self.finish(ApplyEnd::InForce { version });
        }
        self.change = Some(self.change_id());
        self.enter(Step::ReadId)
    }

    /// Returns the error for rows that were read while other operators wrote them.
    fn torn_read(&self) -> PlatformError {
        let version = self.next_version().0 - 1;
        PlatformError::BadAnswer {
            step: "read catalogue",
            peer: SmolStr::new_static("platform"),
            cause: format_smolstr!("the rows that were read are not all of version {version}"),
        }
    }

    /// Sets the base at the first read.
    ///
    /// If later reads replaced the base, it would include changes that other operators made in
    /// between, and these would be overwritten.
    fn set_base(&mut self) {
        self.has_base = true;
        let BaseSource::FirstRead { include_others } = self.base_source else {
            return;
        };
        let mut base = Base::of(&self.in_force);
        if !include_others {
            let operator = &self.plan_input.operator;
            let own = |key: &ItemKey| {
                let known = self.in_force.item(key);
                known.is_some_and(|h| h.operator == *operator)
            };
            base.items.retain(|key, _| own(key));
        }
        self.plan_input.base = base;
    }

    fn on_change_id(&mut self, rows: &[Row]) -> Action {
        if let Some(end) = self.recorded_end(rows) {
            return self.finish(end);
        }
        if self.step == Step::ReadBack {
            if self.unconfirmed_attempts >= self.config.max_failures {
                return self.finish_unknown();
            }
            // No attempt has committed so far, but one still may until another transaction commits.
            return self.enter(Step::ReadCatalogue);
        }
        if let Some((e, head)) = self.refusal.take()
            && head == self.head_revision()
        {
            return self.give_up(e);
        }
        self.start_attempt()
    }

    /// Returns the result of the change if `rows` include the row of its id.
    fn recorded_end(&self, rows: &[Row]) -> Option<ApplyEnd> {
        let change = self.change_id();
        let key = id_key(&change);
        let row = rows.iter().rfind(|r| r.key == key)?;
        let value = row.value.as_ref()?;
        let end = match decode(value) {
            Ok(IdRow::Accepted { version }) => ApplyEnd::Accepted {
                version,
                change,
                again: self.unconfirmed_attempts == 0,
            },
            Ok(IdRow::Withdrawn { operator }) => ApplyEnd::Withdrawn { change, operator },
            Err(e) => ApplyEnd::Unreadable(vec![RowFault::Unreadable {
                key,
                revision: row.revision,
                cause: format_smolstr!("{e}"),
            }]),
        };
        Some(end)
    }

    /// Starts an attempt, or ends the change, after reading that no earlier attempt has committed.
    ///
    /// The catalogue was read before the row of the id. If the plan has conflicts, the head has
    /// changed since any earlier attempt, so that none of them can commit any more.
    fn start_attempt(&mut self) -> Action {
        if !self.plan.conflicts.is_empty() {
            return self.finish(ApplyEnd::Conflict(self.plan.conflicts.clone()));
        }
        if !self.plan.denials.is_empty() {
            return self.finish(ApplyEnd::Denied(self.plan.denials.clone()));
        }
        if !self.plan.faults.is_empty() {
            return self.finish(ApplyEnd::Invalid(Faults(self.plan.faults.clone())));
        }
        if self.plan.changes.is_empty() {
            let version = self.in_force.version();
            return self.finish(ApplyEnd::InForce { version });
        }
        if self.attempts >= self.config.max_attempts {
            if self.unconfirmed_attempts > 0 {
                return self.finish_unknown();
            }
            let attempts = self.attempts;
            return self.finish(ApplyEnd::Contended { attempts });
        }
        self.attempts += 1;
        match change_object(&self.plan.changes) {
            None => self.enter(Step::Commit),
            Some(_) => self.enter(Step::Store),
        }
    }

    fn on_commit(&mut self, commit: Commit) -> Action {
        match commit {
            Commit::Done(_) => {
                let version = self.next_version();
                let change = self.change_id();
                self.finish(ApplyEnd::Accepted {
                    version,
                    change,
                    again: false,
                })
            }
            Commit::Conflict(rows) => {
                if let Some(end) = self.recorded_end(&rows) {
                    return self.finish(end);
                }
                self.enter(Step::ReadCatalogue)
            }
        }
    }

    fn on_failure(&mut self, e: PlatformError) -> Action {
        if self.step == Step::Commit && !e.had_no_effect() {
            self.unconfirmed_attempts += 1;
            self.step = Step::ReadBack;
        }
        self.consecutive_failures += 1;
        self.last_failure = Some(e.clone());
        if is_refusal(&e) {
            return self.on_refusal(e);
        }
        if self.consecutive_failures < self.config.max_failures {
            return Action::Sleep(self.backoff());
        }
        self.give_up(e)
    }

    /// Handles a forbidden call.
    ///
    /// The platform may check access before the transaction's checks. History rows can't be
    /// overwritten, so a transaction is also forbidden if another operator has made its version
    /// meanwhile, or if its id was withdrawn. The catalogue and the row of the id are therefore
    /// read again before the change ends as refused.
    fn on_refusal(&mut self, e: PlatformError) -> Action {
        if self.step != Step::Commit {
            return self.give_up(e);
        }
        self.refusal = Some((e, self.head_revision()));
        self.enter(Step::ReadCatalogue)
    }

    fn head_revision(&self) -> Revision {
        self.in_force.head().map_or(Revision(0), |h| h.revision)
    }

    fn give_up(&mut self, e: PlatformError) -> Action {
        if self.unconfirmed_attempts > 0 {
            return self.finish_unknown();
        }
        if is_refusal(&e) {
            return self.finish(ApplyEnd::Refused(e));
        }
        self.finish(ApplyEnd::Unreachable(e))
    }

    fn finish_unknown(&mut self) -> Action {
        let cause = self.last_failure.clone();
        let cause = cause.expect("an attempt is unconfirmed only after a call failed");
        let change = self.change_id();
        self.finish(ApplyEnd::Unknown { change, cause })
    }

    fn backoff(&self) -> Duration {
        let doublings = (self.consecutive_failures - 1).min(16);
        let backoff = self.config.initial_backoff.saturating_mul(1 << doublings);
        backoff.min(self.config.max_backoff)
    }

    fn next_version(&self) -> Version {
        let head = self.in_force.head();
        head.map_or(Version(1), |h| h.head.version.next())
    }

    fn txn(&self) -> Txn {
        let head = Head {
            version: self.next_version(),
            change: self.change_id(),
            operator: self.plan_input.operator.clone(),
            at_ms: self.at_ms,
            digest: self.in_force.digest(),
        };
        let builder = TxnBuilder::new(&self.in_force, head);
        builder.build(&self.plan.changes, &self.message, self.config.prune_after)
    }
}

const fn is_refusal(e: &PlatformError) -> bool {
    matches!(e, PlatformError::Forbidden { .. })
}
