//! Some operators who change one catalogue through a platform that fails.

use std::collections::{BTreeMap, BTreeSet};

use catalogue::accept::{Action, BaseFrom, Event, Intention, Patience};
use catalogue::rows::{
    CATALOGUE_PREFIX, CHANGES_PREFIX, ChangeBody, ChangeRow, IDS_PREFIX, IdRow, ItemChange, decode,
    encode, id_key,
};
use catalogue::{
    Apply, Base, Catalogue, Class, Domain, Entry, InForce, Item, ItemKey, Sharding, Sources,
    Upstream, Verdict,
};
use ids::{ChangeId, DomainId, EntryId, OperatorId, RegionId, Revision, UpstreamId, Version};
use platform::{Commit, MemoryObjects, MemoryTable, PlatformError, Row, Txn};
use proptest::prelude::*;
use smol_str::SmolStr;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It never arrives, and the caller knows.
    Unreachable,
    /// It never arrives, and the caller does not know.
    RequestLost,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is carried out later, and the answer is lost.
    Late,
    /// It is refused if a row of the history that it writes is there already, checks or not.
    AccessFirst,
}

/// One edit of an operator's directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Edit {
    /// Gives an entry a limit that nobody ever gave it.
    Limit(u8),
    /// Declares an upstream, or changes its slots if it is declared.
    Upstream(u8),
    /// Removes an upstream.
    Remove(u8),
    /// Declares a domain lost, or found again.
    Lost(u8),
}

/// One step of the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator's call meets its fate; a run that must be repeated starts.
    Call(u8, Fate),
    /// An operator edits the directory and starts a run, unless one is under way.
    Edit(u8, Edit),
    /// An operator's command is killed.
    Kill(u8),
    /// An operator starts the same command a second time.
    Twin(u8),
    /// An operator takes over what is in force.
    Pull(u8),
    /// An operator loses what the directory was made from.
    LoseBase(u8),
    /// Somebody withdraws the change that an operator tried last.
    Withdraw(u8),
    /// One late transaction arrives.
    Deliver,
}

fn any_edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        4 => (0..3u8).prop_map(Edit::Limit),
        4 => (0..2u8).prop_map(Edit::Upstream),
        4 => (0..2u8).prop_map(Edit::Remove),
        1 => (0..2u8).prop_map(Edit::Lost),
    ]
}

/// Steps without failures.
pub fn calm_step(operators: u8) -> impl Strategy<Value = Step> {
    let who = 0..operators;
    prop_oneof![
        3 => who.clone().prop_map(|o| Step::Call(o, Fate::Answered)),
        1 => (who, any_edit()).prop_map(|(o, e)| Step::Edit(o, e)),
    ]
}

/// Steps with failures of all kinds.
pub fn any_step(operators: u8) -> impl Strategy<Value = Step> {
    let who = 0..operators;
    let fate = prop_oneof![
        12 => Just(Fate::Answered),
        2 => Just(Fate::Unreachable),
        2 => Just(Fate::RequestLost),
        3 => Just(Fate::AnswerLost),
        3 => Just(Fate::Late),
        3 => Just(Fate::AccessFirst),
    ];
    prop_oneof![
        40 => (who.clone(), fate).prop_map(|(o, f)| Step::Call(o, f)),
        14 => (who.clone(), any_edit()).prop_map(|(o, e)| Step::Edit(o, e)),
        2 => who.clone().prop_map(Step::Kill),
        2 => who.clone().prop_map(Step::Twin),
        2 => who.clone().prop_map(Step::Pull),
        1 => who.clone().prop_map(Step::LoseBase),
        1 => who.prop_map(Step::Withdraw),
        4 => Just(Step::Deliver),
    ]
}

/// Versions of rows.
pub type Versions = BTreeMap<ItemKey, Version>;

/// The rows that an operator had seen before a run changed them.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Versions of the rows.
    pub rows: Versions,
    /// Whether they come from the directory's base and not from the run's first read.
    pub from_base: bool,
}

/// A command that runs.
struct Run {
    apply: Apply,
    action: Action,
    seen: Option<Seen>,
    number: u64,
}

/// An operator with a directory of declarations.
struct Operator {
    id: OperatorId,
    catalogue: Catalogue,
    base: Option<Base>,
    run: Option<Run>,
    /// Whether the last run must be repeated, as it was killed or met failures.
    again: bool,
    /// The change that the last run tried.
    last: Option<ChangeId>,
}

/// What is known of one change from the runs that tried it.
#[derive(Debug, Clone, Default)]
pub struct Tried {
    /// Versions that were told to operators.
    pub accepted: Vec<Version>,
    /// Whether some run ended without knowing.
    pub open: bool,
    /// Whether somebody was told that it is withdrawn.
    pub withdrawn: bool,
    /// Rows that were seen by some run, of the items that it changes.
    pub seen: Vec<Seen>,
}

/// The platform and all operators.
pub struct World {
    pub table: MemoryTable,
    objects: MemoryObjects,
    late: Vec<Txn>,
    operators: Vec<Operator>,
    counter: u32,
    /// What is known of each change.
    pub tried: BTreeMap<ChangeId, Tried>,
    /// Runs that were told that surely nothing was changed.
    pub told_nothing: BTreeSet<u64>,
    /// How many runs were told that they are not allowed to do this; all are.
    pub refused: u32,
    runs: u64,
    /// Every state that any row below `catalogue/` ever had, in order.
    pub written: Vec<Row>,
}

/// The most calls that runs need to end when nothing fails.
const MOST_CALLS: u32 = 100;

const PATIENCE: Patience = Patience {
    failures: 3,
    attempts: 2,
    first_wait: std::time::Duration::from_millis(1),
    longest_wait: std::time::Duration::from_millis(1),
    prune_after: 1,
};

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is a name"))
}

/// What all operators start from.
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
            Self::Lost(n) => {
                let id: DomainId = name(["north", "south"][usize::from(n)]);
                if let Some(domain) = catalogue.domains.get_mut(&id) {
                    domain.lost = !domain.lost;
                }
            }
        }
    }
}

fn failure(fate: Fate) -> PlatformError {
    let (step, peer, cause) = ("call", SmolStr::new_static("fake"), SmolStr::default());
    match fate {
        Fate::Unreachable => PlatformError::Unreachable { step, peer, cause },
        Fate::AccessFirst => PlatformError::Forbidden { step, peer, cause },
        _ => PlatformError::Unconfirmed { step, peer, cause },
    }
}

impl World {
    /// Creates a world whose first version all operators know.
    pub fn new(operators: u8) -> Self {
        let mut world = Self {
            table: MemoryTable::new(),
            objects: MemoryObjects::default(),
            late: Vec::new(),
            operators: Vec::new(),
            counter: 0,
            tried: BTreeMap::new(),
            told_nothing: BTreeSet::new(),
            refused: 0,
            runs: 0,
            written: Vec::new(),
        };
        world.operators.push(Operator {
            id: name("anna"),
            catalogue: first_catalogue(),
            base: Some(Base::default()),
            run: None,
            again: true,
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
                again: false,
                last: None,
            });
        }
        world
    }

    /// Takes one step.
    pub fn step(&mut self, step: Step) {
        let count = self.operators.len();
        let at = |n: u8| usize::from(n) % count;
        match step {
            Step::Call(o, fate) => self.call(at(o), fate),
            Step::Edit(o, edit) => self.edit(at(o), edit),
            Step::Kill(o) => self.kill(at(o)),
            Step::Twin(o) => self.twin(at(o)),
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

    /// Lets all runs end without further faults, and delivers what is late.
    pub fn finish(&mut self) {
        for o in 0..self.operators.len() {
            let mut calls = 0;
            while self.operators[o].run.is_some() || self.operators[o].again {
                self.call(o, Fate::Answered);
                calls += 1;
                assert!(calls < MOST_CALLS, "a run ends when nothing fails");
            }
        }
        while !self.late.is_empty() {
            self.deliver();
        }
    }

    /// Returns what is in force.
    pub fn in_force(&self) -> InForce {
        let mut in_force = InForce::new();
        let applied = in_force.apply_rows(&self.table.changes(CATALOGUE_PREFIX, Revision(0)).rows);
        assert_eq!(applied.faults, vec![]);
        in_force
    }

    /// Returns the history, by version.
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
            self.note(o, &run, None);
            self.operators[o].again = true;
        }
    }

    /// Starts the command of an operator again, on a copy of the directory.
    fn twin(&mut self, o: usize) {
        const MOST_OPERATORS: usize = 6;
        let operator = &self.operators[o];
        if self.operators.len() >= MOST_OPERATORS {
            return;
        }
        let twin = Operator {
            id: operator.id.clone(),
            catalogue: operator.catalogue.clone(),
            base: operator.base.clone(),
            run: None,
            again: true,
            last: operator.last.clone(),
        };
        self.operators.push(twin);
    }

    fn pull(&mut self, o: usize) {
        let in_force = self.in_force();
        let operator = &mut self.operators[o];
        if operator.run.is_none() {
            operator.catalogue = in_force.catalogue().clone();
            operator.base = Some(Base::of(&in_force));
            operator.again = false;
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

    fn call(&mut self, o: usize, fate: Fate) {
        let Some(mut run) = self.operators[o].run.take() else {
            if self.operators[o].again {
                self.start(o);
            }
            return;
        };
        let event = self.carry_out(&run.action, fate);
        if let Event::Catalogue(_) = event {
            let all = || Seen {
                rows: versions(&Base::of(&self.in_force())),
                from_base: false,
            };
            run.seen.get_or_insert_with(all);
        }
        let mut actions = Vec::new();
        run.apply.handle(event, &mut actions);
        if let Some(verdict) = run.apply.verdict().cloned() {
            self.note(o, &run, Some(&verdict));
            self.ended(o, &run.apply, &verdict);
            return;
        }
        run.action = actions.pop().expect("each event gives an action");
        self.operators[o].run = Some(run);
    }

    fn start(&mut self, o: usize) {
        self.runs += 1;
        let operator = &mut self.operators[o];
        let base = match &operator.base {
            Some(base) => BaseFrom::Given(base.clone()),
            None => BaseFrom::FirstRead { others: false },
        };
        let intention = Intention {
            catalogue: operator.catalogue.clone(),
            sources: Sources::default(),
            base,
            expect: None,
            operator: operator.id.clone(),
            admin: false,
            change: None,
            message: SmolStr::default(),
            // Tells which run a change in the history comes from.
            at_ms: self.runs,
        };
        operator.again = false;
        let mut apply = Apply::new(intention, PATIENCE);
        let mut actions = Vec::new();
        apply.handle(Event::Start, &mut actions);
        let action = actions.pop().expect("a start gives an action");
        let seen = operator.base.as_ref().map(|base| Seen {
            rows: versions(base),
            from_base: true,
        });
        operator.run = Some(Run {
            apply,
            action,
            seen,
            number: self.runs,
        });
    }

    fn carry_out(&mut self, action: &Action, fate: Fate) -> Event {
        let arrives = matches!(fate, Fate::Answered | Fate::AnswerLost | Fate::AccessFirst);
        let answered = matches!(fate, Fate::Answered | Fate::AccessFirst);
        match action {
            Action::Sleep(_) => return Event::Woken,
            Action::Commit(txn) if fate == Fate::AccessFirst => {
                let taken = |w: &platform::Write| self.table.row(&w.key).is_some();
                let mut history = txn
                    .writes
                    .iter()
                    .filter(|w| w.key.0.starts_with("history/"));
                if history.any(taken) {
                    return Event::Failed(failure(fate));
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
        if let (Action::Commit(txn), Fate::Late) = (action, fate) {
            self.late.push(txn.clone());
        }
        match event {
            Some(event) if answered => event,
            // A read that fails has no effect, whatever became of it.
            _ if matches!(action, Action::ReadCatalogue(_) | Action::ReadId(_)) => {
                Event::Failed(failure(Fate::Unreachable))
            }
            _ => Event::Failed(failure(fate)),
        }
    }

    /// Withdraws the change that an operator tried last, as `settle --withdraw` does.
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
            self.tried.entry(change).or_default().withdrawn = true;
        }
    }

    /// Notes what a run that ends says of its change.
    fn note(&mut self, o: usize, run: &Run, verdict: Option<&Verdict>) {
        self.refused += u32::from(matches!(verdict, Some(Verdict::Refused(_))));
        if !matches!(
            verdict,
            None | Some(
                Verdict::Accepted { .. } | Verdict::InForce { .. } | Verdict::Unknown { .. }
            )
        ) {
            self.told_nothing.insert(run.number);
        }
        let plan = run.apply.plan();
        if plan.intended.is_empty() {
            return;
        }
        // The same intent on the same base is the same change, whatever id a run gave it.
        let change = plan.change_id(&self.operators[o].id);
        self.operators[o].last = Some(change.clone());
        let accepted = self.accepted().contains_key(&change);
        let tried = self.tried.entry(change).or_default();
        tried.seen.extend(run.seen.clone());
        match verdict {
            None | Some(Verdict::Unknown { .. }) => tried.open = true,
            Some(Verdict::Accepted { version, .. }) => tried.accepted.push(*version),
            Some(Verdict::Withdrawn { .. }) => tried.withdrawn = true,
            Some(Verdict::Unreachable(_) | Verdict::Refused(_) | Verdict::InForce { .. }) => {}
            Some(refusal) => assert!(!accepted, "told {refusal:?} of an accepted change"),
        }
    }

    fn ended(&mut self, o: usize, apply: &Apply, verdict: &Verdict) {
        match verdict {
            Verdict::Accepted { version, .. } | Verdict::InForce { version } => {
                self.operators[o].base = Some(apply.base_after(*version));
            }
            Verdict::Unreachable(_) | Verdict::Refused(_) | Verdict::Unknown { .. } => {
                self.operators[o].again = true;
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
