//! Copies of the store's tables, whatever order reads come in.

use front::control::replica::TableReplica;
use ids::Revision;
use platform::{Changes, Delta, Row, RowKey};

fn row(key: &str, revision: u64, value: Option<&'static str>) -> Row {
    Row {
        key: RowKey(key.into()),
        revision: Revision(revision),
        value: value.map(|v| v.as_bytes().into()),
    }
}

fn changes(revision: u64, rows: Vec<Row>) -> Changes {
    Changes {
        revision: Revision(revision),
        rows,
    }
}

struct Case {
    name: &'static str,
    reads: Vec<Delta>,
    /// Keys of the news of the last read, with whether the row is there.
    news: Vec<(&'static str, bool)>,
    /// Rows that somebody who has nothing must get.
    all: Vec<(&'static str, bool)>,
}

fn cases() -> Vec<Case> {
    let first = || {
        Delta::Snapshot(changes(
            5,
            vec![row("a", 1, Some("1")), row("b", 2, Some("1"))],
        ))
    };
    vec![
        Case {
            name: "a first snapshot is all news",
            reads: vec![first()],
            news: vec![("a", true), ("b", true)],
            all: vec![("a", true), ("b", true)],
        },
        Case {
            name: "an older row is left",
            reads: vec![
                first(),
                Delta::Changes(changes(6, vec![row("a", 1, Some("0"))])),
            ],
            news: vec![],
            all: vec![("a", true), ("b", true)],
        },
        Case {
            name: "a removed row is news, and is passed on as removed",
            reads: vec![first(), Delta::Changes(changes(6, vec![row("a", 6, None)]))],
            news: vec![("a", false)],
            all: vec![("a", false), ("b", true)],
        },
        Case {
            name: "a row that a later snapshot lacks is removed",
            reads: vec![
                first(),
                Delta::Snapshot(changes(9, vec![row("b", 2, Some("1"))])),
            ],
            news: vec![("a", false)],
            all: vec![("a", false), ("b", true)],
        },
        Case {
            name: "a snapshot older than a row does not remove it",
            reads: vec![
                first(),
                Delta::Changes(changes(8, vec![row("c", 8, Some("1"))])),
                Delta::Snapshot(changes(
                    7,
                    vec![row("a", 1, Some("1")), row("b", 2, Some("1"))],
                )),
            ],
            news: vec![],
            all: vec![("a", true), ("b", true), ("c", true)],
        },
        Case {
            name: "a row that doesn't matter is left out",
            reads: vec![
                first(),
                Delta::Changes(changes(6, vec![row("b", 6, Some("idle"))])),
            ],
            news: vec![],
            all: vec![("a", true), ("b", true)],
        },
        Case {
            name: "a row that came back matters, whatever it says",
            reads: vec![
                first(),
                Delta::Changes(changes(6, vec![row("b", 6, None)])),
                Delta::Changes(changes(7, vec![row("b", 7, Some("idle"))])),
            ],
            news: vec![("b", true)],
            all: vec![("a", true), ("b", true)],
        },
    ]
}

fn keys<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<(&'a str, bool)> {
    let mut keys: Vec<_> = rows
        .map(|r| (r.key.0.as_str(), r.value.is_some()))
        .collect();
    keys.sort_unstable();
    keys
}

#[test]
fn copies_follow_what_was_read() {
    for case in cases() {
        let mut copy = TableReplica::default();
        let mut news = Vec::new();
        for delta in case.reads {
            let is_news = |row: &Row| row.value.as_deref() != Some(b"idle");
            news = copy.apply(delta, is_news);
        }
        assert_eq!(keys(news.iter()), case.news, "{}", case.name);
        assert_eq!(keys(copy.since_generation(0)), case.all, "{}", case.name);
        assert_eq!(
            copy.since_generation(copy.generation()).count(),
            0,
            "{}",
            case.name
        );
    }
}

/// A host that is fed by another one than before has nearly everything already: at 990 upstreams a
/// whole copy is 250 kB, and sixteen of them take a link of 20 Mbit/s two seconds.
#[test]
fn who_has_nearly_everything_gets_what_is_newer() {
    let mut copy = TableReplica::default();
    copy.apply(
        Delta::Snapshot(changes(
            5,
            vec![row("a", 1, Some("1")), row("b", 2, Some("1"))],
        )),
        |_| true,
    );
    let read = vec![row("a", 7, None), row("c", 8, Some("1"))];
    copy.apply(Delta::Changes(changes(9, read)), |_| true);
    let newer = |revision| {
        let rows = copy.changed_since(Revision(revision))?;
        Some(rows.map(|r| r.key.0.to_string()).collect::<Vec<_>>())
    };
    assert_eq!(newer(6), Some(vec!["a".to_owned(), "c".to_owned()]));
    assert_eq!(newer(7), Some(vec!["c".to_owned()]));
    assert_eq!(newer(9), Some(vec![]));
    // What was removed before the copy began is not known.
    assert_eq!(newer(4), None);
    assert_eq!(newer(0), None);
}

/// Once removed rows are forgotten, nobody who may still have them is told less than everything.
#[test]
fn forgotten_removals_are_not_left_out() {
    let mut copy = TableReplica::default();
    copy.apply(
        Delta::Snapshot(changes(1, vec![row("a", 1, Some("1"))])),
        |_| true,
    );
    for i in 2..3_000 {
        let gone = row(&format!("gone-{i}"), i, None);
        copy.apply(Delta::Changes(changes(i, vec![gone])), |_| true);
    }
    assert!(copy.changed_since(Revision(10)).is_none());
    assert!(copy.changed_since(Revision(2_900)).is_some());
}
