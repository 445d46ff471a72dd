//! Hosts, upstreams, a table and a network in one deterministic event queue.
//!
//! Only what ownership needs is there: messages with delay, loss and repetition, pauses that may
//! fall between a decision and its effect, clocks that run at their own rates, and a table that is
//! down, slow, or loses its confirmations. After each change the whole is verified.

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

use self::dispatch::{Dispatcher, Sent};
use self::upstream::Upstream;

pub const MS: u64 = 1_000;
pub const ENTRY: &str = "booking";
pub const SLICES: u32 = 8;
pub const DEADLINE_MS: u64 = 300;
/// No message takes longer.
pub const LONGEST_DELAY: u64 = 450 * MS;

/// A clock with an offset and a rate of its own.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    pub offset_us: u64,
    pub ppm: i64,
}

impl NodeClock {
    pub fn at(self, t: u64) -> u64 {
        let t = i128::from(t);
        let skew = t * i128::from(self.ppm) / 1_000_000;
        self.offset_us + u64::try_from(t + skew).unwrap()
    }
}

/// A rule that a trial breaks on purpose, outside the machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Weak {
    /// Upstreams don't look at the epoch of grants.
    pub epoch: bool,
}

/// How many of what, and how faulty.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    /// Hosts of each domain.
    pub hosts: Vec<usize>,
    /// Upstreams: domain, and whether they check grants.
    pub upstreams: Vec<(usize, bool)>,
    pub cut_off: CutOff,
    pub class: Class,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Messages sent twice, in percent.
    pub twice: u32,
    /// Largest usual delay.
    pub delay_us: u64,
    /// Bound on clock rates, in millionths.
    pub ppm: i64,
    /// Requests that run for up to their deadline, in percent.
    pub long: u32,
    /// Confirmations of the table that are lost, in percent.
    pub unconfirmed: u32,
    pub settings: OwnershipSettings,
    pub weak: Weak,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: vec![2, 2],
            upstreams: vec![(0, true), (0, true), (1, true)],
            cut_off: CutOff::Serve,
            class: Class::NonIdempotent,
            loss: 0,
            twice: 0,
            delay_us: 2 * MS,
            ppm: 0,
            long: 0,
            unconfirmed: 0,
            settings: OwnershipSettings::default(),
            weak: Weak::default(),
        }
    }
}

/// What a host is about to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Commit,
    Grant,
    Peer,
    Lease,
    Request,
}

/// Something that breaks, or is mended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillHost(usize),
    StartHost(usize),
    PauseHost(usize, u64),
    /// Pauses a host just before its next step of this kind.
    PauseBefore(usize, Step, u64),
    LeaveHost(usize),
    KillUpstream(usize),
    StartUpstream(usize),
    PauseUpstream(usize, u64),
    EmptyUpstream(usize),
    RemoveUpstream(usize),
    Carve(u64),
    Fold(u64),
    MoveHot(u64, usize),
    TableDown,
    TableUp,
    TableSlow(u64),
    CutDomain(usize),
    HealDomain(usize),
    CutPlatform(usize),
    /// Cuts a domain off from all others and from the platform.
    Isolate(usize),
    /// Cuts two hosts off from each other for some time, whichever domain they are in.
    CutHosts(usize, usize, u64),
    /// Cuts a host and an upstream off from each other for some time.
    CutUpstream(usize, usize, u64),
    /// Cuts a host off from all hosts and upstreams for some time, but not from the table.
    CutAlone(usize, u64),
    LoseDomain(usize),
    Wish(u64, usize),
}

#[derive(Debug)]
pub enum Happening {
    Tick(usize, u64),
    Poll(usize, u64),
    Polled(usize, u64, Polled),
    Beat(usize, u64),
    Beaten(usize, usize, HostRef, u64, bool),
    Tell(usize, u64, Event),
    Act(usize, u64, Action),
    Grant(usize, usize, u64, GrantRequest),
    Probe(usize, usize, u64),
    Apply(usize, u64, Txn, bool),
    Sent(Sent),
    Start(usize, Sent),
    Finish(usize, Sent),
    GiveUp(Sent),
    Load,
    Fault(Fault),
}

#[derive(Debug)]
pub struct Polled {
    as_of: Timestamp,
    rows: Option<platform::table::Changes>,
}

pub struct Host {
    pub me: HostRef,
    pub domain: usize,
    pub machine: Option<OwnershipMachine>,
    pub run: u64,
    pub paused_until: u64,
    pub clock: NodeClock,
    pub dispatch: Dispatcher,
    pub leaving: bool,
    pub left: bool,
    /// The step before which to pause, and for how long.
    armed: Option<(Step, u64)>,
    /// Whether its address refuses connections when no process runs.
    refuses: bool,
    cursor: Revision,
    failed_polls: u32,
}

impl Host {
    pub fn now(&self, t: u64) -> Timestamp {
        Timestamp::from_micros(self.clock.at(t))
    }
}

pub struct World {
    pub t: u64,
    pub rng: StdRng,
    pub setup: Setup,
    pub hosts: Vec<Host>,
    pub upstreams: Vec<Upstream>,
    pub table: MemoryTable,
    pub catalogue: Arc<Catalogue>,
    pub table_down: bool,
    pub table_slow_us: u64,
    pub cut: BTreeSet<usize>,
    pub cut_platform: BTreeSet<usize>,
    /// Until when two hosts are cut off from each other.
    cut_hosts: BTreeMap<(usize, usize), u64>,
    /// Until when a host and an upstream are.
    cut_upstreams: BTreeMap<(usize, usize), u64>,
    pub violations: Vec<(u64, Violation)>,
    pub broken: Vec<(u64, String)>,
    pub requests: dispatch::Requests,
    pub quiet: bool,
    pub writes: u64,
    pub trace: bool,
    pub rows: BTreeMap<ids::UpstreamId, own::OwnershipRow>,
    queue: BTreeMap<(u64, u64), Happening>,
    seq: u64,
}

fn domain_id(n: usize) -> DomainId {
    DomainId::new(format!("d{n}")).unwrap()
}

pub fn entry_id() -> EntryId {
    EntryId::new(ENTRY).unwrap()
}

/// Returns the slice of a hot key within `base`.
pub fn hot(base: u64) -> ids::SliceNo {
    // The middle of the slice's range of hashes.
    let hash = u64::MAX / u64::from(SLICES) * base + u64::MAX / u64::from(SLICES) / 2;
    ids::KeyHash(hash).hot_slice()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn host_ref(index: usize, domain: usize, run: u64) -> HostRef {
    let port = 1 + u16::try_from(index).unwrap();
    HostRef {
        host: HostId::new(format!("h{index}")).unwrap(),
        incarnation: Incarnation(run),
        domain: domain_id(domain),
        control: address(port),
        dispatch: address(100 + port),
    }
}

fn declare(setup: &Setup, upstreams: &[Upstream]) -> Catalogue {
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
            checks_grants: u.checks,
            leaving: false,
        };
        c.upstreams.insert(u.name.clone(), decl);
    }
    c
}

/// Returns which kind of step a host is about to take.
fn step(what: &Happening) -> Option<Step> {
    let Happening::Act(_, _, action) = what else {
        return matches!(what, Happening::Sent(_)).then_some(Step::Request);
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
fn brief(action: &Action) -> String {
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

impl World {
    pub fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let mut clock = || NodeClock {
            offset_us: rng.random_range(1..1_000_000_000),
            ppm: rng.random_range(-setup.ppm..=setup.ppm),
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
            run: 0,
            paused_until: 0,
            clock: clock(),
            dispatch: Dispatcher::default(),
            leaving: false,
            left: false,
            armed: None,
            refuses: true,
            cursor: Revision(0),
            failed_polls: 0,
        });
        let hosts = hosts.collect::<Vec<_>>();
        let mut world = Self {
            t: 0,
            catalogue: Arc::new(declare(&setup, &upstreams)),
            rng,
            setup,
            hosts,
            upstreams,
            table: MemoryTable::new(),
            table_down: false,
            table_slow_us: 0,
            cut: BTreeSet::new(),
            cut_platform: BTreeSet::new(),
            cut_hosts: BTreeMap::new(),
            cut_upstreams: BTreeMap::new(),
            violations: Vec::new(),
            broken: Vec::new(),
            requests: dispatch::Requests::default(),
            quiet: false,
            writes: 0,
            trace: false,
            rows: BTreeMap::new(),
            queue: BTreeMap::new(),
            seq: 0,
        };
        for i in 0..world.hosts.len() {
            world.start_host(i);
        }
        world.push(5 * MS, Happening::Load);
        world
    }

    pub fn push(&mut self, after: u64, what: Happening) {
        self.seq += 1;
        self.queue.insert((self.t + after, self.seq), what);
    }

    pub fn fault_at(&mut self, t: u64, fault: Fault) {
        self.seq += 1;
        self.queue
            .insert((t.max(self.t), self.seq), Happening::Fault(fault));
    }

    /// Runs until `t`, or until something is broken.
    pub fn run_until(&mut self, t: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > t || !self.violations.is_empty() || !self.broken.is_empty() {
                break;
            }
            let what = entry.remove();
            self.t = at;
            self.happen(what);
        }
        self.t = self.t.max(t);
    }

    fn percent(&mut self, percent: u32) -> bool {
        !self.quiet && self.rng.random_range(0..100) < percent
    }

    pub fn delay(&mut self) -> u64 {
        let usual = self.rng.random_range(200..=self.setup.delay_us.max(201));
        // Now and then one message is overtaken by many.
        if self.percent(1) && self.setup.loss > 0 {
            return usual + self.rng.random_range(0..400 * MS);
        }
        usual
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut.contains(&a) || self.cut.contains(&b))
    }

    /// Tells whether two hosts are cut off from each other.
    fn hosts_cut(&self, a: usize, b: usize) -> bool {
        let until = self.cut_hosts.get(&(a.min(b), a.max(b)));
        let cut = until.is_some_and(|u| *u > self.t);
        cut || self.is_cut(self.hosts[a].domain, self.hosts[b].domain)
    }

    /// Tells whether a host and an upstream are cut off from each other.
    pub fn upstream_cut(&self, h: usize, u: usize) -> bool {
        let until = self.cut_upstreams.get(&(h, u));
        let cut = until.is_some_and(|u| *u > self.t);
        cut || self.is_cut(self.hosts[h].domain, self.upstreams[u].domain)
    }

    fn sees_table(&self, host: usize) -> bool {
        let d = self.hosts[host].domain;
        !self.table_down && !self.cut_platform.contains(&d)
    }

    fn is_run(&self, host: usize, run: u64) -> bool {
        let h = &self.hosts[host];
        h.run == run && h.machine.is_some()
    }

    /// Puts what a paused host should do off until it goes on.
    fn put_off(&mut self, host: usize, what: Happening) -> Option<Happening> {
        let until = self.hosts[host].paused_until;
        if until <= self.t {
            return Some(what);
        }
        self.push(until - self.t, what);
        None
    }

    fn pause_before(&mut self, host: usize, step: Step) {
        let t = self.t;
        let h = &mut self.hosts[host];
        if let Some((_, us)) = h.armed.take_if(|(s, _)| *s == step) {
            h.paused_until = t + us;
        }
    }

    fn happen(&mut self, what: Happening) {
        let host = match &what {
            Happening::Tick(h, _)
            | Happening::Poll(h, _)
            | Happening::Polled(h, ..)
            | Happening::Beat(h, _)
            | Happening::Beaten(h, ..)
            | Happening::Tell(h, ..)
            | Happening::Act(h, ..) => Some(*h),
            Happening::Sent(s) | Happening::GiveUp(s) => Some(s.host),
            _ => None,
        };
        if let (Some(h), Some(step)) = (host, step(&what)) {
            self.pause_before(h, step);
        }
        let what = match host {
            Some(h) => self.put_off(h, what),
            None => Some(what),
        };
        if let Some(what) = what {
            self.execute(what);
        }
    }

    fn execute(&mut self, what: Happening) {
        match what {
            Happening::Tick(h, run) => self.tick(h, run),
            Happening::Poll(h, run) => self.poll(h, run),
            Happening::Polled(h, run, polled) => self.polled(h, run, polled),
            Happening::Beat(h, run) => self.beat(h, run),
            Happening::Beaten(h, from, who, stamp, echo) => self.beaten(h, from, who, stamp, echo),
            Happening::Tell(h, run, event) => self.tell(h, run, event),
            Happening::Act(h, run, action) => self.act(h, run, action),
            Happening::Grant(h, u, attempt, req) => self.grant(h, u, attempt, &req),
            Happening::Probe(h, u, attempt) => self.probe(h, u, attempt),
            Happening::Apply(h, n, txn, last) => self.apply(h, n, &txn, last),
            Happening::Sent(s) => self.send_request(s),
            Happening::Start(u, s) => self.start_request(u, s),
            Happening::Finish(u, s) => self.finish_request(u, &s),
            Happening::GiveUp(s) => self.give_up(&s),
            Happening::Load => self.load(),
            Happening::Fault(f) => self.fault(f),
        }
    }

    fn start_host(&mut self, i: usize) {
        let table_rows = self.mate_rows(i);
        let h = &mut self.hosts[i];
        h.run += 1;
        h.me = host_ref(i, h.domain, h.run);
        h.machine = Some(OwnershipMachine::new(self.setup.settings, h.me.clone()));
        h.dispatch = Dispatcher::default();
        h.leaving = false;
        h.left = false;
        h.paused_until = 0;
        h.armed = None;
        h.cursor = Revision(0);
        h.failed_polls = 0;
        let run = h.run;
        let catalogue = Arc::clone(&self.catalogue);
        self.tell(i, run, Event::Catalogue(catalogue));
        for row in table_rows {
            self.tell(i, run, Event::Row(row));
        }
        let stagger = self.rng.random_range(0..20 * MS);
        self.push(stagger, Happening::Tick(i, run));
        self.push(stagger, Happening::Beat(i, run));
        self.push(stagger, Happening::Poll(i, run));
    }

    /// Returns the rows that a starting host learns from another one.
    fn mate_rows(&self, i: usize) -> Vec<platform::Row> {
        let alive = |h: &&Host| h.machine.is_some() && !self.is_cut(h.domain, self.hosts[i].domain);
        let Some(mate) = self
            .hosts
            .iter()
            .find(alive)
            .and_then(|h| h.machine.as_ref())
        else {
            return Vec::new();
        };
        let rows = self.upstreams.iter().filter_map(|u| {
            let (revision, row) = mate.row(&u.name)?;
            Some(platform::Row {
                key: own::OwnershipRow::key(&u.name),
                revision,
                value: Some(row.encode().into()),
            })
        });
        rows.collect()
    }

    fn tick(&mut self, h: usize, run: u64) {
        if self.is_run(h, run) {
            self.tell(h, run, Event::Tick);
            let every = self.setup.settings.tick.as_micros() as u64;
            self.push(every, Happening::Tick(h, run));
        }
    }

    fn poll(&mut self, h: usize, run: u64) {
        if !self.is_run(h, run) {
            return;
        }
        self.push(60 * MS, Happening::Poll(h, run));
        let as_of = self.hosts[h].now(self.t);
        let slow = self.table_slow_us;
        let (there, back) = (self.delay() + slow, self.delay());
        let changes = self
            .sees_table(h)
            .then(|| self.table.changes(own::row::PREFIX, self.hosts[h].cursor));
        let polled = Polled {
            as_of,
            rows: changes,
        };
        self.push(there + back, Happening::Polled(h, run, polled));
    }

    fn polled(&mut self, h: usize, run: u64, polled: Polled) {
        if !self.is_run(h, run) {
            return;
        }
        let Some(changes) = polled.rows else {
            self.hosts[h].failed_polls += 1;
            if self.hosts[h].failed_polls == 2 {
                self.tell(h, run, Event::TableReachable(false));
            }
            return;
        };
        self.hosts[h].failed_polls = 0;
        self.hosts[h].cursor = self.hosts[h].cursor.max(changes.revision);
        for row in changes.rows {
            self.tell(h, run, Event::Row(row));
        }
        self.tell(h, run, Event::TableReachable(true));
        let as_of = polled.as_of;
        self.tell(h, run, Event::TableRead { as_of });
    }

    fn beat(&mut self, h: usize, run: u64) {
        if !self.is_run(h, run) {
            return;
        }
        self.push(100 * MS, Happening::Beat(h, run));
        let stamp = self.hosts[h].now(self.t).as_micros();
        for to in 0..self.hosts.len() {
            if to != h {
                self.beat_to(h, to, stamp, false);
            }
        }
    }

    fn beat_to(&mut self, from: usize, to: usize, stamp: u64, echo: bool) {
        if self.hosts_cut(from, to) {
            return;
        }
        let lost = self.setup.loss;
        if self.percent(lost) {
            return;
        }
        let who = self.hosts[from].me.clone();
        let delay = self.delay();
        self.push(delay, Happening::Beaten(to, from, who, stamp, echo));
    }

    fn beaten(&mut self, h: usize, from: usize, who: HostRef, stamp: u64, echo: bool) {
        if self.hosts[h].machine.is_none() {
            return;
        }
        if !echo {
            self.beat_to(h, from, stamp, true);
        }
        let leaving = self.hosts[from].me.is_same(&who) && self.hosts[from].leaving;
        let now = self.hosts[h].now(self.t);
        // An echo meant for an earlier run of this host carries a reading of the same clock.
        let echo_of = echo.then_some(Timestamp::from_micros(stamp).min(now));
        let event = Event::PeerContact {
            from: who,
            echo_of,
            leaving,
        };
        self.tell(h, self.hosts[h].run, event);
    }

    pub fn tell(&mut self, h: usize, run: u64, event: Event) {
        if !self.is_run(h, run) {
            return;
        }
        let now = self.hosts[h].now(self.t);
        let mut actions = Vec::new();
        if let Some(m) = &mut self.hosts[h].machine {
            m.step(now, event, &mut actions);
        }
        for action in actions {
            if self.trace {
                eprintln!("{} h{h} {}", self.t / 1000, brief(&action));
            }
            // Leases must not overtake each other, and neither must a hold overtake a release.
            self.push(50, Happening::Act(h, run, action));
        }
    }

    fn act(&mut self, h: usize, run: u64, action: Action) {
        if !self.is_run(h, run) {
            return;
        }
        match action {
            Action::Commit { txn, body } => self.submit(h, txn, body),
            Action::SendGrant {
                upstream,
                attempt,
                request,
            } => self.carry(h, upstream.as_str(), |u| {
                Happening::Grant(h, u, attempt, request.clone())
            }),
            Action::Probe { upstream, attempt } => {
                self.carry(h, upstream.as_str(), |u| Happening::Probe(h, u, attempt));
            }
            Action::SendPeer { to, message } => self.send_peer(h, &to, &message),
            Action::LeaveComplete => {
                self.hosts[h].left = true;
                self.hosts[h].refuses = true;
                self.hosts[h].machine = None;
            }
            other => {
                self.dispatch(h, other);
                self.audit();
            }
        }
    }

    fn upstream_index(&self, name: &str) -> usize {
        let found = self.upstreams.iter().position(|u| u.name.as_str() == name);
        found.expect("the upstream is declared")
    }

    /// Carries a grant or probe to an upstream.
    fn carry(&mut self, h: usize, name: &str, what: impl Fn(usize) -> Happening) {
        let u = self.upstream_index(name);
        let cut = self.upstream_cut(h, u);
        let (loss, twice) = (self.setup.loss, self.setup.twice);
        if cut || self.percent(loss) {
            return;
        }
        let delay = self.delay();
        self.push(delay, what(u));
        if self.percent(twice) {
            let delay = self.delay();
            self.push(delay, what(u));
        }
    }

    fn grant(&mut self, h: usize, u: usize, attempt: u64, req: &GrantRequest) {
        let run = self.hosts[h].run;
        let upstream = self.upstreams[u].name.clone();
        if self.upstreams[u].gone {
            self.refuse(h, run, upstream, attempt);
            return;
        }
        if self.upstreams[u].paused_until > self.t {
            let after = self.upstreams[u].paused_until - self.t;
            self.push(after, Happening::Grant(h, u, attempt, req.clone()));
            return;
        }
        let now = self.upstreams[u].clock.at(self.t);
        let weak = self.setup.weak.epoch;
        let reply = self.upstreams[u].apply(now, req, weak);
        self.audit();
        let event = Event::GrantReply {
            upstream,
            attempt,
            reply,
        };
        self.reply(h, run, u, event);
    }

    fn probe(&mut self, h: usize, u: usize, attempt: u64) {
        let run = self.hosts[h].run;
        let upstream = self.upstreams[u].name.clone();
        if self.upstreams[u].gone {
            self.refuse(h, run, upstream, attempt);
            return;
        }
        if self.upstreams[u].paused_until > self.t {
            let after = self.upstreams[u].paused_until - self.t;
            self.push(after, Happening::Probe(h, u, attempt));
            return;
        }
        self.reply(h, run, u, Event::Healthy { upstream, attempt });
    }

    fn refuse(&mut self, h: usize, run: u64, upstream: ids::UpstreamId, attempt: u64) {
        let event = Event::NoReply {
            upstream,
            attempt,
            refused: true,
        };
        self.push(500, Happening::Tell(h, run, event));
    }

    fn reply(&mut self, h: usize, run: u64, u: usize, event: Event) {
        let loss = self.setup.loss;
        let cut = self.upstream_cut(h, u);
        if !cut && !self.percent(loss) {
            let delay = self.delay();
            self.push(delay, Happening::Tell(h, run, event));
        }
    }

    fn send_peer(&mut self, h: usize, to: &HostRef, message: &wire::own::PeerMessage) {
        let found = self.hosts.iter().position(|o| o.me.is_same(to));
        let Some(to) = found else {
            return;
        };
        if self.hosts[to].machine.is_none() && self.hosts[to].refuses && !self.hosts_cut(h, to) {
            let gone = Event::PeerEnded(self.hosts[to].me.clone());
            let run = self.hosts[h].run;
            self.push(MS, Happening::Tell(h, run, gone));
            return;
        }
        let (loss, twice) = (self.setup.loss, self.setup.twice);
        if self.hosts_cut(h, to) || self.percent(loss) {
            return;
        }
        let run = self.hosts[to].run;
        let event = Event::PeerMessage(Box::new(message.clone()));
        if self.percent(twice) {
            let delay = self.delay();
            self.push(delay, Happening::Tell(to, run, event.clone()));
        }
        let delay = self.delay();
        self.push(delay, Happening::Tell(to, run, event));
    }

    fn submit(&mut self, h: usize, txn: u64, body: Txn) {
        let run = self.hosts[h].run;
        if !self.sees_table(h) {
            // Lost on the way, or on the way for long: only the second may take effect.
            let unsure = self.percent(30);
            let outcome = if unsure {
                CommitOutcome::Unconfirmed
            } else {
                CommitOutcome::Unreachable
            };
            if unsure {
                let late = self.rng.random_range(0..2_000 * MS);
                self.push(late, Happening::Apply(h, 0, body, false));
            }
            let event = Event::CommitEnded { txn, outcome };
            self.push(100 * MS, Happening::Tell(h, run, event));
            return;
        }
        let delay = self.delay() + self.table_slow_us;
        self.push(delay, Happening::Apply(h, txn, body, true));
    }

    /// Applies a transaction; `last` if its result goes back to the host.
    fn apply(&mut self, h: usize, txn: u64, body: &Txn, last: bool) {
        let run = self.hosts[h].run;
        if self.table_down {
            // It went down with the transaction on its way; nobody answers any more.
            return;
        }
        let before = self.table.revision();
        let commit = self.table.commit(body);
        if self.table.revision() > before {
            self.writes += 1;
            self.read_rows();
            self.audit();
        }
        if !last {
            return;
        }
        let unconfirmed = self.setup.unconfirmed;
        let silent = self.percent(unconfirmed);
        let outcome = match commit {
            _ if silent => CommitOutcome::Unconfirmed,
            Commit::Done(r) => CommitOutcome::Done(r),
            Commit::Conflict(rows) => CommitOutcome::Conflict(rows),
        };
        let delay = if silent { 200 * MS } else { self.delay() };
        self.push(
            delay,
            Happening::Tell(h, run, Event::CommitEnded { txn, outcome }),
        );
    }

    fn declare(&mut self, change: impl FnOnce(&mut Catalogue)) {
        let mut c = Catalogue::clone(&self.catalogue);
        change(&mut c);
        self.catalogue = Arc::new(c);
        for h in 0..self.hosts.len() {
            let (run, c) = (self.hosts[h].run, Arc::clone(&self.catalogue));
            self.push(10 * MS, Happening::Tell(h, run, Event::Catalogue(c)));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillHost(h) => self.kill_host(h),
            Fault::StartHost(h) if self.hosts[h].machine.is_none() => self.start_host(h),
            Fault::PauseBefore(h, step, us) => self.hosts[h].armed = Some((step, us)),
            Fault::PauseHost(h, us) => {
                let until = self.hosts[h].paused_until.max(self.t + us);
                self.hosts[h].paused_until = until;
            }
            Fault::LeaveHost(h) => {
                self.hosts[h].leaving = true;
                self.tell(h, self.hosts[h].run, Event::Leave);
            }
            Fault::KillUpstream(u) => {
                self.upstreams[u].gone = true;
                self.upstreams[u].running.clear();
            }
            Fault::StartUpstream(u) if self.upstreams[u].gone => self.upstreams[u].restart(),
            Fault::StartHost(_) | Fault::StartUpstream(_) => {}
            Fault::PauseUpstream(u, us) => {
                let until = self.upstreams[u].paused_until.max(self.t + us);
                self.upstreams[u].paused_until = until;
            }
            Fault::EmptyUpstream(u) => {
                let name = self.upstreams[u].name.clone();
                self.declare(|c| c.upstreams[&name].leaving = true);
            }
            Fault::RemoveUpstream(u) => {
                let name = self.upstreams[u].name.clone();
                self.declare(|c| {
                    c.upstreams.shift_remove(&name);
                });
            }
            Fault::Carve(slice) => self.wish(|_| Event::CarveWish {
                entry: entry_id(),
                base: ids::SliceNo(slice),
                hot: hot(slice),
            }),
            Fault::Fold(slice) => self.wish(|_| Event::FoldWish {
                entry: entry_id(),
                hot: hot(slice),
            }),
            Fault::MoveHot(slice, u) => self.wish(|w| Event::MoveWish {
                entry: entry_id(),
                slice: hot(slice),
                to: w.upstreams[u].name.clone(),
            }),
            Fault::TableDown => self.table_down = true,
            Fault::TableUp => {
                self.table_down = false;
                self.table_slow_us = 0;
            }
            Fault::TableSlow(us) => self.table_slow_us = us,
            Fault::CutDomain(d) => {
                self.cut.insert(d);
            }
            Fault::HealDomain(d) => {
                self.cut.remove(&d);
                self.cut_platform.remove(&d);
            }
            Fault::CutPlatform(d) => {
                self.cut_platform.insert(d);
            }
            Fault::Isolate(d) => {
                self.cut.insert(d);
                self.cut_platform.insert(d);
            }
            Fault::CutHosts(a, b, us) => {
                self.cut_hosts.insert((a.min(b), a.max(b)), self.t + us);
            }
            Fault::CutUpstream(h, u, us) => {
                self.cut_upstreams.insert((h, u), self.t + us);
            }
            Fault::CutAlone(h, us) => {
                for o in 0..self.hosts.len() {
                    self.cut_hosts.insert((h.min(o), h.max(o)), self.t + us);
                }
                for u in 0..self.upstreams.len() {
                    self.cut_upstreams.insert((h, u), self.t + us);
                }
            }
            Fault::LoseDomain(d) => self.lose_domain(d),
            Fault::Wish(slice, u) => self.wish(|w| Event::MoveWish {
                entry: entry_id(),
                slice: ids::SliceNo(slice),
                to: w.upstreams[u].name.clone(),
            }),
        }
    }

    fn kill_host(&mut self, h: usize) {
        if self.hosts[h].machine.take().is_none() {
            return;
        }
        self.hosts[h].dispatch = Dispatcher::default();
        // Others may be refused at its address, and so know at once; or its machine is off.
        self.hosts[h].refuses = self.percent(50);
        if !self.hosts[h].refuses {
            return;
        }
        let who = self.hosts[h].me.clone();
        for to in 0..self.hosts.len() {
            if !self.hosts_cut(h, to) {
                let run = self.hosts[to].run;
                let delay = self.delay();
                let event = Event::PeerEnded(who.clone());
                self.push(delay + 50 * MS, Happening::Tell(to, run, event));
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
            u.gone = true;
            u.running.clear();
        }
        self.declare(|c| c.domains[&domain_id(d)].lost = true);
    }

    fn wish(&mut self, event: impl Fn(&Self) -> Event) {
        for h in 0..self.hosts.len() {
            let event = event(self);
            self.tell(h, self.hosts[h].run, event);
        }
    }

    /// Mends all that can be mended once no process is paused any more, and makes no more faults.
    pub fn mend(&mut self) {
        let hosts = self.hosts.iter().map(|h| h.paused_until);
        let upstreams = self.upstreams.iter().map(|u| u.paused_until);
        let last = hosts.chain(upstreams).max().unwrap_or(0);
        self.run_until(last.max(self.t));
        self.quiet = true;
        self.fault(Fault::TableUp);
        self.cut.clear();
        self.cut_platform.clear();
        self.cut_hosts.clear();
        self.cut_upstreams.clear();
        for h in 0..self.hosts.len() {
            self.hosts[h].armed = None;
            self.fault(Fault::StartHost(h));
        }
        for u in 0..self.upstreams.len() {
            self.fault(Fault::StartUpstream(u));
        }
    }
}
