//! Random requests to an upstream that misbehaves at random, over two hosts. Each caller must get
//! the complete answer to its request, or a refusal whose outcome agrees with the upstream's journal.

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use support::caller::{Caller, Response, post};
use support::rig::{Rig, RigSettings};
use tokio::runtime::Runtime;

/// One caller's request.
#[derive(Debug, Clone)]
struct PlannedRequest {
    path: &'static str,
    act: &'static str,
    deadline_ms: u32,
    /// Milliseconds after which the caller closes its connection, if it does.
    leave_after: Option<u64>,
    /// Milliseconds after which the caller connects.
    start: u64,
}

impl PlannedRequest {
    fn is_idempotent(&self) -> bool {
        self.path == "/look"
    }

    /// Returns whether the upstream executes the request when it receives it.
    fn runs(&self) -> bool {
        !matches!(self.act, "not-run" | "grant")
    }
}

const ACTS: &[&str] = &[
    "whole",
    "whole",
    "whole",
    "close",
    "close-silent",
    "half-head",
    "half-body",
    "half-chunk",
    "unending",
    "garbage",
    "drop",
    "other-id",
    "not-run",
    "grant",
    "twice",
    "late-extra:5",
    "slow:5",
    "slow:30",
    "slow:120",
];

fn plan() -> impl Strategy<Value = PlannedRequest> {
    let path = prop::sample::select(&["/look", "/seg/ESNQ", "/any"][..]);
    let act = prop::sample::select(ACTS);
    let leave_after = prop::option::weighted(0.1, 0_u64..60);
    (path, act, 10_u32..150, leave_after, 0_u64..60).prop_map(
        |(path, act, deadline_ms, leave_after, start)| PlannedRequest {
            path,
            act,
            deadline_ms,
            leave_after,
            start,
        },
    )
}

/// Sends one request; returns `None` if the caller closed its connection first.
async fn ask(address: std::net::SocketAddr, plan: &PlannedRequest, id: &str) -> Option<Response> {
    tokio::time::sleep(Duration::from_millis(plan.start)).await;
    let mut caller = Caller::connect(address).await;
    let deadline = plan.deadline_ms.to_string();
    let headers = [
        ("x-act", plan.act),
        ("x-key", id),
        ("medlardyke-request-id", id),
        ("medlardyke-deadline-ms", &deadline),
    ];
    caller.write(post(plan.path, &headers, "body")).await;
    let Some(wait_ms) = plan.leave_after else {
        return Some(caller.read().await.expect("an answer"));
    };
    let read = tokio::time::timeout(Duration::from_millis(wait_ms), caller.read());
    read.await.ok().flatten()
}

/// Returns a description of the fault, if the outcome of a request that the upstream received
/// `seen` times is wrong.
fn fault(plan: &PlannedRequest, id: &str, got: Option<&Response>, seen: usize) -> Option<String> {
    let ran = if plan.runs() { seen } else { 0 };
    if !plan.is_idempotent() && ran > 1 {
        return Some(format!("ran {ran} times"));
    }
    let got = got?;
    let whole = format!("answer to {id}");
    let is_correct = match got.outcome() {
        "answered" => got.body == whole && seen > 0,
        "not-run" => ran == 0,
        "unknown" => got.status >= 400,
        _ => false,
    };
    (!is_correct).then(|| format!("outcome disagrees with the journal: seen {seen} times, {got:?}"))
}

async fn check(rig: &Rig, round: u64, plans: &[PlannedRequest]) -> Vec<String> {
    let name = |n: usize| format!("req-{round}-{n}");
    let asks = plans.iter().enumerate().map(|(n, plan)| {
        let address = rig.address(n % 2);
        async move { ask(address, plan, &name(n)).await }
    });
    let answers = futures::future::join_all(asks).await;
    // Retries of requests whose callers left may still be in flight.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let ends = plans.iter().zip(&answers).enumerate();
    ends.filter_map(|(n, (plan, got))| {
        let id = name(n);
        let fault = fault(plan, &id, got.as_ref(), rig.upstream.times(&id))?;
        Some(format!("{id} {plan:?}: {fault}"))
    })
    .collect()
}

#[test]
fn outcomes_agree_with_the_upstream_journal() {
    let runtime = Runtime::new().expect("a runtime");
    let rig = runtime.block_on(Rig::start(RigSettings {
        hosts: 2,
        coordinator: 1,
        slots: 16,
        ..RigSettings::default()
    }));
    let round = AtomicU64::new(0);
    let outcomes = Mutex::new(0);
    let config = Config {
        cases: 12,
        max_shrink_iters: 30,
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(plans in prop::collection::vec(plan(), 20..60))| {
        let round = round.fetch_add(1, Ordering::Relaxed);
        let faults = runtime.block_on(check(&rig, round, &plans));
        *outcomes.lock().expect("count") += plans.len();
        prop_assert!(faults.is_empty(), "{}", faults.join("\n"));
    });
    let total = *outcomes.lock().expect("count");
    assert!(total >= 240, "{total} requests");
}
