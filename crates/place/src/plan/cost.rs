//! Gain and cost of a move.
//!
//! The cost of imbalance is the sum of the squared ratios. The cost of churn depends on the
//! fraction of an upstream's keys that change owner and on the load that the move delays, as a
//! multiple of the upstream's share. A move is worthwhile if its weighted gain exceeds its weighted
//! cost.

use catalogue::Objective;

use super::settings::churn_weight;

/// Factor that converts churn, as a fraction of keys and load moved, to ratio, at equal weights.
const CHURN_COST: f64 = 0.08;

/// Cost of moving a fraction of the load, relative to that of moving the same fraction of the keys.
const LOAD_COST: f64 = 0.5;

/// Cost of one move apart from its keys: a row is written, and requests of the slice wait briefly.
const FIXED_COST: f64 = 0.0005;

/// Fraction of its size by which a move must lower the higher of the two ratios. It keeps a hot key
/// from moving on from one upstream to the next.
const MIN_IMPROVEMENT: f64 = 0.25;

/// The source or the destination of a move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MoveEndpoint {
    /// Ratio before the move.
    pub ratio: f64,
    /// Load that moves, divided by the share of this upstream.
    pub size: f64,
}

/// Returns by how much a move lowers the cost of imbalance.
#[must_use]
pub(crate) fn gain(source: MoveEndpoint, destination: MoveEndpoint) -> f64 {
    source.size * (2.0 * source.ratio - source.size)
        - destination.size * (2.0 * destination.ratio + destination.size)
}

/// Returns whether a move lowers the higher ratio by at least [`MIN_IMPROVEMENT`] of its size.
#[must_use]
pub(crate) fn improves(source: MoveEndpoint, destination: MoveEndpoint) -> bool {
    let after = destination.ratio + destination.size;
    after <= source.ratio - MIN_IMPROVEMENT * source.size
}

/// Returns the cost of churn, which the gain must exceed, of moving `size` shares of load and the
/// fraction `key_fraction` of an upstream's keys.
#[must_use]
pub(crate) fn churn_cost(objective: Objective, key_fraction: f64, size: f64) -> f64 {
    2.0 * CHURN_COST * churn_weight(objective) * (key_fraction + LOAD_COST * size + FIXED_COST)
}

/// Returns the load moved per unit of churn.
#[must_use]
pub(crate) fn density(size: f64, key_fraction: f64) -> f64 {
    size / (key_fraction + FIXED_COST)
}
