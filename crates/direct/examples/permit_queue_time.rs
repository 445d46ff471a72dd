//! Prints the mean time of each operation of a permit queue with some fifty requests, and of the
//! decision on a request for a permit.
//!
//! `cargo run --release -p direct --example permit_queue_time`

use std::hint::black_box;
use std::time::{Duration, Instant};

use direct::{
    PermitEnd, PermitQueue, PermitReply, PermitRequest, PermitSettings, Permits, Priority,
    QueuedRequest, RateLimit,
};
use ids::{DomainId, Timestamp};

/// Number of queued requests.
const QUEUED: u32 = 50;
/// Number of runs of each operation.
const RUNS: u32 = 100_000;
const DOMAINS: u32 = 6;

fn domain(n: u32) -> DomainId {
    DomainId::new(format!("domain-{n}")).expect("a valid name")
}

fn request(queue: &mut PermitQueue<u32>, names: &[DomainId], key: u32) -> QueuedRequest<u32> {
    QueuedRequest {
        key,
        answer_by: (!key.is_multiple_of(5)).then_some(Timestamp::NEVER),
        deadline: Timestamp::NEVER,
        rank: key % 3,
        is_repeat: key.is_multiple_of(4),
        domain: queue.domain_key(Some(&names[(key % DOMAINS) as usize])),
    }
}

/// Runs `operation` on a full queue, with the time of each run as its argument.
fn measure(name: &str, mut operation: impl FnMut(&mut PermitQueue<u32>, Timestamp, u32)) {
    let names: Vec<DomainId> = (0..DOMAINS).map(domain).collect();
    let mut queue = PermitQueue::default();
    for key in 0..QUEUED {
        let request = request(&mut queue, &names, key);
        queue.push(Timestamp::ZERO, request);
    }
    let started = Instant::now();
    for run in 0..RUNS {
        let now = Timestamp::from_millis(u64::from(run));
        operation(&mut queue, now, QUEUED + run);
    }
    let mean = started.elapsed() / RUNS;
    println!("{name}: {mean:?}");
}

/// Measures decisions on requests that are queued before others of another domain, and leave.
fn measure_decision(names: &[DomainId]) {
    let mut permits = Permits::new(2, PermitSettings::default());
    let mut permit_request = PermitRequest {
        priority: Priority::Equal,
        rank: 1,
        is_repeat: false,
        domain: Some(names[0].clone()),
        until_objective: Duration::from_secs(5),
        until_deadline: Duration::from_secs(10),
        entry_service_time: Duration::from_millis(150),
        may_wait: true,
        cold: None,
        limit: RateLimit::default(),
        skipped_hosts: 0,
    };
    let mut now = Timestamp::from_millis(1_000);
    let mut acquire = |now, key, request: &PermitRequest| {
        let reply = permits.acquire(now, key, request);
        if key >= QUEUED {
            permits.release(now, key, PermitEnd::Unknown, None);
        }
        reply
    };
    for key in 0..QUEUED {
        acquire(now, key, &permit_request);
    }
    permit_request.domain = Some(names[1].clone());
    let started = Instant::now();
    for run in 0..RUNS {
        now += Duration::from_micros(1);
        let reply = acquire(now, QUEUED + run, &permit_request);
        assert!(matches!(reply, PermitReply::Queued { .. }), "{reply:?}");
    }
    let mean = started.elapsed() / RUNS;
    println!("Permits::acquire and release: {mean:?}");
}

fn main() {
    let names: Vec<DomainId> = (0..DOMAINS).map(domain).collect();
    println!("mean of {RUNS} runs with {QUEUED} queued requests");
    measure("domain_key, push and pop", |queue, now, key| {
        let request = request(queue, &names, key);
        queue.push(now, request);
        black_box(queue.pop(now));
    });
    measure("ahead_of", |queue, now, key| {
        let request = request(queue, &names, key);
        black_box(queue.ahead_of(now, &request));
    });
    measure("displaced_by", |queue, now, key| {
        let request = request(queue, &names, key);
        black_box(queue.displaced_by(now, &request));
    });
    measure("expire", |queue, now, _| {
        let service_time = Duration::from_millis(200);
        black_box(queue.expire(now, service_time, service_time));
    });
    measure("in_order", |queue, now, _| {
        black_box(queue.in_order(now));
    });
    measure_decision(&names);
}
