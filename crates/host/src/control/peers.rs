//! Other hosts, as the parts of the control duty name them.

use gate::PeerTable;
use ids::HostId;
use indexmap::IndexMap;
use own::HostRef;
use platform::{HostState, ListedHost};
use spread::{HostIdentity, HostView};

use crate::settings::{PeerAddresses, SeedPeer};

/// Returns this host as the ownership code names it.
pub(crate) fn own_ref(me: &HostIdentity) -> HostRef {
    HostRef {
        host: me.host.clone(),
        incarnation: me.incarnation,
        domain: me.domain.clone(),
        control: me.control,
        dispatch: me.dispatch,
    }
}

/// Returns another host as the ownership code names it.
pub(crate) fn view_ref(view: &HostView) -> HostRef {
    HostRef {
        host: view.host.clone(),
        incarnation: view.incarnation,
        domain: view.domain.clone(),
        control: view.control,
        dispatch: view.dispatch,
    }
}

/// Returns the hosts that are known from the settings, as if the platform had listed them.
pub(crate) fn listed(seeds: &[SeedPeer]) -> Vec<ListedHost> {
    let listed = |s: &SeedPeer| ListedHost {
        host: s.host.clone(),
        domain: s.domain.clone(),
        control: s.addresses.control,
        dispatch: s.addresses.dispatch,
        state: HostState::Live,
    };
    seeds.iter().map(listed).collect()
}

/// Puts this host's own addresses of others in place of the listed ones.
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

/// Returns the addresses at which this host hands requests over.
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
