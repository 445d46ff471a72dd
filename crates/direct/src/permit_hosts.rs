//! Selects the host that grants the permits at an upstream.
//!
//! Each host computes it from the set of known hosts, so that none has to be appointed: rendezvous
//! hashing of the hosts' addresses and the upstream's id, over the strong hosts of the upstream's
//! failure domain.

use std::net::SocketAddr;

use ids::{KeyHash, UpstreamId};

/// Fraction of the strongest host's capacity that a host must have to count as strong.
///
/// At six hundred requests a second on one key, all of them request permits from one host, some
/// 1,300 requests a second with those that come back. That takes a tenth of a core, which is all
/// that the weak hosts of large deployments have: they stopped answering heartbeats and took other
/// hosts for unresponsive.
const STRONG_FRACTION: f64 = 0.5;

/// A host that grants permits at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitHost {
    /// Address to which permit requests are sent.
    pub address: SocketAddr,
    /// Number of unresponsive hosts that rank before this one.
    pub skipped_hosts: u32,
}

/// The hosts of a failure domain that grant permits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PermitHosts {
    hosts: Vec<(SocketAddr, f64)>,
    /// Maximum capacity of a host, in cores.
    max_capacity: f64,
}

impl PermitHosts {
    /// Adds a host with a capacity of `capacity` cores.
    pub fn add(&mut self, address: SocketAddr, capacity: f64) {
        self.hosts.push((address, capacity));
        self.max_capacity = self.max_capacity.max(capacity);
    }

    /// Returns the host that grants permits at `upstream`: the highest-ranking one for which
    /// `is_unresponsive` is false. Strong hosts rank before all others.
    pub fn host_of(
        &self,
        upstream: &UpstreamId,
        is_unresponsive: impl Fn(SocketAddr) -> bool,
    ) -> Option<PermitHost> {
        let is_strong = |capacity: f64| capacity >= self.max_capacity * STRONG_FRACTION;
        let rank = |&(address, capacity): &(SocketAddr, f64)| {
            let hash = KeyHash::of(format!("{address} {upstream}").as_bytes());
            (is_strong(capacity), hash)
        };
        let mut ranked: Vec<_> = self.hosts.iter().map(|h| (rank(h), h.0)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let skipped_hosts = ranked.iter().position(|&(_, a)| !is_unresponsive(a))?;
        Some(PermitHost {
            address: ranked[skipped_hosts].1,
            skipped_hosts: u32::try_from(skipped_hosts).unwrap_or(u32::MAX),
        })
    }
}
