//! The tree by which hosts relay rows of the store to each other.

use std::collections::HashSet;
use std::net::SocketAddr;

use front::control::tree::{FANOUT, RelayHost, RelayTree};
use ids::{DomainId, HostId};

fn address(domain: usize, host: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8, 0, 1], 1_000 + host as u16))
}

fn name(domain: usize, host: usize) -> (DomainId, HostId) {
    let domain_id = DomainId::new(format!("d{domain}")).expect("a valid name");
    let host = HostId::new(format!("h{domain}-{host:03}")).expect("a valid name");
    (domain_id, host)
}

/// Builds domains of `hosts` hosts each; in each domain, the `strong` hosts with the highest
/// numbers have a higher capacity.
fn domains(domains: usize, hosts: usize, strong: usize) -> RelayTree {
    let all = (0..domains).flat_map(|d| (0..hosts).map(move |h| (d, h)));
    RelayTree::new(all.map(|(d, h)| {
        let (domain, host) = name(d, h);
        let is_strong = h + strong >= hosts;
        let relay_host = RelayHost {
            host,
            peers: address(d, h),
            capacity: if is_strong { 0.5 } else { 0.1 },
        };
        (domain, relay_host)
    }))
}

struct Case {
    name: &'static str,
    /// Number of domains, hosts in each, and strong hosts among those.
    fleet: (usize, usize, usize),
    /// Maximum number of hops from the host that reads the store to the last host.
    hops: usize,
}

const CASES: [Case; 4] = [
    Case {
        name: "eleven hosts",
        fleet: (3, 4, 0),
        hops: 2,
    },
    Case {
        name: "295 hosts, three strong ones in each domain",
        fleet: (5, 59, 3),
        hops: 3,
    },
    Case {
        name: "2,600 hosts in eleven domains",
        fleet: (11, 237, 12),
        hops: 3,
    },
    Case {
        name: "one host",
        fleet: (1, 1, 0),
        hops: 0,
    },
];

/// Exactly one host has no parent. Every other host reaches it by following first parents, and no
/// host relays to more than its children and the first hosts of other domains.
#[test]
fn one_host_reads_the_store_for_all() {
    for case in CASES {
        let (count, hosts, strong) = case.fleet;
        let all = domains(count, hosts, strong);
        let mut roots = 0;
        let mut children = std::collections::HashMap::<SocketAddr, usize>::new();
        let parent = |d: usize, h: usize| {
            let (domain, host) = name(d, h);
            all.parents(&domain, &host).first().copied()
        };
        for (d, h) in (0..count).flat_map(|d| (0..hosts).map(move |h| (d, h))) {
            let mut at = (d, h);
            let mut hops = 0;
            while let Some(next) = parent(at.0, at.1) {
                let SocketAddr::V4(v4) = next else {
                    panic!("not an IPv4 address")
                };
                at = (
                    usize::from(v4.ip().octets()[1]),
                    usize::from(next.port()) - 1_000,
                );
                hops += 1;
                assert!(hops <= case.hops, "{}: {d} {h}", case.name);
            }
            if hops == 0 {
                roots += 1;
                assert!(
                    h + strong.max(1) >= hosts || strong == 0,
                    "{}: a host without the capacity reads the store",
                    case.name
                );
            }
            if let Some(first) = parent(d, h) {
                *children.entry(first).or_default() += 1;
            }
        }
        assert_eq!(roots, 1, "{}", case.name);
        let most = children.values().max().copied().unwrap_or_default();
        assert!(most < FANOUT + count, "{}: {most}", case.name);
    }
}

/// Guards against relay cycles: all possible parents of a host come before it in the order.
#[test]
fn parents_come_before_their_children() {
    let all = domains(5, 59, 3);
    let rank = |d: usize, h: usize| {
        let (domain, host) = name(d, h);
        let p = all.position(&domain, &host).expect("it is listed");
        (p.domain, p.rank)
    };
    for (d, h) in (0..5).flat_map(|d| (0..59).map(move |h| (d, h))) {
        let (domain, host) = name(d, h);
        let parents = all.parents(&domain, &host);
        let distinct: HashSet<_> = parents.iter().collect();
        assert_eq!(distinct.len(), parents.len(), "{d} {h}: duplicate parent");
        assert!(parents.len() <= 13, "{d} {h}: too many parents");
        for parent in parents {
            let SocketAddr::V4(v4) = parent else {
                panic!("not an IPv4 address")
            };
            let parent_rank = rank(
                usize::from(v4.ip().octets()[1]),
                usize::from(parent.port()) - 1_000,
            );
            assert!(parent_rank < rank(d, h), "{d} {h}");
        }
    }
}

/// Guards against overloading one host: sixteen hosts that lose their parent at once must choose
/// several others.
#[test]
fn hosts_that_lose_their_parent_choose_different_ones() {
    let all = domains(1, 59, 3);
    let mut next = HashSet::new();
    for h in 0..59 {
        let (domain, host) = name(0, h);
        let position = all.position(&domain, &host).expect("it is listed");
        if (FANOUT + 1..=2 * FANOUT).contains(&position.rank) {
            // The first is the failed parent; the second is the root, which has failed too.
            next.insert(all.parents(&domain, &host)[2]);
        }
    }
    assert!(next.len() >= 8, "{}", next.len());
}

/// Guards against all rows crossing between domains several times: only the first hosts of a domain
/// have parents or later hosts in other domains.
#[test]
fn only_the_first_hosts_of_a_domain_relay_across_domains() {
    let all = domains(5, 59, 3);
    for (d, h) in (0..5).flat_map(|d| (0..59).map(move |h| (d, h))) {
        let (domain, host) = name(d, h);
        let rank = all.position(&domain, &host).expect("it is listed").rank;
        let relays = all
            .parents(&domain, &host)
            .into_iter()
            .chain(all.later_hosts(&domain, &host));
        let is_elsewhere = |a: &SocketAddr| a.ip() != address(d, 0).ip();
        let crosses = relays.filter(is_elsewhere).count() > 0;
        assert_eq!(crosses, rank < 2, "{d} {h}");
    }
}

/// A host that has just been added is not listed yet, and still gets parents.
#[test]
fn a_host_that_is_not_listed_comes_last() {
    let all = domains(2, 5, 0);
    let (domain, _) = name(1, 0);
    let unknown = HostId::new("new").expect("a valid name");
    assert_eq!(all.parents(&domain, &unknown).first(), Some(&address(1, 0)));
    assert!(all.later_hosts(&domain, &unknown).is_empty());
    let elsewhere = DomainId::new("elsewhere").expect("a valid name");
    assert_eq!(
        all.parents(&elsewhere, &unknown).first(),
        Some(&address(0, 0))
    );
}

/// The first host of all has no parent; while the store rejects its reads, other hosts relay to it.
#[test]
fn other_hosts_can_relay_to_the_first_host() {
    let all = domains(2, 5, 0);
    let (domain, host) = name(0, 0);
    assert!(all.parents(&domain, &host).is_empty());
    let later_hosts = all.later_hosts(&domain, &host);
    assert_eq!(later_hosts.first(), Some(&address(0, 1)));
    assert_eq!(later_hosts.last(), Some(&address(1, 0)));
}
