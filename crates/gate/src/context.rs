//! State shared by the gate's threads and the rest of the host.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use ids::{Clock, HostId, Revision, Timestamp};
use indexmap::IndexMap;
use route::Router;
use slog::Logger;

use crate::counters::Metrics;

/// Stage in the lifecycle of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Phase {
    /// Not ready yet; the balancer should not choose the host.
    Starting = 0,
    /// Serving requests.
    Serving = 1,
    /// Still serving requests, but the balancer should choose other hosts.
    Leaving = 2,
}

/// Addresses of the dispatch threads of other hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerTable {
    /// Address by host.
    pub dispatch: IndexMap<HostId, SocketAddr>,
}

/// State shared by the threads of one host; reads never block.
pub struct GateContext {
    /// This host.
    pub host: HostId,
    /// This host's clock.
    pub clock: Arc<dyn Clock>,
    /// Routing snapshot in force.
    pub router: ArcSwap<Router>,
    /// Addresses of other hosts.
    pub peers: ArcSwap<PeerTable>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
    live_hosts: AtomicU32,
    phase: AtomicU8,
    newest_seen_revision: AtomicU64,
}

impl fmt::Debug for GateContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GateContext")
            .field("host", &self.host)
            .field("phase", &self.phase())
            .finish_non_exhaustive()
    }
}

impl GateContext {
    /// Creates the context of a starting host, without routes.
    #[must_use]
    pub fn new(host: HostId, clock: Arc<dyn Clock>, metrics: Arc<Metrics>, log: Logger) -> Self {
        Self {
            host,
            clock,
            router: ArcSwap::from_pointee(Router::default()),
            peers: ArcSwap::from_pointee(PeerTable::default()),
            metrics,
            log,
            live_hosts: AtomicU32::new(1),
            phase: AtomicU8::new(Phase::Starting as u8),
            newest_seen_revision: AtomicU64::new(0),
        }
    }

    /// Reads the clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            _ => Phase::Leaving,
        }
    }

    /// Sets the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Returns the number of live entry hosts that share the entries' rate limits.
    #[must_use]
    pub fn live_hosts(&self) -> u32 {
        self.live_hosts.load(Ordering::Relaxed)
    }

    /// Sets the number of live entry hosts that share the entries' rate limits. It takes effect
    /// with the next routing snapshot, or with the next request after this call.
    pub fn set_live_hosts(&self, count: u32) {
        self.live_hosts.store(count.max(1), Ordering::Relaxed);
    }

    /// Returns the highest table revision named in refusals and requests of other hosts. If it is
    /// above this host's own, the local table is out of date.
    #[must_use]
    pub fn newest_seen_revision(&self) -> Revision {
        Revision(self.newest_seen_revision.load(Ordering::Relaxed))
    }

    pub(crate) fn record_seen_revision(&self, revision: Revision) {
        self.newest_seen_revision
            .fetch_max(revision.0, Ordering::Relaxed);
    }
}
