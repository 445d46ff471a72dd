//! Selects the host through which a request goes to an upstream that this host does not reach.
//!
//! Any host may reach the upstream. Hosts that lately did are preferred, and among those the ones with
//! the fewest requests of this host; one of the upstream's failure domain is preferred to one of
//! another, as then only one of the two ways crosses domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, Timestamp};

/// Settings of a [`PeerSelector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSettings {
    /// Time for which a host that reached an upstream is preferred.
    pub reach_ttl: Duration,
    /// Time for which a host that failed to reach an upstream is not selected; it doubles with each
    /// further failure.
    pub min_backoff: Duration,
    /// Maximum of that time.
    pub max_backoff: Duration,
    /// Number of hosts among which one is selected, if there are more.
    pub sample: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            reach_ttl: Duration::from_secs(5),
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(2),
            sample: 16,
        }
    }
}

/// A host that may send requests to upstreams for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHost {
    /// Address for the requests of other hosts.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
}

#[derive(Debug, Default)]
struct PeerState {
    in_flight: u32,
    /// Last time that it reached an upstream.
    reached_at: Timestamp,
    failures: u32,
    backoff_until: Timestamp,
}

/// What a host knows of the others through which it sends requests.
#[derive(Debug)]
pub struct PeerSelector {
    cfg: PeerSettings,
    peers: HashMap<SocketAddr, PeerState>,
}

impl PeerSelector {
    /// Creates a selector that knows no host.
    #[must_use]
    pub fn new(cfg: PeerSettings) -> Self {
        Self {
            cfg,
            peers: HashMap::new(),
        }
    }

    /// Returns up to `most` of `hosts`, the best first, for an upstream in `domain`, without those in
    /// `excluded`. `start` is a random number.
    #[must_use]
    pub fn select(
        &self,
        now: Timestamp,
        hosts: &[PeerHost],
        domain: &DomainId,
        excluded: &[SocketAddr],
        start: usize,
        most: usize,
    ) -> Vec<SocketAddr> {
        let is_eligible = |host: &&PeerHost| {
            let state = self.peers.get(&host.address);
            !excluded.contains(&host.address) && state.is_none_or(|s| now >= s.backoff_until)
        };
        let rotated = hosts.iter().cycle().skip(start % hosts.len().max(1));
        let eligible = rotated.take(hosts.len()).filter(is_eligible);
        let mut sample: Vec<&PeerHost> = eligible.take(self.cfg.sample).collect();
        // The sort is stable, so that equal hosts stay in the random order.
        sample.sort_by_key(|host| self.rank(now, host, domain));
        let best = sample.into_iter().take(most);
        best.map(|host| host.address).collect()
    }

    /// Returns the rank of a host; the lowest is the best.
    fn rank(&self, now: Timestamp, host: &PeerHost, domain: &DomainId) -> (bool, u32) {
        let state = self.peers.get(&host.address);
        let is_known = state.is_some_and(|s| {
            s.reached_at > Timestamp::ZERO && now.since(s.reached_at) <= self.cfg.reach_ttl
        });
        let in_flight = state.map_or(0, |s| s.in_flight);
        (!is_known, in_flight + u32::from(host.domain != *domain))
    }

    /// Records a request that goes through the host at `peer`.
    pub fn started(&mut self, peer: SocketAddr) {
        self.peers.entry(peer).or_default().in_flight += 1;
    }

    /// Records the end of such a request.
    pub fn ended(&mut self, peer: SocketAddr) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that the host at `peer` reached an upstream.
    pub fn reached(&mut self, now: Timestamp, peer: SocketAddr) {
        let state = self.peers.entry(peer).or_default();
        state.reached_at = now;
        state.failures = 0;
    }

    /// Records that the host at `peer` did not respond, or did not reach an upstream.
    pub fn failed(&mut self, now: Timestamp, peer: SocketAddr) {
        let state = self.peers.entry(peer).or_default();
        let backoff = self.cfg.min_backoff * (1 << state.failures.min(5));
        state.failures += 1;
        state.backoff_until = now + backoff.min(self.cfg.max_backoff);
        state.reached_at = Timestamp::ZERO;
    }

    /// Drops the state of hosts that are not in `hosts` and have no requests of this host.
    pub fn retain(&mut self, hosts: &[PeerHost]) {
        let is_known = |address| hosts.iter().any(|host| host.address == address);
        self.peers
            .retain(|address, state| state.in_flight > 0 || is_known(*address));
    }
}
