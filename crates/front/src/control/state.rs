//! The state of the control thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assign::{HostIncarnation, Partition, PartitionId};
use direct::{Configuration, CrashTracker, RateLimit, RouteTable, UpstreamRegistry};
use gate::Metrics;
use gate::counters::Latency;
use ids::{HostId, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use platform::PlatformError;
use slog::{Logger, info, warn};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::control::era::KnownEra;
use crate::control::freshness::Freshness;
use crate::control::hosts::KnownHost;
use crate::control::partitions::PartitionState;
use crate::control::publish::HostLists;
use crate::control::quarantined::QuarantineState;
use crate::control::replica::TableReplica;
use crate::control::tables::Table;
use crate::control::tree::{Position, RelayHost, RelayTree};
use crate::links::SharedLostLinks;
use crate::peer_exchange::PeerCalls;
use crate::settings::Settings;
use crate::view::{CompiledConfiguration, Phase, SharedView};

/// Last known address of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastKnownAddress {
    /// Address on which it listens.
    pub(super) address: SocketAddr,
    /// The name under which its server registered.
    pub(super) server: SmolStr,
    /// Whether all incarnations of its server use that name.
    pub(super) shares_name: bool,
}

/// The state of the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// Settings of the host.
    pub cfg: Settings,
    /// This host and its incarnation.
    pub this_host: HostIncarnation,
    /// Whether the host accepts requests.
    pub phase: Phase,
    /// Whether this host has stopped granting keys for good.
    pub has_stopped: bool,
    /// The configuration in force.
    pub configuration: Option<Arc<CompiledConfiguration>>,
    /// The registered upstreams.
    pub registry: UpstreamRegistry,
    /// When the registry last changed.
    pub registry_changed_at: Timestamp,
    /// Upstreams whose registrations have been missing since the store came back.
    pub missing: Vec<UpstreamId>,
    /// Since when the store has answered; none while it does not.
    pub store_available_since: Option<Timestamp>,
    /// Last known address of each upstream, including upstreams that are no longer registered.
    pub last_addresses: HashMap<UpstreamId, LastKnownAddress>,
    /// Rate limits that upstreams announced in answers to this host or to others.
    pub limits: HashMap<UpstreamId, RateLimit>,
    /// Whether many rows are being applied at once: one line is logged then, not one for each row.
    pub is_bulk_read: bool,
    /// Servers whose registrations can't be decoded.
    pub unreadable_servers: IndexSet<SmolStr>,
    /// All hosts that have written their row.
    pub hosts: IndexMap<HostId, KnownHost>,
    /// When the last change of hosts was read.
    pub hosts_changed_at: Timestamp,
    /// Lists of the hosts as last published; none if the hosts have changed since.
    pub host_lists: Option<HostLists>,
    /// When this host last wrote its own row.
    pub row_written_at: Timestamp,
    /// When this host's row was first in the store; zero if it was before this incarnation started.
    pub listed_since: Option<Timestamp>,
    /// What is known of the store's era.
    pub known_era: KnownEra,
    /// Start of the newest successful read of the shared table.
    pub shared_read_at: Timestamp,
    /// The partitions of sharded entries.
    pub partitions: IndexMap<PartitionId, PartitionState>,
    /// Replicas of the store's tables, in the order of [`Table::ALL`](super::tables::Table::ALL).
    pub replicas: [TableReplica; Table::ALL.len()],
    /// Until when this host's knowledge of the store is fresh.
    pub freshness: Freshness,
    /// The hosts through which this host's knowledge of the store came: first the one that read it.
    /// Empty if this host read it itself.
    pub path: Vec<String>,
    /// Links to upstreams that this host has lost.
    pub lost_links: SharedLostLinks,
    /// Where checks of links are requested.
    pub link_checks: mpsc::Sender<UpstreamId>,
    /// Sends calls to upstreams through other hosts.
    pub peer_calls: PeerCalls,
    /// Upstreams that ended, by request.
    pub crashes: CrashTracker,
    /// Quarantined requests.
    pub quarantined: QuarantineState,
    /// When the hosts' rows were first read.
    pub hosts_first_read: Option<Timestamp>,
    /// Whether this host's row was among them.
    pub was_listed: bool,
    /// Where the view is published.
    pub view: SharedView,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
}

/// What the control thread shares with the request thread.
#[derive(Debug)]
pub struct RequestThreadLinks {
    /// Links to upstreams that this host has lost.
    pub lost_links: SharedLostLinks,
    /// Where checks of links are requested.
    pub link_checks: mpsc::Sender<UpstreamId>,
    /// Sends calls to upstreams through other hosts.
    pub peer_calls: PeerCalls,
    /// Where the view is published.
    pub view: SharedView,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl ControlState {
    /// Creates the state of a host that has just started.
    #[must_use]
    pub fn new(
        this_host: HostIncarnation,
        cfg: Settings,
        shared: RequestThreadLinks,
        log: Logger,
    ) -> Self {
        Self {
            this_host,
            phase: Phase::Starting,
            has_stopped: false,
            configuration: None,
            registry: UpstreamRegistry::default(),
            registry_changed_at: Timestamp::ZERO,
            missing: Vec::new(),
            // A host that starts has missed no changes.
            store_available_since: Some(Timestamp::ZERO),
            last_addresses: HashMap::new(),
            limits: HashMap::new(),
            is_bulk_read: false,
            unreadable_servers: IndexSet::new(),
            hosts: IndexMap::new(),
            hosts_changed_at: Timestamp::ZERO,
            host_lists: None,
            row_written_at: Timestamp::ZERO,
            listed_since: None,
            known_era: KnownEra::default(),
            shared_read_at: Timestamp::ZERO,
            partitions: IndexMap::new(),
            replicas: Default::default(),
            freshness: Freshness::default(),
            path: Vec::new(),
            lost_links: shared.lost_links,
            link_checks: shared.link_checks,
            peer_calls: shared.peer_calls,
            crashes: CrashTracker::default(),
            quarantined: QuarantineState::default(),
            hosts_first_read: None,
            was_listed: false,
            view: shared.view,
            metrics: shared.metrics,
            log,
            cfg,
        }
    }

    /// Applies a configuration unless one as new is in force. The change is not published yet.
    pub fn apply_configuration(&mut self, now: Timestamp, cfg: Configuration) {
        if let Some(old) = &self.configuration
            && old.cfg.version >= cfg.version
        {
            return;
        }
        let age = now.since(self.freshness.as_of(Table::Configuration));
        info!(self.log, "configuration in force";
            "version" => cfg.version.0, "routes" => cfg.routes.len(),
            "path" => self.path.join(" "), "read_ms_ago" => age.as_millis() as u64);
        for (entry, spec) in &cfg.entries {
            if spec.divided {
                self.add_partition(now, entry, Partition::WHOLE);
            }
        }
        let routes = RouteTable::new(&cfg);
        self.configuration = Some(Arc::new(CompiledConfiguration { cfg, routes }));
        if self.phase == Phase::Starting {
            self.phase = Phase::Ready;
        }
    }

    /// Returns the tree by which hosts relay to each other.
    #[must_use]
    pub fn relay_tree(&self) -> RelayTree {
        let relay_host = |host: &KnownHost| {
            let row = &host.row;
            let host = RelayHost {
                host: row.incarnation.host.clone(),
                peers: row.peers,
                capacity: row.capacity,
            };
            (row.domain.clone(), host)
        };
        RelayTree::new(self.hosts.values().map(relay_host))
    }

    /// Returns this host's position in the tree, if its row is known.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.relay_tree()
            .position(&self.cfg.domain, &self.this_host.host)
    }

    /// Returns whether the store has answered for at least `span`.
    #[must_use]
    pub fn store_available_for(&self, now: Timestamp, span: Duration) -> bool {
        self.store_available_since
            .is_some_and(|since| now.since(since) >= span)
    }

    /// Records for how long the configuration had been known without news, as it is now known as of
    /// `as_of`.
    pub fn record_confirmed(&self, now: Timestamp, as_of: Timestamp) {
        let before = self.freshness.as_of(Table::Configuration);
        if before != Timestamp::ZERO && before < as_of {
            let age = now.since(before);
            self.metrics.record(Latency::ConfigurationAge, age);
        }
    }

    /// Records that the store answered.
    pub fn record_store_answer(&mut self, now: Timestamp) {
        if self.store_available_since.is_none() {
            info!(self.log, "store regained");
            self.store_available_since = Some(now);
            self.publish();
        }
    }

    /// Records that the store did not answer a call that began at `began`.
    ///
    /// A call that began before the store came back is ignored.
    pub fn record_store_failure(&mut self, began: Timestamp, e: &PlatformError) {
        let is_old = self
            .store_available_since
            .is_some_and(|since| began < since);
        if !is_old && self.store_available_since.take().is_some() {
            warn!(self.log, "store lost"; "error" => %e);
            self.publish();
        }
    }
}
