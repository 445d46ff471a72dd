//! What a move gains and what it costs.
//!
//! The cost of imbalance is the sum of the squared ratios. The cost of churn is the part of an
//! upstream's keys that change owner and the part of its load that meets the move. A move is worth
//! it if the weighted gain exceeds the weighted cost.

use catalogue::Objective;

use super::settings::churn_weight;

/// Part of the keys and load moved that each point of the ratio has to pay for, at equal weights.
const EXCHANGE_RATE: f64 = 0.08;

/// Cost of moving a part of the load, by that of moving the same part of the keys.
const LOAD_COST: f64 = 0.5;

/// Cost of one move apart from its keys: a row written, a slice held up for a moment.
const FIXED_COST: f64 = 0.0005;

/// Part of its size by which a moved slice must lower the higher of the two ratios, lest a hot key
/// wanders from one upstream to the next.
const MIN_IMPROVEMENT: f64 = 0.25;

/// One end of a move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End {
    /// Ratio before the move.
    pub ratio: f64,
    /// Load that moves, by the share of this upstream.
    pub size: f64,
}

/// Returns how much the cost of imbalance falls by a move.
#[must_use]
pub(crate) fn gain(from: End, to: End) -> f64 {
    from.size * (2.0 * from.ratio - from.size) - to.size * (2.0 * to.ratio + to.size)
}

/// Tells whether the move lowers the higher ratio by enough of its size.
#[must_use]
pub(crate) fn improves(from: End, to: End) -> bool {
    let after = to.ratio + to.size;
    after <= from.ratio - MIN_IMPROVEMENT * from.size
}

/// Returns what the gain must exceed to pay for moving `size` shares of load and the part `keys` of
/// an upstream's keys.
#[must_use]
pub(crate) fn price(objective: Objective, keys: f64, size: f64) -> f64 {
    2.0 * EXCHANGE_RATE * churn_weight(objective) * (keys + LOAD_COST * size + FIXED_COST)
}

/// Returns the load moved for each unit of the price.
#[must_use]
pub(crate) fn density(size: f64, keys: f64) -> f64 {
    size / (keys + FIXED_COST)
}
