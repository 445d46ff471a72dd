//! Consistency checks of a dispatcher's state.

use std::fmt;

use ids::{Timestamp, UpstreamId};
use thiserror::Error;

use super::call::{Call, CallState};
use super::dispatcher::Dispatcher;
use super::repeat::RepeatKey;
use super::upstream_queue::UpstreamQueue;
use crate::key::CallKey;

/// What a violation was found in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A call.
    Call(CallKey),
    /// An upstream.
    Upstream(UpstreamId),
    /// A request id in flight.
    Id(RepeatKey),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(call) => write!(f, "call {call}"),
            Self::Upstream(upstream) => write!(f, "upstream {upstream}"),
            Self::Id(key) => write!(f, "id {} of {}", key.request_id, key.entry),
        }
    }
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{subject}: {problem}")]
pub struct Violation {
    /// What it was found in.
    pub subject: Subject,
    /// What is wrong.
    pub problem: &'static str,
}

impl Dispatcher {
    /// Checks all invariants and returns every violation found.
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (&key, call) in &self.calls {
            let subject = || Subject::Call(key);
            check(&mut violations, &subject, self.call_problems(key, call));
        }
        for (_, queue) in self.queues.iter() {
            let Some(queue) = queue else {
                continue;
            };
            let subject = || Subject::Upstream(queue.id.clone());
            check(&mut violations, &subject, self.queue_problems(queue));
        }
        for (key, call) in self.repeats.in_flight() {
            let record = self.calls.get(&call);
            let agrees = record.is_some_and(|c| c.registered && RepeatKey::of(&c.arrival) == *key);
            let subject = || Subject::Id(key.clone());
            check(
                &mut violations,
                &subject,
                [(agrees, "its call is not registered")],
            );
        }
        violations
    }

    fn call_problems(&self, key: CallKey, call: &Call) -> [(bool, &'static str); 5] {
        let timer = call.timer == Timestamp::NEVER || self.timers.contains(&(call.timer, key));
        let joined = call.joined.iter().all(|c| {
            let repeat = self.calls.get(c);
            repeat.is_some_and(|r| r.state == CallState::Joined(key))
        });
        let wanted = matches!(call.state, CallState::Stopping { .. }) != call.is_wanted();
        let is_repeat = matches!(call.state, CallState::Joined(_));
        let queue = is_repeat || self.queues[call.queue].is_some();
        [
            (self.is_in_place(key, call), "its state and location differ"),
            (timer, "its timer is not set"),
            (joined, "a repeat is not joined to it"),
            (
                wanted,
                "it runs though unwanted, or is stopping though wanted",
            ),
            (queue, "its queue was removed"),
        ]
    }

    fn is_in_place(&self, key: CallKey, call: &Call) -> bool {
        // A repeat is in no queue; the queue that it arrived at may have been removed.
        if let CallState::Joined(first) = call.state {
            let first = self.calls.get(&first);
            return first.is_some_and(|f| f.joined.contains(&key));
        }
        let Some(queue) = &self.queues[call.queue] else {
            return false;
        };
        let queued = queue.waiting.iter().any(|(_, w)| w.call == key);
        let held = queue.holds.values().any(|h| h.calls.contains(&key));
        let in_flight = queue.in_flight.contains(&key);
        match call.state {
            CallState::Waiting(_) => queued && !held && !in_flight,
            CallState::Held => held && !queued && !in_flight,
            CallState::Sent { .. } | CallState::Stopping { .. } => in_flight && !queued && !held,
            CallState::Joined(_) => false,
        }
    }

    fn queue_problems(&self, queue: &UpstreamQueue) -> [(bool, &'static str); 5] {
        let states = || {
            let records = queue.in_flight.iter().filter_map(|c| self.calls.get(c));
            records.map(|c| c.state)
        };
        let busy = states().filter(|s| !matches!(s, CallState::Stopping { stopped: true, .. }));
        let open = states().filter(|s| !matches!(s, CallState::Stopping { closed: true, .. }));
        let held_in_flight = queue.in_flight.iter().any(|c| {
            let slice = self.calls.get(c).and_then(|c| c.arrival.slice);
            let drained = |name| queue.holds.get(&name).is_some_and(|h| h.drained);
            drained(slice) || drained(None)
        });
        let held_queued = queue.waiting.iter().any(|(_, w)| {
            let slice = self.calls.get(&w.call).and_then(|c| c.arrival.slice);
            queue.is_held(slice)
        });
        [
            (
                busy.count() == queue.busy_slots as usize,
                "its busy slots are miscounted",
            ),
            (
                open.count() == queue.connections as usize,
                "its connections are miscounted",
            ),
            (
                states().count() == queue.in_flight.len(),
                "a call in flight is unknown",
            ),
            (
                !held_in_flight,
                "a slice reported as drained has a call in flight",
            ),
            (!held_queued, "a call of a held slice is in the queue"),
        ]
    }
}

/// Adds a violation for each claim that does not hold.
fn check(
    violations: &mut Vec<Violation>,
    subject: &dyn Fn() -> Subject,
    claims: impl IntoIterator<Item = (bool, &'static str)>,
) {
    for (holds, problem) in claims {
        if !holds {
            violations.push(Violation {
                subject: subject(),
                problem,
            });
        }
    }
}
