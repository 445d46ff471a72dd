//! The hosts that coordinate upstreams together with this one, as coordinating host or deputy.

use ids::{HostId, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use own::{HostRef, OwnershipRowChange};
use platform::Row;

/// The hosts that coordinate upstreams together with this one.
#[derive(Debug)]
pub(crate) struct Pairs {
    me: HostId,
    others: IndexMap<UpstreamId, HostId>,
    told: IndexSet<HostId>,
}

impl Pairs {
    /// Creates the empty set of the host `me`.
    pub(crate) fn new(me: HostId) -> Self {
        Self {
            me,
            others: IndexMap::new(),
            told: IndexSet::new(),
        }
    }

    /// Takes an ownership row.
    pub(crate) fn take(&mut self, row: &Row) {
        let Ok(OwnershipRowChange::Upstream(upstream, _, content)) = OwnershipRowChange::parse(row)
        else {
            return;
        };
        let other = content.and_then(|row| {
            let coordinator = row.coordinator.as_ref();
            let deputy = row.deputy.as_ref();
            self.other(coordinator, deputy)
                .or(self.other(deputy, coordinator))
        });
        match other {
            Some(other) => drop(self.others.insert(upstream, other)),
            None => drop(self.others.swap_remove(&upstream)),
        }
    }

    /// Returns the hosts if they are others than at the last call.
    pub(crate) fn changed(&mut self) -> Option<Vec<HostId>> {
        let mut now: IndexSet<HostId> = self.others.values().cloned().collect();
        now.sort_unstable();
        if now == self.told {
            return None;
        }
        self.told = now;
        Some(self.told.iter().cloned().collect())
    }

    fn other(&self, one: Option<&HostRef>, other: Option<&HostRef>) -> Option<HostId> {
        let here = one.is_some_and(|h| h.host == self.me);
        other.filter(|_| here).map(|h| h.host.clone())
    }
}
