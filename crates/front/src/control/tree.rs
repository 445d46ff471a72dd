//! The tree along which hosts relay rows of the store.
//!
//! The hosts of a domain are sorted, the strongest first, and form a tree in that order; the first
//! host of each domain receives rows from a host of an earlier domain. So one host of all reads the
//! store, however many there are, and each message crosses to a domain once.

use std::net::SocketAddr;

use ids::{DomainId, HostId, KeyHash};
use indexmap::IndexMap;

/// Hosts that one host relays to in the tree: three levels hold a domain of 270.
pub const FANOUT: usize = 16;
/// Other hosts of the domain that are tried if no ancestor relays: a third of the hosts may be
/// rejected by the store and cut off from their parents, which leaves one in a hundred without a
/// parent.
const OTHER_PARENTS: usize = 4;
/// Earlier domains whose first hosts are tried.
const MAX_DOMAINS: usize = 3;
/// First hosts of a domain, which relay and receive across domains.
///
/// Others would stay with a host of another domain that relayed to them once: at 84 hosts, bytes
/// between domains rose by seven tenths.
const FIRST_HOSTS: usize = 2;

/// A host that may relay to others.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayHost {
    /// The host.
    pub host: HostId,
    /// Address at which it relays.
    pub peers: SocketAddr,
    /// Processor capacity, in cores.
    pub capacity: f64,
}

/// The hosts by domain, in the order of the tree.
#[derive(Debug, Clone, Default)]
pub struct RelayTree {
    domains: IndexMap<DomainId, Vec<RelayHost>>,
}

/// Position of a host in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of domains before its own.
    pub domain: usize,
    /// Number of hosts before it in its domain.
    pub rank: usize,
}

impl RelayTree {
    /// Sorts the hosts into a tree.
    #[must_use]
    pub fn new(hosts: impl Iterator<Item = (DomainId, RelayHost)>) -> Self {
        let mut domains: IndexMap<DomainId, Vec<RelayHost>> = IndexMap::new();
        for (domain, host) in hosts {
            domains.entry(domain).or_default().push(host);
        }
        domains.sort_unstable_keys();
        for members in domains.values_mut() {
            // A strong host relays to sixteen others in a tenth of the time that a weak one takes.
            members.sort_by(|a, b| {
                let by_capacity = b.capacity.total_cmp(&a.capacity);
                by_capacity.then_with(|| a.host.cmp(&b.host))
            });
        }
        Self { domains }
    }

    /// Returns the position of a host, if it is in the tree.
    #[must_use]
    pub fn position(&self, domain: &DomainId, host: &HostId) -> Option<Position> {
        let (index, _, members) = self.domains.get_full(domain)?;
        let rank = members.iter().position(|m| m.host == *host)?;
        Some(Position {
            domain: index,
            rank,
        })
    }

    /// Returns the hosts that may relay to `host`, the best first: its ancestors in the tree,
    /// others before it in its domain, and for the first hosts of a domain those of earlier
    /// domains.
    ///
    /// All of them come before it in one order of all hosts, so that no two hosts relay to each
    /// other. A host that is not listed yet comes last in its domain.
    #[must_use]
    pub fn parents(&self, domain: &DomainId, host: &HostId) -> Vec<SocketAddr> {
        let empty = Vec::new();
        let members = self.domains.get(domain).unwrap_or(&empty);
        let rank = self.position(domain, host);
        let rank = rank.map_or(members.len(), |p| p.rank);
        let mut parents = Vec::new();
        let mut index = rank;
        while index > 0 {
            index = (index - 1) / FANOUT;
            parents.push(members[index].peers);
        }
        // Hosts that lose the same parent don't all turn to the same other host.
        let start = KeyHash::of(host.as_str().as_bytes()).0 as usize;
        let others = (0..rank).map(|i| members[start.wrapping_add(i) % rank].peers);
        let others: Vec<_> = others
            .filter(|p| !parents.contains(p))
            .take(OTHER_PARENTS)
            .collect();
        parents.extend(others);
        if rank >= FIRST_HOSTS {
            return parents;
        }
        let earlier = self.domains.iter().take_while(|(d, _)| *d < domain);
        let first = earlier
            .take(MAX_DOMAINS)
            .flat_map(|(_, m)| m.iter().take(FIRST_HOSTS));
        parents.extend(first.map(|m| m.peers));
        parents
    }

    /// Returns hosts after `host` that may relay to it while it can't read the store itself: the
    /// next ones of its domain, and for the first hosts of a domain those of later domains.
    #[must_use]
    pub fn later_hosts(&self, domain: &DomainId, host: &HostId) -> Vec<SocketAddr> {
        let Some(position) = self.position(domain, host) else {
            return Vec::new();
        };
        let next = self.domains[domain].iter().skip(position.rank + 1);
        let domains = if position.rank < FIRST_HOSTS {
            MAX_DOMAINS
        } else {
            0
        };
        let later = self.domains.values().skip(position.domain + 1);
        let first = later.take(domains).filter_map(|members| members.first());
        next.take(OTHER_PARENTS)
            .chain(first)
            .map(|m| m.peers)
            .collect()
    }
}
