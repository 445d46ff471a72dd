//! Membership, relaying and read leases among hosts on a simulated network.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::net::{SimHost, SimNet, domain, host};
use common::{encode, own_key, own_row};
use ids::Timestamp;
use smol_str::{SmolStr, format_smolstr};
use spread::{Event, MembershipSettings};

const SECOND: Duration = Duration::from_secs(1);

/// Sizes of the present deployment: 11 hosts in three domains.
const DOMAIN_SIZES: [usize; 3] = [4, 4, 3];

fn write(n: usize, host: u64) -> Vec<(SmolStr, Option<Bytes>)> {
    vec![(own_key(n), Some(encode(&own_row(host, n as u64 * 67, 67))))]
}

fn declare(n: usize, text: &str) -> Vec<(SmolStr, Option<Bytes>)> {
    let key = format_smolstr!("catalogue/entry/{n}");
    vec![(key, Some(Bytes::copy_from_slice(text.as_bytes())))]
}

fn all_replicas_current(net: &SimNet) -> bool {
    net.live()
        .all(|(_, sim_host)| net.table.equals(sim_host.membership.replica()))
}

fn leases_since(net: &SimNet, moment: Timestamp) -> bool {
    let fresh = |e: Option<(Timestamp, Timestamp)>| e.is_some_and(|(_, as_of)| as_of > moment);
    net.live().all(|(_, sim_host)| fresh(sim_host.read_lease))
}

/// Returns a network in a stable state, with a few rows.
fn settled_network(sizes: &[usize]) -> SimNet {
    settled_network_with(MembershipSettings::default(), sizes)
}

fn settled_network_with(cfg: MembershipSettings, sizes: &[usize]) -> SimNet {
    let mut net = SimNet::with_domains(cfg, sizes);
    for n in 0..6 {
        net.commit(write(n, n as u64));
        net.commit(declare(n, "first"));
    }
    let began = net.now;
    net.wait(5 * SECOND, "all replicas are current", all_replicas_current);
    net.wait(5 * SECOND, "all hosts have fresh read leases", |net| {
        leases_since(net, began + 2 * SECOND)
    });
    net.wait(5 * SECOND, "all hosts see each other alive", |net| {
        let others = net.live().count() - 1;
        net.live()
            .all(|(_, sim_host)| sim_host.membership.hosts().filter(|h| h.alive).count() == others)
    });
    net
}

fn assert_no_violations(net: &SimNet) {
    assert!(net.violations.is_empty(), "{:?}", net.violations);
    for (host, sim_host) in net.live() {
        net.table
            .check(sim_host.membership.replica())
            .unwrap_or_else(|e| panic!("{host} {e}"));
    }
}

#[test]
fn changes_reach_all_hosts_within_two_seconds() {
    let mut net = settled_network(&DOMAIN_SIZES);
    for n in 0..20 {
        net.commit(if n % 2 == 0 {
            write(n % 6, 9)
        } else {
            declare(n % 6, &format!("{n}"))
        });
        let took = net.wait(2 * SECOND, "change on all hosts", all_replicas_current);
        assert!(took < Duration::from_millis(1_400), "{took:?}");
        net.advance(Duration::from_millis(130));
    }
    assert_no_violations(&net);
}

#[test]
fn read_leases_stay_fresh() {
    let mut net = settled_network(&DOMAIN_SIZES);
    for sim_host in net.sim_hosts.values_mut() {
        sim_host.max_lease_age = Duration::ZERO;
    }
    net.advance(10 * SECOND);
    let worst = net.live().map(|(_, n)| n.max_lease_age).max().unwrap();
    assert!(worst < Duration::from_millis(500), "{worst:?}");
    assert_no_violations(&net);
}

#[test]
fn the_list_does_not_change_liveness() {
    let mut net = settled_network(&DOMAIN_SIZES);
    let listed = std::mem::take(&mut net.listed);
    net.advance(3 * SECOND);
    for (name, sim_host) in net.live() {
        let alive = sim_host.membership.hosts().filter(|h| h.alive).count();
        assert_eq!(alive, 10, "{name} after an empty list");
    }
    net.listed = listed;
    net.kill(1);
    net.wait(2 * SECOND, "host 1 counts as unresponsive", |net| {
        net.live()
            .all(|(_, sim_host)| !sim_host.membership.host(&host(1)).unwrap().alive)
    });
    net.advance(5 * SECOND);
    for (name, sim_host) in net.live() {
        let view = sim_host.membership.host(&host(1)).unwrap();
        assert!(!view.alive, "{name} lists host 1 as alive");
        let reports = sim_host
            .reported_unresponsive
            .iter()
            .filter(|h| **h == host(1))
            .count();
        assert_eq!(reports, 1, "{name}");
    }
    net.start(1);
    net.wait(4 * SECOND, "host 1 counts as alive", |net| {
        net.live()
            .filter(|(h, _)| **h != host(1))
            .all(|(_, sim_host)| sim_host.membership.host(&host(1)).unwrap().alive)
    });
    assert_no_violations(&net);
}

/// Each failure reaches all hosts before host records are compared.
#[test]
fn failures_are_propagated_immediately() {
    let mut net = settled_network(&DOMAIN_SIZES);
    for n in [1, 6, 9] {
        net.kill(n);
        net.wait(2 * SECOND, "counts as unresponsive on all hosts", |net| {
            let alive = |sim_host: &SimHost| sim_host.membership.host(&host(n)).unwrap().alive;
            net.live().all(|(_, sim_host)| !alive(sim_host))
        });
        net.advance(SECOND / 2);
    }
    assert_no_violations(&net);
}

#[test]
fn a_paused_host_is_found_unresponsive_and_alive_again() {
    let mut net = settled_network(&DOMAIN_SIZES);
    net.pause(2, 3 * SECOND);
    net.wait(3 * SECOND, "counts as unresponsive", |net| {
        let others = net.live().filter(|(h, _)| **h != host(2));
        others
            .into_iter()
            .all(|(_, n)| !n.membership.host(&host(2)).unwrap().alive)
    });
    net.wait(4 * SECOND, "counts as alive again", |net| {
        let others = net.live().filter(|(h, _)| **h != host(2));
        others
            .into_iter()
            .all(|(_, n)| n.membership.host(&host(2)).unwrap().alive)
    });
    // A paused host must not report the others as unresponsive.
    assert!(
        net.sim_host(2).reported_unresponsive.is_empty(),
        "{:?}",
        net.sim_host(2).reported_unresponsive
    );
    assert_no_violations(&net);
}

#[test]
fn failed_table_readers_are_replaced() {
    let mut net = settled_network(&[6, 4, 3]);
    let readers: Vec<usize> = (0..6)
        .filter(|n| net.sim_host(*n).membership.is_table_reader())
        .collect();
    assert_eq!(readers.len(), 3);
    for n in readers {
        net.kill(n);
    }
    let failed_at = net.now;
    net.commit(write(0, 12));
    let took = net.wait(3 * SECOND, "read leases from after the failure", |net| {
        leases_since(net, failed_at)
    });
    assert!(took < Duration::from_millis(1_500), "{took:?}");
    net.wait(SECOND, "rows from after the failure", all_replicas_current);
    assert_no_violations(&net);
}

/// A host that can't reach its relay sources finds others, even though all other hosts see the
/// sources alive.
#[test]
fn unreachable_relay_sources_are_replaced() {
    for kept in 0..3 {
        // No host reports another as unresponsive, so that each relies on the frames that it
        // receives itself.
        let cfg = MembershipSettings {
            small_domain: 1,
            watchers: 0,
            ..MembershipSettings::default()
        };
        let mut net = settled_network_with(cfg, &[5, 2]);
        let (readers, others): (Vec<usize>, Vec<usize>) =
            (0..5).partition(|n| net.sim_host(*n).membership.is_table_reader());
        let target = others[0];
        for n in readers.iter().filter(|n| **n != readers[kept]) {
            net.block(target, *n);
        }
        net.advance(4 * SECOND);
        let moment = net.now;
        net.wait(SECOND, "read lease through the third reader", |net| {
            net.sim_host(target)
                .read_lease
                .is_some_and(|(_, as_of)| as_of > moment)
        });
        net.heal();
        net.advance(2 * SECOND);
        assert_no_violations(&net);
    }
}

#[test]
fn a_domain_cut_from_the_platform_receives_rows_from_others() {
    let mut net = settled_network(&DOMAIN_SIZES);
    net.domains_without_table.insert(domain(0));
    net.wait(3 * SECOND, "table unreachable in domain 0", |net| {
        (0..4).all(|n| !net.sim_host(n).reachable)
    });
    assert!((4..11).all(|n| net.sim_host(n).reachable));
    let moment = net.now;
    net.commit(write(1, 13));
    net.commit(declare(1, "cut"));
    net.wait(3 * SECOND, "rows from other domains", all_replicas_current);
    net.wait(3 * SECOND, "leases from other domains", |net| {
        leases_since(net, moment)
    });
    net.heal();
    net.wait(3 * SECOND, "reachable again", |net| {
        (0..4).all(|n| net.sim_host(n).reachable)
    });
    assert_no_violations(&net);
}

#[test]
fn an_isolated_domain_reports_the_age_of_its_rows() {
    let mut net = settled_network(&DOMAIN_SIZES);
    net.domains_without_table.insert(domain(0));
    net.cut(0, 1);
    net.cut(0, 2);
    let cut = net.now;
    net.advance(Duration::from_millis(4_500));
    net.commit(write(2, 14));
    net.advance(5 * SECOND);
    for n in 0..4 {
        let sim_host = net.sim_host(n);
        let (_, as_of) = sim_host.read_lease.unwrap();
        assert!(as_of < cut + SECOND, "host {n}: lease as of {as_of}");
        let unresponsive: Vec<_> = sim_host
            .membership
            .unresponsive_domains()
            .cloned()
            .collect();
        assert_eq!(unresponsive, [domain(1), domain(2)], "host {n}");
        let live_hosts = sim_host.membership.alive_in(&domain(0)).count();
        assert_eq!(live_hosts, 4, "host {n}");
    }
    for n in 4..11 {
        let unresponsive: Vec<_> = net
            .sim_host(n)
            .membership
            .unresponsive_domains()
            .cloned()
            .collect();
        assert_eq!(unresponsive, [domain(0)], "host {n}");
    }
    net.heal();
    let healed = net.now;
    net.wait(5 * SECOND, "all replicas are current", all_replicas_current);
    net.wait(5 * SECOND, "new leases", |net| leases_since(net, healed));
    net.wait(5 * SECOND, "all domains are responsive", |net| {
        net.live()
            .all(|(_, n)| n.membership.unresponsive_domains().next().is_none())
    });
    assert_no_violations(&net);
}

#[test]
fn a_host_started_in_an_outage_receives_rows_from_its_peers() {
    let mut net = settled_network(&DOMAIN_SIZES);
    net.kill(0);
    net.advance(2 * SECOND);
    net.table_up = false;
    net.advance(10 * SECOND);
    let listed = net.listed.clone();
    net.start(0);
    // The platform is down, so the host's settings list the other hosts.
    net.deliver(0, Event::HostsListed(listed));
    net.wait(2 * SECOND, "holds all rows", all_replicas_current);
    let ages = net.ages(0);
    assert!(
        ages.iter().all(|a| a.is_some_and(|a| a > 9 * SECOND)),
        "{ages:?}"
    );
    net.wait(SECOND, "sees all hosts alive", |net| {
        net.sim_host(0)
            .membership
            .hosts()
            .filter(|h| h.alive)
            .count()
            == 10
    });
    assert!(
        net.sim_host(0)
            .read_lease
            .is_none_or(|(_, as_of)| as_of + 9 * SECOND < net.now)
    );
    net.heal();
    let healed = net.now;
    net.wait(5 * SECOND, "read leases are fresh again", |net| {
        leases_since(net, healed)
    });
    net.wait(3 * SECOND, "all rows are fresh", |net| {
        net.ages(0)
            .iter()
            .all(|a| a.is_some_and(|a| a < 2 * SECOND))
    });
    assert_no_violations(&net);
}

#[test]
fn a_leaving_host_is_reported_as_leaving() {
    let mut net = settled_network(&DOMAIN_SIZES);
    net.deliver(3, Event::Leaving);
    net.wait(SECOND, "all hosts see it leaving", |net| {
        let others = net.live().filter(|(h, _)| **h != host(3));
        others
            .into_iter()
            .all(|(_, n)| n.membership.host(&host(3)).unwrap().leaving)
    });
    assert!(!net.sim_host(3).membership.is_table_reader());
    let moment = net.now;
    net.wait(SECOND, "it still receives read leases", |net| {
        leases_since(net, moment)
    });
    assert_no_violations(&net);
}

/// Three hosts of each domain read the table, regardless of the size of the domain.
#[test]
fn reads_stay_constant_as_hosts_grow() {
    let mut rates = Vec::new();
    for size in [4, 14, 30] {
        let mut net = settled_network(&[size, size]);
        for sim_host in net.sim_hosts.values_mut() {
            sim_host.counts = common::net::Counts::default();
        }
        net.advance(4 * SECOND);
        let reads: u64 = net.sim_hosts.values().map(|n| n.counts.reads).sum();
        rates.push(reads as f64 / 4.0);
        let most = net
            .sim_hosts
            .values()
            .map(|n| n.counts.sent_bytes)
            .max()
            .unwrap()
            / 4;
        assert!(
            most < 9_000,
            "{most} bytes a second with {size} hosts a domain"
        );
        assert_no_violations(&net);
    }
    assert!(
        rates.iter().all(|r| (rates[0] - r).abs() < rates[0] / 5.0),
        "{rates:?}"
    );
}

/// Guards against messages between two hosts that are lost for as long as neither sends heartbeats
/// to the other: moves of slices between hosts of different domains never ended.
#[test]
fn a_connection_is_opened_for_a_frame_that_could_not_be_sent() {
    let cfg = MembershipSettings::default();
    let idle = cfg.idle_timeout + SECOND;
    let mut net = settled_network(&DOMAIN_SIZES);
    net.advance(idle);
    let (first, second) = (
        0..DOMAIN_SIZES[0],
        DOMAIN_SIZES[0]..DOMAIN_SIZES[0] + DOMAIN_SIZES[1],
    );
    let pairs: Vec<(usize, usize)> = first
        .flat_map(|a| second.clone().map(move |b| (a, b)))
        .filter(|&(a, b)| !net.are_connected(a, b))
        .collect();
    assert!(!pairs.is_empty(), "all hosts of two domains are connected");
    for &(a, b) in &pairs {
        net.deliver(a, Event::ConnectionNeeded { host: host(b) });
        net.wait(SECOND / 10, "a connection", |net| net.are_connected(a, b));
    }
    net.advance(idle);
    for (a, b) in pairs {
        assert!(
            !net.are_connected(a, b),
            "{a} and {b} keep an idle connection"
        );
    }
    assert_no_violations(&net);
}
