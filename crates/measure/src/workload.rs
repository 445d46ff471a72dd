//! Generated load: Zipf-distributed keys, a changing hot set, bursts, a daily cycle.

use ids::{KeyHash, SliceNo};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Poisson, Zipf};
use serde::Serialize;
use smol_str::SmolStr;

/// Parameters of the generated load.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WorkloadSettings {
    /// Name of the case.
    pub name: SmolStr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Upstreams of the entry.
    pub upstreams: u32,
    /// Slots of each upstream.
    pub slots: u32,
    /// Slices of the entry.
    pub slices: u32,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf distribution of keys.
    pub exponent: f64,
    /// Number of heaviest ranks to leave out, so that no key exceeds an upstream's share.
    pub skipped_ranks: u64,
    /// Fraction of all slots that is busy on average.
    pub utilisation: f64,
    /// Mean work of a request in microseconds; exponentially distributed.
    pub work_us: f64,
    /// Number of heaviest ranks whose keys change with each shift of the hot set.
    pub hot_keys: usize,
    /// Seconds between shifts of the hot set; zero for none.
    pub shift_s: u64,
    /// Seconds between bursts of one key; zero for none.
    pub burst_every_s: u64,
    /// Length of a burst, in seconds.
    pub burst_s: u64,
    /// Load of a burst, as a fraction of an upstream's share.
    pub burst_share: f64,
    /// Seconds of a daily cycle; zero for none.
    pub day_s: u64,
    /// Amplitude of the daily cycle, as a fraction of the mean rate.
    pub day_swing: f64,
    /// Length of the run, in seconds.
    pub seconds: u64,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        Self {
            name: SmolStr::new_static("default"),
            seed: 1,
            upstreams: 20,
            slots: 4,
            slices: 1024,
            keys: 1_000_000,
            exponent: 1.1,
            skipped_ranks: 0,
            utilisation: 0.6,
            work_us: 4000.0,
            hot_keys: 20,
            shift_s: 120,
            burst_every_s: 0,
            burst_s: 5,
            burst_share: 0.5,
            day_s: 0,
            day_swing: 0.5,
            seconds: 1200,
        }
    }
}

impl WorkloadSettings {
    /// Landavgift's lookups: 20 upstreams.
    #[must_use]
    pub fn tariffbok() -> Self {
        Self {
            name: SmolStr::new_static("tariffbok"),
            ..Self::default()
        }
    }

    /// Kōtuku's pass windows: 15 upstreams, 6 ms of work per request.
    #[must_use]
    pub fn windowcast() -> Self {
        Self {
            name: SmolStr::new_static("windowcast"),
            upstreams: 15,
            work_us: 6000.0,
            ..Self::default()
        }
    }

    /// An entry of 200 upstreams, where each host sends its loads to 16 others a second.
    #[must_use]
    pub fn wide() -> Self {
        Self {
            name: SmolStr::new_static("wide"),
            upstreams: 200,
            slices: 10_000,
            hot_keys: 24,
            work_us: 8000.0,
            seconds: 600,
            ..Self::default()
        }
    }

    /// Leaves out the heaviest ranks until no key exceeds the fraction `share` of an upstream's
    /// share.
    #[must_use]
    pub fn limit_key_share(mut self, share: f64) -> Self {
        let weight = |rank: u64| (rank as f64).powf(-self.exponent);
        let mut total: f64 = (1..=self.keys).map(weight).sum();
        let mut skipped = 0;
        while weight(skipped + 1) / total * f64::from(self.upstreams) > share {
            total -= weight(skipped + 1);
            skipped += 1;
        }
        self.skipped_ranks = skipped;
        self
    }

    /// Returns the mean rate in requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let slots = f64::from(self.upstreams) * f64::from(self.slots);
        slots * self.utilisation / (self.work_us / 1e6)
    }

    /// Returns the heaviest key's fraction of all requests, by the Zipf distribution.
    #[must_use]
    pub fn top_key_fraction(&self) -> f64 {
        let weight = |rank: u64| (rank as f64).powf(-self.exponent);
        let total: f64 = (self.skipped_ranks + 1..=self.keys).map(weight).sum();
        weight(self.skipped_ranks + 1) / total
    }
}

/// A generated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Hash of its key.
    pub key: KeyHash,
    /// Slice of the key while the key is not carved out.
    pub slice: SliceNo,
    /// Work, in microseconds.
    pub work_us: u32,
}

/// Generator that produces the load one second at a time.
#[derive(Debug)]
pub struct Workload {
    cfg: WorkloadSettings,
    rng: StdRng,
    ranks: Zipf<f64>,
    work: Exp<f64>,
    hot_keys: Vec<u64>,
    burst_key: u64,
    second: u64,
}

impl Workload {
    /// Creates a generator of the load that `cfg` describes.
    ///
    /// # Panics
    ///
    /// Panics if `cfg` has no keys or no work, for which the distributions are undefined.
    #[must_use]
    pub fn new(cfg: WorkloadSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(cfg.seed);
        let ranks = Zipf::new(cfg.keys as f64, cfg.exponent)
            .expect("keys and exponent give a Zipf distribution");
        let work = Exp::new(1.0 / cfg.work_us).expect("mean work is positive");
        let hot_keys = (0..cfg.hot_keys)
            .map(|_| sample_key(&mut rng, &cfg))
            .collect();
        Self {
            cfg,
            rng,
            ranks,
            work,
            hot_keys,
            burst_key: 0,
            second: 0,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &WorkloadSettings {
        &self.cfg
    }

    /// Writes the requests of the next second to `out`; returns whether the hot set changed.
    ///
    /// # Panics
    ///
    /// Panics if the rate that follows from the settings is not finite.
    pub fn next_second(&mut self, out: &mut Vec<Request>) -> bool {
        out.clear();
        let second = self.second;
        self.second += 1;
        let shifted = second > 0 && self.cfg.shift_s > 0 && second.is_multiple_of(self.cfg.shift_s);
        if shifted {
            self.shift_hot_set();
        }
        let rate = self.cfg.rate() * self.daily_factor(second);
        let count = self.sample_count(rate);
        for _ in 0..count {
            let key = self.sample_ranked_key();
            out.push(self.request(key));
        }
        self.add_burst(second, rate, out);
        shifted
    }

    fn shift_hot_set(&mut self) {
        for key in &mut self.hot_keys {
            *key = sample_key(&mut self.rng, &self.cfg);
        }
    }

    fn daily_factor(&self, second: u64) -> f64 {
        if self.cfg.day_s == 0 {
            return 1.0;
        }
        let phase = second as f64 / self.cfg.day_s as f64 * std::f64::consts::TAU;
        1.0 + self.cfg.day_swing * phase.sin()
    }

    fn add_burst(&mut self, second: u64, rate: f64, out: &mut Vec<Request>) {
        if self.cfg.burst_every_s == 0 {
            return;
        }
        let phase = second % self.cfg.burst_every_s;
        if phase == 0 {
            self.burst_key = sample_key(&mut self.rng, &self.cfg);
        }
        if phase >= self.cfg.burst_s {
            return;
        }
        let extra = rate / f64::from(self.cfg.upstreams) * self.cfg.burst_share;
        let count = self.sample_count(extra);
        for _ in 0..count {
            out.push(self.request(self.burst_key));
        }
    }

    fn sample_count(&mut self, rate: f64) -> u64 {
        let distribution = Poisson::new(rate.max(f64::MIN_POSITIVE)).expect("the rate is finite");
        distribution.sample(&mut self.rng) as u64
    }

    fn sample_ranked_key(&mut self) -> u64 {
        let skipped = self.cfg.skipped_ranks;
        loop {
            let rank = self.ranks.sample(&mut self.rng) as u64;
            if rank <= skipped {
                continue;
            }
            let index = (rank - skipped - 1) as usize;
            return self.hot_keys.get(index).copied().unwrap_or(rank);
        }
    }

    fn request(&mut self, key: u64) -> Request {
        let key = KeyHash::of(&key.to_le_bytes());
        Request {
            key,
            slice: key.slice(self.cfg.slices),
            work_us: self.work.sample(&mut self.rng) as u32 + 1,
        }
    }
}

fn sample_key(rng: &mut StdRng, cfg: &WorkloadSettings) -> u64 {
    rng.random_range(cfg.keys / 2..cfg.keys)
}
