//! The dispatcher: events in, actions out.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::{Arena, Reason, Timestamp, UpstreamId};
use indexmap::IndexMap;

use super::call::Call;
use super::message::{Action, Arrival, Event};
use super::repeat::{RepeatBounds, RepeatTracker};
use super::settings::DispatcherSettings;
use super::upstream_queue::{UpstreamQueue, UpstreamQueueKey};
use crate::key::CallKey;

/// Context of one step: the time and the resulting actions.
#[derive(Debug)]
pub(super) struct StepContext<'a> {
    pub(super) now: Timestamp,
    pub(super) actions: &'a mut Vec<Action>,
}

impl StepContext<'_> {
    /// Refuses a call.
    pub(super) fn refuse(&mut self, call: CallKey, reason: Reason, retry_after: Duration) {
        self.actions.push(Action::Refuse {
            call,
            reason,
            retry_after,
        });
    }
}

/// Queues and sends the calls of all upstreams of one coordinating host.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: DispatcherSettings,
    pub(super) queue_keys: IndexMap<UpstreamId, UpstreamQueueKey>,
    pub(super) queues: Arena<UpstreamQueueKey, Option<UpstreamQueue>>,
    pub(super) calls: IndexMap<CallKey, Call>,
    pub(super) timers: BTreeSet<(Timestamp, CallKey)>,
    pub(super) repeats: RepeatTracker,
    /// Number of the next call in order of arrival.
    pub(super) next_sequence: u64,
    /// Repeats whose first call ended unsent; they arrive again at the end of the step.
    pub(super) readmitted: Vec<Arrival>,
    /// Kept answers that were dropped in this step.
    pub(super) discarded: Vec<CallKey>,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    #[must_use]
    pub fn new(settings: DispatcherSettings) -> Self {
        let bounds = RepeatBounds {
            window: settings.repeat_window,
            ids: settings.repeat_ids,
            bytes: settings.repeat_bytes,
        };
        Self {
            settings,
            queue_keys: IndexMap::new(),
            queues: Arena::new(),
            calls: IndexMap::new(),
            timers: BTreeSet::new(),
            repeats: RepeatTracker::new(bounds),
            next_sequence: 0,
            readmitted: Vec::new(),
            discarded: Vec::new(),
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut cx = StepContext { now, actions };
        self.handle(&mut cx, event);
        while let Some(arrival) = self.readmitted.pop() {
            self.arrive(&mut cx, arrival);
        }
        self.flush_discarded(&mut cx);
    }

    /// Returns when the next [`Event::Tick`] is due; [`Timestamp::NEVER`] if none is.
    #[must_use]
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let timer = self.timers.first().map_or(Timestamp::NEVER, |&(at, _)| at);
        let queues = self.queues.iter().filter_map(|(_, queue)| queue.as_ref());
        queues.fold(timer, |at, queue| at.min(self.queue_wake(now, queue)))
    }

    /// Returns how many calls are in flight at the upstream or wait for it.
    #[must_use]
    pub fn load(&self, upstream: &UpstreamId) -> u32 {
        self.queue(upstream).map_or(0, UpstreamQueue::load)
    }

    /// Returns how many calls may be in flight at the upstream now.
    #[must_use]
    pub fn allowed(&self, now: Timestamp, upstream: &UpstreamId) -> u32 {
        self.queue(upstream).map_or(0, |q| q.limiter.allowed(now))
    }

    fn queue(&self, upstream: &UpstreamId) -> Option<&UpstreamQueue> {
        let key = *self.queue_keys.get(upstream)?;
        self.queues[key].as_ref()
    }

    fn handle(&mut self, cx: &mut StepContext<'_>, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(cx, arrival),
            Event::Finished { call, end } => self.finished(cx, call, end),
            Event::CallerGone { call } => self.caller_gone(cx, call),
            Event::UpstreamDeclared { upstream, limits } => self.declare(cx, upstream, limits),
            Event::Restarted { upstream } => self.with_queue(cx, &upstream, |cx, queue| {
                queue.limiter.restarted(cx.now);
            }),
            Event::Draining { upstream } => self.draining(cx, &upstream),
            Event::Removed { upstream } => self.removed(cx, &upstream),
            Event::Lease {
                upstream,
                epoch,
                valid_until,
                slices,
            } => self.with_queue(cx, &upstream, |_, queue| {
                queue.grant(epoch, valid_until, slices);
            }),
            Event::LeaseEnded { upstream } => self.with_queue(cx, &upstream, |_, queue| {
                queue.end_lease();
            }),
            Event::HotSlicesChanged { upstream, hot } => self.set_hot_slices(cx, &upstream, hot),
            Event::Hold { upstream, slice } => self.hold(cx, &upstream, slice),
            Event::Release {
                upstream,
                slice,
                to,
            } => self.release(cx, &upstream, slice, to.as_ref()),
            Event::Health { upstream, healthy } => self.with_queue(cx, &upstream, |cx, queue| {
                queue.limiter.report(cx.now, healthy);
            }),
            Event::Tick => self.tick(cx),
        }
    }

    /// Changes an upstream queue and sends the calls that may be sent then.
    fn with_queue(
        &mut self,
        cx: &mut StepContext<'_>,
        upstream: &UpstreamId,
        change: impl FnOnce(&StepContext<'_>, &mut UpstreamQueue),
    ) {
        let Some(&key) = self.queue_keys.get(upstream) else {
            return;
        };
        let Some(queue) = &mut self.queues[key] else {
            return;
        };
        change(cx, queue);
        self.process_queue(cx, key);
    }

    fn flush_discarded(&mut self, cx: &mut StepContext<'_>) {
        let discarded = self.discarded.drain(..);
        cx.actions
            .extend(discarded.map(|call| Action::Discard { call }));
    }

    /// Removes a call and its timer.
    pub(super) fn remove_call(&mut self, key: CallKey) -> Call {
        let call = self
            .calls
            .swap_remove(&key)
            .expect("calls that have not ended are recorded");
        self.timers.remove(&(call.timer, key));
        call
    }

    /// Returns the upstream queue of a call in flight, which exists until the call has ended.
    pub(super) fn queue_mut(&mut self, key: UpstreamQueueKey) -> &mut UpstreamQueue {
        self.queues[key]
            .as_mut()
            .expect("a queue exists while calls are in flight")
    }
}
