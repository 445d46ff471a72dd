//! A world of hosts, a store and upstreams in virtual time, in which keepers run.
//!
//! Upstreams behave as those of the users do: a grant holds from its arrival, one under a lower
//! fence than was seen for a key is refused, and a release is never refused. Calls may lose their
//! answer, and may be carried out seconds after that.

mod fault;
mod tally;
mod upstream;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use assign::{
    Action, AssignSettings, CallEnd, CommitEnd, Earlier, EntryRow, Keeper, KeyLoads, OrderCall,
    Part, Planner, Run, Standing, StoreClock, UpstreamView,
};
use ids::{HostId, Incarnation, Revision, Timestamp};
use rand::Rng as _;
use rand::rngs::StdRng;

pub use self::fault::{Fault, Trouble};
use self::tally::Tally;
use self::upstream::{Upstream, key};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(20);
/// Keys that are looked at.
const PROBES: usize = 48;
/// Way of a call, each way.
const WAY: Duration = Duration::from_millis(20);
/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after a cut until what it held is delivered: the sender's system tries again more and more seldom.
const HELD_FOR: Duration = Duration::from_millis(850);
/// Time between reads of the store.
const READ_EVERY: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct Host {
    run: Run,
    keeper: Keeper,
    read_at: Timestamp,
}

#[derive(Debug)]
enum Delivery {
    Order {
        host: usize,
        incarnation: Incarnation,
        upstream: usize,
        call: OrderCall,
        arrived: Timestamp,
        answers: bool,
    },
    OrderEnd {
        host: usize,
        incarnation: Incarnation,
        id: u64,
        end: CallEnd,
    },
    Commit {
        host: usize,
        incarnation: Incarnation,
        row: EntryRow,
        expected: Option<Revision>,
        answers: bool,
    },
    CommitEnd {
        host: usize,
        incarnation: Incarnation,
        end: CommitEnd,
    },
    /// A granting host speaks to an earlier one, and may tell it that it was replaced.
    Beat {
        host: usize,
        by: usize,
        replaced: Option<Revision>,
    },
    /// The earlier one answers what it knows.
    Knows {
        host: usize,
        run: Run,
        revision: Revision,
    },
}

/// Whether hosts talk to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Talk {
    /// A granting host tells earlier ones that they were replaced.
    Yes,
    /// Each host knows only what the store says.
    No,
}

/// The world.
#[derive(Debug)]
pub struct World {
    now: Duration,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    lives: Vec<u32>,
    store: Option<(EntryRow, Revision)>,
    revision: u64,
    troubles: Vec<Trouble>,
    deliveries: VecDeque<(Duration, Delivery)>,
    loads: KeyLoads,
    rng: StdRng,
    cfg: AssignSettings,
    talk: Talk,
    tally: Tally,
    /// Calls whose connections were reset before the network delivered them.
    reset: HashSet<(usize, Incarnation, u64)>,
}

impl World {
    /// Builds a world without owners.
    pub fn new(
        hosts: usize,
        upstreams: usize,
        troubles: Vec<Trouble>,
        rng: StdRng,
        talk: Talk,
    ) -> Self {
        let cfg = AssignSettings::default();
        Self::with_settings(hosts, upstreams, troubles, rng, talk, cfg)
    }

    /// Builds a world with other times.
    pub fn with_settings(
        hosts: usize,
        upstreams: usize,
        troubles: Vec<Trouble>,
        rng: StdRng,
        talk: Talk,
        cfg: AssignSettings,
    ) -> Self {
        let host = |i| Self::host(i, 1, cfg);
        Self {
            now: Duration::ZERO,
            hosts: (0..hosts).map(host).collect(),
            upstreams: (0..upstreams).map(|i| Upstream::new(i, 1)).collect(),
            lives: vec![1; upstreams],
            store: None,
            revision: 0,
            troubles,
            deliveries: VecDeque::new(),
            loads: KeyLoads::new(Timestamp::ZERO),
            rng,
            cfg,
            talk,
            tally: Tally::default(),
            reset: HashSet::new(),
        }
    }

    /// Returns what the run cost so far.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Counts from here on.
    pub fn tally_from_here(&mut self) {
        self.tally = Tally::default();
    }

    fn host(index: usize, incarnation: u64, cfg: AssignSettings) -> Host {
        let run = Run {
            host: HostId::new(format!("h{index}")).expect("a valid name"),
            incarnation: Incarnation(incarnation),
        };
        Host {
            keeper: Keeper::new(run.clone(), cfg, Planner::default()),
            run,
            read_at: Timestamp::ZERO,
        }
    }

    fn at(now: Duration) -> Timestamp {
        // Zero means "never" to a keeper.
        Timestamp::from_millis(1_000) + now
    }

    fn has(&self, matches: impl Fn(Fault) -> bool) -> bool {
        let now = self.now;
        self.troubles
            .iter()
            .any(|t| t.covers(now) && matches(t.fault))
    }

    fn paused(&self, host: usize) -> bool {
        self.has(|f| matches!(f, Fault::HostPaused(h) if h == host))
    }

    fn reaches_store(&self, host: usize) -> bool {
        !self.has(|f| match f {
            Fault::StoreDown => true,
            Fault::HostWithoutStore(h) => h == host,
            _ => false,
        })
    }

    fn reaches(&self, host: usize, upstream: usize) -> bool {
        !self.has(|f| matches!(f, Fault::HostWithoutUpstream(h, u) if h == host && u == upstream))
    }

    /// Runs until `end`, checking ownership after each step.
    ///
    /// # Errors
    ///
    /// Fails if two upstreams that are up hold the same key.
    pub fn run(&mut self, end: Duration) -> Result<(), String> {
        while self.now < end {
            self.now += STEP;
            self.begin_troubles();
            self.deliver();
            for host in 0..self.hosts.len() {
                if !self.paused(host) {
                    self.step_host(host);
                }
            }
            self.check()?;
        }
        Ok(())
    }

    fn begin_troubles(&mut self) {
        let now = self.now;
        let begins = |t: &&Trouble| t.at <= now && now < t.at + STEP;
        let ends = |t: &&Trouble| t.at + t.lasts <= now && now < t.at + t.lasts + STEP;
        let begun: Vec<Trouble> = self.troubles.iter().filter(begins).copied().collect();
        let ended: Vec<Trouble> = self.troubles.iter().filter(ends).copied().collect();
        for trouble in begun {
            match trouble.fault {
                Fault::HostRestarts(h) => {
                    let incarnation = self.hosts[h].run.incarnation.0 + 1;
                    self.hosts[h] = Self::host(h, incarnation, self.cfg);
                }
                Fault::UpstreamDown(u) => self.upstreams[u].is_up = false,
                _ => {}
            }
        }
        for trouble in ended {
            if let Fault::UpstreamDown(u) = trouble.fault {
                self.lives[u] += 1;
                self.upstreams[u] = Upstream::new(u, self.lives[u]);
            }
        }
    }

    fn step_host(&mut self, h: usize) {
        let now = Self::at(self.now);
        let ready = self.ready();
        self.read(h, now);
        if self.talk == Talk::Yes {
            self.tell_replaced(h);
        }
        let mut actions = Vec::new();
        self.take_over(h, now, &ready, &mut actions);
        let mut standing = Standing {
            ready: &ready,
            may_move: self.reaches_store(h),
            loads: &mut self.loads,
        };
        self.hosts[h].keeper.poll(now, &mut actions);
        self.hosts[h].keeper.plan(now, &mut standing, &mut actions);
        for action in actions {
            self.carry_out(h, action, now);
        }
    }

    fn ready(&self) -> Vec<UpstreamView> {
        let leaves = |u| self.has(|f| matches!(f, Fault::UpstreamLeaves(l) if l == u));
        let listed = self.upstreams.iter().enumerate();
        listed
            .filter(|(u, up)| up.is_up && !leaves(*u))
            .map(|(_, up)| UpstreamView {
                id: up.id.clone(),
                slots: 4,
                service: 0.1,
                most_pieces: None,
            })
            .collect()
    }

    fn read(&mut self, h: usize, now: Timestamp) {
        let due = now.since(self.hosts[h].read_at) >= READ_EVERY;
        if !due || !self.reaches_store(h) {
            return;
        }
        let host = &mut self.hosts[h];
        host.read_at = now;
        if let Some((row, revision)) = &self.store {
            host.keeper.take(now, row.clone(), *revision);
        }
        host.keeper.read(now);
        let clock = StoreClock {
            asked: now,
            answered: now,
            reads: self.now,
        };
        host.keeper.clock_read(now, clock);
    }

    fn tell_replaced(&mut self, h: usize) {
        let keeper = &self.hosts[h].keeper;
        if !keeper.is_granter() {
            return;
        }
        let revision = keeper.named_at();
        let index = |e: &Earlier| {
            let mut hosts = self.hosts.iter();
            hosts.position(|o| o.run.host == e.run.host)
        };
        let earlier = keeper.earlier().iter().filter_map(index);
        let told: Vec<usize> = earlier.filter(|&o| self.hear_each_other(h, o)).collect();
        for host in told {
            let is_told =
                !self.has(|f| matches!(f, Fault::NobodyTold)) && self.rng.random_bool(0.3);
            let replaced = is_told.then_some(revision);
            let by = h;
            self.send(WAY, Delivery::Beat { host, by, replaced });
        }
    }

    fn hear_each_other(&self, a: usize, b: usize) -> bool {
        !self.has(|f| matches!(f, Fault::HostsApart(x, y) if (x, y) == (a, b) || (x, y) == (b, a)))
    }

    fn take_over(
        &mut self,
        h: usize,
        now: Timestamp,
        ready: &[UpstreamView],
        actions: &mut Vec<Action>,
    ) {
        let host = &self.hosts[h];
        let Some(row) = host.keeper.row() else {
            if host.read_at > Timestamp::ZERO && self.store.is_none() {
                self.hosts[h]
                    .keeper
                    .take_over(now, true, Part::WHOLE, ready, actions);
            }
            return;
        };
        let granter = row.granter.clone();
        let newest = self.hosts.iter().find(|o| o.run.host == granter.host);
        let is_over = newest.is_some_and(|o| o.run.incarnation > granter.incarnation);
        let begins =
            |t: &Trouble| matches!(t.fault, Fault::TakeOver(o) if o == h) && t.covers(self.now);
        let forced = self.troubles.iter().any(begins);
        if is_over || forced {
            self.hosts[h]
                .keeper
                .take_over(now, is_over, Part::WHOLE, ready, actions);
        }
    }

    fn carry_out(&mut self, h: usize, action: Action, now: Timestamp) {
        let incarnation = self.hosts[h].run.incarnation;
        match action {
            Action::Call(call) => {
                self.tally.orders += 1;
                self.call(h, incarnation, call, now);
            }
            Action::Commit { row, expected } => {
                self.tally.commits += 1;
                let lost =
                    self.has(|f| matches!(f, Fault::LostCommits)) && self.rng.random_bool(0.5);
                if !self.reaches_store(h) {
                    let end = CommitEnd::Unknown;
                    self.send(
                        CALL_TIMEOUT,
                        Delivery::CommitEnd {
                            host: h,
                            incarnation,
                            end,
                        },
                    );
                    return;
                }
                let late = if lost {
                    Duration::from_millis(self.rng.random_range(0..3_000))
                } else {
                    Duration::ZERO
                };
                let commit = Delivery::Commit {
                    host: h,
                    incarnation,
                    row,
                    expected,
                    answers: !lost,
                };
                self.send(WAY + late, commit);
                if lost {
                    let end = CommitEnd::Unknown;
                    self.send(
                        CALL_TIMEOUT,
                        Delivery::CommitEnd {
                            host: h,
                            incarnation,
                            end,
                        },
                    );
                }
            }
        }
    }

    fn call(&mut self, h: usize, incarnation: Incarnation, call: OrderCall, now: Timestamp) {
        let id = call.id;
        let unsent = |maybe_sent| Delivery::OrderEnd {
            host: h,
            incarnation,
            id,
            end: CallEnd::NoAnswer { maybe_sent },
        };
        let at = call.upstream.as_str();
        let index = at[1..].split('.').next().and_then(|n| n.parse().ok());
        let upstream: usize = index.expect("names hold the index");
        if !self.reaches(h, upstream) || !self.upstreams[upstream].is_up {
            self.send(CALL_TIMEOUT, unsent(false));
            return;
        }
        if let Some(over) = self.held_until(upstream) {
            let after = (over + HELD_FOR).saturating_sub(self.now);
            let order = Delivery::Order {
                host: h,
                incarnation,
                upstream,
                call,
                arrived: now + after,
                answers: false,
            };
            self.send(after, order);
            self.send(CALL_TIMEOUT, unsent(true));
            return;
        }
        let late = self.has(|f| matches!(f, Fault::LateOrders)) && self.rng.random_bool(0.5);
        let delay = if late {
            Duration::from_millis(self.rng.random_range(2_000..12_000))
        } else {
            Duration::ZERO
        };
        // Opening a connection may take a while; a grant that is older then does not leave.
        let opening = match self.talk {
            Talk::Yes => Duration::from_millis(self.rng.random_range(0..200)),
            Talk::No => Duration::ZERO,
        };
        let order = Delivery::Order {
            host: h,
            incarnation,
            upstream,
            call,
            arrived: now + opening + WAY,
            answers: !late,
        };
        self.send(opening + WAY + delay, order);
        if late {
            self.send(CALL_TIMEOUT, unsent(true));
        }
    }

    /// Returns when the network delivers again to an upstream, if it holds what is sent there.
    fn held_until(&self, upstream: usize) -> Option<Duration> {
        let holds = |t: &&Trouble| {
            t.covers(self.now) && matches!(t.fault, Fault::NetworkHolds(u) if u == upstream)
        };
        let over = self.troubles.iter().filter(holds).map(|t| t.at + t.lasts);
        over.max()
    }

    fn send(&mut self, after: Duration, delivery: Delivery) {
        self.deliveries.push_back((self.now + after, delivery));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.deliveries = rest;
        for (_, delivery) in due {
            self.arrive(delivery);
        }
    }

    fn arrive(&mut self, delivery: Delivery) {
        let now = Self::at(self.now);
        match delivery {
            Delivery::Order {
                host,
                incarnation,
                upstream,
                call,
                arrived,
                answers,
            } => {
                if self.reset.contains(&(host, incarnation, call.id)) {
                    return;
                }
                let up = &mut self.upstreams[upstream];
                let end = if up.id == call.upstream {
                    up.carry_out(&call, arrived, now)
                } else {
                    CallEnd::Gone
                };
                if answers {
                    let id = call.id;
                    let end = Delivery::OrderEnd {
                        host,
                        incarnation,
                        id,
                        end,
                    };
                    self.send(WAY, end);
                }
            }
            Delivery::Commit {
                host,
                incarnation,
                row,
                expected,
                answers,
            } => {
                let end = self.commit(row, expected);
                if answers {
                    let end = Delivery::CommitEnd {
                        host,
                        incarnation,
                        end,
                    };
                    self.send(WAY, end);
                }
            }
            // A host that stands still takes its answers when it goes on.
            other @ (Delivery::OrderEnd { host, .. }
            | Delivery::CommitEnd { host, .. }
            | Delivery::Beat { host, .. }
            | Delivery::Knows { host, .. })
                if self.paused(host) =>
            {
                self.send(STEP, other);
            }
            Delivery::OrderEnd {
                host,
                incarnation,
                id,
                end,
            } => {
                if self.hosts[host].run.incarnation != incarnation {
                    return;
                }
                if matches!(end, CallEnd::NoAnswer { .. }) {
                    self.reset.insert((host, incarnation, id));
                }
                self.hosts[host].keeper.call_ended(now, id, &end);
            }
            Delivery::CommitEnd {
                host,
                incarnation,
                end,
            } => {
                let host = &mut self.hosts[host];
                if host.run.incarnation == incarnation {
                    host.keeper.commit_ended(now, end);
                }
            }
            Delivery::Beat { host, by, replaced } => {
                let told = &mut self.hosts[host];
                if let Some(revision) = replaced {
                    told.keeper.replaced(revision);
                }
                let answer = Delivery::Knows {
                    host: by,
                    run: told.run.clone(),
                    revision: told.keeper.knows(),
                };
                if self.hear_each_other(host, by) {
                    self.send(WAY, answer);
                }
            }
            Delivery::Knows {
                host,
                run,
                revision,
            } => self.hosts[host].keeper.heard(now, &run, revision),
        }
    }

    fn commit(&mut self, row: EntryRow, expected: Option<Revision>) -> CommitEnd {
        let present = self.store.as_ref().map(|(_, revision)| *revision);
        if present != expected {
            return CommitEnd::Conflict(self.store.clone());
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.store = Some((row, revision));
        CommitEnd::Done(revision)
    }

    fn check(&mut self) -> Result<(), String> {
        let now = Self::at(self.now);
        for probe in 0..PROBES {
            let holds = |u: &&Upstream| u.is_up && now < u.held_until[probe];
            let holder = self.upstreams.iter().position(|u| holds(&u));
            self.tally.note(probe, holder);
            let holders: Vec<&Upstream> = self.upstreams.iter().filter(holds).collect();
            if holders.len() > 1 {
                let names: HashMap<_, _> = holders.iter().map(|u| (&u.id, u.seen[probe])).collect();
                return Err(format!(
                    "{:?}: key {} is held by {names:?}",
                    self.now,
                    key(probe)
                ));
            }
        }
        Ok(())
    }

    /// Returns how many of the keys that are looked at nobody holds.
    pub fn unserved(&self) -> usize {
        let now = Self::at(self.now);
        let is_held = |probe: &usize| {
            let holds = |u: &Upstream| u.is_up && now < u.held_until[*probe];
            self.upstreams.iter().any(holds)
        };
        (0..PROBES).filter(|p| !is_held(p)).count()
    }

    /// Returns how many upstreams that are up hold a key.
    pub fn holders(&self) -> usize {
        let now = Self::at(self.now);
        let holds = |u: &&Upstream| u.is_up && u.held_until.iter().any(|&until| now < until);
        self.upstreams.iter().filter(holds).count()
    }
}
