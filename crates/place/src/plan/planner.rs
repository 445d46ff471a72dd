//! The planner.

use std::time::Duration;

use catalogue::Objective;
use ids::{KeyHash, SliceNo, Timestamp};

use crate::loads::{Loads, UpstreamKey};
use crate::sketch::{HotKey, Sketch};

/// Settings of a [`Planner`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Ratio of load to share above which an upstream sheds slices, at equal weights.
    pub trigger: f64,
    /// Time for which an upstream must be over before it sheds ordinary slices.
    pub persistence: Duration,
    /// Part of a share that a key must exceed to be carved out.
    pub carve_share: f64,
    /// Time for which a carved-out key must be cool before it is folded back.
    pub cooling: Duration,
    /// Most moves in one [`Self::window`], without those off leaving upstreams.
    pub budget: u32,
    /// Window of the budget.
    pub window: Duration,
    /// Most moves off leaving upstreams in one plan.
    pub evacuations: u32,
    /// Time after which a wish that was not carried out may be repeated.
    pub patience: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            trigger: 0.08,
            persistence: Duration::from_secs(5),
            carve_share: 0.1,
            cooling: Duration::from_mins(1),
            budget: 64,
            window: Duration::from_secs(10),
            evacuations: 32,
            patience: Duration::from_secs(5),
        }
    }
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Loads of the entry's slices and upstreams.
    pub loads: &'a Loads,
    /// Heaviest keys of the entry.
    pub sketch: &'a Sketch,
    /// Weights of imbalance and churn.
    pub objective: Objective,
    /// Number of the entry's slices.
    pub slices: u32,
}

/// A change of ownership that the planner asks for.
///
/// The caller tries it by compare-and-set, and tells [`Loads`] once it is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Wish {
    /// A slice goes from one upstream to another.
    Move {
        /// Slice; may be a carved-out key.
        slice: SliceNo,
        /// Owner.
        from: UpstreamKey,
        /// New owner.
        to: UpstreamKey,
        /// Its load, in busy slots, for the new owner's coordinating host.
        load: f64,
    },
    /// A key gets a slice of its own on another upstream.
    Carve {
        /// Hash of the key.
        key: KeyHash,
        /// Slice that holds it.
        slice: SliceNo,
        /// Owner.
        from: UpstreamKey,
        /// New owner.
        to: UpstreamKey,
        /// Its load, in busy slots, for the new owner's coordinating host.
        load: f64,
    },
    /// A carved-out key goes back to the slice it came from, wherever that is now.
    Fold {
        /// The key's own slice.
        slice: SliceNo,
        /// Owner.
        from: UpstreamKey,
    },
}

/// Buffers of a plan, kept from one plan to the next.
#[derive(Debug, Default)]
pub struct PlanContext {
    hot: Vec<HotKey>,
}

/// Plans for the slices of one host's upstreams of one entry.
#[derive(Debug)]
pub struct Planner {
    cfg: PlannerSettings,
}

impl Planner {
    /// Creates a planner.
    #[must_use]
    pub fn new(cfg: PlannerSettings) -> Self {
        Self { cfg }
    }

    /// Makes a plan and adds its wishes to `out`; to be called about once a second.
    pub fn plan(
        &mut self,
        now: Timestamp,
        input: &PlanInput<'_>,
        cx: &mut PlanContext,
        out: &mut Vec<Wish>,
    ) {
        let _ = (now, input, &mut cx.hot, out, self.cfg);
    }

    /// Tells whether a local upstream should take a slice of `load` busy slots that another host
    /// wants to move to it; guards against several hosts filling the same upstream at once.
    #[must_use]
    pub fn admits(
        &self,
        now: Timestamp,
        input: &PlanInput<'_>,
        to: UpstreamKey,
        load: f64,
    ) -> bool {
        let _ = (now, load, self.cfg);
        input.loads.capacity(to) > 0.0
    }
}
