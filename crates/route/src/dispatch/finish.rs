//! How calls end: answered, refused, aborted, left by their callers.

use std::time::Duration;

use ids::{Outcome, Reason, Timestamp};

use super::call::{Call, State};
use super::dispatcher::{Cx, Dispatcher};
use super::message::{Action, Ended};
use super::repeat::RepeatKey;
use crate::key::CallKey;

impl Dispatcher {
    /// Ends a call that was never sent and is in no queue any more.
    pub(super) fn end_unsent(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        reason: Reason,
        retry_after: Duration,
    ) {
        debug_assert_eq!(
            reason.outcome(),
            Outcome::NotRun,
            "{reason} of an unsent call"
        );
        let call = self.forget(key);
        if call.registered {
            self.repeats.not_run(&RepeatKey::of(&call.arrival), key);
        }
        if call.expected {
            cx.refuse(key, reason, retry_after);
        }
        for repeat in call.joined.into_iter().rev() {
            let repeat = self.forget(repeat);
            self.returned.push(repeat.arrival);
        }
    }

    pub(super) fn finished(&mut self, cx: &mut Cx<'_>, key: CallKey, how: Ended) {
        let Some(call) = self.calls.get_mut(&key) else {
            debug_assert!(false, "call {key} finished without being under way");
            return;
        };
        let lane = call.lane;
        match call.state {
            State::Sent { at } => self.ended(cx, key, at, how),
            State::Stopping {
                closed: false,
                stopped,
            } => {
                call.state = State::Stopping {
                    closed: true,
                    stopped,
                };
                self.lane_mut(lane).connections -= 1;
                self.settle(cx, key);
            }
            State::Stopping { closed: true, .. }
            | State::Waiting(_)
            | State::Held
            | State::Joined(_) => {
                debug_assert!(false, "call {key} finished without being under way");
            }
        }
        self.pump(cx, lane);
    }

    /// Ends a call that was sent and whose end is known.
    pub(super) fn ended(&mut self, cx: &mut Cx<'_>, key: CallKey, sent_at: Timestamp, how: Ended) {
        let call = self.forget(key);
        let lane = self.lane_mut(call.lane);
        lane.busy -= 1;
        lane.connections -= 1;
        lane.under_way.swap_remove(&key);
        lane.observe(cx.now, sent_at, how);
        let closed = lane.limiter.closed_for(cx.now);
        let retry_after = closed.unwrap_or_else(|| lane.retry_after(cx.now));
        let waiting = call.expected.then_some(key);
        let waiting = waiting.into_iter().chain(call.joined.iter().copied());
        for to in waiting {
            cx.actions.push(match how {
                Ended::Answered { .. } => Action::Answer {
                    call: to,
                    from: key,
                },
                Ended::Failed(reason) => Action::Refuse {
                    call: to,
                    reason,
                    retry_after,
                },
            });
        }
        for &repeat in &call.joined {
            self.forget(repeat);
        }
        self.remember(cx, &call, how);
        self.check_drained(cx, call.lane);
    }

    /// Takes the end of a call that was sent into the memory of repeats.
    pub(super) fn remember(&mut self, cx: &mut Cx<'_>, call: &Call, how: Ended) {
        if !call.registered {
            return;
        }
        let arrival = &call.arrival;
        let key = RepeatKey::of(arrival);
        let answer = match how {
            Ended::Answered { bytes } => Some(bytes),
            Ended::Failed(_) => None,
        };
        let not_run = matches!(how, Ended::Failed(r) if r.outcome() == Outcome::NotRun);
        if arrival.idempotent || not_run {
            self.repeats.not_run(&key, arrival.call);
            return;
        }
        let kept = self.repeats.ended(
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

    /// Aborts a call that nobody waits for any more.
    pub(super) fn stop(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let State::Sent { at } = call.state else {
            debug_assert!(false, "call {key} stopped without being under way");
            return;
        };
        debug_assert!(!call.is_wanted(), "call {key} stopped though wanted");
        cx.actions.push(Action::Abort { call: key });
        call.state = State::Stopping {
            closed: false,
            stopped: false,
        };
        let registered = std::mem::take(&mut call.registered);
        let arrival = call.arrival.clone();
        let Some(lane) = &mut self.lanes[call.lane] else {
            return;
        };
        let stopped_at = lane.stop(cx.now, at, arrival.deadline) + self.settings.stop_grace;
        self.arm(key, stopped_at);
        if !registered {
            return;
        }
        let repeat = RepeatKey::of(&arrival);
        if arrival.idempotent {
            self.repeats.not_run(&repeat, key);
            return;
        }
        let fingerprint = arrival.fingerprint;
        self.repeats
            .ended(cx.now, &repeat, key, fingerprint, None, &mut self.discarded);
    }

    /// Forgets an aborted call once its slot and its connection are free.
    pub(super) fn settle(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let call = &self.calls[&key];
        let State::Stopping {
            closed: true,
            stopped: true,
        } = call.state
        else {
            return;
        };
        let call = self.forget(key);
        self.lane_mut(call.lane).under_way.swap_remove(&key);
        self.check_drained(cx, call.lane);
    }

    pub(super) fn caller_gone(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        // Its final action may have crossed this event.
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.expected = false;
        let lane = call.lane;
        match call.state {
            State::Waiting(_) | State::Held => {
                self.take_off(key);
                self.end_unsent(cx, key, Reason::DeadlineExpired, Duration::ZERO);
            }
            State::Sent { .. } => self.stop_unwanted(cx, key),
            State::Joined(first) => {
                self.forget(key);
                self.leave(cx, key, first);
            }
            State::Stopping { .. } => {}
        }
        self.pump(cx, lane);
    }

    /// Takes an unsent call out of its queue or hold.
    pub(super) fn take_off(&mut self, key: CallKey) {
        let call = &self.calls[&key];
        let Some(lane) = &mut self.lanes[call.lane] else {
            return;
        };
        if let State::Waiting(place) = call.state {
            lane.queue.remove(place);
        }
        for hold in lane.holds.values_mut() {
            hold.calls.shift_remove(&key);
        }
    }

    /// Takes a repeat that was forgotten off the call that it repeats.
    pub(super) fn leave(&mut self, cx: &mut Cx<'_>, repeat: CallKey, first: CallKey) {
        self.calls[&first].joined.retain(|&c| c != repeat);
        self.stop_unwanted(cx, first);
    }

    pub(super) fn stop_unwanted(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let call = &self.calls[&key];
        if matches!(call.state, State::Sent { .. }) && !call.is_wanted() {
            self.stop(cx, key);
        }
    }
}
