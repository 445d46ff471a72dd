//! What goes wrong with calls.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// How the platform is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Mode {
    /// It serves.
    #[default]
    Up,
    /// It refuses connections; those that were open are closed.
    Down,
    /// It accepts connections and calls, carries out none and answers none; the connections
    /// of such calls are closed when the mode changes.
    Stall,
    /// It serves late. Half of the delay passes before a call has its effect, which it has
    /// even if the caller has gone by then.
    Slow {
        /// The whole delay, in milliseconds.
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

/// Which writes are carried out without an answer: their connection is closed instead.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum LoseConfirmations {
    /// None.
    #[default]
    None,
    /// The next ones.
    Next(u32),
    /// Some, drawn at random.
    Fraction {
        /// Share of all writes, from 0 to 1.
        p: f64,
        /// Seed of the draws.
        seed: u64,
    },
}

/// What goes wrong with calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How the platform is.
    pub mode: Mode,
    /// Which confirmations are lost.
    pub lose_confirmations: LoseConfirmations,
}

/// Draws which confirmations are lost.
#[derive(Debug)]
pub struct Losses {
    plan: LoseConfirmations,
    rng: StdRng,
}

impl Losses {
    /// Starts a plan.
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

    /// Returns what is left of the plan.
    #[must_use]
    pub const fn plan(&self) -> LoseConfirmations {
        self.plan
    }

    /// Tells whether the next write's confirmation is lost.
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
