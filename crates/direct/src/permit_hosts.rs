//! Which host hands out the permits at an upstream.
//!
//! It follows from the hosts that are known, so that none has to be named: of the strong hosts of the
//! upstream's failure domain the one that ranks highest by a hash of both.

use std::net::SocketAddr;

use ids::{KeyHash, UpstreamId};

/// Part of the strongest host's capacity that a host must have to count as strong.
///
/// Six hundred requests a second on one key ask one host, some 1,300 times with those who come back. That
/// takes a tenth of a core, all that the weak hosts of large deployments have: they did not answer
/// heartbeats any more, and took others for silent.
const STRONG_PART: f64 = 0.5;

/// A host that hands out permits at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitHost {
    /// Where it is asked.
    pub address: SocketAddr,
    /// Hosts that would hand them out rather than this one, if they were not silent.
    pub passed_over: u32,
}

/// The hosts of one failure domain that hand out permits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PermitHosts {
    hosts: Vec<(SocketAddr, f64)>,
    /// Capacity of the strongest one, in cores.
    strongest: f64,
}

impl PermitHosts {
    /// Adds a host that can do the work of `capacity` cores.
    pub fn add(&mut self, address: SocketAddr, capacity: f64) {
        self.hosts.push((address, capacity));
        self.strongest = self.strongest.max(capacity);
    }

    /// Returns the host that hands out permits at `upstream`, of those that `is_silent` doesn't pass over:
    /// a strong one, if there is any.
    pub fn host_of(
        &self,
        upstream: &UpstreamId,
        is_silent: impl Fn(SocketAddr) -> bool,
    ) -> Option<PermitHost> {
        let is_strong = |capacity: f64| capacity >= self.strongest * STRONG_PART;
        let rank = |&(address, capacity): &(SocketAddr, f64)| {
            let hash = KeyHash::of(format!("{address} {upstream}").as_bytes());
            (is_strong(capacity), hash)
        };
        let mut ranked: Vec<_> = self.hosts.iter().map(|h| (rank(h), h.0)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let passed_over = ranked.iter().position(|&(_, a)| !is_silent(a))?;
        Some(PermitHost {
            address: ranked[passed_over].1,
            passed_over: u32::try_from(passed_over).unwrap_or(u32::MAX),
        })
    }
}
