//! What time alone brings about.

use std::time::Duration;

use ids::{Reason, Timestamp};

use super::call::State;
use super::dispatcher::{Cx, Dispatcher};
use super::lane::{Lane, LaneKey};
use super::send::late;
use crate::key::CallKey;

impl Dispatcher {
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>) {
        while let Some(&(at, call)) = self.timers.first() {
            if at > cx.now {
                break;
            }
            self.timers.pop_first();
            self.timer(cx, call);
        }
        self.repeats.expire(cx.now, &mut self.discarded);
        let keys: Vec<LaneKey> = self.names.values().copied().collect();
        for key in keys {
            self.pump(cx, key);
        }
    }

    pub(super) fn lane_wake(&self, now: Timestamp, lane: &Lane) -> Timestamp {
        if lane.queue.is_empty() {
            return Timestamp::NEVER;
        }
        let rise = lane.limiter.next_rise(now).unwrap_or(Timestamp::NEVER);
        let lapse = lane.lease.as_ref().map_or(Timestamp::NEVER, |lease| {
            lease.valid_until - self.settings.lease_margin
        });
        rise.min(lapse)
    }

    pub(super) fn arm(&mut self, key: CallKey, at: Timestamp) {
        let call = &mut self.calls[&key];
        self.timers.remove(&(call.timer, key));
        call.timer = at;
        self.timers.insert((at, key));
    }

    /// Looks at a call whose timer ran out.
    pub(super) fn timer(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.timer = Timestamp::NEVER;
        let deadline = call.arrival.deadline;
        match call.state {
            State::Waiting(_) => self.waited_long(cx, key),
            State::Held => {
                self.take_off(key);
                self.end_unsent(cx, key, Reason::Moving, Duration::ZERO);
            }
            State::Sent { .. } => {
                if std::mem::take(&mut call.expected) {
                    cx.refuse(key, Reason::AnswerTimeout, Duration::ZERO);
                }
                self.stop_unwanted(cx, key);
            }
            State::Stopping { closed, .. } => {
                call.state = State::Stopping {
                    closed,
                    stopped: true,
                };
                let lane = call.lane;
                self.lane_mut(lane).busy -= 1;
                self.settle(cx, key);
            }
            State::Joined(first) => {
                debug_assert!(deadline <= cx.now, "a repeat waits until its deadline");
                self.forget(key);
                let reason = self.late_repeat(first);
                cx.refuse(key, reason, Duration::ZERO);
                self.leave(cx, key, first);
            }
        }
    }

    /// Returns the reason for which a repeat of `first` ends whose deadline has passed.
    pub(super) fn late_repeat(&self, first: CallKey) -> Reason {
        match self.calls[&first].state {
            State::Sent { .. } => Reason::AnswerTimeout,
            _ => Reason::Duplicate,
        }
    }

    pub(super) fn waited_long(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let call = &self.calls[&key];
        let Some(lane) = &self.lanes[call.lane] else {
            return;
        };
        let deadline = call.arrival.deadline;
        if lane.too_late_to_send(cx.now, deadline) {
            let retry_after = lane.retry_after(cx.now);
            self.take_off(key);
            self.end_unsent(cx, key, late(cx.now, deadline), retry_after);
            return;
        }
        let latest = deadline - lane.service.mean();
        let at = if latest > cx.now { latest } else { deadline };
        self.arm(key, at);
    }
}
