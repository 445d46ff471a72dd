//! Who reads the table, feeds whom and watches whom: a function of the hosts seen alive.
//!
//! The hosts of a domain are ranked by a hash of their names. The first few are relays, which
//! read the table; each other host is fed by one further up, so that every host feeds a bounded
//! number. Hosts with different views pick differently for a moment, which costs a few more
//! messages and nothing else.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DomainId, HostId};
use xxhash_rust::xxh3::xxh3_64;

use super::settings::Config;

/// What one host does for the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// Place among the relays of the domain, if this host is one.
    pub(super) relay: Option<usize>,
    /// Hosts that feed this one, the preferred one first; none for a relay.
    pub(super) feeders: Vec<HostId>,
    /// How many levels of hosts are fed by this one, directly or through others.
    pub(super) levels: u32,
    /// Other relays of the domain; empty if this host is none.
    pub(super) siblings: Vec<HostId>,
    /// Hosts that this one sends heartbeats to so that they watch it.
    pub(super) watchers: BTreeSet<HostId>,
    /// Hosts that this one watches.
    pub(super) watched: BTreeSet<HostId>,
    /// One host of each other domain, for a relay.
    pub(super) far: Vec<HostId>,
    /// The live hosts of the domain for which this was worked out.
    mates: Vec<HostId>,
}

impl Roles {
    /// Returns how many hosts of the domain are alive, this one included.
    pub(super) fn mates(&self) -> usize {
        self.mates.len()
    }
}

/// The hosts that may have a part, by domain; the own domain's include this host.
pub(super) type Able = BTreeMap<DomainId, Vec<HostId>>;

/// Works out the part of `me`.
///
/// `alive` are all hosts of the domain that count as alive, whether or not they can have a part;
/// `last` is what came out before.
pub(super) fn roles(
    cfg: &Config,
    me: &HostId,
    domain: &DomainId,
    able: &Able,
    alive: &[HostId],
    last: &Roles,
) -> Roles {
    let mates = able.get(domain).map_or(&[][..], Vec::as_slice);
    let ranked = ranked(domain.as_str(), mates);
    let place = ranked.iter().position(|h| h == me);
    let relays = &ranked[..cfg.relays.min(ranked.len())];
    let relay = place.filter(|p| *p < relays.len());
    // Who watches whom is costly to work out, and hosts of other domains have no say in it.
    let (watchers, watched) = if last.mates == alive {
        (last.watchers.clone(), last.watched.clone())
    } else {
        watch(cfg, me, alive)
    };
    let mut roles = Roles {
        relay,
        levels: place.map_or(0, |p| levels(cfg, p, ranked.len())),
        watchers,
        watched,
        mates: alive.to_vec(),
        ..Roles::default()
    };
    match (relay, place) {
        (Some(_), _) => {
            roles.siblings = relays.iter().filter(|h| *h != me).cloned().collect();
            roles.far = far(cfg, me, domain, able);
        }
        (None, Some(place)) => roles.feeders = feeders(cfg, &ranked, place),
        // A host that is leaving has no part, but goes on being fed.
        (None, None) => roles.feeders = relays.iter().take(2).cloned().collect(),
    }
    roles
}

/// Sorts hosts by a hash over `salt` and their names, the highest first.
pub(super) fn ranked(salt: &str, hosts: &[HostId]) -> Vec<HostId> {
    let mut ranked = hosts.to_vec();
    ranked.sort_by_cached_key(|h| (std::cmp::Reverse(weight(salt, h)), h.clone()));
    ranked
}

fn weight(salt: &str, host: &HostId) -> u64 {
    let mut buf = Vec::with_capacity(64);
    buf.extend_from_slice(salt.as_bytes());
    buf.push(b'/');
    buf.extend_from_slice(host.as_str().as_bytes());
    xxh3_64(&buf)
}

/// The host that feeds the one at `place`, and the one that stands by; both rank higher.
fn feeders(cfg: &Config, ranked: &[HostId], place: usize) -> Vec<HostId> {
    let below = place - cfg.relays.min(place);
    let first = below / cfg.fan_out.max(1);
    let second = if first + 1 < place { first + 1 } else { 0 };
    let mut feeders = vec![ranked[first].clone()];
    if second != first {
        feeders.push(ranked[second].clone());
    }
    feeders
}

/// How many levels of hosts stand below the one at `place` among `hosts`.
fn levels(cfg: &Config, place: usize, hosts: usize) -> u32 {
    let mut levels = 0;
    let mut first = cfg.relays + place * cfg.fan_out.max(1);
    while first < hosts {
        levels += 1;
        first = cfg.relays + first * cfg.fan_out.max(1);
    }
    levels
}

/// Who watches `me`, and whom `me` watches.
fn watch(cfg: &Config, me: &HostId, mates: &[HostId]) -> (BTreeSet<HostId>, BTreeSet<HostId>) {
    let others = || mates.iter().filter(|h| *h != me);
    if mates.len() <= cfg.small_domain {
        let all: BTreeSet<HostId> = others().cloned().collect();
        return (all.clone(), all);
    }
    let watchers = watchers_of(cfg, me, mates);
    let watched = others().filter(|h| watchers_of(cfg, h, mates).contains(me));
    (watchers.clone(), watched.cloned().collect())
}

fn watchers_of(cfg: &Config, host: &HostId, mates: &[HostId]) -> BTreeSet<HostId> {
    let others = mates.iter().filter(|h| *h != host);
    let mut weighed: Vec<(u64, &HostId)> = others.map(|h| (weight(host.as_str(), h), h)).collect();
    let keep = cfg.watchers.min(weighed.len());
    if keep < weighed.len() {
        weighed.select_nth_unstable_by(keep, |a, b| b.cmp(a));
    }
    weighed[..keep].iter().map(|(_, h)| (*h).clone()).collect()
}

/// One relay of each other domain; which one depends on `me`, so that they share the work.
fn far(cfg: &Config, me: &HostId, domain: &DomainId, able: &Able) -> Vec<HostId> {
    let others = able.iter().filter(|(d, _)| *d != domain);
    let pick = |(d, hosts): (&DomainId, &Vec<HostId>)| {
        let mut relays = ranked(d.as_str(), hosts);
        relays.truncate(cfg.relays);
        ranked(me.as_str(), &relays).into_iter().next()
    };
    others.filter_map(pick).collect()
}
