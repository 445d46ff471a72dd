//! Sending and dropping of waiting calls.

use std::time::Duration;

use ids::{Reason, Timestamp};

use super::call::CallState;
use super::dispatcher::{Dispatcher, StepContext};
use super::message::Action;
use super::upstream_queue::{UpstreamQueue, UpstreamQueueKey};
use crate::key::CallKey;

impl Dispatcher {
    /// Sends the waiting calls of an upstream that may be sent and drops those that must be
    /// dropped.
    pub(super) fn process_queue(&mut self, cx: &mut StepContext<'_>, key: UpstreamQueueKey) {
        self.drop_waiting(cx, key);
        while let Some(queue) = &mut self.queues[key] {
            let service = queue.service.mean();
            if let Some(call) = queue.waiting.pop_overdue(cx.now, service) {
                let retry_after = queue.retry_after(cx.now);
                self.end_unsent(cx, call, Reason::Overload, retry_after);
                continue;
            }
            if !queue.has_room(cx.now) {
                return;
            }
            let Some(call) = queue.waiting.pop(cx.now) else {
                return;
            };
            self.send(cx, call);
        }
    }

    /// Drops all waiting calls if the upstream can't be sent any of them soon.
    pub(super) fn drop_waiting(&mut self, cx: &mut StepContext<'_>, key: UpstreamQueueKey) {
        let Some(queue) = &self.queues[key] else {
            return;
        };
        let Some((reason, retry_after)) = self.queue_refusal(cx.now, queue) else {
            return;
        };
        while let Some(call) = self.queues[key]
            .as_mut()
            .and_then(|q| q.waiting.pop(cx.now))
        {
            self.end_unsent(cx, call, reason, retry_after);
        }
    }

    pub(super) fn queue_refusal(
        &self,
        now: Timestamp,
        queue: &UpstreamQueue,
    ) -> Option<(Reason, Duration)> {
        if let Some(reason) = queue.stage_refusal() {
            return Some((reason, Duration::ZERO));
        }
        if queue.is_lease_over(now, self.settings.lease_margin) {
            return Some((Reason::NoLease, Duration::ZERO));
        }
        let closed = queue.limiter.closed_for(now)?;
        Some((Reason::ConnectFailed, closed))
    }

    /// Sends a call that was removed from the queue, or refuses it if it may no longer be sent.
    pub(super) fn send(&mut self, cx: &mut StepContext<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let Some(queue) = &mut self.queues[call.queue] else {
            return;
        };
        let deadline = call.arrival.deadline;
        let slice = call.arrival.slice;
        let send_by = queue.send_by(&call.arrival);
        if send_by <= cx.now {
            let retry_after = queue.retry_after(cx.now);
            self.end_unsent(cx, key, late_reason(cx.now, deadline), retry_after);
            return;
        }
        if let Some(reason) = queue.lease_refusal(cx.now, slice, self.settings.lease_margin) {
            self.end_unsent(cx, key, reason, Duration::ZERO);
            return;
        }
        let Some(lease) = &queue.lease else {
            return;
        };
        cx.actions.push(Action::Send {
            call: key,
            upstream: queue.id.clone(),
            epoch: lease.epoch,
            slice,
            send_by,
        });
        call.state = CallState::Sent { at: cx.now };
        queue.busy_slots += 1;
        queue.connections += 1;
        queue.in_flight.insert(key);
        self.set_timer(key, deadline);
    }
}

/// Returns the reason for dropping an unsent call because of its deadline.
pub(super) const fn late_reason(now: Timestamp, deadline: Timestamp) -> Reason {
    if deadline.as_micros() <= now.as_micros() {
        return Reason::DeadlineExpired;
    }
    Reason::DeadlineTooShort
}
