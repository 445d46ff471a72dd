//! Detection and quarantine of requests that crash upstreams.
//!
//! When an upstream's process ends, all requests that it was running are affected, and most of them
//! did not cause the crash. If a second upstream ends while it runs the same request, and nobody
//! got an answer to that request in the meantime, the request is taken for the cause and
//! quarantined: no host sends it to an upstream for a while. Requests are matched by their
//! [`RequestFingerprint`], because repeats have other request ids and arrive at other hosts.

use std::collections::HashSet;
use std::time::Duration;

use ids::{Timestamp, UpstreamId};
use indexmap::IndexMap;

use crate::fingerprint::RequestFingerprint;

/// Settings of [`CrashTracker`] and of the duration of quarantines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSettings {
    /// Number of upstreams that must have ended under a request for it to be quarantined.
    ///
    /// One is too few, as other requests at that upstream would be quarantined too. A third would
    /// cost the callers of that upstream and of its keys some seconds: repeats of the request wait
    /// for the next owner and reach it together.
    pub min_upstreams: usize,
    /// Duration of a quarantine.
    pub quarantine: Duration,
    /// Time for which the end of an upstream counts. It is longer than the quarantine, so that a
    /// request that ends another upstream afterwards is quarantined again at once.
    pub retention: Duration,
    /// Maximum number of suspected requests; the earliest ones are dropped.
    pub max_suspects: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            min_upstreams: 2,
            quarantine: Duration::from_mins(10),
            retention: Duration::from_mins(15),
            max_suspects: 4_096,
        }
    }
}

/// The upstreams that ended under a request.
#[derive(Debug)]
struct Suspect {
    upstreams: Vec<UpstreamId>,
    last_end: Timestamp,
}

/// Counts the upstreams that ended under each request.
#[derive(Debug, Default)]
pub struct CrashTracker {
    cfg: CrashSettings,
    /// Ordered by the time of the last end, the latest one last.
    suspects: IndexMap<RequestFingerprint, Suspect>,
}

impl CrashTracker {
    /// Creates a tracker without suspected requests.
    #[must_use]
    pub fn new(cfg: CrashSettings) -> Self {
        Self {
            cfg,
            suspects: IndexMap::new(),
        }
    }

    /// Records that `upstream` ended while it was running a request with this fingerprint; returns
    /// whether the request is to be quarantined.
    ///
    /// Several hosts may report the same end, and for several copies of the request; these count
    /// once.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        upstream: &UpstreamId,
    ) -> bool {
        let known = self.suspects.shift_remove(&fingerprint);
        let mut suspect = known
            .filter(|s| now.since(s.last_end) < self.cfg.retention)
            .unwrap_or_else(|| Suspect {
                upstreams: Vec::new(),
                last_end: now,
            });
        suspect.last_end = now;
        let is_new = !suspect.upstreams.contains(upstream);
        if is_new && suspect.upstreams.len() < self.cfg.min_upstreams {
            suspect.upstreams.push(upstream.clone());
        }
        let is_cause = suspect.upstreams.len() >= self.cfg.min_upstreams;
        self.suspects.insert(fingerprint, suspect);
        if self.suspects.len() > self.cfg.max_suspects {
            self.suspects.shift_remove_index(0);
        }
        is_new && is_cause
    }
}

/// Maximum number of quarantined requests; the earliest ones are dropped.
const MAX_QUARANTINED: usize = 1_024;

/// Requests that are sent to no upstream for the time being.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Quarantine {
    until: IndexMap<RequestFingerprint, Timestamp>,
}

impl Quarantine {
    /// Quarantines a request; returns whether it was not quarantined before.
    ///
    /// Hosts may report the same end again with a slightly different time, which changes nothing.
    pub fn insert(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        until: Timestamp,
    ) -> bool {
        self.until.retain(|_, until| *until > now);
        if until <= now || self.until.contains_key(&fingerprint) {
            return false;
        }
        self.until.insert(fingerprint, until);
        if self.until.len() > MAX_QUARANTINED {
            self.until.shift_remove_index(0);
        }
        true
    }

    /// Returns the remaining time of a request's quarantine, if it is quarantined.
    #[must_use]
    pub fn remaining(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Option<Duration> {
        let until = *self.until.get(&fingerprint)?;
        (until > now).then(|| until.since(now))
    }

    /// Iterates over the quarantined requests and the remaining times.
    pub fn iter(&self, now: Timestamp) -> impl Iterator<Item = (RequestFingerprint, Duration)> {
        let all = self.until.iter().filter(move |(_, until)| **until > now);
        all.map(move |(&fingerprint, until)| (fingerprint, until.since(now)))
    }
}

/// Minimum time for which an answered request is remembered, unless there are more than
/// [`MAX_ANSWERS`].
const RECENT_SPAN: Duration = Duration::from_secs(30);
/// Maximum number of requests in each of the two generations.
const MAX_ANSWERS: usize = 8_192;

/// Requests that this host recently got answers to, which upstreams therefore survive.
///
/// A request that many callers send may well be running at two upstreams that end for another
/// reason.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    current_since: Timestamp,
    current: HashSet<RequestFingerprint>,
    previous: HashSet<RequestFingerprint>,
}

impl RecentAnswers {
    /// Records an answer.
    pub fn record(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        if now.since(self.current_since) > RECENT_SPAN || self.current.len() >= MAX_ANSWERS {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(fingerprint);
    }

    /// Returns whether there was a recent answer.
    #[must_use]
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }
}
