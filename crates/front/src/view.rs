//! What the control duty tells the callers' duty.

use std::sync::Arc;

use arc_swap::ArcSwap;
use assign::EntryOwners;
use direct::{Configuration, PermitHosts, Quarantine, RouteTable, UpstreamRegistry};
use ids::{DomainId, EntryId};
use indexmap::IndexMap;

/// Whether a host takes callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// It does not know enough yet.
    #[default]
    Starting,
    /// It takes callers.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// A configuration and its compiled routes.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub cfg: Configuration,
    /// Its routes.
    pub routes: RouteTable,
}

/// All that the path of a request needs to know; replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether the host takes callers.
    pub phase: Phase,
    /// The configuration in force.
    pub in_force: Option<Arc<InForce>>,
    /// The upstreams.
    pub roster: Arc<UpstreamRegistry>,
    /// Owners of keys, for each entry that is divided by key.
    pub owners: Arc<IndexMap<EntryId, EntryOwners>>,
    /// The hosts of each failure domain that are asked for permits to send to its upstreams.
    pub permit_hosts: Arc<IndexMap<DomainId, PermitHosts>>,
    /// Requests that are sent to no upstream, as upstreams ended under them.
    pub quarantine: Arc<Quarantine>,
    /// Whether the store is away, so that no key moves.
    pub is_store_away: bool,
    /// Hosts that share the budget for repeats; at least one.
    pub hosts: usize,
}

/// The view in force, for all threads.
pub type Shared = Arc<ArcSwap<View>>;
