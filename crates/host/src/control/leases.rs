//! Tells the dispatch duty what ownership decided.

use std::sync::Arc;

use catalogue::{Catalogue, Sharding};
use gate::{DispatchCommand, UpstreamTarget};
use ids::{SliceNo, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use own::Lease;
use route::{Event, UpstreamLimits};

/// A hold that is not drained yet.
#[derive(Debug)]
struct Hold {
    upstream: UpstreamId,
    slices: Vec<Option<SliceNo>>,
    waiting: IndexSet<Option<SliceNo>>,
}

/// What the dispatch duty was told of one upstream.
#[derive(Debug)]
struct Told {
    limits: UpstreamLimits,
    target: UpstreamTarget,
    slices: Option<Arc<[SliceNo]>>,
    carved: Arc<[SliceNo]>,
}

/// What the dispatch duty was told.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    catalogue: Arc<Catalogue>,
    told: IndexMap<UpstreamId, Told>,
    holds: IndexMap<u64, Hold>,
    out: Vec<DispatchCommand>,
}

impl Leases {
    /// Takes out what the dispatch duty has to be told.
    pub(crate) fn take(&mut self) -> Vec<DispatchCommand> {
        std::mem::take(&mut self.out)
    }

    /// Takes another catalogue: limits may have changed.
    pub(crate) fn catalogue(&mut self, catalogue: Arc<Catalogue>) {
        self.catalogue = catalogue;
        let known: Vec<UpstreamId> = self.told.keys().cloned().collect();
        for upstream in known {
            self.declare(&upstream);
        }
    }

    /// Passes on a lease.
    pub(crate) fn lease(&mut self, lease: Lease) {
        if !self.declare(&lease.upstream) {
            return;
        }
        let told = &mut self.told[&lease.upstream];
        let carved: Arc<[SliceNo]> = lease.carved.iter().map(|c| c.hot).collect();
        if told.carved != carved {
            told.carved = Arc::clone(&carved);
            self.out
                .push(DispatchCommand::Event(Event::HotSlicesChanged {
                    upstream: lease.upstream.clone(),
                    hot: carved,
                }));
        }
        let same = told.slices.as_ref() == Some(&lease.slices);
        if !same {
            told.slices = Some(Arc::clone(&lease.slices));
        }
        self.out.push(DispatchCommand::Event(Event::Lease {
            upstream: lease.upstream,
            epoch: lease.epoch,
            valid_until: lease.valid_until,
            slices: (!same).then_some(lease.slices),
        }));
    }

    /// Passes on that the host may not send to an upstream any more.
    pub(crate) fn stop(&mut self, upstream: UpstreamId, for_good: bool) {
        if !for_good {
            self.out
                .push(DispatchCommand::Event(Event::LeaseEnded { upstream }));
            return;
        }
        if self.told.shift_remove(&upstream).is_some() {
            self.out
                .push(DispatchCommand::Event(Event::Removed { upstream }));
        }
    }

    /// Passes on a hold of slices, or of all requests of an upstream.
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
            self.out
                .push(DispatchCommand::Event(Event::Hold { upstream, slice }));
        }
        let hold_state = Hold {
            upstream: upstream.clone(),
            waiting: slices.iter().copied().collect(),
            slices,
        };
        self.holds.insert(hold, hold_state);
    }

    /// Passes on the end of a hold; `to` has the slices now if this host coordinates it.
    pub(crate) fn release(&mut self, hold: u64, to: Option<&UpstreamId>) {
        let Some(hold) = self.holds.shift_remove(&hold) else {
            return;
        };
        for slice in hold.slices {
            self.out.push(DispatchCommand::Event(Event::Release {
                upstream: hold.upstream.clone(),
                slice,
                to: to.cloned(),
            }));
        }
    }

    /// Takes a notice that nothing of a held slice is under way; returns the holds that are
    /// drained by it.
    pub(crate) fn drained(&mut self, upstream: &UpstreamId, slice: Option<SliceNo>) -> Vec<u64> {
        let mut done = Vec::new();
        for (&no, hold) in &mut self.holds {
            if hold.upstream != *upstream || !hold.waiting.shift_remove(&slice) {
                continue;
            }
            if hold.waiting.is_empty() {
                done.push(no);
            }
        }
        done
    }

    /// Tells the dispatch duty what is declared of an upstream, if that changed; returns whether
    /// anything is.
    fn declare(&mut self, upstream: &UpstreamId) -> bool {
        let Some((limits, target)) = self.declared(upstream) else {
            return self.told.contains_key(upstream);
        };
        if let Some(told) = self.told.get_mut(upstream) {
            if told.limits == limits && told.target == target {
                return true;
            }
            told.limits = limits;
            told.target = target.clone();
        } else {
            let told = Told {
                limits,
                target: target.clone(),
                slices: None,
                carved: Arc::default(),
            };
            self.told.insert(upstream.clone(), told);
        }
        self.out.push(DispatchCommand::Upstream {
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
