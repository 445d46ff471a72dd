//! A small entry with its loads and planner, advanced in steps of one second.

#![allow(dead_code, reason = "each test file uses part of it")]

use catalogue::Objective;
use ids::{KeyHash, SliceNo, Timestamp, UpstreamId};
use place::{
    Loads, LoadsSettings, PlanContext, PlanInput, Planner, PlannerSettings, ProposedMove, Sample,
    UpstreamKey, UpstreamState, UpstreamView,
};

pub const SLICES: u32 = 64;

pub struct Entry {
    pub loads: Loads,
    pub planner: Planner,
    pub objective: Objective,
    pub keys: Vec<UpstreamKey>,
    pub second: u64,
    cx: PlanContext,
}

pub fn view(n: usize, state: UpstreamState) -> UpstreamView {
    UpstreamView {
        upstream: UpstreamId::new(format!("upstream-{n}")).expect("a name"),
        slots: 4,
        state,
        local: true,
    }
}

impl Entry {
    /// Creates an entry with its slices assigned in rotation to `upstreams` local upstreams.
    pub fn new(upstreams: usize, cfg: PlannerSettings) -> Self {
        let mut loads = Loads::new(LoadsSettings::default());
        let now = Timestamp::ZERO;
        let keys: Vec<UpstreamKey> = (0..upstreams)
            .map(|n| loads.set_upstream(now, view(n, UpstreamState::Active)))
            .collect();
        for slice in 0..u64::from(SLICES) {
            let owner = keys[slice as usize % upstreams];
            loads.assign(now, SliceNo(slice), owner, 0.0);
        }
        Self {
            loads,
            planner: Planner::new(cfg),
            objective: Objective::default(),
            keys,
            second: 0,
            cx: PlanContext::default(),
        }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.second * 1000)
    }

    pub fn set_state(&mut self, n: usize, state: UpstreamState) {
        let now = self.now();
        self.loads.set_upstream(now, view(n, state));
    }

    /// Records `rates[n]` requests of 1 ms for each slice `n` in the next second.
    pub fn serve(&mut self, rates: &[u32]) {
        self.second += 1;
        for (slice, rate) in rates.iter().enumerate() {
            for n in 0..*rate {
                let key = KeyHash(((slice as u64) << 58) + u64::from(n));
                self.request(key, SliceNo(slice as u64), 1000);
            }
        }
    }

    /// Records a request of `work_us` for a key, in its own slice if it is carved out and else in
    /// `base`.
    pub fn request(&mut self, key: KeyHash, base: SliceNo, work_us: u32) {
        let hot = key.hot_slice();
        let slice = if self.loads.owner(hot).is_some() {
            hot
        } else {
            base
        };
        let now = self.now();
        let sample = Sample {
            key,
            slice,
            work_us,
        };
        self.loads.record(now, sample);
    }

    pub fn plan(&mut self) -> Vec<ProposedMove> {
        let mut proposals = Vec::new();
        let input = PlanInput {
            loads: &self.loads,
            objective: self.objective,
            slices: SLICES,
        };
        let now = Timestamp::from_millis(self.second * 1000);
        self.planner.plan(now, &input, &mut self.cx, &mut proposals);
        proposals
    }

    /// Carries out proposals as if every compare-and-set succeeded.
    pub fn carry_out(&mut self, proposals: &[ProposedMove]) {
        let now = self.now();
        for proposal in proposals {
            match *proposal {
                ProposedMove::Move {
                    slice, to, load, ..
                } => self.loads.assign(now, slice, to, load),
                ProposedMove::Carve { key, to, load, .. } => {
                    self.loads.assign(now, key.hot_slice(), to, load);
                }
                ProposedMove::Fold { slice, .. } => self.loads.unassign(slice),
            }
            self.planner.completed(proposal.slice());
        }
        assert_eq!(self.loads.verify(), Vec::<String>::new());
    }

    /// Returns the maximum of the upstreams' loads divided by their mean.
    pub fn imbalance(&self) -> f64 {
        let loads: Vec<f64> = self
            .keys
            .iter()
            .map(|key| self.loads.load(self.now(), *key))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        loads.iter().copied().fold(0.0, f64::max) / mean
    }
}
