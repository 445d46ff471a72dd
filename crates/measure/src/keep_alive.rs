//! Rules for closing idle upstream connections.
//!
//! One upstream with its connections as its coordinating host holds them: requests come by chance,
//! at most as many run at once as there are slots, each takes an idle connection or opens one. The
//! rules decide how long an idle connection is kept. One of them is the keep-alive rule of
//! `RainbowCake`: the smaller of the expected time to the next use and a bound by cost.

use std::collections::VecDeque;

use anyhow::Result;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;

use crate::line;
use crate::score::Spread;

/// Slots of the upstream.
const SLOTS: usize = 4;
/// Connections that the upstream takes.
const CONNECTIONS: usize = 130;
/// Time to open a connection, in seconds.
const OPEN_S: f64 = 0.001;
/// Mean work of a request, in seconds.
const WORK_S: f64 = 0.004;
/// Length of a run, in seconds.
const RUN_S: f64 = 3600.0;
/// Last arrivals from which the next one is expected.
const WINDOW: usize = 6;
/// Quantile of the time to the next arrival.
const QUANTILE: f64 = 0.8;

/// How arrivals are spread over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrivals {
    /// Name for results.
    pub name: &'static str,
    /// Requests a second while on.
    pub rate: f64,
    /// Seconds on.
    pub on_s: f64,
    /// Seconds off after that.
    pub off_s: f64,
}

/// How long an idle connection is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// For ever.
    KeepAll,
    /// For this many seconds.
    Fixed(f64),
    /// For the expected time to the next arrival, but at most this many seconds.
    Expected(f64),
}

/// One result line.
#[derive(Debug)]
#[derive(Serialize)]
pub struct KeepAliveLine {
    /// Always `keep-alive`.
    pub kind: &'static str,
    /// Arrivals.
    pub case: &'static str,
    /// Rule.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests served.
    pub requests: usize,
    /// Connections opened per thousand requests.
    pub opens_per_1000: f64,
    /// Time that requests waited for a connection to open, in milliseconds.
    pub open_wait_ms: Spread,
    /// Idle connections, averaged over time.
    pub idle_connections: f64,
    /// Most connections open at once.
    pub most_connections: usize,
}

/// Runs all rules on all arrivals and prints their lines.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn run(seed: u64) -> Result<()> {
    let arrivals = [
        arrivals("busy", 600.0, 60.0, 0.0),
        arrivals("slow", 2.0, 60.0, 0.0),
        arrivals("rare", 0.05, 60.0, 0.0),
        arrivals("bursts", 600.0, 5.0, 55.0),
    ];
    let rules = [
        Rule::KeepAll,
        Rule::Fixed(1.0),
        Rule::Fixed(10.0),
        Rule::Fixed(60.0),
        Rule::Expected(1.0),
        Rule::Expected(10.0),
        Rule::Expected(60.0),
    ];
    for arrivals in arrivals {
        for rule in rules {
            line::print(&measure(seed, arrivals, rule))?;
        }
    }
    Ok(())
}

const fn arrivals(name: &'static str, rate: f64, on_s: f64, off_s: f64) -> Arrivals {
    Arrivals {
        name,
        rate,
        on_s,
        off_s,
    }
}

/// A connection that is idle.
#[derive(Debug, Clone, Copy)]
struct Idle {
    since: f64,
    until: f64,
}

#[derive(Debug)]
struct Pool {
    rule: Rule,
    idle: Vec<Idle>,
    /// When requests under way end.
    busy: Vec<f64>,
    recent: VecDeque<f64>,
    idle_s: f64,
    opens: usize,
    most: usize,
}

impl Pool {
    fn new(rule: Rule) -> Self {
        Self {
            rule,
            idle: Vec::new(),
            busy: Vec::new(),
            recent: VecDeque::with_capacity(WINDOW + 1),
            idle_s: 0.0,
            opens: 0,
            most: 0,
        }
    }

    /// Returns how long an idle connection is kept from `now` on.
    fn keep_s(&self, now: f64) -> f64 {
        match self.rule {
            Rule::KeepAll => f64::INFINITY,
            Rule::Fixed(span) => span,
            Rule::Expected(bound) => self.expected_s(now).min(bound),
        }
    }

    /// Returns the time within which the next arrival is expected, at the quantile.
    fn expected_s(&self, now: f64) -> f64 {
        let Some(first) = self.recent.front() else {
            return f64::INFINITY;
        };
        let rate = self.recent.len() as f64 / (now - first).max(1e-6);
        -(1.0 - QUANTILE).ln() / rate
    }

    /// Takes up the connections of requests that ended, and drops those kept long enough.
    fn advance(&mut self, now: f64) {
        let mut ended: Vec<f64> = self.busy.iter().copied().filter(|t| *t <= now).collect();
        ended.sort_by(f64::total_cmp);
        self.busy.retain(|t| *t > now);
        for since in ended {
            let until = since + self.keep_s(since);
            self.idle.push(Idle { since, until });
        }
        let mut idle_s = 0.0;
        self.idle.retain(|idle| {
            let kept = idle.until > now;
            if !kept {
                idle_s += idle.until - idle.since;
            }
            kept
        });
        self.idle_s += idle_s;
    }

    /// Takes a connection for a request that comes at `now`; returns when it can be sent.
    fn take(&mut self, now: f64) -> f64 {
        self.recent.push_back(now);
        if self.recent.len() > WINDOW {
            self.recent.pop_front();
        }
        if let Some(idle) = self.idle.pop() {
            self.idle_s += now - idle.since;
            return now;
        }
        self.opens += 1;
        now + OPEN_S
    }

    fn finish(&mut self) {
        for idle in self.idle.drain(..) {
            self.idle_s += idle.until.min(RUN_S) - idle.since;
        }
    }
}

/// Measures one rule on one kind of arrivals.
///
/// # Panics
///
/// Panics if the arrivals have no rate.
#[must_use]
pub fn measure(seed: u64, arrivals: Arrivals, rule: Rule) -> KeepAliveLine {
    let mut rng = StdRng::seed_from_u64(seed);
    let gaps = Exp::new(arrivals.rate).expect("a rate above zero");
    let works = Exp::new(1.0 / WORK_S).expect("work above zero");
    let mut pool = Pool::new(rule);
    let mut waits = Vec::new();
    let mut active_s = 0.0;
    loop {
        active_s += gaps.sample(&mut rng);
        let mut now = wall_time(arrivals, active_s);
        if now >= RUN_S {
            break;
        }
        pool.advance(now);
        while pool.busy.len() >= SLOTS {
            now = pool.busy.iter().copied().fold(f64::INFINITY, f64::min);
            pool.advance(now);
        }
        let sent = pool.take(now);
        pool.busy.push(sent + works.sample(&mut rng));
        waits.push((sent - now) * 1e3);
        pool.most = pool.most.max(pool.busy.len() + pool.idle.len());
    }
    pool.advance(RUN_S);
    pool.finish();
    debug_assert!(pool.most <= CONNECTIONS, "the upstream takes no more");
    KeepAliveLine {
        kind: "keep-alive",
        case: arrivals.name,
        policy: name(rule),
        seed,
        requests: waits.len(),
        opens_per_1000: pool.opens as f64 * 1000.0 / waits.len().max(1) as f64,
        open_wait_ms: Spread::of(&waits),
        idle_connections: pool.idle_s / RUN_S,
        most_connections: pool.most,
    }
}

fn wall_time(arrivals: Arrivals, active_s: f64) -> f64 {
    let cycles = (active_s / arrivals.on_s).floor();
    active_s + cycles * arrivals.off_s
}

fn name(rule: Rule) -> String {
    match rule {
        Rule::KeepAll => String::from("keep-all"),
        Rule::Fixed(span) => format!("fixed-{span}s"),
        Rule::Expected(bound) => format!("expected-at-most-{bound}s"),
    }
}
