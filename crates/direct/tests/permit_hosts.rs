//! Who hands out the permits at upstreams of which one is asked for far more than it can do.

use std::collections::HashMap;
use std::net::SocketAddr;

use direct::PermitHosts;
use ids::UpstreamId;

const UPSTREAMS: usize = 544;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + i as u16))
}

struct Case {
    name: &'static str,
    /// Capacities of the hosts, in cores.
    hosts: Vec<f64>,
    silent: Vec<usize>,
    /// Hosts that hand out permits.
    used: Vec<usize>,
}

fn cases() -> [Case; 4] {
    let mut mixed = vec![0.1; 59];
    mixed[10] = 0.5;
    mixed[20] = 0.5;
    mixed[30] = 0.5;
    [
        Case {
            name: "three strong hosts among weak ones",
            hosts: mixed.clone(),
            silent: vec![],
            used: vec![10, 20, 30],
        },
        Case {
            name: "one of them is silent",
            hosts: mixed.clone(),
            silent: vec![20],
            used: vec![10, 30],
        },
        Case {
            name: "all of them are: any host is better than none",
            hosts: vec![0.5, 0.1, 0.1, 0.1],
            silent: vec![0],
            used: vec![1, 2, 3],
        },
        Case {
            name: "all hosts are alike",
            hosts: vec![0.2; 4],
            silent: vec![],
            used: vec![0, 1, 2, 3],
        },
    ]
}

#[test]
fn strong_hosts_hand_out_permits() {
    for case in cases() {
        let mut hosts = PermitHosts::default();
        for (i, &capacity) in case.hosts.iter().enumerate() {
            hosts.add(address(i), capacity);
        }
        let silent: Vec<_> = case.silent.iter().map(|&i| address(i)).collect();
        let mut used: HashMap<SocketAddr, usize> = HashMap::new();
        for u in 0..UPSTREAMS {
            let upstream = UpstreamId::new(format!("u{u}")).expect("a valid name");
            let host = hosts.host_of(&upstream, |a| silent.contains(&a));
            *used.entry(host.expect("one of them").address).or_default() += 1;
        }
        let mut hosts: Vec<_> = used.keys().copied().collect();
        hosts.sort();
        let expected: Vec<_> = case.used.iter().map(|&i| address(i)).collect();
        assert_eq!(hosts, expected, "{}", case.name);
        let fair = UPSTREAMS / expected.len();
        let most = used.values().max().copied().unwrap_or_default();
        assert!(most < fair * 3 / 2, "{}: {most} of {fair}", case.name);
    }
}

#[test]
fn without_hosts_nobody_is_asked() {
    let upstream = UpstreamId::new("u").expect("a valid name");
    assert_eq!(PermitHosts::default().host_of(&upstream, |_| false), None);
}

/// Each host knows how many stand before it in handing out an upstream's permits: its part of a limit follows from that.
#[test]
fn a_host_in_anothers_place_knows_how_many_it_stands_in_for() {
    let mut hosts = PermitHosts::default();
    for i in 0..4 {
        hosts.add(address(i), 0.2);
    }
    let upstream = UpstreamId::new("u").expect("a valid name");
    let mut silent: Vec<SocketAddr> = Vec::new();
    for passed_over in 0..4 {
        let host = hosts.host_of(&upstream, |a| silent.contains(&a));
        let host = host.expect("one that is heard");
        assert_eq!(host.passed_over, passed_over);
        silent.push(host.address);
    }
}
