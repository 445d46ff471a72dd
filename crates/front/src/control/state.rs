//! The state of the control thread, and the view that it publishes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use assign::{
    AssignSettings, EntryOwners, HostIncarnation, KeyLoads, MovingRanges, Partition, PartitionId,
    PartitionLeaseManager, PartitionOwners, PartitionRow, Planner, TakeoverMonitor,
    TakeoverSettings, UnservedKeys,
};
use direct::{
    Configuration, CrashTracker, PeerHost, PermitHosts, RateLimit, RouteTable, UpstreamRegistry,
};
use gate::Metrics;
use gate::counters::Latency;
use ids::{DomainId, EntryId, HostId, Revision, StoreEra, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use platform::PlatformError;
use slog::{Logger, info, warn};
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc, watch};

use crate::control::era::KnownEra;
use crate::control::freshness::Freshness;
use crate::control::hosts::KnownHost;
use crate::control::quarantined::QuarantineState;
use crate::control::replica::TableReplica;
use crate::control::tables::{PartitionKey, Table};
use crate::control::tree::{Position, RelayHost, RelayTree};
use crate::links::SharedLostLinks;
use crate::peer_exchange::PeerCalls;
use crate::settings::Settings;
use crate::view::{CompiledConfiguration, Phase, SharedView, View};

/// State of one partition of a sharded entry.
#[derive(Debug)]
pub struct PartitionState {
    /// The partition. The number of partitions becomes known with the row of the first one.
    pub partition: Partition,
    /// When this host learnt of the partition.
    pub known_since: Timestamp,
    /// Grants its keys.
    pub lease_manager: PartitionLeaseManager,
    /// Decides when this host takes over as the granting host.
    pub takeover_monitor: TakeoverMonitor,
    /// Keys that no upstream serves at present.
    pub unserved: UnservedKeys,
    /// Request rates of its keys.
    pub loads: KeyLoads,
    /// Mean service times of its upstreams, in seconds.
    pub service_times: HashMap<UpstreamId, f64>,
    /// Upstreams whose grant calls fail, and the number of failed calls.
    pub failing_calls: HashMap<UpstreamId, u32>,
    /// The owners as last published; none if they have changed since.
    owners: Option<Arc<PartitionOwners>>,
}

impl PartitionState {
    /// Updates what follows from the lease manager's row, which may have changed.
    pub fn row_changed(&mut self, now: Timestamp) {
        if let (Some(row), Some(revision)) =
            (self.lease_manager.row(), self.lease_manager.revision())
        {
            self.unserved.record_row(now, row, revision);
            self.owners = None;
        }
    }

    /// Applies the granting host's report of ranges that no upstream serves; returns whether it
    /// changes anything.
    pub fn apply_moving(&mut self, now: Timestamp, moving: &MovingRanges) -> bool {
        let has_changed = self.unserved.apply(now, moving);
        if has_changed {
            self.owners = None;
        }
        has_changed
    }

    /// Returns the owners of the partition's keys, if its row is known.
    fn owners(&mut self) -> Option<Arc<PartitionOwners>> {
        if self.owners.is_none() {
            let owners = PartitionOwners::new(self.lease_manager.row()?, &self.unserved);
            self.owners = Some(Arc::new(owners));
        }
        self.owners.clone()
    }
}

/// The hosts that grant permits, by domain, and the hosts through which requests may go.
pub type HostLists = (Arc<IndexMap<DomainId, PermitHosts>>, Arc<Vec<PeerHost>>);

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

/// The state of the control thread, shared by its tasks.
#[derive(Debug, Clone)]
pub struct SharedControl {
    state: Rc<RefCell<ControlState>>,
    /// Wakes the task that drives the lease managers.
    pub wake_lease_managers: Rc<Notify>,
    /// Notifies the tasks that relay to other hosts that a replica changed or was confirmed.
    changes: Rc<watch::Sender<()>>,
}

impl SharedControl {
    /// Shares `state`.
    #[must_use]
    pub fn new(state: ControlState) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            wake_lease_managers: Rc::default(),
            changes: Rc::new(watch::Sender::new(())),
        }
    }

    /// Returns a receiver that is notified when a replica changes or is confirmed.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Notifies all dependent tasks that this host's knowledge of the store has changed.
    pub fn notify_changed(&self) {
        self.wake_lease_managers.notify_one();
        self.changes.send_replace(());
    }

    /// Notifies the relay targets of this host that a read has confirmed the replicas.
    ///
    /// Each host relays the confirmation at once, so that the last one in the tree is hardly behind
    /// the first.
    pub fn notify_confirmed(&self) {
        self.changes.send_replace(());
    }

    /// Reads or changes the state; `f` must not wait.
    ///
    /// # Panics
    ///
    /// Panics if called within itself.
    pub fn with<T>(&self, f: impl FnOnce(&mut ControlState) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }
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

    /// Adds a partition of an entry's keys, unless it is known.
    fn add_partition(&mut self, now: Timestamp, entry: &EntryId, partition: Partition) {
        let id = PartitionId {
            entry: entry.clone(),
            index: partition.index,
        };
        if let Some(known) = self.partitions.get_mut(&id) {
            known.partition.count = known.partition.count.max(partition.count);
            return;
        }
        let cfg = AssignSettings::default();
        let mut state = PartitionState {
            partition,
            known_since: now,
            owners: None,
            lease_manager: PartitionLeaseManager::new(
                self.this_host.clone(),
                cfg,
                Planner::default(),
            ),
            takeover_monitor: TakeoverMonitor::new(TakeoverSettings::default()),
            unserved: UnservedKeys::default(),
            loads: KeyLoads::new(now),
            service_times: HashMap::new(),
            failing_calls: HashMap::new(),
        };
        if let Some(since) = self.known_era.since {
            let era = &self.known_era;
            state
                .lease_manager
                .begin_era(since, era.era, era.may_follow_another);
        }
        self.partitions.insert(id, state);
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

    /// Returns whether this host is the granting host of some partition.
    #[must_use]
    pub fn grants(&self) -> bool {
        self.partitions
            .values()
            .any(|d| d.lease_manager.is_granter())
    }

    /// Returns the keys of the rows that name this host as the granting host.
    #[must_use]
    pub fn granted_rows(&self) -> Vec<PartitionKey> {
        let granted = self
            .partitions
            .iter()
            .filter(|(_, d)| d.lease_manager.is_granter());
        let key = |(id, d): (&PartitionId, &PartitionState)| PartitionKey {
            partition: id.clone(),
            era: d.lease_manager.revision().unwrap_or_default().era(),
        };
        granted.map(key).collect()
    }

    /// Records a read of the row of `partition` that began at `began`, when the store was in `era`.
    pub fn record_row_read(&mut self, partition: &PartitionId, began: Timestamp, era: StoreEra) {
        if let Some(state) = self.partitions.get_mut(partition) {
            state.lease_manager.record_read(began, era);
        }
    }

    /// Returns whether the end of this host would leave keys without a granting host: no other host
    /// can take over yet.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.grants() && !self.has_stopped
    }

    /// Records a read of the shared table that began at `began` and brought everything up to then;
    /// the store was in `era`.
    pub fn record_shared_read(&mut self, began: Timestamp, era: StoreEra) {
        self.shared_read_at = self.shared_read_at.max(began);
        for state in self.partitions.values_mut() {
            state.lease_manager.record_read(began, era);
        }
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

    /// Applies the row of a partition. The change is not published yet.
    pub fn apply_row(
        &mut self,
        now: Timestamp,
        id: &PartitionId,
        row: PartitionRow,
        revision: Revision,
    ) {
        for partition in row.partition.all() {
            self.add_partition(now, &id.entry, partition);
        }
        let Some(state) = self.partitions.get_mut(id) else {
            return;
        };
        let granter = row.granter.clone();
        let has_changed = state.lease_manager.apply_row(now, row, revision);
        state.row_changed(now);
        if has_changed && state.takeover_monitor.set_granter(now, &granter) {
            info!(self.log, "keys are granted by"; "part" => %id,
                "granter" => granter.host.as_str(), "incarnation" => granter.incarnation.0);
        }
    }
}
