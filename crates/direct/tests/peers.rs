//! Tests of the selection of the host through which a request goes.

use std::net::SocketAddr;
use std::time::Duration;

use direct::{PeerHost, PeerSelector, PeerSettings};
use ids::{DomainId, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(1_000 + ms)
}

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], i))
}

fn domain(name: &str) -> DomainId {
    DomainId::new(name).expect("a valid name")
}

/// Returns hosts 1 to `n`; the odd ones are in domain `a`, the others in `b`.
fn hosts(n: u16) -> Vec<PeerHost> {
    let host = |i: u16| PeerHost {
        address: address(i),
        domain: domain(if i % 2 == 1 { "a" } else { "b" }),
    };
    (1..=n).map(host).collect()
}

struct Case {
    name: &'static str,
    /// Prepares the selector, at time 0.
    prepare: fn(&mut PeerSelector),
    excluded: &'static [u16],
    /// Time of the selection in milliseconds, and the hosts that may be first then.
    first_at: (u64, &'static [u16]),
}

const CASES: &[Case] = &[
    Case {
        name: "hosts of the upstream's domain",
        prepare: |_| {},
        excluded: &[],
        first_at: (0, &[1, 3]),
    },
    Case {
        name: "one that lately reached an upstream before those not known",
        prepare: |peers| peers.reached(at(0), address(2)),
        excluded: &[],
        first_at: (1_000, &[2]),
    },
    Case {
        name: "not one that failed",
        prepare: |peers| peers.failed(at(0), address(1)),
        excluded: &[],
        first_at: (100, &[3]),
    },
    Case {
        name: "one that failed, after a while",
        prepare: |peers| peers.failed(at(0), address(1)),
        excluded: &[3, 2, 4],
        first_at: (250, &[1]),
    },
    Case {
        name: "not one that was tried",
        prepare: |_| {},
        excluded: &[1],
        first_at: (0, &[3]),
    },
    Case {
        name: "the one with the fewest requests",
        prepare: |peers| {
            for i in [1, 1, 2, 3, 3] {
                peers.started(address(i));
            }
            peers.ended(address(3));
            peers.ended(address(3));
        },
        excluded: &[],
        first_at: (0, &[3]),
    },
    Case {
        name: "none, if all failed",
        prepare: |peers| (1..=4).for_each(|i| peers.failed(at(0), address(i))),
        excluded: &[],
        first_at: (100, &[]),
    },
];

/// The requests of hosts that were cut off must spread over the others, and not go to hosts that are
/// cut off too.
#[test]
fn a_request_goes_through_a_host_that_reaches_upstreams() {
    for case in CASES {
        let mut peers = PeerSelector::new(PeerSettings::default());
        (case.prepare)(&mut peers);
        let excluded: Vec<_> = case.excluded.iter().map(|&i| address(i)).collect();
        let (ms, wanted) = case.first_at;
        let mut first: Vec<u16> = (0..4)
            .filter_map(|start| {
                let best = peers.select(at(ms), &hosts(4), &domain("a"), &excluded, start, 1);
                best.first().map(SocketAddr::port)
            })
            .collect();
        first.sort_unstable();
        first.dedup();
        assert_eq!(first, wanted, "{}", case.name);
    }
}

/// Among thousands of hosts, only a few are looked at.
#[test]
fn a_selection_among_many_hosts_returns_as_many_as_asked_for() {
    let peers = PeerSelector::new(PeerSettings::default());
    let hosts = hosts(5_000);
    let selected = peers.select(at(0), &hosts, &domain("a"), &[], 4_998, 4);
    let ports: Vec<u16> = selected.iter().map(SocketAddr::port).collect();
    assert_eq!(ports, [4_999, 1, 3, 5]);
}
