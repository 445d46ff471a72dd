//! Ends of calls: answers, refusals, aborts and callers that disconnect.

use std::time::Duration;

use ids::{Outcome, Reason, Timestamp};

use super::call::{Call, CallState};
use super::dispatcher::{Dispatcher, StepContext};
use super::message::{Action, CallEnd};
use super::repeat::RepeatKey;
use crate::key::CallKey;

impl Dispatcher {
    /// Ends a call that was never sent and is no longer in a queue.
    pub(super) fn end_unsent(
        &mut self,
        cx: &mut StepContext<'_>,
        key: CallKey,
        reason: Reason,
        retry_after: Duration,
    ) {
        debug_assert_eq!(
            reason.outcome(),
            Outcome::NotRun,
            "{reason} of an unsent call"
        );
        let call = self.remove_call(key);
        if call.registered {
            self.repeats
                .record_not_run(&RepeatKey::of(&call.arrival), key);
        }
        if call.reply_due {
            cx.refuse(key, reason, retry_after);
        }
        for repeat in call.joined.into_iter().rev() {
            let repeat = self.remove_call(repeat);
            self.readmitted.push(repeat.arrival);
        }
    }

    pub(super) fn finished(&mut self, cx: &mut StepContext<'_>, key: CallKey, end: CallEnd) {
        let Some(call) = self.calls.get_mut(&key) else {
            debug_assert!(false, "call {key} finished while not in flight");
            return;
        };
        let queue = call.queue;
        match call.state {
            CallState::Sent { at } => self.end_sent(cx, key, at, end),
            CallState::Stopping {
                closed: false,
                stopped,
            } => {
                call.state = CallState::Stopping {
                    closed: true,
                    stopped,
                };
                self.queue_mut(queue).connections -= 1;
                self.remove_if_stopped(cx, key);
            }
            CallState::Stopping { closed: true, .. }
            | CallState::Waiting(_)
            | CallState::Held
            | CallState::Joined(_) => {
                debug_assert!(false, "call {key} finished while not in flight");
            }
        }
        self.process_queue(cx, queue);
    }

    /// Ends a call that was sent and not aborted.
    pub(super) fn end_sent(
        &mut self,
        cx: &mut StepContext<'_>,
        key: CallKey,
        sent_at: Timestamp,
        end: CallEnd,
    ) {
        let call = self.remove_call(key);
        let queue = self.queue_mut(call.queue);
        queue.busy_slots -= 1;
        queue.connections -= 1;
        queue.in_flight.swap_remove(&key);
        queue.observe_end(cx.now, sent_at, end);
        let closed = queue.limiter.closed_for(cx.now);
        let retry_after = closed.unwrap_or_else(|| queue.retry_after(cx.now));
        let waiting = call.reply_due.then_some(key);
        let waiting = waiting.into_iter().chain(call.joined.iter().copied());
        for to in waiting {
            cx.actions.push(match end {
                CallEnd::Answered { .. } => Action::Answer {
                    call: to,
                    from: key,
                },
                CallEnd::Failed(reason) => Action::Refuse {
                    call: to,
                    reason,
                    retry_after,
                },
            });
        }
        for &repeat in &call.joined {
            self.remove_call(repeat);
        }
        self.record_repeat_end(cx, &call, end);
        self.check_drained(cx, call.queue);
    }

    /// Records the end of a call that was sent in the repeat tracker.
    pub(super) fn record_repeat_end(
        &mut self,
        cx: &mut StepContext<'_>,
        call: &Call,
        end: CallEnd,
    ) {
        if !call.registered {
            return;
        }
        let arrival = &call.arrival;
        let key = RepeatKey::of(arrival);
        let answer = match end {
            CallEnd::Answered { bytes } => Some(bytes),
            CallEnd::Failed(_) => None,
        };
        let not_run = matches!(end, CallEnd::Failed(r) if r.outcome() == Outcome::NotRun);
        if arrival.idempotent || not_run {
            self.repeats.record_not_run(&key, arrival.call);
            return;
        }
        let kept = self.repeats.record_end(
            cx.now,
            &key,
            arrival.call,
            arrival.fingerprint,
            answer,
            &mut self.discarded,
        );
        if kept {
            cx.actions.push(Action::Keep { call: arrival.call });
        }
    }

    /// Aborts a call that is no longer wanted.
    pub(super) fn abort(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let CallState::Sent { at } = call.state else {
            debug_assert!(false, "call {key} aborted while not in flight");
            return;
        };
        debug_assert!(!call.is_wanted(), "call {key} aborted while still wanted");
        cx.actions.push(Action::Abort { call: key });
        call.state = CallState::Stopping {
            closed: false,
            stopped: false,
        };
        let registered = std::mem::take(&mut call.registered);
        let arrival = call.arrival.clone();
        let Some(queue) = &mut self.queues[call.queue] else {
            return;
        };
        let stopped_at =
            queue.observe_abort(cx.now, at, arrival.deadline) + self.settings.stop_grace;
        self.set_timer(key, stopped_at);
        if !registered {
            return;
        }
        let repeat = RepeatKey::of(&arrival);
        if arrival.idempotent {
            self.repeats.record_not_run(&repeat, key);
            return;
        }
        let fingerprint = arrival.fingerprint;
        self.repeats
            .record_end(cx.now, &repeat, key, fingerprint, None, &mut self.discarded);
    }

    /// Removes an aborted call once its slot and its connection are free.
    pub(super) fn remove_if_stopped(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        let call = &self.calls[&key];
        let CallState::Stopping {
            closed: true,
            stopped: true,
        } = call.state
        else {
            return;
        };
        let call = self.remove_call(key);
        self.queue_mut(call.queue).in_flight.swap_remove(&key);
        self.check_drained(cx, call.queue);
    }

    pub(super) fn caller_gone(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        // Its final action may have crossed this event.
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.reply_due = false;
        let queue = call.queue;
        match call.state {
            CallState::Waiting(_) | CallState::Held => {
                self.remove_waiting(key);
                self.end_unsent(cx, key, Reason::DeadlineExpired, Duration::ZERO);
            }
            CallState::Sent { .. } => self.abort_unwanted(cx, key),
            CallState::Joined(first) => {
                self.remove_call(key);
                self.detach_repeat(cx, key, first);
            }
            CallState::Stopping { .. } => {}
        }
        self.process_queue(cx, queue);
    }

    /// Removes an unsent call from its queue or hold.
    pub(super) fn remove_waiting(&mut self, key: CallKey) {
        let call = &self.calls[&key];
        let Some(queue) = &mut self.queues[call.queue] else {
            return;
        };
        if let CallState::Waiting(position) = call.state {
            queue.waiting.remove(position);
        }
        for hold in queue.holds.values_mut() {
            hold.calls.shift_remove(&key);
        }
    }

    /// Detaches a removed repeat from the call that it repeats.
    pub(super) fn detach_repeat(
        &mut self,
        cx: &mut StepContext<'_>,
        repeat: CallKey,
        first: CallKey,
    ) {
        self.calls[&first].joined.retain(|&c| c != repeat);
        self.abort_unwanted(cx, first);
    }

    pub(super) fn abort_unwanted(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        let call = &self.calls[&key];
        if matches!(call.state, CallState::Sent { .. }) && !call.is_wanted() {
            self.abort(cx, key);
        }
    }
}
