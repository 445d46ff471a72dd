//! Request ids in flight and recently ended, to detect repeats by callers.
//!
//! The ids are held in memory by one host. They are lost with the host and kept for at most
//! [`DispatcherSettings::repeat_window`](super::DispatcherSettings::repeat_window).

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

/// What is known of a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatState {
    /// A request with this id is waiting or in flight.
    InFlight(CallKey),
    /// A request with this id was answered, and the answer is kept.
    Kept {
        /// The call that was answered.
        call: CallKey,
        /// Its fingerprint.
        fingerprint: u64,
    },
    /// A request with this id ended, may have run, and has no kept answer.
    Ended,
}

/// A request that ended and may have run.
#[derive(Debug, Clone)]
struct EndedRequest {
    call: CallKey,
    fingerprint: u64,
    /// Size in bytes of the kept answer; none if it is not kept.
    answer_bytes: Option<usize>,
}

/// Bounds of a [`RepeatTracker`].
#[derive(Debug, Clone, Copy)]
pub struct RepeatBounds {
    /// Time for which an id is kept after the request's end.
    pub window: Duration,
    /// Maximum number of ids.
    pub ids: usize,
    /// Maximum total size of answers in bytes.
    pub bytes: usize,
}

/// Tracks request ids in flight and recently ended.
#[derive(Debug)]
pub struct RepeatTracker {
    bounds: RepeatBounds,
    in_flight: IndexMap<RepeatKey, CallKey>,
    ended_requests: IndexMap<RepeatKey, EndedRequest>,
    /// Ends of requests in order of time.
    ends: VecDeque<(Timestamp, RepeatKey)>,
    /// Requests with kept answers in order of time.
    kept_answers: VecDeque<RepeatKey>,
    kept_bytes: usize,
}

impl RepeatTracker {
    /// Creates an empty tracker.
    #[must_use]
    pub fn new(bounds: RepeatBounds) -> Self {
        Self {
            bounds,
            in_flight: IndexMap::new(),
            ended_requests: IndexMap::new(),
            ends: VecDeque::new(),
            kept_answers: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Returns what is known of an id; dropped answers are added to `discarded`.
    pub fn lookup(
        &mut self,
        now: Timestamp,
        key: &RepeatKey,
        discarded: &mut Vec<CallKey>,
    ) -> Option<RepeatState> {
        self.expire(now, discarded);
        if let Some(&call) = self.in_flight.get(key) {
            return Some(RepeatState::InFlight(call));
        }
        let request = self.ended_requests.get(key)?;
        if request.answer_bytes.is_none() {
            return Some(RepeatState::Ended);
        }
        Some(RepeatState::Kept {
            call: request.call,
            fingerprint: request.fingerprint,
        })
    }

    /// Records a request that waits or is in flight.
    pub fn record_start(&mut self, key: RepeatKey, call: CallKey) {
        self.in_flight.insert(key, call);
    }

    /// Records that a request ended without having run.
    pub fn record_not_run(&mut self, key: &RepeatKey, call: CallKey) {
        if self.in_flight.get(key) == Some(&call) {
            self.in_flight.swap_remove(key);
        }
    }

    /// Records that a request ended and ran or may have run; `answer` is the size of its answer.
    /// Returns whether the answer is kept.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        key: &RepeatKey,
        call: CallKey,
        fingerprint: u64,
        answer: Option<usize>,
        discarded: &mut Vec<CallKey>,
    ) -> bool {
        self.record_not_run(key, call);
        let answer_bytes = answer.filter(|&n| n <= self.bounds.bytes);
        let request = EndedRequest {
            call,
            fingerprint,
            answer_bytes,
        };
        match self.ended_requests.insert(key.clone(), request) {
            Some(before) => self.forget_answer(&before, discarded),
            None => self.ends.push_back((now, key.clone())),
        }
        if let Some(bytes) = answer_bytes {
            self.kept_answers.push_back(key.clone());
            self.kept_bytes += bytes;
        }
        self.shrink(discarded);
        self.ended_requests
            .get(key)
            .is_some_and(|p| p.answer_bytes.is_some())
    }

    /// Forgets ids that ended before the window.
    pub fn expire(&mut self, now: Timestamp, discarded: &mut Vec<CallKey>) {
        while let Some((at, _)) = self.ends.front() {
            if now.since(*at) < self.bounds.window {
                return;
            }
            self.forget_oldest(discarded);
        }
    }

    /// Returns how many ids of ended requests are kept.
    #[must_use]
    pub fn ended_len(&self) -> usize {
        self.ended_requests.len()
    }

    /// Iterates over the requests in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = (&RepeatKey, CallKey)> {
        self.in_flight.iter().map(|(k, &c)| (k, c))
    }

    fn shrink(&mut self, discarded: &mut Vec<CallKey>) {
        while self.ends.len() > self.bounds.ids {
            self.forget_oldest(discarded);
        }
        while self.kept_bytes > self.bounds.bytes {
            let Some(key) = self.kept_answers.pop_front() else {
                return;
            };
            if let Some(request) = self.ended_requests.get_mut(&key) {
                let before = EndedRequest {
                    answer_bytes: request.answer_bytes.take(),
                    ..request.clone()
                };
                self.forget_answer(&before, discarded);
            }
        }
    }

    fn forget_oldest(&mut self, discarded: &mut Vec<CallKey>) {
        let Some((_, key)) = self.ends.pop_front() else {
            return;
        };
        if let Some(request) = self.ended_requests.swap_remove(&key) {
            self.forget_answer(&request, discarded);
        }
        self.trim_kept();
    }

    /// Drops ids from the front of `kept_answers` whose answers are forgotten.
    fn trim_kept(&mut self) {
        let holds = |p: Option<&EndedRequest>| p.is_some_and(|p| p.answer_bytes.is_some());
        while let Some(key) = self.kept_answers.front() {
            if holds(self.ended_requests.get(key)) {
                return;
            }
            self.kept_answers.pop_front();
        }
    }

    fn forget_answer(&mut self, request: &EndedRequest, discarded: &mut Vec<CallKey>) {
        if let Some(bytes) = request.answer_bytes {
            self.kept_bytes -= bytes;
            discarded.push(request.call);
        }
    }
}
