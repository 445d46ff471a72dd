//! Simulation of hosts, a store and upstreams in virtual time, with a lease manager at each host.
//!
//! The simulated upstreams follow the protocol: a grant is valid from its arrival, a grant under a
//! lower fencing token than was seen for a key is refused, and a release is never refused. Calls
//! may lose their answer, and may be carried out seconds after that.

mod fault;
mod store;
mod tally;
mod upstream;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use assign::{
    Action, AssignSettings, CallKind, CommitOutcome, FencingToken, GrantCall, GrantCallOutcome,
    HostIncarnation, KeyLoads, LeaseContext, Partition, PartitionLeaseManager, PlannedUpstream,
    Planner, PreviousGranter, StoreClock,
};
use ids::{HostId, Incarnation, Revision, StoreEra, Timestamp, UpstreamId};
use rand::Rng as _;
use rand::rngs::StdRng;

pub use self::fault::{Fault, ScheduledFault};
use self::store::{SimulatedStore, StoreCommit};
use self::tally::Tally;
use self::upstream::{Upstream, key};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(20);
/// Number of keys that are checked.
const PROBES: usize = 48;
/// Transmission delay of a message.
const ONE_WAY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after a fault until the network delivers what it held: the sender's operating system
/// retransmits less and less often.
const REDELIVERY_DELAY: Duration = Duration::from_millis(850);
/// Time between reads of the store.
const READ_EVERY: Duration = Duration::from_millis(900);
/// Age of a granting host's last read at which others replace it.
const MAX_READ_AGE: Duration = Duration::from_millis(2_500);

#[derive(Debug)]
struct Host {
    id: HostIncarnation,
    manager: PartitionLeaseManager,
    read_at: Timestamp,
    /// The latest era that it has read.
    era: Option<StoreEra>,
}

#[derive(Debug)]
enum Delivery {
    Call {
        host: usize,
        incarnation: Incarnation,
        upstream: usize,
        call: GrantCall,
        arrived: Timestamp,
        answers: bool,
    },
    CallOutcome {
        host: usize,
        incarnation: Incarnation,
        id: u64,
        outcome: GrantCallOutcome,
    },
    Commit {
        host: usize,
        incarnation: Incarnation,
        commit: StoreCommit,
        answers: bool,
    },
    CommitOutcome {
        host: usize,
        incarnation: Incarnation,
        outcome: CommitOutcome,
    },
    /// A heartbeat of a granting host to a previous one, which may inform it that it was replaced.
    Heartbeat {
        host: usize,
        by: usize,
        replaced: Option<Revision>,
    },
    /// A host reports to the granting host from which revision on it may grant.
    Confirmation {
        host: usize,
        id: HostId,
        revision: Revision,
    },
    /// The previous one replies with the revision from which on it may grant.
    HeartbeatReply {
        host: usize,
        id: HostIncarnation,
        revision: Revision,
    },
}

/// Whether hosts send heartbeats to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heartbeats {
    /// A granting host informs previous ones that they were replaced.
    On,
    /// Each host learns of changes only from the store.
    Off,
}

/// The simulation.
#[derive(Debug)]
pub struct Simulation {
    now: Duration,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    upstream_incarnations: Vec<u32>,
    store: SimulatedStore,
    faults: Vec<ScheduledFault>,
    deliveries: VecDeque<(Duration, Delivery)>,
    loads: KeyLoads,
    rng: StdRng,
    cfg: AssignSettings,
    heartbeats: Heartbeats,
    tally: Tally,
    /// The highest fencing token under which each checked key was granted, and to which upstream.
    granted: Vec<(FencingToken, UpstreamId)>,
    violation: Option<String>,
    /// Calls whose connections were reset before the network delivered them.
    reset_calls: HashSet<(usize, Incarnation, u64)>,
}

impl Simulation {
    /// Creates a simulation without owners.
    pub fn new(
        hosts: usize,
        upstreams: usize,
        faults: Vec<ScheduledFault>,
        rng: StdRng,
        heartbeats: Heartbeats,
    ) -> Self {
        let cfg = AssignSettings::default();
        Self::with_settings(hosts, upstreams, faults, rng, heartbeats, cfg)
    }

    /// Creates a simulation with other timeouts.
    pub fn with_settings(
        hosts: usize,
        upstreams: usize,
        faults: Vec<ScheduledFault>,
        rng: StdRng,
        heartbeats: Heartbeats,
        cfg: AssignSettings,
    ) -> Self {
        let host = |i| Self::host(i, 1, cfg);
        Self {
            now: Duration::ZERO,
            hosts: (0..hosts).map(host).collect(),
            upstreams: (0..upstreams).map(|i| Upstream::new(i, 1)).collect(),
            upstream_incarnations: vec![1; upstreams],
            store: SimulatedStore::default(),
            faults,
            deliveries: VecDeque::new(),
            loads: KeyLoads::new(Timestamp::ZERO),
            rng,
            cfg,
            heartbeats,
            tally: Tally::default(),
            granted: Vec::new(),
            violation: None,
            reset_calls: HashSet::new(),
        }
    }

    /// Returns the costs counted so far.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Resets the counted costs.
    pub fn reset_tally(&mut self) {
        self.tally = Tally::default();
    }

    fn host(index: usize, incarnation: u64, cfg: AssignSettings) -> Host {
        let id = HostIncarnation {
            host: HostId::new(format!("h{index}")).expect("a valid name"),
            incarnation: Incarnation(incarnation),
        };
        Host {
            manager: PartitionLeaseManager::new(id.clone(), cfg, Planner::default()),
            id,
            read_at: Timestamp::ZERO,
            era: None,
        }
    }

    fn at(now: Duration) -> Timestamp {
        // Timestamp zero means "never".
        Timestamp::from_millis(1_000) + now
    }

    fn is_active(&self, matches: impl Fn(Fault) -> bool) -> bool {
        let now = self.now;
        self.faults
            .iter()
            .any(|t| t.is_active_at(now) && matches(t.fault))
    }

    fn is_paused(&self, host: usize) -> bool {
        self.is_active(|f| matches!(f, Fault::HostPaused(h) if h == host))
    }

    fn reaches_store(&self, host: usize) -> bool {
        !self.is_active(|f| match f {
            Fault::StoreDown | Fault::StoreReturnsFromCopy(_) => true,
            Fault::HostWithoutStore(h) => h == host,
            _ => false,
        })
    }

    fn reaches(&self, host: usize, upstream: usize) -> bool {
        !self.is_active(
            |f| matches!(f, Fault::HostWithoutUpstream(h, u) if h == host && u == upstream),
        )
    }

    /// Runs until `end`, and checks ownership after each step.
    ///
    /// # Errors
    ///
    /// Fails if two upstreams that are up hold the same key.
    pub fn run(&mut self, end: Duration) -> Result<(), String> {
        while self.now < end {
            self.now += STEP;
            self.apply_faults();
            self.deliver();
            for host in 0..self.hosts.len() {
                if !self.is_paused(host) {
                    self.step_host(host);
                }
            }
            self.check()?;
        }
        Ok(())
    }

    fn apply_faults(&mut self) {
        let now = self.now;
        let begins = |t: &&ScheduledFault| t.at <= now && now < t.at + STEP;
        let ends = |t: &&ScheduledFault| t.at + t.lasts <= now && now < t.at + t.lasts + STEP;
        let begun: Vec<ScheduledFault> = self.faults.iter().filter(begins).copied().collect();
        let ended: Vec<ScheduledFault> = self.faults.iter().filter(ends).copied().collect();
        for scheduled_fault in begun {
            match scheduled_fault.fault {
                Fault::HostRestarts(h) => {
                    let incarnation = self.hosts[h].id.incarnation.0 + 1;
                    self.hosts[h] = Self::host(h, incarnation, self.cfg);
                }
                Fault::UpstreamDown(u) => self.upstreams[u].is_up = false,
                _ => {}
            }
        }
        for scheduled_fault in ended {
            match scheduled_fault.fault {
                Fault::UpstreamDown(u) => {
                    self.upstream_incarnations[u] += 1;
                    self.upstreams[u] = Upstream::new(u, self.upstream_incarnations[u]);
                }
                Fault::StoreReturnsFromCopy(age) => {
                    self.return_from_copy(scheduled_fault.at.saturating_sub(age));
                }
                _ => {}
            }
        }
    }

    /// Lets the store return from the copy that was made at `at`. Some commits of the lost history
    /// arrive once more, seconds later.
    fn return_from_copy(&mut self, at: Duration) {
        for commit in self.store.return_from_copy(at) {
            if !self.rng.random_bool(0.5) {
                continue;
            }
            let after = Duration::from_millis(self.rng.random_range(0..6_000));
            let delivery = Delivery::Commit {
                host: 0,
                incarnation: Incarnation(0),
                commit,
                answers: false,
            };
            self.send(after, delivery);
        }
    }

    fn step_host(&mut self, h: usize) {
        let now = Self::at(self.now);
        let ready = self.ready();
        self.read(h, now);
        if self.heartbeats == Heartbeats::On {
            self.send_heartbeats(h);
        }
        let mut actions = Vec::new();
        self.take_over(h, now, &ready, &mut actions);
        let mut ctx = LeaseContext {
            ready: &ready,
            may_move: self.reaches_store(h),
            loads: &mut self.loads,
        };
        self.hosts[h].manager.poll(now, &mut actions);
        self.hosts[h].manager.plan(now, &mut ctx, &mut actions);
        for action in actions {
            self.execute(h, action, now);
        }
    }

    fn ready(&self) -> Vec<PlannedUpstream> {
        let drains = |u| self.is_active(|f| matches!(f, Fault::UpstreamDrains(l) if l == u));
        let listed = self.upstreams.iter().enumerate();
        listed
            .filter(|(u, up)| up.is_up && !drains(*u))
            .map(|(_, up)| PlannedUpstream {
                id: up.id.clone(),
                slots: 4,
                service_time: 0.1,
                is_observed: true,
                max_ranges: None,
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
        let era = self.store.era;
        // A host that restarts may have missed a return of the store.
        let restarted = host.id.incarnation > Incarnation(1);
        let may_follow_another = restarted || host.era.is_some_and(|known| known < era);
        host.era = Some(era);
        host.manager.begin_era(now, era, may_follow_another);
        let known = host.manager.row().is_some();
        let latest = || self.store.latest_row().filter(|_| !known);
        if let Some((row, revision)) = self.store.row().or_else(latest) {
            host.manager.apply_row(now, row.clone(), *revision);
        }
        host.manager.record_read(now, era);
        let clock = StoreClock {
            era,
            requested_at: now,
            answered_at: now,
            store_time: self.now,
        };
        host.manager.record_clock(now, clock);
    }

    fn send_heartbeats(&mut self, h: usize) {
        self.send_confirmation(h);
        let manager = &self.hosts[h].manager;
        if !manager.is_granter() {
            return;
        }
        let revision = manager.granting_revision();
        let index = |e: &PreviousGranter| {
            let mut hosts = self.hosts.iter();
            hosts.position(|o| o.id.host == e.granter.host)
        };
        let previous = manager.previous_granters().iter().filter_map(index);
        let recipients: Vec<usize> = previous.filter(|&o| self.are_connected(h, o)).collect();
        for host in recipients {
            let is_informed = !self.is_active(|f| matches!(f, Fault::ReplacementNotSent))
                && self.rng.random_bool(0.3);
            let replaced = is_informed.then_some(revision);
            let by = h;
            self.send(ONE_WAY_DELAY, Delivery::Heartbeat { host, by, replaced });
        }
    }

    /// Reports to the granting host that `h` knows, which waits for all hosts to do so.
    fn send_confirmation(&mut self, h: usize) {
        let host = &self.hosts[h];
        let Some(row) = host.manager.row() else {
            return;
        };
        let granter = &row.granter.host;
        let Some(to) = self.hosts.iter().position(|o| o.id.host == *granter) else {
            return;
        };
        let confirmation = Delivery::Confirmation {
            host: to,
            id: host.id.host.clone(),
            revision: host.manager.grants_from(),
        };
        if to != h && self.are_connected(h, to) && self.rng.random_bool(0.1) {
            self.send(ONE_WAY_DELAY, confirmation);
        }
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        !self.is_active(
            |f| matches!(f, Fault::HostsDisconnected(x, y) if (x, y) == (a, b) || (x, y) == (b, a)),
        )
    }

    fn take_over(
        &mut self,
        h: usize,
        now: Timestamp,
        ready: &[PlannedUpstream],
        actions: &mut Vec<Action>,
    ) {
        let host = &self.hosts[h];
        let Some(row) = host.manager.row() else {
            if host.read_at > Timestamp::ZERO && self.store.is_empty() {
                self.hosts[h]
                    .manager
                    .take_over(now, true, Partition::WHOLE, ready, actions);
            }
            return;
        };
        let granter = row.granter.clone();
        let newest = self.hosts.iter().find(|o| o.id.host == granter.host);
        let has_ended = newest.is_some_and(|o| o.id.incarnation > granter.incarnation);
        let begins = |t: &ScheduledFault| {
            matches!(t.fault, Fault::Takeover(o) if o == h) && t.is_active_at(self.now)
        };
        let forced = self.faults.iter().any(begins);
        // A granting host of an earlier era that does not write its row of this one reports that it
        // can't read the store.
        let cannot_read = host.manager.is_row_of_past_era()
            && newest.is_some_and(|o| o.manager.read_age(now) > Some(MAX_READ_AGE));
        if has_ended || forced || cannot_read {
            self.hosts[h]
                .manager
                .take_over(now, has_ended, Partition::WHOLE, ready, actions);
        }
    }

    fn execute(&mut self, h: usize, action: Action, now: Timestamp) {
        let incarnation = self.hosts[h].id.incarnation;
        match action {
            Action::Call(call) => {
                self.tally.calls += 1;
                self.call(h, incarnation, call, now);
            }
            Action::Commit { row, expected, era } => {
                self.tally.commits += 1;
                let lost = self.is_active(|f| matches!(f, Fault::CommitAnswersLost))
                    && self.rng.random_bool(0.5);
                if !self.reaches_store(h) {
                    let outcome = CommitOutcome::Unknown;
                    self.send(
                        CALL_TIMEOUT,
                        Delivery::CommitOutcome {
                            host: h,
                            incarnation,
                            outcome,
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
                    commit: StoreCommit { row, expected, era },
                    answers: !lost,
                };
                self.send(ONE_WAY_DELAY + late, commit);
                if lost {
                    let outcome = CommitOutcome::Unknown;
                    self.send(
                        CALL_TIMEOUT,
                        Delivery::CommitOutcome {
                            host: h,
                            incarnation,
                            outcome,
                        },
                    );
                }
            }
        }
    }

    fn call(&mut self, h: usize, incarnation: Incarnation, call: GrantCall, now: Timestamp) {
        let id = call.id;
        let no_answer = |maybe_sent| Delivery::CallOutcome {
            host: h,
            incarnation,
            id,
            outcome: GrantCallOutcome::NoAnswer { maybe_sent },
        };
        let at = call.upstream.as_str();
        let index = at[1..].split('.').next().and_then(|n| n.parse().ok());
        let upstream: usize = index.expect("names hold the index");
        if !self.reaches(h, upstream) || !self.upstreams[upstream].is_up {
            self.send(CALL_TIMEOUT, no_answer(false));
            return;
        }
        if let Some(end) = self.held_until(upstream) {
            let after = (end + REDELIVERY_DELAY).saturating_sub(self.now);
            let delivery = Delivery::Call {
                host: h,
                incarnation,
                upstream,
                call,
                arrived: now + after,
                answers: false,
            };
            self.send(after, delivery);
            self.send(CALL_TIMEOUT, no_answer(true));
            return;
        }
        let late = self.is_active(|f| matches!(f, Fault::LateCalls)) && self.rng.random_bool(0.5);
        let delay = if late {
            Duration::from_millis(self.rng.random_range(2_000..12_000))
        } else {
            Duration::ZERO
        };
        // Opening a connection may take some time; a grant that is older by then is not sent.
        let opening = match self.heartbeats {
            Heartbeats::On => Duration::from_millis(self.rng.random_range(0..200)),
            Heartbeats::Off => Duration::ZERO,
        };
        let delivery = Delivery::Call {
            host: h,
            incarnation,
            upstream,
            call,
            arrived: now + opening + ONE_WAY_DELAY,
            answers: !late,
        };
        self.send(opening + ONE_WAY_DELAY + delay, delivery);
        if late {
            self.send(CALL_TIMEOUT, no_answer(true));
        }
    }

    /// Returns when the network delivers again to an upstream, if it holds what is sent to it.
    fn held_until(&self, upstream: usize) -> Option<Duration> {
        let holds = |t: &&ScheduledFault| {
            t.is_active_at(self.now) && matches!(t.fault, Fault::NetworkHolds(u) if u == upstream)
        };
        let ends = self.faults.iter().filter(holds).map(|t| t.at + t.lasts);
        ends.max()
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
            self.handle(delivery);
        }
    }

    fn handle(&mut self, delivery: Delivery) {
        let now = Self::at(self.now);
        match delivery {
            Delivery::Call {
                host,
                incarnation,
                upstream,
                call,
                arrived,
                answers,
            } => {
                if self.reset_calls.contains(&(host, incarnation, call.id)) {
                    return;
                }
                let outcome = self.execute_call(upstream, &call, arrived);
                if answers {
                    let id = call.id;
                    let outcome = Delivery::CallOutcome {
                        host,
                        incarnation,
                        id,
                        outcome,
                    };
                    self.send(ONE_WAY_DELAY, outcome);
                }
            }
            Delivery::Commit {
                host,
                incarnation,
                commit,
                answers,
            } => {
                let outcome = self.store.commit(self.now, commit);
                if answers {
                    let outcome = Delivery::CommitOutcome {
                        host,
                        incarnation,
                        outcome,
                    };
                    self.send(ONE_WAY_DELAY, outcome);
                }
            }
            // A paused host handles its answers when it resumes.
            other @ (Delivery::CallOutcome { host, .. }
            | Delivery::CommitOutcome { host, .. }
            | Delivery::Heartbeat { host, .. }
            | Delivery::Confirmation { host, .. }
            | Delivery::HeartbeatReply { host, .. })
                if self.is_paused(host) =>
            {
                self.send(STEP, other);
            }
            Delivery::CallOutcome {
                host,
                incarnation,
                id,
                outcome,
            } => {
                if self.hosts[host].id.incarnation != incarnation {
                    return;
                }
                if matches!(outcome, GrantCallOutcome::NoAnswer { .. }) {
                    self.reset_calls.insert((host, incarnation, id));
                }
                self.hosts[host].manager.call_ended(now, id, &outcome);
            }
            Delivery::CommitOutcome {
                host,
                incarnation,
                outcome,
            } => {
                let host = &mut self.hosts[host];
                if host.id.incarnation == incarnation {
                    host.manager.commit_ended(now, outcome);
                }
            }
            Delivery::Heartbeat { host, by, replaced } => {
                let recipient = &mut self.hosts[host];
                if let Some(revision) = replaced {
                    recipient.manager.mark_replaced(revision);
                }
                let reply = Delivery::HeartbeatReply {
                    host: by,
                    id: recipient.id.clone(),
                    revision: recipient.manager.grants_from(),
                };
                if self.are_connected(host, by) {
                    self.send(ONE_WAY_DELAY, reply);
                }
            }
            Delivery::Confirmation { host, id, revision } => {
                self.confirm(host, &id, revision);
            }
            Delivery::HeartbeatReply { host, id, revision } => self.hosts[host]
                .manager
                .granter_reported(now, &id, revision),
        }
    }

    /// Executes a call at an upstream.
    fn execute_call(
        &mut self,
        upstream: usize,
        call: &GrantCall,
        arrived: Timestamp,
    ) -> GrantCallOutcome {
        let now = Self::at(self.now);
        let up = &mut self.upstreams[upstream];
        if up.id != call.upstream {
            return GrantCallOutcome::Gone;
        }
        let outcome = up.execute(call, arrived, now);
        let is_grant = matches!(call.kind, CallKind::Grant { .. });
        if is_grant && matches!(outcome, GrantCallOutcome::Done { .. }) {
            self.record_grant(call, &call.upstream, arrived);
        }
        outcome
    }

    /// Records a grant, which must have a higher token than those of all other upstreams on its keys
    /// unless it expired on its way.
    fn record_grant(&mut self, call: &GrantCall, upstream: &UpstreamId, arrived: Timestamp) {
        let none = || (FencingToken::default(), upstream.clone());
        self.granted.resize_with(PROBES, none);
        let has_expired = Self::at(self.now).since(arrived) >= self.cfg.grant_ttl;
        for probe in (0..PROBES).filter(|&i| call.range.contains(key(i))) {
            let (highest, owner) = &mut self.granted[probe];
            let is_low = call.token <= *highest && owner != upstream;
            if is_low && !has_expired {
                self.violation = Some(format!(
                    "key {}: {upstream} is granted it under {}, after {owner} under {highest}",
                    key(probe),
                    call.token
                ));
            }
            if call.token > *highest {
                (*highest, *owner) = (call.token, upstream.clone());
            }
        }
    }

    fn confirm(&mut self, host: usize, by: &HostId, revision: Revision) {
        let ids: Vec<HostId> = self.hosts.iter().map(|h| h.id.host.clone()).collect();
        let manager = &mut self.hosts[host].manager;
        manager.host_confirmed(by, revision);
        let mut others = ids.iter().enumerate().filter(|(i, _)| *i != host);
        if manager.needs_confirmations() && others.all(|(_, id)| manager.has_confirmed(id)) {
            manager.all_confirmed(Self::at(self.now));
        }
    }

    fn check(&mut self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(format!("{:?}: {violation}", self.now));
        }
        let now = Self::at(self.now);
        for probe in 0..PROBES {
            let holds = |u: &&Upstream| u.is_up && now < u.held_until[probe];
            let holder = self.upstreams.iter().position(|u| holds(&u));
            self.tally.record(probe, holder);
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

    /// Returns how many of the checked keys have no holder.
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
