//! Whether a caller was refused before and has come back.
//!
//! Callers say how long they still wait. On one route most wait equally long at first, so that one who
//! waits for less has used up some of that time elsewhere. Such a caller has few tries left, often
//! none: an answer that comes late is worth more to it than another refusal.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Part of the usual wait below which a caller has come back.
///
/// The least time until a caller is back is some 50 ms, of waits of a second or more.
const BACK_BELOW: f64 = 0.97;
/// Part by which the usual wait grows with each caller that waits longer, and shrinks with each that
/// does not: it stays where a quarter wait longer. Of callers that come back once, at least half are
/// there for the first time, however many are refused; and one odd caller changes little.
const GROW: f64 = 0.015;
const SHRINK: f64 = GROW / 3.0;

/// How long callers wait, by route.
#[derive(Debug, Default)]
pub struct Returns {
    /// Seconds for which callers wait at first.
    usual: HashMap<SmolStr, f64>,
}

impl Returns {
    /// Notes a caller on `route` that still waits for `wait`; returns how long ago it first asked,
    /// zero if it has not come back.
    pub fn asked_before(&mut self, route: &SmolStr, wait: Duration) -> Duration {
        let wait = wait.as_secs_f64();
        let Some(usual) = self.usual.get_mut(route) else {
            self.usual.insert(route.clone(), wait);
            return Duration::ZERO;
        };
        let is_back = wait < *usual * BACK_BELOW;
        let before = if is_back { *usual - wait } else { 0.0 };
        *usual = if wait >= *usual {
            wait.min(*usual * (1.0 + GROW))
        } else {
            *usual * (1.0 - SHRINK)
        };
        Duration::from_secs_f64(before)
    }
}
