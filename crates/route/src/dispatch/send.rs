//! What is sent from the queue of a lane, and what is dropped from it.

use std::time::Duration;

use ids::{Reason, Timestamp};

use super::call::State;
use super::dispatcher::{Cx, Dispatcher};
use super::lane::{Lane, LaneKey};
use super::message::Action;
use crate::key::CallKey;

impl Dispatcher {
    /// Sends what may be sent and drops what must be dropped in one lane.
    pub(super) fn pump(&mut self, cx: &mut Cx<'_>, key: LaneKey) {
        self.drop_all(cx, key);
        while let Some(lane) = &mut self.lanes[key] {
            let service = lane.service.mean();
            if let Some(call) = lane.queue.pop_overdue(cx.now, service) {
                let retry_after = lane.retry_after(cx.now);
                self.end_unsent(cx, call, Reason::Overload, retry_after);
                continue;
            }
            if !lane.has_room(cx.now) {
                return;
            }
            let Some(call) = lane.queue.pop(cx.now) else {
                return;
            };
            self.send(cx, call);
        }
    }

    /// Drops all waiting calls if the lane can send none of them soon.
    pub(super) fn drop_all(&mut self, cx: &mut Cx<'_>, key: LaneKey) {
        let Some(lane) = &self.lanes[key] else {
            return;
        };
        let Some((reason, retry_after)) = self.lane_fault(cx.now, lane) else {
            return;
        };
        while let Some(call) = self.lanes[key].as_mut().and_then(|l| l.queue.pop(cx.now)) {
            self.end_unsent(cx, call, reason, retry_after);
        }
    }

    pub(super) fn lane_fault(&self, now: Timestamp, lane: &Lane) -> Option<(Reason, Duration)> {
        if let Some(reason) = lane.stage_fault() {
            return Some((reason, Duration::ZERO));
        }
        if lane.is_lapsed(now, self.settings.lease_margin) {
            return Some((Reason::NoLease, Duration::ZERO));
        }
        let closed = lane.limiter.closed_for(now)?;
        Some((Reason::ConnectFailed, closed))
    }

    /// Sends a call that was taken off the queue, or refuses it if it may not be sent any more.
    pub(super) fn send(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let Some(lane) = &mut self.lanes[call.lane] else {
            return;
        };
        let deadline = call.arrival.deadline;
        let slice = call.arrival.slice;
        if lane.too_late_to_send(cx.now, deadline) {
            let retry_after = lane.retry_after(cx.now);
            self.end_unsent(cx, key, late(cx.now, deadline), retry_after);
            return;
        }
        if let Some(reason) = lane.lease_fault(cx.now, slice, self.settings.lease_margin) {
            self.end_unsent(cx, key, reason, Duration::ZERO);
            return;
        }
        let Some(lease) = &lane.lease else {
            return;
        };
        cx.actions.push(Action::Send {
            call: key,
            upstream: lane.id.clone(),
            epoch: lease.epoch,
            slice,
        });
        call.state = State::Sent { at: cx.now };
        lane.busy += 1;
        lane.connections += 1;
        lane.under_way.insert(key);
        self.arm(key, deadline);
    }
}

/// Returns the reason for which an unsent call is dropped because of its deadline.
pub(super) const fn late(now: Timestamp, deadline: Timestamp) -> Reason {
    if deadline.as_micros() <= now.as_micros() {
        return Reason::DeadlineExpired;
    }
    Reason::DeadlineTooShort
}
