//! Transfer of the slices of a planned move from one upstream to the other, after the table was
//! written.
//!
//! A planned move is recorded first and carried out afterwards, so that a transaction whose result
//! is unknown delays nothing. Until the previous owner's coordinating host confirms the release of
//! a slice, the new owner is not granted it, and the previous owner may keep it.

use std::collections::BTreeMap;

use ids::{SliceNo, Timestamp, UpstreamId};
use wire::own::{Body, ReleaseConfirmation, ReleaseQuery, SliceGeneration, SlicePromiseRequest};

use crate::coordinator::{CoordinatorState, OutgoingSlice, PromiseRequest, Removal, SliceMove};
use crate::machine::OwnershipMachine;
use crate::{CarvedKey, HostRef, IncomingSlice, OwnershipRow};

/// Returns whether the release of a slice by its previous owner is not confirmed.
pub(crate) fn is_unreleased(row: &OwnershipRow, state: &CoordinatorState, slice: SliceNo) -> bool {
    let incoming = row.incoming.binary_search_by_key(&slice, |i| i.slice);
    if incoming.is_err() {
        return false;
    }
    let owned = row.generation(slice).map(|g| (slice, g));
    !owned.is_some_and(|s| state.released_incoming.contains(&s))
}

impl OwnershipMachine {
    /// Returns the slices of an upstream whose release by their previous owners is not confirmed.
    pub(crate) fn unreleased_incoming(
        &self,
        upstream: &UpstreamId,
        state: &CoordinatorState,
    ) -> Vec<IncomingSlice> {
        let Some(known) = self.replica.get(upstream) else {
            return Vec::new();
        };
        let row = &known.row;
        let unreleased = |i: &&IncomingSlice| is_unreleased(row, state, i.slice);
        row.incoming.iter().filter(unreleased).cloned().collect()
    }

    /// Starts the transfer of the slices that a removal has recorded. `carved` are the hot keys of
    /// the row before it.
    pub(crate) fn start_transfers(
        &mut self,
        upstream: &UpstreamId,
        state: &mut CoordinatorState,
        r: Removal,
        carved: &[CarvedKey],
    ) {
        for m in r.moves {
            let own = carved.iter().filter(|c| c.base == m.slice).copied();
            let own = own.collect();
            let hold_again =
                |this: &mut Self| this.hold_slice(upstream, m.slice, m.generation, m.to.clone());
            let m = if r.requests_resumed {
                hold_again(self)
            } else {
                m
            };
            let outgoing = OutgoingSlice {
                to: m.to,
                generation: m.generation,
                hold: Some(m.hold),
                drained: m.drained,
                was_granted: true,
                expires_at: None,
                carved: own,
            };
            state.outgoing.insert(m.slice, outgoing);
        }
        self.update_scope(upstream, state);
    }

    /// Discards the state of slices that came back or moved on.
    pub(crate) fn discard_finished(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let row = &known.row;
        state.released_outgoing.retain(|s| !row.contains(*s));
        state
            .released_incoming
            .retain(|(s, g)| row.generation(*s) == Some(*g));
        let back = state.outgoing.extract_if(.., |s, _| row.contains(*s));
        for hold in back.filter_map(|(_, o)| o.hold).collect::<Vec<_>>() {
            self.release_hold(upstream, hold, upstream.clone(), self.me.clone());
        }
    }

    /// Asks the standby not to grant slices, until it has promised so for the current row.
    pub(crate) fn request_promise(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if !state.recorded || state.handover.is_some() {
            return;
        }
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let slices = slices_to_promise(state);
        if slices.is_empty() && state.promise_request.is_none() {
            return;
        }
        let same = |p: &&PromiseRequest| p.revision == known.revision && p.slices == slices;
        let current = state.promise_request.as_ref().filter(same);
        let resend_after = self.cfg.heartbeat_every / 2;
        if current.is_some_and(|p| p.promised || self.now.since(p.sent_at) < resend_after) {
            return;
        }
        let fresh = self.now.since(known.received_at) < self.cfg.heartbeat_every;
        let include_row = fresh || current.is_some();
        let seq = self.next_number();
        if let Some(deputy) = &known.row.deputy {
            let body = SlicePromiseRequest {
                upstream: upstream.as_str().to_owned(),
                epoch: state.epoch.0,
                revision: known.revision.0,
                slices: slices.iter().map(|s| s.0).collect(),
                seq,
                row: include_row.then(|| (&*known.row).into()),
            };
            self.send(deputy, Body::SlicePromiseRequest(body));
        }
        state.promise_request = (!slices.is_empty()).then(|| PromiseRequest {
            seq,
            revision: known.revision,
            slices,
            promised: known.row.deputy.is_none(),
            sent_at: self.now,
        });
    }

    /// Returns whether the standby promised, for the current row, not to grant a slice.
    pub(crate) fn is_promised(
        &self,
        upstream: &UpstreamId,
        state: &CoordinatorState,
        slice: SliceNo,
    ) -> bool {
        let revision = self.replica.get(upstream).map(|k| k.revision);
        let request = state.promise_request.as_ref();
        request.is_some_and(|p| {
            let within = p.slices.binary_search(&slice).is_ok();
            p.promised && within && Some(p.revision) == revision
        })
    }

    /// Confirms the release of slices that moved away, once they are released.
    pub(crate) fn release_outgoing(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if state.outgoing.is_empty() || !state.recorded || self.has_yielded(upstream, state) {
            return;
        }
        if state.previous_hosts.expires_at() > self.now {
            return;
        }
        let failed = self.has_failed(upstream, state);
        let releasable = |(s, o): &(&SliceNo, &OutgoingSlice)| {
            let relinquished =
                self.has_relinquished(upstream, state, failed, o.expires_at, o.drained);
            o.expires_at.is_some() && relinquished && self.is_promised(upstream, state, **s)
        };
        let releasable = state.outgoing.iter().filter(releasable).map(|(s, _)| *s);
        let mut released_to = BTreeMap::<UpstreamId, Vec<SliceGeneration>>::new();
        for slice in releasable.collect::<Vec<_>>() {
            let Some(o) = state.outgoing.remove(&slice) else {
                continue;
            };
            state.released_outgoing.insert(slice);
            if let Some(hold) = o.hold {
                let revision = self.replica.get(&o.to).map(|k| k.revision);
                let revision = revision.unwrap_or_default();
                self.hold_until_served(upstream, hold, Some(slice), o.to.clone(), revision);
            }
            released_to.entry(o.to).or_default().push(SliceGeneration {
                slice: slice.0,
                generation: o.generation,
            });
        }
        for (to, slices) in released_to {
            self.send_released(upstream, &to, slices);
        }
    }

    fn send_released(&mut self, from: &UpstreamId, to: &UpstreamId, slices: Vec<SliceGeneration>) {
        let known = self.replica.get(to);
        let Some(host) = known.and_then(|k| k.row.coordinator.clone()) else {
            return;
        };
        let released = ReleaseConfirmation {
            from: from.as_str().to_owned(),
            to: to.as_str().to_owned(),
            slices,
        };
        self.send(&host, Body::ReleaseConfirmation(released));
    }

    /// Asks the hosts of the previous owners whether they have released incoming slices.
    pub(crate) fn query_releases(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        if self.now < state.next_release_query_at {
            return;
        }
        let Some(known) = self.replica.get(upstream).cloned() else {
            return;
        };
        let mut queries = BTreeMap::<UpstreamId, Vec<SliceGeneration>>::new();
        for i in self.unreleased_incoming(upstream, state) {
            let Some(generation) = known.row.generation(i.slice) else {
                continue;
            };
            if self.has_no_grants_since(&i.from, known.received_at) {
                self.record_release(state, i.slice, generation);
                continue;
            }
            let slice = i.slice.0;
            let slices = queries.entry(i.from).or_default();
            slices.push(SliceGeneration { slice, generation });
        }
        if !queries.is_empty() {
            state.next_release_query_at = self.now + self.cfg.heartbeat_every / 2;
        }
        for (from, slices) in queries {
            let host = self.replica.get(&from);
            let Some(host) = host.and_then(|k| k.row.coordinator.clone()) else {
                continue;
            };
            // That host may not know that its own transaction took effect.
            self.relay_row(&host, &from);
            let ask = ReleaseQuery {
                from: from.as_str().to_owned(),
                to: upstream.as_str().to_owned(),
                slices,
            };
            self.send(&host, Body::ReleaseQuery(ask));
        }
    }

    /// Returns whether no host can have granted slices of an upstream since `since`: its domain is
    /// declared lost or it has no coordinating host, and all grants of the last one have expired.
    fn has_no_grants_since(&self, upstream: &UpstreamId, since: Timestamp) -> bool {
        let known = self.replica.get(upstream);
        let vacant = known.is_some_and(|k| k.row.coordinator.is_none());
        let since = known.map_or(since, |k| k.received_at.max(since));
        let no_host = vacant || self.catalogue.in_lost_domain(upstream);
        no_host && since + self.cfg.replaced_host_expiry() <= self.now
    }

    pub(crate) fn on_release_query(&mut self, host: &HostRef, m: &ReleaseQuery) {
        let from = UpstreamId::new(m.from.as_str());
        let to = UpstreamId::new(m.to.as_str());
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let Some(known) = self.replica.get(&from).cloned() else {
            return;
        };
        let mut releasable = Vec::new();
        self.update_coordinated(&from, |_, state| {
            if !state.recorded {
                return;
            }
            let departed = m
                .slices
                .iter()
                .filter(|s| !known.row.contains(SliceNo(s.slice)));
            for owned in departed {
                let slice = SliceNo(owned.slice);
                if state.released_outgoing.contains(&slice) {
                    releasable.push(*owned);
                    continue;
                }
                let o = state
                    .outgoing
                    .entry(slice)
                    .or_insert_with(|| OutgoingSlice {
                        to: to.clone(),
                        generation: owned.generation,
                        hold: None,
                        drained: true,
                        was_granted: false,
                        expires_at: None,
                        // The slice is in no lease of this host.
                        carved: Vec::new(),
                    });
                if owned.generation > o.generation {
                    o.generation = owned.generation;
                    o.to = to.clone();
                }
            }
        });
        if releasable.is_empty() {
            return;
        }
        let released = ReleaseConfirmation {
            from: m.from.clone(),
            to: m.to.clone(),
            slices: releasable,
        };
        self.send(host, Body::ReleaseConfirmation(released));
    }

    pub(crate) fn on_released(&mut self, m: &ReleaseConfirmation) {
        let from = UpstreamId::new(m.from.as_str());
        let to = UpstreamId::new(m.to.as_str());
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let Some(known) = self.replica.get(&to).cloned() else {
            return;
        };
        self.update_coordinated(&to, |machine, state| {
            for owned in &m.slices {
                let slice = SliceNo(owned.slice);
                let arrived = IncomingSlice {
                    slice,
                    from: from.clone(),
                };
                let same = known.row.generation(slice) == Some(owned.generation);
                if same && known.row.incoming.contains(&arrived) {
                    machine.record_release(state, slice, owned.generation);
                }
            }
        });
    }

    /// Records that the previous owner has released a slice.
    fn record_release(&self, state: &mut CoordinatorState, slice: SliceNo, generation: u64) {
        if state.released_incoming.insert((slice, generation)) {
            state.clear_incoming_at = self.now + self.cfg.clear_incoming_delay;
        }
    }

    /// Removes released slices from the row's incoming slices.
    pub(crate) fn clear_incoming(&mut self, upstream: &UpstreamId, state: &mut CoordinatorState) {
        state.clear_incoming_at = Timestamp::NEVER;
        let unreleased = self.unreleased_incoming(upstream, state);
        let known = self.replica.get(upstream);
        if known.is_some_and(|k| k.row.incoming != unreleased) {
            let written = self.rewrite_row(upstream, |row| row.incoming = unreleased);
            if !written {
                state.clear_incoming_at = self.now + self.cfg.clear_incoming_delay;
            }
        }
    }
}

/// Returns the slices that the standby must not grant, in ascending order.
fn slices_to_promise(state: &CoordinatorState) -> Vec<SliceNo> {
    let revoking = |r: &&Removal| r.is_revoking();
    let removal = state.removal.iter().filter(revoking);
    let moves = removal.flat_map(|r| &r.moves).map(|m: &SliceMove| m.slice);
    let outgoing = state
        .outgoing
        .iter()
        .filter(|(_, o)| o.expires_at.is_some());
    let mut all = moves.chain(outgoing.map(|(s, _)| *s)).collect::<Vec<_>>();
    all.sort();
    all.dedup();
    all
}
