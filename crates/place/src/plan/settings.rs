//! Settings of the planner.

use std::time::Duration;

use catalogue::Objective;

/// The weights of an objective count only up to this ratio to each other.
const MAX_WEIGHT: f64 = 4.0;

/// Settings of a [`crate::Planner`].
///
/// The *ratio* of an upstream is its load by its share of the entry's load, minus one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Ratio above which an upstream sheds slices, at equal weights.
    pub trigger: f64,
    /// Time for which an upstream must be above the trigger before hot keys are moved off it, to
    /// where they fit.
    pub hot_persistence: Duration,
    /// Time for which it must be above the trigger before hot keys that fit nowhere are moved to
    /// where they do least harm.
    pub misfit_persistence: Duration,
    /// Time for which an upstream must be above the trigger before ordinary slices are moved off
    /// it; longer, as the load often comes from a hot key that is soon moved.
    pub persistence: Duration,
    /// Multiple of the trigger by which an upstream must be below its share to be filled from
    /// upstreams that are not above the trigger.
    pub pull: f64,
    /// Time for which an upstream must be that far below before it is filled; an arriving one is
    /// filled at once.
    pub pull_persistence: Duration,
    /// Part of a share that a key must exceed to be carved out.
    pub carve_share: f64,
    /// Time for which a carved-out key must be cool before it is folded back.
    pub cooling: Duration,
    /// Most moves in one [`Self::window`], without those off leaving upstreams.
    pub budget: usize,
    /// Window of the budget.
    pub window: Duration,
    /// Most moves off leaving upstreams in one plan.
    pub evacuations: usize,
    /// Time after which a wish that was not settled counts as failed, and for which nothing is
    /// moved to the target of a failed one.
    pub patience: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            trigger: 0.08,
            hot_persistence: Duration::from_secs(3),
            misfit_persistence: Duration::from_secs(4),
            persistence: Duration::from_secs(10),
            pull: 3.0,
            pull_persistence: Duration::from_secs(20),
            carve_share: 0.08,
            cooling: Duration::from_mins(1),
            budget: 64,
            window: Duration::from_secs(10),
            evacuations: 32,
            patience: Duration::from_secs(5),
        }
    }
}

impl PlannerSettings {
    /// Returns the trigger under `objective`: the more churn weighs, the higher.
    #[must_use]
    pub fn trigger_for(&self, objective: Objective) -> f64 {
        self.trigger * churn_weight(objective)
    }
}

/// Returns the weight of churn by that of imbalance.
#[must_use]
pub(crate) fn churn_weight(objective: Objective) -> f64 {
    let weight = objective.churn / objective.imbalance.max(f64::MIN_POSITIVE);
    weight.clamp(MAX_WEIGHT.recip(), MAX_WEIGHT)
}
