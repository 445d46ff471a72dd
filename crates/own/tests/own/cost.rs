//! Measures the cost of one host's ownership machine by the number of upstreams, hosts and slices.
//!
//! Prints a JSON line for each case; run with
//! `cargo test --release -p own --test own cost -- --ignored --nocapture`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::Catalogue;
use ids::{Revision, SliceNo, Timestamp};
use own::{
    Action, AssignedSlice, Event, HostRef, OwnershipMachine, OwnershipRow, OwnershipSettings,
    WriteId,
};
use platform::Row;
use prost::Message;

use crate::simulation::{Setup, Simulation, host_ref};

struct Case {
    upstreams: usize,
    hosts: usize,
    slices: u64,
}

/// Domains over which hosts and upstreams are spread.
const DOMAINS: usize = 11;
/// Simulated duration of a case.
const SPAN: Duration = Duration::from_secs(10);

fn catalogue_of(case: &Case) -> Arc<Catalogue> {
    let setup = Setup {
        hosts: vec![1; DOMAINS],
        upstreams: (0..case.upstreams).map(|u| (u % DOMAINS, true)).collect(),
        ..Setup::default()
    };
    Arc::clone(&Simulation::new(setup).catalogue)
}

fn row(case: &Case, u: usize) -> OwnershipRow {
    let host = |n: usize| host_ref(n % case.hosts, n % DOMAINS, 1);
    // The indices of hosts of the same domain differ by multiples of `DOMAINS`.
    let c = u % (case.hosts / DOMAINS * DOMAINS);
    let d = (c + DOMAINS) % (case.hosts / DOMAINS * DOMAINS);
    let first = case.slices * u as u64;
    let slices = first..first + case.slices;
    OwnershipRow {
        epoch: ids::Epoch(1),
        coordinator: Some(host(c)),
        deputy: Some(host(d)),
        open: true,
        slices: slices
            .map(|s| AssignedSlice {
                slice: SliceNo(s),
                generation: 1,
            })
            .collect(),
        carved: Vec::new(),
        incoming: Vec::new(),
        unsettled: Vec::new(),
        writer: WriteId {
            host: host(c).host,
            incarnation: host(c).incarnation,
            seq: 1,
        },
    }
}

fn started(case: &Case, me: &HostRef, actions: &mut Vec<Action>) -> OwnershipMachine {
    let mut m = OwnershipMachine::new(OwnershipSettings::default(), me.clone());
    let now = Timestamp::from_millis(1_000);
    m.step(now, Event::Catalogue(catalogue_of(case)), actions);
    for u in 0..case.upstreams {
        let row = Row {
            key: OwnershipRow::key(&format!("u{u}").parse().unwrap()),
            revision: Revision(1 + u as u64),
            value: Some(row(case, u).encode().into()),
        };
        m.step(now, Event::Row(row), actions);
    }
    m
}

fn run(case: &Case) {
    let me = host_ref(0, 0, 1);
    let mut actions = Vec::new();
    let mut m = started(case, &me, &mut actions);
    let domain_peers = (0..case.hosts).step_by(DOMAINS).skip(1);
    let domain_peers = domain_peers.map(|n| host_ref(n, 0, 1)).collect::<Vec<_>>();
    let (mut cpu_time, mut peer_bytes, mut grants) = (Duration::ZERO, 0, 0);
    let steps = SPAN.as_millis() / 20;
    for step in 0..steps as u64 {
        let now = Timestamp::from_millis(1_020 + 20 * step);
        actions.clear();
        let start = Instant::now();
        if step % 10 == 0 {
            let read_at = now - Duration::from_millis(100);
            m.step(now, Event::TableRead { as_of: read_at }, &mut actions);
            for from in &domain_peers {
                let peer = Event::PeerContact {
                    from: from.clone(),
                    echo_of: None,
                    leaving: false,
                };
                m.step(now, peer, &mut actions);
            }
        }
        m.step(now, Event::Tick, &mut actions);
        cpu_time += start.elapsed();
        for a in &actions {
            match a {
                Action::SendPeer { message, .. } => peer_bytes += message.encoded_len(),
                Action::SendGrant { .. } => grants += 1,
                _ => {}
            }
        }
    }
    let cpu = cpu_time.as_secs_f64() / SPAN.as_secs_f64() * 100.0;
    println!(
        "{{\"upstreams\":{},\"hosts\":{},\"slices_each\":{},\"coordinated\":{},\
         \"core_percent\":{cpu:.4},\"peer_bytes_per_s\":{},\"grants_per_s\":{}}}",
        case.upstreams,
        case.hosts,
        case.slices,
        m.coordinated().count(),
        peer_bytes as u64 / SPAN.as_secs(),
        grants / SPAN.as_secs(),
    );
}

#[test]
#[ignore = "prints measurements"]
fn cost() {
    for (upstreams, hosts, slices) in [
        (100, 110, 100),
        (1_000, 1_100, 100),
        (3_000, 2_600, 100),
        (10_000, 2_600, 100),
        (3_000, 2_600, 1_000),
        (70, 11, 100),
    ] {
        run(&Case {
            upstreams,
            hosts,
            slices,
        });
    }
}
