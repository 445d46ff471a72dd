//! Timers of calls and periodic work.

use std::time::Duration;

use ids::{Reason, Timestamp};

use super::call::CallState;
use super::dispatcher::{Dispatcher, StepContext};
use super::send::late_reason;
use super::upstream_queue::{UpstreamQueue, UpstreamQueueKey};
use crate::key::CallKey;

impl Dispatcher {
    pub(super) fn tick(&mut self, cx: &mut StepContext<'_>) {
        while let Some(&(at, call)) = self.timers.first() {
            if at > cx.now {
                break;
            }
            self.timers.pop_first();
            self.timer_expired(cx, call);
        }
        self.repeats.expire(cx.now, &mut self.discarded);
        let keys: Vec<UpstreamQueueKey> = self.queue_keys.values().copied().collect();
        for key in keys {
            self.process_queue(cx, key);
        }
    }

    pub(super) fn queue_wake(&self, now: Timestamp, queue: &UpstreamQueue) -> Timestamp {
        if queue.waiting.is_empty() {
            return Timestamp::NEVER;
        }
        let rise = queue.limiter.next_rise(now).unwrap_or(Timestamp::NEVER);
        let lease_end = queue.lease.as_ref().map_or(Timestamp::NEVER, |lease| {
            lease.valid_until - self.settings.lease_margin
        });
        rise.min(lease_end)
    }

    pub(super) fn set_timer(&mut self, key: CallKey, at: Timestamp) {
        let call = &mut self.calls[&key];
        self.timers.remove(&(call.timer, key));
        call.timer = at;
        self.timers.insert((at, key));
    }

    /// Handles the expiry of a call's timer.
    pub(super) fn timer_expired(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.timer = Timestamp::NEVER;
        let deadline = call.arrival.deadline;
        match call.state {
            CallState::Waiting(_) => self.check_waiting_deadline(cx, key),
            CallState::Held => {
                self.remove_waiting(key);
                self.end_unsent(cx, key, Reason::Moving, Duration::ZERO);
            }
            CallState::Sent { .. } => {
                if std::mem::take(&mut call.reply_due) {
                    cx.refuse(key, Reason::AnswerTimeout, Duration::ZERO);
                }
                self.abort_unwanted(cx, key);
            }
            CallState::Stopping { closed, .. } => {
                call.state = CallState::Stopping {
                    closed,
                    stopped: true,
                };
                let queue = call.queue;
                self.queue_mut(queue).busy_slots -= 1;
                self.remove_if_stopped(cx, key);
            }
            CallState::Joined(first) => {
                debug_assert!(deadline <= cx.now, "a repeat waits until its deadline");
                self.remove_call(key);
                let reason = self.late_repeat_reason(first);
                cx.refuse(key, reason, Duration::ZERO);
                self.detach_repeat(cx, key, first);
            }
        }
    }

    /// Returns the reason with which a repeat of `first` ends when its deadline has passed.
    pub(super) fn late_repeat_reason(&self, first: CallKey) -> Reason {
        match self.calls[&first].state {
            CallState::Sent { .. } => Reason::AnswerTimeout,
            _ => Reason::Duplicate,
        }
    }

    pub(super) fn check_waiting_deadline(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        let call = &self.calls[&key];
        let Some(queue) = &self.queues[call.queue] else {
            return;
        };
        let deadline = call.arrival.deadline;
        let send_by = queue.send_by(&call.arrival);
        if send_by <= cx.now {
            let retry_after = queue.retry_after(cx.now);
            self.remove_waiting(key);
            self.end_unsent(cx, key, late_reason(cx.now, deadline), retry_after);
            return;
        }
        self.set_timer(key, send_by);
    }
}
