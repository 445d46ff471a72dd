//! Catalogue and ownership from the rows of the table, and the routing snapshot that requests use.

use std::sync::Arc;

use catalogue::{Catalogue, EffectiveCatalogue, RowFault};
use ids::{EntryId, HostId, Revision, UpstreamId, Version};
use indexmap::{IndexMap, IndexSet};
use own::OwnershipRowChange;
use platform::Row;
use route::{Ownership, OwnershipChange, Router, UpstreamOwnership};
use spread::{Prefix, RowChange};

/// Changes that result from a set of rows.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingChange {
    /// Whether the catalogue in force changed.
    pub(crate) catalogue: bool,
    /// Whether the routing snapshot changed.
    pub(crate) router: bool,
    /// Faults of the rows that were not applied.
    pub(crate) faults: Vec<RowFault>,
}

/// Catalogue, ownership and the routing snapshot compiled from them.
#[derive(Debug, Default)]
pub(crate) struct RoutingState {
    in_force: EffectiveCatalogue,
    ownership: Ownership,
    /// Hosts of each upstream according to the rows.
    hosts: IndexMap<UpstreamId, UpstreamHosts>,
    /// Known hosts that are unresponsive.
    unresponsive: IndexSet<HostId>,
    router: Arc<Router>,
}

/// Hosts of one upstream.
#[derive(Debug, Default)]
struct UpstreamHosts {
    coordinator: Option<HostId>,
    standby: Option<HostId>,
}

impl UpstreamHosts {
    /// Returns the host to which requests are forwarded: the standby while the coordinating host is
    /// unresponsive.
    ///
    /// A standby that has taken over may be unable to record that in the table. A standby that has
    /// not yet taken over refuses the requests, and they are retried.
    fn target(&self, unresponsive: &IndexSet<HostId>) -> Option<&HostId> {
        let is_unresponsive = |h: &HostId| unresponsive.contains(h);
        let coordinator = self.coordinator.as_ref()?;
        let standby = self.standby.as_ref().filter(|d| !is_unresponsive(d));
        standby
            .filter(|_| is_unresponsive(coordinator))
            .or(Some(coordinator))
    }
}

impl RoutingState {
    /// Applies changed rows.
    pub(crate) fn apply(&mut self, changes: &[RowChange]) -> RoutingChange {
        let catalogue = self.apply_catalogue(changes);
        let owned = self.apply_ownership(changes);
        if catalogue.catalogue {
            let router = Router::build(&self.router, self.in_force.catalogue(), &self.ownership);
            self.router = Arc::new(router);
        } else if !owned.is_empty() {
            let router = self.router.with_changes(self.ownership.revision, &owned);
            self.router = Arc::new(router);
        }
        RoutingChange {
            router: catalogue.catalogue || !owned.is_empty(),
            ..catalogue
        }
    }

    /// Sets the known hosts that are unresponsive. Returns whether the routing snapshot changed.
    pub(crate) fn set_unresponsive(&mut self, unresponsive: IndexSet<HostId>) -> bool {
        if unresponsive == self.unresponsive {
            return false;
        }
        self.unresponsive = unresponsive;
        let mut changes = Vec::new();
        for (upstream, hosts) in &self.hosts {
            let host = hosts.target(&self.unresponsive).cloned();
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

    /// Returns the version of the catalogue in force.
    pub(crate) fn version(&self) -> Version {
        self.in_force.version()
    }

    /// Returns the routing snapshot.
    pub(crate) fn router(&self) -> Arc<Router> {
        Arc::clone(&self.router)
    }

    fn apply_catalogue(&mut self, changes: &[RowChange]) -> RoutingChange {
        let rows: Vec<Row> = with_prefix(changes, Prefix::Catalogue)
            .map(|c| c.row.clone())
            .collect();
        if rows.is_empty() {
            return RoutingChange::default();
        }
        let applied = self.in_force.apply_rows(&rows);
        RoutingChange {
            catalogue: !applied.changed.is_empty(),
            router: false,
            faults: applied.faults,
        }
    }

    fn apply_ownership(&mut self, changes: &[RowChange]) -> Vec<OwnershipChange> {
        let mut added = Vec::new();
        // Slices that were removed from a row are unassigned before any slice is assigned, as one
        // batch may both remove a slice from one row and add it to another.
        let mut out = Vec::new();
        for change in with_prefix(changes, Prefix::Own) {
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
            let hosts = row.as_ref().map(|r| UpstreamHosts {
                coordinator: r.coordinator.as_ref().map(|h| h.host.clone()),
                standby: r.deputy.as_ref().map(|h| h.host.clone()),
            });
            let hosts = hosts.unwrap_or_default();
            let host = hosts.target(&self.unresponsive).cloned();
            self.hosts.insert(upstream.clone(), hosts);
            if owned.host != host {
                owned.host.clone_from(&host);
                let upstream = upstream.clone();
                out.push(OwnershipChange::Coordinator { upstream, host });
            }
            let slices = row.map_or_else(Vec::new, |r| r.slices.iter().map(|s| s.slice).collect());
            let before = std::mem::replace(&mut owned.slices, slices);
            diff(&upstream, &before, owned, &mut out, &mut added);
        }
        let reassigned = self.find_new_owners(&out);
        out.append(&mut added);
        out.extend(reassigned);
        out
    }

    /// Returns the new owners of removed slices that the known row of another upstream already
    /// lists. The rows of one move may arrive in any order.
    fn find_new_owners(&self, changes: &[OwnershipChange]) -> Vec<OwnershipChange> {
        let mut found = Vec::new();
        for change in changes {
            let OwnershipChange::Unassigned { upstream, slice } = change else {
                continue;
            };
            let entry = self.entry_of(upstream);
            let is_new_owner = |(other, owned): &(&UpstreamId, &UpstreamOwnership)| {
                *other != upstream
                    && owned.slices.binary_search(slice).is_ok()
                    && self.entry_of(other) == entry
            };
            if let Some((other, _)) = self.ownership.upstreams.iter().find(is_new_owner) {
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

    /// Returns the known ownership.
    pub(crate) const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the highest table revision of ownership that is known.
    pub(crate) const fn revision(&self) -> Revision {
        self.ownership.revision
    }
}

fn with_prefix(changes: &[RowChange], prefix: Prefix) -> impl Iterator<Item = &RowChange> {
    changes
        .iter()
        .filter(move |c| c.row.key.0.starts_with(prefix.as_str()))
}

/// Appends the differences between the slices `before` and the slices of `owned`, both in ascending
/// order: removed slices to `unassigned`, added ones to `assigned`.
fn diff(
    upstream: &UpstreamId,
    before: &[ids::SliceNo],
    owned: &UpstreamOwnership,
    unassigned: &mut Vec<OwnershipChange>,
    assigned: &mut Vec<OwnershipChange>,
) {
    let removed = before
        .iter()
        .filter(|s| owned.slices.binary_search(s).is_err());
    unassigned.extend(removed.map(|&slice| OwnershipChange::Unassigned {
        upstream: upstream.clone(),
        slice,
    }));
    let added = owned
        .slices
        .iter()
        .filter(|s| before.binary_search(s).is_err());
    assigned.extend(added.map(|&slice| OwnershipChange::Assigned {
        upstream: upstream.clone(),
        slice,
    }));
}
