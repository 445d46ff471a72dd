//! State that the control thread publishes for the request thread.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use assign::EntryOwners;
use direct::{Configuration, PeerHost, PermitHosts, Quarantine, RouteTable, UpstreamRegistry};
use ids::{BootClock, Clock, DomainId, EntryId, UpstreamId};
use indexmap::IndexMap;
use tokio::sync::watch;

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

impl View {
    /// Returns whether `upstream` may get requests by what this host knows of it, on behalf of another
    /// host that decided on them: it is not known to have left, nor to be out of service.
    #[must_use]
    pub fn may_get_requests(&self, upstream: &UpstreamId) -> bool {
        let registry = &self.registry;
        let Some(up) = registry.get(upstream) else {
            return !registry.is_gone(upstream);
        };
        let configuration = self.configuration.as_ref();
        let spec = configuration.and_then(|current| current.cfg.entries.get(&up.entry));
        if spec.is_some_and(|entry| entry.divided) {
            registry.serves_owned_keys(up, BootClock.now())
        } else {
            registry.is_in_service(up)
        }
    }
}

/// The current view, shared by all threads.
pub type SharedView = Arc<CurrentView>;

/// The view that was stored last.
#[derive(Debug, Default)]
pub struct CurrentView {
    view: ArcSwap<View>,
    changes: watch::Sender<()>,
}

impl CurrentView {
    /// Returns the view, for a short use.
    pub fn load(&self) -> Guard<Arc<View>> {
        self.view.load()
    }

    /// Returns the view, for a use that may include waits.
    pub fn load_full(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: Arc<View>) {
        self.view.store(view);
        self.changes.send_replace(());
    }

    /// Returns a receiver that is notified when the view is replaced.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}
