//! What an upstream says of itself in an answer, whatever the answer is about.

use std::time::Duration;

use ids::Timestamp;

/// What an answer says of the upstream that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Said {
    /// Whether it leaves.
    pub leaves: bool,
    /// For how long it wants no requests of this host, if it says so.
    pub wants_none_for: Option<Duration>,
    /// What it says of a limit.
    pub limit: LimitWord,
}

/// What an answer says of how many requests its upstream takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitWord {
    /// Nothing: an answer of this kind need not name a limit that holds.
    #[default]
    Unsaid,
    /// There is no limit, as the answer would name it.
    Unlimited,
    /// It takes so many requests a second from all hosts together.
    PerSecond(f64),
}

/// Time after which a word that has not changed is news again, so that it goes before older ones of other hosts.
const NEWS_EVERY: Duration = Duration::from_secs(1);

/// Time for which that a limit was taken back is news each time: who missed it would pace the upstream for good.
const WITHDRAWAL_TOLD_FOR: Duration = Duration::from_secs(10);

/// Part of what the host before it may hand out of a limit that a host hands out in its place.
const DEPUTY_PART: f64 = 0.25;
/// Part of a limit that all hosts together use which can ask nobody.
const ALONE_PART: f64 = 0.1;
/// Requests a second that go to an upstream whatever limit it names: their answers tell whether it still does.
const LEAST_PER_S: f64 = 0.1;

/// The newest word of an upstream on how many requests a second it takes from all hosts together.
///
/// Words of several hosts are put in order by when they were heard. An upstream that never named a limit has none.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limit {
    /// The limit, or that it was taken back.
    per_s: Option<f64>,
    /// When that was last heard; zero if there never was a limit.
    heard: Timestamp,
    /// When it was last news.
    told: Timestamp,
    /// When it first became known that the limit was taken back.
    withdrawn: Timestamp,
}

impl Limit {
    /// Takes what the answer to a request says that was sent at `sent`; tells whether that is news.
    ///
    /// That there is no limit any more counts only from requests that were sent after the limit was last heard: the
    /// answer to an earlier one may have been overtaken.
    pub fn hear(&mut self, now: Timestamp, sent: Timestamp, word: LimitWord) -> bool {
        match word {
            LimitWord::Unsaid => false,
            LimitWord::Unlimited if sent <= self.heard || self.is_long_gone(now) => false,
            LimitWord::Unlimited => self.set(now, None),
            LimitWord::PerSecond(per_s) => self.set(now, Some(per_s)),
        }
    }

    /// Takes what another host heard, if that is newer; tells whether it is.
    pub fn take(&mut self, other: Self) -> bool {
        let is_newer = other.heard > self.heard;
        if is_newer {
            let was_withdrawn = self.heard > Timestamp::ZERO && self.per_s.is_none();
            // Hosts that know of a withdrawal must not keep each other telling it.
            let withdrawn = if was_withdrawn && other.per_s.is_none() {
                self.withdrawn
            } else {
                other.withdrawn
            };
            *self = Self { withdrawn, ..other };
        }
        is_newer
    }

    /// Returns a word that was heard at `heard`.
    #[must_use]
    pub const fn heard_at(heard: Timestamp, per_s: Option<f64>) -> Self {
        Self {
            per_s,
            heard,
            told: heard,
            withdrawn: heard,
        }
    }

    /// Returns how many requests a second the upstream takes; none if it names no limit.
    #[must_use]
    pub const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns how long ago the word was heard; none if there never was one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        (self.heard > Timestamp::ZERO).then(|| now.since(self.heard))
    }

    /// Returns how many requests a second a host may hand out that was asked as `passed_over` hosts before it did not
    /// reply; none if the upstream names no limit.
    ///
    /// Those may hand out theirs to hosts that they can still hear: all parts together are a third more than the limit.
    #[must_use]
    pub fn handed_out(&self, passed_over: u32) -> Option<f64> {
        let part = DEPUTY_PART.powf(f64::from(passed_over));
        self.per_s.map(|per_s| (per_s * part).max(LEAST_PER_S))
    }

    /// Returns how many requests a second one host of `hosts` may send that can ask nobody; none if the upstream names
    /// no limit.
    #[must_use]
    pub fn alone(&self, hosts: usize) -> Option<f64> {
        let part = ALONE_PART / hosts.max(1) as f64;
        self.per_s.map(|per_s| per_s.max(LEAST_PER_S) * part)
    }

    /// Tells whether there is no limit, and all hosts should know by now.
    fn is_long_gone(&self, now: Timestamp) -> bool {
        let never_was = self.heard == Timestamp::ZERO;
        self.per_s.is_none() && (never_was || now.since(self.withdrawn) >= WITHDRAWAL_TOLD_FOR)
    }

    fn set(&mut self, now: Timestamp, per_s: Option<f64>) -> bool {
        let is_news = self.per_s != per_s || now.since(self.told) >= NEWS_EVERY;
        if self.per_s.is_some() && per_s.is_none() {
            self.withdrawn = now;
        }
        self.per_s = per_s;
        self.heard = now;
        if is_news {
            self.told = now;
        }
        is_news
    }
}
