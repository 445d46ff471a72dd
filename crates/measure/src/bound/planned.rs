//! Non-preemptive schedule with full knowledge: what one queue can surely achieve.
//!
//! Requests are inserted one by one into the sequences of the slots. Each goes where it ends by its
//! goal and delays no later request of the sequence beyond its own goal, with the least idle time
//! before it. Requests keep their slot and their place in the sequence. Two orders of insertion are
//! tried, by increasing work and by arrival, and the first-come queue as a third schedule, since no
//! order is the best for all traces: a short request may take the place of two longer ones. The best
//! schedule is kept.

use std::cmp::Ordering;

use indexmap::IndexMap;

use super::Share;
use super::first_come::first_come_shares;
use super::model::{Component, Goal, Model, Request};

/// Part of a window by which times without room are extended on both sides. Longer extensions are
/// valid for more requests, but less often free of gaps.
const BLOCKED_SLACK: u64 = 8;

/// Slots above which requests are not inserted by arrival. With 600 slots this took a third of the
/// time and raised the answers in time by 0.2 % at most.
const MANY_SLOTS: u32 = 64;

/// Returns the share of each request of `component`, in the component's order.
#[must_use]
pub fn planned_shares(model: &Model, component: &Component) -> Vec<Share> {
    let by_work = |req: &Request, weight: f64| req.work_us as f64 / weight;
    let by_arrival = |req: &Request, _| req.arrival_us as f64;
    let mut schedules = vec![
        insert_all(model, component, by_work),
        first_come_shares(model, component),
    ];
    let upstreams = component.upstreams.iter();
    let slots: u32 = upstreams.map(|n| model.upstreams[*n].slots).sum();
    if slots <= MANY_SLOTS {
        schedules.push(insert_all(model, component, by_arrival));
    }
    let schedules = schedules.into_iter();
    let values = schedules.map(|shares| (Value::of(model, component, &shares), shares));
    let best = values.max_by(|(a, _), (b, _)| a.compare(b));
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
    let mut is_placed = vec![false; component.requests.len()];
    for goal in [Goal::InTime, Goal::Late] {
        let mut order = Vec::new();
        for (n, _) in is_placed.iter().enumerate().filter(|(_, placed)| !**placed) {
            let req = &model.requests[component.requests[n]];
            let route = model.route_of(req);
            let (limit_us, weight) = (goal.limit_us(route), goal.weight(route));
            if weight > 0.0 {
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
            is_placed[n] = plan.insert(n, req, limit_us);
        }
    }
    let mut shares = vec![Share::default(); component.requests.len()];
    for job in plan.sequences.iter().flat_map(|sequence| &sequence.jobs) {
        let route = model.route_of(&model.requests[component.requests[job.request]]);
        shares[job.request] = Share::of_answer(route, job.end - job.arrival);
    }
    shares
}

/// A request in the sequence of a slot, with times in microseconds.
#[derive(Debug, Clone, Copy)]
struct Job {
    /// Position of the request in the component.
    request: usize,
    arrival: u64,
    duration: u64,
    /// Latest end that reaches the goal with which it was inserted.
    latest_end: u64,
    end: u64,
}

/// A place in the sequence of a slot.
#[derive(Debug, Clone, Copy)]
struct Fit {
    /// Idle time between the request before and the start, in microseconds.
    idle_us: u64,
    position: usize,
}

/// A time in which no slot has room for a request of this work or more, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Blocked {
    start: u64,
    end: u64,
    work: u64,
}

/// Sequences of all slots.
struct Plan<'a> {
    model: &'a Model,
    /// Upstreams of the component, the fastest first, and where their slots begin in `sequences`.
    first_slots: IndexMap<usize, usize>,
    sequences: Vec<Sequence>,
    /// Stays true, as requests are only added.
    blocked: Vec<Blocked>,
}

impl<'a> Plan<'a> {
    fn new(model: &'a Model, component: &Component) -> Self {
        let mut first_slots = IndexMap::new();
        let mut sequences = Vec::new();
        let mut upstreams = component.upstreams.clone();
        upstreams.sort_by(|a, b| {
            let speed = |n: &usize| model.upstreams[*n].speed;
            speed(b).total_cmp(&speed(a))
        });
        for upstream in &upstreams {
            first_slots.insert(*upstream, sequences.len());
            let slots = model.upstreams[*upstream].slots as usize;
            sequences.resize(sequences.len() + slots, Sequence::default());
        }
        Self {
            model,
            first_slots,
            sequences,
            blocked: Vec::new(),
        }
    }

    /// Inserts a request where it leaves the least idle time, and returns whether there is room.
    fn insert(&mut self, request: usize, req: &Request, limit_us: u64) -> bool {
        let window = (req.arrival_us, req.arrival_us + limit_us);
        if req.upstream.is_none() && self.is_blocked(window, req.work_us) {
            return false;
        }
        let Some((fit, slot, duration)) = self.best_fit(req.upstream, window, req.work_us) else {
            if req.upstream.is_none() {
                self.block(window, req.work_us);
            }
            return false;
        };
        let job = Job {
            request,
            arrival: req.arrival_us,
            duration,
            latest_end: window.1,
            end: 0,
        };
        self.sequences[slot].insert(fit.position, job);
        true
    }

    /// Returns the best place, its slot, and the time that the request takes there.
    fn best_fit(
        &self,
        on: Option<usize>,
        window: (u64, u64),
        work_us: u64,
    ) -> Option<(Fit, usize, u64)> {
        let mut best: Option<(Fit, usize, u64)> = None;
        let upstreams = self.first_slots.iter();
        for (n, first) in upstreams.filter(|(n, _)| on.is_none_or(|on| on == **n)) {
            let upstream = &self.model.upstreams[*n];
            let duration_us = upstream.duration_us(work_us);
            for slot in *first..first + upstream.slots as usize {
                let Some(fit) = self.sequences[slot].fit(window, duration_us) else {
                    continue;
                };
                if fit.idle_us == 0 {
                    return Some((fit, slot, duration_us));
                }
                if best.is_none_or(|(known, ..)| fit.idle_us < known.idle_us) {
                    best = Some((fit, slot, duration_us));
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
    /// Without this, an overload of 100,000 requests on 600 slots searches nearly all sequences for
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

/// Requests that a slot runs one after the other, each as early as possible.
#[derive(Debug, Clone, Default)]
struct Sequence {
    jobs: Vec<Job>,
}

impl Sequence {
    /// Returns the place with the least idle time before it, of those that keep all goals.
    fn fit(&self, (arrival_us, latest_end_us): (u64, u64), duration_us: u64) -> Option<Fit> {
        let mut best: Option<Fit> = None;
        let first = self.jobs.partition_point(|job| job.end <= arrival_us);
        for position in first..=self.jobs.len() {
            let free_us = self.free_at(position);
            let start_us = free_us.max(arrival_us);
            let end_us = start_us + duration_us;
            if end_us > latest_end_us {
                break;
            }
            let idle_us = start_us - free_us;
            let is_better = best.is_none_or(|known| idle_us < known.idle_us);
            if is_better && self.can_delay(position, end_us) {
                best = Some(Fit { idle_us, position });
            }
        }
        best
    }

    /// Returns the end of the request before a position.
    fn free_at(&self, position: usize) -> u64 {
        let before = position.checked_sub(1);
        before.map_or(0, |n| self.jobs[n].end)
    }

    /// Returns whether the requests from a position on reach their goals if the slot is free for
    /// them at `free_us`.
    fn can_delay(&self, position: usize, mut free_us: u64) -> bool {
        for job in &self.jobs[position..] {
            let end_us = free_us.max(job.arrival) + job.duration;
            if end_us <= job.end {
                return true;
            }
            if end_us > job.latest_end {
                return false;
            }
            free_us = end_us;
        }
        true
    }

    fn insert(&mut self, position: usize, job: Job) {
        self.jobs.insert(position, job);
        for n in position..self.jobs.len() {
            let free_us = self.free_at(n);
            let job = &mut self.jobs[n];
            let end_us = free_us.max(job.arrival) + job.duration;
            if end_us == job.end {
                break;
            }
            job.end = end_us;
        }
    }
}
