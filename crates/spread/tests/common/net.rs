//! Hosts, a net between them and a table, driven in simulated time.
//!
//! Each host's clock is off by its own amount. Frames between two hosts keep their order; a cut
//! holds them back until it is healed, as connections do.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{DomainId, HostId, Incarnation, Revision, Timestamp};
use platform::{HostState, ListedHost, Row};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};
use spread::{Action, Config, Event, Me, Member, Prefix};
use wire::control::{Body, Frame};

use super::Past;

const TICK: Duration = Duration::from_millis(20);
const LATENCY: Duration = Duration::from_micros(700);
const READ_TIME: Duration = Duration::from_millis(6);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a length prefix on each frame.
const LENGTH_BYTES: u64 = 4;

#[derive(Debug)]
enum Due {
    Tick,
    Frame {
        from: HostId,
        link: u64,
        frame: Frame,
    },
    Up {
        host: HostId,
        link: u64,
        hello: Frame,
    },
    Lost {
        host: HostId,
        link: u64,
    },
    ConnectFailed {
        host: HostId,
    },
    ReadAt {
        prefix: Prefix,
        since: Revision,
        began: Timestamp,
    },
    Read(Event),
    List,
}

/// What one host did.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent_frames: u64,
    /// Bytes sent as heartbeats, replies, changes, evidence without changes, and records.
    pub sent_as: [u64; 5],
    pub reads: u64,
    pub steps: u64,
    /// Time spent in steps, by the machine's clock.
    pub busy: Duration,
}

/// One host.
#[derive(Debug)]
pub struct Node {
    pub member: Member,
    pub domain: DomainId,
    pub up: bool,
    pub counts: Counts,
    pub reachable: bool,
    pub silent_told: Vec<HostId>,
    /// Evidence that was told: when, and as of when, both in simulated time.
    pub evidence: Option<(Timestamp, Timestamp)>,
    pub worst_age: Duration,
    run: u64,
    offset: Duration,
    paused_until: Timestamp,
    waiting: Vec<Due>,
}

/// The whole of it.
#[derive(Debug)]
pub struct Net {
    pub now: Timestamp,
    pub past: Past,
    /// When each revision was committed, and the highest ownership revision then.
    pub commits: Vec<(Timestamp, Revision)>,
    pub nodes: BTreeMap<HostId, Node>,
    pub listed: Vec<ListedHost>,
    lists_nobody: bool,
    pub table_up: bool,
    /// Domains that can't reach the table.
    pub no_table: BTreeSet<DomainId>,
    /// Pairs of domains that can't reach each other, the lesser first.
    pub cuts: BTreeSet<(DomainId, DomainId)>,
    /// Pairs of hosts that can't reach each other, the lesser first.
    pub blocked: BTreeSet<(HostId, HostId)>,
    pub faults: Vec<String>,
    /// Whether each evidence is checked against the table's past.
    pub check_evidence: bool,
    cfg: Config,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    due: BTreeMap<u64, (HostId, u64, Due)>,
    next: u64,
    links: BTreeMap<(HostId, HostId), u64>,
    held: Vec<(HostId, HostId, u64, Frame)>,
    /// When the last frame between two hosts arrives.
    busy_until: BTreeMap<(HostId, HostId), Timestamp>,
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

impl Net {
    pub fn new(cfg: Config) -> Self {
        Self {
            now: Timestamp::from_millis(1_000_000),
            past: Past::default(),
            commits: Vec::new(),
            nodes: BTreeMap::new(),
            listed: Vec::new(),
            lists_nobody: false,
            table_up: true,
            no_table: BTreeSet::new(),
            cuts: BTreeSet::new(),
            blocked: BTreeSet::new(),
            faults: Vec::new(),
            check_evidence: true,
            cfg,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            links: BTreeMap::new(),
            held: Vec::new(),
            busy_until: BTreeMap::new(),
        }
    }

    /// Builds a net of hosts `0..` with `sizes[d]` in domain `d`, all listed and started.
    pub fn of_domains(cfg: Config, sizes: &[usize]) -> Self {
        let mut net = Self::new(cfg);
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

    /// Starts a listed host, or starts it anew.
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
        let run = self.nodes.get(&host(n)).map_or(1, |node| node.run + 1);
        let offset = Duration::from_millis((n as u64 * 7_919) % 100_000);
        let me = Me {
            host: host(n),
            domain: listed.domain.clone(),
            incarnation: Incarnation(1_700_000_000_000_000 + run),
            control: listed.control,
            dispatch: listed.dispatch,
        };
        let node = Node {
            member: Member::new(self.cfg.clone(), me, self.now + offset),
            domain: listed.domain.clone(),
            up: true,
            counts: Counts::default(),
            reachable: true,
            silent_told: Vec::new(),
            evidence: None,
            worst_age: Duration::ZERO,
            run,
            offset,
            paused_until: Timestamp::ZERO,
            waiting: Vec::new(),
        };
        self.nodes.insert(host(n), node);
        self.at(self.now, &host(n), Due::List);
        let phase = Duration::from_micros((n as u64 * 1_237) % TICK.as_micros() as u64);
        self.at(self.now + phase, &host(n), Due::Tick);
    }

    /// Ends a host's process.
    pub fn kill(&mut self, n: usize) {
        let gone = host(n);
        let Some(node) = self.nodes.get_mut(&gone) else {
            return;
        };
        node.up = false;
        node.run += 1;
        node.waiting.clear();
        let ended: Vec<_> = self
            .links
            .iter()
            .filter(|((a, b), _)| *a == gone || *b == gone)
            .map(|((a, b), link)| (a.clone(), b.clone(), *link))
            .collect();
        for (a, b, link) in ended {
            self.links.remove(&(a.clone(), b.clone()));
            let other = if a == gone { b } else { a };
            let lost = Due::Lost {
                host: gone.clone(),
                link,
            };
            self.at(self.now + LATENCY, &other, lost);
        }
    }

    pub fn pause(&mut self, n: usize, span: Duration) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(&host(n)) {
            node.paused_until = until;
        }
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((domain(a.min(b)), domain(a.max(b))));
    }

    /// Keeps two hosts from reaching each other.
    pub fn block(&mut self, a: usize, b: usize) {
        self.blocked.insert(pair(&host(a), &host(b)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.blocked.clear();
        self.no_table.clear();
        self.table_up = true;
        for (from, to, link, frame) in std::mem::take(&mut self.held) {
            self.carry(&from, &to, link, frame);
        }
    }

    /// Writes rows in one transaction, seen by nobody yet.
    pub fn commit(&mut self, writes: Vec<(SmolStr, Option<bytes::Bytes>)>) -> Vec<Row> {
        let rows = self.past.commit(writes);
        self.commits.push((self.now, self.past.revision));
        rows
    }

    /// Gives a host an event now.
    pub fn tell(&mut self, n: usize, event: Event) {
        self.step(&host(n), event);
    }

    pub fn node(&self, n: usize) -> &Node {
        &self.nodes[&host(n)]
    }

    pub fn live(&self) -> impl Iterator<Item = (&HostId, &Node)> {
        self.nodes.iter().filter(|(_, node)| node.up)
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Lets time pass until `done`, or fails after `bound`; returns how long it took.
    pub fn wait(&mut self, bound: Duration, what: &str, done: impl Fn(&Self) -> bool) -> Duration {
        let began = self.now;
        let end = began + bound;
        assert!(self.run_until(end, done), "not within {bound:?}: {what}");
        self.now.since(began)
    }

    /// Lets time pass until `done`, or for `bound`.
    pub fn wait_if(&mut self, bound: Duration, done: impl Fn(&Self) -> bool) {
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
            let Some((to, run, due)) = self.due.remove(&id) else {
                continue;
            };
            let tick = matches!(due, Due::Tick);
            self.happen(&to, run, due);
            if tick && done(self) {
                return true;
            }
        }
        self.now = end;
        done(self)
    }

    fn at(&mut self, when: Timestamp, to: &HostId, due: Due) {
        let run = self.nodes.get(to).map_or(0, |n| n.run);
        self.next += 1;
        self.queue.push(Reverse((when, self.next)));
        self.due.insert(self.next, (to.clone(), run, due));
    }

    fn happen(&mut self, to: &HostId, run: u64, due: Due) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(to) else {
            return;
        };
        if !node.up || node.run != run {
            return;
        }
        if node.paused_until > now {
            let until = node.paused_until;
            self.at(until, to, due);
            return;
        }
        match due {
            Due::Tick => {
                self.at(now + TICK, to, Due::Tick);
                self.step(to, Event::Tick);
                self.note_age(to);
            }
            Due::Frame { from, link, frame } => {
                if self.links.get(&pair(&from, to)) != Some(&link) {
                    return;
                }
                let bytes = frame.encoded_len() as u64 + LENGTH_BYTES;
                self.nodes.get_mut(to).unwrap().counts.received_bytes += bytes;
                self.step(to, Event::Heard { from, frame });
            }
            Due::Up { host, link, hello } => {
                if self.links.get(&pair(&host, to)) != Some(&link) {
                    return;
                }
                self.step(to, Event::Connected { host: host.clone() });
                self.step(
                    to,
                    Event::Heard {
                        from: host,
                        frame: hello,
                    },
                );
            }
            Due::Lost { host, link } => {
                if self.links.get(&pair(&host, to)).is_none_or(|l| *l <= link) {
                    self.step(to, Event::Lost { host });
                }
            }
            Due::ConnectFailed { host } => self.step(to, Event::Lost { host }),
            Due::ReadAt {
                prefix,
                since,
                began,
            } => self.read_at(to, prefix, since, began),
            Due::Read(event) => self.step(to, event),
            Due::List => {
                self.at(now + Duration::from_secs(1), to, Due::List);
                if self.table_up && !self.no_table.contains(&self.nodes[to].domain) {
                    let listed = if self.lists_nobody {
                        Vec::new()
                    } else {
                        self.listed.clone()
                    };
                    self.step(to, Event::Listed(listed));
                }
            }
        }
    }

    fn note_age(&mut self, host: &HostId) {
        let now = self.now;
        let node = self.nodes.get_mut(host).unwrap();
        if let Some((_, as_of)) = node.evidence {
            node.worst_age = node.worst_age.max(now.since(as_of));
        }
    }

    fn read_at(&mut self, to: &HostId, prefix: Prefix, since: Revision, began: Timestamp) {
        let reaches = self.table_up && !self.no_table.contains(&self.nodes[to].domain);
        let changes = reaches.then(|| self.past.changes(prefix, since));
        let read = Event::TableRead {
            prefix,
            since,
            began,
            changes,
        };
        self.at(self.now + READ_TIME / 2, to, Due::Read(read));
    }

    fn step(&mut self, at: &HostId, event: Event) {
        let mut actions = Vec::new();
        let node = self.nodes.get_mut(at).unwrap();
        node.counts.steps += 1;
        let began = Instant::now();
        node.member
            .step(self.now + node.offset, event, &mut actions);
        node.counts.busy += began.elapsed();
        for action in actions {
            self.carry_out(at, action);
        }
    }

    fn carry_out(&mut self, from: &HostId, action: Action) {
        match action {
            Action::Send { to, frame } => {
                let Some(link) = self.links.get(&pair(from, &to)).copied() else {
                    return;
                };
                let node = self.nodes.get_mut(from).unwrap();
                node.counts.sent_bytes += frame.encoded_len() as u64 + LENGTH_BYTES;
                node.counts.sent_frames += 1;
                node.counts.sent_as[kind(&frame)] += frame.encoded_len() as u64 + LENGTH_BYTES;
                self.carry(from, &to, link, frame);
            }
            Action::Connect { host, .. } => self.connect(from, &host),
            Action::Disconnect { host } => {
                if let Some(link) = self.links.remove(&pair(from, &host)) {
                    let lost = Due::Lost {
                        host: from.clone(),
                        link,
                    };
                    self.at(self.now + LATENCY, &host, lost);
                }
            }
            Action::ReadTable { prefix, since } => {
                let node = self.nodes.get_mut(from).unwrap();
                node.counts.reads += 1;
                let began = self.now + node.offset;
                let due = Due::ReadAt {
                    prefix,
                    since,
                    began,
                };
                self.at(self.now + READ_TIME / 2, from, due);
            }
            Action::Changed(_) => {
                let node = self.nodes.get_mut(from).unwrap();
                drop(node.member.take_changes());
            }
            Action::Evidence(evidence) => self.judge(from, evidence),
            Action::TableReachable(reachable) => {
                self.nodes.get_mut(from).unwrap().reachable = reachable;
            }
            Action::PeerSilent { host, .. } => {
                self.nodes.get_mut(from).unwrap().silent_told.push(host);
            }
            Action::PeerAlive { .. } | Action::Own { .. } => {}
        }
    }

    /// Evidence must not be newer than the truth: all that was committed before it is held.
    fn judge(&mut self, host: &HostId, evidence: spread::Evidence) {
        let now = self.now;
        let node = self.nodes.get_mut(host).unwrap();
        let as_of = evidence.as_of - node.offset;
        node.evidence = Some((now, as_of));
        if !self.check_evidence {
            return;
        }
        let before = self.commits.iter().rev().find(|(when, _)| *when < as_of);
        let Some((_, revision)) = before else { return };
        for row in self.past.rows_at(Prefix::Own, *revision) {
            let key = &row.key.0[Prefix::Own.as_str().len()..];
            let held = node.member.replica().get(Prefix::Own, key);
            if held.map(|(at, _)| at) < Some(row.revision) {
                self.faults
                    .push(format!("{host}: evidence as of {as_of} without {key}"));
            }
        }
    }

    fn carry(&mut self, from: &HostId, to: &HostId, link: u64, frame: Frame) {
        if self.is_cut(from, to) {
            self.held.push((from.clone(), to.clone(), link, frame));
            return;
        }
        let way = (from.clone(), to.clone());
        let busy = self.busy_until.get(&way).copied().unwrap_or_default();
        let arrives = (self.now + LATENCY).max(busy);
        self.busy_until.insert(way, arrives);
        let due = Due::Frame {
            from: from.clone(),
            link,
            frame,
        };
        self.at(arrives, to, due);
    }

    fn connect(&mut self, from: &HostId, to: &HostId) {
        let up = self.nodes.get(to).is_some_and(|n| n.up);
        let failed = Due::ConnectFailed { host: to.clone() };
        if self.is_cut(from, to) {
            self.at(self.now + CONNECT_TIMEOUT, from, failed);
            return;
        }
        if !up {
            self.at(self.now + LATENCY, from, failed);
            return;
        }
        self.next += 1;
        let link = self.next;
        self.links.insert(pair(from, to), link);
        for (a, b) in [(from, to), (to, from)] {
            let hello = self.nodes[b].member.hello();
            let due = Due::Up {
                host: b.clone(),
                link,
                hello,
            };
            self.at(self.now + LATENCY, a, due);
        }
    }

    fn is_cut(&self, a: &HostId, b: &HostId) -> bool {
        if self.blocked.contains(&pair(a, b)) {
            return true;
        }
        let (Some(a), Some(b)) = (self.nodes.get(a), self.nodes.get(b)) else {
            return false;
        };
        let (a, b) = (a.domain.clone(), b.domain.clone());
        self.cuts.contains(&(a.clone().min(b.clone()), a.max(b)))
    }
}

fn kind(frame: &Frame) -> usize {
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

fn pair(a: &HostId, b: &HostId) -> (HostId, HostId) {
    if a < b {
        return (a.clone(), b.clone());
    }
    (b.clone(), a.clone())
}

impl Net {
    /// Returns how old a host says that its knowledge is.
    pub fn ages(&self, n: usize) -> [Option<Duration>; 2] {
        let node = self.node(n);
        Prefix::ALL.map(|prefix| node.member.age(self.now + node.offset, prefix))
    }
}

impl Net {
    /// Makes the platform's list empty, or whole again.
    pub fn list_nobody(&mut self, nobody: bool) {
        self.lists_nobody = nobody;
    }
}

impl Node {
    /// Tells whether the host said that it leaves.
    pub fn leaving(&self) -> bool {
        let me = self.member.me();
        let hello = self.member.hello();
        let Some(wire::control::Body::Hello(hello)) = hello.body else {
            return false;
        };
        debug_assert_eq!(
            hello.host.as_ref().map(|h| h.host.as_str()),
            Some(me.host.as_str())
        );
        hello.host.is_some_and(|h| h.leaving)
    }
}
