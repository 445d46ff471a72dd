//! Sampling of service times.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::settings::{ColdStart, ServiceTime};

/// Samples service times.
#[derive(Debug)]
pub(crate) struct ServiceTimeSampler {
    rng: StdRng,
    kind: ServiceTime,
    cold_start: ColdStart,
}

impl ServiceTimeSampler {
    pub(crate) fn new(seed: u64, kind: ServiceTime, cold_start: ColdStart) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            kind,
            cold_start,
        }
    }

    pub(crate) fn set_kind(&mut self, kind: ServiceTime) {
        self.kind = kind;
    }

    /// Samples the service time of a request that starts `uptime` after the upstream's start.
    pub(crate) fn sample_at(&mut self, uptime: Duration) -> Duration {
        let ms = sample(self.kind, &mut self.rng) * self.cold_start_factor(uptime);
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }

    fn cold_start_factor(&self, uptime: Duration) -> f64 {
        let ColdStart { factor, decay_ms } = self.cold_start;
        let decay = Duration::from_millis(decay_ms);
        if uptime >= decay {
            return 1.0;
        }
        let remaining = 1.0 - uptime.as_secs_f64() / decay.as_secs_f64();
        1.0 + (factor - 1.0) * remaining
    }
}

/// Samples a time, in milliseconds; returns zero if the settings are out of range.
fn sample(kind: ServiceTime, rng: &mut StdRng) -> f64 {
    match kind {
        ServiceTime::Fixed { ms } => ms,
        ServiceTime::Exponential { mean_ms } => {
            Exp::new(1.0 / mean_ms).map_or(0.0, |d| d.sample(rng))
        }
        ServiceTime::LogNormal { median_ms, sigma } => {
            LogNormal::new(median_ms.ln(), sigma).map_or(0.0, |d| d.sample(rng))
        }
    }
}
