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
    /// Longest part of a host's patience that it draws, so that one comes first.
    pub drawn: Duration,
    /// Further patience of a host while there is a stronger one.
    ///
    /// Where 200 upstreams own keys, granting takes some 600 calls and 200 heartbeats a second, more
    /// than a host of a tenth of a core does beside its requests: it falls silent and is replaced,
    /// and each change makes keys wait.
    pub weaker: Duration,
}

impl SuccessionSettings {
    /// Returns the patience of a host that drew `part` between zero and one.
    #[must_use]
    pub fn patience(&self, part: f64, has_stronger: bool) -> Duration {
        let weaker = if has_stronger {
            self.weaker
        } else {
            Duration::ZERO
        };
        self.drawn.mul_f64(part) + weaker
    }
}

impl Default for SuccessionSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1_200),
            blind: Duration::from_millis(2_500),
            drawn: Duration::from_millis(300),
            weaker: Duration::from_millis(300),
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
        true
    }

    /// Notes what the host that grants by the row said.
    pub fn heard(&mut self, now: Timestamp, word: Word) {
        self.heard = Some((now, word));
    }

    /// Decides, at a host that has read the store for the time `reads_for`.
    ///
    /// `newest` is the run that the granting host announced since the row named it, if it did, and
    /// `patience` is drawn by each host, so that one comes first.
    #[must_use]
    pub fn decide(
        &self,
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
            return Some(TakeOver { is_over: true });
        }
        let last = self.heard.map_or(self.since, |(at, _)| at);
        let silent = now.since(last) > self.cfg.silence + patience;
        // After an outage for all, whoever reads first must not take the others for blind.
        let blind = self.heard.is_some_and(|(_, word)| {
            let too_old = |age: Duration| age.min(reads_for) > self.cfg.blind + patience;
            word.evidence.map_or(reads_for > self.cfg.blind, too_old)
        });
        (silent || blind).then_some(TakeOver { is_over: false })
    }
}
