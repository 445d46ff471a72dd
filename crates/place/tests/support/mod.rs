//! A small entry with its loads, driven second by second.

#![allow(dead_code, reason = "each test file uses part of it")]

use catalogue::Objective;
use ids::{KeyHash, SliceNo, Timestamp, UpstreamId};
use place::{
    Loads, LoadsSettings, PlanContext, PlanInput, Planner, PlannerSettings, Sample, UpstreamKey,
    UpstreamState, UpstreamView, Wish,
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
    /// An entry with its slices dealt out in turn over `upstreams` local ones.
    pub fn new(upstreams: usize, cfg: PlannerSettings) -> Self {
        let mut loads = Loads::new(LoadsSettings::default());
        let now = Timestamp::ZERO;
        let keys: Vec<UpstreamKey> = (0..upstreams)
            .map(|n| loads.set_upstream(now, view(n, UpstreamState::Steady)))
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

    /// Gives slice `n` as many requests of 1 ms as `rates[n]` in the next second.
    pub fn serve(&mut self, rates: &[u32]) {
        self.second += 1;
        for (slice, rate) in rates.iter().enumerate() {
            for n in 0..*rate {
                let key = KeyHash(((slice as u64) << 58) + u64::from(n));
                self.request(key, SliceNo(slice as u64), 1000);
            }
        }
    }

    /// Serves a key alone with `work_us`, wherever it is.
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

    pub fn plan(&mut self) -> Vec<Wish> {
        let mut wishes = Vec::new();
        let input = PlanInput {
            loads: &self.loads,
            objective: self.objective,
            slices: SLICES,
        };
        let now = Timestamp::from_millis(self.second * 1000);
        self.planner.plan(now, &input, &mut self.cx, &mut wishes);
        wishes
    }

    /// Carries out wishes as if every compare-and-set succeeded.
    pub fn carry_out(&mut self, wishes: &[Wish]) {
        let now = self.now();
        for wish in wishes {
            match *wish {
                Wish::Move {
                    slice, to, load, ..
                } => self.loads.assign(now, slice, to, load),
                Wish::Carve { key, to, load, .. } => {
                    self.loads.assign(now, key.hot_slice(), to, load);
                }
                Wish::Fold { slice, .. } => self.loads.unassign(slice),
            }
            self.planner.settle(wish.slice());
        }
        assert_eq!(self.loads.verify(), Vec::<String>::new());
    }

    /// Max/mean of the upstreams' observed loads.
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
