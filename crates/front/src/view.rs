//! State that the control thread publishes for the request thread.

use std::sync::Arc;

use arc_swap::ArcSwap;
use assign::EntryOwners;
use direct::{Configuration, PeerHost, PermitHosts, Quarantine, RouteTable, UpstreamRegistry};
use ids::{DomainId, EntryId};
use indexmap::IndexMap;

/// Whether a host accepts requests of callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// It does not have enough state yet.
    #[default]
    Starting,
    /// It accepts requests.
    Ready,
    /// It finishes the requests in flight.
    Leaving,
}

/// A configuration and its compiled routes.
#[derive(Debug, Default)]
pub struct CompiledConfiguration {
    /// The configuration.
    pub cfg: Configuration,
    /// Its routes.
    pub routes: RouteTable,
}

/// All state that the request path reads; replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether the host accepts requests of callers.
    pub phase: Phase,
    /// The configuration in force.
    pub configuration: Option<Arc<CompiledConfiguration>>,
    /// Registry of upstreams.
    pub registry: Arc<UpstreamRegistry>,
    /// Owners of keys, for each entry that is divided by key.
    pub owners: Arc<IndexMap<EntryId, EntryOwners>>,
    /// Hosts of each failure domain that grant permits at its upstreams.
    pub permit_hosts: Arc<IndexMap<DomainId, PermitHosts>>,
    /// The other hosts, through which requests may go to upstreams that this one does not reach.
    pub peers: Arc<Vec<PeerHost>>,
    /// Requests that are sent to no upstream, because upstreams crashed while running them.
    pub quarantine: Arc<Quarantine>,
    /// Whether the store is unreachable, so that no key moves.
    pub is_store_unreachable: bool,
    /// Number of hosts that share the retry budget; at least one.
    pub hosts: usize,
}

/// The current view, shared by all threads.
pub type SharedView = Arc<ArcSwap<View>>;
