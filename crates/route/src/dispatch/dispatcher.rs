//! The dispatcher: events in, actions out.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::{Arena, Reason, Timestamp, UpstreamId};
use indexmap::IndexMap;

use super::call::Call;
use super::lane::{Lane, LaneKey};
use super::message::{Action, Arrival, Event};
use super::repeat::{RepeatBounds, Repeats};
use super::settings::DispatcherSettings;
use crate::key::CallKey;

/// What one step works with.
#[derive(Debug)]
pub(super) struct Cx<'a> {
    pub(super) now: Timestamp,
    pub(super) actions: &'a mut Vec<Action>,
}

impl Cx<'_> {
    /// Refuses a call.
    pub(super) fn refuse(&mut self, call: CallKey, reason: Reason, retry_after: Duration) {
        self.actions.push(Action::Refuse {
            call,
            reason,
            retry_after,
        });
    }
}

/// Decides for all upstreams of one coordinating host.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: DispatcherSettings,
    pub(super) names: IndexMap<UpstreamId, LaneKey>,
    pub(super) lanes: Arena<LaneKey, Option<Lane>>,
    pub(super) calls: IndexMap<CallKey, Call>,
    pub(super) timers: BTreeSet<(Timestamp, CallKey)>,
    pub(super) repeats: Repeats,
    /// Number of the next call in order of arrival.
    pub(super) next_number: u64,
    /// Repeats whose first call ended unsent: they come again at the end of the step.
    pub(super) returned: Vec<Arrival>,
    /// Kept answers that were just forgotten.
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
            names: IndexMap::new(),
            lanes: Arena::new(),
            calls: IndexMap::new(),
            timers: BTreeSet::new(),
            repeats: Repeats::new(bounds),
            next_number: 0,
            returned: Vec::new(),
            discarded: Vec::new(),
        }
    }

    /// Takes an event and appends what follows from it to `actions`.
    pub fn step(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut cx = Cx { now, actions };
        self.take(&mut cx, event);
        while let Some(arrival) = self.returned.pop() {
            self.arrive(&mut cx, arrival);
        }
        self.flush_discarded(&mut cx);
    }

    /// Returns when the next [`Event::Tick`] is due; [`Timestamp::NEVER`] if none is.
    #[must_use]
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let timer = self.timers.first().map_or(Timestamp::NEVER, |&(at, _)| at);
        let lanes = self.lanes.iter().filter_map(|(_, lane)| lane.as_ref());
        lanes.fold(timer, |at, lane| at.min(self.lane_wake(now, lane)))
    }

    /// Returns how many calls the upstream has under way or waiting.
    #[must_use]
    pub fn load(&self, upstream: &UpstreamId) -> u32 {
        self.lane(upstream).map_or(0, Lane::load)
    }

    /// Returns how many calls may be under way at the upstream now.
    #[must_use]
    pub fn allowed(&self, now: Timestamp, upstream: &UpstreamId) -> u32 {
        self.lane(upstream).map_or(0, |l| l.limiter.allowed(now))
    }

    fn lane(&self, upstream: &UpstreamId) -> Option<&Lane> {
        let key = *self.names.get(upstream)?;
        self.lanes[key].as_ref()
    }

    fn take(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(cx, arrival),
            Event::Finished { call, how } => self.finished(cx, call, how),
            Event::CallerGone { call } => self.caller_gone(cx, call),
            Event::Upstream { upstream, limits } => self.declare(cx, upstream, limits),
            Event::Booted { upstream } => self.with_lane(cx, &upstream, |cx, lane| {
                lane.limiter.cold(cx.now);
            }),
            Event::Draining { upstream } => self.draining(cx, &upstream),
            Event::Removed { upstream } => self.removed(cx, &upstream),
            Event::Lease {
                upstream,
                epoch,
                valid_until,
                slices,
            } => self.with_lane(cx, &upstream, |_, lane| {
                lane.grant(epoch, valid_until, slices);
            }),
            Event::LeaseLost { upstream } => self.with_lane(cx, &upstream, |_, lane| {
                lane.lapse();
            }),
            Event::Carved { upstream, hot } => self.carved(cx, &upstream, hot),
            Event::Hold { upstream, slice } => self.hold(cx, &upstream, slice),
            Event::Release {
                upstream,
                slice,
                to,
            } => self.release(cx, &upstream, slice, to.as_ref()),
            Event::Report { upstream, healthy } => self.with_lane(cx, &upstream, |cx, lane| {
                lane.limiter.report(cx.now, healthy);
            }),
            Event::Tick => self.tick(cx),
        }
    }

    /// Changes a lane and sends what may be sent then.
    fn with_lane(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        change: impl FnOnce(&Cx<'_>, &mut Lane),
    ) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        change(cx, lane);
        self.pump(cx, key);
    }

    fn flush_discarded(&mut self, cx: &mut Cx<'_>) {
        let discarded = self.discarded.drain(..);
        cx.actions
            .extend(discarded.map(|call| Action::Discard { call }));
    }

    /// Takes a call's record out.
    pub(super) fn forget(&mut self, key: CallKey) -> Call {
        let call = self
            .calls
            .swap_remove(&key)
            .expect("a call that ends has a record");
        self.timers.remove(&(call.timer, key));
        call
    }

    /// Returns the lane of a call that is under way, which stays until the call has ended.
    pub(super) fn lane_mut(&mut self, key: LaneKey) -> &mut Lane {
        self.lanes[key]
            .as_mut()
            .expect("a lane stays while calls are under way")
    }
}
