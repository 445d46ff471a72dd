//! What a host makes of what another one feeds it.

use front::control::relay::{RelayedRow, RelayedRows, RelayedTable};
use front::control::replica::TableReplica;
use ids::Revision;
use platform::{Changes, Delta, Row, RowKey};

fn feed(revision: u64, keys: &[&str], is_snapshot: bool) -> RelayedTable {
    let row = |key: &&str| RelayedRow {
        key: (*key).to_owned(),
        revision: 1,
        value: Some("x".into()),
    };
    RelayedTable {
        revision,
        rows: keys.iter().map(row).collect(),
        is_snapshot,
    }
}

fn copy_of(keys: &[&str]) -> TableReplica {
    let row = |key: &&str| Row {
        key: RowKey((*key).into()),
        revision: Revision(1),
        value: Some("x".into()),
    };
    let mut copy = TableReplica::default();
    let all = Changes {
        revision: Revision(1),
        rows: keys.iter().map(row).collect(),
    };
    copy.apply(Delta::Snapshot(all), |_| true);
    copy
}

/// A feeder that began after a row was removed never heard of it; whoever still has the row must
/// drop it, or it would go on sending to an upstream that has left.
#[test]
fn what_a_feeder_lacks_at_first_is_gone() {
    let mut copy = copy_of(&["a", "b"]);
    let news = copy.apply(feed(9, &["a"], true).into_delta(), |_| true);
    let gone: Vec<_> = news
        .iter()
        .map(|r| (r.key.0.as_str(), r.value.is_some()))
        .collect();
    assert_eq!(gone, [("b", false)]);
    let news = copy.apply(feed(10, &[], false).into_delta(), |_| true);
    assert!(news.is_empty(), "later messages bring changes only");
    assert_eq!(copy.revision(), Revision(10));
}

#[test]
fn copies_forget_what_was_removed_long_ago() {
    let mut copy = TableReplica::default();
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
        copy.apply(Delta::Changes(changes), |_| true);
    }
    assert!(copy.since_generation(0).count() <= 2_000);
}

/// Guards against a first message that no weak link takes in its time: it is divided, and is the same again when it is
/// there, also for tables that were divided in their middle.
#[test]
fn a_large_feed_comes_in_parts_and_is_taken_as_one() {
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
            feed(9, &keys, i == 1)
        };
        let whole = RelayedRows {
            tables: case.rows.iter().enumerate().map(table).collect(),
            fresh_ms: 900,
            reader: "host".to_owned(),
            is_continued: false,
        };
        let messages = whole.clone().split(100);
        assert_eq!(messages.len(), case.messages);
        let taken = messages.into_iter().reduce(|before, mut next| {
            assert!(before.is_continued);
            next.prepend(before);
            next
        });
        assert_eq!(taken, Some(whole));
    }
}
