//! What the table's rows say of catalogue and ownership, compiled for the path of requests.

use std::sync::Arc;

use catalogue::{Catalogue, InForce, RowFault};
use ids::{Revision, UpstreamId, Version};
use own::OwnChange;
use platform::Row;
use route::{Owned, Ownership, OwnershipChange, Router};
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
    in_force: InForce,
    ownership: Ownership,
    router: Arc<Router>,
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
            let router = self.router.changed(self.ownership.revision, &owned);
            self.router = Arc::new(router);
        }
        RoutesChange {
            router: catalogue.catalogue || !owned.is_empty(),
            ..catalogue
        }
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
            let Ok(OwnChange::Upstream(upstream, revision, row)) = OwnChange::parse(&change.row)
            else {
                continue;
            };
            self.ownership.revision = self.ownership.revision.max(revision);
            let owned = self
                .ownership
                .upstreams
                .entry(upstream.clone())
                .or_default();
            let host = row.as_ref().and_then(|r| r.coordinator.as_ref());
            let host = host.map(|h| h.host.clone());
            if owned.host != host {
                owned.host.clone_from(&host);
                let upstream = upstream.clone();
                out.push(OwnershipChange::Coordinator { upstream, host });
            }
            let slices = row.map_or_else(Vec::new, |r| r.slices.iter().map(|s| s.slice).collect());
            let before = std::mem::replace(&mut owned.slices, slices);
            diff(&upstream, &before, owned, &mut out, &mut assigned);
        }
        out.append(&mut assigned);
        out
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
    owned: &Owned,
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
