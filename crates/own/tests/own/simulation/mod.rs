//! Deterministic simulation of hosts, upstreams, a table and a network.
//!
//! The simulation covers only what the ownership protocol depends on: messages that are delayed,
//! lost or duplicated; pauses that may fall between a decision and its effect; clocks with
//! different rates; and a table that is down, slow, or loses its confirmations. A snapshot is
//! verified after each change of leases, grants, rows or sent requests.

pub mod checks;
pub mod dispatch;
pub mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use catalogue::{Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Sharding};
use ids::{DomainId, EntryId, HostId, Incarnation, Revision, Timestamp};
use own::{Action, CommitOutcome, Event, HostRef, OwnershipMachine, OwnershipSettings, Violation};
use platform::{Commit, MemoryTable, Txn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wire::grant::GrantRequest;

use self::dispatch::{Dispatcher, Request};
use self::upstream::Upstream;

/// Microseconds in a millisecond. Times and durations are in microseconds unless their names say
/// otherwise.
pub const MS: u64 = 1_000;
pub const ENTRY: &str = "booking";
pub const SLICES: u32 = 8;
pub const DEADLINE_MS: u64 = 300;
/// Upper bound on the delay of any message.
pub const MAX_DELAY_US: u64 = 450 * MS;

/// Local clock of a process, with an offset and a rate error.
#[derive(Debug, Clone, Copy)]
pub struct LocalClock {
    pub offset_us: u64,
    /// Rate error in parts per million.
    pub drift_ppm: i64,
}

impl LocalClock {
    /// Returns the reading at simulated time `t`, in microseconds.
    pub fn reading(self, t: u64) -> u64 {
        let t = i128::from(t);
        let skew = t * i128::from(self.drift_ppm) / 1_000_000;
        self.offset_us + u64::try_from(t + skew).unwrap()
    }
}

/// Checks outside the machine that a test can disable on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledChecks {
    /// Upstreams do not compare the epoch of a grant request with their own.
    pub grant_epoch: bool,
}

/// Configuration of a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    /// Number of hosts in each domain.
    pub hosts: Vec<usize>,
    /// Domain of each upstream, and whether the upstream checks grants.
    pub upstreams: Vec<(usize, bool)>,
    pub cut_off: CutOff,
    pub class: Class,
    /// Percentage of messages that are lost.
    pub loss_percent: u32,
    /// Percentage of messages that are duplicated.
    pub duplicate_percent: u32,
    /// Maximum delay of most messages.
    pub delay_us: u64,
    /// Maximum rate error of the clocks, in parts per million.
    pub drift_ppm: i64,
    /// Percentage of requests that may run up to their deadline.
    pub long_request_percent: u32,
    /// Percentage of the table's confirmations that are lost.
    pub lost_confirmation_percent: u32,
    pub settings: OwnershipSettings,
    pub disabled_checks: DisabledChecks,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: vec![2, 2],
            upstreams: vec![(0, true), (0, true), (1, true)],
            cut_off: CutOff::Serve,
            class: Class::NonIdempotent,
            loss_percent: 0,
            duplicate_percent: 0,
            delay_us: 2 * MS,
            drift_ppm: 0,
            long_request_percent: 0,
            lost_confirmation_percent: 0,
            settings: OwnershipSettings::default(),
            disabled_checks: DisabledChecks::default(),
        }
    }
}

/// Kind of step before which a host can be paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Commit,
    Grant,
    Peer,
    Lease,
    Request,
}

/// A fault, a repair, or a planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillHost(usize),
    StartHost(usize),
    PauseHost(usize, u64),
    /// Pauses a host just before its next step of a kind.
    PauseBefore(usize, Step, u64),
    LeaveHost(usize),
    KillUpstream(usize),
    StartUpstream(usize),
    PauseUpstream(usize, u64),
    DrainUpstream(usize),
    RemoveUpstream(usize),
    /// Proposes to carve a hot key out of a slice.
    Carve(u64),
    /// Proposes to fold the hot key back into a slice.
    Fold(u64),
    /// Proposes to move the hot key of a slice to an upstream.
    MoveHot(u64, usize),
    TableDown,
    TableUp,
    /// Sets the extra delay of accesses to the table.
    TableSlow(u64),
    /// Cuts a domain off from all others.
    CutDomain(usize),
    /// Reconnects a domain to all others and to the platform.
    HealDomain(usize),
    /// Cuts a domain off from the platform, and so from the table.
    CutPlatform(usize),
    /// Cuts a domain off from all others and from the platform.
    Isolate(usize),
    /// Cuts two hosts, of the same or of different domains, off from each other for a duration.
    CutHosts(usize, usize, u64),
    /// Cuts a host and an upstream off from each other for a duration.
    CutUpstream(usize, usize, u64),
    /// Cuts a host off from all upstreams for a duration.
    CutLinks(usize, u64),
    /// Cuts a host off from all hosts and upstreams for a duration, but not from the table.
    CutHost(usize, u64),
    /// Kills all processes of a domain and declares the domain lost.
    LoseDomain(usize),
    /// Proposes to move a slice to an upstream.
    MoveSlice(u64, usize),
}

/// An event in the queue of the simulation.
///
/// Hosts and upstreams are identified by their indices. If the index of a host is followed by an
/// incarnation, the event is ignored once that incarnation has ended.
#[derive(Debug)]
pub enum SimEvent {
    Tick(usize, u64),
    /// A host starts to read the table.
    Poll(usize, u64),
    /// The result of a read arrives at a host.
    PollResult(usize, u64, PollResult),
    SendHeartbeats(usize, u64),
    /// A heartbeat, or the echo of one, arrives at a host.
    Contact(usize, usize, HostRef, u64, bool),
    /// Delivers an event to a host's machine.
    Deliver(usize, u64, Event),
    /// Performs an action of a host's machine.
    Perform(usize, u64, Action),
    /// A grant request arrives at an upstream.
    Grant(usize, usize, u64, GrantRequest),
    /// A health request arrives at an upstream.
    Probe(usize, usize, u64),
    /// A health request of a host that does not coordinate the upstream arrives at it.
    CheckReach(usize, usize, u64),
    /// A transaction arrives at the table.
    Apply(usize, u64, Txn, bool),
    /// A host sends a request whose lease it has checked.
    SendRequest(Request),
    StartRequest(usize, Request),
    FinishRequest(usize, Request),
    AbortRequest(Request),
    /// Hosts send a request for each slice.
    Load,
    Fault(Fault),
}

/// Result of a read of the table; without rows if the table was unreachable.
#[derive(Debug)]
pub struct PollResult {
    as_of: Timestamp,
    rows: Option<platform::table::Changes>,
}

pub struct Host {
    pub me: HostRef,
    pub domain: usize,
    pub machine: Option<OwnershipMachine>,
    pub incarnation: u64,
    pub paused_until: u64,
    pub clock: LocalClock,
    pub dispatcher: Dispatcher,
    pub leaving: bool,
    pub left: bool,
    /// Step before which the host will be paused, and the duration of the pause.
    pending_pause: Option<(Step, u64)>,
    /// Whether the host's address refuses connections while no process runs.
    refuses_connections: bool,
    cursor: Revision,
    failed_polls: u32,
}

impl Host {
    pub fn now(&self, t: u64) -> Timestamp {
        Timestamp::from_micros(self.clock.reading(t))
    }
}

pub struct Simulation {
    /// Simulated time.
    pub t: u64,
    pub rng: StdRng,
    pub setup: Setup,
    pub hosts: Vec<Host>,
    pub upstreams: Vec<Upstream>,
    pub table: MemoryTable,
    pub catalogue: Arc<Catalogue>,
    pub table_down: bool,
    pub extra_table_delay_us: u64,
    /// Domains that are cut off from all others.
    pub cut_domains: BTreeSet<usize>,
    /// Domains that are cut off from the platform.
    pub cut_from_platform: BTreeSet<usize>,
    /// Time until which two hosts are cut off from each other.
    cut_hosts: BTreeMap<(usize, usize), u64>,
    /// Time until which a host and an upstream are cut off from each other.
    cut_upstreams: BTreeMap<(usize, usize), u64>,
    /// Violated invariants, and the times at which they were found.
    pub violations: Vec<(u64, Violation)>,
    /// Failures that a snapshot does not show, and the times at which they were found.
    pub failures: Vec<(u64, String)>,
    pub requests: dispatch::Requests,
    pub random_faults_disabled: bool,
    /// Number of transactions that changed the table.
    pub writes: u64,
    /// Whether to print the actions of all machines.
    pub trace: bool,
    /// Decoded rows of the table.
    pub rows: BTreeMap<ids::UpstreamId, own::OwnershipRow>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    seq: u64,
}

fn domain_id(n: usize) -> DomainId {
    DomainId::new(format!("d{n}")).unwrap()
}

pub fn entry_id() -> EntryId {
    EntryId::new(ENTRY).unwrap()
}

/// Returns the slice of a hot key within `base`.
pub fn hot_slice_of(base: u64) -> ids::SliceNo {
    // The middle of the slice's range of hashes.
    let hash = u64::MAX / u64::from(SLICES) * base + u64::MAX / u64::from(SLICES) / 2;
    ids::KeyHash(hash).hot_slice()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn host_ref(index: usize, domain: usize, incarnation: u64) -> HostRef {
    let port = 1 + u16::try_from(index).unwrap();
    HostRef {
        host: HostId::new(format!("h{index}")).unwrap(),
        incarnation: Incarnation(incarnation),
        domain: domain_id(domain),
        control: address(port),
        dispatch: address(100 + port),
    }
}

fn build_catalogue(setup: &Setup, upstreams: &[Upstream]) -> Catalogue {
    let mut c = Catalogue::default();
    for n in 0..setup.hosts.len() {
        let domain = Domain {
            region: ids::RegionId::new("r").unwrap(),
            lost: false,
        };
        c.domains.insert(domain_id(n), domain);
    }
    let entry = Entry {
        owners: Vec::new(),
        path: ENTRY.into(),
        class: setup.class,
        sharding: Sharding::Key {
            key: KeyLocation::PathSegment(0),
            slices: SLICES,
        },
        deadline_ms: DEADLINE_MS as u32,
        limits: catalogue::Limits::default(),
        cut_off: setup.cut_off,
        objective: catalogue::Objective::default(),
        verify_echo: false,
    };
    c.entries.insert(entry_id(), entry);
    for u in upstreams {
        let decl = catalogue::Upstream {
            entry: entry_id(),
            address: address(999),
            domain: domain_id(u.domain),
            slots: 4,
            connections: 8,
            checks_grants: u.checks_grants,
            leaving: false,
        };
        c.upstreams.insert(u.name.clone(), decl);
    }
    c
}

/// Returns the kind of step that a host takes with an event.
fn step_of(event: &SimEvent) -> Option<Step> {
    let SimEvent::Perform(_, _, action) = event else {
        return matches!(event, SimEvent::SendRequest(_)).then_some(Step::Request);
    };
    match action {
        Action::Commit { .. } => Some(Step::Commit),
        Action::SendGrant { .. } => Some(Step::Grant),
        Action::SendPeer { .. } => Some(Step::Peer),
        Action::Lease(_) => Some(Step::Lease),
        _ => None,
    }
}

/// Renders an action for a trace.
fn describe(action: &Action) -> String {
    match action {
        Action::SendPeer { to, message } => format!("to {}: {:?}", to.host, message.body),
        Action::Commit { txn, body } => {
            let rows = body.writes.iter().map(|w| {
                let row = platform::Row {
                    key: w.key.clone(),
                    revision: Revision(0),
                    value: w.value.clone(),
                };
                format!("{:?}", own::OwnershipRowChange::parse(&row))
            });
            let checks = body
                .checks
                .iter()
                .map(|c| format!("{}@{:?}", c.key, c.revision));
            format!(
                "commit {txn} {:?} {:?}",
                checks.collect::<Vec<_>>(),
                rows.collect::<Vec<_>>()
            )
        }
        other => format!("{other:?}"),
    }
}

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let mut clock = || LocalClock {
            offset_us: rng.random_range(1..1_000_000_000),
            drift_ppm: rng.random_range(-setup.drift_ppm..=setup.drift_ppm),
        };
        let upstreams = setup.upstreams.iter().enumerate();
        let upstreams = upstreams
            .map(|(i, &(d, checks))| Upstream::new(&format!("u{i}"), d, checks, clock()))
            .collect::<Vec<_>>();
        let domains = setup.hosts.iter().enumerate();
        let domains = domains.flat_map(|(d, &n)| std::iter::repeat_n(d, n));
        let hosts = domains.enumerate().map(|(i, d)| Host {
            me: host_ref(i, d, 0),
            domain: d,
            machine: None,
            incarnation: 0,
            paused_until: 0,
            clock: clock(),
            dispatcher: Dispatcher::default(),
            leaving: false,
            left: false,
            pending_pause: None,
            refuses_connections: true,
            cursor: Revision(0),
            failed_polls: 0,
        });
        let hosts = hosts.collect::<Vec<_>>();
        let mut sim = Self {
            t: 0,
            catalogue: Arc::new(build_catalogue(&setup, &upstreams)),
            rng,
            setup,
            hosts,
            upstreams,
            table: MemoryTable::new(),
            table_down: false,
            extra_table_delay_us: 0,
            cut_domains: BTreeSet::new(),
            cut_from_platform: BTreeSet::new(),
            cut_hosts: BTreeMap::new(),
            cut_upstreams: BTreeMap::new(),
            violations: Vec::new(),
            failures: Vec::new(),
            requests: dispatch::Requests::default(),
            random_faults_disabled: false,
            writes: 0,
            trace: false,
            rows: BTreeMap::new(),
            queue: BTreeMap::new(),
            seq: 0,
        };
        for i in 0..sim.hosts.len() {
            sim.start_host(i);
        }
        sim.push(5 * MS, SimEvent::Load);
        sim
    }

    pub fn push(&mut self, after: u64, event: SimEvent) {
        self.seq += 1;
        self.queue.insert((self.t + after, self.seq), event);
    }

    pub fn schedule_fault(&mut self, t: u64, fault: Fault) {
        self.seq += 1;
        self.queue
            .insert((t.max(self.t), self.seq), SimEvent::Fault(fault));
    }

    /// Runs until `t`, or until a violation or a failure is found.
    pub fn run_until(&mut self, t: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > t || !self.violations.is_empty() || !self.failures.is_empty() {
                break;
            }
            let event = entry.remove();
            self.t = at;
            self.process(event);
        }
        self.t = self.t.max(t);
    }

    /// Returns whether a random fault with a probability of `percent` occurs.
    fn chance(&mut self, percent: u32) -> bool {
        !self.random_faults_disabled && self.rng.random_range(0..100) < percent
    }

    /// Returns the random delay of a message.
    pub fn delay(&mut self) -> u64 {
        let usual = self.rng.random_range(200..=self.setup.delay_us.max(201));
        // Occasionally a long delay lets many other messages overtake this one.
        if self.chance(1) && self.setup.loss_percent > 0 {
            return usual + self.rng.random_range(0..400 * MS);
        }
        usual
    }

    /// Returns whether two domains are cut off from each other.
    fn domains_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut_domains.contains(&a) || self.cut_domains.contains(&b))
    }

    /// Returns whether two hosts are cut off from each other.
    fn hosts_cut(&self, a: usize, b: usize) -> bool {
        let until = self.cut_hosts.get(&(a.min(b), a.max(b)));
        let cut = until.is_some_and(|u| *u > self.t);
        cut || self.domains_cut(self.hosts[a].domain, self.hosts[b].domain)
    }

    /// Returns whether a host and an upstream are cut off from each other.
    pub fn upstream_cut(&self, h: usize, u: usize) -> bool {
        let until = self.cut_upstreams.get(&(h, u));
        let cut = until.is_some_and(|u| *u > self.t);
        cut || self.domains_cut(self.hosts[h].domain, self.upstreams[u].domain)
    }

    fn reaches_table(&self, host: usize) -> bool {
        let d = self.hosts[host].domain;
        !self.table_down && !self.cut_from_platform.contains(&d)
    }

    /// Returns whether this incarnation of a host is the current one and its process runs.
    fn is_current(&self, host: usize, incarnation: u64) -> bool {
        let h = &self.hosts[host];
        h.incarnation == incarnation && h.machine.is_some()
    }

    /// Defers an event of a paused host until the host resumes; otherwise returns the event.
    fn defer_if_paused(&mut self, host: usize, event: SimEvent) -> Option<SimEvent> {
        let until = self.hosts[host].paused_until;
        if until <= self.t {
            return Some(event);
        }
        self.push(until - self.t, event);
        None
    }

    /// Pauses a host if a pause is pending before this kind of step.
    fn start_pending_pause(&mut self, host: usize, step: Step) {
        let t = self.t;
        let h = &mut self.hosts[host];
        if let Some((_, us)) = h.pending_pause.take_if(|(s, _)| *s == step) {
            h.paused_until = t + us;
        }
    }

    /// Processes an event, or defers it if its host is paused.
    fn process(&mut self, event: SimEvent) {
        let host = match &event {
            SimEvent::Tick(h, _)
            | SimEvent::Poll(h, _)
            | SimEvent::PollResult(h, ..)
            | SimEvent::SendHeartbeats(h, _)
            | SimEvent::Contact(h, ..)
            | SimEvent::Deliver(h, ..)
            | SimEvent::Perform(h, ..) => Some(*h),
            SimEvent::SendRequest(s) | SimEvent::AbortRequest(s) => Some(s.host),
            _ => None,
        };
        if let (Some(h), Some(step)) = (host, step_of(&event)) {
            self.start_pending_pause(h, step);
        }
        let event = match host {
            Some(h) => self.defer_if_paused(h, event),
            None => Some(event),
        };
        if let Some(event) = event {
            self.execute(event);
        }
    }

    fn execute(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(h, incarnation) => self.tick(h, incarnation),
            SimEvent::Poll(h, incarnation) => self.start_poll(h, incarnation),
            SimEvent::PollResult(h, incarnation, result) => self.end_poll(h, incarnation, result),
            SimEvent::SendHeartbeats(h, incarnation) => self.send_heartbeats(h, incarnation),
            SimEvent::Contact(h, from, peer, at, echo) => self.on_contact(h, from, peer, at, echo),
            SimEvent::Deliver(h, incarnation, event) => self.deliver(h, incarnation, event),
            SimEvent::Perform(h, incarnation, action) => self.perform(h, incarnation, action),
            SimEvent::Grant(h, u, attempt, req) => self.deliver_grant(h, u, attempt, &req),
            SimEvent::Probe(h, u, attempt) => self.deliver_probe(h, u, attempt),
            SimEvent::CheckReach(h, u, attempt) => self.deliver_reach_check(h, u, attempt),
            SimEvent::Apply(h, n, txn, report_result) => self.apply(h, n, &txn, report_result),
            SimEvent::SendRequest(s) => self.send_request(s),
            SimEvent::StartRequest(u, s) => self.start_request(u, s),
            SimEvent::FinishRequest(u, s) => self.finish_request(u, &s),
            SimEvent::AbortRequest(s) => self.abort_request(&s),
            SimEvent::Load => self.generate_load(),
            SimEvent::Fault(f) => self.inject_fault(f),
        }
    }

    fn start_host(&mut self, i: usize) {
        let table_rows = self.peer_rows(i);
        let h = &mut self.hosts[i];
        h.incarnation += 1;
        h.me = host_ref(i, h.domain, h.incarnation);
        h.machine = Some(OwnershipMachine::new(self.setup.settings, h.me.clone()));
        h.dispatcher = Dispatcher::default();
        h.leaving = false;
        h.left = false;
        h.paused_until = 0;
        h.pending_pause = None;
        h.cursor = Revision(0);
        h.failed_polls = 0;
        let incarnation = h.incarnation;
        let catalogue = Arc::clone(&self.catalogue);
        self.deliver(i, incarnation, Event::Catalogue(catalogue));
        for row in table_rows {
            self.deliver(i, incarnation, Event::Row(row));
        }
        let stagger = self.rng.random_range(0..20 * MS);
        self.push(stagger, SimEvent::Tick(i, incarnation));
        self.push(stagger, SimEvent::SendHeartbeats(i, incarnation));
        self.push(stagger, SimEvent::Poll(i, incarnation));
    }

    /// Returns the rows that a starting host receives from another one.
    fn peer_rows(&self, i: usize) -> Vec<platform::Row> {
        let live =
            |h: &&Host| h.machine.is_some() && !self.domains_cut(h.domain, self.hosts[i].domain);
        let Some(peer) = self
            .hosts
            .iter()
            .find(live)
            .and_then(|h| h.machine.as_ref())
        else {
            return Vec::new();
        };
        let rows = self.upstreams.iter().filter_map(|u| {
            let (revision, row) = peer.row(&u.name)?;
            Some(platform::Row {
                key: own::OwnershipRow::key(&u.name),
                revision,
                value: Some(row.encode().into()),
            })
        });
        rows.collect()
    }

    fn tick(&mut self, h: usize, incarnation: u64) {
        if self.is_current(h, incarnation) {
            self.deliver(h, incarnation, Event::Tick);
            let every = self.setup.settings.tick.as_micros() as u64;
            self.push(every, SimEvent::Tick(h, incarnation));
        }
    }

    fn start_poll(&mut self, h: usize, incarnation: u64) {
        if !self.is_current(h, incarnation) {
            return;
        }
        self.push(60 * MS, SimEvent::Poll(h, incarnation));
        let as_of = self.hosts[h].now(self.t);
        let table_delay = self.extra_table_delay_us;
        let (request_delay, response_delay) = (self.delay() + table_delay, self.delay());
        let changes = self
            .reaches_table(h)
            .then(|| self.table.changes(own::row::PREFIX, self.hosts[h].cursor));
        let result = PollResult {
            as_of,
            rows: changes,
        };
        self.push(
            request_delay + response_delay,
            SimEvent::PollResult(h, incarnation, result),
        );
    }

    fn end_poll(&mut self, h: usize, incarnation: u64, result: PollResult) {
        if !self.is_current(h, incarnation) {
            return;
        }
        let Some(changes) = result.rows else {
            self.hosts[h].failed_polls += 1;
            if self.hosts[h].failed_polls == 2 {
                self.deliver(h, incarnation, Event::TableReachable(false));
            }
            return;
        };
        self.hosts[h].failed_polls = 0;
        self.hosts[h].cursor = self.hosts[h].cursor.max(changes.revision);
        for row in changes.rows {
            self.deliver(h, incarnation, Event::Row(row));
        }
        self.deliver(h, incarnation, Event::TableReachable(true));
        let as_of = result.as_of;
        self.deliver(h, incarnation, Event::TableRead { as_of });
    }

    fn send_heartbeats(&mut self, h: usize, incarnation: u64) {
        if !self.is_current(h, incarnation) {
            return;
        }
        self.push(100 * MS, SimEvent::SendHeartbeats(h, incarnation));
        let stamp = self.hosts[h].now(self.t).as_micros();
        for to in 0..self.hosts.len() {
            if to != h {
                self.send_heartbeat(h, to, stamp, false);
            }
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: usize, stamp: u64, echo: bool) {
        if self.hosts_cut(from, to) {
            return;
        }
        let loss = self.setup.loss_percent;
        if self.chance(loss) {
            return;
        }
        let peer = self.hosts[from].me.clone();
        let delay = self.delay();
        self.push(delay, SimEvent::Contact(to, from, peer, stamp, echo));
    }

    fn on_contact(&mut self, h: usize, from: usize, peer: HostRef, stamp: u64, echo: bool) {
        if self.hosts[h].machine.is_none() {
            return;
        }
        if !echo {
            self.send_heartbeat(h, from, stamp, true);
        }
        let leaving = self.hosts[from].me.is_same(&peer) && self.hosts[from].leaving;
        let now = self.hosts[h].now(self.t);
        // An echo addressed to an earlier incarnation of this host carries a reading of the same
        // clock.
        let echo_of = echo.then_some(Timestamp::from_micros(stamp).min(now));
        let event = Event::PeerContact {
            from: peer,
            echo_of,
            leaving,
        };
        self.deliver(h, self.hosts[h].incarnation, event);
    }

    /// Delivers an event to a host's machine and schedules the resulting actions.
    pub fn deliver(&mut self, h: usize, incarnation: u64, event: Event) {
        if !self.is_current(h, incarnation) {
            return;
        }
        let now = self.hosts[h].now(self.t);
        let mut actions = Vec::new();
        if let Some(m) = &mut self.hosts[h].machine {
            m.step(now, event, &mut actions);
        }
        for action in actions {
            if self.trace {
                eprintln!("{} h{h} {}", self.t / 1000, describe(&action));
            }
            // The delay is constant because leases must not overtake each other, and a hold must
            // not overtake a release.
            self.push(50, SimEvent::Perform(h, incarnation, action));
        }
    }

    fn perform(&mut self, h: usize, incarnation: u64, action: Action) {
        if !self.is_current(h, incarnation) {
            return;
        }
        match action {
            Action::Commit { txn, body } => self.submit(h, txn, body),
            Action::SendGrant {
                upstream,
                attempt,
                request,
            } => self.send_to_upstream(h, upstream.as_str(), |u| {
                SimEvent::Grant(h, u, attempt, request.clone())
            }),
            Action::Probe { upstream, attempt } => {
                self.send_to_upstream(h, upstream.as_str(), |u| SimEvent::Probe(h, u, attempt));
            }
            Action::CheckReach { upstream, attempt } => {
                let check = |u| SimEvent::CheckReach(h, u, attempt);
                self.send_to_upstream(h, upstream.as_str(), check);
            }
            Action::SendPeer { to, message } => self.send_to_host(h, &to, &message),
            Action::LeaveComplete => {
                self.hosts[h].left = true;
                self.hosts[h].refuses_connections = true;
                self.hosts[h].machine = None;
            }
            other => {
                self.apply_dispatch_action(h, other);
                self.verify_snapshot();
            }
        }
    }

    fn upstream_index(&self, name: &str) -> usize {
        let found = self.upstreams.iter().position(|u| u.name.as_str() == name);
        found.expect("the upstream is declared")
    }

    /// Sends a grant or a probe to an upstream.
    fn send_to_upstream(&mut self, h: usize, name: &str, make_event: impl Fn(usize) -> SimEvent) {
        let u = self.upstream_index(name);
        let cut = self.upstream_cut(h, u);
        let (loss, duplicates) = (self.setup.loss_percent, self.setup.duplicate_percent);
        if cut || self.chance(loss) {
            return;
        }
        let delay = self.delay();
        self.push(delay, make_event(u));
        if self.chance(duplicates) {
            let delay = self.delay();
            self.push(delay, make_event(u));
        }
    }

    fn deliver_grant(&mut self, h: usize, u: usize, attempt: u64, req: &GrantRequest) {
        let incarnation = self.hosts[h].incarnation;
        let upstream = self.upstreams[u].name.clone();
        if self.upstreams[u].stopped {
            self.refuse(h, incarnation, upstream, attempt);
            return;
        }
        if self.upstreams[u].paused_until > self.t {
            let after = self.upstreams[u].paused_until - self.t;
            self.push(after, SimEvent::Grant(h, u, attempt, req.clone()));
            return;
        }
        let now = self.upstreams[u].clock.reading(self.t);
        let any_epoch = self.setup.disabled_checks.grant_epoch;
        let reply = self.upstreams[u].apply(now, req, any_epoch);
        self.verify_snapshot();
        let event = Event::GrantReply {
            upstream,
            attempt,
            reply,
        };
        self.send_reply(h, incarnation, u, event);
    }

    fn deliver_probe(&mut self, h: usize, u: usize, attempt: u64) {
        let incarnation = self.hosts[h].incarnation;
        let upstream = self.upstreams[u].name.clone();
        if self.upstreams[u].stopped {
            self.refuse(h, incarnation, upstream, attempt);
            return;
        }
        if self.upstreams[u].paused_until > self.t {
            let after = self.upstreams[u].paused_until - self.t;
            self.push(after, SimEvent::Probe(h, u, attempt));
            return;
        }
        self.send_reply(h, incarnation, u, Event::Healthy { upstream, attempt });
    }

    fn deliver_reach_check(&mut self, h: usize, u: usize, attempt: u64) {
        let incarnation = self.hosts[h].incarnation;
        let is_reached = !self.upstreams[u].stopped;
        if is_reached && self.upstreams[u].paused_until > self.t {
            let after = self.upstreams[u].paused_until - self.t;
            self.push(after, SimEvent::CheckReach(h, u, attempt));
            return;
        }
        let event = Event::ReachChecked {
            attempt,
            is_reached,
        };
        self.send_reply(h, incarnation, u, event);
    }

    /// Refuses the connection of a host to an upstream whose process does not run.
    fn refuse(&mut self, h: usize, incarnation: u64, upstream: ids::UpstreamId, attempt: u64) {
        let event = Event::NoReply {
            upstream,
            attempt,
            refused: true,
        };
        self.push(500, SimEvent::Deliver(h, incarnation, event));
    }

    /// Sends an upstream's reply to a host.
    fn send_reply(&mut self, h: usize, incarnation: u64, u: usize, event: Event) {
        let loss = self.setup.loss_percent;
        let cut = self.upstream_cut(h, u);
        if !cut && !self.chance(loss) {
            let delay = self.delay();
            self.push(delay, SimEvent::Deliver(h, incarnation, event));
        }
    }

    fn send_to_host(&mut self, h: usize, to: &HostRef, message: &wire::own::PeerMessage) {
        let found = self.hosts.iter().position(|o| o.me.is_same(to));
        let Some(to) = found else {
            return;
        };
        if self.hosts[to].machine.is_none()
            && self.hosts[to].refuses_connections
            && !self.hosts_cut(h, to)
        {
            let ended = Event::PeerEnded(self.hosts[to].me.clone());
            let incarnation = self.hosts[h].incarnation;
            self.push(MS, SimEvent::Deliver(h, incarnation, ended));
            return;
        }
        let (loss, duplicates) = (self.setup.loss_percent, self.setup.duplicate_percent);
        if self.hosts_cut(h, to) || self.chance(loss) {
            return;
        }
        let incarnation = self.hosts[to].incarnation;
        let event = Event::PeerMessage(Box::new(message.clone()));
        if self.chance(duplicates) {
            let delay = self.delay();
            self.push(delay, SimEvent::Deliver(to, incarnation, event.clone()));
        }
        let delay = self.delay();
        self.push(delay, SimEvent::Deliver(to, incarnation, event));
    }

    fn submit(&mut self, h: usize, txn: u64, body: Txn) {
        let incarnation = self.hosts[h].incarnation;
        if !self.reaches_table(h) {
            // The transaction is either lost or delayed. Only a delayed one may take effect.
            let delayed = self.chance(30);
            let outcome = if delayed {
                CommitOutcome::Unconfirmed
            } else {
                CommitOutcome::Unreachable
            };
            if delayed {
                let transit_time = self.rng.random_range(0..2_000 * MS);
                self.push(transit_time, SimEvent::Apply(h, 0, body, false));
            }
            let event = Event::CommitEnded { txn, outcome };
            self.push(100 * MS, SimEvent::Deliver(h, incarnation, event));
            return;
        }
        let delay = self.delay() + self.extra_table_delay_us;
        self.push(delay, SimEvent::Apply(h, txn, body, true));
    }

    /// Applies a transaction, and reports its result to the host if `report_result` is set.
    fn apply(&mut self, h: usize, txn: u64, body: &Txn, report_result: bool) {
        let incarnation = self.hosts[h].incarnation;
        if self.table_down {
            // The table went down while the transaction was in transit, so the host gets no answer.
            return;
        }
        let before = self.table.revision();
        let commit = self.table.commit(body);
        if self.table.revision() > before {
            self.writes += 1;
            self.decode_rows();
            self.verify_snapshot();
        }
        if !report_result {
            return;
        }
        let loss = self.setup.lost_confirmation_percent;
        let confirmation_lost = self.chance(loss);
        let outcome = match commit {
            _ if confirmation_lost => CommitOutcome::Unconfirmed,
            Commit::Done(r) => CommitOutcome::Done(r),
            Commit::Conflict(rows) => CommitOutcome::Conflict(rows),
        };
        let delay = if confirmation_lost {
            200 * MS
        } else {
            self.delay()
        };
        self.push(
            delay,
            SimEvent::Deliver(h, incarnation, Event::CommitEnded { txn, outcome }),
        );
    }

    /// Puts a changed catalogue in force.
    fn change_catalogue(&mut self, change: impl FnOnce(&mut Catalogue)) {
        let mut c = Catalogue::clone(&self.catalogue);
        change(&mut c);
        self.catalogue = Arc::new(c);
        for h in 0..self.hosts.len() {
            let (incarnation, c) = (self.hosts[h].incarnation, Arc::clone(&self.catalogue));
            self.push(
                10 * MS,
                SimEvent::Deliver(h, incarnation, Event::Catalogue(c)),
            );
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillHost(h) => self.kill_host(h),
            Fault::StartHost(h) if self.hosts[h].machine.is_none() => self.start_host(h),
            Fault::PauseBefore(h, step, us) => self.hosts[h].pending_pause = Some((step, us)),
            Fault::PauseHost(h, us) => {
                let until = self.hosts[h].paused_until.max(self.t + us);
                self.hosts[h].paused_until = until;
            }
            Fault::LeaveHost(h) => {
                self.hosts[h].leaving = true;
                self.deliver(h, self.hosts[h].incarnation, Event::Leave);
            }
            Fault::KillUpstream(u) => {
                self.upstreams[u].stopped = true;
                self.upstreams[u].running.clear();
            }
            Fault::StartUpstream(u) if self.upstreams[u].stopped => self.upstreams[u].restart(),
            Fault::StartHost(_) | Fault::StartUpstream(_) => {}
            Fault::PauseUpstream(u, us) => {
                let until = self.upstreams[u].paused_until.max(self.t + us);
                self.upstreams[u].paused_until = until;
            }
            Fault::DrainUpstream(u) => {
                let name = self.upstreams[u].name.clone();
                self.change_catalogue(|c| c.upstreams[&name].leaving = true);
            }
            Fault::RemoveUpstream(u) => {
                let name = self.upstreams[u].name.clone();
                self.change_catalogue(|c| {
                    c.upstreams.shift_remove(&name);
                });
            }
            Fault::Carve(slice) => self.propose(|_| Event::CarveWish {
                entry: entry_id(),
                base: ids::SliceNo(slice),
                hot: hot_slice_of(slice),
            }),
            Fault::Fold(slice) => self.propose(|_| Event::FoldWish {
                entry: entry_id(),
                hot: hot_slice_of(slice),
            }),
            Fault::MoveHot(slice, u) => self.propose(|sim| Event::MoveWish {
                entry: entry_id(),
                slice: hot_slice_of(slice),
                to: sim.upstreams[u].name.clone(),
            }),
            Fault::TableDown => self.table_down = true,
            Fault::TableUp => {
                self.table_down = false;
                self.extra_table_delay_us = 0;
            }
            Fault::TableSlow(us) => self.extra_table_delay_us = us,
            Fault::CutDomain(d) => {
                self.cut_domains.insert(d);
            }
            Fault::HealDomain(d) => {
                self.cut_domains.remove(&d);
                self.cut_from_platform.remove(&d);
            }
            Fault::CutPlatform(d) => {
                self.cut_from_platform.insert(d);
            }
            Fault::Isolate(d) => {
                self.cut_domains.insert(d);
                self.cut_from_platform.insert(d);
            }
            Fault::CutHosts(a, b, us) => {
                self.cut_hosts.insert((a.min(b), a.max(b)), self.t + us);
            }
            Fault::CutUpstream(h, u, us) => {
                self.cut_upstreams.insert((h, u), self.t + us);
            }
            Fault::CutLinks(h, us) => {
                for u in 0..self.upstreams.len() {
                    self.cut_upstreams.insert((h, u), self.t + us);
                }
            }
            Fault::CutHost(h, us) => {
                for o in 0..self.hosts.len() {
                    self.cut_hosts.insert((h.min(o), h.max(o)), self.t + us);
                }
                for u in 0..self.upstreams.len() {
                    self.cut_upstreams.insert((h, u), self.t + us);
                }
            }
            Fault::LoseDomain(d) => self.lose_domain(d),
            Fault::MoveSlice(slice, u) => self.propose(|sim| Event::MoveWish {
                entry: entry_id(),
                slice: ids::SliceNo(slice),
                to: sim.upstreams[u].name.clone(),
            }),
        }
    }

    fn kill_host(&mut self, h: usize) {
        if self.hosts[h].machine.take().is_none() {
            return;
        }
        self.hosts[h].dispatcher = Dispatcher::default();
        // Either the host's address refuses connections, so that other hosts detect the end at
        // once, or the whole host is down and its address does not answer.
        self.hosts[h].refuses_connections = self.chance(50);
        if !self.hosts[h].refuses_connections {
            return;
        }
        let ended = self.hosts[h].me.clone();
        for to in 0..self.hosts.len() {
            if !self.hosts_cut(h, to) {
                let incarnation = self.hosts[to].incarnation;
                let delay = self.delay();
                let event = Event::PeerEnded(ended.clone());
                self.push(delay + 50 * MS, SimEvent::Deliver(to, incarnation, event));
            }
        }
    }

    fn lose_domain(&mut self, d: usize) {
        for h in 0..self.hosts.len() {
            if self.hosts[h].domain == d {
                self.kill_host(h);
            }
        }
        for u in self.upstreams.iter_mut().filter(|u| u.domain == d) {
            u.stopped = true;
            u.running.clear();
        }
        self.change_catalogue(|c| c.domains[&domain_id(d)].lost = true);
    }

    /// Delivers a proposal to all hosts.
    fn propose(&mut self, event: impl Fn(&Self) -> Event) {
        for h in 0..self.hosts.len() {
            let event = event(self);
            self.deliver(h, self.hosts[h].incarnation, event);
        }
    }

    /// Runs until no process is paused, repairs everything that can be repaired, and disables
    /// further random faults.
    pub fn repair_all(&mut self) {
        let hosts = self.hosts.iter().map(|h| h.paused_until);
        let upstreams = self.upstreams.iter().map(|u| u.paused_until);
        let pauses_end = hosts.chain(upstreams).max().unwrap_or(0);
        self.run_until(pauses_end.max(self.t));
        self.random_faults_disabled = true;
        self.inject_fault(Fault::TableUp);
        self.cut_domains.clear();
        self.cut_from_platform.clear();
        self.cut_hosts.clear();
        self.cut_upstreams.clear();
        for h in 0..self.hosts.len() {
            self.hosts[h].pending_pause = None;
            self.inject_fault(Fault::StartHost(h));
        }
        for u in 0..self.upstreams.len() {
            self.inject_fault(Fault::StartUpstream(u));
        }
    }
}
