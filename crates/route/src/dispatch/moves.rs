//! Upstreams that come and go, and slices that move.

use std::sync::Arc;
use std::time::Duration;

use ids::{Reason, SliceNo, UpstreamId};

use super::call::State;
use super::dispatcher::{Cx, Dispatcher};
use super::lane::{Lane, LaneKey, Stage};
use super::message::{Action, UpstreamLimits};
use crate::key::CallKey;

impl Dispatcher {
    pub(super) fn declare(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: UpstreamId,
        limits: UpstreamLimits,
    ) {
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

    pub(super) fn draining(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
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
        self.check_drained(cx, key);
    }

    pub(super) fn removed(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        let held: Vec<CallKey> = lane
            .holds
            .values()
            .flat_map(|h| &h.calls)
            .copied()
            .collect();
        lane.remove();
        for call in held {
            self.end_unsent(cx, call, Reason::StaleRoute, Duration::ZERO);
        }
        self.pump(cx, key);
        self.check_drained(cx, key);
    }

    pub(super) fn hold(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, slice: Option<SliceNo>) {
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        if !lane.hold(cx.now, slice) {
            return;
        }
        self.recount(cx, key);
        self.check_drained(cx, key);
    }

    pub(super) fn release(
        &mut self,
        cx: &mut Cx<'_>,
        upstream: &UpstreamId,
        slice: Option<SliceNo>,
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
            self.resolve(target, call);
            self.place(cx, call);
        }
        self.recount(cx, key);
        self.pump(cx, key);
        if let Some(target) = target {
            self.pump(cx, target);
        }
    }

    /// Tells that nothing of a held slice, or of a held or draining lane, is under way, if that
    /// is so.
    pub(super) fn check_drained(&mut self, cx: &mut Cx<'_>, key: LaneKey) {
        self.check_holds(cx, key);
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
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

    fn check_hold(&mut self, cx: &mut Cx<'_>, key: LaneKey, name: Option<SliceNo>) {
        let calls = &self.calls;
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        let Some(hold) = lane.holds.get_mut(&name) else {
            return;
        };
        let counts = |c: &CallKey| name.is_none() || calls[c].counts_to(name);
        if hold.drained || lane.under_way.iter().any(counts) {
            return;
        }
        hold.drained = true;
        cx.actions.push(Action::Drained {
            upstream: lane.id.clone(),
            slice: name,
        });
    }

    /// Takes the hot keys that are carved out of an upstream's slices; calls that came before
    /// count to the slices of their keys from now on, so that a hold finds them.
    pub(super) fn carved(&mut self, cx: &mut Cx<'_>, upstream: &UpstreamId, hot: Arc<[SliceNo]>) {
        debug_assert!(hot.is_sorted(), "hot slices are sorted");
        let Some(&key) = self.names.get(upstream) else {
            return;
        };
        let Some(lane) = &mut self.lanes[key] else {
            return;
        };
        lane.carved = hot;
        self.recount(cx, key);
        self.check_holds(cx, key);
    }

    /// Counts the calls of a lane to the slices that are carved out and held now, and puts
    /// waiting ones behind the holds of theirs.
    fn recount(&mut self, cx: &Cx<'_>, key: LaneKey) {
        let of_lane = self.calls.iter().filter(|(_, c)| c.lane == key);
        let calls: Vec<CallKey> = of_lane.map(|(&call, _)| call).collect();
        for call in calls {
            self.resolve(key, call);
            let record = &mut self.calls[&call];
            let Some(lane) = &self.lanes[key] else {
                return;
            };
            let slice = record.arrival.slice;
            record.loose |= slice.is_some_and(|s| s.is_hot() && !lane.is_apart(s));
            if matches!(record.state, State::Waiting(_)) && lane.is_held(slice) {
                self.take_off(call);
                self.place(cx, call);
            }
        }
    }

    /// Looks at all holds of a lane.
    fn check_holds(&mut self, cx: &mut Cx<'_>, key: LaneKey) {
        let Some(lane) = &self.lanes[key] else {
            return;
        };
        let names: Vec<Option<SliceNo>> = lane.holds.keys().copied().collect();
        for name in names {
            self.check_hold(cx, key, name);
        }
    }

    /// Counts a call to the slice of its key alone if that is carved out.
    fn resolve(&mut self, lane: LaneKey, call: CallKey) {
        let arrival = &mut self.calls[&call].arrival;
        if let Some(lane) = &self.lanes[lane] {
            arrival.slice = lane.resolve(arrival.slice, arrival.key);
        }
    }
}
