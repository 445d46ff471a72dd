//! Measures what spreading costs and prints one JSON line for each figure.
//!
//! One domain is simulated at full size, with the relays of the others; time between hosts is
//! simulated, time spent in steps is the machine's. Run with `--release`, and with the number of
//! a case to run that one only.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::net::{Counts, Net, Node, host};
use common::{Past, encode, hot, own_key, own_row};
use ids::{Revision, Timestamp};
use prost::Message;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use spread::{Config, Intake, Prefix, Replica};
use wire::own;

const SLICES_PER_UPSTREAM: u64 = 67;
const CATALOGUE_ROWS: usize = 5_000;
const CATALOGUE_ROW_BYTES: usize = 420;
/// 22,000 changes a day.
const CATALOGUE_CHANGES_PER_S: f64 = 0.2546;
/// Bytes of the headers of TCP and IP around a small frame, with its share of acknowledgements.
const HEADER_BYTES: u64 = 66;

/// One run of the simulated net.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// Hosts of the domain that is measured.
    hosts: usize,
    /// Other domains, of three hosts each.
    domains: usize,
    upstreams: usize,
    moves_per_s: f64,
    /// Restarts a second in the domain.
    restarts_per_s: f64,
    fan_out: usize,
}

const TARGET: Case = Case {
    hosts: 236,
    domains: 10,
    upstreams: 3_000,
    moves_per_s: 6.0,
    restarts_per_s: 0.0,
    fan_out: 4,
};

const CASES: &[Case] = &[
    Case {
        hosts: 4,
        domains: 2,
        upstreams: 35,
        moves_per_s: 0.1,
        ..TARGET
    },
    Case {
        moves_per_s: 0.0,
        ..TARGET
    },
    TARGET,
    Case {
        moves_per_s: 12.0,
        ..TARGET
    },
    Case {
        hosts: 60,
        ..TARGET
    },
    Case {
        hosts: 120,
        ..TARGET
    },
    Case {
        upstreams: 750,
        ..TARGET
    },
    Case {
        fan_out: 8,
        ..TARGET
    },
    // All hosts of the domain in ten minutes.
    Case {
        restarts_per_s: 0.4,
        ..TARGET
    },
];

fn main() {
    sizes();
    memory();
    cpu();
    let only: Option<usize> = std::env::args().nth(1).and_then(|n| n.parse().ok());
    for (n, case) in CASES.iter().enumerate() {
        if only.is_none_or(|only| only == n) {
            run(*case);
        }
    }
}

fn rows(upstreams: usize) -> Vec<own::Row> {
    let row = |n: usize| {
        own_row(
            n as u64 % 2_600,
            n as u64 * SLICES_PER_UPSTREAM,
            SLICES_PER_UPSTREAM,
        )
    };
    (0..upstreams).map(row).collect()
}

fn declaration(n: usize, round: usize) -> (SmolStr, Option<Bytes>) {
    let text = format!("{n:08}{round:08}").repeat(CATALOGUE_ROW_BYTES / 16);
    (
        format_smolstr!("catalogue/entry/{n:05}"),
        Some(Bytes::from(text)),
    )
}

fn fill(past: &mut Past, rows: &[own::Row]) {
    for (n, row) in rows.iter().enumerate() {
        past.commit(vec![(own_key(n), Some(encode(row)))]);
    }
    for n in 0..CATALOGUE_ROWS {
        past.commit(vec![declaration(n, 0)]);
    }
}

fn read(replica: &mut Replica, past: &Past) {
    for prefix in Prefix::ALL {
        let since = replica.complete_up_to().get(prefix);
        let changes = past.changes(prefix, since);
        replica.take_changes(prefix, since, changes.revision, &changes.rows);
    }
    drop(replica.take_log());
}

/// Carves a hot key out of one row and gives it to another.
fn move_hot(past: &mut Past, rows: &mut [own::Row], n: usize) {
    let from = n % rows.len();
    let to = (n * 7 + 1) % rows.len();
    let slice = hot(n as u64);
    rows[from].carved.push(own::Carved {
        hot: slice,
        base: rows[from].slices[0],
    });
    rows[from].carved.sort_by_key(|c| c.hot);
    rows[from].writer_seq += 1;
    let seq = rows[from].writer_seq;
    let (writer, incarnation) = (rows[from].writer.clone(), rows[from].writer_incarnation);
    let target = &mut rows[to];
    if let Err(at) = target.slices.binary_search(&slice) {
        target.slices.insert(at, slice);
        target.generations.insert(at, 1);
    }
    target.writer = writer;
    target.writer_incarnation = incarnation;
    target.writer_seq = seq;
    past.commit(vec![
        (own_key(from), Some(encode(&rows[from]))),
        (own_key(to), Some(encode(&rows[to]))),
    ]);
}

/// Bytes of a moved slice and of a snapshot.
fn sizes() {
    let mut past = Past::default();
    let mut rows = rows(3_000);
    fill(&mut past, &rows);
    let mut source = Replica::new();
    read(&mut source, &past);
    let since = source.complete_up_to().own;
    for n in 0..100 {
        move_hot(&mut past, &mut rows, n);
    }
    read(&mut source, &past);
    for (how, whole) in [("patches", false), ("rows", true)] {
        let mut pager = source.pager(1, Prefix::Own, since, whole);
        let bytes = source.page(&mut pager, usize::MAX).encoded_len();
        println!(
            "{}",
            json!({"figure": "bytes_per_hot_move", "as": how, "bytes": bytes as f64 / 100.0})
        );
    }
    for prefix in Prefix::ALL {
        let raw: usize = source
            .iter(prefix)
            .map(|(key, _, value)| key.len() + value.len())
            .sum();
        let mut pager = source.pager(1, prefix, Revision(0), false);
        let mut bytes = 0;
        let began = Instant::now();
        while !pager.is_done() {
            bytes += source.page(&mut pager, 64 * 1024).encoded_len();
        }
        let ms = began.elapsed().as_secs_f64() * 1e3;
        println!(
            "{}",
            json!({
                "figure": "snapshot", "prefix": prefix.as_str(), "raw_bytes": raw, "bytes": bytes,
                "build_ms": ms, "seconds_at_8_mib_per_s": bytes as f64 / f64::from(8 << 20),
            })
        );
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Memory of a replica that was filled from pages off the wire.
fn memory() {
    const COPIES: u64 = 20;
    let mut past = Past::default();
    fill(&mut past, &rows(3_000));
    let mut source = Replica::new();
    read(&mut source, &past);
    let before = resident_bytes();
    let copies: Vec<Replica> = (0..COPIES).map(|_| copy(&source)).collect();
    let bytes = (resident_bytes() - before) / COPIES;
    println!(
        "{}",
        json!({
            "figure": "memory", "slices": 3_000 * SLICES_PER_UPSTREAM, "upstreams": 3_000,
            "catalogue_rows": CATALOGUE_ROWS, "bytes": bytes, "copies": copies.len(),
        })
    );
}

fn copy(source: &Replica) -> Replica {
    let mut copy = Replica::new();
    for prefix in Prefix::ALL {
        let mut pager = source.pager(1, prefix, Revision(0), false);
        let mut intake = Intake::default();
        while !pager.is_done() {
            let page = source.page(&mut pager, 64 * 1024).encode_to_vec();
            let page = wire::control::Delta::decode(page.as_slice()).expect("a page");
            copy.take_delta(&mut intake, &page);
        }
    }
    drop(copy.take_log());
    copy
}

/// Time to build and take the change of one moved hot key.
fn cpu() {
    const MOVES: usize = 500;
    let mut past = Past::default();
    let mut rows = rows(3_000);
    fill(&mut past, &rows);
    let mut source = Replica::new();
    read(&mut source, &past);
    let mut target = copy(&source);
    let (mut build, mut take) = (Duration::ZERO, Duration::ZERO);
    for n in 0..MOVES {
        move_hot(&mut past, &mut rows, n);
        read(&mut source, &past);
        let began = Instant::now();
        let mut pager = source.pager(1, Prefix::Own, target.complete_up_to().own, false);
        let page = source.page(&mut pager, 64 * 1024);
        build += began.elapsed();
        let began = Instant::now();
        assert!(target.take_delta(&mut Intake::default(), &page).raised);
        take += began.elapsed();
        drop(target.take_log());
    }
    let micros = |d: Duration| d.as_secs_f64() * 1e6 / MOVES as f64;
    println!(
        "{}",
        json!({"figure": "cpu_per_hot_move", "build_us": micros(build), "take_us": micros(take)})
    );
}

fn run(case: Case) {
    const COLD_START: Duration = Duration::from_secs(90);
    const SETTLE: Duration = Duration::from_secs(8);
    const MEASURED: Duration = Duration::from_secs(20);
    let mut sizes = vec![case.hosts];
    sizes.extend(std::iter::repeat_n(3, case.domains));
    let cfg = Config {
        fan_out: case.fan_out,
        ..Config::default()
    };
    let mut net = Net::of_domains(cfg, &sizes);
    net.check_evidence = false;
    let mut rows = rows(case.upstreams);
    fill(&mut net.past, &rows);
    let started = net.now;
    net.wait_if(COLD_START, |net| {
        let marks = |n: &Node| n.member.replica().complete_up_to();
        let all = |n: &Node| marks(n).own.min(marks(n).catalogue) >= net.past.revision;
        net.live().all(|(_, n)| all(n))
    });
    let cold_start = net.now.since(started);
    net.run(SETTLE);
    for node in net.nodes.values_mut() {
        node.counts = Counts::default();
        node.worst_age = Duration::ZERO;
    }
    let began = net.now;
    let mut everywhere = Vec::new();
    let (mut moves, mut changes, mut restarts) = (0, 0, 0);
    while net.now < began + MEASURED {
        let passed = net.now.since(began).as_secs_f64();
        if passed * case.moves_per_s > moves as f64 {
            moves += 1;
            move_hot(&mut net.past, &mut rows, moves);
        }
        if passed * CATALOGUE_CHANGES_PER_S > f64::from(changes) {
            changes += 1;
            net.commit(vec![declaration(changes as usize, 1)]);
            everywhere.push(in_force(&mut net));
        }
        if passed * case.restarts_per_s > restarts as f64 {
            restarts += 1;
            net.start(restarts * 7 % case.hosts);
        }
        net.run(Duration::from_millis(10));
    }
    report(case, &net, cold_start, net.now.since(began), &everywhere);
}

/// Lets time pass until the newest revision is held everywhere; returns how long that took.
fn in_force(net: &mut Net) -> Duration {
    let began = net.now;
    let revision = net.past.revision;
    net.wait_if(Duration::from_secs(5), |net| {
        let holds = |n: &Node| n.member.replica().newest(Prefix::Catalogue) >= revision;
        net.live().all(|(_, n)| holds(n))
    });
    net.now.since(began)
}

fn report(case: Case, net: &Net, cold_start: Duration, span: Duration, everywhere: &[Duration]) {
    let seconds = span.as_secs_f64();
    let domain: Vec<_> = (0..case.hosts).map(|n| &net.nodes[&host(n)]).collect();
    let each = |f: &dyn Fn(&Counts) -> f64| {
        let mut all: Vec<f64> = domain.iter().map(|n| f(&n.counts) / seconds).collect();
        all.sort_by(f64::total_cmp);
        json!({"p50": all[all.len() / 2].round(), "p99": all[all.len() * 99 / 100].round(), "max": all[all.len() - 1].round()})
    };
    let busiest = domain.iter().max_by_key(|n| n.counts.sent_bytes);
    let sent_as = busiest.map_or([0; 5], |n| n.counts.sent_as.map(|b| b / span.as_secs()));
    let reads: u64 = net.nodes.values().map(|n| n.counts.reads).sum();
    let worst = domain.iter().map(|n| n.worst_age).max().unwrap_or_default();
    let now: Timestamp = net.now;
    let stale = domain.iter().filter(|n| {
        n.evidence
            .is_none_or(|(_, as_of)| now.since(as_of) > Duration::from_millis(600))
    });
    println!(
        "{}",
        json!({
            "figure": "net", "hosts_in_domain": case.hosts, "other_domains": case.domains,
            "upstreams": case.upstreams, "moves_per_s": case.moves_per_s,
            "restarts_per_s": case.restarts_per_s, "fan_out": case.fan_out, "cold_start_s": cold_start.as_secs_f64(),
            "sent_bytes_per_s": each(&|c| c.sent_bytes as f64),
            "received_bytes_per_s": each(&|c| c.received_bytes as f64),
            "sent_and_received_bytes_per_s": each(&|c| (c.sent_bytes + c.received_bytes) as f64),
        "sent_with_headers_per_s": each(&|c| (c.sent_bytes + c.sent_frames * HEADER_BYTES) as f64),
            "busiest_sends": {"heartbeats": sent_as[0], "replies": sent_as[1], "changes": sent_as[2],
            "evidence": sent_as[3], "records": sent_as[4]},
        "core_percent": each(&|c| c.busy.as_secs_f64() * 100_000.0)["max"].as_f64().map(|m| m / 1_000.0),
            "table_reads_per_s": (reads as f64 / seconds).round(),
            "evidence_age_max_ms": worst.as_millis() as u64,
            "evidence_over_600_ms": stale.count(),
            "catalogue_everywhere_ms": everywhere.iter().map(|d| d.as_millis() as u64).collect::<Vec<_>>(),
        })
    );
}
