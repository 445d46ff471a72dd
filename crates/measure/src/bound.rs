//! Distance of a run from the optimum: what one ideal queue answers of a trace.
//!
//! # The ideal queue
//!
//! One queue holds the requests of all hosts. It knows all arrivals and service times before the
//! first request arrives, and its decisions reach the upstreams at once. A request runs once,
//! without interruption, on one slot of an upstream of its entry, or of its own upstream if it is
//! on a key. It takes its service time divided by the upstream's speed. It is in time if it ends
//! within the objective of its route, counted from its arrival, and late if it ends within the
//! deadline. A caller that is refused and returns is one request, with its first arrival.
//!
//! The queue first answers as many requests of the most urgent routes in time as it can, then those
//! of less urgent routes. Among routes of equal priority it maximises the sum of weights. Late
//! answers get what no request in time wants.
//!
//! # The bound
//!
//! The best such schedule can't be computed in reasonable time: to maximise the number of requests
//! in time on one slot is NP-hard already. [`fluid`] computes the optimum of a relaxed problem. Work
//! is fluid: it may be interrupted, divided, moved between slots and run on several at a time. A
//! request that is done in part counts for that part. Windows are rounded to whole cells, outwards,
//! and capacities are rounded up. In an entry of many upstreams that has requests with and without
//! keys, cells are longer and requests on keys may also run on other upstreams of similar load.
//!
//! - Every real schedule is a relaxed one, with the same answers in time: its work lies between
//!   arrival and objective, on slots that the relaxed problem has too. The relaxed optimum is
//!   therefore no worse.
//! - The greedy rule finds the relaxed optimum. The amounts of work that fit are the flows that
//!   requests can send through cells to a sink, and the sets of such amounts form a polymatroid. Over
//!   a polymatroid, a linear sum is maximised by giving each element as much as possible, in the
//!   order of weight for each unit of work, without reducing earlier elements. The same order with
//!   priority first maximises lexicographically by priority.
//!
//! What follows for the figures:
//!
//! - The weighted sum of the answers in time of the most urgent routes of an entry is an upper bound
//!   for every schedule. With one priority and equal weights, this is the number of answers in time.
//! - The figures of less urgent routes hold for schedules that serve more urgent ones as well as the
//!   bound does. A run that neglects urgent routes can exceed them.
//! - [`Solution::most_in_time`] is an upper bound of the answers in time of all routes together, in
//!   any order of service.
//! - Figures of single windows and domains are those of one relaxed optimum. Another one may divide
//!   the same sum differently between neighbouring windows and between domains.
//! - Late and unserved requests are those of the same relaxed schedule, and are no bounds.
//!
//! [`planned`] computes a real schedule with full knowledge. The optimum lies between the two.
//! [`first_come`] is the baseline without knowledge.
//!
//! - [`model`]: routes, upstreams and requests, checked.
//! - [`fluid`]: the upper bound.
//! - [`planned`]: an achievable schedule.
//! - [`first_come`]: the first-come queue.
//! - [`tally`]: tallies by route, failure domain and window.
//! - [`output`]: text and JSON lines.
//! - [`plot`]: answers in time over time, as SVG.

pub mod first_come;
pub mod fluid;
pub mod model;
pub mod output;
pub mod planned;
pub mod plot;
pub mod tally;

use std::fs;
use std::path::PathBuf;

use anyhow::{Context as _, Result};
use clap::Args;

use crate::json_lines;
use first_come::first_come_shares;
use fluid::{Order, relaxed_shares};
use model::{Component, Model, Route, RunRecord, TraceRecord};
use planned::planned_shares;
use tally::{Rows, Tally};

const US_PER_S: u64 = 1_000_000;

/// Arguments of `medlardyke measure bound`.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct BoundArgs {
    /// Routes and upstreams, as a JSON file.
    #[arg(long, value_name = "FILE")]
    description: PathBuf,
    /// Arrivals with service times, as JSON lines.
    #[arg(long, value_name = "FILE")]
    trace: PathBuf,
    /// Outcomes of a run, as JSON lines.
    #[arg(long, value_name = "FILE")]
    run: Option<PathBuf>,
    /// Length of the windows in which requests are counted by their arrival, in seconds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    window_s: u64,
    /// Chart of answers in time over time to write, as SVG.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

/// Fractions of a request that are answered in time and late.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Answered within the objective.
    pub in_time: f64,
    /// Answered later than that.
    pub late: f64,
}

impl Share {
    /// Returns the share of a whole answer after `latency_us`.
    #[must_use]
    pub fn of_answer(route: &Route, latency_us: u64) -> Self {
        let is_in_time = latency_us <= route.objective_us();
        let is_late = !is_in_time && latency_us <= route.deadline_us();
        Self {
            in_time: f64::from(u8::from(is_in_time)),
            late: f64::from(u8::from(is_late)),
        }
    }

    /// Returns the share as a tally of one request.
    #[must_use]
    pub fn tally(&self) -> Tally {
        Tally {
            in_time: self.in_time,
            late: self.late,
            unserved: (1.0 - self.in_time - self.late).max(0.0),
        }
    }
}

/// The shares of one request in all schedules.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// In the relaxed schedule.
    pub bound: Share,
    /// In the schedule that full knowledge achieves.
    pub achievable: Share,
    /// In the first-come queue.
    pub first_come: Share,
}

/// All schedules of a trace.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Solution {
    /// Shares of each request, in the order of the trace.
    pub shares: Vec<Shares>,
    /// Upper bound of the answers in time of all routes together, whichever are served first.
    pub most_in_time: f64,
}

/// Computes all schedules of a trace.
#[must_use]
pub fn solve(model: &Model) -> Solution {
    let mut shares = vec![Shares::default(); model.requests.len()];
    let mut most_in_time = 0.0;
    for component in model.components() {
        let bound = relaxed_shares(model, &component, Order::Priority);
        let sum = |shares: &[Share]| shares.iter().map(|s| s.in_time).sum::<f64>();
        most_in_time += if is_uniform(model, &component) {
            sum(&bound)
        } else {
            sum(&relaxed_shares(model, &component, Order::Shortest))
        };
        let achievable = planned_shares(model, &component);
        let first_come = first_come_shares(model, &component);
        for (n, request) in component.requests.iter().enumerate() {
            shares[*request] = Shares {
                bound: bound[n],
                achievable: achievable[n],
                first_come: first_come[n],
            };
        }
    }
    Solution {
        shares,
        most_in_time,
    }
}

/// Returns whether all requests have the same priority and weight in time.
fn is_uniform(model: &Model, component: &Component) -> bool {
    let requests = component.requests.iter().map(|n| &model.requests[*n]);
    let mut terms = requests.map(|req| {
        let route = model.route_of(req);
        (route.priority, route.in_time_weight.to_bits())
    });
    let first = terms.next();
    terms.all(|term| Some(term) == first)
}

/// Runs `medlardyke measure bound`.
///
/// # Errors
///
/// Fails if a file can't be read or is not valid, or if a result can't be written.
pub fn run(args: &BoundArgs) -> Result<()> {
    let path = &args.description;
    let text =
        fs::read_to_string(path).with_context(|| format!("failed to read {}", path.display()))?;
    let description = serde_json::from_str(&text)
        .with_context(|| format!("failed to parse {}", path.display()))?;
    let trace: Vec<TraceRecord> = json_lines::read_records(&args.trace)?;
    let mut model = Model::new(description, &trace).with_context(|| {
        let trace = args.trace.display();
        format!("{} with {trace} is not valid", path.display())
    })?;
    let outcomes: Option<Vec<RunRecord>> = match &args.run {
        Some(path) => Some(json_lines::read_records(path)?),
        None => None,
    };
    let solution = solve(&model);
    let window_us = args.window_s * US_PER_S;
    let rows = Rows::new(&mut model, &solution, outcomes.as_deref(), window_us)
        .with_context(|| format!("the outcomes in {:?} are not valid", args.run))?;
    if args.json {
        output::print_json(&model, &rows, solution.most_in_time)?;
    } else {
        output::print_text(&model, &rows, solution.most_in_time)?;
    }
    if let Some(path) = &args.svg {
        let svg = plot::in_time_chart(&rows)?;
        fs::write(path, svg).with_context(|| format!("failed to write {}", path.display()))?;
    }
    Ok(())
}
