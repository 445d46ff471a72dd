//! Status that an upstream reports with an answer, whatever the answer is about.

use std::time::Duration;

use ids::Timestamp;

/// Status of an upstream, as reported with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamStatus {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this host, if it asks for that.
    pub pause: Option<Duration>,
    /// The rate limit that it announces.
    pub limit: AnnouncedLimit,
}

/// Rate limit that an answer announces.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// None: an answer of this kind need not name a limit that is in force.
    #[default]
    NotStated,
    /// There is no limit; otherwise the answer would name it.
    Unlimited,
    /// The upstream takes so many requests a second from all hosts together.
    PerSecond(f64),
}

/// Interval after which an unchanged limit is reported again, so that it takes precedence over
/// older ones that other hosts received.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a withdrawn limit is reported repeatedly. A host that missed the withdrawal would
/// limit the upstream forever.
const WITHDRAWAL_REPORTED_FOR: Duration = Duration::from_secs(10);

/// Fraction of the permitted rate of the host before it that a host may grant in its place.
const SUBSTITUTE_FRACTION: f64 = 0.25;
/// Fraction of a limit that is used by all hosts together that reach no permit host.
const WITHOUT_PERMITS_FRACTION: f64 = 0.1;
/// Requests a second that go to an upstream whatever limit it announces, because only their answers
/// show whether the limit is still in force.
const MIN_PER_S: f64 = 0.1;

/// The latest rate limit that an upstream announced, in requests a second from all hosts together.
///
/// Limits that several hosts received are ordered by the time of receipt. The default value stands
/// for an upstream that never announced one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    /// The limit; none if it was withdrawn.
    per_s: Option<f64>,
    /// When it was last received; zero if there never was a limit.
    received_at: Timestamp,
    /// When it was last reported to other hosts.
    reported_at: Timestamp,
    /// When the withdrawal of the limit was first known.
    withdrawn_at: Timestamp,
}

impl RateLimit {
    /// Records the limit in the answer to a request that was sent at `sent_at`; returns whether to
    /// report it to other hosts.
    ///
    /// The absence of a limit counts only if the request was sent after the limit was last
    /// received: answers to earlier requests may have been overtaken.
    pub fn record(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        announced: AnnouncedLimit,
    ) -> bool {
        match announced {
            AnnouncedLimit::NotStated => false,
            AnnouncedLimit::Unlimited if sent_at <= self.received_at || self.is_unlimited(now) => {
                false
            }
            AnnouncedLimit::Unlimited => self.set(now, None),
            AnnouncedLimit::PerSecond(per_s) => self.set(now, Some(per_s)),
        }
    }

    /// Merges a limit that another host received, if it is later; returns whether it is.
    pub fn merge(&mut self, other: Self) -> bool {
        let is_newer = other.received_at > self.received_at;
        if is_newer {
            let was_withdrawn = self.received_at > Timestamp::ZERO && self.per_s.is_none();
            // Otherwise, hosts that know of a withdrawal would keep each other reporting it.
            let withdrawn_at = if was_withdrawn && other.per_s.is_none() {
                self.withdrawn_at
            } else {
                other.withdrawn_at
            };
            *self = Self {
                withdrawn_at,
                ..other
            };
        }
        is_newer
    }

    /// Returns a limit that was received at `received_at`.
    #[must_use]
    pub const fn received_at(received_at: Timestamp, per_s: Option<f64>) -> Self {
        Self {
            per_s,
            received_at,
            reported_at: received_at,
            withdrawn_at: received_at,
        }
    }

    /// Returns the limit in requests a second; none if there is none.
    #[must_use]
    pub const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns how long ago the limit was received; none if there never was one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        (self.received_at > Timestamp::ZERO).then(|| now.since(self.received_at))
    }

    /// Returns how many requests a second a host may grant that was asked because the
    /// `skipped_hosts` hosts before it did not reply; none if there is no limit.
    ///
    /// Those hosts may still grant their own share to hosts that can reach them: together, the
    /// shares are a third more than the limit.
    #[must_use]
    pub fn permitted_rate(&self, skipped_hosts: u32) -> Option<f64> {
        let fraction = SUBSTITUTE_FRACTION.powf(f64::from(skipped_hosts));
        self.per_s.map(|per_s| (per_s * fraction).max(MIN_PER_S))
    }

    /// Returns how many requests a second each of `hosts` hosts may send that reaches no permit
    /// host; none if there is no limit.
    #[must_use]
    pub fn rate_without_permits(&self, hosts: usize) -> Option<f64> {
        let fraction = WITHOUT_PERMITS_FRACTION / hosts.max(1) as f64;
        self.per_s.map(|per_s| per_s.max(MIN_PER_S) * fraction)
    }

    /// Returns whether there is no limit and all hosts should know that by now.
    fn is_unlimited(&self, now: Timestamp) -> bool {
        let never_limited = self.received_at == Timestamp::ZERO;
        self.per_s.is_none()
            && (never_limited || now.since(self.withdrawn_at) >= WITHDRAWAL_REPORTED_FOR)
    }

    fn set(&mut self, now: Timestamp, per_s: Option<f64>) -> bool {
        let should_report = self.per_s != per_s || now.since(self.reported_at) >= REPORT_INTERVAL;
        if self.per_s.is_some() && per_s.is_none() {
            self.withdrawn_at = now;
        }
        self.per_s = per_s;
        self.received_at = now;
        if should_report {
            self.reported_at = now;
        }
        should_report
    }
}
