//! Messages to the dispatch thread about leases, holds and upstreams.

use std::sync::Arc;

use catalogue::{Catalogue, Sharding};
use gate::{DispatchCommand, UpstreamTarget};
use ids::{SliceNo, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use own::Lease;
use route::{Event, UpstreamLimits};

/// A hold that is not released yet.
#[derive(Debug)]
struct Hold {
    upstream: UpstreamId,
    slices: Vec<Option<SliceNo>>,
    undrained: IndexSet<Option<SliceNo>>,
}

/// State of one upstream as sent to the dispatch thread.
#[derive(Debug)]
struct SentUpstream {
    limits: UpstreamLimits,
    target: UpstreamTarget,
    slices: Option<Arc<[SliceNo]>>,
    carved: Arc<[SliceNo]>,
}

/// State already sent to the dispatch thread, and messages still to be sent.
#[derive(Debug, Default)]
pub(crate) struct DispatchUpdates {
    catalogue: Arc<Catalogue>,
    sent: IndexMap<UpstreamId, SentUpstream>,
    holds: IndexMap<u64, Hold>,
    pending: Vec<DispatchCommand>,
}

impl DispatchUpdates {
    /// Removes and returns the messages to be sent to the dispatch thread.
    pub(crate) fn take_messages(&mut self) -> Vec<DispatchCommand> {
        std::mem::take(&mut self.pending)
    }

    /// Sets the catalogue in force and queues the declarations that changed with it.
    pub(crate) fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        self.catalogue = catalogue;
        let sent: Vec<UpstreamId> = self.sent.keys().cloned().collect();
        for upstream in sent {
            self.update_declaration(&upstream);
        }
    }

    /// Queues a new or renewed lease, with its slices and carved-out keys if they changed.
    pub(crate) fn update_lease(&mut self, lease: Lease) {
        if !self.update_declaration(&lease.upstream) {
            return;
        }
        let sent = &mut self.sent[&lease.upstream];
        let carved: Arc<[SliceNo]> = lease.carved.iter().map(|c| c.hot).collect();
        if sent.carved != carved {
            sent.carved = Arc::clone(&carved);
            self.pending
                .push(DispatchCommand::Event(Event::HotSlicesChanged {
                    upstream: lease.upstream.clone(),
                    hot: carved,
                }));
        }
        let unchanged = sent.slices.as_ref() == Some(&lease.slices);
        if !unchanged {
            sent.slices = Some(Arc::clone(&lease.slices));
        }
        self.pending.push(DispatchCommand::Event(Event::Lease {
            upstream: lease.upstream,
            epoch: lease.epoch,
            valid_until: lease.valid_until,
            slices: (!unchanged).then_some(lease.slices),
        }));
    }

    /// Queues the end of the permission to send to an upstream. With `remove`, the dispatch
    /// thread drops the upstream; otherwise only its lease ends.
    pub(crate) fn stop_upstream(&mut self, upstream: UpstreamId, remove: bool) {
        if !remove {
            self.pending
                .push(DispatchCommand::Event(Event::LeaseEnded { upstream }));
            return;
        }
        if self.sent.shift_remove(&upstream).is_some() {
            self.pending
                .push(DispatchCommand::Event(Event::Removed { upstream }));
        }
    }

    /// Queues a hold of slices, or of all requests of an upstream.
    pub(crate) fn hold(
        &mut self,
        upstream: &UpstreamId,
        hold: u64,
        slices: Option<Arc<[SliceNo]>>,
    ) {
        let slices = match slices {
            Some(slices) => slices.iter().copied().map(Some).collect(),
            None => vec![None],
        };
        for &slice in &slices {
            let upstream = upstream.clone();
            self.pending
                .push(DispatchCommand::Event(Event::Hold { upstream, slice }));
        }
        let hold_state = Hold {
            upstream: upstream.clone(),
            undrained: slices.iter().copied().collect(),
            slices,
        };
        self.holds.insert(hold, hold_state);
    }

    /// Queues the end of a hold. `to` is the upstream that owns the slices now, if this host
    /// coordinates it.
    pub(crate) fn release(&mut self, hold: u64, to: Option<&UpstreamId>) {
        let Some(hold) = self.holds.shift_remove(&hold) else {
            return;
        };
        for slice in hold.slices {
            self.pending.push(DispatchCommand::Event(Event::Release {
                upstream: hold.upstream.clone(),
                slice,
                to: to.cloned(),
            }));
        }
    }

    /// Records that no request of a held slice is in flight. Returns the holds that are drained with
    /// it.
    pub(crate) fn drained(&mut self, upstream: &UpstreamId, slice: Option<SliceNo>) -> Vec<u64> {
        let mut drained = Vec::new();
        for (&no, hold) in &mut self.holds {
            if hold.upstream != *upstream || !hold.undrained.shift_remove(&slice) {
                continue;
            }
            if hold.undrained.is_empty() {
                drained.push(no);
            }
        }
        drained
    }

    /// Queues the declaration of an upstream if it changed. Returns whether the dispatch thread has
    /// a declaration of the upstream.
    fn update_declaration(&mut self, upstream: &UpstreamId) -> bool {
        let Some((limits, target)) = self.declared(upstream) else {
            return self.sent.contains_key(upstream);
        };
        if let Some(sent) = self.sent.get_mut(upstream) {
            if sent.limits == limits && sent.target == target {
                return true;
            }
            sent.limits = limits;
            sent.target = target.clone();
        } else {
            let sent = SentUpstream {
                limits,
                target: target.clone(),
                slices: None,
                carved: Arc::default(),
            };
            self.sent.insert(upstream.clone(), sent);
        }
        self.pending.push(DispatchCommand::Upstream {
            upstream: upstream.clone(),
            limits,
            target,
        });
        true
    }

    fn declared(&self, upstream: &UpstreamId) -> Option<(UpstreamLimits, UpstreamTarget)> {
        let declared = self.catalogue.upstreams.get(upstream)?;
        let entry = self.catalogue.entries.get(&declared.entry)?;
        let limits = UpstreamLimits {
            slots: declared.slots,
            connections: declared.connections,
            queue: entry.limits.queue,
            divided: matches!(entry.sharding, Sharding::Key { .. }),
        };
        let target = UpstreamTarget {
            entry: declared.entry.clone(),
            address: declared.address,
            answer_bytes: entry.limits.answer_bytes,
            verify_echo: entry.verify_echo,
        };
        Some((limits, target))
    }
}
