//! What the control duty knows, and the view that it publishes.

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
use crate::view::{InForce, Phase, Shared, View};

/// What a host tells the others of itself, in the store.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HostRow {
    /// The run.
    pub run: HostIncarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it takes heartbeats.
    pub peers: SocketAddr,
    /// Where it is asked for permits to send to upstreams; none if it grants none.
    #[serde(default)]
    pub permits: Option<SocketAddr>,
    /// The work that it can do, in cores.
    #[serde(default)]
    pub capacity: f64,
}

/// A host that has written its row.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHost {
    /// The row.
    pub row: HostRow,
    /// Revision at which it was written.
    pub at: Revision,
}

/// A part of the keys of an entry that is divided by key.
#[derive(Debug)]
pub struct Divided {
    /// Which part; of how many is known with the row of the first one.
    pub part: Partition,
    /// Since when this host knows that there is this part.
    pub since: Timestamp,
    /// Grants its keys.
    pub keeper: PartitionLeaseManager,
    /// Who should.
    pub succession: TakeoverMonitor,
    /// Which keys nobody serves for the moment.
    pub unserved: UnservedKeys,
    /// How busy its keys are.
    pub loads: KeyLoads,
    /// Mean times of its upstreams for one request, in seconds.
    pub services: HashMap<UpstreamId, f64>,
    /// Upstreams whose orders fail, and how many have.
    pub failing: HashMap<UpstreamId, u32>,
    /// The owners as they were last published; none if that has changed.
    owners: Option<Arc<PartitionOwners>>,
}

impl Divided {
    /// Notes that the keeper may know a newer row.
    pub fn row_taken(&mut self, now: Timestamp) {
        if let (Some(row), Some(revision)) = (self.keeper.row(), self.keeper.revision()) {
            self.unserved.record_row(now, row, revision);
            self.owners = None;
        }
    }

    /// Takes what the granting host says of keys that nobody serves; tells whether that changes anything.
    pub fn hear_moving(&mut self, now: Timestamp, moving: &MovingRanges) -> bool {
        let is_news = self.unserved.apply(now, moving);
        if is_news {
            self.owners = None;
        }
        is_news
    }

    /// Returns the owners of the part's keys, if its row is known.
    fn owners(&mut self) -> Option<Arc<PartitionOwners>> {
        if self.owners.is_none() {
            let owners = PartitionOwners::new(self.keeper.row()?, &self.unserved);
            self.owners = Some(Arc::new(owners));
        }
        self.owners.clone()
    }
}

/// The state of the control duty.
#[derive(Debug)]
pub struct Control {
    /// Settings of the host.
    pub cfg: Settings,
    /// This run.
    pub me: HostIncarnation,
    /// Whether the host takes callers.
    pub phase: Phase,
    /// Whether this host grants keys no more and never will again.
    pub has_stopped: bool,
    /// The configuration in force.
    pub in_force: Option<Arc<InForce>>,
    /// The upstreams.
    pub roster: UpstreamRegistry,
    /// When the roster last changed.
    pub roster_changed: Timestamp,
    /// Registrations that are missing since the store came back.
    pub missing: Vec<UpstreamId>,
    /// Since when the store answers.
    pub store_since: Option<Timestamp>,
    /// Where each upstream was last known to listen, also if it is no longer registered.
    pub places: HashMap<UpstreamId, Place>,
    /// How many requests a second upstreams say they take, by the answers that this host got.
    pub limits: HashMap<UpstreamId, RateLimit>,
    /// Whether a whole table is being taken, of which one line is logged and not one for each row.
    pub takes_all: bool,
    /// Servers whose registration can't be read.
    pub unreadable: IndexSet<SmolStr>,
    /// All hosts that have written their row.
    pub hosts: IndexMap<HostId, KnownHost>,
    /// When news of hosts last came.
    pub hosts_changed: Timestamp,
    /// When this host last wrote its own row.
    pub row_written: Timestamp,
    /// When the newest read of what hosts share began that ended well.
    pub shared_began: Timestamp,
    /// The parts of entries that are divided by key.
    pub divided: IndexMap<PartitionId, Divided>,
    /// What was read of the store, in the order of [`Table::ALL`](super::take::Table::ALL).
    pub copies: [Copy; Table::ALL.len()],
    /// Until when what is known of the store is fresh.
    pub freshness: Freshness,
    /// The host that last read what is known of the store.
    pub reader: SmolStr,
    /// Under which requests upstreams ended.
    pub crashes: CrashTracker,
    /// Requests that are sent to no upstream for now.
    pub quarantined: QuarantineState,
    /// When the hosts' rows were first read.
    pub hosts_known: Option<Timestamp>,
    /// Whether this host was among them.
    pub was_listed: bool,
    /// Where the view is published.
    pub view: Shared,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
}

/// The control duty's state, shared among its tasks on one thread.
#[derive(Debug, Clone)]
pub struct Ctl {
    state: Rc<RefCell<Control>>,
    /// Wakes the task that drives the keepers.
    pub wake_keys: Rc<Notify>,
    /// Tells the hosts that this one feeds that there is something new, or known to be still so.
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

    /// Returns what tells of changes to the copies of the store's tables.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Tells everybody whom it concerns that what is known of the store has changed.
    pub fn changed(&self) {
        self.wake_keys.notify_one();
        self.changes.send_replace(());
    }

    /// Tells the hosts that this one feeds that what is known of the store is still so.
    ///
    /// Each host passes that on at once, so that the last one in the tree is hardly behind the first.
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
    /// Publishes what callers' duty has to know.
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
            in_force: self.in_force.clone(),
            roster: Arc::new(self.roster.clone()),
            owners: Arc::new(owners),
            quarantine: self.quarantined.in_force(),
            is_store_away: self.store_since.is_none(),
            hosts: self.hosts.len().max(1),
        };
        self.view.store(Arc::new(view));
    }

    /// Changes whether the host takes callers.
    pub fn enter(&mut self, phase: Phase) {
        if self.phase == phase {
            return;
        }
        info!(self.log, "phase"; "from" => ?self.phase, "to" => ?phase);
        self.phase = phase;
        self.publish();
    }

    /// Takes a configuration unless a newer one is in force; it is not published yet.
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
        self.in_force = Some(Arc::new(InForce { cfg, routes }));
        if self.phase == Phase::Starting {
            self.phase = Phase::Ready;
        }
    }

    /// Begins to follow a part of an entry's keys, unless this host does.
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

    /// Returns the hosts in the order in which they feed each other.
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

    /// Returns where this host stands in that order, if its row is known.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.domains().position(&self.cfg.domain, &self.me.host)
    }

    /// Tells whether this host grants keys of an entry.
    #[must_use]
    pub fn grants(&self) -> bool {
        self.divided.values().any(|d| d.keeper.is_granter())
    }

    /// Returns the parts whose keys this host grants.
    #[must_use]
    pub fn granted(&self) -> Vec<PartitionId> {
        let granted = self.divided.iter().filter(|(_, d)| d.keeper.is_granter());
        granted.map(|(id, _)| id.clone()).collect()
    }

    /// Notes a read of the row of `part` that began at `began`.
    pub fn confirmed(&mut self, part: &PartitionId, began: Timestamp) {
        if let Some(divided) = self.divided.get_mut(part) {
            divided.keeper.record_read(began);
        }
    }

    /// Tells whether keys would be lost by this host's end: nobody can take their granting over.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.grants() && !self.has_stopped
    }

    /// Notes that a host's row was written at `at`.
    pub fn note_host(&mut self, now: Timestamp, row: HostRow, at: Revision) {
        self.hosts_changed = now;
        self.hosts
            .insert(row.run.host.clone(), KnownHost { row, at });
    }

    /// Notes a read of what hosts share that began at `began` and brought everything up to then.
    pub fn shared_read(&mut self, began: Timestamp) {
        self.shared_began = self.shared_began.max(began);
        for divided in self.divided.values_mut() {
            divided.keeper.record_read(began);
        }
    }

    /// Tells whether the store has answered for `span` at least.
    #[must_use]
    pub fn store_answers_for(&self, now: Timestamp, span: Duration) -> bool {
        self.store_since
            .is_some_and(|since| now.since(since) >= span)
    }

    /// Notes that the store answered.
    pub fn store_answered(&mut self, now: Timestamp) {
        if self.store_since.is_none() {
            info!(self.log, "store regained");
            self.store_since = Some(now);
            self.publish();
        }
    }

    /// Notes that the store did not answer a call that began at `began`.
    ///
    /// A call that began before the store came back says nothing of the time since.
    pub fn store_failed(&mut self, began: Timestamp, e: &PlatformError) {
        let is_old = self.store_since.is_some_and(|since| began < since);
        if !is_old && self.store_since.take().is_some() {
            warn!(self.log, "store lost"; "error" => %e);
            self.publish();
        }
    }

    /// Takes the row of a part of an entry's keys; it is not published yet.
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
