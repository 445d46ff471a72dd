//! Faults injected into calls.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Availability of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Mode {
    /// It serves calls.
    #[default]
    Up,
    /// It refuses connections and closes the open ones.
    Down,
    /// It accepts connections and calls, but neither executes nor answers the calls; their
    /// connections are closed when the mode changes.
    Stall,
    /// It serves calls after a delay. Half of the delay passes before a call takes effect, which
    /// happens even if the caller has disconnected by then.
    Slow {
        /// The total delay, in milliseconds.
        delay_ms: u64,
    },
}

impl Mode {
    /// Returns half of the delay that the mode adds to a call.
    #[must_use]
    pub const fn half_delay(self) -> Duration {
        match self {
            Self::Slow { delay_ms } => Duration::from_micros(delay_ms * 500),
            _ => Duration::ZERO,
        }
    }
}

/// Which writes are executed but not answered: their connection is closed instead.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum LoseConfirmations {
    /// None.
    #[default]
    None,
    /// This number of the next writes.
    Next(u32),
    /// A random fraction.
    Fraction {
        /// Fraction of all writes, from 0 to 1.
        p: f64,
        /// Seed of the random selection.
        seed: u64,
    },
}

/// Faults injected into calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Availability of the platform.
    pub mode: Mode,
    /// Writes whose confirmations are lost.
    pub lose_confirmations: LoseConfirmations,
}

/// Selects the writes whose confirmations are lost.
#[derive(Debug)]
pub struct ConfirmationLoss {
    plan: LoseConfirmations,
    rng: StdRng,
}

impl ConfirmationLoss {
    /// Creates the selection for a plan.
    #[must_use]
    pub fn new(plan: LoseConfirmations) -> Self {
        let seed = match plan {
            LoseConfirmations::Fraction { seed, .. } => seed,
            _ => 0,
        };
        Self {
            plan,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the rest of the plan.
    #[must_use]
    pub const fn plan(&self) -> LoseConfirmations {
        self.plan
    }

    /// Returns whether the next write's confirmation is lost.
    pub fn next_is_lost(&mut self) -> bool {
        match &mut self.plan {
            LoseConfirmations::None | LoseConfirmations::Next(0) => false,
            LoseConfirmations::Next(left) => {
                *left -= 1;
                true
            }
            LoseConfirmations::Fraction { p, .. } => self.rng.random_bool(p.clamp(0.0, 1.0)),
        }
    }
}
