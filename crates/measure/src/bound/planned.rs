//! Non-preemptive schedule with full knowledge: what one queue can surely achieve.
//!
//! Requests are inserted one by one into the calendars of the slots, each into a gap that is long
//! enough, and are never moved. Two orders are tried, by increasing work and by arrival, and the
//! first-come queue as a third schedule, since no order is the best for all traces: a short request
//! may lie across two gaps that would hold two longer ones. The best schedule is kept.

use std::cmp::Ordering;

use indexmap::IndexMap;

use super::Share;
use super::first_come::first_come_shares;
use super::model::{Component, Goal, Model, Request};

/// Part of a window by which times without room are extended on both sides. Longer extensions are
/// valid for more requests, but less often free of gaps.
const BLOCKED_SLACK: u64 = 8;

/// Returns the share of each request of `component`, in the component's order.
#[must_use]
pub fn planned_shares(model: &Model, component: &Component) -> Vec<Share> {
    let by_work = |req: &Request, weight: f64| req.work_us as f64 / weight;
    let by_arrival = |req: &Request, _| req.arrival_us as f64;
    let schedules = [
        insert_all(model, component, by_work),
        insert_all(model, component, by_arrival),
        first_come_shares(model, component),
    ];
    let values = schedules.map(|shares| (Value::of(model, component, &shares), shares));
    let best = values.into_iter().max_by(|(a, _), (b, _)| a.compare(b));
    best.map(|(_, shares)| shares).unwrap_or_default()
}

/// Weight of a schedule: answers in time of the most urgent routes decide first, then those of less
/// urgent ones, then late answers.
#[derive(Debug)]
struct Value {
    in_time: Vec<f64>,
    late: f64,
}

impl Value {
    fn of(model: &Model, component: &Component, shares: &[Share]) -> Self {
        let mut by_priority: IndexMap<u32, f64> = IndexMap::new();
        let mut late = 0.0;
        for (n, share) in component.requests.iter().zip(shares) {
            let route = model.route_of(&model.requests[*n]);
            *by_priority.entry(route.priority).or_default() += share.in_time * route.in_time_weight;
            late += share.late * route.late_weight;
        }
        by_priority.sort_unstable_keys();
        Self {
            in_time: by_priority.into_values().collect(),
            late,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        let priorities = self.in_time.iter().zip(&other.in_time);
        let orders = priorities.map(|(a, b)| a.total_cmp(b));
        orders
            .fold(Ordering::Equal, Ordering::then)
            .then(self.late.total_cmp(&other.late))
    }
}

fn insert_all(
    model: &Model,
    component: &Component,
    rank: impl Fn(&Request, f64) -> f64,
) -> Vec<Share> {
    let mut plan = Plan::new(model, component);
    let mut shares = vec![Share::default(); component.requests.len()];
    for goal in [Goal::InTime, Goal::Late] {
        let mut order = Vec::new();
        for (n, share) in shares.iter().enumerate() {
            let req = &model.requests[component.requests[n]];
            let route = model.route_of(req);
            let (limit_us, weight) = (goal.limit_us(route), goal.weight(route));
            if *share == Share::default() && weight > 0.0 {
                // At equal rank, requests on keys come first, as the others have more choice.
                let is_free = req.upstream.is_none();
                order.push(((route.priority, is_free), rank(req, weight), limit_us, n));
            }
        }
        order.sort_by(|((a, a_free), a_rank, ..), ((b, b_free), b_rank, ..)| {
            let by_rank = a.cmp(b).then(a_rank.total_cmp(b_rank));
            by_rank.then(a_free.cmp(b_free))
        });
        for (_, _, limit_us, n) in order {
            let req = &model.requests[component.requests[n]];
            if let Some(end_us) = plan.insert(req, limit_us) {
                shares[n] = Share::of_answer(model.route_of(req), end_us - req.arrival_us);
            }
        }
    }
    shares
}

/// A place for a request in a gap of a slot's calendar, with times in microseconds.
#[derive(Debug, Clone, Copy)]
struct Fit {
    /// Time between the request and the nearer neighbour in the calendar.
    spare: u64,
    start: u64,
    end: u64,
}

/// A time in which no slot has room for a request of this work or more, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Blocked {
    start: u64,
    end: u64,
    work: u64,
}

/// Calendars of all slots.
struct Plan<'a> {
    model: &'a Model,
    /// Upstreams of the component, the fastest first, and where their slots begin in `calendars`.
    first_slots: IndexMap<usize, usize>,
    calendars: Vec<Calendar>,
    /// Stays true, as calendars only fill up.
    blocked: Vec<Blocked>,
}

impl<'a> Plan<'a> {
    fn new(model: &'a Model, component: &Component) -> Self {
        let mut first_slots = IndexMap::new();
        let mut calendars = Vec::new();
        let mut upstreams = component.upstreams.clone();
        upstreams.sort_by(|a, b| {
            let speed = |n: &usize| model.upstreams[*n].speed;
            speed(b).total_cmp(&speed(a))
        });
        for upstream in &upstreams {
            first_slots.insert(*upstream, calendars.len());
            let slots = model.upstreams[*upstream].slots as usize;
            calendars.resize(calendars.len() + slots, Calendar::default());
        }
        Self {
            model,
            first_slots,
            calendars,
            blocked: Vec::new(),
        }
    }

    /// Inserts a request where it leaves the least spare time, and returns its end.
    fn insert(&mut self, req: &Request, limit_us: u64) -> Option<u64> {
        let window = (req.arrival_us, req.arrival_us + limit_us);
        if req.upstream.is_none() && self.is_blocked(window, req.work_us) {
            return None;
        }
        let Some((fit, slot)) = self.best_fit(req.upstream, window, req.work_us) else {
            if req.upstream.is_none() {
                self.block(window, req.work_us);
            }
            return None;
        };
        self.calendars[slot].insert(fit);
        Some(fit.end)
    }

    fn best_fit(
        &self,
        on: Option<usize>,
        window: (u64, u64),
        work_us: u64,
    ) -> Option<(Fit, usize)> {
        let mut best: Option<(Fit, usize)> = None;
        let upstreams = self.first_slots.iter();
        for (n, first) in upstreams.filter(|(n, _)| on.is_none_or(|on| on == **n)) {
            let upstream = &self.model.upstreams[*n];
            let duration_us = upstream.duration_us(work_us);
            for slot in *first..first + upstream.slots as usize {
                let Some(fit) = self.calendars[slot].fit(window, duration_us) else {
                    continue;
                };
                if fit.spare == 0 {
                    return Some((fit, slot));
                }
                if best.is_none_or(|(known, _)| fit.spare < known.spare) {
                    best = Some((fit, slot));
                }
            }
        }
        best
    }

    fn is_blocked(&self, (start_us, end_us): (u64, u64), work_us: u64) -> bool {
        let mut blocked = self.blocked.iter().rev();
        blocked.any(|known| known.start <= start_us && end_us <= known.end && known.work <= work_us)
    }

    /// Notes that no slot has room for `work_us` in a time somewhat longer than `window`, if so.
    ///
    /// Without this, an overload of 100,000 requests on 600 slots searches nearly all calendars for
    /// most requests.
    fn block(&mut self, (start_us, end_us): (u64, u64), work_us: u64) {
        let slack_us = (end_us - start_us) / BLOCKED_SLACK;
        let start_us = start_us.saturating_sub(slack_us);
        let end_us = end_us + slack_us;
        if self.best_fit(None, (start_us, end_us), work_us).is_none() {
            self.blocked.push(Blocked {
                start: start_us,
                end: end_us,
                work: work_us,
            });
        }
    }
}

/// Times at which a slot is busy, in order.
#[derive(Debug, Clone, Default)]
struct Calendar {
    busy: Vec<(u64, u64)>,
}

impl Calendar {
    /// Returns the place between two times that leaves the least spare time beside a neighbour.
    fn fit(&self, (earliest_us, latest_end_us): (u64, u64), duration_us: u64) -> Option<Fit> {
        let mut best: Option<Fit> = None;
        let first = self.busy.partition_point(|(_, end)| *end <= earliest_us);
        let mut gap_start_us = first.checked_sub(1).map_or(0, |n| self.busy[n].1);
        let ends = self.busy[first..].iter().copied();
        for (busy_us, next_gap_us) in ends.chain([(u64::MAX, u64::MAX)]) {
            let start_us = gap_start_us.max(earliest_us);
            if start_us + duration_us > latest_end_us {
                break;
            }
            let last_end_us = busy_us.min(latest_end_us);
            if start_us + duration_us <= last_end_us {
                let at_start = Fit {
                    spare: start_us - gap_start_us,
                    start: start_us,
                    end: start_us + duration_us,
                };
                let at_end = Fit {
                    spare: busy_us - last_end_us,
                    start: last_end_us - duration_us,
                    end: last_end_us,
                };
                for fit in [at_start, at_end] {
                    if best.is_none_or(|known| fit.spare < known.spare) {
                        best = Some(fit);
                    }
                }
            }
            gap_start_us = next_gap_us;
        }
        best
    }

    fn insert(&mut self, fit: Fit) {
        let at = self.busy.partition_point(|(start, _)| *start < fit.start);
        self.busy.insert(at, (fit.start, fit.end));
    }
}
