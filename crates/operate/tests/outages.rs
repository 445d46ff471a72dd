//! Tests of applies during which the platform becomes unreachable, at each of their calls.

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

/// How the outage affects the call during which it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutageStart {
    /// The call does not reach the platform.
    Before,
    /// The platform performs the call, and the answer is lost.
    After,
}

/// A platform that becomes unreachable after a number of calls.
#[derive(Debug, Clone)]
struct FailingPlatform {
    inner: FakePlatform,
    calls_left: Arc<AtomicU32>,
    start: OutageStart,
}

/// How a call ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    Answered,
    AnswerLost,
    Unreachable,
}

impl FailingPlatform {
    fn new(inner: &FakePlatform, calls: u32, start: OutageStart) -> Self {
        Self {
            inner: inner.clone(),
            calls_left: Arc::new(AtomicU32::new(calls + 1)),
            start,
        }
    }

    fn next_call(&self) -> CallEnd {
        let decrement = |left: u32| left.checked_sub(1);
        match self
            .calls_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
        {
            Ok(1) if self.start == OutageStart::After => CallEnd::AnswerLost,
            Ok(1) | Err(_) => CallEnd::Unreachable,
            Ok(_) => CallEnd::Answered,
        }
    }
}

/// Returns the result of a call that ends in the way of `end`.
fn answer<T>(
    end: CallEnd,
    write: bool,
    result: Result<T, PlatformError>,
) -> Result<T, PlatformError> {
    let (step, peer, cause) = ("call", "test".into(), "outage".into());
    match end {
        CallEnd::Answered => result,
        CallEnd::AnswerLost if write => Err(PlatformError::Unconfirmed { step, peer, cause }),
        _ => Err(PlatformError::Unreachable { step, peer, cause }),
    }
}

impl Table for FailingPlatform {
    async fn changes(&self, prefix: &str, since: Revision) -> Result<Changes, PlatformError> {
        let end = self.next_call();
        answer(end, false, self.inner.changes(prefix, since).await)
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        match self.next_call() {
            CallEnd::Unreachable => {
                answer(CallEnd::Unreachable, true, Ok(Commit::Done(Revision(0))))
            }
            end => answer(end, true, self.inner.commit(txn).await),
        }
    }
}

impl Objects for FailingPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        match self.next_call() {
            CallEnd::Unreachable => answer(CallEnd::Unreachable, true, Ok(())),
            end => answer(end, true, self.inner.put(name, body).await),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let end = self.next_call();
        answer(end, false, self.inner.get(name).await)
    }
}

/// Number of upstreams that makes a change too large for its history row, so that its items are
/// stored as an object.
const MANY_UPSTREAMS: u32 = 250;

/// Returns a platform with version 1 in force, and a directory that holds a further change.
async fn platform_and_edited_dir(large: bool) -> (FakePlatform, Dir) {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    dir.set_limit("slotbook", 40);
    if large {
        dir.add_upstreams("slotbook", 100..100 + MANY_UPSTREAMS);
    }
    (platform, dir)
}

fn version_count(platform: &FakePlatform) -> usize {
    platform.with_table(|t| t.rows(CHANGES_PREFIX).count())
}

#[tokio::test]
async fn an_outage_at_any_step_leaves_all_or_nothing_and_a_second_run_settles_it() {
    for large in [false, true] {
        for start in [OutageStart::Before, OutageStart::After] {
            for calls in 0..5 {
                let case = format!("large {large}, {start:?} call {calls}");
                let (platform, dir) = platform_and_edited_dir(large).await;
                let failing = FailingPlatform::new(&platform, calls, start);
                let first = apply(&failing, &dir, "anna").await;
                let accepted = version_count(&platform) == 2;
                match first.exit {
                    Exit::Done => assert!(accepted, "{case}"),
                    Exit::Unreachable => assert!(!accepted, "{case}"),
                    Exit::Unknown => assert_eq!(start, OutageStart::After, "{case}"),
                    exit => panic!("{case}: {exit:?} {}", first.text),
                }
                if let Some(change) = first.json["change"].as_str() {
                    let settled = report(settle::settle(&platform, &name(change), None).await);
                    assert_eq!(settled.json["accepted"], json!(accepted), "{case}");
                }
                let second = apply(&platform, &dir, "anna").await;
                assert_eq!(second.exit, Exit::Done, "{case}: {}", second.text);
                assert_eq!(second.json["version"], 2, "{case}");
                assert_eq!(version_count(&platform), 2, "{case}");
            }
        }
    }
}

#[tokio::test]
async fn a_change_that_was_replaced_before_its_second_run_is_not_applied_again() {
    let (platform, dir) = platform_and_edited_dir(false).await;
    let other = dir.copy();
    let failing = FailingPlatform::new(&platform, 2, OutageStart::After);
    let first = apply(&failing, &dir, "anna").await;
    assert_eq!(first.exit, Exit::Unknown, "{}", first.text);
    assert_eq!(version_count(&platform), 2);
    // Another directory, based on version 2, replaces the item.
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
    assert_eq!(version_count(&platform), 3);
    let shown = report(show::show(&platform, &["entry/slotbook".parse().unwrap()], None).await);
    assert_eq!(shown.json["items"][0]["body"]["limits"]["queue"], 77);
}

#[tokio::test]
async fn a_large_change_is_read_back_from_the_object_store() {
    let (platform, dir) = platform_and_edited_dir(true).await;
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
    let rolled_back = report(rollback::rollback(&platform, Version(1), &[], false, &cx).await);
    assert_eq!(
        (rolled_back.exit, &rolled_back.json["version"]),
        (Exit::Done, &json!(3))
    );
    let same = report(diff::diff(&platform, Version(1), None).await);
    assert_eq!(same.json["items"], json!([]));
}

#[tokio::test]
async fn a_change_costs_two_reads_and_one_write() {
    let (platform, dir) = platform_and_edited_dir(false).await;
    let _before = platform.take_calls();
    apply(&platform, &dir, "anna").await;
    let calls = platform.take_calls();
    assert_eq!((calls.reads, calls.writes), (2, 1));
}
