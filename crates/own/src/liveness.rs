//! Liveness of the other hosts, as observed by this host.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{DomainId, HostId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::HostRef;

/// Liveness of one host. Times are uptimes unless stated otherwise.
#[derive(Debug, Clone)]
struct HostRecord {
    host: HostRef,
    first_contact: Timestamp,
    /// Last direct contact.
    last_direct: Option<Timestamp>,
    /// Last contact, direct or reported by other hosts.
    last_contact: Timestamp,
    /// Latest local clock reading that the host echoed.
    echo: Option<Timestamp>,
    leaving: bool,
    ended: bool,
    /// Time of the first probe that has not been answered since.
    probed_since: Option<Timestamp>,
}

/// Liveness of the other hosts.
///
/// A timeout counts only the time in which the local process ran, so that its own pauses are not
/// attributed to other hosts. All times here are readings of this uptime, which starts at zero and
/// stands still during a pause.
#[derive(Debug)]
pub(crate) struct HostLiveness {
    me: HostRef,
    hosts: BTreeMap<HostId, HostRecord>,
    last_step: Option<Timestamp>,
    uptime: Timestamp,
}

impl HostLiveness {
    pub(crate) fn new(me: HostRef) -> Self {
        Self {
            me,
            hosts: BTreeMap::new(),
            last_step: None,
            uptime: Timestamp::ZERO,
        }
    }

    /// Records that the process runs at `now`. A gap above `pause` does not count.
    pub(crate) fn advance_uptime(&mut self, now: Timestamp, pause: Duration) {
        let last = self.last_step.replace(now).unwrap_or(now);
        debug_assert!(now >= last, "the clock went backwards");
        let gap = now.since(last);
        if gap <= pause {
            self.uptime += gap;
        }
    }

    /// Returns the time for which the local process has run, without its pauses.
    pub(crate) const fn uptime(&self) -> Timestamp {
        self.uptime
    }

    /// Records contact with a host, direct or reported by other hosts.
    pub(crate) fn record_contact(&mut self, from: &HostRef, direct: bool) {
        let now = self.uptime;
        if from.host == self.me.host {
            return;
        }
        let fresh = || HostRecord {
            host: from.clone(),
            first_contact: now,
            last_direct: direct.then_some(now),
            last_contact: now,
            echo: None,
            leaving: false,
            ended: false,
            probed_since: None,
        };
        let h = self.hosts.entry(from.host.clone()).or_insert_with(fresh);
        if from.incarnation < h.host.incarnation {
            return;
        }
        if from.incarnation > h.host.incarnation {
            *h = fresh();
            return;
        }
        if h.ended && !direct {
            return;
        }
        h.ended = false;
        h.last_contact = now;
        h.probed_since = None;
        if direct {
            h.last_direct = Some(now);
        }
    }

    /// Records a local clock reading that a host echoed.
    pub(crate) fn record_echo(&mut self, from: &HostRef, echo: Timestamp) {
        if let Some(h) = self.get_mut(from) {
            h.echo = h.echo.max(Some(echo));
        }
    }

    /// Records whether a host is leaving.
    pub(crate) fn set_leaving(&mut self, from: &HostRef, leaving: bool) {
        if let Some(h) = self.get_mut(from) {
            h.leaving = leaving;
        }
    }

    /// Records that an incarnation of a host has ended.
    pub(crate) fn record_end(&mut self, host: &HostRef) {
        self.record_contact(host, false);
        if let Some(h) = self.get_mut(host) {
            h.ended = true;
        }
    }

    fn get_mut(&mut self, host: &HostRef) -> Option<&mut HostRecord> {
        let h = self.hosts.get_mut(&host.host)?;
        h.host.is_same(host).then_some(h)
    }

    fn get(&self, host: &HostRef) -> Option<&HostRecord> {
        let h = self.hosts.get(&host.host)?;
        h.host.is_same(host).then_some(h)
    }

    /// Returns whether an incarnation of a host has ended.
    pub(crate) fn has_ended(&self, host: &HostRef) -> bool {
        if host.host == self.me.host {
            return host.incarnation < self.me.incarnation;
        }
        let Some(h) = self.hosts.get(&host.host) else {
            return false;
        };
        h.host.incarnation > host.incarnation || (h.host.is_same(host) && h.ended)
    }

    /// Returns whether a host reported that it is leaving.
    pub(crate) fn is_leaving(&self, host: &HostRef) -> bool {
        self.get(host).is_some_and(|h| h.leaving)
    }

    /// Returns the uptime at the last direct contact with a host.
    pub(crate) fn last_direct(&self, host: &HostRef) -> Option<Timestamp> {
        self.get(host).and_then(|h| h.last_direct)
    }

    /// Returns whether this host has had no direct contact with a host for `bound`, counted from
    /// the uptime `since` at the earliest.
    pub(crate) fn is_unresponsive(
        &self,
        host: &HostRef,
        since: Timestamp,
        bound: Duration,
    ) -> bool {
        if self.has_ended(host) {
            return true;
        }
        let last_direct = self.last_direct(host).unwrap_or(Timestamp::ZERO);
        self.uptime.since(last_direct.max(since)) >= bound
    }

    /// Returns whether there has been no contact with a host, direct or reported by other hosts,
    /// for `bound`.
    pub(crate) fn is_unreachable(&self, host: &HostRef, since: Timestamp, bound: Duration) -> bool {
        if self.has_ended(host) {
            return true;
        }
        let last_contact = self.get(host).map_or(Timestamp::ZERO, |h| h.last_contact);
        self.uptime.since(last_contact.max(since)) >= bound
    }

    /// Records that a host is probed, and returns whether probes have been unanswered for `bound`.
    pub(crate) fn probe(&mut self, host: &HostRef, bound: Duration) -> bool {
        let now = self.uptime;
        if self.has_ended(host) {
            return true;
        }
        if self.get(host).is_none() {
            let h = HostRecord {
                host: host.clone(),
                first_contact: now,
                last_direct: None,
                last_contact: Timestamp::ZERO,
                echo: None,
                leaving: false,
                ended: false,
                probed_since: Some(now),
            };
            self.hosts.insert(host.host.clone(), h);
            return false;
        }
        let Some(h) = self.get_mut(host) else {
            return false;
        };
        let probed_since = *h.probed_since.get_or_insert(now);
        now.since(probed_since) >= bound
    }

    /// Returns the latest local clock reading echoed by a host of `domain`, or by any host.
    pub(crate) fn latest_echo(&self, domain: Option<&DomainId>) -> Option<Timestamp> {
        let within = |h: &&HostRecord| domain.is_none_or(|d| h.host.domain == *d);
        self.hosts
            .values()
            .filter(within)
            .filter_map(|h| h.echo)
            .max()
    }

    /// Returns whether a host of `domain`, or any host, is known and not leaving.
    pub(crate) fn has_known_host(&self, domain: Option<&DomainId>) -> bool {
        let within = |h: &HostRecord| domain.is_none_or(|d| h.host.domain == *d);
        self.hosts.values().any(|h| within(h) && !h.leaving)
    }

    /// Iterates over the other hosts that are live and not leaving.
    ///
    /// A host without direct contact is reported by other hosts, which takes longer.
    pub(crate) fn live_hosts(
        &self,
        direct: Duration,
        indirect: Duration,
    ) -> impl Iterator<Item = &HostRef> + Clone {
        let now = self.uptime;
        let live = move |h: &&HostRecord| {
            let bound = h.last_direct.map_or(indirect, |_| direct);
            !h.ended && !h.leaving && now.since(h.last_contact) < bound
        };
        self.hosts.values().filter(live).map(|h| &h.host)
    }

    /// Returns whether the first contact with a host was at least `span` ago.
    pub(crate) fn is_known_for(&self, host: &HostRef, span: Duration) -> bool {
        self.get(host)
            .is_some_and(|h| self.uptime.since(h.first_contact) >= span)
    }
}

/// Returns the host with the highest rendezvous weight for `label`.
pub(crate) fn rendezvous_winner<'a>(
    label: &str,
    hosts: impl Iterator<Item = &'a HostRef>,
) -> Option<&'a HostRef> {
    hosts.max_by_key(|h| (rendezvous_weight(label, h.host.as_str()), &h.host))
}

/// Returns the rendezvous weight of `name` for `label`.
pub(crate) fn rendezvous_weight(label: &str, name: &str) -> u64 {
    // Names contain no slash, so distinct pairs give distinct texts.
    xxh3_64(format!("{label}/{name}").as_bytes())
}
