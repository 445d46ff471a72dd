//! Schedule of a load's requests, without I/O or clock access.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, Zipf};
use smol_str::{SmolStr, format_smolstr};

use super::settings::LoadSettings;

/// Offset by which the hot keys move; it has no common factor with usual key counts.
const MOVE_STRIDE: u64 = 1_000_003;

/// A request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Scheduled time, from the start of the load.
    pub at: Duration,
    /// Id.
    pub id: SmolStr,
    /// Index of the entry in the settings.
    pub entry: usize,
    /// Key, if the entry is divided by key.
    pub key: Option<SmolStr>,
    /// Index of the target in the settings.
    pub target: usize,
}

/// Iterator over all requests of a load, in order of their scheduled times.
#[derive(Debug)]
pub struct Schedule {
    rng: StdRng,
    intervals: Exp<f64>,
    entries: WeightedIndex<f64>,
    divided: Vec<bool>,
    ranks: Zipf<f64>,
    keys: super::settings::KeyDistribution,
    targets: usize,
    repeat_share: f64,
    end: Duration,
    prefix: SmolStr,
    at: Duration,
    next: u64,
    repeat: Option<PlannedRequest>,
}

impl Schedule {
    /// Creates the schedule of a load whose request ids start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if there is no target or no entry, or if a distribution's parameter is invalid.
    pub fn new(cfg: &LoadSettings, prefix: SmolStr) -> anyhow::Result<Self> {
        anyhow::ensure!(!cfg.targets.is_empty(), "the load has no target");
        Ok(Self {
            rng: StdRng::seed_from_u64(cfg.seed),
            intervals: Exp::new(cfg.rate_per_s)?,
            entries: WeightedIndex::new(cfg.entries.iter().map(|e| e.share))?,
            divided: cfg.entries.iter().map(|e| e.key.is_some()).collect(),
            ranks: Zipf::new(cfg.keys.count as f64, cfg.keys.exponent)?,
            keys: cfg.keys,
            targets: cfg.targets.len(),
            repeat_share: cfg.repeat_share,
            end: Duration::from_millis(cfg.duration_ms),
            prefix,
            at: Duration::ZERO,
            next: 0,
            repeat: None,
        })
    }

    fn sample_key(&mut self) -> SmolStr {
        let rank = self.ranks.sample(&mut self.rng) as u64;
        let moves = match self.keys.move_every_ms {
            0 => 0,
            every => self.at.as_millis() as u64 / every,
        };
        let number = (rank + moves * MOVE_STRIDE) % self.keys.count;
        format_smolstr!("key-{number}")
    }
}

impl Iterator for Schedule {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        if let Some(repeat) = self.repeat.take() {
            return Some(repeat);
        }
        self.at += Duration::from_secs_f64(self.intervals.sample(&mut self.rng));
        if self.at >= self.end {
            return None;
        }
        let entry = self.entries.sample(&mut self.rng);
        let planned = PlannedRequest {
            at: self.at,
            id: format_smolstr!("{}-{}", self.prefix, self.next),
            entry,
            key: self.divided[entry].then(|| self.sample_key()),
            target: self.rng.random_range(0..self.targets),
        };
        self.next += 1;
        if self.rng.random::<f64>() < self.repeat_share {
            let target = self.rng.random_range(0..self.targets);
            self.repeat = Some(PlannedRequest {
                target,
                ..planned.clone()
            });
        }
        Some(planned)
    }
}
