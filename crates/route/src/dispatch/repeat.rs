//! Ids of requests under way and of those that ended a short while ago.
//!
//! This is memory of one host: it is lost with the host and holds the last
//! [`DispatcherSettings::repeat_window`](super::DispatcherSettings::repeat_window) at most.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{EntryId, RequestId, Timestamp};
use indexmap::IndexMap;

use super::message::Arrival;
use crate::key::CallKey;

/// A request's id within its entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RepeatKey {
    /// Entry.
    pub entry: EntryId,
    /// Id.
    pub request_id: RequestId,
}

impl RepeatKey {
    /// Returns the id of a call.
    #[must_use]
    pub fn of(arrival: &Arrival) -> Self {
        Self {
            entry: arrival.entry.clone(),
            request_id: arrival.request_id.clone(),
        }
    }
}

/// What is known of an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// A request with this id is waiting or under way.
    UnderWay(CallKey),
    /// A request with this id was answered, and the answer is kept.
    Kept {
        /// The call that was answered.
        call: CallKey,
        /// Its fingerprint.
        fingerprint: u64,
    },
    /// A request with this id may have run.
    Ended,
}

/// A request that ended.
#[derive(Debug, Clone)]
struct Past {
    call: CallKey,
    fingerprint: u64,
    /// Size of the kept answer; none if it is not kept.
    kept: Option<usize>,
}

/// Bounds on what is remembered.
#[derive(Debug, Clone, Copy)]
pub struct RepeatBounds {
    /// Time for which an id is kept after its end.
    pub window: Duration,
    /// The most ids.
    pub ids: usize,
    /// The most bytes of answers.
    pub bytes: usize,
}

/// Ids of requests under way and of those that ended a short while ago.
#[derive(Debug)]
pub struct Repeats {
    bounds: RepeatBounds,
    under_way: IndexMap<RepeatKey, CallKey>,
    past: IndexMap<RepeatKey, Past>,
    /// Ends in order of time.
    ends: VecDeque<(Timestamp, RepeatKey)>,
    /// Kept answers in order of time.
    kept: VecDeque<RepeatKey>,
    kept_bytes: usize,
}

impl Repeats {
    /// Creates an empty memory.
    #[must_use]
    pub fn new(bounds: RepeatBounds) -> Self {
        Self {
            bounds,
            under_way: IndexMap::new(),
            past: IndexMap::new(),
            ends: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Returns what is known of an id; forgotten answers go to `discarded`.
    pub fn known(
        &mut self,
        now: Timestamp,
        key: &RepeatKey,
        discarded: &mut Vec<CallKey>,
    ) -> Option<Known> {
        self.expire(now, discarded);
        if let Some(&call) = self.under_way.get(key) {
            return Some(Known::UnderWay(call));
        }
        let past = self.past.get(key)?;
        if past.kept.is_none() {
            return Some(Known::Ended);
        }
        Some(Known::Kept {
            call: past.call,
            fingerprint: past.fingerprint,
        })
    }

    /// Takes note that a request waits or is under way.
    pub fn begin(&mut self, key: RepeatKey, call: CallKey) {
        self.under_way.insert(key, call);
    }

    /// Takes note that a request ended without having run.
    pub fn not_run(&mut self, key: &RepeatKey, call: CallKey) {
        if self.under_way.get(key) == Some(&call) {
            self.under_way.swap_remove(key);
        }
    }

    /// Takes note that a request ended and ran, or may have; `answer` is the size of its answer.
    /// Returns whether the answer is kept.
    pub fn ended(
        &mut self,
        now: Timestamp,
        key: &RepeatKey,
        call: CallKey,
        fingerprint: u64,
        answer: Option<usize>,
        discarded: &mut Vec<CallKey>,
    ) -> bool {
        self.not_run(key, call);
        let kept = answer.filter(|&n| n <= self.bounds.bytes);
        let past = Past {
            call,
            fingerprint,
            kept,
        };
        match self.past.insert(key.clone(), past) {
            Some(before) => self.forget_answer(&before, discarded),
            None => self.ends.push_back((now, key.clone())),
        }
        if let Some(bytes) = kept {
            self.kept.push_back(key.clone());
            self.kept_bytes += bytes;
        }
        self.shrink(discarded);
        self.past.get(key).is_some_and(|p| p.kept.is_some())
    }

    /// Forgets what is older than the window.
    pub fn expire(&mut self, now: Timestamp, discarded: &mut Vec<CallKey>) {
        while let Some((at, _)) = self.ends.front() {
            if now.since(*at) < self.bounds.window {
                return;
            }
            self.forget_oldest(discarded);
        }
    }

    /// Returns how many ids are kept after their end.
    #[must_use]
    pub fn past_len(&self) -> usize {
        self.past.len()
    }

    /// Iterates over the requests under way.
    pub fn under_way(&self) -> impl Iterator<Item = (&RepeatKey, CallKey)> {
        self.under_way.iter().map(|(k, &c)| (k, c))
    }

    fn shrink(&mut self, discarded: &mut Vec<CallKey>) {
        while self.ends.len() > self.bounds.ids {
            self.forget_oldest(discarded);
        }
        while self.kept_bytes > self.bounds.bytes {
            let Some(key) = self.kept.pop_front() else {
                return;
            };
            if let Some(past) = self.past.get_mut(&key) {
                let before = Past {
                    kept: past.kept.take(),
                    ..past.clone()
                };
                self.forget_answer(&before, discarded);
            }
        }
    }

    fn forget_oldest(&mut self, discarded: &mut Vec<CallKey>) {
        let Some((_, key)) = self.ends.pop_front() else {
            return;
        };
        if let Some(past) = self.past.swap_remove(&key) {
            self.forget_answer(&past, discarded);
        }
        self.trim_kept();
    }

    /// Drops ids from the front of `kept` whose answers are forgotten.
    fn trim_kept(&mut self) {
        let holds = |p: Option<&Past>| p.is_some_and(|p| p.kept.is_some());
        while let Some(key) = self.kept.front() {
            if holds(self.past.get(key)) {
                return;
            }
            self.kept.pop_front();
        }
    }

    fn forget_answer(&mut self, past: &Past, discarded: &mut Vec<CallKey>) {
        if let Some(bytes) = past.kept {
            self.kept_bytes -= bytes;
            discarded.push(past.call);
        }
    }
}
