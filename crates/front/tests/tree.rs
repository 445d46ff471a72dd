//! Which hosts feed which with what was read of the store.

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

/// Builds domains of `hosts` each, of which those with the highest numbers are strong.
fn domains(domains: usize, hosts: usize, strong: usize) -> RelayTree {
    let all = (0..domains).flat_map(|d| (0..hosts).map(move |h| (d, h)));
    RelayTree::new(all.map(|(d, h)| {
        let (domain, host) = name(d, h);
        let is_strong = h + strong >= hosts;
        let member = RelayHost {
            host,
            peers: address(d, h),
            capacity: if is_strong { 0.5 } else { 0.1 },
        };
        (domain, member)
    }))
}

struct Case {
    name: &'static str,
    /// Domains, hosts of each, strong ones of them.
    fleet: (usize, usize, usize),
    /// Most messages from the reader of the store to the last host.
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

/// One host of all has nobody before it; each other one reaches it by going to the first of those that
/// may feed it, and none of them feeds more than its children and the first hosts of other domains.
#[test]
fn one_host_reads_the_store_for_all() {
    for case in CASES {
        let (count, hosts, strong) = case.fleet;
        let all = domains(count, hosts, strong);
        let mut alone = 0;
        let mut fed = std::collections::HashMap::<SocketAddr, usize>::new();
        let parent = |d: usize, h: usize| {
            let (domain, host) = name(d, h);
            all.parents(&domain, &host).first().copied()
        };
        for (d, h) in (0..count).flat_map(|d| (0..hosts).map(move |h| (d, h))) {
            let mut at = (d, h);
            let mut hops = 0;
            while let Some(next) = parent(at.0, at.1) {
                let SocketAddr::V4(v4) = next else {
                    panic!("no such address")
                };
                at = (
                    usize::from(v4.ip().octets()[1]),
                    usize::from(next.port()) - 1_000,
                );
                hops += 1;
                assert!(hops <= case.hops, "{}: {d} {h}", case.name);
            }
            if hops == 0 {
                alone += 1;
                assert!(
                    h + strong.max(1) >= hosts || strong == 0,
                    "{}: a weak one",
                    case.name
                );
            }
            if let Some(first) = parent(d, h) {
                *fed.entry(first).or_default() += 1;
            }
        }
        assert_eq!(alone, 1, "{}", case.name);
        let most = fed.values().max().copied().unwrap_or_default();
        assert!(most < FANOUT + count, "{}: {most}", case.name);
    }
}

/// Nobody may be fed, over others, by whom it feeds: all that may feed a host come before it.
#[test]
fn who_may_feed_comes_before() {
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
        assert_eq!(distinct.len(), parents.len(), "{d} {h}: one twice");
        assert!(parents.len() <= 13, "{d} {h}: a long look around");
        for feeder in parents {
            let SocketAddr::V4(v4) = feeder else {
                panic!("no such address")
            };
            let of = rank(
                usize::from(v4.ip().octets()[1]),
                usize::from(feeder.port()) - 1_000,
            );
            assert!(of < rank(d, h), "{d} {h}");
        }
    }
}

/// Sixteen hosts that lose their feeder at once turn to several others, not to one.
#[test]
fn hosts_that_lose_a_feeder_spread() {
    let all = domains(1, 59, 3);
    let mut next = HashSet::new();
    for h in 0..59 {
        let (domain, host) = name(0, h);
        let position = all.position(&domain, &host).expect("it is listed");
        if (FANOUT + 1..=2 * FANOUT).contains(&position.rank) {
            // The first is its parent, which is lost, the second the root, which is lost too.
            next.insert(all.parents(&domain, &host)[2]);
        }
    }
    assert!(next.len() >= 8, "{}", next.len());
}

/// Whoever is fed by a host of another domain stays with it, and everything crosses between them.
#[test]
fn only_the_first_hosts_of_a_domain_are_fed_across_domains() {
    let all = domains(5, 59, 3);
    for (d, h) in (0..5).flat_map(|d| (0..59).map(move |h| (d, h))) {
        let (domain, host) = name(d, h);
        let rank = all.position(&domain, &host).expect("it is listed").rank;
        let feeders = all
            .parents(&domain, &host)
            .into_iter()
            .chain(all.later_hosts(&domain, &host));
        let is_elsewhere = |a: &SocketAddr| a.ip() != address(d, 0).ip();
        let crosses = feeders.filter(is_elsewhere).count() > 0;
        assert_eq!(crosses, rank < 2, "{d} {h}");
    }
}

/// A host that has just been added is not listed yet, and is fed all the same.
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

/// The first host of all has nobody before it; while the store turns it away, others feed it.
#[test]
fn the_first_host_can_be_fed_from_behind() {
    let all = domains(2, 5, 0);
    let (domain, host) = name(0, 0);
    assert!(all.parents(&domain, &host).is_empty());
    let later_hosts = all.later_hosts(&domain, &host);
    assert_eq!(later_hosts.first(), Some(&address(0, 1)));
    assert_eq!(later_hosts.last(), Some(&address(1, 0)));
}
