//! Settings of the planner.

use std::time::Duration;

use catalogue::Objective;

/// Limit, in both directions, of the ratio between the weights of an objective.
const MAX_WEIGHT_RATIO: f64 = 4.0;

/// Settings of a [`crate::Planner`].
///
/// The *ratio* of an upstream is its load divided by its share of the entry's load, minus one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Ratio above which slices are moved off an upstream, at equal weights.
    pub trigger: f64,
    /// Time for which an upstream must be above the trigger before hot keys are moved off it to
    /// upstreams where they fit.
    pub hot_key_delay: Duration,
    /// Time for which an upstream must be above the trigger before hot keys that fit nowhere are
    /// moved off it as well, to upstreams with little load.
    pub misfit_key_delay: Duration,
    /// Time for which an upstream must be above the trigger before ordinary slices are moved off
    /// it; longer, as the load often comes from a hot key that is moved soon.
    pub slice_delay: Duration,
    /// Multiple of the trigger by which an upstream must be below its share before slices are moved
    /// to it from upstreams that are not above the trigger.
    pub underload_factor: f64,
    /// Time for which an upstream must be that far below its share before slices are moved to it;
    /// zero for an upstream in warm-up.
    pub underload_delay: Duration,
    /// Fraction of an upstream's share that a key's load must exceed for the key to be carved out.
    pub carve_threshold: f64,
    /// Time for which a carved-out key must be cold before it is folded back.
    pub fold_delay: Duration,
    /// Maximum number of moves in one [`Self::move_window`], without those off draining upstreams.
    pub max_moves: usize,
    /// Length of the sliding window for which [`Self::max_moves`] holds.
    pub move_window: Duration,
    /// Maximum number of moves off draining upstreams in one plan.
    pub max_drain_moves: usize,
    /// Time after which a proposal that was not completed counts as failed, and for which nothing
    /// is moved to the destination of a failed one.
    pub proposal_timeout: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            trigger: 0.08,
            hot_key_delay: Duration::from_secs(3),
            misfit_key_delay: Duration::from_secs(4),
            slice_delay: Duration::from_secs(10),
            underload_factor: 3.0,
            underload_delay: Duration::from_secs(20),
            carve_threshold: 0.08,
            fold_delay: Duration::from_mins(1),
            max_moves: 64,
            move_window: Duration::from_secs(10),
            max_drain_moves: 32,
            proposal_timeout: Duration::from_secs(5),
        }
    }
}

impl PlannerSettings {
    /// Returns the trigger under `objective`; it is higher if churn has a greater weight.
    #[must_use]
    pub fn trigger_for(&self, objective: Objective) -> f64 {
        self.trigger * churn_weight(objective)
    }
}

/// Returns the weight of churn divided by that of imbalance.
#[must_use]
pub(crate) fn churn_weight(objective: Objective) -> f64 {
    let weight = objective.churn / objective.imbalance.max(f64::MIN_POSITIVE);
    weight.clamp(MAX_WEIGHT_RATIO.recip(), MAX_WEIGHT_RATIO)
}
