//! Selection of the hosts that grant permits if an upstream gets far more requests than it can
//! serve.

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
    unresponsive: Vec<usize>,
    /// Hosts that grant permits.
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
            unresponsive: vec![],
            used: vec![10, 20, 30],
        },
        Case {
            name: "one of them is unresponsive",
            hosts: mixed.clone(),
            unresponsive: vec![20],
            used: vec![10, 30],
        },
        Case {
            name: "all of them are unresponsive: any host is better than none",
            hosts: vec![0.5, 0.1, 0.1, 0.1],
            unresponsive: vec![0],
            used: vec![1, 2, 3],
        },
        Case {
            name: "all hosts have the same capacity",
            hosts: vec![0.2; 4],
            unresponsive: vec![],
            used: vec![0, 1, 2, 3],
        },
    ]
}

#[test]
fn strong_hosts_grant_permits() {
    for case in cases() {
        let mut hosts = PermitHosts::default();
        for (i, &capacity) in case.hosts.iter().enumerate() {
            hosts.add(address(i), capacity);
        }
        let unresponsive: Vec<_> = case.unresponsive.iter().map(|&i| address(i)).collect();
        let mut used: HashMap<SocketAddr, usize> = HashMap::new();
        for u in 0..UPSTREAMS {
            let upstream = UpstreamId::new(format!("u{u}")).expect("a valid name");
            let host = hosts.host_of(&upstream, |a| unresponsive.contains(&a));
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
fn without_hosts_there_is_no_permit_host() {
    let upstream = UpstreamId::new("u").expect("a valid name");
    assert_eq!(PermitHosts::default().host_of(&upstream, |_| false), None);
}

/// Each host knows how many hosts rank before it for an upstream's permits: its share of a rate
/// limit follows from that.
#[test]
fn the_number_of_skipped_hosts_is_known() {
    let mut hosts = PermitHosts::default();
    for i in 0..4 {
        hosts.add(address(i), 0.2);
    }
    let upstream = UpstreamId::new("u").expect("a valid name");
    let mut unresponsive: Vec<SocketAddr> = Vec::new();
    for skipped_hosts in 0..4 {
        let host = hosts.host_of(&upstream, |a| unresponsive.contains(&a));
        let host = host.expect("one that responds");
        assert_eq!(host.skipped_hosts, skipped_hosts);
        unresponsive.push(host.address);
    }
}
