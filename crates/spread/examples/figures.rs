//! Measures the cost of replication and prints one JSON line for each figure.
//!
//! One domain is simulated at full size, with the table readers of the others. Time between hosts
//! is simulated; time spent in steps is real. Run with `--release`, and with the number of a case
//! to run only that one.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::net::{Counts, SimHost, SimNet, host};
use common::{TableHistory, encode, hot, own_key, own_row};
use ids::{Revision, Timestamp};
use prost::Message;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use spread::{IncomingTransfer, MembershipSettings, Prefix, Replica};
use wire::own;

const SLICES_PER_UPSTREAM: u64 = 67;
const CATALOGUE_ROWS: usize = 5_000;
const CATALOGUE_ROW_BYTES: usize = 420;
/// 22,000 changes per day.
const CATALOGUE_CHANGES_PER_S: f64 = 0.2546;
/// Size in bytes of the TCP and IP headers of a small frame, including its share of
/// acknowledgements.
const HEADER_BYTES: u64 = 66;

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// Hosts of the measured domain.
    hosts: usize,
    /// Other domains, of three hosts each.
    domains: usize,
    upstreams: usize,
    moves_per_s: f64,
    /// Restarts per second in the domain.
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
    // Restarts all hosts of the domain in ten minutes.
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
            run_case(*case);
        }
    }
}

fn rows(upstreams: usize) -> Vec<own::OwnershipRow> {
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

fn fill(table: &mut TableHistory, rows: &[own::OwnershipRow]) {
    for (n, row) in rows.iter().enumerate() {
        table.commit(vec![(own_key(n), Some(encode(row)))]);
    }
    for n in 0..CATALOGUE_ROWS {
        table.commit(vec![declaration(n, 0)]);
    }
}

fn read(replica: &mut Replica, table: &TableHistory) {
    for prefix in Prefix::ALL {
        let since = replica.complete_up_to().get(prefix);
        let changes = table.changes(prefix, since);
        replica.apply_changes(prefix, since, changes.revision, &changes.rows);
    }
    drop(replica.take_changed_rows());
}

/// Carves a hot key out of one row and moves it to another.
fn move_hot(table: &mut TableHistory, rows: &mut [own::OwnershipRow], n: usize) {
    let from = n % rows.len();
    let to = (n * 7 + 1) % rows.len();
    let slice = hot(n as u64);
    rows[from].carved.push(own::CarvedKey {
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
    table.commit(vec![
        (own_key(from), Some(encode(&rows[from]))),
        (own_key(to), Some(encode(&rows[to]))),
    ]);
}

/// Measures the size of a moved slice and of a snapshot.
fn sizes() {
    let mut table = TableHistory::default();
    let mut rows = rows(3_000);
    fill(&mut table, &rows);
    let mut source = Replica::new();
    read(&mut source, &table);
    let since = source.complete_up_to().own;
    for n in 0..100 {
        move_hot(&mut table, &mut rows, n);
    }
    read(&mut source, &table);
    for (how, whole) in [("patches", false), ("rows", true)] {
        let mut transfer = source.begin_transfer(1, Prefix::Own, since, whole);
        let bytes = source.build_page(&mut transfer, usize::MAX).encoded_len();
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
        let mut transfer = source.begin_transfer(1, prefix, Revision(0), false);
        let mut bytes = 0;
        let began = Instant::now();
        while !transfer.is_done() {
            bytes += source.build_page(&mut transfer, 64 * 1024).encoded_len();
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

/// Measures the memory of a replica that was filled from decoded pages.
fn memory() {
    const COPIES: u64 = 20;
    let mut table = TableHistory::default();
    fill(&mut table, &rows(3_000));
    let mut source = Replica::new();
    read(&mut source, &table);
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
        let mut transfer = source.begin_transfer(1, prefix, Revision(0), false);
        let mut incoming = IncomingTransfer::default();
        while !transfer.is_done() {
            let page = source.build_page(&mut transfer, 64 * 1024).encode_to_vec();
            let page = wire::control::Delta::decode(page.as_slice()).expect("a page");
            copy.apply_delta(&mut incoming, &page);
        }
    }
    drop(copy.take_changed_rows());
    copy
}

/// Measures the time to build and to apply the change of one moved hot key.
fn cpu() {
    const MOVES: usize = 500;
    let mut table = TableHistory::default();
    let mut rows = rows(3_000);
    fill(&mut table, &rows);
    let mut source = Replica::new();
    read(&mut source, &table);
    let mut target = copy(&source);
    let (mut build, mut take) = (Duration::ZERO, Duration::ZERO);
    for n in 0..MOVES {
        move_hot(&mut table, &mut rows, n);
        read(&mut source, &table);
        let began = Instant::now();
        let mut transfer =
            source.begin_transfer(1, Prefix::Own, target.complete_up_to().own, false);
        let page = source.build_page(&mut transfer, 64 * 1024);
        build += began.elapsed();
        let began = Instant::now();
        assert!(
            target
                .apply_delta(&mut IncomingTransfer::default(), &page)
                .watermark_raised
        );
        take += began.elapsed();
        drop(target.take_changed_rows());
    }
    let micros = |d: Duration| d.as_secs_f64() * 1e6 / MOVES as f64;
    println!(
        "{}",
        json!({"figure": "cpu_per_hot_move", "build_us": micros(build), "take_us": micros(take)})
    );
}

fn run_case(case: Case) {
    const COLD_START: Duration = Duration::from_secs(90);
    const SETTLE: Duration = Duration::from_secs(8);
    const MEASURE_TIME: Duration = Duration::from_secs(20);
    let mut sizes = vec![case.hosts];
    sizes.extend(std::iter::repeat_n(3, case.domains));
    let cfg = MembershipSettings {
        fan_out: case.fan_out,
        ..MembershipSettings::default()
    };
    let mut net = SimNet::with_domains(cfg, &sizes);
    net.check_leases = false;
    let mut rows = rows(case.upstreams);
    fill(&mut net.table, &rows);
    let started = net.now;
    net.wait_up_to(COLD_START, |net| {
        let watermarks = |n: &SimHost| n.membership.replica().complete_up_to();
        let all =
            |n: &SimHost| watermarks(n).own.min(watermarks(n).catalogue) >= net.table.revision;
        net.live().all(|(_, n)| all(n))
    });
    let cold_start = net.now.since(started);
    net.advance(SETTLE);
    for sim_host in net.sim_hosts.values_mut() {
        sim_host.counts = Counts::default();
        sim_host.max_lease_age = Duration::ZERO;
    }
    let began = net.now;
    let mut delays = Vec::new();
    let (mut moves, mut changes, mut restarts) = (0, 0, 0);
    while net.now < began + MEASURE_TIME {
        let passed = net.now.since(began).as_secs_f64();
        if passed * case.moves_per_s > moves as f64 {
            moves += 1;
            move_hot(&mut net.table, &mut rows, moves);
        }
        if passed * CATALOGUE_CHANGES_PER_S > f64::from(changes) {
            changes += 1;
            net.commit(vec![declaration(changes as usize, 1)]);
            delays.push(wait_until_replicated(&mut net));
        }
        if passed * case.restarts_per_s > restarts as f64 {
            restarts += 1;
            net.start(restarts * 7 % case.hosts);
        }
        net.advance(Duration::from_millis(10));
    }
    report(case, &net, cold_start, net.now.since(began), &delays);
}

/// Advances time until all hosts hold the newest revision; returns how long that took.
fn wait_until_replicated(net: &mut SimNet) -> Duration {
    let began = net.now;
    let revision = net.table.revision;
    net.wait_up_to(Duration::from_secs(5), |net| {
        let holds =
            |n: &SimHost| n.membership.replica().newest_revision(Prefix::Catalogue) >= revision;
        net.live().all(|(_, n)| holds(n))
    });
    net.now.since(began)
}

fn report(case: Case, net: &SimNet, cold_start: Duration, span: Duration, delays: &[Duration]) {
    let seconds = span.as_secs_f64();
    let domain: Vec<_> = (0..case.hosts).map(|n| &net.sim_hosts[&host(n)]).collect();
    let each = |f: &dyn Fn(&Counts) -> f64| {
        let mut all: Vec<f64> = domain.iter().map(|n| f(&n.counts) / seconds).collect();
        all.sort_by(f64::total_cmp);
        json!({"p50": all[all.len() / 2].round(), "p99": all[all.len() * 99 / 100].round(), "max": all[all.len() - 1].round()})
    };
    let busiest = domain.iter().max_by_key(|n| n.counts.sent_bytes);
    let sent_as = busiest.map_or([0; 5], |n| n.counts.sent_as.map(|b| b / span.as_secs()));
    let reads: u64 = net.sim_hosts.values().map(|n| n.counts.reads).sum();
    let worst = domain
        .iter()
        .map(|n| n.max_lease_age)
        .max()
        .unwrap_or_default();
    let now: Timestamp = net.now;
    let stale = domain.iter().filter(|n| {
        n.read_lease
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
            "catalogue_everywhere_ms": delays.iter().map(|d| d.as_millis() as u64).collect::<Vec<_>>(),
        })
    );
}
