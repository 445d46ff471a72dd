//! Tallies by route, failure domain and window, and in total.

use std::ops::AddAssign;

use indexmap::IndexMap;
use serde::Serialize;

use super::model::{InputError, Model, Outcome, RunRecord, find_route, index, is_time, to_us};
use super::{Shares, Solution};

/// Requests by how they ended. Of the relaxed schedule, a request may count by fractions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Tally {
    /// Answered within the objective.
    pub in_time: f64,
    /// Answered later than that.
    pub late: f64,
    /// Not answered.
    pub unserved: f64,
}

impl Tally {
    /// Returns the number of all requests.
    #[must_use]
    pub fn asked(&self) -> f64 {
        self.in_time + self.late + self.unserved
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, rhs: Self) {
        self.in_time += rhs.in_time;
        self.late += rhs.late;
        self.unserved += rhs.unserved;
    }
}

/// What is counted by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Number of the window in which the requests arrived, from time 0.
    pub window: u64,
    /// Index of the route.
    pub route: usize,
    /// Index of the failure domain.
    pub domain: usize,
}

/// The tallies of all schedules and of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Requests of the trace.
    pub asked: u64,
    /// The upper bound, by the relaxed schedule.
    pub bound: Tally,
    /// The schedule that full knowledge achieves.
    pub achievable: Tally,
    /// The first-come queue.
    pub first_come: Tally,
    /// The run, if its outcomes are given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run: Option<Tally>,
}

impl Row {
    /// Returns the run's answers in time as a fraction of the bound's.
    #[must_use]
    pub fn run_of_bound(&self) -> Option<f64> {
        let run = self.run.filter(|_| self.bound.in_time > 0.0)?;
        Some(run.in_time / self.bound.in_time)
    }

    fn add_shares(&mut self, shares: &Shares) {
        self.asked += 1;
        self.bound += shares.bound.tally();
        self.achievable += shares.achievable.tally();
        self.first_come += shares.first_come.tally();
    }
}

impl AddAssign<&Self> for Row {
    fn add_assign(&mut self, rhs: &Self) {
        self.asked += rhs.asked;
        self.bound += rhs.bound;
        self.achievable += rhs.achievable;
        self.first_come += rhs.first_come;
        if let Some(run) = rhs.run {
            *self.run.get_or_insert_default() += run;
        }
    }
}

/// All rows, in the order of window, route and domain.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rows {
    /// Rows by what they count.
    pub rows: IndexMap<RowKey, Row>,
    /// Length of a window in microseconds.
    pub window_us: u64,
}

impl Rows {
    /// Counts the shares of a solution, and the outcomes of a run if they are given.
    ///
    /// Adds the domains that only the run has to the model.
    ///
    /// # Errors
    ///
    /// Fails at the first outcome with an unknown route or a negative time.
    pub fn new(
        model: &mut Model,
        solution: &Solution,
        run: Option<&[RunRecord]>,
        window_us: u64,
    ) -> Result<Self, InputError> {
        let mut rows: IndexMap<RowKey, Row> = IndexMap::new();
        for (req, shares) in model.requests.iter().zip(&solution.shares) {
            let key = RowKey {
                window: req.arrival_us / window_us,
                route: req.route,
                domain: req.domain,
            };
            rows.entry(key).or_default().add_shares(shares);
        }
        if let Some(run) = run {
            for row in rows.values_mut() {
                row.run = Some(Tally::default());
            }
            add_run(&mut rows, model, run, window_us)?;
        }
        rows.sort_unstable_keys();
        Ok(Self { rows, window_us })
    }

    /// Returns the sum of the rows for which `key` gives the same value, in the order of values.
    #[must_use]
    pub fn sums<K: std::hash::Hash + Ord>(&self, key: impl Fn(&RowKey) -> K) -> IndexMap<K, Row> {
        let mut sums: IndexMap<K, Row> = IndexMap::new();
        for (row_key, row) in &self.rows {
            *sums.entry(key(row_key)).or_default() += row;
        }
        sums.sort_unstable_keys();
        sums
    }
}

fn add_run(
    rows: &mut IndexMap<RowKey, Row>,
    model: &mut Model,
    run: &[RunRecord],
    window_us: u64,
) -> Result<(), InputError> {
    let routes = index(model.routes.iter().map(|r| &r.name));
    for (n, record) in run.iter().enumerate() {
        if !is_time(record.arrival_ms) || !is_time(record.latency_ms) {
            return Err(InputError::BadTime(n + 1));
        }
        let route = find_route(&routes, n + 1, &record.route)?;
        let key = RowKey {
            window: to_us(record.arrival_ms) / window_us,
            route,
            domain: model.domains.insert_full(record.domain.clone()).0,
        };
        let run = rows.entry(key).or_default().run.get_or_insert_default();
        match record.outcome {
            Outcome::Answered if record.latency_ms <= model.routes[route].objective_ms => {
                run.in_time += 1.0;
            }
            Outcome::Answered => run.late += 1.0,
            Outcome::Refused | Outcome::Failed => run.unserved += 1.0,
        }
    }
    Ok(())
}
