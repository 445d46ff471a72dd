//! Queue, slots and lease of one upstream at its coordinating host.

use std::sync::Arc;
use std::time::Duration;

use ids::{Epoch, KeyHash, Reason, SliceNo, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};

use super::limit::Limiter;
use super::message::{Arrival, CallEnd, UpstreamLimits};
use super::queue::WaitQueue;
use super::service::ServiceTime;
use super::settings::DispatcherSettings;
use crate::key::CallKey;

ids::arena_key! {
    /// Identifies an upstream queue of a dispatcher.
    UpstreamQueueKey
}

/// Bounds of the retry delay in refusals.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));

/// Factor over the usual service time after which an aborted call counts as a fault of the
/// upstream.
const STUCK_FACTOR: u32 = 4;

/// Part of a call's total time that must be left when it is sent to an upstream without a known
/// service time. A host that has just become the coordinating one has no estimate, and the calls
/// that waited for the handover come first.
const UNKNOWN_SERVICE_DIVISOR: u32 = 10;

/// Minimum time after which an aborted call counts as a fault of the upstream.
const STUCK_MIN: Duration = Duration::from_millis(100);

/// The lease under which calls are sent.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Fencing token.
    pub epoch: Epoch,
    /// Time from which nothing may be sent under it.
    pub valid_until: Timestamp,
    /// Slices, sorted.
    pub slices: Arc<[SliceNo]>,
}

/// Calls held while a slice moves.
#[derive(Debug)]
pub struct Hold {
    /// When the hold began.
    pub since: Timestamp,
    /// Calls that wait for its end, in order of arrival.
    pub calls: IndexSet<CallKey>,
    /// Whether [`Action::Drained`](super::Action::Drained) was emitted for it.
    pub drained: bool,
}

/// Stage in the life of an upstream queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It accepts calls.
    Open,
    /// It accepts no new calls.
    Draining {
        /// Whether [`Action::Drained`](super::Action::Drained) was emitted.
        drained: bool,
    },
    /// It accepts no new calls and is dropped once none is in flight.
    Removed,
}

/// Queue, slots and lease of one upstream.
#[derive(Debug)]
pub struct UpstreamQueue {
    /// Upstream.
    pub id: UpstreamId,
    /// Declared limits.
    pub limits: UpstreamLimits,
    /// Whether it accepts calls.
    pub stage: Stage,
    /// Lease; none if none was granted yet.
    pub lease: Option<Lease>,
    /// Calls that wait for a slot.
    pub waiting: WaitQueue,
    /// Holds of slices that are about to move; the key `None` holds all calls.
    pub holds: IndexMap<Option<SliceNo>, Hold>,
    /// Hot slices carved out of the upstream's slices, sorted.
    pub hot_slices: Arc<[SliceNo]>,
    /// Calls that were sent and whose slot or connection may still be in use.
    pub in_flight: IndexSet<CallKey>,
    /// Slots in use.
    pub busy_slots: u32,
    /// Connections in use.
    pub connections: u32,
    /// Limit of concurrent calls.
    pub limiter: Limiter,
    /// Service time of calls.
    pub service: ServiceTime,
}

impl UpstreamQueue {
    /// Creates an upstream queue without a lease.
    pub fn new(
        now: Timestamp,
        id: UpstreamId,
        limits: UpstreamLimits,
        settings: &DispatcherSettings,
    ) -> Self {
        Self {
            id,
            limits,
            stage: Stage::Open,
            lease: None,
            waiting: WaitQueue::new(now, settings.queue),
            holds: IndexMap::new(),
            hot_slices: Arc::default(),
            in_flight: IndexSet::new(),
            busy_slots: 0,
            connections: 0,
            limiter: Limiter::new(now, limits.slots, settings.limiter),
            service: ServiceTime::default(),
        }
    }

    /// Returns how many calls occupy a slot or wait.
    pub fn load(&self) -> u32 {
        self.busy_slots + self.waiting_count() as u32
    }

    /// Returns how many calls wait, for a slot or for the end of a move.
    pub fn waiting_count(&self) -> usize {
        let held: usize = self.holds.values().map(|h| h.calls.len()).sum();
        self.waiting.len() + held
    }

    /// Returns whether a slot and a connection are free for another call.
    pub fn has_room(&self, now: Timestamp) -> bool {
        self.stage == Stage::Open
            && self.busy_slots < self.limiter.allowed(now)
            && self.connections < self.limits.connections
    }

    /// Returns the reason for which a call may not be sent under the lease, if there is one.
    pub fn lease_refusal(
        &self,
        now: Timestamp,
        slice: Option<SliceNo>,
        margin: Duration,
    ) -> Option<Reason> {
        let Some(lease) = &self.lease else {
            return Some(Reason::NoLease);
        };
        if self.is_lease_over(now, margin) {
            return Some(Reason::NoLease);
        }
        match (self.limits.divided, slice) {
            (false, None) => None,
            (true, Some(slice)) if lease.slices.binary_search(&slice).is_ok() => None,
            _ => Some(Reason::StaleRoute),
        }
    }

    /// Returns the reason for which no call is accepted at all, if there is one.
    pub fn stage_refusal(&self) -> Option<Reason> {
        match self.stage {
            Stage::Open => None,
            Stage::Draining { .. } if self.limits.divided => Some(Reason::Moving),
            Stage::Draining { .. } | Stage::Removed => Some(Reason::StaleRoute),
        }
    }

    /// Returns the usual time between the ends of two calls while all slots are busy.
    pub fn completion_interval(&self, now: Timestamp) -> Duration {
        self.service.mean() / self.limiter.allowed(now).max(1)
    }

    /// Returns how much time must be left to a call when it is sent.
    ///
    /// A call that has lost more than half of its time by waiting is sent only if it will most
    /// likely be answered in time, as it would otherwise end without a known result. Any other call
    /// is sent if the mean service time is left or, while no slot is busy, whatever the estimate
    /// says: an occasional call renews it, and a deadline that is always short is still served.
    pub fn min_time_left(&self, total_time: Duration) -> Duration {
        let likely = if self.service.is_known() {
            self.service.high()
        } else {
            total_time / UNKNOWN_SERVICE_DIVISOR
        };
        let likely = likely.min(total_time / 2);
        if self.busy_slots == 0 {
            return likely;
        }
        likely.max(self.service.mean())
    }

    /// Returns the time from which a call is not sent any more.
    pub fn send_by(&self, arrival: &Arrival) -> Timestamp {
        arrival.deadline - self.min_time_left(arrival.total_time)
    }

    /// Returns whether a call that arrived now would be late by the estimate, given its position.
    pub fn too_late_to_wait(&self, now: Timestamp, arrival: &Arrival) -> bool {
        let ahead = self.waiting.ahead(arrival.deadline);
        if ahead == 0 && self.has_room(now) {
            return self.send_by(arrival) <= now;
        }
        let wait = self
            .completion_interval(now)
            .saturating_mul(ahead as u32 + 1);
        self.send_by(arrival) <= now + wait
    }

    /// Returns the retry delay for a refused caller: the time until half of the queue has been
    /// processed.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        let half = self.waiting_count() as u32 / 2 + 1;
        let wait = self.completion_interval(now).saturating_mul(half);
        wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }

    /// Sets new limits and accepts calls again.
    pub fn declare(&mut self, now: Timestamp, limits: UpstreamLimits) {
        self.limiter.set_slots(now, limits.slots);
        self.limits = limits;
        self.stage = Stage::Open;
    }

    /// Removes the upstream: drops its lease and its holds.
    pub fn remove(&mut self) {
        self.stage = Stage::Removed;
        self.lease = None;
        self.holds.clear();
    }

    /// Applies a grant or its renewal. A grant with a lower epoch is outdated and changes nothing,
    /// nor does one for a removed upstream.
    pub fn grant(&mut self, epoch: Epoch, valid_until: Timestamp, slices: Option<Arc<[SliceNo]>>) {
        if self.stage == Stage::Removed {
            return;
        }
        let sorted = slices.as_ref().is_none_or(|s| s.is_sorted());
        debug_assert!(sorted, "slices of a lease are sorted");
        let Some(lease) = &mut self.lease else {
            self.lease = Some(Lease {
                epoch,
                valid_until,
                slices: slices.unwrap_or_default(),
            });
            return;
        };
        if epoch < lease.epoch {
            return;
        }
        if epoch > lease.epoch {
            lease.valid_until = valid_until;
        }
        lease.epoch = epoch;
        lease.valid_until = lease.valid_until.max(valid_until);
        if let Some(slices) = slices {
            lease.slices = slices;
        }
    }

    /// Ends the lease early.
    pub fn end_lease(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.valid_until = Timestamp::ZERO;
        }
    }

    /// Returns whether nothing may be sent under the lease, for any slice.
    pub fn is_lease_over(&self, now: Timestamp, margin: Duration) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|l| l.valid_until <= now + margin)
    }

    /// Returns the slice to which a call counts: its key's hot slice if that is carved out, or held
    /// because it is about to be.
    pub fn effective_slice(&self, slice: Option<SliceNo>, key: Option<KeyHash>) -> Option<SliceNo> {
        let Some(hot) = key.map(KeyHash::hot_slice) else {
            return slice;
        };
        if slice.is_some() && self.has_own_slice(hot) {
            return Some(hot);
        }
        slice
    }

    /// Returns whether a key's hot slice is carved out or held.
    pub fn has_own_slice(&self, hot: SliceNo) -> bool {
        self.hot_slices.binary_search(&hot).is_ok() || self.holds.contains_key(&Some(hot))
    }

    /// Returns whether calls of a slice wait for a move.
    pub fn is_held(&self, slice: Option<SliceNo>) -> bool {
        self.holds.contains_key(&slice) || self.holds.contains_key(&None)
    }

    /// Returns since when calls of a slice wait for a move, if they do.
    pub fn held_since(&self, slice: Option<SliceNo>) -> Option<Timestamp> {
        let hold = self.holds.get(&slice).or_else(|| self.holds.get(&None));
        hold.map(|hold| hold.since)
    }

    /// Returns the hold in which calls of a slice wait, if there is one.
    pub fn hold_of(&mut self, slice: Option<SliceNo>) -> Option<&mut Hold> {
        let candidates = [slice, None];
        let held_slice = candidates
            .into_iter()
            .find(|n| self.holds.contains_key(n))?;
        self.holds.get_mut(&held_slice)
    }

    /// Begins to hold a slice, or all. Returns whether it was not held before.
    pub fn hold(&mut self, now: Timestamp, slice: Option<SliceNo>) -> bool {
        if self.stage == Stage::Removed || self.holds.contains_key(&slice) {
            return false;
        }
        let hold = Hold {
            since: now,
            calls: IndexSet::new(),
            drained: false,
        };
        self.holds.insert(slice, hold);
        true
    }

    /// Records the abort of a call. Returns when the upstream has certainly stopped the call, even
    /// if it reacts to neither the cancellation nor the passed deadline at once.
    pub fn observe_abort(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        deadline: Timestamp,
    ) -> Timestamp {
        let elapsed = now.since(sent_at);
        let stuck = (self.service.high() * STUCK_FACTOR).max(STUCK_MIN);
        if elapsed >= stuck {
            self.limiter.fault(now);
        }
        // An early disconnect of the caller says nothing about an upstream that has not completed a
        // call yet.
        if deadline <= now || self.service.is_known() {
            self.service.record_at_least(elapsed);
        }
        if !self.service.is_known() {
            return deadline;
        }
        (sent_at + self.service.high()).min(deadline).max(now)
    }

    /// Records the end of a call in the limiter and the service time.
    pub fn observe_end(&mut self, now: Timestamp, sent_at: Timestamp, end: CallEnd) {
        let took = now.since(sent_at);
        match end {
            CallEnd::Answered { .. } | CallEnd::Failed(Reason::AnswerTooLarge) => {
                self.service.record(took);
                self.limiter.answered(now);
            }
            CallEnd::Failed(Reason::UpstreamShed) => self.limiter.shed(now, sent_at),
            CallEnd::Failed(
                Reason::ConnectFailed
                | Reason::UpstreamReset
                | Reason::AnswerCut
                | Reason::AnswerMismatch
                | Reason::AnswerTimeout,
            ) => self.limiter.fault(now),
            CallEnd::Failed(_) => {}
        }
    }
}
