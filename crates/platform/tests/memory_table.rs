//! Transaction semantics of the in-memory table, as a list of cases.

use bytes::Bytes;
use ids::Revision;
use platform::memory::PageLimits;
use platform::{Check, Commit, MemoryTable, Row, RowKey, Txn, Write};

fn key(text: &str) -> RowKey {
    RowKey(text.into())
}

fn check(text: &str, revision: Option<u64>) -> Check {
    Check {
        key: key(text),
        revision: revision.map(Revision),
    }
}

fn write(text: &str, value: Option<&'static str>) -> Write {
    Write {
        key: key(text),
        value: value.map(|v| Bytes::from_static(v.as_bytes())),
    }
}

fn row(text: &str, revision: u64, value: Option<&'static str>) -> Row {
    let Write { key, value } = write(text, value);
    Row {
        key,
        revision: Revision(revision),
        value,
    }
}

/// Returns a table with `own/a` = 1 (revision 1), `own/b` deleted (revision 3) and `own/c` = 3
/// (revision 2).
fn sample() -> MemoryTable {
    let mut table = MemoryTable::new();
    let writes = [
        vec![write("own/a", Some("1"))],
        vec![write("own/b", Some("2")), write("own/c", Some("3"))],
        vec![write("own/b", None)],
    ];
    for writes in writes {
        let checks = Vec::new();
        table.commit(&Txn { checks, writes });
    }
    assert_eq!(table.verify(), []);
    table
}

struct Case {
    name: &'static str,
    checks: Vec<Check>,
    writes: Vec<Write>,
    commit: Commit,
    changes: Vec<Row>,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "no checks and no writes leave the revision",
            checks: vec![],
            writes: vec![],
            commit: Commit::Done(Revision(3)),
            changes: vec![],
        },
        Case {
            name: "checks alone hold",
            checks: vec![check("own/a", Some(1)), check("own/b", None)],
            writes: vec![],
            commit: Commit::Done(Revision(3)),
            changes: vec![],
        },
        Case {
            name: "writes share one revision",
            checks: vec![check("own/a", Some(1))],
            writes: vec![write("own/a", Some("9")), write("own/d", Some("8"))],
            commit: Commit::Done(Revision(4)),
            changes: vec![row("own/a", 4, Some("9")), row("own/d", 4, Some("8"))],
        },
        Case {
            name: "one failed check stops all writes and shows all checked rows",
            checks: vec![
                check("own/c", Some(1)),
                check("own/a", Some(1)),
                check("own/b", None),
            ],
            writes: vec![write("own/d", Some("8"))],
            commit: Commit::Conflict(vec![row("own/a", 1, Some("1")), row("own/c", 2, Some("3"))]),
            changes: vec![],
        },
        Case {
            name: "a deleted row doesn't exist",
            checks: vec![check("own/b", Some(3))],
            writes: vec![write("own/b", Some("7"))],
            commit: Commit::Conflict(vec![]),
            changes: vec![],
        },
        Case {
            name: "an existing row fails a check for none",
            checks: vec![check("own/a", None)],
            writes: vec![write("own/a", Some("7"))],
            commit: Commit::Conflict(vec![row("own/a", 1, Some("1"))]),
            changes: vec![],
        },
        Case {
            name: "a deleted row may be created again",
            checks: vec![check("own/b", None)],
            writes: vec![write("own/b", Some("7"))],
            commit: Commit::Done(Revision(4)),
            changes: vec![row("own/b", 4, Some("7"))],
        },
        Case {
            name: "a deletion is a change",
            checks: vec![],
            writes: vec![write("own/a", None)],
            commit: Commit::Done(Revision(4)),
            changes: vec![row("own/a", 4, None)],
        },
        Case {
            name: "deleting rows that don't exist changes nothing",
            checks: vec![],
            writes: vec![write("own/b", None), write("own/z", None)],
            commit: Commit::Done(Revision(3)),
            changes: vec![],
        },
        Case {
            name: "the same value again is a change",
            checks: vec![],
            writes: vec![write("own/a", Some("1"))],
            commit: Commit::Done(Revision(4)),
            changes: vec![row("own/a", 4, Some("1"))],
        },
        Case {
            name: "the last write of a key counts",
            checks: vec![],
            writes: vec![write("own/a", Some("5")), write("own/a", Some("6"))],
            commit: Commit::Done(Revision(4)),
            changes: vec![row("own/a", 4, Some("6"))],
        },
        Case {
            name: "contradicting checks conflict and show the row once",
            checks: vec![check("own/a", Some(1)), check("own/a", None)],
            writes: vec![write("own/a", Some("5"))],
            commit: Commit::Conflict(vec![row("own/a", 1, Some("1"))]),
            changes: vec![],
        },
    ]
}

#[test]
fn transactions() {
    for case in cases() {
        let mut table = sample();
        let txn = Txn {
            checks: case.checks,
            writes: case.writes,
        };
        assert_eq!(table.commit(&txn), case.commit, "{}", case.name);
        let changes = table.changes("own/", Revision(3));
        assert_eq!(changes.rows, case.changes, "{}", case.name);
        assert_eq!(changes.revision, table.revision(), "{}", case.name);
        assert_eq!(table.verify(), [], "{}", case.name);
    }
}

#[test]
fn changes_hold_each_row_once_by_revision() {
    let table = sample();
    let all = table.changes("", Revision(0));
    let expected = [
        row("own/a", 1, Some("1")),
        row("own/c", 2, Some("3")),
        row("own/b", 3, None),
    ];
    assert_eq!(all.rows, expected);
    assert_eq!(table.changes("own/c", Revision(0)).rows, expected[1..2]);
    assert_eq!(table.changes("catalogue/", Revision(0)).rows, []);
    assert_eq!(table.rows("own/").count(), 2);
}

#[test]
fn pages_end_with_whole_transactions() {
    let mut table = MemoryTable::new();
    for txn in 0..3 {
        let writes = (0..4).map(|n| write(&format!("own/{txn}-{n}"), Some("x")));
        table.commit(&Txn {
            checks: vec![],
            writes: writes.collect(),
        });
    }
    let limits = PageLimits {
        rows: 5,
        ..PageLimits::default()
    };
    let first = table.page("own/", Revision(0), limits);
    assert_eq!(first.changes.rows.len(), 8);
    assert_eq!(first.next, Some(Revision(2)));
    let second = table.page("own/", Revision(2), limits);
    assert_eq!(second.changes.rows.len(), 4);
    assert_eq!(second.next, None);
}
