//! Applies that meet an outage at each of their steps.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use catalogue::rows::{CHANGES_PREFIX, OBJECTS_PREFIX};
use ids::{Revision, Version};
use operate::Exit;
use operate::command::{diff, history, rollback, settle, show};
use platform::{Changes, Commit, FakePlatform, Objects, PlatformError, Table, Txn};
use serde_json::json;

use support::{Dir, apply, context, name, report};

/// What becomes of the call in which the outage starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// It does not arrive.
    Before,
    /// It is carried out, and the answer is lost.
    After,
}

/// A platform that is gone after some calls.
#[derive(Debug, Clone)]
struct Failing {
    inner: FakePlatform,
    calls_left: Arc<AtomicU32>,
    start: Start,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    Unreachable,
}

impl Failing {
    fn new(inner: &FakePlatform, calls: u32, start: Start) -> Self {
        Self {
            inner: inner.clone(),
            calls_left: Arc::new(AtomicU32::new(calls + 1)),
            start,
        }
    }

    fn next(&self) -> Fate {
        let take = |left: u32| left.checked_sub(1);
        match self
            .calls_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
        {
            Ok(1) if self.start == Start::After => Fate::AnswerLost,
            Ok(1) | Err(_) => Fate::Unreachable,
            Ok(_) => Fate::Answered,
        }
    }
}

/// Passes on the answer that `fate` leaves of a call.
fn answer<T>(
    fate: Fate,
    write: bool,
    result: Result<T, PlatformError>,
) -> Result<T, PlatformError> {
    let (step, peer, cause) = ("call", "test".into(), "outage".into());
    match fate {
        Fate::Answered => result,
        Fate::AnswerLost if write => Err(PlatformError::Unconfirmed { step, peer, cause }),
        _ => Err(PlatformError::Unreachable { step, peer, cause }),
    }
}

impl Table for Failing {
    async fn changes(&self, prefix: &str, since: Revision) -> Result<Changes, PlatformError> {
        let fate = self.next();
        answer(fate, false, self.inner.changes(prefix, since).await)
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        match self.next() {
            Fate::Unreachable => answer(Fate::Unreachable, true, Ok(Commit::Done(Revision(0)))),
            fate => answer(fate, true, self.inner.commit(txn).await),
        }
    }
}

impl Objects for Failing {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        match self.next() {
            Fate::Unreachable => answer(Fate::Unreachable, true, Ok(())),
            fate => answer(fate, true, self.inner.put(name, body).await),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let fate = self.next();
        answer(fate, false, self.inner.get(name).await)
    }
}

/// A change that needs the object store has many upstreams.
const MANY_UPSTREAMS: u32 = 250;

/// Returns a platform with version 1 in force, and a directory that holds a further change.
async fn before_a_change(large: bool) -> (FakePlatform, Dir) {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    dir.set_limit("slotbook", 40);
    if large {
        dir.add_upstreams("slotbook", 100..100 + MANY_UPSTREAMS);
    }
    (platform, dir)
}

fn versions(platform: &FakePlatform) -> usize {
    platform.with_table(|t| t.rows(CHANGES_PREFIX).count())
}

#[tokio::test]
async fn an_outage_at_any_step_leaves_all_or_nothing_and_a_second_run_settles_it() {
    for large in [false, true] {
        for start in [Start::Before, Start::After] {
            for calls in 0..5 {
                let case = format!("large {large}, {start:?} call {calls}");
                let (platform, dir) = before_a_change(large).await;
                let failing = Failing::new(&platform, calls, start);
                let first = apply(&failing, &dir, "anna").await;
                let landed = versions(&platform) == 2;
                match first.exit {
                    Exit::Done => assert!(landed, "{case}"),
                    Exit::Unreachable => assert!(!landed, "{case}"),
                    Exit::Unknown => assert_eq!(start, Start::After, "{case}"),
                    exit => panic!("{case}: {exit:?} {}", first.text),
                }
                if let Some(change) = first.json["change"].as_str() {
                    let settled = report(settle::settle(&platform, &name(change), None).await);
                    assert_eq!(settled.json["accepted"], json!(landed), "{case}");
                }
                let second = apply(&platform, &dir, "anna").await;
                assert_eq!(second.exit, Exit::Done, "{case}: {}", second.text);
                assert_eq!(second.json["version"], 2, "{case}");
                assert_eq!(versions(&platform), 2, "{case}");
            }
        }
    }
}

#[tokio::test]
async fn a_change_that_was_replaced_before_its_second_run_is_not_applied_again() {
    let (platform, dir) = before_a_change(false).await;
    let other = dir.copy();
    let failing = Failing::new(&platform, 2, Start::After);
    let first = apply(&failing, &dir, "anna").await;
    assert_eq!(first.exit, Exit::Unknown, "{}", first.text);
    assert_eq!(versions(&platform), 2);
    // Somebody who has seen it replaces it.
    apply(&platform, &other, "anna").await;
    other.set_limit("slotbook", 77);
    assert_eq!(apply(&platform, &other, "anna").await.json["version"], 3);
    let second = apply(&platform, &dir, "anna").await;
    assert_eq!(second.exit, Exit::Done, "{}", second.text);
    assert_eq!(
        (&second.json["version"], &second.json["again"]),
        (&json!(2), &json!(true))
    );
    assert!(
        second
            .text
            .contains("since then, entry/slotbook: changed by anna")
    );
    assert_eq!(versions(&platform), 3);
    let shown = report(show::show(&platform, &["entry/slotbook".parse().unwrap()], None).await);
    assert_eq!(shown.json["items"][0]["body"]["limits"]["queue"], 77);
}

#[tokio::test]
async fn a_large_change_is_read_back_from_the_object_store() {
    let (platform, dir) = before_a_change(true).await;
    let applied = apply(&platform, &dir, "anna").await;
    assert_eq!(applied.json["version"], 2, "{}", applied.text);
    let objects: Vec<String> =
        platform.with_objects(|o| o.names().map(ToString::to_string).collect());
    assert_eq!(objects.len(), 1);
    assert!(objects[0].starts_with(OBJECTS_PREFIX));

    let listed = report(history::history(&platform, 1, None).await);
    let items = listed.json["changes"][0]["items"].as_array().map(Vec::len);
    assert_eq!(items, Some(1 + MANY_UPSTREAMS as usize));
    let cx = context("anna");
    let back = report(rollback::rollback(&platform, Version(1), &[], false, &cx).await);
    assert_eq!((back.exit, &back.json["version"]), (Exit::Done, &json!(3)));
    let same = report(diff::diff(&platform, Version(1), None).await);
    assert_eq!(same.json["items"], json!([]));
}

#[tokio::test]
async fn a_change_costs_two_reads_and_one_write() {
    let (platform, dir) = before_a_change(false).await;
    let _before = platform.take_calls();
    apply(&platform, &dir, "anna").await;
    let calls = platform.take_calls();
    assert_eq!((calls.reads, calls.writes), (2, 1));
}
