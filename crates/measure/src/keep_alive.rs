//! Simulates rules for closing idle upstream connections.
//!
//! The simulation covers one upstream and the connections that its coordinating host holds.
//! Requests arrive at random, at most as many run at once as there are slots, and each takes an
//! idle connection or opens a new one. A rule decides how long an idle connection is kept. One of the
//! rules is the keep-alive rule of `RainbowCake`: the smaller of the expected time to the next use
//! and a bound that depends on the cost.

use std::collections::VecDeque;

use anyhow::Result;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;

use crate::json_lines;
use crate::score::SeriesStats;

/// Slots of the upstream.
const SLOTS: usize = 4;
/// Most connections that the upstream accepts.
const CONNECTIONS: usize = 130;
/// Time to open a connection, in seconds.
const OPEN_S: f64 = 0.001;
/// Mean work of a request, in seconds.
const WORK_S: f64 = 0.004;
/// Simulated time, in seconds.
const RUN_S: f64 = 3600.0;
/// Number of last arrivals from which the next one is predicted.
const WINDOW: usize = 6;
/// Quantile of the predicted time to the next arrival.
const QUANTILE: f64 = 0.8;

/// Pattern of arrivals: requests arrive at random while on, and none arrive while off.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrivals {
    /// Name in results.
    pub name: &'static str,
    /// Mean requests per second while on.
    pub rate: f64,
    /// Seconds of each on period.
    pub on_s: f64,
    /// Seconds of the off period that follows.
    pub off_s: f64,
}

/// How long an idle connection is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// Until the end of the simulation.
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
    /// Name of the arrival pattern.
    pub case: &'static str,
    /// Name of the rule.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests served.
    pub requests: usize,
    /// Connections opened per thousand requests.
    pub opens_per_1000: f64,
    /// Time that requests waited for a connection to be opened, in milliseconds.
    pub open_wait_ms: SeriesStats,
    /// Mean number of idle connections.
    pub idle_connections: f64,
    /// Largest number of open connections at one time.
    pub most_connections: usize,
}

/// Simulates each rule on each arrival pattern and prints their lines.
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
            json_lines::print(&measure(seed, arrivals, rule))?;
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

/// An idle connection.
#[derive(Debug, Clone, Copy)]
struct Idle {
    since: f64,
    until: f64,
}

#[derive(Debug)]
struct Pool {
    rule: Rule,
    idle: Vec<Idle>,
    /// Times at which running requests end.
    busy_until: Vec<f64>,
    recent: VecDeque<f64>,
    idle_s: f64,
    opens: usize,
    max_open: usize,
}

impl Pool {
    fn new(rule: Rule) -> Self {
        Self {
            rule,
            idle: Vec::new(),
            busy_until: Vec::new(),
            recent: VecDeque::with_capacity(WINDOW + 1),
            idle_s: 0.0,
            opens: 0,
            max_open: 0,
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

    /// Makes the connections of ended requests idle, and closes the idle ones that expired.
    fn advance(&mut self, now: f64) {
        let mut ended: Vec<f64> = self
            .busy_until
            .iter()
            .copied()
            .filter(|t| *t <= now)
            .collect();
        ended.sort_by(f64::total_cmp);
        self.busy_until.retain(|t| *t > now);
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

    /// Takes a connection for a request that arrives at `now`; returns when it can be sent.
    fn acquire(&mut self, now: f64) -> f64 {
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

/// Simulates one rule on one arrival pattern.
///
/// # Panics
///
/// Panics if the rate of arrivals is not positive.
#[must_use]
pub fn measure(seed: u64, arrivals: Arrivals, rule: Rule) -> KeepAliveLine {
    let mut rng = StdRng::seed_from_u64(seed);
    let interarrival_times = Exp::new(arrivals.rate).expect("the rate is positive");
    let work_times = Exp::new(1.0 / WORK_S).expect("the mean work is positive");
    let mut pool = Pool::new(rule);
    let mut waits = Vec::new();
    let mut active_s = 0.0;
    loop {
        active_s += interarrival_times.sample(&mut rng);
        let mut now = wall_time(arrivals, active_s);
        if now >= RUN_S {
            break;
        }
        pool.advance(now);
        while pool.busy_until.len() >= SLOTS {
            now = pool
                .busy_until
                .iter()
                .copied()
                .fold(f64::INFINITY, f64::min);
            pool.advance(now);
        }
        let sent = pool.acquire(now);
        pool.busy_until.push(sent + work_times.sample(&mut rng));
        waits.push((sent - now) * 1e3);
        pool.max_open = pool.max_open.max(pool.busy_until.len() + pool.idle.len());
    }
    pool.advance(RUN_S);
    pool.finish();
    debug_assert!(
        pool.max_open <= CONNECTIONS,
        "more connections than the upstream accepts"
    );
    KeepAliveLine {
        kind: "keep-alive",
        case: arrivals.name,
        policy: rule_name(rule),
        seed,
        requests: waits.len(),
        opens_per_1000: pool.opens as f64 * 1000.0 / waits.len().max(1) as f64,
        open_wait_ms: SeriesStats::of(&waits),
        idle_connections: pool.idle_s / RUN_S,
        most_connections: pool.max_open,
    }
}

fn wall_time(arrivals: Arrivals, active_s: f64) -> f64 {
    let cycles = (active_s / arrivals.on_s).floor();
    active_s + cycles * arrivals.off_s
}

fn rule_name(rule: Rule) -> String {
    match rule {
        Rule::KeepAll => String::from("keep-all"),
        Rule::Fixed(span) => format!("fixed-{span}s"),
        Rule::Expected(bound) => format!("expected-at-most-{bound}s"),
    }
}
