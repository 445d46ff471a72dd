//! Requests under which the processes of upstreams end.
//!
//! An upstream that ends takes all requests with it that it runs, most of which have nothing to do with it. A
//! request that was there when a second upstream ended, and that nobody got an answer to meanwhile, is held to be
//! the cause: it is quarantined, which means that no host sends it to an upstream for a while. Which request it is
//! tells its [`Content`], as its repeats come under other ids and at other hosts.

use std::collections::HashSet;
use std::time::Duration;

use ids::{Timestamp, UpstreamId};
use indexmap::IndexMap;

use crate::content::Content;

/// Settings of [`Crashes`] and of how long requests are quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSettings {
    /// Upstreams that must have ended under a request for it to be quarantined.
    ///
    /// One takes bystanders with it. A third would cost its callers, and those of its keys, some seconds, while
    /// the repeats of the request wait for the next owner and reach it together.
    pub upstreams: usize,
    /// How long a request is quarantined.
    pub quarantine: Duration,
    /// How long an end counts: longer than the quarantine, so that a request that ends one more upstream after it
    /// is quarantined again at once.
    pub remembered: Duration,
    /// Most requests that are suspected at a time; the earliest are forgotten.
    pub suspects_max: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            upstreams: 2,
            quarantine: Duration::from_mins(10),
            remembered: Duration::from_mins(15),
            suspects_max: 4_096,
        }
    }
}

/// Upstreams that ended under one request.
#[derive(Debug)]
struct Suspect {
    upstreams: Vec<UpstreamId>,
    last: Timestamp,
}

/// Counts the upstreams that ended under each request.
#[derive(Debug, Default)]
pub struct Crashes {
    cfg: CrashSettings,
    /// The one that an upstream ended under last comes last.
    suspects: IndexMap<Content, Suspect>,
}

impl Crashes {
    /// Suspects nothing yet.
    #[must_use]
    pub fn new(cfg: CrashSettings) -> Self {
        Self {
            cfg,
            suspects: IndexMap::new(),
        }
    }

    /// Notes that `upstream` ended while it had a request of this content; tells whether the request is to be
    /// quarantined.
    ///
    /// Several hosts may tell of one end, and of several copies of the request: they count once.
    pub fn ended(&mut self, now: Timestamp, content: Content, upstream: &UpstreamId) -> bool {
        let known = self.suspects.shift_remove(&content);
        let mut suspect = known
            .filter(|s| now.since(s.last) < self.cfg.remembered)
            .unwrap_or_else(|| Suspect {
                upstreams: Vec::new(),
                last: now,
            });
        suspect.last = now;
        let is_news = !suspect.upstreams.contains(upstream);
        if is_news && suspect.upstreams.len() < self.cfg.upstreams {
            suspect.upstreams.push(upstream.clone());
        }
        let is_cause = suspect.upstreams.len() >= self.cfg.upstreams;
        self.suspects.insert(content, suspect);
        if self.suspects.len() > self.cfg.suspects_max {
            self.suspects.shift_remove_index(0);
        }
        is_news && is_cause
    }
}

/// Most requests that are quarantined at a time; the earliest are let go.
const QUARANTINED_MAX: usize = 1_024;

/// The requests that are sent to no upstream for now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Quarantine {
    until: IndexMap<Content, Timestamp>,
}

impl Quarantine {
    /// Quarantines a request; tells whether that is news.
    ///
    /// An end that hosts tell each other again, a little later or earlier, is none.
    pub fn put(&mut self, now: Timestamp, content: Content, until: Timestamp) -> bool {
        self.until.retain(|_, until| *until > now);
        if until <= now || self.until.contains_key(&content) {
            return false;
        }
        self.until.insert(content, until);
        if self.until.len() > QUARANTINED_MAX {
            self.until.shift_remove_index(0);
        }
        true
    }

    /// Returns for how long a request is still quarantined, if it is.
    #[must_use]
    pub fn left(&self, now: Timestamp, content: Content) -> Option<Duration> {
        let until = *self.until.get(&content)?;
        (until > now).then(|| until.since(now))
    }

    /// Iterates over the quarantined requests and for how long they still are.
    pub fn iter(&self, now: Timestamp) -> impl Iterator<Item = (Content, Duration)> {
        let all = self.until.iter().filter(move |(_, until)| **until > now);
        all.map(move |(&content, until)| (content, until.since(now)))
    }
}

/// Time for which a request that was answered is surely remembered, unless there are very many.
const ANSWERED_FOR: Duration = Duration::from_secs(30);
/// Most requests in each half of the memory.
const ANSWERED_MAX: usize = 8_192;

/// Requests that this host got answers to of late: upstreams live through them.
///
/// What many callers ask may well be under way at two upstreams that end for another reason.
#[derive(Debug, Default)]
pub struct Answered {
    since: Timestamp,
    young: HashSet<Content>,
    old: HashSet<Content>,
}

impl Answered {
    /// Notes an answer.
    pub fn note(&mut self, now: Timestamp, content: Content) {
        if now.since(self.since) > ANSWERED_FOR || self.young.len() >= ANSWERED_MAX {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        self.young.insert(content);
    }

    /// Tells whether there was an answer of late.
    #[must_use]
    pub fn contains(&self, content: Content) -> bool {
        self.young.contains(&content) || self.old.contains(&content)
    }
}
