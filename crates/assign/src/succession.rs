//! When a host takes the granting of keys over from another.
//!
//! Any host may; the store lets one of those that try at once succeed. Taking over needlessly is
//! safe but costs time: until the former granting host has surely stopped, keys of an upstream
//! that is lost meanwhile can't go to others.

use std::time::Duration;

use ids::{Incarnation, Timestamp};

use crate::row::Run;

/// Settings of [`Succession`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessionSettings {
    /// Time without a word of the granting host after which it is replaced: three heartbeats.
    ///
    /// The grants that it gave last must outlive this, a commit and the first renewals.
    pub silence: Duration,
    /// Age of the granting host's knowledge of the store at which it is replaced by a host that
    /// can read the store: twice what it usually is.
    pub blind: Duration,
    /// Heartbeats without an answer that make a silence: a host that stood still itself, or was busy
    /// with something else, has not asked.
    pub unanswered: u32,
    /// Time for which a host must have known the store's state again before it takes silence for one:
    /// a heartbeat and its answer. One that was cut off itself would else replace, on its return, the host that
    /// granted all the while.
    pub back_for: Duration,
    /// Further patience of a host for each one that comes before it: time for that one's commit and
    /// for the word of it.
    ///
    /// Hosts that all try at once each make a call to the store; at 295 hosts that were 70 to 200
    /// calls at each change, which queue up before the ones that matter.
    pub each_before: Duration,
    /// Hosts that try one after the other; the others try together after them.
    pub in_turn: u32,
    /// Longest part of the patience that those others draw.
    pub drawn: Duration,
}

impl SuccessionSettings {
    /// Returns the patience of a host before which `rank` others try, and that drew `part` between
    /// zero and one.
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

/// What the granting host says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Word {
    /// The run that speaks.
    pub incarnation: Incarnation,
    /// It grants no more and never will again.
    pub has_stopped: bool,
    /// Age of its knowledge of the store.
    pub evidence: Option<Duration>,
}

/// A reason to take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOver {
    /// The run that granted has surely ended or stopped.
    pub is_over: bool,
}

/// What a host knows of the one that grants.
#[derive(Debug, Clone)]
pub struct Succession {
    cfg: SuccessionSettings,
    granter: Option<Run>,
    since: Timestamp,
    heard: Option<(Timestamp, Word)>,
    /// Heartbeats since then that had no answer.
    unanswered: u32,
    /// When others last heard the granting run, as they say.
    vouched: Timestamp,
    /// Since when it is known that the granting run is over.
    over_since: Option<Timestamp>,
}

impl Succession {
    /// Knows no granting host yet.
    #[must_use]
    pub fn new(cfg: SuccessionSettings) -> Self {
        Self {
            cfg,
            granter: None,
            since: Timestamp::ZERO,
            heard: None,
            unanswered: 0,
            vouched: Timestamp::ZERO,
            over_since: None,
        }
    }

    /// Notes which run grants by the row; tells whether that is news.
    pub fn granter(&mut self, now: Timestamp, run: &Run) -> bool {
        if self.granter.as_ref() == Some(run) {
            return false;
        }
        self.granter = Some(run.clone());
        self.since = now;
        self.heard = None;
        self.unanswered = 0;
        self.over_since = None;
        true
    }

    /// Notes what the host that grants by the row said.
    pub fn heard(&mut self, now: Timestamp, word: Word) {
        self.heard = Some((now, word));
        self.unanswered = 0;
    }

    /// Notes a heartbeat to the host that grants by the row.
    pub fn asked(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Tells whether the granting host has left so many heartbeats without an answer that others
    /// should be asked whether they hear it.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.unanswered + 1 >= self.cfg.unanswered
    }

    /// Returns how long ago the run that grants by the row spoke, if it did.
    #[must_use]
    pub fn heard_ago(&self, now: Timestamp) -> Option<(Incarnation, Duration)> {
        let granter = self.granter.as_ref()?;
        let (at, word) = self.heard?;
        (word.incarnation == granter.incarnation).then(|| (word.incarnation, now.since(at)))
    }

    /// Notes that another host heard the run `incarnation` so long ago.
    ///
    /// A host whose link is full, or whose processor is, hears nobody; each one that took over for
    /// that reason made keys wait for up to fourteen seconds.
    pub fn vouched(&mut self, now: Timestamp, incarnation: Incarnation, ago: Duration) {
        let grants = self.granter.as_ref().map(|run| run.incarnation);
        if grants == Some(incarnation) {
            self.vouched = self.vouched.max(now - ago);
        }
    }

    /// Decides, at a host that has read the store for the time `reads_for`.
    ///
    /// `newest` is the run that the granting host announced since the row named it, if it did, and
    /// `patience` differs from host to host, so that one comes first.
    pub fn decide(
        &mut self,
        now: Timestamp,
        newest: Option<Incarnation>,
        reads_for: Duration,
        patience: Duration,
    ) -> Option<TakeOver> {
        let granter = self.granter.as_ref()?;
        let said = self.heard.map(|(_, word)| word.incarnation);
        // Another run, whatever its number: that comes from a clock that may have been set back.
        let mut runs = newest.into_iter().chain(said);
        let over = runs.any(|run| run != granter.incarnation);
        let stopped = self.heard.is_some_and(|(_, word)| word.has_stopped);
        if over || stopped {
            let since = *self.over_since.get_or_insert(now);
            return (now.since(since) >= patience).then_some(TakeOver { is_over: true });
        }
        let last = self
            .heard
            .map_or(self.since, |(at, _)| at)
            .max(self.vouched);
        let has_asked = self.unanswered >= self.cfg.unanswered && reads_for >= self.cfg.back_for;
        let silent = has_asked && now.since(last) > self.cfg.silence + patience;
        // After an outage for all, whoever reads first must not take the others for blind.
        let blind = self.heard.is_some_and(|(_, word)| {
            let too_old = |age: Duration| age.min(reads_for) > self.cfg.blind + patience;
            // One that has just been named may not have read anything yet.
            let named_for = now.since(self.since).min(reads_for);
            too_old(word.evidence.unwrap_or(named_for))
        });
        (silent || blind).then_some(TakeOver { is_over: false })
    }
}
