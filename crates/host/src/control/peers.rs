//! Conversions between the descriptions of hosts in membership, ownership and settings.

use gate::PeerTable;
use ids::HostId;
use indexmap::IndexMap;
use own::HostRef;
use platform::{HostState, ListedHost};
use spread::{HostIdentity, HostView};

use crate::settings::{PeerAddresses, SeedPeer};

/// Returns the ownership reference of this host.
pub(crate) fn this_host_ref(identity: &HostIdentity) -> HostRef {
    HostRef {
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        domain: identity.domain.clone(),
        control: identity.control,
        dispatch: identity.dispatch,
    }
}

/// Returns the ownership reference of another host.
pub(crate) fn host_ref(view: &HostView) -> HostRef {
    HostRef {
        host: view.host.clone(),
        incarnation: view.incarnation,
        domain: view.domain.clone(),
        control: view.control,
        dispatch: view.dispatch,
    }
}

/// Converts the seed peers of the settings to entries of a host list.
pub(crate) fn seed_hosts(seeds: &[SeedPeer]) -> Vec<ListedHost> {
    let to_listed = |s: &SeedPeer| ListedHost {
        host: s.host.clone(),
        domain: s.domain.clone(),
        control: s.addresses.control,
        dispatch: s.addresses.dispatch,
        state: HostState::Live,
    };
    seeds.iter().map(to_listed).collect()
}

/// Replaces the listed addresses of hosts by the overrides of this host's settings.
pub(crate) fn override_addresses(
    hosts: &mut [ListedHost],
    overrides: &IndexMap<HostId, PeerAddresses>,
) {
    for host in hosts {
        if let Some(addresses) = overrides.get(&host.host) {
            host.control = addresses.control;
            host.dispatch = addresses.dispatch;
        }
    }
}

/// Returns the addresses to which this host forwards requests.
pub(crate) fn dispatch_table(
    hosts: impl Iterator<Item = HostView>,
    overrides: &IndexMap<HostId, PeerAddresses>,
) -> PeerTable {
    let address = |h: HostView| {
        let overridden = overrides.get(&h.host).map(|a| a.dispatch);
        (h.host, overridden.unwrap_or(h.dispatch))
    };
    PeerTable {
        dispatch: hosts.map(address).collect(),
    }
}
