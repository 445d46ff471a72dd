//! The dispatcher: events in, actions out.

use std::collections::BTreeSet;
use std::time::Duration;

use ids::{Arena, Reason, Timestamp, UpstreamId};
use indexmap::IndexMap;

use super::call::{Call, State};
use super::lane::{Lane, LaneKey, Stage};
use super::message::{Action, Arrival, Ended, Event, UpstreamLimits};
use super::repeat::{RepeatBounds, RepeatKey, Repeats};
use super::settings::DispatcherSettings;
use crate::key::CallKey;

/// What one step works with.
#[derive(Debug)]
pub(super) struct Cx<'a> {
    pub(super) now: Timestamp,
    pub(super) actions: &'a mut Vec<Action>,
}

impl Cx<'_> {
    fn refuse(&mut self, call: CallKey, reason: Reason, retry_after: Duration) {
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
    next_number: u64,
    /// Repeats whose first call ended unsent: they come again at the end of the step.
    returned: Vec<Arrival>,
    /// Kept answers that were just forgotten.
    discarded: Vec<CallKey>,
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

    fn declare(&mut self, cx: &mut Cx<'_>, upstream: UpstreamId, limits: UpstreamLimits) {
        let key = match self.names.get(&upstream) {
            Some(&key) => key,
            None => self.lanes.push(None),
        };
        self.names.insert(upstream.clone(), key);
        match &mut self.lanes[key] {
            Some(lane) => lane.declare(cx.now, limits),
            place => *place = Some(Lane::new(cx.now, upstream, limits, &self.settings)),
        }
        self.pump(cx, key);
    }

    fn draining(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        if lane.stage != Stage::Open {
            return;
        }
        lane.stage = Stage::Draining { drained: false };
        self.pump(cx, key);
        self.check_drained(cx, key, None);
    }

    fn removed(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        lane.stage = Stage::Removed;
        let held: Vec<CallKey> = lane
            .holds
            .values()
            .flat_map(|h| &h.calls)
            .copied()
            .collect();
        lane.holds.clear();
        for call in held {
            self.end_unsent(cx, call, Reason::StaleRoute, Duration::ZERO);
        }
        self.pump(cx, key);
        self.check_drained(cx, key, None);
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
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

    fn lane_wake(&self, now: Timestamp, lane: &Lane) -> Timestamp {
        if lane.queue.is_empty() {
            return Timestamp::NEVER;
        }
        let rise = lane.limiter.next_rise(now).unwrap_or(Timestamp::NEVER);
        let lapse = lane.lease.as_ref().map_or(Timestamp::NEVER, |lease| {
            lease.valid_until - self.settings.lease_margin
        });
        rise.min(lapse)
    }

    fn flush_discarded(&mut self, cx: &mut Cx<'_>) {
        let discarded = self.discarded.drain(..);
        cx.actions
            .extend(discarded.map(|call| Action::Discard { call }));
    }

    // Arrival.

    fn arrive(&mut self, cx: &mut Cx<'_>, arrival: Arrival) {
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
    fn check_repeat(&mut self, cx: &mut Cx<'_>, arrival: &Arrival) -> Option<bool> {
        use super::repeat::Known;

        let key = RepeatKey::of(arrival);
        let known = self.repeats.known(cx.now, &key, &mut self.discarded);
        let call = arrival.call;
        match known {
            None => return Some(true),
            Some(Known::UnderWay(first)) => {
                let first_arrival = &self.calls[&first].arrival;
                if first_arrival.fingerprint == arrival.fingerprint {
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

    fn join(&mut self, arrival: Arrival, first: CallKey) {
        let lane = self.calls[&first].lane;
        let deadline = arrival.deadline;
        let call = self.insert(lane, arrival, false);
        self.calls[&call].state = State::Joined(first);
        self.calls[&first].joined.push(call);
        self.arm(call, deadline);
    }

    /// Returns why a call is refused as it comes, and when to come back.
    fn arrival_fault(
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
        if arrival.slice.is_some_and(|s| lane.holds.contains_key(&s)) {
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

    fn insert(&mut self, lane: LaneKey, arrival: Arrival, registered: bool) -> CallKey {
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
        };
        self.next_number += 1;
        self.calls.insert(call, record);
        call
    }

    /// Puts an unsent call where it waits in its lane: behind a hold or into the queue.
    fn place(&mut self, cx: &Cx<'_>, key: CallKey) {
        let call = &mut self.calls[&key];
        let Some(lane) = &mut self.lanes[call.lane] else {
            return;
        };
        let deadline = call.arrival.deadline;
        let latest = deadline - lane.service.mean();
        let latest = if latest > cx.now { latest } else { deadline };
        let hold = call.arrival.slice.and_then(|s| lane.holds.get_mut(&s));
        let at = if let Some(hold) = hold {
            hold.calls.insert(key);
            call.state = State::Held;
            latest.min(hold.since + self.settings.hold_max)
        } else {
            let waiting = super::queue::Waiting {
                call: key,
                since: cx.now,
            };
            let place = lane.queue.push(cx.now, call.number, waiting, deadline);
            call.state = State::Waiting(place);
            latest
        };
        self.arm(key, at);
    }

    // Sending.

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
    fn drop_all(&mut self, cx: &mut Cx<'_>, key: LaneKey) {
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

    fn lane_fault(&self, now: Timestamp, lane: &Lane) -> Option<(Reason, Duration)> {
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
    fn send(&mut self, cx: &mut Cx<'_>, key: CallKey) {
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

    // Ends.

    /// Ends a call that was never sent and is in no queue any more.
    fn end_unsent(&mut self, cx: &mut Cx<'_>, key: CallKey, reason: Reason, retry_after: Duration) {
        debug_assert_eq!(
            reason.outcome(),
            ids::Outcome::NotRun,
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

    /// Takes a call's record out.
    fn forget(&mut self, key: CallKey) -> Call {
        let call = self
            .calls
            .swap_remove(&key)
            .expect("a call that ends has a record");
        self.timers.remove(&(call.timer, key));
        call
    }

    fn finished(&mut self, cx: &mut Cx<'_>, key: CallKey, how: Ended) {
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
    fn ended(&mut self, cx: &mut Cx<'_>, key: CallKey, sent_at: Timestamp, how: Ended) {
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
        self.check_drained(cx, call.lane, call.arrival.slice);
    }

    /// Takes the end of a call that was sent into the memory of repeats.
    fn remember(&mut self, cx: &mut Cx<'_>, call: &Call, how: Ended) {
        if !call.registered {
            return;
        }
        let arrival = &call.arrival;
        let key = RepeatKey::of(arrival);
        let answer = match how {
            Ended::Answered { bytes } => Some(bytes),
            Ended::Failed(_) => None,
        };
        let not_run = matches!(how, Ended::Failed(r) if r.outcome() == ids::Outcome::NotRun);
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
    fn stop(&mut self, cx: &mut Cx<'_>, key: CallKey) {
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
    fn settle(&mut self, cx: &mut Cx<'_>, key: CallKey) {
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
        self.check_drained(cx, call.lane, call.arrival.slice);
    }

    fn caller_gone(&mut self, cx: &mut Cx<'_>, key: CallKey) {
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
    fn take_off(&mut self, key: CallKey) {
        let call = &self.calls[&key];
        let Some(lane) = &mut self.lanes[call.lane] else {
            return;
        };
        if let State::Waiting(place) = call.state {
            lane.queue.remove(place);
        }
        if let Some(hold) = call.arrival.slice.and_then(|s| lane.holds.get_mut(&s)) {
            hold.calls.shift_remove(&key);
        }
    }

    /// Takes a repeat that was forgotten off the call that it repeats.
    fn leave(&mut self, cx: &mut Cx<'_>, repeat: CallKey, first: CallKey) {
        self.calls[&first].joined.retain(|&c| c != repeat);
        self.stop_unwanted(cx, first);
    }

    fn stop_unwanted(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let call = &self.calls[&key];
        if matches!(call.state, State::Sent { .. }) && !call.is_wanted() {
            self.stop(cx, key);
        }
    }

    // Timers.

    pub(super) fn arm(&mut self, key: CallKey, at: Timestamp) {
        let call = &mut self.calls[&key];
        self.timers.remove(&(call.timer, key));
        call.timer = at;
        self.timers.insert((at, key));
    }

    /// Looks at a call whose timer ran out.
    fn timer(&mut self, cx: &mut Cx<'_>, key: CallKey) {
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
                let sent = matches!(self.calls[&first].state, State::Sent { .. });
                let reason = if sent {
                    Reason::AnswerTimeout
                } else {
                    Reason::Duplicate
                };
                cx.refuse(key, reason, Duration::ZERO);
                self.leave(cx, key, first);
            }
        }
    }

    fn waited_long(&mut self, cx: &mut Cx<'_>, key: CallKey) {
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

    // Moves.

    fn hold(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, slice: ids::SliceNo) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        if !lane.hold(cx.now, slice) {
            return;
        }
        let waiting: Vec<CallKey> = lane.queue.iter().map(|(_, w)| w.call).collect();
        for call in waiting {
            if self.calls[&call].arrival.slice == Some(slice) {
                self.take_off(call);
                self.place(cx, call);
            }
        }
        self.check_drained(cx, key, Some(slice));
    }

    fn release(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        slice: ids::SliceNo,
        to: Option<&UpstreamId>,
    ) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        let Some(hold) = lane.holds.shift_remove(&slice) else {
            return;
        };
        let target = to.and_then(|id| self.names.get(id)).copied();
        let target = target.filter(|&k| self.lanes[k].is_some());
        for call in hold.calls {
            let Some(target) = target else {
                self.end_unsent(cx, call, Reason::StaleRoute, Duration::ZERO);
                continue;
            };
            self.calls[&call].lane = target;
            self.place(cx, call);
        }
        self.pump(cx, key);
        if let Some(target) = target {
            self.pump(cx, target);
        }
    }

    /// Tells that nothing of a held slice, or of a draining lane, is under way, if that is so.
    fn check_drained(&mut self, cx: &mut Cx<'_>, key: LaneKey, slice: Option<ids::SliceNo>) {
        let calls = &self.calls;
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        if let Some((slice, hold)) = slice.and_then(|s| Some((s, lane.holds.get_mut(&s)?))) {
            let of_slice = |c: &CallKey| calls[c].arrival.slice == Some(slice);
            if !hold.drained && !lane.under_way.iter().any(of_slice) {
                hold.drained = true;
                cx.actions.push(Action::Drained {
                    upstream: lane.id.clone(),
                    slice: Some(slice),
                });
            }
        }
        if !lane.under_way.is_empty() {
            return;
        }
        match lane.stage {
            Stage::Draining { drained: false } => {
                lane.stage = Stage::Draining { drained: true };
                cx.actions.push(Action::Drained {
                    upstream: lane.id.clone(),
                    slice: None,
                });
            }
            Stage::Removed => self.lanes[key] = None,
            Stage::Open | Stage::Draining { drained: true } => {}
        }
    }

    /// Returns the lane of a call that is under way, which stays until the call has ended.
    fn lane_mut(&mut self, key: LaneKey) -> &mut Lane {
        self.lanes[key]
            .as_mut()
            .expect("a lane stays while calls are under way")
    }
}

/// Returns the reason for which an unsent call is dropped because of its deadline.
const fn late(now: Timestamp, deadline: Timestamp) -> Reason {
    if deadline.as_micros() <= now.as_micros() {
        return Reason::DeadlineExpired;
    }
    Reason::DeadlineTooShort
}
