//! Arrival of calls: repeat detection, refusals, and queueing.

use std::time::Duration;

use ids::{Reason, Timestamp};

use super::call::{Call, CallState};
use super::dispatcher::{Dispatcher, StepContext};
use super::message::{Action, Arrival};
use super::queue::Waiting;
use super::repeat::{RepeatKey, RepeatState};
use super::upstream_queue::UpstreamQueueKey;
use crate::key::CallKey;

impl Dispatcher {
    pub(super) fn arrive(&mut self, cx: &mut StepContext<'_>, mut arrival: Arrival) {
        debug_assert!(
            !self.calls.contains_key(&arrival.call),
            "call {} arrived twice",
            arrival.call
        );
        let Some(registered) = self.check_repeat(cx, &arrival) else {
            return;
        };
        let queue = self.queue_keys.get(&arrival.upstream).copied();
        let Some(key) = queue.filter(|&k| self.queues[k].is_some()) else {
            cx.refuse(arrival.call, Reason::StaleRoute, Duration::ZERO);
            return;
        };
        if let Some(queue) = &self.queues[key] {
            arrival.slice = queue.effective_slice(arrival.slice, arrival.key);
        }
        // Drops overdue calls first, so that they make room.
        self.process_queue(cx, key);
        if let Some((reason, retry_after)) = self.arrival_refusal(cx.now, key, &arrival) {
            cx.refuse(arrival.call, reason, retry_after);
            return;
        }
        let call = self.insert(key, arrival, registered);
        self.enqueue(cx, call);
        self.process_queue(cx, key);
    }

    /// Checks whether the call repeats another one and if so, handles it. Returns whether the
    /// call's id must be registered, or `None` if the call was handled.
    pub(super) fn check_repeat(
        &mut self,
        cx: &mut StepContext<'_>,
        arrival: &Arrival,
    ) -> Option<bool> {
        let key = RepeatKey::of(arrival);
        let known = self.repeats.lookup(cx.now, &key, &mut self.discarded);
        let call = arrival.call;
        match known {
            None => return Some(true),
            Some(RepeatState::InFlight(first)) => {
                let first_arrival = &self.calls[&first].arrival;
                if first_arrival.fingerprint == arrival.fingerprint {
                    if arrival.deadline <= cx.now {
                        cx.refuse(call, self.late_repeat_reason(first), Duration::ZERO);
                        return None;
                    }
                    self.join(arrival.clone(), first);
                    return None;
                }
                if first_arrival.idempotent && arrival.idempotent {
                    return Some(false);
                }
                cx.refuse(call, Reason::Duplicate, Duration::ZERO);
            }
            Some(RepeatState::Kept {
                call: from,
                fingerprint,
            }) if fingerprint == arrival.fingerprint => {
                cx.actions.push(Action::Answer { call, from });
            }
            Some(RepeatState::Kept { .. } | RepeatState::Ended) => {
                if arrival.idempotent {
                    return Some(true);
                }
                cx.refuse(call, Reason::DuplicateUnknown, Duration::ZERO);
            }
        }
        None
    }

    pub(super) fn join(&mut self, arrival: Arrival, first: CallKey) {
        let queue = self.calls[&first].queue;
        let deadline = arrival.deadline;
        let call = self.insert(queue, arrival, false);
        self.calls[&call].state = CallState::Joined(first);
        self.calls[&first].joined.push(call);
        self.set_timer(call, deadline);
    }

    /// Returns the reason and the retry delay if the call must be refused on arrival.
    pub(super) fn arrival_refusal(
        &self,
        now: Timestamp,
        key: UpstreamQueueKey,
        arrival: &Arrival,
    ) -> Option<(Reason, Duration)> {
        let queue = self.queues[key].as_ref()?;
        if arrival.deadline <= now {
            return Some((Reason::DeadlineExpired, Duration::ZERO));
        }
        if let Some(reason) = queue.stage_refusal() {
            return Some((reason, Duration::ZERO));
        }
        let full = queue.waiting_count() >= queue.limits.queue as usize;
        if let Some(since) = queue.held_since(arrival.slice) {
            // The maximum wait for the move has already passed.
            if since + self.settings.hold_max <= now {
                return Some((Reason::Moving, queue.retry_after(now)));
            }
            return full.then(|| (Reason::QueueFull, queue.retry_after(now)));
        }
        let margin = self.settings.lease_margin;
        if let Some(reason) = queue.lease_refusal(now, arrival.slice, margin) {
            return Some((reason, Duration::ZERO));
        }
        if let Some(closed) = queue.limiter.closed_for(now) {
            return Some((Reason::ConnectFailed, closed));
        }
        if full && !(queue.waiting.is_empty() && queue.has_room(now)) {
            return Some((Reason::QueueFull, queue.retry_after(now)));
        }
        let early = self.settings.queue.refuse_early;
        if early && queue.too_late_to_wait(now, arrival) {
            return Some((Reason::DeadlineTooShort, queue.retry_after(now)));
        }
        None
    }

    pub(super) fn insert(
        &mut self,
        queue: UpstreamQueueKey,
        arrival: Arrival,
        registered: bool,
    ) -> CallKey {
        let call = arrival.call;
        if registered {
            self.repeats.record_start(RepeatKey::of(&arrival), call);
        }
        let record = Call {
            arrival,
            queue,
            sequence: self.next_sequence,
            state: CallState::Held,
            reply_due: true,
            joined: Vec::new(),
            timer: Timestamp::NEVER,
            registered,
            counts_to_any_slice: false,
        };
        self.next_sequence += 1;
        self.calls.insert(call, record);
        call
    }

    /// Adds an unsent call to a hold of its slice or to its upstream's queue.
    pub(super) fn enqueue(&mut self, cx: &StepContext<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let Some(queue) = &mut self.queues[call.queue] else {
            return;
        };
        let deadline = call.arrival.deadline;
        let latest = queue.send_by(&call.arrival);
        let latest = if latest > cx.now { latest } else { deadline };
        let at = if let Some(hold) = queue.hold_of(call.arrival.slice) {
            hold.calls.insert(key);
            call.state = CallState::Held;
            latest.min(hold.since + self.settings.hold_max)
        } else {
            let waiting = Waiting {
                call: key,
                since: cx.now,
            };
            let position = queue.waiting.push(cx.now, call.sequence, waiting, deadline);
            call.state = CallState::Waiting(position);
            latest
        };
        self.set_timer(key, at);
    }
}
