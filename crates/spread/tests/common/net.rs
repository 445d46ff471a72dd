//! Simulates hosts, the network between them and a table, in simulated time.
//!
//! Each host's clock has its own offset. Frames between two hosts keep their order. A cut delays
//! them until it is healed, as a connection would.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{DomainId, HostId, Incarnation, Revision, Timestamp};
use platform::{HostState, ListedHost, Row};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};
use spread::{Action, Event, HostIdentity, Membership, MembershipSettings, Prefix};
use wire::control::{Body, Frame};

use super::TableHistory;

const TICK: Duration = Duration::from_millis(20);
const LATENCY: Duration = Duration::from_micros(700);
const READ_TIME: Duration = Duration::from_millis(6);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size in bytes of the length prefix of each frame.
const LENGTH_BYTES: u64 = 4;

#[derive(Debug)]
enum Scheduled {
    Tick,
    Frame {
        from: HostId,
        link: u64,
        frame: Frame,
    },
    Connected {
        host: HostId,
        link: u64,
        hello: Frame,
    },
    Disconnected {
        host: HostId,
        link: u64,
    },
    ConnectFailed {
        host: HostId,
    },
    ReadAtTable {
        prefix: Prefix,
        since: Revision,
        began: Timestamp,
    },
    ReadDone(Event),
    ListHosts,
}

/// Counters of one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent_frames: u64,
    /// Bytes sent as heartbeats, replies, changes, read leases without changes, and host records.
    pub sent_as: [u64; 5],
    pub reads: u64,
    pub steps: u64,
    /// Time spent in steps, by the real clock.
    pub busy: Duration,
}

/// A simulated host.
#[derive(Debug)]
pub struct SimHost {
    pub membership: Membership,
    pub domain: DomainId,
    pub up: bool,
    pub counts: Counts,
    pub reachable: bool,
    pub reported_unresponsive: Vec<HostId>,
    /// The last read lease returned: when, and as of when, both in simulated time.
    pub read_lease: Option<(Timestamp, Timestamp)>,
    pub max_lease_age: Duration,
    process_no: u64,
    clock_offset: Duration,
    paused_until: Timestamp,
    waiting: Vec<Scheduled>,
}

/// The simulated network, its hosts and the table.
#[derive(Debug)]
pub struct SimNet {
    pub now: Timestamp,
    pub table: TableHistory,
    /// When each revision was committed.
    pub commits: Vec<(Timestamp, Revision)>,
    pub sim_hosts: BTreeMap<HostId, SimHost>,
    pub listed: Vec<ListedHost>,
    list_is_empty: bool,
    pub table_up: bool,
    /// Domains that can't reach the table.
    pub domains_without_table: BTreeSet<DomainId>,
    /// Pairs of domains that can't reach each other, the lower name first.
    pub cuts: BTreeSet<(DomainId, DomainId)>,
    /// Pairs of hosts that can't reach each other, the lower name first.
    pub blocked: BTreeSet<(HostId, HostId)>,
    pub violations: Vec<String>,
    /// Whether each read lease is checked against the table's history.
    pub check_leases: bool,
    settings: MembershipSettings,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    scheduled: BTreeMap<u64, (HostId, u64, Scheduled)>,
    next_id: u64,
    links: BTreeMap<(HostId, HostId), u64>,
    held_frames: Vec<(HostId, HostId, u64, Frame)>,
    /// When the last frame in each direction between two hosts arrives.
    link_busy_until: BTreeMap<(HostId, HostId), Timestamp>,
}

pub fn host(n: usize) -> HostId {
    HostId::new(format_smolstr!("host-{n:04}")).unwrap()
}

pub fn domain(n: usize) -> DomainId {
    DomainId::new(format_smolstr!("domain-{n:02}")).unwrap()
}

fn addr(n: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], port))
}

impl SimNet {
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            now: Timestamp::from_millis(1_000_000),
            table: TableHistory::default(),
            commits: Vec::new(),
            sim_hosts: BTreeMap::new(),
            listed: Vec::new(),
            list_is_empty: false,
            table_up: true,
            domains_without_table: BTreeSet::new(),
            cuts: BTreeSet::new(),
            blocked: BTreeSet::new(),
            violations: Vec::new(),
            check_leases: true,
            settings,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_id: 0,
            links: BTreeMap::new(),
            held_frames: Vec::new(),
            link_busy_until: BTreeMap::new(),
        }
    }

    /// Builds a network of hosts `0..` with `sizes[d]` hosts in domain `d`, all listed and started.
    pub fn with_domains(settings: MembershipSettings, sizes: &[usize]) -> Self {
        let mut net = Self::new(settings);
        let mut n = 0;
        for (d, size) in sizes.iter().enumerate() {
            for _ in 0..*size {
                net.list(n, domain(d));
                n += 1;
            }
        }
        for n in 0..n {
            net.start(n);
        }
        net
    }

    pub fn list(&mut self, n: usize, domain: DomainId) {
        self.listed.push(ListedHost {
            host: host(n),
            domain,
            control: addr(n, 7101),
            dispatch: addr(n, 7102),
            state: HostState::Live,
        });
    }

    /// Starts or restarts a listed host.
    pub fn start(&mut self, n: usize) {
        let listed = self
            .listed
            .iter()
            .find(|l| l.host == host(n))
            .unwrap()
            .clone();
        self.start_as(n, &listed);
    }

    pub fn start_as(&mut self, n: usize, listed: &ListedHost) {
        self.kill(n);
        let process_no = self
            .sim_hosts
            .get(&host(n))
            .map_or(1, |sim_host| sim_host.process_no + 1);
        let clock_offset = Duration::from_millis((n as u64 * 7_919) % 100_000);
        let identity = HostIdentity {
            host: host(n),
            domain: listed.domain.clone(),
            incarnation: Incarnation(1_700_000_000_000_000 + process_no),
            control: listed.control,
            dispatch: listed.dispatch,
        };
        let sim_host = SimHost {
            membership: Membership::new(self.settings.clone(), identity, self.now + clock_offset),
            domain: listed.domain.clone(),
            up: true,
            counts: Counts::default(),
            reachable: true,
            reported_unresponsive: Vec::new(),
            read_lease: None,
            max_lease_age: Duration::ZERO,
            process_no,
            clock_offset,
            paused_until: Timestamp::ZERO,
            waiting: Vec::new(),
        };
        self.sim_hosts.insert(host(n), sim_host);
        self.schedule(self.now, &host(n), Scheduled::ListHosts);
        let phase = Duration::from_micros((n as u64 * 1_237) % TICK.as_micros() as u64);
        self.schedule(self.now + phase, &host(n), Scheduled::Tick);
    }

    /// Ends a host's process.
    pub fn kill(&mut self, n: usize) {
        let killed = host(n);
        let Some(sim_host) = self.sim_hosts.get_mut(&killed) else {
            return;
        };
        sim_host.up = false;
        sim_host.process_no += 1;
        sim_host.waiting.clear();
        let ended: Vec<_> = self
            .links
            .iter()
            .filter(|((a, b), _)| *a == killed || *b == killed)
            .map(|((a, b), link)| (a.clone(), b.clone(), *link))
            .collect();
        for (a, b, link) in ended {
            self.links.remove(&(a.clone(), b.clone()));
            let other = if a == killed { b } else { a };
            let disconnected = Scheduled::Disconnected {
                host: killed.clone(),
                link,
            };
            self.schedule(self.now + LATENCY, &other, disconnected);
        }
    }

    pub fn pause(&mut self, n: usize, span: Duration) {
        let until = self.now + span;
        if let Some(sim_host) = self.sim_hosts.get_mut(&host(n)) {
            sim_host.paused_until = until;
        }
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((domain(a.min(b)), domain(a.max(b))));
    }

    /// Cuts the connection between two hosts.
    pub fn block(&mut self, a: usize, b: usize) {
        self.blocked.insert(ordered_pair(&host(a), &host(b)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.blocked.clear();
        self.domains_without_table.clear();
        self.table_up = true;
        for (from, to, link, frame) in std::mem::take(&mut self.held_frames) {
            self.transmit(&from, &to, link, frame);
        }
    }

    /// Writes rows in one transaction, without an event to any host.
    pub fn commit(&mut self, writes: Vec<(SmolStr, Option<bytes::Bytes>)>) -> Vec<Row> {
        let rows = self.table.commit(writes);
        self.commits.push((self.now, self.table.revision));
        rows
    }

    /// Delivers an event to a host immediately.
    pub fn deliver(&mut self, n: usize, event: Event) {
        self.step(&host(n), event);
    }

    pub fn sim_host(&self, n: usize) -> &SimHost {
        &self.sim_hosts[&host(n)]
    }

    pub fn live(&self) -> impl Iterator<Item = (&HostId, &SimHost)> {
        self.sim_hosts.iter().filter(|(_, sim_host)| sim_host.up)
    }

    /// Advances time by `span`.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Advances time until `done`, or panics after `bound`; returns the time it took.
    pub fn wait(&mut self, bound: Duration, what: &str, done: impl Fn(&Self) -> bool) -> Duration {
        let began = self.now;
        let end = began + bound;
        assert!(self.run_until(end, done), "not within {bound:?}: {what}");
        self.now.since(began)
    }

    /// Advances time until `done`, for at most `bound`.
    pub fn wait_up_to(&mut self, bound: Duration, done: impl Fn(&Self) -> bool) {
        let end = self.now + bound;
        self.run_until(end, done);
    }

    fn run_until(&mut self, end: Timestamp, done: impl Fn(&Self) -> bool) -> bool {
        while let Some(Reverse((when, id))) = self.queue.peek().copied() {
            if when > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(when);
            let Some((to, process_no, scheduled)) = self.scheduled.remove(&id) else {
                continue;
            };
            let tick = matches!(scheduled, Scheduled::Tick);
            self.dispatch(&to, process_no, scheduled);
            if tick && done(self) {
                return true;
            }
        }
        self.now = end;
        done(self)
    }

    fn schedule(&mut self, when: Timestamp, to: &HostId, scheduled: Scheduled) {
        let process_no = self.sim_hosts.get(to).map_or(0, |n| n.process_no);
        self.next_id += 1;
        self.queue.push(Reverse((when, self.next_id)));
        self.scheduled
            .insert(self.next_id, (to.clone(), process_no, scheduled));
    }

    fn dispatch(&mut self, to: &HostId, process_no: u64, scheduled: Scheduled) {
        let now = self.now;
        let Some(sim_host) = self.sim_hosts.get_mut(to) else {
            return;
        };
        if !sim_host.up || sim_host.process_no != process_no {
            return;
        }
        if sim_host.paused_until > now {
            let until = sim_host.paused_until;
            self.schedule(until, to, scheduled);
            return;
        }
        match scheduled {
            Scheduled::Tick => {
                self.schedule(now + TICK, to, Scheduled::Tick);
                self.step(to, Event::Tick);
                self.record_lease_age(to);
            }
            Scheduled::Frame { from, link, frame } => {
                if self.links.get(&ordered_pair(&from, to)) != Some(&link) {
                    return;
                }
                let bytes = frame.encoded_len() as u64 + LENGTH_BYTES;
                self.sim_hosts.get_mut(to).unwrap().counts.received_bytes += bytes;
                self.step(to, Event::FrameReceived { from, frame });
            }
            Scheduled::Connected { host, link, hello } => {
                if self.links.get(&ordered_pair(&host, to)) != Some(&link) {
                    return;
                }
                self.step(to, Event::Connected { host: host.clone() });
                self.step(
                    to,
                    Event::FrameReceived {
                        from: host,
                        frame: hello,
                    },
                );
            }
            Scheduled::Disconnected { host, link } => {
                if self
                    .links
                    .get(&ordered_pair(&host, to))
                    .is_none_or(|l| *l <= link)
                {
                    self.step(to, Event::Disconnected { host });
                }
            }
            Scheduled::ConnectFailed { host } => self.step(to, Event::Disconnected { host }),
            Scheduled::ReadAtTable {
                prefix,
                since,
                began,
            } => self.read_table(to, prefix, since, began),
            Scheduled::ReadDone(event) => self.step(to, event),
            Scheduled::ListHosts => {
                self.schedule(now + Duration::from_secs(1), to, Scheduled::ListHosts);
                if self.table_up
                    && !self
                        .domains_without_table
                        .contains(&self.sim_hosts[to].domain)
                {
                    let listed = if self.list_is_empty {
                        Vec::new()
                    } else {
                        self.listed.clone()
                    };
                    self.step(to, Event::HostsListed(listed));
                }
            }
        }
    }

    fn record_lease_age(&mut self, host: &HostId) {
        let now = self.now;
        let sim_host = self.sim_hosts.get_mut(host).unwrap();
        if let Some((_, as_of)) = sim_host.read_lease {
            sim_host.max_lease_age = sim_host.max_lease_age.max(now.since(as_of));
        }
    }

    fn read_table(&mut self, to: &HostId, prefix: Prefix, since: Revision, began: Timestamp) {
        let reachable = self.table_up
            && !self
                .domains_without_table
                .contains(&self.sim_hosts[to].domain);
        let changes = reachable.then(|| self.table.changes(prefix, since));
        let read = Event::TableRead {
            prefix,
            since,
            began,
            changes,
        };
        self.schedule(self.now + READ_TIME / 2, to, Scheduled::ReadDone(read));
    }

    fn step(&mut self, at: &HostId, event: Event) {
        let mut actions = Vec::new();
        let sim_host = self.sim_hosts.get_mut(at).unwrap();
        sim_host.counts.steps += 1;
        let began = Instant::now();
        sim_host
            .membership
            .step(self.now + sim_host.clock_offset, event, &mut actions);
        sim_host.counts.busy += began.elapsed();
        for action in actions {
            self.execute(at, action);
        }
    }

    fn execute(&mut self, from: &HostId, action: Action) {
        match action {
            Action::Send { to, frame } => {
                let Some(link) = self.links.get(&ordered_pair(from, &to)).copied() else {
                    return;
                };
                let sim_host = self.sim_hosts.get_mut(from).unwrap();
                sim_host.counts.sent_bytes += frame.encoded_len() as u64 + LENGTH_BYTES;
                sim_host.counts.sent_frames += 1;
                sim_host.counts.sent_as[frame_kind(&frame)] +=
                    frame.encoded_len() as u64 + LENGTH_BYTES;
                self.transmit(from, &to, link, frame);
            }
            Action::Connect { host, .. } => self.connect(from, &host),
            Action::Disconnect { host } => {
                if let Some(link) = self.links.remove(&ordered_pair(from, &host)) {
                    let disconnected = Scheduled::Disconnected {
                        host: from.clone(),
                        link,
                    };
                    self.schedule(self.now + LATENCY, &host, disconnected);
                }
            }
            Action::ReadTable { prefix, since } => {
                let sim_host = self.sim_hosts.get_mut(from).unwrap();
                sim_host.counts.reads += 1;
                let began = self.now + sim_host.clock_offset;
                let scheduled = Scheduled::ReadAtTable {
                    prefix,
                    since,
                    began,
                };
                self.schedule(self.now + READ_TIME / 2, from, scheduled);
            }
            Action::Changed(_) => {
                let sim_host = self.sim_hosts.get_mut(from).unwrap();
                drop(sim_host.membership.take_changed_rows());
            }
            Action::ReadLease(read_lease) => self.check_read_lease(from, read_lease),
            Action::TableReachable(reachable) => {
                self.sim_hosts.get_mut(from).unwrap().reachable = reachable;
            }
            Action::PeerUnresponsive { host, .. } => {
                self.sim_hosts
                    .get_mut(from)
                    .unwrap()
                    .reported_unresponsive
                    .push(host);
            }
            Action::PeerAlive { .. } | Action::Own { .. } => {}
        }
    }

    /// Checks that a host with a read lease holds everything committed before the lease's `as_of`.
    fn check_read_lease(&mut self, host: &HostId, read_lease: spread::ReadLease) {
        let now = self.now;
        let sim_host = self.sim_hosts.get_mut(host).unwrap();
        let as_of = read_lease.as_of - sim_host.clock_offset;
        sim_host.read_lease = Some((now, as_of));
        if !self.check_leases {
            return;
        }
        let before = self.commits.iter().rev().find(|(when, _)| *when < as_of);
        let Some((_, revision)) = before else { return };
        for row in self.table.rows_at(Prefix::Own, *revision) {
            let key = &row.key.0[Prefix::Own.as_str().len()..];
            let held = sim_host.membership.replica().get(Prefix::Own, key);
            if held.map(|(at, _)| at) < Some(row.revision) {
                self.violations
                    .push(format!("{host}: read lease as of {as_of} without {key}"));
            }
        }
    }

    fn transmit(&mut self, from: &HostId, to: &HostId, link: u64, frame: Frame) {
        if self.is_cut(from, to) {
            self.held_frames
                .push((from.clone(), to.clone(), link, frame));
            return;
        }
        let direction = (from.clone(), to.clone());
        let link_busy = self
            .link_busy_until
            .get(&direction)
            .copied()
            .unwrap_or_default();
        let arrives_at = (self.now + LATENCY).max(link_busy);
        self.link_busy_until.insert(direction, arrives_at);
        let scheduled = Scheduled::Frame {
            from: from.clone(),
            link,
            frame,
        };
        self.schedule(arrives_at, to, scheduled);
    }

    fn connect(&mut self, from: &HostId, to: &HostId) {
        let up = self.sim_hosts.get(to).is_some_and(|n| n.up);
        let failed = Scheduled::ConnectFailed { host: to.clone() };
        if self.is_cut(from, to) {
            self.schedule(self.now + CONNECT_TIMEOUT, from, failed);
            return;
        }
        if !up {
            self.schedule(self.now + LATENCY, from, failed);
            return;
        }
        self.next_id += 1;
        let link = self.next_id;
        self.links.insert(ordered_pair(from, to), link);
        for (a, b) in [(from, to), (to, from)] {
            let hello = self.sim_hosts[b].membership.hello();
            let scheduled = Scheduled::Connected {
                host: b.clone(),
                link,
                hello,
            };
            self.schedule(self.now + LATENCY, a, scheduled);
        }
    }

    /// Returns whether two hosts have a connection.
    pub fn are_connected(&self, a: usize, b: usize) -> bool {
        self.links.contains_key(&ordered_pair(&host(a), &host(b)))
    }

    fn is_cut(&self, a: &HostId, b: &HostId) -> bool {
        if self.blocked.contains(&ordered_pair(a, b)) {
            return true;
        }
        let (Some(a), Some(b)) = (self.sim_hosts.get(a), self.sim_hosts.get(b)) else {
            return false;
        };
        let (a, b) = (a.domain.clone(), b.domain.clone());
        self.cuts.contains(&(a.clone().min(b.clone()), a.max(b)))
    }
}

fn frame_kind(frame: &Frame) -> usize {
    match &frame.body {
        Some(Body::Heartbeat(_)) => 0,
        Some(Body::Reply(_)) => 1,
        Some(Body::Push(p))
            if p.deltas
                .iter()
                .any(|d| !d.rows.is_empty() || !d.patches.is_empty()) =>
        {
            2
        }
        Some(Body::Push(p)) if p.hosts.is_empty() => 3,
        _ => 4,
    }
}

fn ordered_pair(a: &HostId, b: &HostId) -> (HostId, HostId) {
    if a < b {
        return (a.clone(), b.clone());
    }
    (b.clone(), a.clone())
}

impl SimNet {
    /// Returns the age that a host reports of its rows, for each prefix.
    pub fn ages(&self, n: usize) -> [Option<Duration>; 2] {
        let sim = self.sim_host(n);
        Prefix::ALL.map(|prefix| sim.membership.age(self.now + sim.clock_offset, prefix))
    }
}

impl SimNet {
    /// Makes the platform's list empty, or complete again.
    pub fn set_list_empty(&mut self, empty: bool) {
        self.list_is_empty = empty;
    }
}

impl SimHost {
    /// Returns whether the host announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        let identity = self.membership.identity();
        let hello = self.membership.hello();
        let Some(wire::control::Body::Hello(hello)) = hello.body else {
            return false;
        };
        debug_assert_eq!(
            hello.host.as_ref().map(|h| h.host.as_str()),
            Some(identity.host.as_str())
        );
        hello.host.is_some_and(|h| h.leaving)
    }
}
