//! Results of calls to the fake platform under each fault, and the state afterwards.

use std::time::Duration;

use bytes::Bytes;
use ids::Revision;
use platform::fake::Faults;
use platform::{Commit, FakePlatform, Objects, PlatformError, RowKey, Table, Txn, Write};

fn txn(value: &'static str) -> Txn {
    Txn {
        checks: Vec::new(),
        writes: vec![Write {
            key: RowKey("own/a".into()),
            value: Some(Bytes::from_static(value.as_bytes())),
        }],
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    unreachable: bool,
    /// Whether the first transaction is confirmed; `revision` is the revision after it.
    confirmed: bool,
    revision: u64,
}

#[tokio::test]
async fn faults() {
    let none = Faults::default();
    let cases = [
        Case {
            name: "none",
            faults: none,
            unreachable: false,
            confirmed: true,
            revision: 1,
        },
        Case {
            name: "down",
            faults: Faults { down: true, ..none },
            unreachable: true,
            confirmed: false,
            revision: 0,
        },
        Case {
            name: "confirmation lost",
            faults: Faults {
                lose_confirmations: 1,
                ..none
            },
            unreachable: false,
            confirmed: false,
            revision: 1,
        },
        Case {
            name: "request lost",
            faults: Faults {
                lose_requests: 1,
                ..none
            },
            unreachable: false,
            confirmed: false,
            revision: 0,
        },
        Case {
            name: "late",
            faults: Faults {
                late_transactions: 1,
                ..none
            },
            unreachable: false,
            confirmed: false,
            revision: 0,
        },
    ];
    for case in cases {
        let fake = FakePlatform::new();
        fake.set_faults(case.faults);
        let commit = fake.commit(txn("1")).await;
        assert_eq!(commit.is_ok(), case.confirmed, "{}", case.name);
        let unreachable = matches!(commit, Err(PlatformError::Unreachable { .. }));
        assert_eq!(unreachable, case.unreachable, "{}", case.name);
        let revision = fake.with_table(|t| t.revision());
        assert_eq!(revision, Revision(case.revision), "{}", case.name);
        let read = fake.changes("own/", Revision(0)).await;
        assert_eq!(read.is_err(), case.unreachable, "{}", case.name);
        if !case.unreachable {
            let next = fake.commit(txn("2")).await;
            assert_eq!(next, Ok(Commit::Done(revision.next())), "{}", case.name);
        }
    }
}

#[tokio::test]
async fn a_late_transaction_takes_effect_when_delivered() {
    let fake = FakePlatform::new();
    fake.set_faults(Faults {
        late_transactions: 1,
        ..Faults::default()
    });
    let commit = fake.commit(txn("1")).await;
    assert!(matches!(commit, Err(PlatformError::Unconfirmed { .. })));
    let before = fake.changes("own/", Revision(0)).await;
    assert_eq!(before.map(|c| c.rows), Ok(vec![]));
    assert_eq!(fake.deliver_late(), [Commit::Done(Revision(1))]);
    assert_eq!(fake.deliver_late(), []);
}

#[tokio::test]
async fn objects_never_change() {
    let fake = FakePlatform::new();
    let body = Bytes::from_static(b"1");
    assert_eq!(fake.put("a", body.clone()).await, Ok(()));
    assert_eq!(fake.put("a", body.clone()).await, Ok(()));
    let other = fake.put("a", Bytes::from_static(b"2")).await;
    assert!(matches!(other, Err(PlatformError::Forbidden { .. })));
    assert_eq!(fake.get("a").await, Ok(Some(body)));
    assert_eq!(fake.get("b").await, Ok(None));
    let calls = fake.take_calls();
    assert_eq!((calls.reads, calls.writes), (2, 3));
}

#[tokio::test]
async fn calls_take_their_delay() {
    let fake = FakePlatform::new();
    fake.set_faults(Faults {
        delay: Duration::from_hours(1),
        ..Faults::default()
    });
    let commit = tokio::time::timeout(Duration::from_millis(5), fake.commit(txn("1")));
    commit.await.unwrap_err();
    assert_eq!(fake.with_table(|t| t.revision()), Revision(0));
}
