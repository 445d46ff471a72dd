//! How a call comes in: repeats, refusals, its place.

use std::time::Duration;

use ids::{Reason, Timestamp};

use super::call::{Call, State};
use super::dispatcher::{Cx, Dispatcher};
use super::lane::LaneKey;
use super::message::{Action, Arrival};
use super::queue::Waiting;
use super::repeat::{Known, RepeatKey};
use crate::key::CallKey;

impl Dispatcher {
    pub(super) fn arrive(&mut self, cx: &mut Cx<'_>, mut arrival: Arrival) {
        debug_assert!(
            !self.calls.contains_key(&arrival.call),
            "call {} came twice",
            arrival.call
        );
        let Some(registered) = self.check_repeat(cx, &arrival) else {
            return;
        };
        let lane = self.names.get(&arrival.upstream).copied();
        let Some(key) = lane.filter(|&k| self.lanes[k].is_some()) else {
            cx.refuse(arrival.call, Reason::StaleRoute, Duration::ZERO);
            return;
        };
        if let Some(lane) = &self.lanes[key] {
            arrival.slice = lane.resolve(arrival.slice, arrival.key);
        }
        // Calls that waited too long make room first.
        self.pump(cx, key);
        if let Some((reason, retry_after)) = self.arrival_fault(cx.now, key, &arrival) {
            cx.refuse(arrival.call, reason, retry_after);
            return;
        }
        let call = self.insert(key, arrival, registered);
        self.place(cx, call);
        self.pump(cx, key);
    }

    /// Finds out whether the call repeats another one and if so, deals with it. Returns whether
    /// the call's id is to be remembered, or nothing if the call is dealt with.
    pub(super) fn check_repeat(&mut self, cx: &mut Cx<'_>, arrival: &Arrival) -> Option<bool> {
        let key = RepeatKey::of(arrival);
        let known = self.repeats.known(cx.now, &key, &mut self.discarded);
        let call = arrival.call;
        match known {
            None => return Some(true),
            Some(Known::UnderWay(first)) => {
                let first_arrival = &self.calls[&first].arrival;
                if first_arrival.fingerprint == arrival.fingerprint {
                    if arrival.deadline <= cx.now {
                        cx.refuse(call, self.late_repeat(first), Duration::ZERO);
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
            Some(Known::Kept {
                call: from,
                fingerprint,
            }) if fingerprint == arrival.fingerprint => {
                cx.actions.push(Action::Answer { call, from });
            }
            Some(Known::Kept { .. } | Known::Ended) => {
                if arrival.idempotent {
                    return Some(true);
                }
                cx.refuse(call, Reason::DuplicateUnknown, Duration::ZERO);
            }
        }
        None
    }

    pub(super) fn join(&mut self, arrival: Arrival, first: CallKey) {
        let lane = self.calls[&first].lane;
        let deadline = arrival.deadline;
        let call = self.insert(lane, arrival, false);
        self.calls[&call].state = State::Joined(first);
        self.calls[&first].joined.push(call);
        self.arm(call, deadline);
    }

    /// Returns why a call is refused as it comes, and when to come back.
    pub(super) fn arrival_fault(
        &self,
        now: Timestamp,
        key: LaneKey,
        arrival: &Arrival,
    ) -> Option<(Reason, Duration)> {
        let lane = self.lanes[key].as_ref()?;
        if arrival.deadline <= now {
            return Some((Reason::DeadlineExpired, Duration::ZERO));
        }
        if let Some(reason) = lane.stage_fault() {
            return Some((reason, Duration::ZERO));
        }
        let full = lane.waiting() >= lane.limits.queue as usize;
        if let Some(since) = lane.held_since(arrival.slice) {
            // Its time to wait for the move is over before it begins.
            if since + self.settings.hold_max <= now {
                return Some((Reason::Moving, lane.retry_after(now)));
            }
            return full.then(|| (Reason::QueueFull, lane.retry_after(now)));
        }
        let margin = self.settings.lease_margin;
        if let Some(reason) = lane.lease_fault(now, arrival.slice, margin) {
            return Some((reason, Duration::ZERO));
        }
        if let Some(closed) = lane.limiter.closed_for(now) {
            return Some((Reason::ConnectFailed, closed));
        }
        if full && !(lane.queue.is_empty() && lane.has_room(now)) {
            return Some((Reason::QueueFull, lane.retry_after(now)));
        }
        let early = self.settings.queue.refuse_early;
        if early && lane.too_late_to_wait(now, arrival.deadline) {
            return Some((Reason::DeadlineTooShort, lane.retry_after(now)));
        }
        None
    }

    pub(super) fn insert(&mut self, lane: LaneKey, arrival: Arrival, registered: bool) -> CallKey {
        let call = arrival.call;
        if registered {
            self.repeats.begin(RepeatKey::of(&arrival), call);
        }
        let record = Call {
            arrival,
            lane,
            number: self.next_number,
            state: State::Held,
            expected: true,
            joined: Vec::new(),
            timer: Timestamp::NEVER,
            registered,
            loose: false,
        };
        self.next_number += 1;
        self.calls.insert(call, record);
        call
    }

    /// Puts an unsent call where it waits in its lane: behind a hold or into the queue.
    pub(super) fn place(&mut self, cx: &Cx<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let Some(lane) = &mut self.lanes[call.lane] else {
            return;
        };
        let deadline = call.arrival.deadline;
        let latest = deadline - lane.service.mean();
        let latest = if latest > cx.now { latest } else { deadline };
        let at = if let Some(hold) = lane.hold_of(call.arrival.slice) {
            hold.calls.insert(key);
            call.state = State::Held;
            latest.min(hold.since + self.settings.hold_max)
        } else {
            let waiting = Waiting {
                call: key,
                since: cx.now,
            };
            let place = lane.queue.push(cx.now, call.number, waiting, deadline);
            call.state = State::Waiting(place);
            latest
        };
        self.arm(key, at);
    }
}
