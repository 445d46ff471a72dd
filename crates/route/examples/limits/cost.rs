//! Measures time and memory of lookups, and the time of a dispatcher's step, on this hardware.

use std::hint::black_box;
use std::time::{Duration, Instant};

use ids::{EntryId, Epoch, KeyHash, RequestId, Revision, SliceNo, Timestamp, UpstreamId};
use route::{
    Action, Arrival, CallEnd, CallKey, Dispatcher, DispatcherSettings, Event, OwnershipChange,
    Picker, PickerSettings, Router, UpstreamLimits,
};
use serde::Serialize;

/// Cost of routing.
#[derive(Debug, Serialize)]
struct Lookup {
    case: &'static str,
    slices: u32,
    hot: usize,
    upstreams: usize,
    hosts: usize,
    locate_ns: f64,
    owner_ns: f64,
    pick_ns: f64,
    build_ms: f64,
    change_us: f64,
    snapshot_kb: f64,
}

/// Measures lookups at several sizes.
pub fn lookup() {
    for (slices, upstreams, hosts) in [(2_000, 20, 11), (20_000, 300, 260), (200_000, 3_000, 2_600)]
    {
        measure_lookup(slices, upstreams, hosts);
    }
}

fn measure_lookup(slices: u32, upstreams: usize, hosts: usize) {
    const ROUNDS: u64 = 2_000_000;
    const HOT: u64 = 360;
    let (catalogue, ownership) = crate::world::declare::large(slices, upstreams, hosts, HOT);
    let start = Instant::now();
    let router = Router::build(&Router::default(), &catalogue, &ownership);
    let build_ms = start.elapsed().as_secs_f64() * 1e3;

    let paths: Vec<String> = (0..4_096).map(|k| format!("/divided/k{k}/x?y=1")).collect();
    let none = |_: &str| None;
    let locate_ns = each(ROUNDS, |i| {
        black_box(router.locate(&paths[i as usize % 4_096], none).is_ok());
    });
    let entry = router
        .entry_key(&EntryId::new("divided").expect("a valid name"))
        .expect("declared");
    let owner_ns = each(ROUNDS, |i| {
        let key = KeyHash(i.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        black_box(router.owner(entry, key).is_ok());
    });
    let any = router
        .entry_key(&EntryId::new("any").expect("a valid name"))
        .expect("declared");
    let mut picker = Picker::new(PickerSettings::default());
    let pick_ns = each(ROUNDS / 10, |i| {
        let now = Timestamp::from_micros(i);
        let upstream = picker.pick(now, &router, any, &[]);
        picker.replied(now, upstream.expect("there are upstreams"), 1);
    });
    let upstream = ownership
        .upstreams
        .keys()
        .next()
        .expect("there are upstreams");
    let change_us = each(200, |i| {
        let change = OwnershipChange::Assigned {
            upstream: upstream.clone(),
            slice: SliceNo(i),
        };
        black_box(router.with_changes(Revision(i), &[change]));
    }) / 1e3;
    let line = Lookup {
        case: "lookup",
        slices,
        hot: HOT as usize,
        upstreams,
        hosts,
        locate_ns: locate_ns.round(),
        owner_ns: owner_ns.round(),
        pick_ns: pick_ns.round(),
        build_ms: crate::overload::round(build_ms),
        change_us: change_us.round(),
        snapshot_kb: (router.bytes() as f64 / 1024.0).round(),
    };
    println!(
        "{}",
        serde_json::to_string(&line).expect("a line is plain data")
    );
}

/// Returns the mean time of one call of `f` in nanoseconds.
fn each(rounds: u64, mut f: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for i in 0..rounds {
        f(i);
    }
    start.elapsed().as_nanos() as f64 / rounds as f64
}

/// Cost of a dispatcher.
#[derive(Debug, Serialize)]
struct Steps {
    case: &'static str,
    waiting: u64,
    call_ns: f64,
}

/// Measures the processing of a call by a dispatcher, with calls waiting before it.
pub fn steps() {
    for waiting in [0, 60, 960] {
        measure_steps(waiting);
    }
}

fn measure_steps(waiting: u64) {
    const ROUNDS: u64 = 300_000;
    let upstream = UpstreamId::new("tariffbok-01").expect("a valid name");
    let entry = EntryId::new("tariffbok").expect("a valid name");
    let mut dispatcher = Dispatcher::new(DispatcherSettings::default());
    let mut actions = Vec::new();
    let limits = UpstreamLimits {
        slots: 4,
        connections: 130,
        queue: 1_000,
        divided: true,
    };
    let declare = Event::UpstreamDeclared {
        upstream: upstream.clone(),
        limits,
    };
    dispatcher.step(Timestamp::ZERO, declare, &mut actions);
    let lease = Event::Lease {
        upstream: upstream.clone(),
        epoch: Epoch(1),
        valid_until: Timestamp::NEVER,
        slices: Some((0..64).map(SliceNo).collect()),
    };
    dispatcher.step(Timestamp::ZERO, lease, &mut actions);
    let arrive = |number: u64| {
        Event::Arrive(Arrival {
            call: CallKey(number),
            upstream: upstream.clone(),
            slice: Some(SliceNo(number % 64)),
            deadline: Timestamp::from_millis(1_000_000_000),
            total_time: Duration::from_secs(1_000_000),
            key: None,
            idempotent: number.is_multiple_of(2),
            entry: entry.clone(),
            request_id: RequestId::new(format!("3f2504e0-4f89-11d3-9a0c-{number:012}"))
                .expect("a valid name"),
            fingerprint: number,
        })
    };
    let mut sent = std::collections::VecDeque::new();
    let mut run = |now: Timestamp, event, sent: &mut std::collections::VecDeque<CallKey>| {
        actions.clear();
        dispatcher.step(now, event, &mut actions);
        for action in &actions {
            if let Action::Send { call, .. } = action {
                sent.push_back(*call);
            }
        }
        black_box(dispatcher.next_wake(now));
    };
    for number in 0..waiting + 4 {
        run(Timestamp::ZERO, arrive(number), &mut sent);
    }
    let start = Instant::now();
    for i in 0..ROUNDS {
        let now = Timestamp::from_micros(i);
        run(now, arrive(waiting + 4 + i), &mut sent);
        let call = sent.pop_front().expect("slots are in use");
        let end = CallEnd::Answered { bytes: 200 };
        run(now, Event::Finished { call, end }, &mut sent);
    }
    let call_ns = start.elapsed().as_nanos() as f64 / ROUNDS as f64;
    let line = Steps {
        case: "steps",
        waiting,
        call_ns: call_ns.round(),
    };
    println!(
        "{}",
        serde_json::to_string(&line).expect("a line is plain data")
    );
}
