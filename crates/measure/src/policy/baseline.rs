//! Baseline policies: plain hashing, rendezvous hashing with bounded loads, greedy moves, and an
//! optimisation over recent load.
//!
//! All of them use the same exponentially decayed load of each slice as the planner.

use ids::{ArenaKey, SliceNo, Timestamp};
use place::{Candidate, Decay, LoadsSettings, UnassignedSlice, UpstreamKey, rendezvous_bounded};
use smol_str::SmolStr;

use super::planner::upstream_name;
use super::{Ownership, Policy};
use crate::workload::Request;

/// How a [`BaselinePolicy`] chooses owners.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// Never moves a slice.
    Static,
    /// Reassigns all slices by rendezvous hashing every `interval_s` seconds, with no upstream
    /// above its share by more than `slack`.
    RendezvousBounded {
        /// Fraction of its share by which an upstream may exceed that share.
        slack: f64,
        /// Seconds between reassignments.
        interval_s: u64,
    },
    /// Moves slices from the most to the least loaded upstream while the most loaded one is above
    /// its share by more than `slack`, at most `max_moves` slices every `interval_s` seconds.
    Greedy {
        /// Fraction of its share by which an upstream may exceed that share.
        slack: f64,
        /// Most moves in one round.
        max_moves: usize,
        /// Seconds between rounds.
        interval_s: u64,
    },
    /// Every `interval_s` seconds, repeatedly makes the move that lowers the sum of squared loads
    /// most, until no move lowers it by more than `min_gain` times the squared share.
    MinimizeSquares {
        /// Smallest gain of a move, as a multiple of the squared share.
        min_gain: f64,
        /// Seconds between rounds.
        interval_s: u64,
    },
}

/// A policy that the planner is compared with.
#[derive(Debug)]
pub struct BaselinePolicy {
    name: SmolStr,
    rule: Rule,
    ownership: Ownership,
    upstreams: usize,
    decay: Decay,
    slice_work: Vec<f64>,
    seconds: u64,
}

impl BaselinePolicy {
    /// Creates a policy that starts from the given owners.
    #[must_use]
    pub fn new(name: &str, rule: Rule, upstreams: u32, ownership: Ownership) -> Self {
        let time_constant = LoadsSettings::default().time_constant;
        Self {
            name: SmolStr::new(name),
            rule,
            upstreams: upstreams as usize,
            decay: Decay::new(time_constant),
            slice_work: vec![0.0; ownership.slices().len()],
            ownership,
            seconds: 0,
        }
    }

    fn slice_loads(&self, now: Timestamp) -> Vec<f64> {
        self.slice_work
            .iter()
            .map(|s| self.decay.rate(now, *s))
            .collect()
    }

    fn upstream_loads(&self, slices: &[f64]) -> Vec<f64> {
        let mut loads = vec![0.0; self.upstreams];
        for (slice, load) in slices.iter().enumerate() {
            loads[self.ownership.slices()[slice]] += load;
        }
        loads
    }

    fn place_by_rendezvous(&mut self, now: Timestamp, slack: f64) {
        let unassigned: Vec<UnassignedSlice> = self
            .slice_loads(now)
            .into_iter()
            .enumerate()
            .map(|(slice, load)| UnassignedSlice {
                slice: SliceNo(slice as u64),
                load,
            })
            .collect();
        let owners = rendezvous_bounded(&unassigned, &candidates(self.upstreams), slack);
        for (unassigned_slice, owner) in unassigned.iter().zip(owners) {
            self.ownership.assign(unassigned_slice.slice, owner.index());
        }
    }

    fn rebalance(&mut self, now: Timestamp, slack: f64, max_moves: usize) {
        let slices = self.slice_loads(now);
        let mut loads = self.upstream_loads(&slices);
        let share = loads.iter().sum::<f64>() / self.upstreams as f64;
        for _ in 0..max_moves {
            let (from, to) = most_and_least_loaded(&loads);
            if loads[from] <= share * (1.0 + slack) {
                return;
            }
            let gap = loads[from] - loads[to];
            let best = slices_of(&self.ownership, from)
                .filter(|slice| slices[*slice] < gap)
                .max_by(|a, b| {
                    let balance = |s: &usize| slices[*s] * (gap - slices[*s]);
                    balance(a).total_cmp(&balance(b))
                });
            let Some(slice) = best else { return };
            loads[from] -= slices[slice];
            loads[to] += slices[slice];
            self.ownership.assign(SliceNo(slice as u64), to);
        }
    }

    fn minimize_squares(&mut self, now: Timestamp, min_gain: f64) {
        let slices = self.slice_loads(now);
        let mut loads = self.upstream_loads(&slices);
        let share = loads.iter().sum::<f64>() / self.upstreams as f64;
        let gain = |loads: &[f64], slice: usize, from: usize, to: usize| {
            2.0 * slices[slice] * (loads[from] - loads[to] - slices[slice])
        };
        for _ in 0..slices.len() {
            let mut best = (min_gain * share * share, None);
            let (_, to) = most_and_least_loaded(&loads);
            for slice in 0..slices.len() {
                let from = self.ownership.slices()[slice];
                let gain = gain(&loads, slice, from, to);
                if gain > best.0 {
                    best = (gain, Some((slice, from)));
                }
            }
            let Some((slice, from)) = best.1 else { return };
            loads[from] -= slices[slice];
            loads[to] += slices[slice];
            self.ownership.assign(SliceNo(slice as u64), to);
        }
    }
}

impl Policy for BaselinePolicy {
    fn name(&self) -> &str {
        &self.name
    }

    fn serve(&mut self, now: Timestamp, req: &Request) -> usize {
        let (slice, owner) = self.ownership.locate(req.key, req.slice);
        self.slice_work[slice.0 as usize] += f64::from(req.work_us) / 1e6 * self.decay.weight(now);
        owner
    }

    fn tick(&mut self, now: Timestamp) {
        if let Some(factor) = self.decay.rebase(now) {
            for sum in &mut self.slice_work {
                *sum *= factor;
            }
        }
        self.seconds += 1;
        match self.rule {
            Rule::RendezvousBounded { slack, interval_s }
                if self.seconds.is_multiple_of(interval_s) =>
            {
                self.place_by_rendezvous(now, slack);
            }
            Rule::Greedy {
                slack,
                max_moves,
                interval_s,
            } if self.seconds.is_multiple_of(interval_s) => self.rebalance(now, slack, max_moves),
            Rule::MinimizeSquares {
                min_gain,
                interval_s,
            } if self.seconds.is_multiple_of(interval_s) => {
                self.minimize_squares(now, min_gain);
            }
            _ => {}
        }
    }

    fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    fn ownership_mut(&mut self) -> &mut Ownership {
        &mut self.ownership
    }
}

/// Returns `count` upstreams with a capacity of one slot each and no load.
#[must_use]
pub fn candidates(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|n| Candidate {
            key: UpstreamKey::from_index(n),
            name_hash: xxhash_rust::xxh3::xxh3_64(upstream_name(n).as_str().as_bytes()),
            capacity: 1.0,
            load: 0.0,
        })
        .collect()
}

fn slices_of(ownership: &Ownership, upstream: usize) -> impl Iterator<Item = usize> {
    let owners = ownership.slices().iter().enumerate();
    owners.filter_map(move |(slice, owner)| (*owner == upstream).then_some(slice))
}

/// Returns the most and the least loaded upstream.
fn most_and_least_loaded(loads: &[f64]) -> (usize, usize) {
    let by_load = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
    let most_loaded = (0..loads.len()).max_by(by_load).unwrap_or(0);
    let least_loaded = (0..loads.len()).min_by(by_load).unwrap_or(0);
    (most_loaded, least_loaded)
}
