//! Compares the in-memory table with a simple model over random transactions.

use std::collections::BTreeMap;

use bytes::Bytes;
use ids::Revision;
use platform::memory::PageLimits;
use platform::{Changes, Check, Commit, MemoryTable, RowKey, Txn, Write};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

const KEYS: &[&str] = &[
    "own/a",
    "own/b",
    "own/bb",
    "ow",
    "catalogue/a",
    "catalogue/b",
];
const PREFIXES: &[&str] = &["", "own/", "own/b", "catalogue/", "z"];

/// The revision that a check requires, relative to the current row.
#[derive(Debug, Clone, Copy)]
enum RequiredRevision {
    None,
    Current,
    CurrentPlus(u64),
}

#[derive(Debug, Clone)]
enum Step {
    Commit {
        checks: Vec<(usize, RequiredRevision)>,
        writes: Vec<(usize, Option<u8>)>,
    },
    Poll {
        prefix: usize,
        rows: usize,
    },
}

fn required_revision() -> impl Strategy<Value = RequiredRevision> {
    prop_oneof![
        1 => Just(RequiredRevision::None),
        4 => Just(RequiredRevision::Current),
        1 => (1_u64..4).prop_map(RequiredRevision::CurrentPlus),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let key = 0..KEYS.len();
    let checks = vec((key.clone(), required_revision()), 0..3);
    let writes = vec((key, option::weighted(0.7, any::<u8>())), 0..4);
    let commit = (checks, writes).prop_map(|(checks, writes)| Step::Commit { checks, writes });
    let poll = (0..PREFIXES.len(), 1_usize..4);
    let poll = poll.prop_map(|(prefix, rows)| Step::Poll { prefix, rows });
    prop_oneof![3 => commit, 1 => poll]
}

/// Existing rows, with their revisions and values.
type Rows = BTreeMap<&'static str, (u64, u8)>;

/// The model: the rows after each revision.
#[derive(Debug)]
struct Model {
    history: Vec<Rows>,
}

impl Model {
    fn rows(&self) -> &Rows {
        self.history.last().expect("there is an initial state")
    }

    fn revision(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    fn write(&mut self, writes: &[(usize, Option<u8>)]) {
        let revision = self.revision() + 1;
        let mut rows = self.rows().clone();
        let mut changed = false;
        let last_writes: BTreeMap<_, _> = writes.iter().copied().collect();
        for (key, value) in last_writes {
            changed |= value.is_some() || rows.contains_key(KEYS[key]);
            match value {
                Some(value) => rows.insert(KEYS[key], (revision, value)),
                None => rows.remove(KEYS[key]),
            };
        }
        if changed {
            self.history.push(rows);
        }
    }

    fn rows_under(&self, prefix: &str) -> Rows {
        let rows = self.rows().iter().filter(|(k, _)| k.starts_with(prefix));
        rows.map(|(k, v)| (*k, *v)).collect()
    }
}

/// A reader that follows the changes under a prefix.
#[derive(Debug, Default)]
struct Reader {
    revision: Revision,
    rows: Rows,
}

impl Reader {
    fn apply(&mut self, changes: &Changes) {
        for row in &changes.rows {
            let key = *KEYS.iter().find(|k| **k == row.key.0).expect("a known key");
            match &row.value {
                Some(value) => self.rows.insert(key, (row.revision.0, value[0])),
                None => self.rows.remove(key),
            };
        }
        self.revision = changes.revision;
    }
}

#[derive(Debug)]
struct Simulation {
    table: MemoryTable,
    model: Model,
    readers: Vec<Reader>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            table: MemoryTable::new(),
            model: Model {
                history: vec![Rows::new()],
            },
            readers: PREFIXES.iter().map(|_| Reader::default()).collect(),
        }
    }

    fn check(&self, (key, required): (usize, RequiredRevision)) -> Check {
        let current = self.model.rows().get(KEYS[key]).map(|(r, _)| *r);
        let revision = match required {
            RequiredRevision::None => None,
            RequiredRevision::Current => current,
            RequiredRevision::CurrentPlus(n) => Some(current.unwrap_or(0) + n),
        };
        Check {
            key: RowKey(KEYS[key].into()),
            revision: revision.map(Revision),
        }
    }

    fn commit(&mut self, checks: &[(usize, RequiredRevision)], writes: &[(usize, Option<u8>)]) {
        let checks: Vec<Check> = checks.iter().map(|c| self.check(*c)).collect();
        let actual = |c: &Check| self.model.rows().get(&*c.key.0).map(|(r, _)| Revision(*r));
        let holds = checks.iter().all(|c| actual(c) == c.revision);
        let write = |(key, value): &(usize, Option<u8>)| Write {
            key: RowKey(KEYS[*key].into()),
            value: value.map(|v| Bytes::from(vec![v])),
        };
        let txn = Txn {
            writes: writes.iter().map(write).collect(),
            checks,
        };
        match self.table.commit(&txn) {
            Commit::Done(revision) => {
                assert!(holds, "a check did not hold");
                self.model.write(writes);
                assert_eq!(revision.0, self.model.revision());
            }
            Commit::Conflict(rows) => {
                assert!(!holds, "all checks held");
                let returned: Vec<_> = rows.iter().map(|r| (&*r.key.0, r.revision.0)).collect();
                let checked = |k: &str| txn.checks.iter().any(|c| c.key.0 == k);
                let current = self.model.rows().iter().filter(|(k, _)| checked(k));
                assert_eq!(
                    returned,
                    current.map(|(k, v)| (*k, v.0)).collect::<Vec<_>>()
                );
            }
        }
    }

    fn poll(&mut self, prefix: usize, rows: usize) {
        let reader = &mut self.readers[prefix];
        let prefix = PREFIXES[prefix];
        let changes = self.table.changes(prefix, reader.revision);
        assert!(
            changes
                .rows
                .is_sorted_by_key(|r| (r.revision, r.key.clone()))
        );
        let paged = pages(&self.table, prefix, reader.revision, rows);
        assert_eq!(paged, changes.rows);
        reader.apply(&changes);
        assert_eq!(reader.rows, self.model.rows_under(prefix));
    }
}

fn pages(table: &MemoryTable, prefix: &str, since: Revision, rows: usize) -> Vec<platform::Row> {
    let limits = PageLimits {
        rows,
        ..PageLimits::default()
    };
    let mut since = Some(since);
    let mut all = Vec::new();
    while let Some(after) = since {
        let page = table.page(prefix, after, limits);
        all.extend(page.changes.rows);
        assert!(page.next.is_none_or(|n| n > after));
        since = page.next;
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn behaves_like_the_model(steps in vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            match step {
                Step::Commit { checks, writes } => simulation.commit(checks, writes),
                Step::Poll { prefix, rows } => simulation.poll(*prefix, *rows),
            }
            prop_assert_eq!(simulation.table.verify(), []);
        }
        for prefix in 0..PREFIXES.len() {
            simulation.poll(prefix, 1);
        }
    }
}
