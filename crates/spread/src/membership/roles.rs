//! Assigns roles: which hosts read the table, which relay to which others and which watch which
//! others. Roles are a function of the hosts seen alive.
//!
//! The hosts of a domain are ranked by a hash of their names. The first few are table readers;
//! every other host has a relay source that ranks higher, so that every host relays to a bounded
//! number. Hosts with different views assign roles differently for a moment, which costs a few more
//! messages and nothing else.

use std::collections::{BTreeMap, BTreeSet};

use ids::{DomainId, HostId};
use xxhash_rust::xxh3::xxh3_64;

use super::settings::MembershipSettings;

/// The roles of one host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// Rank among the table readers of the domain, if this host is one.
    pub(super) reader_rank: Option<usize>,
    /// Hosts that relay to this one, the preferred one first; empty for a table reader.
    pub(super) relay_sources: Vec<HostId>,
    /// Number of levels of hosts that this one relays to, directly or through others.
    pub(super) levels_below: u32,
    /// Other table readers of the domain; empty if this host is not one.
    pub(super) other_readers: Vec<HostId>,
    /// Hosts that watch this one, to which it sends heartbeats.
    pub(super) watchers: BTreeSet<HostId>,
    /// Hosts that this one watches.
    pub(super) watched: BTreeSet<HostId>,
    /// One table reader of each other domain; empty if this host is not a table reader.
    pub(super) remote_readers: Vec<HostId>,
    /// The live hosts of the domain for which the roles were computed.
    live_hosts: Vec<HostId>,
}

impl Roles {
    /// Returns the number of live hosts of the domain, including this one.
    pub(super) fn domain_size(&self) -> usize {
        self.live_hosts.len()
    }
}

/// The hosts that may be assigned a role, by domain; those of the own domain include this host.
pub(super) type EligibleHosts = BTreeMap<DomainId, Vec<HostId>>;

/// Computes the roles of `me`.
///
/// `alive` are all hosts of the domain that count as alive, whether or not they are eligible;
/// `previous` are the roles computed last.
pub(super) fn compute_roles(
    settings: &MembershipSettings,
    me: &HostId,
    domain: &DomainId,
    eligible: &EligibleHosts,
    alive: &[HostId],
    previous: &Roles,
) -> Roles {
    let candidates = eligible.get(domain).map_or(&[][..], Vec::as_slice);
    let ranked = ranked(domain.as_str(), candidates);
    let rank = ranked.iter().position(|h| h == me);
    let readers = &ranked[..settings.readers_per_domain.min(ranked.len())];
    let reader_rank = rank.filter(|r| *r < readers.len());
    // The watch sets are costly to compute and don't depend on hosts of other domains.
    let (watchers, watched) = if previous.live_hosts == alive {
        (previous.watchers.clone(), previous.watched.clone())
    } else {
        watch_sets(settings, me, alive)
    };
    let mut roles = Roles {
        reader_rank,
        levels_below: rank.map_or(0, |r| levels_below(settings, r, ranked.len())),
        watchers,
        watched,
        live_hosts: alive.to_vec(),
        ..Roles::default()
    };
    match (reader_rank, rank) {
        (Some(_), _) => {
            roles.other_readers = readers.iter().filter(|h| *h != me).cloned().collect();
            roles.remote_readers = remote_readers(settings, me, domain, eligible);
        }
        (None, Some(rank)) => roles.relay_sources = relay_sources(settings, &ranked, rank),
        // A leaving host has no role, but others still relay to it.
        (None, None) => roles.relay_sources = readers.iter().take(2).cloned().collect(),
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

/// Returns the preferred and the standby source of the host at `rank`; both rank higher.
fn relay_sources(settings: &MembershipSettings, ranked: &[HostId], rank: usize) -> Vec<HostId> {
    let below = rank - settings.readers_per_domain.min(rank);
    let first = below / settings.fan_out.max(1);
    let second = if first + 1 < rank { first + 1 } else { 0 };
    let mut relay_sources = vec![ranked[first].clone()];
    if second != first {
        relay_sources.push(ranked[second].clone());
    }
    relay_sources
}

/// Returns the number of levels of hosts below the one at `rank` among `hosts`.
fn levels_below(settings: &MembershipSettings, rank: usize, hosts: usize) -> u32 {
    let mut levels_below = 0;
    let mut first = settings.readers_per_domain + rank * settings.fan_out.max(1);
    while first < hosts {
        levels_below += 1;
        first = settings.readers_per_domain + first * settings.fan_out.max(1);
    }
    levels_below
}

/// Returns the hosts that watch `me`, and those that `me` watches.
fn watch_sets(
    settings: &MembershipSettings,
    me: &HostId,
    domain_hosts: &[HostId],
) -> (BTreeSet<HostId>, BTreeSet<HostId>) {
    let others = || domain_hosts.iter().filter(|h| *h != me);
    if domain_hosts.len() <= settings.small_domain {
        let all: BTreeSet<HostId> = others().cloned().collect();
        return (all.clone(), all);
    }
    let watchers = watchers_of(settings, me, domain_hosts);
    let watched = others().filter(|h| watchers_of(settings, h, domain_hosts).contains(me));
    (watchers.clone(), watched.cloned().collect())
}

fn watchers_of(
    settings: &MembershipSettings,
    host: &HostId,
    domain_hosts: &[HostId],
) -> BTreeSet<HostId> {
    let others = domain_hosts.iter().filter(|h| *h != host);
    let mut weighted: Vec<(u64, &HostId)> = others.map(|h| (weight(host.as_str(), h), h)).collect();
    let keep = settings.watchers.min(weighted.len());
    if keep < weighted.len() {
        weighted.select_nth_unstable_by(keep, |a, b| b.cmp(a));
    }
    weighted[..keep].iter().map(|(_, h)| (*h).clone()).collect()
}

/// Returns one table reader of each other domain. Which one depends on `me`, so that the readers
/// share the load.
fn remote_readers(
    settings: &MembershipSettings,
    me: &HostId,
    domain: &DomainId,
    eligible: &EligibleHosts,
) -> Vec<HostId> {
    let others = eligible.iter().filter(|(d, _)| *d != domain);
    let pick = |(d, hosts): (&DomainId, &Vec<HostId>)| {
        let mut readers = ranked(d.as_str(), hosts);
        readers.truncate(settings.readers_per_domain);
        ranked(me.as_str(), &readers).into_iter().next()
    };
    others.filter_map(pick).collect()
}
