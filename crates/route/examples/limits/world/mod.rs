//! Discrete-event simulation of hosts, upstreams and callers with virtual time, around the real
//! decision code.

pub mod config;
pub mod declare;
pub mod stats;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use ids::{Epoch, KeyHash, Outcome, Reason, RequestId, Timestamp, UpstreamId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use route::{
    Action, Arrival, AttemptEnd, BudgetSettings, CallEnd, CallKey, Dispatcher, EntryKey, Event,
    Picker, PickerSettings, Ready, RetryBudget, RetryDecision, RetrySettings, RetryState, Router,
    Target, UpstreamKey, UpstreamLimits,
};

pub use config::{Config, Design, Keys, OverflowPolicy, Phase, Reports};
use declare::{coordinator, declare, domain_id, entry_id, upstream_id};
pub use stats::PhaseStats;

/// Slices of the entry that is divided by key.
const SLICES: u32 = 1_000;

/// Number of keys that callers request.
const KEYS: u64 = 10_000;

/// One-way latency within a domain in microseconds, including a host's processing of the request.
const HOP_US: u64 = 100;

/// A caller's request.
#[derive(Debug)]
struct Request {
    start: u64,
    phase: usize,
    host: usize,
    key: Option<KeyHash>,
    deadline_ms: u64,
    caller_retries: u32,
    tried_upstreams: Vec<UpstreamKey>,
    retry_state: Option<RetryState<Ready>>,
}

/// One attempt of a request.
#[derive(Debug, Clone, Copy)]
struct SimCall {
    request: usize,
    target: Target,
    /// Host whose dispatcher sends it.
    sender: usize,
    /// State of the request at the upstream.
    run: Run,
    /// Whether its end was sent to the host or has arrived there.
    ended: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Run {
    /// Not arrived yet.
    NotArrived,
    /// It waits for a slot.
    Waiting,
    /// It has been running since this time.
    Running(u64),
    /// It was cancelled but keeps running since this time.
    Orphaned(u64),
    /// It ended.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    NewRequest,
    Route(usize),
    ReachHost(CallKey),
    ReachUpstream(CallKey),
    EndRun(CallKey),
    Finished(CallKey, Option<Reason>),
    Reply(CallKey, Option<Reason>, u64, u32),
    Wake(usize),
    Report,
}

struct Host {
    dispatcher: Dispatcher,
    budget: RetryBudget,
    picker: Picker,
    domain: usize,
    wake: u64,
}

struct SimUpstream {
    name: UpstreamId,
    domain: usize,
    coordinator: usize,
    running: u32,
    waiting: VecDeque<CallKey>,
}

/// The simulation.
pub struct Simulation {
    cfg: Config,
    rng: StdRng,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    router: Router,
    entry: EntryKey,
    hosts: Vec<Host>,
    upstreams: Vec<SimUpstream>,
    requests: Vec<Request>,
    sim_calls: Vec<SimCall>,
    service: LogNormal<f64>,
    zipf: Zipf<f64>,
    stats: Vec<PhaseStats>,
    phase_starts: Vec<u64>,
    actions: Vec<Action>,
}

impl Simulation {
    /// Runs a case and returns the results of each phase.
    pub fn run(cfg: Config) -> Vec<PhaseStats> {
        let mut simulation = Self::new(cfg);
        simulation.schedule_at(0, SimEvent::NewRequest);
        simulation.schedule_at(0, SimEvent::Report);
        while let Some(Reverse((now, _, event))) = simulation.events.pop() {
            simulation.now = now;
            simulation.handle(event);
        }
        simulation.stats
    }

    fn new(cfg: Config) -> Self {
        let (catalogue, ownership) = declare(&cfg);
        let router = Router::build(&Router::default(), &catalogue, &ownership);
        let entry = router
            .entry_key(&entry_id())
            .expect("the entry is declared");
        let mut phase_starts = vec![0];
        for phase in &cfg.phases {
            phase_starts.push(phase_starts[phase_starts.len() - 1] + phase.secs * 1_000_000);
        }
        let new_stats = |phase: &Phase| PhaseStats {
            latency: Some(Histogram::new(3).expect("three digits are allowed")),
            work_us: vec![0.0; cfg.upstreams],
            secs: phase.secs,
            ..PhaseStats::default()
        };
        let sigma = 0.6_f64;
        let mu = cfg.service_us.ln() - sigma * sigma / 2.0;
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(cfg.seed),
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            router,
            entry,
            hosts: Vec::new(),
            upstreams: Vec::new(),
            requests: Vec::new(),
            sim_calls: Vec::new(),
            service: LogNormal::new(mu, sigma).expect("finite"),
            zipf: Zipf::new(KEYS as f64, 1.1).expect("a valid exponent"),
            stats: cfg.phases.iter().map(new_stats).collect(),
            phase_starts,
            actions: Vec::new(),
            cfg,
        };
        simulation.add_upstreams();
        simulation.add_hosts();
        simulation
    }

    fn add_upstreams(&mut self) {
        for u in 0..self.cfg.upstreams {
            let domain = u % self.cfg.domains;
            self.upstreams.push(SimUpstream {
                name: upstream_id(u),
                domain,
                coordinator: coordinator(&self.cfg, u),
                running: 0,
                waiting: VecDeque::new(),
            });
        }
    }

    fn add_hosts(&mut self) {
        for h in 0..self.cfg.hosts {
            let mut host = Host {
                dispatcher: Dispatcher::new(self.cfg.dispatcher.clone()),
                budget: RetryBudget::new(BudgetSettings::default()),
                picker: Picker::new(PickerSettings {
                    seed: self.cfg.seed * 1_000 + h as u64,
                    domain: Some(domain_id(h % self.cfg.domains)),
                    ..PickerSettings::default()
                }),
                domain: h % self.cfg.domains,
                wake: u64::MAX,
            };
            for sim_upstream in &self.upstreams {
                let share = self.cfg.slots.div_ceil(self.cfg.hosts as u32);
                let slots = match self.cfg.design {
                    Design::Direct => share,
                    Design::Dispatcher if sim_upstream.coordinator == h => self.cfg.slots,
                    Design::Dispatcher => continue,
                };
                let divided = self.cfg.keys != Keys::None;
                for event in grant(sim_upstream, slots, self.cfg.queue, divided) {
                    host.dispatcher
                        .step(Timestamp::ZERO, event, &mut self.actions);
                }
            }
            self.hosts.push(host);
        }
    }

    fn schedule_at(&mut self, when: u64, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((when, self.sequence, event)));
    }

    fn schedule_after(&mut self, us: u64, event: SimEvent) {
        self.schedule_at(self.now + us, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::NewRequest => self.new_request(),
            SimEvent::Route(request) => self.route(request),
            SimEvent::ReachHost(call) => self.reach_host(call),
            SimEvent::ReachUpstream(call) => self.reach_upstream(call),
            SimEvent::EndRun(call) => self.end_run(call),
            SimEvent::Finished(call, reason) => {
                let end = match reason {
                    None => CallEnd::Answered { bytes: 100 },
                    Some(reason) => CallEnd::Failed(reason),
                };
                let host = self.sim_calls[call.0 as usize].sender;
                self.step(host, Event::Finished { call, end });
            }
            SimEvent::Reply(call, reason, after, load) => self.reply(call, reason, after, load),
            SimEvent::Wake(host) => {
                if self.hosts[host].wake == self.now {
                    self.hosts[host].wake = u64::MAX;
                    self.step(host, Event::Tick);
                }
            }
            SimEvent::Report => self.report(),
        }
    }

    /// Returns the phase that a time falls into.
    fn phase(&self, at: u64) -> Option<usize> {
        self.phase_starts[1..].iter().position(|&end| at < end)
    }

    fn new_request(&mut self) {
        let Some(phase) = self.phase(self.now) else {
            return;
        };
        let slots = f64::from(self.cfg.upstreams as u32 * self.cfg.true_slots);
        let rate = self.cfg.phases[phase].load * slots / self.cfg.service_us;
        let gap = Exp::new(rate)
            .expect("a positive rate")
            .sample(&mut self.rng);
        self.schedule_after(gap as u64, SimEvent::NewRequest);
        let key = match self.cfg.keys {
            Keys::None => None,
            Keys::Uniform => Some(self.rng.random_range(0..KEYS)),
            Keys::Zipf => Some(self.zipf.sample(&mut self.rng) as u64),
        };
        let pick = self.rng.random_range(0..self.cfg.deadlines_ms.len());
        let deadline_ms = self.cfg.deadlines_ms[pick];
        let key = key.map(|k| KeyHash::of(&k.to_le_bytes()));
        self.start_request(phase, key, deadline_ms, self.cfg.caller_retries);
    }

    fn start_request(
        &mut self,
        phase: usize,
        key: Option<KeyHash>,
        deadline_ms: u64,
        caller_retries: u32,
    ) {
        let host = self.rng.random_range(0..self.cfg.hosts);
        let now = Timestamp::from_micros(self.now);
        let deadline = now + Duration::from_millis(deadline_ms);
        self.hosts[host].budget.record_request(now);
        self.stats[phase].requests += 1;
        let settings = RetrySettings::default();
        self.requests.push(Request {
            start: self.now,
            phase,
            host,
            key,
            deadline_ms,
            caller_retries,
            tried_upstreams: Vec::new(),
            retry_state: Some(RetryState::new(settings, true, key.is_some(), deadline)),
        });
        self.route(self.requests.len() - 1);
    }

    fn route(&mut self, index: usize) {
        let now = Timestamp::from_micros(self.now);
        let request = &mut self.requests[index];
        let host = request.host;
        let target = if let Some(key) = request.key {
            self.router.owner(self.entry, key)
        } else {
            let picker = &mut self.hosts[host].picker;
            let upstream = picker.pick(now, &self.router, self.entry, &request.tried_upstreams);
            upstream.and_then(|u| self.router.target(u))
        };
        let target = target.expect("all keys have owners");
        request.tried_upstreams.push(target.upstream);
        let sim_upstream = &self.upstreams[index_of(target.upstream)];
        let sender = match self.cfg.design {
            Design::Direct => host,
            Design::Dispatcher => sim_upstream.coordinator,
        };
        let call = CallKey(self.sim_calls.len() as u64);
        self.sim_calls.push(SimCall {
            request: index,
            target,
            sender,
            run: Run::NotArrived,
            ended: false,
        });
        let latency = self.host_latency(host, sender);
        self.schedule_after(latency, SimEvent::ReachHost(call));
    }

    /// Returns the latency from one host to another.
    fn host_latency(&self, from: usize, to: usize) -> u64 {
        if from == to {
            return 0;
        }
        self.domain_latency(self.hosts[from].domain, self.hosts[to].domain)
    }

    fn domain_latency(&self, from: usize, to: usize) -> u64 {
        if from == to {
            return HOP_US;
        }
        HOP_US + self.cfg.domain_latency_us
    }

    fn reach_host(&mut self, call: CallKey) {
        let sim_call = self.sim_calls[call.0 as usize];
        let request = &self.requests[sim_call.request];
        let latency = self.host_latency(request.host, sim_call.sender);
        let deadline = request.start + request.deadline_ms * 1_000 - latency;
        let arrival = Arrival {
            call,
            upstream: self.upstreams[index_of(sim_call.target.upstream)]
                .name
                .clone(),
            slice: sim_call.target.slice,
            deadline: Timestamp::from_micros(deadline),
            total_time: Duration::from_millis(request.deadline_ms),
            key: None,
            idempotent: true,
            entry: entry_id(),
            request_id: RequestId::new(format!("c{}", call.0)).expect("a valid name"),
            fingerprint: 0,
        };
        self.step(sim_call.sender, Event::Arrive(arrival));
    }

    fn step(&mut self, host: usize, event: Event) {
        let now = Timestamp::from_micros(self.now);
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.hosts[host].dispatcher.step(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(host, &action);
        }
        self.actions = actions;
        let wake = self.hosts[host].dispatcher.next_wake(now).as_micros();
        if wake < self.hosts[host].wake {
            let wake = wake.max(self.now);
            self.hosts[host].wake = wake;
            self.schedule_at(wake, SimEvent::Wake(host));
        }
    }

    fn apply_action(&mut self, host: usize, action: &Action) {
        match *action {
            Action::Send { call, .. } => {
                let target = self.sim_calls[call.0 as usize].target;
                let domain = self.upstreams[index_of(target.upstream)].domain;
                let latency = self.domain_latency(self.hosts[host].domain, domain);
                self.schedule_after(latency, SimEvent::ReachUpstream(call));
            }
            Action::Answer { call, .. } => self.send_reply(host, call, None, 0),
            Action::Refuse {
                call,
                reason,
                retry_after,
            } => self.send_reply(host, call, Some(reason), retry_after.as_micros() as u64),
            Action::Abort { call } => self.abort(call),
            Action::Keep { .. } | Action::Discard { .. } | Action::Drained { .. } => {}
        }
    }

    fn send_reply(&mut self, host: usize, call: CallKey, reason: Option<Reason>, after: u64) {
        let sim_call = self.sim_calls[call.0 as usize];
        let sim_upstream = &self.upstreams[index_of(sim_call.target.upstream)];
        let load = self.hosts[host].dispatcher.load(&sim_upstream.name);
        let latency = self.host_latency(host, self.requests[sim_call.request].host);
        self.schedule_after(latency, SimEvent::Reply(call, reason, after, load));
    }

    fn abort(&mut self, call: CallKey) {
        self.finish(call, HOP_US, Some(Reason::CallerGone));
        let sim_call = &mut self.sim_calls[call.0 as usize];
        let sim_upstream = &mut self.upstreams[index_of(sim_call.target.upstream)];
        match sim_call.run {
            Run::Running(since) if self.cfg.honors_cancel => {
                sim_call.run = Run::Done;
                self.record_work(call, since);
                self.free_slot(call);
            }
            Run::Running(since) => sim_call.run = Run::Orphaned(since),
            Run::Waiting => {
                sim_call.run = Run::Done;
                sim_upstream.waiting.retain(|&c| c != call);
            }
            Run::NotArrived | Run::Orphaned(_) | Run::Done => sim_call.run = Run::Done,
        }
        let phase = self.phase_of(call);
        self.stats[phase].wasted += 1;
    }

    /// Reports a call's end to the sending host, once.
    fn finish(&mut self, call: CallKey, latency: u64, reason: Option<Reason>) {
        let ended = &mut self.sim_calls[call.0 as usize].ended;
        if !std::mem::replace(ended, true) {
            self.schedule_after(latency, SimEvent::Finished(call, reason));
        }
    }

    fn phase_of(&self, call: CallKey) -> usize {
        self.requests[self.sim_calls[call.0 as usize].request].phase
    }

    fn reach_upstream(&mut self, call: CallKey) {
        let sim_call = self.sim_calls[call.0 as usize];
        if sim_call.run != Run::NotArrived {
            return;
        }
        let sim_upstream = &mut self.upstreams[index_of(sim_call.target.upstream)];
        if sim_upstream.running < self.cfg.true_slots {
            self.begin(call);
            return;
        }
        if self.cfg.overflow == OverflowPolicy::Wait {
            sim_upstream.waiting.push_back(call);
            self.sim_calls[call.0 as usize].run = Run::Waiting;
            return;
        }
        self.sim_calls[call.0 as usize].run = Run::Done;
        let phase = self.phase_of(call);
        self.stats[phase].shed += 1;
        let latency = self.return_latency(call);
        self.finish(call, latency, Some(Reason::UpstreamShed));
    }

    /// Returns the latency from an upstream to the host that sent the call.
    fn return_latency(&self, call: CallKey) -> u64 {
        let sim_call = self.sim_calls[call.0 as usize];
        let sim_upstream = &self.upstreams[index_of(sim_call.target.upstream)];
        self.domain_latency(sim_upstream.domain, self.hosts[sim_call.sender].domain)
    }

    fn begin(&mut self, call: CallKey) {
        let sim_call = &mut self.sim_calls[call.0 as usize];
        sim_call.run = Run::Running(self.now);
        self.upstreams[index_of(sim_call.target.upstream)].running += 1;
        let span = self.service.sample(&mut self.rng) as u64;
        self.schedule_after(span, SimEvent::EndRun(call));
    }

    fn end_run(&mut self, call: CallKey) {
        let sim_call = &mut self.sim_calls[call.0 as usize];
        let before = std::mem::replace(&mut sim_call.run, Run::Done);
        match before {
            Run::Running(since) => {
                self.record_work(call, since);
                let latency = self.return_latency(call);
                self.finish(call, latency, None);
                self.free_slot(call);
            }
            Run::Orphaned(since) => {
                self.record_work(call, since);
                self.free_slot(call);
            }
            Run::NotArrived | Run::Waiting | Run::Done => {}
        }
    }

    fn record_work(&mut self, call: CallKey, since: u64) {
        let upstream = index_of(self.sim_calls[call.0 as usize].target.upstream);
        let phase = self.phase_of(call);
        self.stats[phase].work_us[upstream] += (self.now - since) as f64;
    }

    fn free_slot(&mut self, call: CallKey) {
        let upstream = index_of(self.sim_calls[call.0 as usize].target.upstream);
        self.upstreams[upstream].running -= 1;
        if let Some(next) = self.upstreams[upstream].waiting.pop_front() {
            self.begin(next);
        }
    }

    fn reply(&mut self, call: CallKey, reason: Option<Reason>, after: u64, load: u32) {
        let now = Timestamp::from_micros(self.now);
        let sim_call = self.sim_calls[call.0 as usize];
        let host = &mut self.hosts[self.requests[sim_call.request].host];
        let request = &mut self.requests[sim_call.request];
        if request.key.is_none() {
            let fault = matches!(reason, Some(Reason::ConnectFailed | Reason::UpstreamReset));
            if fault {
                host.picker.failed(now, sim_call.target.upstream);
            } else {
                host.picker.replied(now, sim_call.target.upstream, load);
            }
        }
        let attempt_end = match reason {
            None => AttemptEnd::Answered,
            Some(reason) => AttemptEnd::Failed {
                reason,
                retry_after: Some(Duration::from_micros(after)),
            },
        };
        let state = request
            .retry_state
            .take()
            .expect("one attempt at a time")
            .start();
        match state.ended(now, attempt_end, &mut host.budget) {
            RetryDecision::Done(end) => {
                let after = end.retry_after.unwrap_or_default();
                let reason = end.reason.filter(|_| end.outcome != Outcome::Answered);
                self.finish_request(sim_call.request, reason, after);
            }
            RetryDecision::Retry { state, delay, .. }
            | RetryDecision::RetryElsewhere { state, delay, .. } => {
                request.retry_state = Some(state);
                let phase = request.phase;
                self.stats[phase].retries += 1;
                self.schedule_after(delay.as_micros() as u64, SimEvent::Route(sim_call.request));
            }
        }
    }

    fn finish_request(&mut self, index: usize, reason: Option<Reason>, after: Duration) {
        let request = &self.requests[index];
        let (phase, key) = (request.phase, request.key);
        let (deadline_ms, caller_retries) = (request.deadline_ms, request.caller_retries);
        let took = self.now - request.start;
        let late = took > deadline_ms * 1_000;
        let reason = reason.map(Reason::as_str).or(late.then_some("late"));
        let phase_stats = &mut self.stats[phase];
        let Some(reason) = reason else {
            phase_stats.good += 1;
            let latency = phase_stats.latency.as_mut().expect("a phase has one");
            latency.record(took).expect("the histogram grows");
            return;
        };
        *phase_stats.refused.entry(reason).or_default() += 1;
        phase_stats.last_bad_us = phase_stats
            .last_bad_us
            .max(request.start - self.phase_starts[phase]);
        if caller_retries == 0 {
            return;
        }
        // A refused caller retries after the hint, give or take a quarter.
        let spread = self.rng.random_range(0.75..1.25);
        let at = self.now + (after.as_micros() as f64 * spread) as u64;
        let Some(phase) = self.phase(at) else {
            return;
        };
        self.schedule_request(at, phase, key, deadline_ms, caller_retries - 1);
    }

    fn schedule_request(
        &mut self,
        at: u64,
        phase: usize,
        key: Option<KeyHash>,
        deadline_ms: u64,
        left: u32,
    ) {
        let host = self.rng.random_range(0..self.cfg.hosts);
        let start = Timestamp::from_micros(at);
        let deadline = start + Duration::from_millis(deadline_ms);
        self.hosts[host]
            .budget
            .record_request(Timestamp::from_micros(self.now));
        self.stats[phase].requests += 1;
        let settings = RetrySettings::default();
        self.requests.push(Request {
            start: at,
            phase,
            host,
            key,
            deadline_ms,
            caller_retries: left,
            tried_upstreams: Vec::new(),
            retry_state: Some(RetryState::new(settings, true, key.is_some(), deadline)),
        });
        self.schedule_at(at, SimEvent::Route(self.requests.len() - 1));
    }

    fn report(&mut self) {
        if self.cfg.reports == Reports::None || self.phase(self.now).is_none() {
            return;
        }
        for u in 0..self.upstreams.len() {
            let full = self.upstreams[u].running >= self.cfg.true_slots;
            let healthy = match self.cfg.reports {
                Reports::None | Reports::AlwaysHealthy => true,
                Reports::NeverHealthy => false,
                Reports::Inverted => full,
            };
            let upstream = self.upstreams[u].name.clone();
            for host in 0..self.hosts.len() {
                let upstream = upstream.clone();
                self.step(host, Event::Health { upstream, healthy });
            }
        }
        self.schedule_after(100_000, SimEvent::Report);
    }
}

fn grant(sim_upstream: &SimUpstream, slots: u32, queue: u32, divided: bool) -> [Event; 2] {
    let slices: Arc<[ids::SliceNo]> = (0..u64::from(SLICES)).map(ids::SliceNo).collect();
    [
        Event::UpstreamDeclared {
            upstream: sim_upstream.name.clone(),
            limits: UpstreamLimits {
                slots,
                connections: 130,
                queue,
                divided,
            },
        },
        Event::Lease {
            upstream: sim_upstream.name.clone(),
            epoch: Epoch(1),
            valid_until: Timestamp::NEVER,
            slices: Some(slices),
        },
    ]
}

fn index_of(upstream: UpstreamKey) -> usize {
    ids::ArenaKey::index(upstream)
}
