//! Computes medians and fits lines by least squares.

use serde::Serialize;

/// A straight line fitted to points.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct FittedLine {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y where x is zero.
    pub intercept: f64,
    /// Coefficient of determination: the fraction of the variance that the line explains.
    pub r_squared: f64,
}

/// Fits a line to points of (x, y) by least squares.
///
/// Returns `None` if all points have the same x.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> Option<FittedLine> {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    if points.len() < 2 || xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    let r_squared = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
    Some(FittedLine {
        slope,
        intercept: mean_y - slope * mean_x,
        r_squared,
    })
}

/// Returns the median, or zero if there are no values.
#[must_use]
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let mid = values.len() / 2;
    if values.len() % 2 == 1 {
        return values[mid];
    }
    f64::midpoint(values[mid - 1], values[mid])
}
