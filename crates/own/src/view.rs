//! What ownership needs of the catalogue.

use std::sync::Arc;

use catalogue::{Catalogue, Class, CutOff, Sharding, Upstream};
use ids::{DomainId, EntryId, UpstreamId};
use wire::grant::{GrantScope, GrantSlices};

/// The catalogue in force.
#[derive(Debug, Default)]
pub(crate) struct View(Arc<Catalogue>);

impl View {
    pub(crate) const fn new(catalogue: Arc<Catalogue>) -> Self {
        Self(catalogue)
    }

    pub(crate) fn upstream(&self, upstream: &UpstreamId) -> Option<&Upstream> {
        self.0.upstreams.get(upstream)
    }

    pub(crate) fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &Upstream)> {
        self.0.upstreams.iter()
    }

    /// Iterates over the entries that are divided by key, with their numbers of slices.
    pub(crate) fn divided(&self) -> impl Iterator<Item = (&EntryId, u32)> {
        self.0
            .entries
            .iter()
            .filter_map(|(id, e)| match e.sharding {
                Sharding::Key { slices, .. } => Some((id, slices)),
                Sharding::None => None,
            })
    }

    pub(crate) fn is_lost(&self, domain: &DomainId) -> bool {
        self.0.domains.get(domain).is_some_and(|d| d.lost)
    }

    /// Tells whether an upstream lies in a domain that an operator declared lost.
    pub(crate) fn in_lost_domain(&self, upstream: &UpstreamId) -> bool {
        self.upstream(upstream)
            .is_some_and(|u| self.is_lost(&u.domain))
    }

    /// Tells whether an upstream's keys fail over when its domain is cut off.
    pub(crate) fn fails_over(&self, upstream: &UpstreamId) -> bool {
        let entry = self.upstream(upstream).map(|u| &u.entry);
        entry
            .and_then(|e| self.0.entries.get(e))
            .is_some_and(|e| e.cut_off == CutOff::FailOver)
    }

    pub(crate) fn is_idempotent(&self, upstream: &UpstreamId) -> bool {
        let entry = self.upstream(upstream).map(|u| &u.entry);
        entry
            .and_then(|e| self.0.entries.get(e))
            .is_some_and(|e| e.class == Class::Idempotent)
    }

    /// Returns the deadline of the upstream's entry, in milliseconds.
    pub(crate) fn deadline_ms(&self, upstream: &UpstreamId) -> u32 {
        let entry = self.upstream(upstream).map(|u| &u.entry);
        entry
            .and_then(|e| self.0.entries.get(e))
            .map_or(0, |e| e.deadline_ms)
    }

    /// Returns the scope of a grant for `slices` of an upstream, unless it is not declared.
    pub(crate) fn scope(
        &self,
        upstream: &UpstreamId,
        slices: &[ids::SliceNo],
    ) -> Option<GrantScope> {
        let entry = &self.upstream(upstream)?.entry;
        match self.0.entries.get(entry)?.sharding {
            Sharding::None => Some(GrantScope::Undivided),
            Sharding::Key { .. } => Some(GrantScope::Slices(GrantSlices {
                entry: entry.clone(),
                slices: slices.to_vec(),
            })),
        }
    }
}
