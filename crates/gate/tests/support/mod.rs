//! What the tests of the gate share: hosts, an upstream that misbehaves on demand, a caller.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod caller;
pub mod rig;
pub mod upstream;

use std::time::{Duration, Instant};

/// Longest time for a condition to come true.
const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics if it does not hold in time.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < PATIENCE, "in vain: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
