//! Liveness of the other hosts, as observed by this host.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{DomainId, HostId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::HostRef;

/// Liveness of one host. Times are uptimes unless stated otherwise.
#[derive(Debug, Clone)]
struct Heard {
    host: HostRef,
    first: Timestamp,
    /// Last direct contact.
    direct: Option<Timestamp>,
    /// Last contact, direct or reported by other hosts.
    any: Timestamp,
    /// Latest local clock reading that the host echoed.
    echo: Option<Timestamp>,
    leaving: bool,
    gone: bool,
    /// Time of the first probe that has not been answered since.
    asked: Option<Timestamp>,
}

/// Liveness of the other hosts.
///
/// A timeout counts only the time in which the local process ran, so that its own pauses are not
/// attributed to other hosts. All times here are readings of this uptime, which starts at zero and
/// stands still during a pause.
#[derive(Debug)]
pub(crate) struct Roster {
    me: HostRef,
    hosts: BTreeMap<HostId, Heard>,
    last_step: Option<Timestamp>,
    awake: Timestamp,
}

impl Roster {
    pub(crate) fn new(me: HostRef) -> Self {
        Self {
            me,
            hosts: BTreeMap::new(),
            last_step: None,
            awake: Timestamp::ZERO,
        }
    }

    /// Records that the process runs at `now`. A gap above `pause` does not count.
    pub(crate) fn runs(&mut self, now: Timestamp, pause: Duration) {
        let last = self.last_step.replace(now).unwrap_or(now);
        debug_assert!(now >= last, "the clock ran backwards");
        let gap = now.since(last);
        if gap <= pause {
            self.awake += gap;
        }
    }

    /// Returns the time for which the local process has run, without its pauses.
    pub(crate) const fn awake(&self) -> Timestamp {
        self.awake
    }

    /// Records contact with a host, direct or reported by other hosts.
    pub(crate) fn heard(&mut self, from: &HostRef, direct: bool) {
        let now = self.awake;
        if from.host == self.me.host {
            return;
        }
        let fresh = || Heard {
            host: from.clone(),
            first: now,
            direct: direct.then_some(now),
            any: now,
            echo: None,
            leaving: false,
            gone: false,
            asked: None,
        };
        let h = self.hosts.entry(from.host.clone()).or_insert_with(fresh);
        if from.incarnation < h.host.incarnation {
            return;
        }
        if from.incarnation > h.host.incarnation {
            *h = fresh();
            return;
        }
        if h.gone && !direct {
            return;
        }
        h.gone = false;
        h.any = now;
        h.asked = None;
        if direct {
            h.direct = Some(now);
        }
    }

    /// Records a local clock reading that a host echoed.
    pub(crate) fn echoed(&mut self, from: &HostRef, echo: Timestamp) {
        if let Some(h) = self.of(from) {
            h.echo = h.echo.max(Some(echo));
        }
    }

    /// Records whether a host is leaving.
    pub(crate) fn leaving(&mut self, from: &HostRef, leaving: bool) {
        if let Some(h) = self.of(from) {
            h.leaving = leaving;
        }
    }

    /// Records that an incarnation of a host has ended.
    pub(crate) fn gone(&mut self, host: &HostRef) {
        self.heard(host, false);
        if let Some(h) = self.of(host) {
            h.gone = true;
        }
    }

    fn of(&mut self, host: &HostRef) -> Option<&mut Heard> {
        let h = self.hosts.get_mut(&host.host)?;
        h.host.is(host).then_some(h)
    }

    fn get(&self, host: &HostRef) -> Option<&Heard> {
        let h = self.hosts.get(&host.host)?;
        h.host.is(host).then_some(h)
    }

    /// Returns whether an incarnation of a host has ended.
    pub(crate) fn is_over(&self, host: &HostRef) -> bool {
        if host.host == self.me.host {
            return host.incarnation < self.me.incarnation;
        }
        let Some(h) = self.hosts.get(&host.host) else {
            return false;
        };
        h.host.incarnation > host.incarnation || (h.host.is(host) && h.gone)
    }

    /// Returns whether a host reported that it is leaving.
    pub(crate) fn is_leaving(&self, host: &HostRef) -> bool {
        self.get(host).is_some_and(|h| h.leaving)
    }

    /// Returns the uptime at the last direct contact with a host.
    pub(crate) fn direct(&self, host: &HostRef) -> Option<Timestamp> {
        self.get(host).and_then(|h| h.direct)
    }

    /// Returns whether this host has had no direct contact with a host for `bound`, counted from
    /// the uptime `since` at the earliest.
    pub(crate) fn silent(&self, host: &HostRef, since: Timestamp, bound: Duration) -> bool {
        if self.is_over(host) {
            return true;
        }
        let heard = self.direct(host).unwrap_or(Timestamp::ZERO);
        self.awake.since(heard.max(since)) >= bound
    }

    /// Returns whether no host has reported contact with a host for `bound`.
    pub(crate) fn forgotten(&self, host: &HostRef, since: Timestamp, bound: Duration) -> bool {
        if self.is_over(host) {
            return true;
        }
        let any = self.get(host).map_or(Timestamp::ZERO, |h| h.any);
        self.awake.since(any.max(since)) >= bound
    }

    /// Records that a host is probed, and returns whether probes have been unanswered for `bound`.
    pub(crate) fn ask(&mut self, host: &HostRef, bound: Duration) -> bool {
        let now = self.awake;
        if self.is_over(host) {
            return true;
        }
        if self.get(host).is_none() {
            let h = Heard {
                host: host.clone(),
                first: now,
                direct: None,
                any: Timestamp::ZERO,
                echo: None,
                leaving: false,
                gone: false,
                asked: Some(now),
            };
            self.hosts.insert(host.host.clone(), h);
            return false;
        }
        let Some(h) = self.of(host) else {
            return false;
        };
        let asked = *h.asked.get_or_insert(now);
        now.since(asked) >= bound
    }

    /// Returns the latest local clock reading echoed by a host of `domain`, or by any host.
    pub(crate) fn best_echo(&self, domain: Option<&DomainId>) -> Option<Timestamp> {
        let within = |h: &&Heard| domain.is_none_or(|d| h.host.domain == *d);
        self.hosts
            .values()
            .filter(within)
            .filter_map(|h| h.echo)
            .max()
    }

    /// Returns whether this host ever had contact with a host of `domain`, or with any host, that
    /// is not leaving.
    pub(crate) fn knows_any(&self, domain: Option<&DomainId>) -> bool {
        let within = |h: &Heard| domain.is_none_or(|d| h.host.domain == *d);
        self.hosts.values().any(|h| within(h) && !h.leaving)
    }

    /// Iterates over the other hosts that are live and not leaving.
    ///
    /// A host without direct contact is reported by other hosts, which takes longer.
    pub(crate) fn alive(
        &self,
        direct: Duration,
        through_others: Duration,
    ) -> impl Iterator<Item = &HostRef> + Clone {
        let now = self.awake;
        let up = move |h: &&Heard| {
            let bound = h.direct.map_or(through_others, |_| direct);
            !h.gone && !h.leaving && now.since(h.any) < bound
        };
        self.hosts.values().filter(up).map(|h| &h.host)
    }

    /// Returns whether the first contact with a host was at least `span` ago.
    pub(crate) fn is_settled(&self, host: &HostRef, span: Duration) -> bool {
        self.get(host)
            .is_some_and(|h| self.awake.since(h.first) >= span)
    }
}

/// Returns the host with the highest rendezvous weight for `label`.
pub(crate) fn winner<'a>(
    label: &str,
    hosts: impl Iterator<Item = &'a HostRef>,
) -> Option<&'a HostRef> {
    hosts.max_by_key(|h| (weight(label, h.host.as_str()), &h.host))
}

/// Returns the rendezvous weight of `name` for `label`.
pub(crate) fn weight(label: &str, name: &str) -> u64 {
    // Names contain no slash, so distinct pairs give distinct texts.
    xxh3_64(format!("{label}/{name}").as_bytes())
}
