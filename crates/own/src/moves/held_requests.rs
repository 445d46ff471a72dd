//! Steps after a removal is recorded in the row, and release of the requests that it holds.

use ids::{Revision, SliceNo, UpstreamId};

use super::HOLD_TIMEOUT;
use crate::HostRef;
use crate::coordinator::{CoordinatorState, HeldRequests, MIN_DRAIN_TIMEOUT, Removal};
use crate::machine::OwnershipMachine;
use crate::replica::KnownRow;

impl OwnershipMachine {
    /// Completes a removal whose slices are no longer in the row. `before` is the row that this host
    /// knew until now.
    pub(crate) fn finish_recorded_removal(
        &mut self,
        upstream: &UpstreamId,
        before: Option<&KnownRow>,
    ) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let Some(mut state) = self.coordinated.remove(upstream) else {
            return;
        };
        self.discard_finished(upstream, &mut state);
        let in_row = |r: &Removal| r.slices().iter().any(|s| known.row.contains(*s));
        if let Some(r) = state.removal.take_if(|r| !in_row(r)) {
            state.drain_timeout = MIN_DRAIN_TIMEOUT;
            if r.is_revoking() {
                for m in r.moves {
                    self.hold_until_served(upstream, m.hold, Some(m.slice), m.to, known.revision);
                }
            } else {
                let carved = before.map_or(&[][..], |b| &b.row.carved);
                self.start_transfers(upstream, &mut state, r, carved);
            }
        }
        self.coordinated.insert(upstream.clone(), state);
    }

    /// Keeps requests held until `to` serves the row of this revision.
    pub(crate) fn hold_until_served(
        &mut self,
        upstream: &UpstreamId,
        hold: u64,
        slice: Option<SliceNo>,
        to: UpstreamId,
        revision: Revision,
    ) {
        self.held_requests.push(HeldRequests {
            upstream: upstream.clone(),
            hold,
            to,
            slice,
            revision,
            deadline: self.now + HOLD_TIMEOUT,
        });
    }

    /// Releases requests whose upstream is served now according to this host's own state.
    pub(crate) fn release_served_locally(&mut self) {
        let served = |s: &HeldRequests| {
            let known = self.replica.get(&s.to);
            let newer = known.is_some_and(|k| k.revision >= s.revision);
            let state = self.coordinated.get(&s.to);
            let arrived = |state: &CoordinatorState| {
                let unreleased = self.unreleased_incoming(&s.to, state);
                unreleased
                    .iter()
                    .all(|i| s.slice.is_some_and(|s| s != i.slice))
            };
            newer && state.is_some_and(|state| self.is_serving(&s.to, state) && arrived(state))
        };
        let done = |s: &HeldRequests| self.now >= s.deadline || served(s);
        let (due, kept) = self.held_requests.iter().cloned().partition(done);
        self.held_requests = kept;
        self.release_all(due);
    }

    /// Releases requests that were held for a host that reported serving the upstream.
    pub(crate) fn release_reported(
        &mut self,
        to: &UpstreamId,
        by: &HostRef,
        revision: Revision,
        unserved: &[SliceNo],
    ) {
        let known = self.replica.get(to);
        let named = known.and_then(|k| k.row.coordinator.as_ref());
        if !named.is_some_and(|c| c.is_same(by)) {
            return;
        }
        let due = |s: &HeldRequests| {
            let arrived = s.slice.is_none_or(|s| unserved.binary_search(&s).is_err());
            s.to == *to && s.revision <= revision && arrived
        };
        let (due, kept) = self.held_requests.iter().cloned().partition(due);
        self.held_requests = kept;
        self.release_all(due);
    }

    pub(super) fn release_all(&mut self, due: Vec<HeldRequests>) {
        for s in due {
            let known = self.replica.get(&s.to);
            let host = known.and_then(|k| k.row.coordinator.clone());
            let host = host.unwrap_or_else(|| self.me.clone());
            self.release_hold(&s.upstream, s.hold, s.to, host);
        }
    }
}
