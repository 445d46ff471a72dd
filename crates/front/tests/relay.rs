//! Rows of the store that one host relays to another.

use front::control::relay::{RelayedRow, RelayedRows, RelayedTable};
use front::control::replica::TableReplica;
use ids::{Revision, StoreEra};
use platform::{Changes, Delta, Row, RowKey};

fn relayed_table(revision: u64, keys: &[&str], is_snapshot: bool) -> RelayedTable {
    let row = |key: &&str| RelayedRow {
        key: (*key).to_owned(),
        revision: 1,
        value: Some("x".into()),
    };
    RelayedTable {
        revision,
        rows: keys.iter().map(row).collect(),
        is_snapshot,
        as_of_us: 0,
    }
}

fn replica_of(keys: &[&str]) -> TableReplica {
    let row = |key: &&str| Row {
        key: RowKey((*key).into()),
        revision: Revision(1),
        value: Some("x".into()),
    };
    let mut replica = TableReplica::default();
    let all = Changes {
        revision: Revision(1),
        rows: keys.iter().map(row).collect(),
    };
    replica.apply(Delta::Snapshot(all), |_| true);
    replica
}

/// Guards against requests to an upstream that has left: a relay that started after a row was
/// removed does not know of the removal, so a host that still has the row must drop it.
#[test]
fn rows_missing_from_a_first_message_are_removed() {
    let mut replica = replica_of(&["a", "b"]);
    let changed = replica.apply(relayed_table(9, &["a"], true).into_delta(), |_| true);
    let removed: Vec<_> = changed
        .iter()
        .map(|r| (r.key.0.as_str(), r.value.is_some()))
        .collect();
    assert_eq!(removed, [("b", false)]);
    let changed = replica.apply(relayed_table(10, &[], false).into_delta(), |_| true);
    assert!(changed.is_empty(), "later messages hold only changes");
    assert_eq!(replica.revision(), Revision(10));
}

#[test]
fn replicas_drop_old_removals() {
    let mut replica = TableReplica::default();
    for i in 0..10_000_u64 {
        let row = Row {
            key: RowKey(format!("gone-{i}").into()),
            revision: Revision(i + 1),
            value: None,
        };
        let changes = Changes {
            revision: Revision(i + 1),
            rows: vec![row],
        };
        replica.apply(Delta::Changes(changes), |_| true);
    }
    assert!(replica.since_generation(0).count() <= 2_000);
}

/// Guards against a first message that takes longer over a slow link than a message may: it is
/// split, also within tables, and the parts must join to the same message.
#[test]
fn a_large_message_is_split_and_joined_again() {
    struct Case {
        rows: [usize; 3],
        messages: usize,
    }
    for case in [
        Case {
            rows: [0, 0, 0],
            messages: 1,
        },
        Case {
            rows: [1, 100, 0],
            messages: 2,
        },
        Case {
            rows: [1, 99, 0],
            messages: 1,
        },
        Case {
            rows: [1, 11_649, 1_000],
            messages: 127,
        },
    ] {
        let table = |(i, &rows): (usize, &usize)| {
            let keys: Vec<String> = (0..rows).map(|row| format!("{i}-{row}")).collect();
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            relayed_table(9, &keys, i == 1)
        };
        let whole = RelayedRows {
            tables: case.rows.iter().enumerate().map(table).collect(),
            is_fresh: true,
            path: vec!["host".to_owned()],
            is_continued: false,
            echo: None,
        };
        let messages = whole.clone().split(100);
        assert_eq!(messages.len(), case.messages);
        let joined = messages.into_iter().reduce(|earlier, mut next| {
            assert!(earlier.is_continued);
            next.prepend(earlier);
            next
        });
        assert_eq!(joined, Some(whole));
    }
}

/// Guards against rows that a host keeps although the store has lost them: a host that is complete up
/// to a revision of an earlier era receives the whole table.
#[test]
fn a_host_of_an_earlier_era_receives_all_rows() {
    let era = StoreEra(1);
    let mut replica = replica_of(&["a", "b"]);
    let all = Changes {
        revision: Revision(3).moved_to(era),
        rows: vec![Row {
            key: RowKey("a".into()),
            revision: Revision(1).moved_to(era),
            value: Some("x".into()),
        }],
    };
    replica.apply(Delta::Snapshot(all), |_| true);
    let table = RelayedTable::first(&replica, Revision(9));
    assert!(table.is_snapshot);
    let table = RelayedTable::first(&replica, Revision(3).moved_to(era));
    assert!(!table.is_snapshot, "a host of this era receives changes");
}
