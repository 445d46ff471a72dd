//! Which hosts may feed a host with what was read of the store.
//!
//! The hosts of a domain stand in an order, the strongest first, and form a tree by it; the first host
//! of each domain is fed by that of a domain before it. So one host of all reads the store, whatever
//! their number, and messages to a domain cross to it once.

use std::net::SocketAddr;

use ids::{DomainId, HostId, KeyHash};
use indexmap::IndexMap;

/// Hosts that one host feeds in the tree: three levels hold a domain of 270.
pub const FANOUT: usize = 16;
/// Other hosts of the domain that are tried where all hosts above don't feed: a third of the hosts may
/// be turned away by the store and cut off from who feeds them, which leaves one in a hundred alone.
const OTHERS: usize = 4;
/// Domains before the host's own whose first hosts are tried.
const DOMAINS: usize = 3;
/// First hosts of a domain, which feed and are fed across domains.
///
/// Others would stay with a host of another domain that fed them once: at 84 hosts, bytes between
/// domains rose by seven tenths.
const FIRST_HOSTS: usize = 2;

/// A host that may feed others.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Where it feeds others.
    pub peers: SocketAddr,
    /// The work that it can do, in cores.
    pub capacity: f64,
}

/// The hosts by domain, in the order of the tree.
#[derive(Debug, Clone, Default)]
pub struct Domains {
    domains: IndexMap<DomainId, Vec<Member>>,
}

/// Where a host stands in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Domains before its own.
    pub domain: usize,
    /// Hosts before it in its domain.
    pub place: usize,
}

impl Domains {
    /// Puts hosts in order.
    #[must_use]
    pub fn new(hosts: impl Iterator<Item = (DomainId, Member)>) -> Self {
        let mut domains: IndexMap<DomainId, Vec<Member>> = IndexMap::new();
        for (domain, member) in hosts {
            domains.entry(domain).or_default().push(member);
        }
        domains.sort_unstable_keys();
        for members in domains.values_mut() {
            // A strong host feeds sixteen others in a tenth of the time that a weak one takes.
            members.sort_by(|a, b| {
                let by_strength = b.capacity.total_cmp(&a.capacity);
                by_strength.then_with(|| a.host.cmp(&b.host))
            });
        }
        Self { domains }
    }

    /// Returns where a host stands, if it is among them.
    #[must_use]
    pub fn position(&self, domain: &DomainId, host: &HostId) -> Option<Position> {
        let (index, _, members) = self.domains.get_full(domain)?;
        let place = members.iter().position(|m| m.host == *host)?;
        Some(Position {
            domain: index,
            place,
        })
    }

    /// Returns the hosts that may feed `host`, the best first: those above it in the tree, others before
    /// it in its domain, and for the first hosts of a domain those of domains before it.
    ///
    /// All of them come before it in one order of all hosts, so that nobody is fed by whom it feeds. A
    /// host that is not listed yet comes last in its domain.
    #[must_use]
    pub fn before(&self, domain: &DomainId, host: &HostId) -> Vec<SocketAddr> {
        let none = Vec::new();
        let members = self.domains.get(domain).unwrap_or(&none);
        let place = self.position(domain, host);
        let place = place.map_or(members.len(), |p| p.place);
        let mut order = Vec::new();
        let mut at = place;
        while at > 0 {
            at = (at - 1) / FANOUT;
            order.push(members[at].peers);
        }
        // Hosts that lose the same feeder don't all turn to the same other one.
        let start = KeyHash::of(host.as_str().as_bytes()).0 as usize;
        let others = (0..place).map(|i| members[start.wrapping_add(i) % place].peers);
        let others: Vec<_> = others.filter(|p| !order.contains(p)).take(OTHERS).collect();
        order.extend(others);
        if place >= FIRST_HOSTS {
            return order;
        }
        let earlier = self.domains.iter().take_while(|(d, _)| *d < domain);
        let first = earlier
            .take(DOMAINS)
            .flat_map(|(_, m)| m.iter().take(FIRST_HOSTS));
        order.extend(first.map(|m| m.peers));
        order
    }

    /// Returns hosts behind `host` that may feed it while it can't read the store itself: the next ones
    /// of its domain, and for the first hosts of a domain those of the domains behind it.
    #[must_use]
    pub fn behind(&self, domain: &DomainId, host: &HostId) -> Vec<SocketAddr> {
        let Some(position) = self.position(domain, host) else {
            return Vec::new();
        };
        let next = self.domains[domain].iter().skip(position.place + 1);
        let domains = if position.place < FIRST_HOSTS {
            DOMAINS
        } else {
            0
        };
        let later = self.domains.values().skip(position.domain + 1);
        let first = later.take(domains).filter_map(|members| members.first());
        next.take(OTHERS).chain(first).map(|m| m.peers).collect()
    }
}
