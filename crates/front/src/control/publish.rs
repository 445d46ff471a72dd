//! The view that the control thread publishes for the request thread.

use std::sync::Arc;

use assign::EntryOwners;
use direct::{PeerHost, PermitHosts};
use ids::{DomainId, EntryId};
use indexmap::IndexMap;
use slog::info;

use crate::control::state::ControlState;
use crate::view::{Phase, View};

/// The hosts that grant permits, by domain, and the hosts through which requests may go.
pub type HostLists = (Arc<IndexMap<DomainId, PermitHosts>>, Arc<Vec<PeerHost>>);

impl ControlState {
    /// Publishes the view for the request thread.
    pub fn publish(&mut self) {
        let mut owners: IndexMap<EntryId, EntryOwners> = IndexMap::new();
        for (id, state) in &mut self.partitions {
            if let Some(known) = state.owners() {
                let entry = owners.entry(id.entry.clone()).or_default();
                entry.insert(state.partition, known);
            }
        }
        let (permit_hosts, peers) = self.host_lists();
        let view = View {
            peers,
            permit_hosts,
            phase: self.phase,
            configuration: self.configuration.clone(),
            registry: Arc::new(self.registry.clone()),
            owners: Arc::new(owners),
            quarantine: self.quarantined.in_force(),
            is_store_unreachable: self.store_available_since.is_none(),
            hosts: self.hosts.len().max(1),
        };
        self.view.store(Arc::new(view));
    }

    /// Returns the hosts that grant permits, and those through which requests may go. They are built
    /// anew only if the hosts have changed.
    fn host_lists(&mut self) -> HostLists {
        let (hosts, this_host) = (&self.hosts, &self.this_host.host);
        let lists = self.host_lists.get_or_insert_with(|| {
            let mut permit_hosts: IndexMap<DomainId, PermitHosts> = IndexMap::new();
            let mut peers = Vec::new();
            for row in hosts.values().map(|host| &host.row) {
                let of_domain = permit_hosts.entry(row.domain.clone()).or_default();
                if let Some(address) = row.permits {
                    of_domain.add(address, row.capacity);
                }
                if let Some(address) = row.exchanges
                    && row.incarnation.host != *this_host
                {
                    let domain = row.domain.clone();
                    peers.push(PeerHost { address, domain });
                }
            }
            (Arc::new(permit_hosts), Arc::new(peers))
        });
        lists.clone()
    }

    /// Changes the phase of the host.
    pub fn set_phase(&mut self, phase: Phase) {
        if self.phase == phase {
            return;
        }
        info!(self.log, "phase"; "from" => ?self.phase, "to" => ?phase);
        self.phase = phase;
        self.publish();
    }
}
