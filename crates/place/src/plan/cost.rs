//! What a move gains and what it costs.
//!
//! The *ratio* of an upstream is its load by its share, minus one. The cost of imbalance is the
//! sum of the squared ratios, the cost of churn is the part of an upstream's keys that change
//! owner. A move is worth it if the weighted gain exceeds the weighted cost.

use catalogue::Objective;

/// Churn that pays for itself by lowering a ratio by the same amount, at equal weights.
const EXCHANGE_RATE: f64 = 0.08;

/// Cost of one move apart from its keys: a row written, a slice held up for a moment.
const FIXED_COST: f64 = 0.004;

/// Returns how much the cost of imbalance falls if a load of `size` (in shares) leaves an upstream
/// at ratio `from` for one at ratio `to`.
#[must_use]
pub(crate) fn gain(from: f64, to: f64, size: f64) -> f64 {
    2.0 * size * (from - to - size)
}

/// Returns what a gain must exceed to pay for moving the part `keys` of an upstream's keys.
#[must_use]
pub(crate) fn price(objective: Objective, keys: f64) -> f64 {
    let weight = objective.churn / objective.imbalance.max(f64::MIN_POSITIVE);
    2.0 * EXCHANGE_RATE * weight * (keys + FIXED_COST)
}
