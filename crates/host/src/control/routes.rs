//! What the table's rows say of catalogue and ownership, compiled for the path of requests.

use std::sync::Arc;

use catalogue::{Catalogue, EffectiveCatalogue, RowFault};
use ids::{EntryId, HostId, Revision, UpstreamId, Version};
use indexmap::{IndexMap, IndexSet};
use own::OwnershipRowChange;
use platform::Row;
use route::{Ownership, OwnershipChange, Router, UpstreamOwnership};
use spread::{Prefix, RowChange};

/// What some rows changed.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutesChange {
    /// Whether another catalogue is in force.
    pub(crate) catalogue: bool,
    /// Whether there is another routing snapshot.
    pub(crate) router: bool,
    /// Rows that were not taken because of a fault.
    pub(crate) faults: Vec<RowFault>,
}

/// Catalogue, ownership and the routing snapshot compiled from both.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    in_force: EffectiveCatalogue,
    ownership: Ownership,
    /// Hosts of each upstream, as the rows name them.
    hosts: IndexMap<UpstreamId, RowHosts>,
    /// Hosts that are known and count as lost.
    silent: IndexSet<HostId>,
    router: Arc<Router>,
}

/// Hosts of one upstream.
#[derive(Debug, Default)]
struct RowHosts {
    coordinator: Option<HostId>,
    deputy: Option<HostId>,
}

impl RowHosts {
    /// Returns the host to which requests go: the deputy while the coordinating host is silent.
    ///
    /// A deputy that has taken over may be unable to record it. One that has not taken over yet
    /// refuses, and the requests come again.
    fn target(&self, silent: &IndexSet<HostId>) -> Option<&HostId> {
        let lost = |h: &HostId| silent.contains(h);
        let coordinator = self.coordinator.as_ref()?;
        let deputy = self.deputy.as_ref().filter(|d| !lost(d));
        deputy.filter(|_| lost(coordinator)).or(Some(coordinator))
    }
}

impl Routes {
    /// Takes rows that changed.
    pub(crate) fn take(&mut self, changes: &[RowChange]) -> RoutesChange {
        let catalogue = self.take_catalogue(changes);
        let owned = self.take_ownership(changes);
        if catalogue.catalogue {
            let router = Router::build(&self.router, self.in_force.catalogue(), &self.ownership);
            self.router = Arc::new(router);
        } else if !owned.is_empty() {
            let router = self.router.with_changes(self.ownership.revision, &owned);
            self.router = Arc::new(router);
        }
        RoutesChange {
            router: catalogue.catalogue || !owned.is_empty(),
            ..catalogue
        }
    }

    /// Takes which known hosts count as lost; returns whether there is another routing snapshot.
    pub(crate) fn silent(&mut self, silent: IndexSet<HostId>) -> bool {
        if silent == self.silent {
            return false;
        }
        self.silent = silent;
        let mut changes = Vec::new();
        for (upstream, hosts) in &self.hosts {
            let host = hosts.target(&self.silent).cloned();
            let owned = self
                .ownership
                .upstreams
                .entry(upstream.clone())
                .or_default();
            if owned.host != host {
                owned.host.clone_from(&host);
                let upstream = upstream.clone();
                changes.push(OwnershipChange::Coordinator { upstream, host });
            }
        }
        if changes.is_empty() {
            return false;
        }
        let router = self.router.with_changes(self.ownership.revision, &changes);
        self.router = Arc::new(router);
        true
    }

    /// Returns the catalogue in force.
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        self.in_force.snapshot()
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        self.in_force.version()
    }

    /// Returns the routing snapshot.
    pub(crate) fn router(&self) -> Arc<Router> {
        Arc::clone(&self.router)
    }

    fn take_catalogue(&mut self, changes: &[RowChange]) -> RoutesChange {
        let rows: Vec<Row> = below(changes, Prefix::Catalogue)
            .map(|c| c.row.clone())
            .collect();
        if rows.is_empty() {
            return RoutesChange::default();
        }
        let applied = self.in_force.apply_rows(&rows);
        RoutesChange {
            catalogue: !applied.changed.is_empty(),
            router: false,
            faults: applied.faults,
        }
    }

    fn take_ownership(&mut self, changes: &[RowChange]) -> Vec<OwnershipChange> {
        let mut assigned = Vec::new();
        // Slices that left a row are unassigned before others are assigned, as the same slice
        // may do both in one batch.
        let mut out = Vec::new();
        for change in below(changes, Prefix::Own) {
            let Ok(OwnershipRowChange::Upstream(upstream, revision, row)) =
                OwnershipRowChange::parse(&change.row)
            else {
                continue;
            };
            self.ownership.revision = self.ownership.revision.max(revision);
            let owned = self
                .ownership
                .upstreams
                .entry(upstream.clone())
                .or_default();
            let hosts = row.as_ref().map(|r| RowHosts {
                coordinator: r.coordinator.as_ref().map(|h| h.host.clone()),
                deputy: r.deputy.as_ref().map(|h| h.host.clone()),
            });
            let hosts = hosts.unwrap_or_default();
            let host = hosts.target(&self.silent).cloned();
            self.hosts.insert(upstream.clone(), hosts);
            if owned.host != host {
                owned.host.clone_from(&host);
                let upstream = upstream.clone();
                out.push(OwnershipChange::Coordinator { upstream, host });
            }
            let slices = row.map_or_else(Vec::new, |r| r.slices.iter().map(|s| s.slice).collect());
            let before = std::mem::replace(&mut owned.slices, slices);
            diff(&upstream, &before, owned, &mut out, &mut assigned);
        }
        let handed_on = self.other_owners(&out);
        out.append(&mut assigned);
        out.extend(handed_on);
        out
    }

    /// Finds the owners of slices that were taken off an upstream while another row that is known
    /// lists them already: rows of one move come in any order.
    fn other_owners(&self, changes: &[OwnershipChange]) -> Vec<OwnershipChange> {
        let mut found = Vec::new();
        for change in changes {
            let OwnershipChange::Unassigned { upstream, slice } = change else {
                continue;
            };
            let entry = self.entry_of(upstream);
            let lists = |(other, owned): &(&UpstreamId, &UpstreamOwnership)| {
                *other != upstream
                    && owned.slices.binary_search(slice).is_ok()
                    && self.entry_of(other) == entry
            };
            if let Some((other, _)) = self.ownership.upstreams.iter().find(lists) {
                found.push(OwnershipChange::Assigned {
                    upstream: other.clone(),
                    slice: *slice,
                });
            }
        }
        found
    }

    fn entry_of(&self, upstream: &UpstreamId) -> Option<&EntryId> {
        let declared = self.in_force.catalogue().upstreams.get(upstream)?;
        Some(&declared.entry)
    }

    /// Returns what is known of ownership.
    pub(crate) const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the highest table revision of ownership that is known.
    pub(crate) const fn revision(&self) -> Revision {
        self.ownership.revision
    }
}

fn below(changes: &[RowChange], prefix: Prefix) -> impl Iterator<Item = &RowChange> {
    changes
        .iter()
        .filter(move |c| c.row.key.0.starts_with(prefix.as_str()))
}

/// Lists what differs between two rising lists of slices.
fn diff(
    upstream: &UpstreamId,
    before: &[ids::SliceNo],
    owned: &UpstreamOwnership,
    gone: &mut Vec<OwnershipChange>,
    came: &mut Vec<OwnershipChange>,
) {
    let lost = before
        .iter()
        .filter(|s| owned.slices.binary_search(s).is_err());
    gone.extend(lost.map(|&slice| OwnershipChange::Unassigned {
        upstream: upstream.clone(),
        slice,
    }));
    let new = owned
        .slices
        .iter()
        .filter(|s| before.binary_search(s).is_err());
    came.extend(new.map(|&slice| OwnershipChange::Assigned {
        upstream: upstream.clone(),
        slice,
    }));
}
