//! When a host takes over as the granting host.
//!
//! Any host may; of several that try at once, the store lets one succeed. A needless takeover is
//! safe but costs time: until the previous granting host has stopped for certain, keys of an
//! upstream that fails meanwhile can't go to others.

use std::time::Duration;

use ids::{Incarnation, Timestamp};

use crate::row::Run;

/// Settings of [`Succession`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessionSettings {
    /// Time without a heartbeat reply of the granting host after which it is replaced: three
    /// heartbeats.
    ///
    /// The last grants that it sent must outlast this time, a commit and the first renewals.
    pub silence: Duration,
    /// Age of the granting host's last read of the store at which a host that can read the store
    /// replaces it: twice the usual age.
    pub blind: Duration,
    /// Unanswered heartbeats after which the granting host may count as unresponsive: a host that
    /// was paused itself, or busy with something else, has sent none.
    pub unanswered: u32,
    /// Time for which a host must have read the store again before it treats the granting host as
    /// unresponsive: a heartbeat and its reply. Otherwise a host that was cut off itself would, on
    /// its return, replace a host that granted all the time.
    pub back_for: Duration,
    /// Takeover delay of a host for each host before it: time for that one's commit and for the
    /// notice of it.
    ///
    /// Hosts that all try at once each make a call to the store; at 295 hosts this made 70 to 200
    /// calls at each change, which delayed the ones that matter.
    pub each_before: Duration,
    /// Number of hosts that try one after the other; all further hosts try together after them.
    pub in_turn: u32,
    /// Longest random part of the takeover delay of those further hosts.
    pub drawn: Duration,
}

impl SuccessionSettings {
    /// Returns the takeover delay of a host with `rank` hosts before it, where `part` is a random
    /// number between zero and one.
    #[must_use]
    pub fn patience(&self, rank: usize, part: f64) -> Duration {
        let before = u32::try_from(rank).unwrap_or(u32::MAX).min(self.in_turn);
        let drawn = if before == self.in_turn {
            self.drawn.mul_f64(part)
        } else {
            Duration::ZERO
        };
        self.each_before * before + drawn
    }
}

impl Default for SuccessionSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1_200),
            blind: Duration::from_millis(2_500),
            unanswered: 3,
            back_for: Duration::from_millis(450),
            each_before: Duration::from_millis(70),
            in_turn: 8,
            drawn: Duration::from_millis(140),
        }
    }
}

/// What the granting host reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Word {
    /// The incarnation that reports.
    pub incarnation: Incarnation,
    /// Whether it no longer grants and never will again.
    pub has_stopped: bool,
    /// Age of its last read of the store.
    pub evidence: Option<Duration>,
}

/// Reason for a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOver {
    /// Whether the granter has ended or stopped for certain.
    pub is_over: bool,
}

/// Tracks whether the granting host is alive and can read the store.
#[derive(Debug, Clone)]
pub struct Succession {
    cfg: SuccessionSettings,
    granter: Option<Run>,
    granter_since: Timestamp,
    last_report: Option<(Timestamp, Word)>,
    /// Heartbeats since then that had no reply.
    unanswered: u32,
    /// The latest time at which another host had a reply of the granter.
    peer_reported_at: Timestamp,
    /// When this host learned that the granter has ended or stopped.
    ended_since: Option<Timestamp>,
}

impl Succession {
    /// Creates a monitor without a granting host.
    #[must_use]
    pub fn new(cfg: SuccessionSettings) -> Self {
        Self {
            cfg,
            granter: None,
            granter_since: Timestamp::ZERO,
            last_report: None,
            unanswered: 0,
            peer_reported_at: Timestamp::ZERO,
            ended_since: None,
        }
    }

    /// Sets the granter that the row names; returns whether it changed.
    pub fn granter(&mut self, now: Timestamp, run: &Run) -> bool {
        if self.granter.as_ref() == Some(run) {
            return false;
        }
        self.granter = Some(run.clone());
        self.granter_since = now;
        self.last_report = None;
        self.unanswered = 0;
        self.ended_since = None;
        true
    }

    /// Records a report of the host that the row names as granter.
    pub fn heard(&mut self, now: Timestamp, word: Word) {
        self.last_report = Some((now, word));
        self.unanswered = 0;
    }

    /// Records a heartbeat to the host that the row names as granter.
    pub fn asked(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Returns whether the granting host has left so many heartbeats unanswered that other hosts
    /// should be asked whether they have replies from it.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.unanswered + 1 >= self.cfg.unanswered
    }

    /// Returns how long ago the granter that the row names last replied, if it has.
    #[must_use]
    pub fn heard_ago(&self, now: Timestamp) -> Option<(Incarnation, Duration)> {
        let granter = self.granter.as_ref()?;
        let (at, word) = self.last_report?;
        (word.incarnation == granter.incarnation).then(|| (word.incarnation, now.since(at)))
    }

    /// Records that another host had a reply of the host incarnation `incarnation` this long ago.
    ///
    /// A host whose link or processor is saturated gets no replies; each takeover for that reason
    /// made keys wait for up to fourteen seconds.
    pub fn vouched(&mut self, now: Timestamp, incarnation: Incarnation, ago: Duration) {
        let granter = self.granter.as_ref().map(|run| run.incarnation);
        if granter == Some(incarnation) {
            self.peer_reported_at = self.peer_reported_at.max(now - ago);
        }
    }

    /// Decides whether to take over, at a host that has been reading the store for `reads_for`.
    ///
    /// `newest` is the incarnation that the granting host announced since the row named it, if any.
    /// `patience` differs from host to host, so that one tries first.
    pub fn decide(
        &mut self,
        now: Timestamp,
        newest: Option<Incarnation>,
        reads_for: Duration,
        patience: Duration,
    ) -> Option<TakeOver> {
        let granter = self.granter.as_ref()?;
        let reported = self.last_report.map(|(_, word)| word.incarnation);
        // Any other incarnation, even a lower number: incarnations come from a clock that may have
        // been set back.
        let mut incarnations = newest.into_iter().chain(reported);
        let replaced = incarnations.any(|incarnation| incarnation != granter.incarnation);
        let stopped = self.last_report.is_some_and(|(_, word)| word.has_stopped);
        if replaced || stopped {
            let since = *self.ended_since.get_or_insert(now);
            return (now.since(since) >= patience).then_some(TakeOver { is_over: true });
        }
        let last = self
            .last_report
            .map_or(self.granter_since, |(at, _)| at)
            .max(self.peer_reported_at);
        let has_sent = self.unanswered >= self.cfg.unanswered && reads_for >= self.cfg.back_for;
        let unresponsive = has_sent && now.since(last) > self.cfg.silence + patience;
        // After an outage of the store for all hosts, the first host to read must not treat the
        // others as unable to.
        let cannot_read = self.last_report.is_some_and(|(_, word)| {
            let too_old = |age: Duration| age.min(reads_for) > self.cfg.blind + patience;
            // A granter that has just been named may not have read anything yet.
            let granter_for = now.since(self.granter_since).min(reads_for);
            too_old(word.evidence.unwrap_or(granter_for))
        });
        (unresponsive || cannot_read).then_some(TakeOver { is_over: false })
    }
}
