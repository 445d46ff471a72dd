//! Parts of the catalogue that the ownership protocol uses.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalogue::{Catalogue, Class, CutOff, Entry, Sharding, Upstream};
use ids::{DomainId, EntryId, UpstreamId};
use wire::grant::{GrantScope, GrantSlices};

/// The catalogue in force, and the last declarations of upstreams that it no longer contains.
#[derive(Debug, Default)]
pub(crate) struct CatalogueView {
    current: Arc<Catalogue>,
    removed: BTreeMap<UpstreamId, Upstream>,
}

impl CatalogueView {
    /// Replaces the catalogue in force.
    pub(crate) fn replace(&mut self, catalogue: Arc<Catalogue>) {
        let before = std::mem::replace(&mut self.current, catalogue);
        for (u, decl) in &before.upstreams {
            if !self.current.upstreams.contains_key(u) {
                self.removed.insert(u.clone(), decl.clone());
            }
        }
        self.removed
            .retain(|u, _| !self.current.upstreams.contains_key(u));
    }

    /// Returns the declaration of an upstream.
    pub(crate) fn upstream(&self, upstream: &UpstreamId) -> Option<&Upstream> {
        self.current.upstreams.get(upstream)
    }

    /// Returns the present or last declaration of an upstream.
    pub(crate) fn last_declared(&self, upstream: &UpstreamId) -> Option<&Upstream> {
        self.upstream(upstream)
            .or_else(|| self.removed.get(upstream))
    }

    fn entry(&self, upstream: &UpstreamId) -> Option<&Entry> {
        self.current
            .entries
            .get(&self.last_declared(upstream)?.entry)
    }

    pub(crate) fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        self.current.upstreams.iter()
    }

    /// Iterates over the entries that are sharded by key, with their numbers of slices.
    pub(crate) fn sharded_entries(&self) -> impl Iterator<Item = (&EntryId, u32)> {
        self.current
            .entries
            .iter()
            .filter_map(|(id, e)| match e.sharding {
                Sharding::Key { slices, .. } => Some((id, slices)),
                Sharding::None => None,
            })
    }

    pub(crate) fn is_lost(&self, domain: &DomainId) -> bool {
        self.current.domains.get(domain).is_some_and(|d| d.lost)
    }

    /// Returns whether an operator declared any domain lost.
    pub(crate) fn has_lost_domain(&self) -> bool {
        self.current.domains.values().any(|d| d.lost)
    }

    /// Returns whether an upstream is in a domain that an operator declared lost.
    pub(crate) fn in_lost_domain(&self, upstream: &UpstreamId) -> bool {
        self.upstream(upstream)
            .is_some_and(|u| self.is_lost(&u.domain))
    }

    /// Returns whether an upstream's keys fail over when its domain is cut off.
    pub(crate) fn fails_over(&self, upstream: &UpstreamId) -> bool {
        self.entry(upstream)
            .is_some_and(|e| e.cut_off == CutOff::FailOver)
    }

    pub(crate) fn is_idempotent(&self, upstream: &UpstreamId) -> bool {
        self.entry(upstream)
            .is_some_and(|e| e.class == Class::Idempotent)
    }

    /// Returns the deadline of the upstream's entry, in milliseconds.
    pub(crate) fn deadline_ms(&self, upstream: &UpstreamId) -> u32 {
        self.entry(upstream).map_or(0, |e| e.deadline_ms)
    }

    /// Returns the scope of a grant for `slices` of an upstream, or `None` if the upstream is not
    /// declared.
    pub(crate) fn scope(
        &self,
        upstream: &UpstreamId,
        slices: &[ids::SliceNo],
    ) -> Option<GrantScope> {
        let entry = &self.upstream(upstream)?.entry;
        match self.current.entries.get(entry)?.sharding {
            Sharding::None => Some(GrantScope::Undivided),
            Sharding::Key { .. } => Some(GrantScope::Slices(GrantSlices {
                entry: entry.clone(),
                slices: slices.to_vec(),
            })),
        }
    }
}
