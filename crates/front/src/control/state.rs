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
use direct::{Configuration, CrashTracker, PermitHosts, RateLimit, RouteTable, UpstreamRegistry};
use gate::Metrics;
use ids::{DomainId, EntryId, HostId, Revision, Timestamp, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use platform::PlatformError;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};

use crate::control::copies::Copy;
use crate::control::freshness::Freshness;
use crate::control::take::Table;
use crate::control::tree::{Domains, Member, Position};

use crate::control::quarantine::QuarantineState;
use crate::control::registry::Place;
use crate::settings::Settings;
use crate::view::{CompiledConfiguration, Phase, SharedView, View};

/// A host's row in the store, by which the other hosts find it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HostRow {
    /// The host's incarnation.
    pub run: HostIncarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for heartbeats and relay connections.
    pub peers: SocketAddr,
    /// Address for permit requests; none if the host grants no permits.
    #[serde(default)]
    pub permits: Option<SocketAddr>,
    /// Processor capacity, in cores.
    #[serde(default)]
    pub capacity: f64,
}

/// A host whose row was read.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHost {
    /// The row.
    pub row: HostRow,
    /// Revision at which the row was written.
    pub at: Revision,
}

/// State of one partition of a sharded entry.
#[derive(Debug)]
pub struct Divided {
    /// The partition. The number of partitions becomes known with the row of the first one.
    pub part: Partition,
    /// When this host learnt of the partition.
    pub since: Timestamp,
    /// Grants its keys.
    pub keeper: PartitionLeaseManager,
    /// Decides when this host takes over as the granting host.
    pub succession: TakeoverMonitor,
    /// Keys that no upstream serves at present.
    pub unserved: UnservedKeys,
    /// Request rates of its keys.
    pub loads: KeyLoads,
    /// Mean service times of its upstreams, in seconds.
    pub services: HashMap<UpstreamId, f64>,
    /// Upstreams whose grant calls fail, and the number of failed calls.
    pub failing: HashMap<UpstreamId, u32>,
    /// The owners as last published; none if they have changed since.
    owners: Option<Arc<PartitionOwners>>,
}

impl Divided {
    /// Updates what follows from the lease manager's row, which may have changed.
    pub fn row_taken(&mut self, now: Timestamp) {
        if let (Some(row), Some(revision)) = (self.keeper.row(), self.keeper.revision()) {
            self.unserved.record_row(now, row, revision);
            self.owners = None;
        }
    }

    /// Applies the granting host's report of ranges that no upstream serves; returns whether it
    /// changes anything.
    pub fn hear_moving(&mut self, now: Timestamp, moving: &MovingRanges) -> bool {
        let is_news = self.unserved.apply(now, moving);
        if is_news {
            self.owners = None;
        }
        is_news
    }

    /// Returns the owners of the partition's keys, if its row is known.
    fn owners(&mut self) -> Option<Arc<PartitionOwners>> {
        if self.owners.is_none() {
            let owners = PartitionOwners::new(self.keeper.row()?, &self.unserved);
            self.owners = Some(Arc::new(owners));
        }
        self.owners.clone()
    }
}

/// The state of the control thread.
#[derive(Debug)]
pub struct Control {
    /// Settings of the host.
    pub cfg: Settings,
    /// This host and its incarnation.
    pub me: HostIncarnation,
    /// Whether the host accepts requests.
    pub phase: Phase,
    /// Whether this host has stopped granting keys for good.
    pub has_stopped: bool,
    /// The configuration in force.
    pub in_force: Option<Arc<CompiledConfiguration>>,
    /// The registered upstreams.
    pub roster: UpstreamRegistry,
    /// When the registry last changed.
    pub roster_changed: Timestamp,
    /// Upstreams whose registrations have been missing since the store came back.
    pub missing: Vec<UpstreamId>,
    /// Since when the store has answered; none while it does not.
    pub store_since: Option<Timestamp>,
    /// Last known address of each upstream, including upstreams that are no longer registered.
    pub places: HashMap<UpstreamId, Place>,
    /// Rate limits that upstreams announced in answers to this host or to others.
    pub limits: HashMap<UpstreamId, RateLimit>,
    /// Whether many rows are being applied at once: one line is logged then, not one for each row.
    pub takes_all: bool,
    /// Servers whose registrations can't be decoded.
    pub unreadable: IndexSet<SmolStr>,
    /// All hosts that have written their row.
    pub hosts: IndexMap<HostId, KnownHost>,
    /// When the last change of hosts was read.
    pub hosts_changed: Timestamp,
    /// When this host last wrote its own row.
    pub row_written: Timestamp,
    /// Start of the newest successful read of the shared table.
    pub shared_began: Timestamp,
    /// The partitions of sharded entries.
    pub divided: IndexMap<PartitionId, Divided>,
    /// Replicas of the store's tables, in the order of [`Table::ALL`](super::apply::Table::ALL).
    pub copies: [Copy; Table::ALL.len()],
    /// Until when this host's knowledge of the store is fresh.
    pub freshness: Freshness,
    /// The host that made the last read of the store that this host's knowledge stems from.
    pub reader: SmolStr,
    /// Upstreams that ended, by request.
    pub crashes: CrashTracker,
    /// Quarantined requests.
    pub quarantined: QuarantineState,
    /// When the hosts' rows were first read.
    pub hosts_known: Option<Timestamp>,
    /// Whether this host's row was among them.
    pub was_listed: bool,
    /// Where the view is published.
    pub view: SharedView,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
}

/// The state of the control thread, shared by its tasks.
#[derive(Debug, Clone)]
pub struct Ctl {
    state: Rc<RefCell<Control>>,
    /// Wakes the task that drives the lease managers.
    pub wake_keys: Rc<Notify>,
    /// Notifies the tasks that relay to other hosts that a replica changed or was confirmed.
    changes: Rc<watch::Sender<()>>,
}

impl Ctl {
    /// Shares `state`.
    #[must_use]
    pub fn new(state: Control) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            wake_keys: Rc::default(),
            changes: Rc::new(watch::Sender::new(())),
        }
    }

    /// Returns a receiver that is notified when a replica changes or is confirmed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Notifies all dependent tasks that this host's knowledge of the store has changed.
    pub fn changed(&self) {
        self.wake_keys.notify_one();
        self.changes.send_replace(());
    }

    /// Notifies the relay targets of this host that a read has confirmed the replicas.
    ///
    /// Each host relays the confirmation at once, so that the last one in the tree is hardly behind
    /// the first.
    pub fn refreshed(&self) {
        self.changes.send_replace(());
    }

    /// Reads or changes the state; `f` must not wait.
    ///
    /// # Panics
    ///
    /// Panics if called within itself.
    pub fn with<T>(&self, f: impl FnOnce(&mut Control) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }
}

impl Control {
    /// Publishes the view for the request thread.
    pub fn publish(&mut self) {
        let mut owners: IndexMap<EntryId, EntryOwners> = IndexMap::new();
        for (id, divided) in &mut self.divided {
            if let Some(known) = divided.owners() {
                let entry = owners.entry(id.entry.clone()).or_default();
                entry.insert(divided.part, known);
            }
        }
        let mut permit_hosts: IndexMap<DomainId, PermitHosts> = IndexMap::new();
        for host in self.hosts.values() {
            let in_domain = permit_hosts.entry(host.row.domain.clone()).or_default();
            if let Some(address) = host.row.permits {
                in_domain.add(address, host.row.capacity);
            }
        }
        let view = View {
            permit_hosts: Arc::new(permit_hosts),
            phase: self.phase,
            configuration: self.in_force.clone(),
            registry: Arc::new(self.roster.clone()),
            owners: Arc::new(owners),
            quarantine: self.quarantined.in_force(),
            is_store_unreachable: self.store_since.is_none(),
            hosts: self.hosts.len().max(1),
        };
        self.view.store(Arc::new(view));
    }

    /// Changes the phase of the host.
    pub fn enter(&mut self, phase: Phase) {
        if self.phase == phase {
            return;
        }
        info!(self.log, "phase"; "from" => ?self.phase, "to" => ?phase);
        self.phase = phase;
        self.publish();
    }

    /// Applies a configuration unless one as new is in force. The change is not published yet.
    pub fn configure(&mut self, now: Timestamp, cfg: Configuration) {
        if let Some(old) = &self.in_force
            && old.cfg.version >= cfg.version
        {
            return;
        }
        info!(self.log, "configuration in force";
            "version" => cfg.version.0, "routes" => cfg.routes.len());
        for (entry, spec) in &cfg.entries {
            if spec.divided {
                self.divide(now, entry, Partition::WHOLE);
            }
        }
        let routes = RouteTable::new(&cfg);
        self.in_force = Some(Arc::new(CompiledConfiguration { cfg, routes }));
        if self.phase == Phase::Starting {
            self.phase = Phase::Ready;
        }
    }

    /// Adds a partition of an entry's keys, unless it is known.
    fn divide(&mut self, now: Timestamp, entry: &EntryId, part: Partition) {
        let id = PartitionId {
            entry: entry.clone(),
            index: part.index,
        };
        if let Some(known) = self.divided.get_mut(&id) {
            known.part.count = known.part.count.max(part.count);
            return;
        }
        let cfg = AssignSettings::default();
        let divided = Divided {
            part,
            since: now,
            owners: None,
            keeper: PartitionLeaseManager::new(self.me.clone(), cfg, Planner::default()),
            succession: TakeoverMonitor::new(TakeoverSettings::default()),
            unserved: UnservedKeys::default(),
            loads: KeyLoads::new(now),
            services: HashMap::new(),
            failing: HashMap::new(),
        };
        self.divided.insert(id, divided);
    }

    /// Returns the tree by which hosts relay to each other.
    #[must_use]
    pub fn domains(&self) -> Domains {
        let member = |host: &KnownHost| {
            let row = &host.row;
            let member = Member {
                host: row.run.host.clone(),
                peers: row.peers,
                capacity: row.capacity,
            };
            (row.domain.clone(), member)
        };
        Domains::new(self.hosts.values().map(member))
    }

    /// Returns this host's position in the tree, if its row is known.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.domains().position(&self.cfg.domain, &self.me.host)
    }

    /// Returns whether this host is the granting host of some partition.
    #[must_use]
    pub fn grants(&self) -> bool {
        self.divided.values().any(|d| d.keeper.is_granter())
    }

    /// Returns the partitions whose granting host is this host.
    #[must_use]
    pub fn granted(&self) -> Vec<PartitionId> {
        let granted = self.divided.iter().filter(|(_, d)| d.keeper.is_granter());
        granted.map(|(id, _)| id.clone()).collect()
    }

    /// Records a read of the row of `part` that began at `began`.
    pub fn confirmed(&mut self, part: &PartitionId, began: Timestamp) {
        if let Some(divided) = self.divided.get_mut(part) {
            divided.keeper.record_read(began);
        }
    }

    /// Returns whether the end of this host would leave keys without a granting host: no other host
    /// can take over yet.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.grants() && !self.has_stopped
    }

    /// Records that a host's row was written at revision `at`.
    pub fn note_host(&mut self, now: Timestamp, row: HostRow, at: Revision) {
        self.hosts_changed = now;
        self.hosts
            .insert(row.run.host.clone(), KnownHost { row, at });
    }

    /// Records a read of the shared table that began at `began` and brought everything up to then.
    pub fn shared_read(&mut self, began: Timestamp) {
        self.shared_began = self.shared_began.max(began);
        for divided in self.divided.values_mut() {
            divided.keeper.record_read(began);
        }
    }

    /// Returns whether the store has answered for at least `span`.
    #[must_use]
    pub fn store_answers_for(&self, now: Timestamp, span: Duration) -> bool {
        self.store_since
            .is_some_and(|since| now.since(since) >= span)
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now: Timestamp) {
        if self.store_since.is_none() {
            info!(self.log, "store regained");
            self.store_since = Some(now);
            self.publish();
        }
    }

    /// Records that the store did not answer a call that began at `began`.
    ///
    /// A call that began before the store came back is ignored.
    pub fn store_failed(&mut self, began: Timestamp, e: &PlatformError) {
        let is_old = self.store_since.is_some_and(|since| began < since);
        if !is_old && self.store_since.take().is_some() {
            warn!(self.log, "store lost"; "error" => %e);
            self.publish();
        }
    }

    /// Applies the row of a partition. The change is not published yet.
    pub fn take_row(&mut self, now: Timestamp, id: &PartitionId, row: PartitionRow, at: Revision) {
        for part in row.partition.all() {
            self.divide(now, &id.entry, part);
        }
        let Some(divided) = self.divided.get_mut(id) else {
            return;
        };
        let granter = row.granter.clone();
        let is_news = divided.keeper.apply_row(now, row, at);
        divided.row_taken(now);
        if is_news && divided.succession.set_granter(now, &granter) {
            info!(self.log, "keys are granted by"; "part" => %id,
                "granter" => granter.host.as_str(), "incarnation" => granter.incarnation.0);
        }
    }
}
