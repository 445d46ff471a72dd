//! Counterparts of this host: the hosts that are coordinating host or standby of an upstream whose
//! other role this host has.

use ids::{HostId, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use own::{HostRef, OwnershipRowChange};
use platform::Row;

/// The counterparts of a host.
#[derive(Debug)]
pub(crate) struct Counterparts {
    me: HostId,
    by_upstream: IndexMap<UpstreamId, HostId>,
    last_reported: IndexSet<HostId>,
}

impl Counterparts {
    /// Creates the empty set of counterparts of the host `me`.
    pub(crate) fn new(me: HostId) -> Self {
        Self {
            me,
            by_upstream: IndexMap::new(),
            last_reported: IndexSet::new(),
        }
    }

    /// Applies an ownership row.
    pub(crate) fn apply_row(&mut self, row: &Row) {
        let Ok(OwnershipRowChange::Upstream(upstream, _, content)) = OwnershipRowChange::parse(row)
        else {
            return;
        };
        let counterpart = content.and_then(|row| {
            let coordinator = row.coordinator.as_ref();
            let standby = row.deputy.as_ref();
            self.counterpart(coordinator, standby)
                .or(self.counterpart(standby, coordinator))
        });
        match counterpart {
            Some(host) => drop(self.by_upstream.insert(upstream, host)),
            None => drop(self.by_upstream.swap_remove(&upstream)),
        }
    }

    /// Returns the counterparts if they changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Option<Vec<HostId>> {
        let mut hosts: IndexSet<HostId> = self.by_upstream.values().cloned().collect();
        hosts.sort_unstable();
        if hosts == self.last_reported {
            return None;
        }
        self.last_reported = hosts;
        Some(self.last_reported.iter().cloned().collect())
    }

    /// Returns `other` if `one` is this host.
    fn counterpart(&self, one: Option<&HostRef>, other: Option<&HostRef>) -> Option<HostId> {
        let is_this_host = one.is_some_and(|h| h.host == self.me);
        other.filter(|_| is_this_host).map(|h| h.host.clone())
    }
}
