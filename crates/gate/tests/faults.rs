//! Random requests to an upstream that misbehaves at random, over two hosts: whatever happens,
//! each caller gets its own whole answer or a refusal that the upstream's journal bears out.

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use support::caller::{Caller, Got, post};
use support::rig::{Rig, RigSettings};
use tokio::runtime::Runtime;

/// One caller's request.
#[derive(Debug, Clone)]
struct Plan {
    path: &'static str,
    act: &'static str,
    deadline_ms: u32,
    /// After how many milliseconds the caller leaves, if it does.
    leaves: Option<u64>,
    /// When the caller comes, in milliseconds.
    start: u64,
}

impl Plan {
    fn is_idempotent(&self) -> bool {
        self.path == "/look"
    }

    /// Tells whether the upstream runs the request when it sees it.
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

fn plan() -> impl Strategy<Value = Plan> {
    let path = prop::sample::select(&["/look", "/seg/ESNQ", "/any"][..]);
    let act = prop::sample::select(ACTS);
    let leaves = prop::option::weighted(0.1, 0_u64..60);
    (path, act, 10_u32..150, leaves, 0_u64..60).prop_map(
        |(path, act, deadline_ms, leaves, start)| Plan {
            path,
            act,
            deadline_ms,
            leaves,
            start,
        },
    )
}

/// Sends one request; returns nothing if the caller left.
async fn ask(address: std::net::SocketAddr, plan: &Plan, id: &str) -> Option<Got> {
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
    let Some(patience) = plan.leaves else {
        return Some(caller.read().await.expect("an answer"));
    };
    let read = tokio::time::timeout(Duration::from_millis(patience), caller.read());
    read.await.ok().flatten()
}

/// Returns what is wrong with the end of a request that the upstream saw so many times.
fn fault(plan: &Plan, id: &str, got: Option<&Got>, seen: usize) -> Option<String> {
    let ran = if plan.runs() { seen } else { 0 };
    if !plan.is_idempotent() && ran > 1 {
        return Some(format!("ran {ran} times"));
    }
    let got = got?;
    let whole = format!("answer to {id}");
    let is_true = match got.outcome() {
        "answered" => got.body == whole && seen > 0,
        "not-run" => ran == 0,
        "unknown" => got.status >= 400,
        _ => false,
    };
    (!is_true).then(|| format!("outcome not borne out: seen {seen} times, {got:?}"))
}

async fn check(rig: &Rig, round: u64, plans: &[Plan]) -> Vec<String> {
    let name = |n: usize| format!("req-{round}-{n}");
    let asks = plans.iter().enumerate().map(|(n, plan)| {
        let address = rig.address(n % 2);
        async move { ask(address, plan, &name(n)).await }
    });
    let answers = futures::future::join_all(asks).await;
    // Retries of requests whose callers left may still be on their way.
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
fn outcomes_are_borne_out_by_the_journal() {
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
