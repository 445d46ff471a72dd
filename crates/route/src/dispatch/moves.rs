//! Addition and removal of upstreams, and moves of slices.

use std::sync::Arc;
use std::time::Duration;

use ids::{Reason, SliceNo, UpstreamId};

use super::call::CallState;
use super::dispatcher::{Dispatcher, StepContext};
use super::message::{Action, UpstreamLimits};
use super::upstream_queue::{Stage, UpstreamQueue, UpstreamQueueKey};
use crate::key::CallKey;

impl Dispatcher {
    pub(super) fn declare(
        &mut self,
        cx: &mut StepContext<'_>,
        upstream: UpstreamId,
        limits: UpstreamLimits,
    ) {
        let key = match self.queue_keys.get(&upstream) {
            Some(&key) => key,
            None => self.queues.push(None),
        };
        self.queue_keys.insert(upstream.clone(), key);
        match &mut self.queues[key] {
            Some(queue) => queue.declare(cx.now, limits),
            slot => *slot = Some(UpstreamQueue::new(cx.now, upstream, limits, &self.settings)),
        }
        self.process_queue(cx, key);
    }

    pub(super) fn draining(&mut self, cx: &mut StepContext<'_>, upstream: &UpstreamId) {
        let Some(&key) = self.queue_keys.get(upstream) else {
            return;
        };
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        if queue.stage != Stage::Open {
            return;
        }
        queue.stage = Stage::Draining { drained: false };
        self.process_queue(cx, key);
        self.check_drained(cx, key);
    }

    pub(super) fn removed(&mut self, cx: &mut StepContext<'_>, upstream: &UpstreamId) {
        let Some(&key) = self.queue_keys.get(upstream) else {
            return;
        };
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        let held: Vec<CallKey> = queue
            .holds
            .values()
            .flat_map(|h| &h.calls)
            .copied()
            .collect();
        queue.remove();
        for call in held {
            self.end_unsent(cx, call, Reason::StaleRoute, Duration::ZERO);
        }
        self.process_queue(cx, key);
        self.check_drained(cx, key);
    }

    pub(super) fn hold(
        &mut self,
        cx: &mut StepContext<'_>,
        upstream: &UpstreamId,
        slice: Option<SliceNo>,
    ) {
        let Some(&key) = self.queue_keys.get(upstream) else {
            return;
        };
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        if !queue.hold(cx.now, slice) {
            return;
        }
        self.update_call_slices(cx, key);
        self.check_drained(cx, key);
    }

    pub(super) fn release(
        &mut self,
        cx: &mut StepContext<'_>,
        upstream: &UpstreamId,
        slice: Option<SliceNo>,
        to: Option<&UpstreamId>,
    ) {
        let Some(&key) = self.queue_keys.get(upstream) else {
            return;
        };
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        let Some(hold) = queue.holds.shift_remove(&slice) else {
            return;
        };
        let target = to.and_then(|id| self.queue_keys.get(id)).copied();
        let target = target.filter(|&k| self.queues[k].is_some());
        for call in hold.calls {
            let Some(target) = target else {
                self.end_unsent(cx, call, Reason::StaleRoute, Duration::ZERO);
                continue;
            };
            self.calls[&call].queue = target;
            self.update_call_slice(target, call);
            self.enqueue(cx, call);
        }
        self.update_call_slices(cx, key);
        self.process_queue(cx, key);
        if let Some(target) = target {
            self.process_queue(cx, target);
        }
    }

    /// Emits [`Action::Drained`] if no call of a held slice, or of a held or draining upstream, is
    /// in flight; forgets a removed upstream that has none.
    pub(super) fn check_drained(&mut self, cx: &mut StepContext<'_>, key: UpstreamQueueKey) {
        self.check_holds(cx, key);
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        if !queue.in_flight.is_empty() {
            return;
        }
        match queue.stage {
            Stage::Draining { drained: false } => {
                queue.stage = Stage::Draining { drained: true };
                cx.actions.push(Action::Drained {
                    upstream: queue.id.clone(),
                    slice: None,
                });
            }
            Stage::Removed => self.queues[key] = None,
            Stage::Open | Stage::Draining { drained: true } => {}
        }
    }

    fn check_hold(
        &mut self,
        cx: &mut StepContext<'_>,
        key: UpstreamQueueKey,
        held_slice: Option<SliceNo>,
    ) {
        let calls = &self.calls;
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        let Some(hold) = queue.holds.get_mut(&held_slice) else {
            return;
        };
        let counts = |c: &CallKey| held_slice.is_none() || calls[c].counts_to(held_slice);
        if hold.drained || queue.in_flight.iter().any(counts) {
            return;
        }
        hold.drained = true;
        cx.actions.push(Action::Drained {
            upstream: queue.id.clone(),
            slice: held_slice,
        });
    }

    /// Sets the hot slices carved out of an upstream's slices. Calls that arrived earlier count to
    /// the slices of their keys from now on, so that a hold covers them.
    pub(super) fn set_hot_slices(
        &mut self,
        cx: &mut StepContext<'_>,
        upstream: &UpstreamId,
        hot: Arc<[SliceNo]>,
    ) {
        debug_assert!(hot.is_sorted(), "hot slices are sorted");
        let Some(&key) = self.queue_keys.get(upstream) else {
            return;
        };
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        queue.hot_slices = hot;
        self.update_call_slices(cx, key);
        self.check_holds(cx, key);
    }

    /// Recomputes the slices of a queue's calls from the hot and held slices, and moves waiting
    /// calls behind the holds of their slices.
    fn update_call_slices(&mut self, cx: &StepContext<'_>, key: UpstreamQueueKey) {
        let of_queue = self.calls.iter().filter(|(_, c)| c.queue == key);
        let calls: Vec<CallKey> = of_queue.map(|(&call, _)| call).collect();
        for call in calls {
            self.update_call_slice(key, call);
            let record = &mut self.calls[&call];
            let Some(queue) = &self.queues[key] else {
                return;
            };
            let slice = record.arrival.slice;
            record.counts_to_any_slice |=
                slice.is_some_and(|s| s.is_hot() && !queue.has_own_slice(s));
            if matches!(record.state, CallState::Waiting(_)) && queue.is_held(slice) {
                self.remove_waiting(call);
                self.enqueue(cx, call);
            }
        }
    }

    /// Checks all holds of an upstream queue.
    fn check_holds(&mut self, cx: &mut StepContext<'_>, key: UpstreamQueueKey) {
        let Some(queue) = &self.queues[key] else {
            return;
        };
        let slices: Vec<Option<SliceNo>> = queue.holds.keys().copied().collect();
        for held_slice in slices {
            self.check_hold(cx, key, held_slice);
        }
    }

    /// Recomputes the slice of a call: its key's hot slice if that is carved out or held.
    fn update_call_slice(&mut self, queue: UpstreamQueueKey, call: CallKey) {
        let arrival = &mut self.calls[&call].arrival;
        if let Some(queue) = &self.queues[queue] {
            arrival.slice = queue.effective_slice(arrival.slice, arrival.key);
        }
    }
}
