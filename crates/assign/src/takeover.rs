//! When a host takes over as the granting host.
//!
//! Any host may; of several that try at once, the store lets one succeed. A needless takeover is
//! safe but costs time: until the previous granting host has stopped for certain, keys of an
//! upstream that fails meanwhile can't go to others.

use std::time::Duration;

use ids::{Incarnation, Timestamp};

use crate::row::HostIncarnation;

/// Settings of [`TakeoverMonitor`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverSettings {
    /// Time without a heartbeat reply of the granting host after which it is replaced: three
    /// heartbeats.
    ///
    /// The last grants that it sent must outlast this time, a commit and the first renewals.
    pub heartbeat_timeout: Duration,
    /// Age of the granting host's last read of the store at which a host that can read the store
    /// replaces it: twice the usual age.
    pub max_read_age: Duration,
    /// Unanswered heartbeats after which the granting host may count as unresponsive: a host that
    /// was paused itself, or busy with something else, has not sent them.
    pub min_unanswered: u32,
    /// Time for which a host must have read the store again before it treats the granting host as
    /// unresponsive: a heartbeat and its reply. Otherwise a host that was cut off itself would, on
    /// its return, replace a host that granted all the time.
    pub min_read_time: Duration,
    /// Takeover delay of a host for each host before it: time for that one's commit and for the
    /// notice of it.
    ///
    /// Hosts that all try at once each make a call to the store; at 295 hosts this made 70 to 200
    /// calls at each change, which delayed the ones that matter.
    pub delay_per_host: Duration,
    /// Number of hosts that try one after the other; all further hosts try together after them.
    pub staggered_hosts: u32,
    /// Longest random part of the takeover delay of those further hosts.
    pub max_random_delay: Duration,
}

impl TakeoverSettings {
    /// Returns the takeover delay of a host with `rank` hosts before it, where `fraction` is a
    /// random number between zero and one.
    #[must_use]
    pub fn takeover_delay(&self, rank: usize, fraction: f64) -> Duration {
        let before = u32::try_from(rank)
            .unwrap_or(u32::MAX)
            .min(self.staggered_hosts);
        let random_delay = if before == self.staggered_hosts {
            self.max_random_delay.mul_f64(fraction)
        } else {
            Duration::ZERO
        };
        self.delay_per_host * before + random_delay
    }
}

impl Default for TakeoverSettings {
    fn default() -> Self {
        Self {
            heartbeat_timeout: Duration::from_millis(1_200),
            max_read_age: Duration::from_millis(2_500),
            min_unanswered: 3,
            min_read_time: Duration::from_millis(450),
            delay_per_host: Duration::from_millis(70),
            staggered_hosts: 8,
            max_random_delay: Duration::from_millis(140),
        }
    }
}

/// What the granting host reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GranterStatus {
    /// The incarnation that reports.
    pub incarnation: Incarnation,
    /// Whether it no longer grants and never will again.
    pub has_stopped: bool,
    /// Age of its last read of the store.
    pub read_age: Option<Duration>,
    /// Number of owners of keys that it does not reach, although other hosts do.
    pub unreachable_owners: usize,
}

/// Reason for a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverReason {
    /// Whether the granter has ended or stopped for certain.
    pub has_ended: bool,
}

/// What a host knows when it decides whether to take over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecisionContext {
    /// The incarnation that the granting host announced since the row named it, if any.
    pub newest: Option<Incarnation>,
    /// How long this host has been reading the store.
    pub reads_for: Duration,
    /// Delay that differs from host to host, so that one tries first.
    pub takeover_delay: Duration,
    /// Number of owners of keys that this host does not reach, although other hosts do.
    pub unreachable_owners: usize,
}

/// Tracks whether the granting host is alive, can read the store and reaches the owners of keys.
#[derive(Debug, Clone)]
pub struct TakeoverMonitor {
    cfg: TakeoverSettings,
    granter: Option<HostIncarnation>,
    granter_since: Timestamp,
    last_report: Option<(Timestamp, GranterStatus)>,
    /// Heartbeats since then that had no reply.
    unanswered: u32,
    /// The latest time at which another host had a reply of the granter.
    peer_reported_at: Timestamp,
    /// When this host learned that the granter has ended or stopped.
    ended_since: Option<Timestamp>,
    /// When this host learned that the granter reaches fewer owners than itself.
    unreachable_since: Option<Timestamp>,
}

impl TakeoverMonitor {
    /// Creates a monitor without a granting host.
    #[must_use]
    pub fn new(cfg: TakeoverSettings) -> Self {
        Self {
            cfg,
            granter: None,
            granter_since: Timestamp::ZERO,
            last_report: None,
            unanswered: 0,
            peer_reported_at: Timestamp::ZERO,
            ended_since: None,
            unreachable_since: None,
        }
    }

    /// Sets the granter that the row names; returns whether it changed.
    pub fn set_granter(&mut self, now: Timestamp, granter: &HostIncarnation) -> bool {
        if self.granter.as_ref() == Some(granter) {
            return false;
        }
        self.granter = Some(granter.clone());
        self.granter_since = now;
        self.last_report = None;
        self.unanswered = 0;
        self.ended_since = None;
        self.unreachable_since = None;
        true
    }

    /// Records a report of the host that the row names as granter.
    pub fn granter_reported(&mut self, now: Timestamp, status: GranterStatus) {
        self.last_report = Some((now, status));
        self.unanswered = 0;
    }

    /// Records a heartbeat to the host that the row names as granter.
    pub fn heartbeat_sent(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Returns whether the granting host has left so many heartbeats unanswered that other hosts
    /// should be asked whether they have replies from it.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.unanswered + 1 >= self.cfg.min_unanswered
    }

    /// Returns how long ago the granter that the row names last replied, if it has.
    #[must_use]
    pub fn last_heard(&self, now: Timestamp) -> Option<(Incarnation, Duration)> {
        let granter = self.granter.as_ref()?;
        let (at, status) = self.last_report?;
        (status.incarnation == granter.incarnation).then(|| (status.incarnation, now.since(at)))
    }

    /// Records that another host had a reply of the host incarnation `incarnation` this long ago.
    ///
    /// A host whose link or processor is saturated gets no replies; each takeover for that reason
    /// made keys wait for up to fourteen seconds.
    pub fn reported_by_peer(&mut self, now: Timestamp, incarnation: Incarnation, ago: Duration) {
        let granter = self.granter.as_ref().map(|granter| granter.incarnation);
        if granter == Some(incarnation) {
            self.peer_reported_at = self.peer_reported_at.max(now - ago);
        }
    }

    /// Returns whether the granting host does not reach owners of which this host reaches more: it
    /// can't renew their grants.
    fn is_cut_off(&mut self, now: Timestamp, ctx: &DecisionContext) -> bool {
        let unreachable = self
            .last_report
            .map_or(0, |(_, status)| status.unreachable_owners);
        if unreachable <= ctx.unreachable_owners {
            self.unreachable_since = None;
            return false;
        }
        let since = *self.unreachable_since.get_or_insert(now);
        now.since(since) >= ctx.takeover_delay
    }

    /// Decides whether to take over.
    pub fn decide(&mut self, now: Timestamp, ctx: &DecisionContext) -> Option<TakeoverReason> {
        let DecisionContext {
            newest,
            reads_for,
            takeover_delay,
            ..
        } = *ctx;
        let granter = self.granter.clone()?;
        let reported = self.last_report.map(|(_, status)| status.incarnation);
        // Any other incarnation, even a lower number: incarnations come from a clock that may have
        // been set back.
        let mut incarnations = newest.into_iter().chain(reported);
        let replaced = incarnations.any(|incarnation| incarnation != granter.incarnation);
        let stopped = self
            .last_report
            .is_some_and(|(_, status)| status.has_stopped);
        if replaced || stopped {
            let since = *self.ended_since.get_or_insert(now);
            return (now.since(since) >= takeover_delay)
                .then_some(TakeoverReason { has_ended: true });
        }
        let is_cut_off = self.is_cut_off(now, ctx);
        let last = self
            .last_report
            .map_or(self.granter_since, |(at, _)| at)
            .max(self.peer_reported_at);
        let has_sent =
            self.unanswered >= self.cfg.min_unanswered && reads_for >= self.cfg.min_read_time;
        let unresponsive =
            has_sent && now.since(last) > self.cfg.heartbeat_timeout + takeover_delay;
        // After an outage of the store for all hosts, the first host to read must not treat the
        // others as unable to.
        let cannot_read = self.last_report.is_some_and(|(_, status)| {
            let too_old =
                |age: Duration| age.min(reads_for) > self.cfg.max_read_age + takeover_delay;
            // A granter that has just been named may not have read anything yet.
            let granter_for = now.since(self.granter_since).min(reads_for);
            too_old(status.read_age.unwrap_or(granter_for))
        });
        (unresponsive || cannot_read || is_cut_off).then_some(TakeoverReason { has_ended: false })
    }
}
