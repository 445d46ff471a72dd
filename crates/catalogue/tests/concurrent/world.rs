//! A simulation of operators who change one catalogue through a platform with faults.

use std::collections::{BTreeMap, BTreeSet};

use catalogue::accept::{Action, ApplyConfig, ApplyInput, BaseSource, Event};
use catalogue::rows::{
    CATALOGUE_PREFIX, CHANGES_PREFIX, ChangeBody, ChangeRow, IDS_PREFIX, IdRow, ItemChange, decode,
    encode, id_key,
};
use catalogue::{
    Apply, ApplyEnd, Base, Catalogue, Class, Domain, EffectiveCatalogue, Entry, Item, ItemKey,
    Sharding, Sources, Upstream,
};
use ids::{ChangeId, DomainId, EntryId, OperatorId, RegionId, Revision, UpstreamId, Version};
use platform::{Commit, MemoryObjects, MemoryTable, PlatformError, Row, Txn};
use proptest::prelude::*;
use smol_str::SmolStr;

/// How a call to the platform ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The call is executed and answered.
    Answered,
    /// The call never arrives, and the caller is informed of that.
    Unreachable,
    /// The call never arrives, and the caller is not informed.
    RequestLost,
    /// The call is executed, and the answer is lost.
    AnswerLost,
    /// The call is executed later, and the answer is lost.
    Late,
    /// The call is forbidden if it writes a history row that exists already, whatever its checks
    /// say; otherwise it is executed and answered.
    AccessFirst,
}

/// One edit of an operator's directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Edit {
    /// Sets a limit of an entry to a value that no edit used before.
    Limit(u8),
    /// Declares an upstream, or changes its slots if it is declared.
    Upstream(u8),
    /// Removes an upstream.
    Remove(u8),
    /// Declares a domain lost, or no longer lost.
    ToggleLost(u8),
}

/// One step of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator's call ends in this way; if no run is active, a run that must be repeated starts.
    Call(u8, CallEnd),
    /// An operator edits the directory and starts a run, unless one is active.
    Edit(u8, Edit),
    /// An operator's command is killed.
    Kill(u8),
    /// An operator starts the same command a second time.
    RunAgain(u8),
    /// An operator replaces the directory by the catalogue in force.
    Pull(u8),
    /// An operator loses the base of the directory.
    LoseBase(u8),
    /// The change that an operator submitted last is withdrawn.
    Withdraw(u8),
    /// One late transaction arrives.
    Deliver,
}

fn any_edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        4 => (0..3u8).prop_map(Edit::Limit),
        4 => (0..2u8).prop_map(Edit::Upstream),
        4 => (0..2u8).prop_map(Edit::Remove),
        1 => (0..2u8).prop_map(Edit::ToggleLost),
    ]
}

/// Generates steps without faults.
pub fn faultless_step(operators: u8) -> impl Strategy<Value = Step> {
    let operator = 0..operators;
    prop_oneof![
        3 => operator.clone().prop_map(|o| Step::Call(o, CallEnd::Answered)),
        1 => (operator, any_edit()).prop_map(|(o, e)| Step::Edit(o, e)),
    ]
}

/// Generates steps with faults of all kinds.
pub fn any_step(operators: u8) -> impl Strategy<Value = Step> {
    let operator = 0..operators;
    let end = prop_oneof![
        12 => Just(CallEnd::Answered),
        2 => Just(CallEnd::Unreachable),
        2 => Just(CallEnd::RequestLost),
        3 => Just(CallEnd::AnswerLost),
        3 => Just(CallEnd::Late),
        3 => Just(CallEnd::AccessFirst),
    ];
    prop_oneof![
        40 => (operator.clone(), end).prop_map(|(o, f)| Step::Call(o, f)),
        14 => (operator.clone(), any_edit()).prop_map(|(o, e)| Step::Edit(o, e)),
        2 => operator.clone().prop_map(Step::Kill),
        2 => operator.clone().prop_map(Step::RunAgain),
        2 => operator.clone().prop_map(Step::Pull),
        1 => operator.clone().prop_map(Step::LoseBase),
        1 => operator.prop_map(Step::Withdraw),
        4 => Just(Step::Deliver),
    ]
}

/// Versions of rows.
pub type Versions = BTreeMap<ItemKey, Version>;

/// The rows that an operator had read before a run changed them.
#[derive(Debug, Clone)]
pub struct ReadRows {
    /// Versions of the rows.
    pub rows: Versions,
    /// Whether they come from the directory's base and not from the run's first read.
    pub from_base: bool,
}

/// An active run of a command.
struct Run {
    apply: Apply,
    action: Action,
    read_rows: Option<ReadRows>,
    number: u64,
}

/// An operator with a directory of declarations.
struct Operator {
    id: OperatorId,
    catalogue: Catalogue,
    base: Option<Base>,
    run: Option<Run>,
    /// Whether the last run must be repeated because it was killed or failed.
    must_rerun: bool,
    /// The change that the last run submitted.
    last: Option<ChangeId>,
}

/// The results of all runs that submitted one change.
#[derive(Debug, Clone, Default)]
pub struct SubmittedChange {
    /// Versions that runs reported.
    pub accepted: Vec<Version>,
    /// Whether some run ended with an unknown result.
    pub unknown: bool,
    /// Whether the change was withdrawn or a run reported that.
    pub withdrawn: bool,
    /// Rows that some run had read.
    pub read_rows: Vec<ReadRows>,
}

/// The simulated platform and all operators.
pub struct World {
    pub table: MemoryTable,
    objects: MemoryObjects,
    late: Vec<Txn>,
    operators: Vec<Operator>,
    counter: u32,
    /// Results of the runs of each change.
    pub submitted: BTreeMap<ChangeId, SubmittedChange>,
    /// Runs whose result was that certainly nothing changed.
    pub reported_unchanged: BTreeSet<u64>,
    /// Number of runs that were refused; it must be 0, as all operators own all entries.
    pub refused: u32,
    runs: u64,
    /// Every state of every row with the prefix `catalogue/`, in the order of writing.
    pub written: Vec<Row>,
}

/// Maximum number of calls after which a run must have ended if no call fails.
const MAX_CALLS: u32 = 100;

const CONFIG: ApplyConfig = ApplyConfig {
    max_failures: 3,
    max_attempts: 2,
    initial_backoff: std::time::Duration::from_millis(1),
    max_backoff: std::time::Duration::from_millis(1),
    prune_after: 1,
};

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is a name"))
}

/// Returns the catalogue that all operators start from.
fn first_catalogue() -> Catalogue {
    let mut catalogue = Catalogue::default();
    for domain in ["north", "south"] {
        let domain_item = Domain {
            region: name::<RegionId>("here"),
            lost: false,
        };
        catalogue
            .domains
            .insert(name::<DomainId>(domain), domain_item);
    }
    for n in 0..3 {
        let entry = Entry {
            owners: vec![name("anna"), name("bo"), name("cleo")],
            path: format!("entry-{n}").into(),
            class: Class::Idempotent,
            sharding: Sharding::None,
            deadline_ms: 1000,
            limits: catalogue::Limits::default(),
            cut_off: catalogue::CutOff::default(),
            objective: catalogue::Objective::default(),
            verify_echo: false,
        };
        catalogue
            .entries
            .insert(name::<EntryId>(&format!("entry-{n}")), entry);
    }
    catalogue.sort();
    catalogue
}

impl Edit {
    fn apply(self, catalogue: &mut Catalogue, counter: u32) {
        match self {
            Self::Limit(n) => {
                let id: EntryId = name(&format!("entry-{n}"));
                if let Some(entry) = catalogue.entries.get_mut(&id) {
                    entry.limits.rate_per_s = counter;
                }
            }
            Self::Upstream(n) => {
                let id: UpstreamId = name(&format!("upstream-{n}"));
                let upstream = Upstream {
                    entry: name("entry-0"),
                    address: format!("10.0.0.{}:80", n + 1).parse().unwrap(),
                    domain: name("north"),
                    slots: counter % 4000 + 1,
                    connections: 4000,
                    checks_grants: false,
                    leaving: false,
                };
                catalogue.set(&ItemKey::Upstream(id), Some(Item::Upstream(upstream)));
            }
            Self::Remove(n) => {
                let id: UpstreamId = name(&format!("upstream-{n}"));
                catalogue.set(&ItemKey::Upstream(id), None);
            }
            Self::ToggleLost(n) => {
                let id: DomainId = name(["north", "south"][usize::from(n)]);
                if let Some(domain) = catalogue.domains.get_mut(&id) {
                    domain.lost = !domain.lost;
                }
            }
        }
    }
}

fn failure(end: CallEnd) -> PlatformError {
    let (step, peer, cause) = ("call", SmolStr::new_static("fake"), SmolStr::default());
    match end {
        CallEnd::Unreachable => PlatformError::Unreachable { step, peer, cause },
        CallEnd::AccessFirst => PlatformError::Forbidden { step, peer, cause },
        _ => PlatformError::Unconfirmed { step, peer, cause },
    }
}

impl World {
    /// Creates a simulation in which all operators have the first version as their base.
    pub fn new(operators: u8) -> Self {
        let mut world = Self {
            table: MemoryTable::new(),
            objects: MemoryObjects::default(),
            late: Vec::new(),
            operators: Vec::new(),
            counter: 0,
            submitted: BTreeMap::new(),
            reported_unchanged: BTreeSet::new(),
            refused: 0,
            runs: 0,
            written: Vec::new(),
        };
        world.operators.push(Operator {
            id: name("anna"),
            catalogue: first_catalogue(),
            base: Some(Base::default()),
            run: None,
            must_rerun: true,
            last: None,
        });
        world.finish();
        let base = world.operators[0].base.clone();
        assert_ne!(base, Some(Base::default()), "the first version is accepted");
        for id in ["bo", "cleo"].iter().take(usize::from(operators) - 1) {
            world.operators.push(Operator {
                id: name(id),
                catalogue: first_catalogue(),
                base: base.clone(),
                run: None,
                must_rerun: false,
                last: None,
            });
        }
        world
    }

    /// Executes one step.
    pub fn step(&mut self, step: Step) {
        let count = self.operators.len();
        let at = |n: u8| usize::from(n) % count;
        match step {
            Step::Call(o, end) => self.call(at(o), end),
            Step::Edit(o, edit) => self.edit(at(o), edit),
            Step::Kill(o) => self.kill(at(o)),
            Step::RunAgain(o) => self.run_again(at(o)),
            Step::Pull(o) => self.pull(at(o)),
            Step::LoseBase(o) => {
                if self.operators[at(o)].run.is_none() {
                    self.operators[at(o)].base = None;
                }
            }
            Step::Withdraw(o) => self.withdraw(at(o)),
            Step::Deliver => self.deliver(),
        }
    }

    /// Runs all commands to their end without further faults, and delivers late transactions.
    pub fn finish(&mut self) {
        for o in 0..self.operators.len() {
            let mut calls = 0;
            while self.operators[o].run.is_some() || self.operators[o].must_rerun {
                self.call(o, CallEnd::Answered);
                calls += 1;
                assert!(calls < MAX_CALLS, "a run ends when nothing fails");
            }
        }
        while !self.late.is_empty() {
            self.deliver();
        }
    }

    /// Returns the catalogue in force.
    pub fn in_force(&self) -> EffectiveCatalogue {
        let mut in_force = EffectiveCatalogue::new();
        let applied = in_force.apply_rows(&self.table.changes(CATALOGUE_PREFIX, Revision(0)).rows);
        assert_eq!(applied.faults, vec![]);
        in_force
    }

    /// Returns the accepted changes and their items, sorted by version.
    pub fn history(&self) -> Vec<(ChangeRow, Vec<ItemChange>)> {
        let rows = self.table.rows(CHANGES_PREFIX);
        let rows = rows.map(|r| decode::<ChangeRow>(r.value.as_ref().unwrap()).unwrap());
        rows.map(|row| {
            let items = match &row.body {
                ChangeBody::Inline(items) => items.clone(),
                ChangeBody::Object { name, .. } => {
                    decode(&self.objects.get(name).unwrap()).unwrap()
                }
            };
            (row, items)
        })
        .collect()
    }

    /// Returns the versions of accepted changes, by change.
    pub fn accepted(&self) -> BTreeMap<ChangeId, Version> {
        let rows = self.table.rows(IDS_PREFIX);
        rows.filter_map(|r| {
            let id = ChangeId::new(r.key.0.strip_prefix(IDS_PREFIX).unwrap()).unwrap();
            match decode(r.value.as_ref().unwrap()).unwrap() {
                IdRow::Accepted { version } => Some((id, version)),
                IdRow::Withdrawn { .. } => None,
            }
        })
        .collect()
    }

    fn edit(&mut self, o: usize, edit: Edit) {
        self.counter += 1;
        let operator = &mut self.operators[o];
        if operator.run.is_none() {
            edit.apply(&mut operator.catalogue, self.counter);
            self.start(o);
        }
    }

    fn kill(&mut self, o: usize) {
        if let Some(run) = self.operators[o].run.take() {
            self.record_result(o, &run, None);
            self.operators[o].must_rerun = true;
        }
    }

    /// Starts the command of an operator again, on a copy of the directory.
    fn run_again(&mut self, o: usize) {
        const MAX_OPERATORS: usize = 6;
        let operator = &self.operators[o];
        if self.operators.len() >= MAX_OPERATORS {
            return;
        }
        let copy = Operator {
            id: operator.id.clone(),
            catalogue: operator.catalogue.clone(),
            base: operator.base.clone(),
            run: None,
            must_rerun: true,
            last: operator.last.clone(),
        };
        self.operators.push(copy);
    }

    fn pull(&mut self, o: usize) {
        let in_force = self.in_force();
        let operator = &mut self.operators[o];
        if operator.run.is_none() {
            operator.catalogue = in_force.catalogue().clone();
            operator.base = Some(Base::of(&in_force));
            operator.must_rerun = false;
        }
    }

    fn deliver(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let txn = self.late.remove(0);
        self.commit(&txn);
    }

    fn commit(&mut self, txn: &Txn) -> Commit {
        let before = self.table.revision();
        let commit = self.table.commit(txn);
        let rows = self.table.changes(CATALOGUE_PREFIX, before).rows;
        self.written.extend(rows);
        commit
    }

    fn call(&mut self, o: usize, end: CallEnd) {
        let Some(mut run) = self.operators[o].run.take() else {
            if self.operators[o].must_rerun {
                self.start(o);
            }
            return;
        };
        let event = self.execute(&run.action, end);
        if let Event::Catalogue(_) = event {
            let all = || ReadRows {
                rows: versions(&Base::of(&self.in_force())),
                from_base: false,
            };
            run.read_rows.get_or_insert_with(all);
        }
        let mut actions = Vec::new();
        run.apply.handle(event, &mut actions);
        if let Some(end) = run.apply.end().cloned() {
            self.record_result(o, &run, Some(&end));
            self.on_end(o, &run.apply, &end);
            return;
        }
        run.action = actions.pop().expect("each event gives an action");
        self.operators[o].run = Some(run);
    }

    fn start(&mut self, o: usize) {
        self.runs += 1;
        let operator = &mut self.operators[o];
        let base = match &operator.base {
            Some(base) => BaseSource::Given(base.clone()),
            None => BaseSource::FirstRead {
                include_others: false,
            },
        };
        let input = ApplyInput {
            catalogue: operator.catalogue.clone(),
            sources: Sources::default(),
            base,
            expect: None,
            operator: operator.id.clone(),
            admin: false,
            change: None,
            message: SmolStr::default(),
            // Identifies the run that made a change in the history.
            at_ms: self.runs,
        };
        operator.must_rerun = false;
        let mut apply = Apply::new(input, CONFIG);
        let mut actions = Vec::new();
        apply.handle(Event::Start, &mut actions);
        let action = actions.pop().expect("a start gives an action");
        let read_rows = operator.base.as_ref().map(|base| ReadRows {
            rows: versions(base),
            from_base: true,
        });
        operator.run = Some(Run {
            apply,
            action,
            read_rows,
            number: self.runs,
        });
    }

    fn execute(&mut self, action: &Action, end: CallEnd) -> Event {
        let arrives = matches!(
            end,
            CallEnd::Answered | CallEnd::AnswerLost | CallEnd::AccessFirst
        );
        let answered = matches!(end, CallEnd::Answered | CallEnd::AccessFirst);
        match action {
            Action::Sleep(_) => return Event::Woken,
            Action::Commit(txn) if end == CallEnd::AccessFirst => {
                let taken = |w: &platform::Write| self.table.row(&w.key).is_some();
                let mut history = txn
                    .writes
                    .iter()
                    .filter(|w| w.key.0.starts_with("history/"));
                if history.any(taken) {
                    return Event::Failed(failure(end));
                }
            }
            _ => {}
        }
        let event = match action {
            _ if !arrives => None,
            Action::ReadCatalogue(since) => {
                let changes = self.table.changes(CATALOGUE_PREFIX, *since);
                Some(Event::Catalogue(changes.rows))
            }
            Action::ReadId(id) => {
                let changes = self.table.changes(&id_key(id).0, Revision(0));
                Some(Event::Id(changes.rows))
            }
            Action::Store { name, body } => {
                self.objects
                    .put(name, body.clone())
                    .expect("names are hashes");
                Some(Event::Stored)
            }
            Action::Commit(txn) => Some(Event::Committed(self.commit(txn))),
            Action::Sleep(_) | Action::Finish => unreachable!("not a call"),
        };
        if let (Action::Commit(txn), CallEnd::Late) = (action, end) {
            self.late.push(txn.clone());
        }
        match event {
            Some(event) if answered => event,
            // A read has no effect, so it may fail as if it had never arrived.
            _ if matches!(action, Action::ReadCatalogue(_) | Action::ReadId(_)) => {
                Event::Failed(failure(CallEnd::Unreachable))
            }
            _ => Event::Failed(failure(end)),
        }
    }

    /// Withdraws the change that an operator submitted last, as `settle --withdraw` does.
    fn withdraw(&mut self, o: usize) {
        let Some(change) = self.operators[o].last.clone() else {
            return;
        };
        let key = id_key(&change);
        let row = IdRow::Withdrawn {
            operator: self.operators[o].id.clone(),
        };
        let txn = Txn {
            checks: vec![platform::Check {
                key: key.clone(),
                revision: None,
            }],
            writes: vec![platform::Write {
                key,
                value: Some(encode(&row)),
            }],
        };
        if let Commit::Done(_) = self.commit(&txn) {
            self.submitted.entry(change).or_default().withdrawn = true;
        }
    }

    /// Records the result that a run reports for its change.
    fn record_result(&mut self, o: usize, run: &Run, end: Option<&ApplyEnd>) {
        self.refused += u32::from(matches!(end, Some(ApplyEnd::Refused(_))));
        if !matches!(
            end,
            None | Some(
                ApplyEnd::Accepted { .. } | ApplyEnd::InForce { .. } | ApplyEnd::Unknown { .. }
            )
        ) {
            self.reported_unchanged.insert(run.number);
        }
        let plan = run.apply.plan();
        if plan.intended.is_empty() {
            return;
        }
        // The same changes to the same base are the same change, whatever id a run gave it.
        let change = plan.change_id(&self.operators[o].id);
        self.operators[o].last = Some(change.clone());
        let accepted = self.accepted().contains_key(&change);
        let submitted = self.submitted.entry(change).or_default();
        submitted.read_rows.extend(run.read_rows.clone());
        match end {
            None | Some(ApplyEnd::Unknown { .. }) => submitted.unknown = true,
            Some(ApplyEnd::Accepted { version, .. }) => submitted.accepted.push(*version),
            Some(ApplyEnd::Withdrawn { .. }) => submitted.withdrawn = true,
            Some(ApplyEnd::Unreachable(_) | ApplyEnd::Refused(_) | ApplyEnd::InForce { .. }) => {}
            Some(refusal) => assert!(
                !accepted,
                "a run reported {refusal:?} for an accepted change"
            ),
        }
    }

    fn on_end(&mut self, o: usize, apply: &Apply, end: &ApplyEnd) {
        match end {
            ApplyEnd::Accepted { version, .. } | ApplyEnd::InForce { version } => {
                self.operators[o].base = Some(apply.base_after(*version));
            }
            ApplyEnd::Unreachable(_) | ApplyEnd::Refused(_) | ApplyEnd::Unknown { .. } => {
                self.operators[o].must_rerun = true;
            }
            _ => self.pull(o),
        }
    }
}

fn versions(base: &Base) -> Versions {
    base.items
        .iter()
        .map(|(k, b)| (k.clone(), b.version))
        .collect()
}
