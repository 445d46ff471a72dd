//! Confirmations of other hosts that they grant nothing by earlier rows, for which a granting host
//! waits after the store has returned from a copy.

use std::net::SocketAddr;

use assign::PartitionId;
use ids::{BootClock, Clock, Revision};

use crate::control::messages::Heartbeat;
use crate::control::state::ControlState;

/// Records up to which row the sender at `from` grants no keys, if this host waits for that.
pub(super) fn apply(c: &mut ControlState, heartbeat: &Heartbeat, from: SocketAddr) {
    let Some(grants_from) = heartbeat.grants_from.map(Revision) else {
        return;
    };
    let knows_hosts = c.knows_hosts_of_past_era();
    let state = heartbeat.partition.parse().ok();
    let Some(state) = state.and_then(|id: PartitionId| c.partitions.get_mut(&id)) else {
        return;
    };
    let manager = &mut state.lease_manager;
    if !manager.needs_confirmations() {
        return;
    }
    let Some(sender) = c.hosts.values().find(|h| h.row.peers == from) else {
        return;
    };
    manager.host_confirmed(&sender.row.incarnation.host, grants_from);
    let mut others = c.hosts.keys().filter(|host| **host != c.this_host.host);
    if knows_hosts && others.all(|host| manager.has_confirmed(host)) {
        manager.all_confirmed(BootClock.now());
    }
}
