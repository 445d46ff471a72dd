//! The table in memory against a plain model, over random transactions.

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

/// What a check asks for, in terms of the row as it stands.
#[derive(Debug, Clone, Copy)]
enum Asked {
    None,
    AsItStands,
    Off(u64),
}

#[derive(Debug, Clone)]
enum Step {
    Commit {
        checks: Vec<(usize, Asked)>,
        writes: Vec<(usize, Option<u8>)>,
    },
    Poll {
        prefix: usize,
        rows: usize,
    },
}

fn asked() -> impl Strategy<Value = Asked> {
    prop_oneof![
        1 => Just(Asked::None),
        4 => Just(Asked::AsItStands),
        1 => (1_u64..4).prop_map(Asked::Off),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let key = 0..KEYS.len();
    let checks = vec((key.clone(), asked()), 0..3);
    let writes = vec((key, option::weighted(0.7, any::<u8>())), 0..4);
    let commit = (checks, writes).prop_map(|(checks, writes)| Step::Commit { checks, writes });
    let poll = (0..PREFIXES.len(), 1_usize..4);
    let poll = poll.prop_map(|(prefix, rows)| Step::Poll { prefix, rows });
    prop_oneof![3 => commit, 1 => poll]
}

/// Rows that exist, with their revisions.
type Rows = BTreeMap<&'static str, (u64, u8)>;

/// The plain model: the rows after each revision.
#[derive(Debug)]
struct Model {
    history: Vec<Rows>,
}

impl Model {
    fn now(&self) -> &Rows {
        self.history.last().expect("there is a first state")
    }

    fn revision(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    fn write(&mut self, writes: &[(usize, Option<u8>)]) {
        let revision = self.revision() + 1;
        let mut rows = self.now().clone();
        let mut changed = false;
        let last: BTreeMap<_, _> = writes.iter().copied().collect();
        for (key, value) in last {
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

    fn below(&self, prefix: &str) -> Rows {
        let rows = self.now().iter().filter(|(k, _)| k.starts_with(prefix));
        rows.map(|(k, v)| (*k, *v)).collect()
    }
}

/// A reader of one prefix, who keeps up by reading changes.
#[derive(Debug, Default)]
struct Reader {
    revision: Revision,
    rows: Rows,
}

impl Reader {
    fn take(&mut self, changes: &Changes) {
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
struct Run {
    table: MemoryTable,
    model: Model,
    readers: Vec<Reader>,
}

impl Run {
    fn new() -> Self {
        Self {
            table: MemoryTable::new(),
            model: Model {
                history: vec![Rows::new()],
            },
            readers: PREFIXES.iter().map(|_| Reader::default()).collect(),
        }
    }

    fn check(&self, (key, asked): (usize, Asked)) -> Check {
        let stands = self.model.now().get(KEYS[key]).map(|(r, _)| *r);
        let revision = match asked {
            Asked::None => None,
            Asked::AsItStands => stands,
            Asked::Off(by) => Some(stands.unwrap_or(0) + by),
        };
        Check {
            key: RowKey(KEYS[key].into()),
            revision: revision.map(Revision),
        }
    }

    fn commit(&mut self, checks: &[(usize, Asked)], writes: &[(usize, Option<u8>)]) {
        let checks: Vec<Check> = checks.iter().map(|c| self.check(*c)).collect();
        let stands = |c: &Check| self.model.now().get(&*c.key.0).map(|(r, _)| Revision(*r));
        let holds = checks.iter().all(|c| stands(c) == c.revision);
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
                let shown: Vec<_> = rows.iter().map(|r| (&*r.key.0, r.revision.0)).collect();
                let checked = |k: &str| txn.checks.iter().any(|c| c.key.0 == k);
                let now = self.model.now().iter().filter(|(k, _)| checked(k));
                assert_eq!(shown, now.map(|(k, v)| (*k, v.0)).collect::<Vec<_>>());
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
        reader.take(&changes);
        assert_eq!(reader.rows, self.model.below(prefix));
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
        let mut run = Run::new();
        for step in &steps {
            match step {
                Step::Commit { checks, writes } => run.commit(checks, writes),
                Step::Poll { prefix, rows } => run.poll(*prefix, *rows),
            }
            prop_assert_eq!(run.table.verify(), []);
        }
        for prefix in 0..PREFIXES.len() {
            run.poll(prefix, 1);
        }
    }
}
