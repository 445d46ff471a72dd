//! Speed of an upstream: the distribution of its unqueued service time.
//!
//! An upstream stays slow for minutes, and any upstream may be slow for some hundred milliseconds.
//! Two estimates tell these apart. The steady one follows a change within seconds and hardly
//! notices a slow moment. The recent one forgets within some hundred milliseconds.
//!
//! The host that grants the permits of an upstream sees the answers to all hosts. It sends a
//! [`PaceReport`] with its replies, and the other hosts merge it.

use std::time::Duration;

use ids::Timestamp;

/// Settings of a [`Pace`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceSettings {
    /// Number of later observations after which one counts half in the steady estimate.
    ///
    /// At five answers a second, four fifths of a lasting change are followed within ten seconds,
    /// while chance changes the mean by a few percent.
    pub half_life_observations: f64,
    /// Minimum half-life of the steady estimate.
    ///
    /// However many requests are answered in a slow moment of 400 ms, the estimate follows a tenth
    /// of the difference.
    pub min_half_life: Duration,
    /// Half-life of the weight of the steady estimate while nothing is observed. An upstream that
    /// was slow counts as slow for minutes.
    pub max_half_life: Duration,
    /// Weight of the entry's mean service time against one observation. One answer tells more
    /// about an upstream than the mean of the others.
    pub prior_weight: f64,
    /// Spread that is assumed until it has been observed, as the standard deviation of the
    /// logarithm of the service time.
    pub assumed_spread: f64,
    /// Weight of the assumed spread against one observation. Two answers that took equally long by
    /// chance must not give a spread of zero.
    pub assumed_spread_weight: f64,
    /// Factor on the usual time beyond which an observation counts no more. A single request that
    /// takes a hundred times as long as usual does not make the upstream look slow.
    pub max_ratio: f64,
    /// Half-life of the recent estimate. Slow moments last 400 ms.
    pub recent_half_life: Duration,
    /// Maximum weight of the earlier observations in the recent estimate, so that two answers
    /// change it also where hundreds arrive in a second.
    pub max_recent_weight: f64,
    /// Factor on the usual time from which an answer is long.
    pub long_factor: f64,
    /// The same in standard deviations of the logarithm. Where times vary much, one answer in six
    /// is long by chance.
    pub long_deviations: f64,
    /// Number of long answers in a slow moment from which the upstream is slow now. A single one
    /// may be an unusual request.
    pub min_long_answers: u32,
    /// Factor of the recent estimate on the usual time from which the upstream is slow now.
    pub slow_now_factor: f64,
    /// Duration of a slow moment: long answers that are further apart don't belong together.
    pub slow_moment: Duration,
    /// Time for which a long answer shows that the upstream is slow, counted from the middle of
    /// its service time. An answer that took longer than a slow moment comes after the end of it.
    pub long_answer_ttl: Duration,
    /// Weight of the steady estimate from which a deviation from it means anything.
    pub min_steady_weight: f64,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            half_life_observations: 20.0,
            min_half_life: Duration::from_millis(2_500),
            max_half_life: Duration::from_secs(30),
            prior_weight: 0.05,
            assumed_spread: 0.5,
            assumed_spread_weight: 2.0,
            max_ratio: 8.0,
            recent_half_life: Duration::from_millis(200),
            max_recent_weight: 1.0,
            long_factor: 1.7,
            long_deviations: 1.0,
            min_long_answers: 2,
            slow_now_factor: 1.3,
            slow_moment: Duration::from_millis(400),
            long_answer_ttl: Duration::from_millis(250),
            min_steady_weight: 5.0,
        }
    }
}

impl PaceSettings {
    /// Returns the fraction of its weight that the steady estimate keeps from one observation to
    /// the next.
    fn kept_weight(&self, between: Duration) -> f64 {
        let by_count = (-1.0 / self.half_life_observations).exp2();
        let by_time = decay(between.as_secs_f64(), self.min_half_life);
        let unobserved = decay(between.as_secs_f64(), self.max_half_life);
        by_count.max(by_time).min(unobserved)
    }

    /// Returns the highest weight of a steady estimate that is reported by another host. A higher
    /// one would keep the estimate from following a change.
    fn max_reported_weight(&self) -> f64 {
        1.0 / (1.0 - (-1.0 / self.half_life_observations).exp2())
    }
}

/// What one host tells another about the speed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceReport {
    /// Mean service time, in seconds.
    pub service_time: f64,
    /// Standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// Number of observations that the estimate is worth.
    pub weight: f64,
}

/// Estimate that follows lasting changes.
#[derive(Debug, Clone, Copy)]
struct SteadyEstimate {
    /// Mean service time, in seconds.
    mean: f64,
    /// Mean and variance of the logarithm of the service time.
    log_mean: f64,
    log_variance: f64,
    weight: f64,
    observed_at: Timestamp,
}

/// Estimate of the last few hundred milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct RecentEstimate {
    /// Mean of the logarithm of the service time.
    log_mean: f64,
    weight: f64,
    observed_at: Timestamp,
    /// Long answers in the present slow moment.
    long_answers: u32,
    /// Middle of the service time of the last long answer.
    long_at: Timestamp,
}

/// Distribution of the unqueued service time of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    cfg: PaceSettings,
    steady: Option<SteadyEstimate>,
    recent: RecentEstimate,
}

/// Shortest and longest service time that are told from shorter and longer ones, in seconds.
const MIN_TIME: f64 = 1e-6;
const MAX_TIME: f64 = 3_600.0;
/// Fraction of this host's weight from which a report replaces its estimate. The reporting host
/// sees the answers to all hosts, so at the same weight its estimate is more recent.
const MIN_REPORT_WEIGHT: f64 = 0.5;
/// Maximum spread that is taken from a report. With a much greater one, from a faulty host, the
/// median would be zero.
const MAX_SPREAD: f64 = 3.0;
/// Weight of the usual time in the recent estimate, so that old observations fade.
const USUAL_WEIGHT: f64 = 0.5;
/// Least weight of an observation in the recent estimate, so that the first one has some.
const MIN_RECENT_WEIGHT: f64 = 1e-9;

impl Pace {
    /// Creates the estimate of an upstream that was not observed.
    #[must_use]
    pub fn new(cfg: PaceSettings) -> Self {
        Self {
            cfg,
            steady: None,
            recent: RecentEstimate::default(),
        }
    }

    /// Records an answer that took `time` seconds at the upstream, without its wait in the queue.
    pub fn observe(&mut self, now: Timestamp, time: f64) {
        let time = time.clamp(MIN_TIME, MAX_TIME);
        let Some(steady) = &mut self.steady else {
            self.steady = Some(SteadyEstimate {
                mean: time,
                log_mean: time.ln(),
                log_variance: 0.0,
                weight: 1.0,
                observed_at: now,
            });
            self.recent.observe(now, time, time.ln(), false, &self.cfg);
            return;
        };
        let max_deviation = self.cfg.max_ratio.ln();
        let deviation = (time.ln() - steady.log_mean).clamp(-max_deviation, max_deviation);
        let min_long = self.cfg.long_deviations * steady.spread(&self.cfg);
        let is_long = steady.weight_at(now, &self.cfg) >= self.cfg.min_steady_weight
            && deviation >= self.cfg.long_factor.ln().max(min_long);
        let log_time = steady.log_mean + deviation;
        steady.observe(now, time, deviation, &self.cfg);
        self.recent.observe(now, time, log_time, is_long, &self.cfg);
    }

    /// Returns the mean service time in seconds, if any was observed or reported.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        self.steady.map(|steady| steady.mean)
    }

    /// Returns the mean service time in seconds; it approaches `entry_service_time`, the mean of
    /// the entry's upstreams, while nothing is observed.
    #[must_use]
    pub fn service_time(&self, now: Timestamp, entry_service_time: f64) -> f64 {
        let Some(steady) = self.steady else {
            return entry_service_time;
        };
        let weight = steady.weight_at(now, &self.cfg);
        let prior = self.cfg.prior_weight;
        (steady.mean * weight + entry_service_time * prior) / (weight + prior)
    }

    /// Returns the service time in seconds that a fraction `p` of the requests doesn't exceed.
    #[must_use]
    pub fn quantile(&self, now: Timestamp, entry_service_time: f64, p: f64) -> f64 {
        let mean = self.service_time(now, entry_service_time);
        let spread = self.spread();
        // The median of a log-normal distribution, by its mean.
        let median = mean * (-spread * spread / 2.0).exp();
        median * (standard_normal_quantile(p) * spread).exp()
    }

    /// Returns the standard deviation of the logarithm of the service time.
    #[must_use]
    pub fn spread(&self) -> f64 {
        let steady = self.steady.as_ref();
        steady.map_or(self.cfg.assumed_spread, |s| s.spread(&self.cfg))
    }

    /// Returns the service time of the last few hundred milliseconds, in seconds, if any was
    /// observed; it approaches the usual time while nothing is observed.
    #[must_use]
    pub fn recent_time(&self, now: Timestamp) -> Option<f64> {
        self.steady
            .map(|steady| (steady.log_mean + self.recent_deviation(now, &steady)).exp())
    }

    /// Returns whether the upstream is in a slow moment: several recent answers took much longer
    /// than usual.
    #[must_use]
    pub fn is_slow_now(&self, now: Timestamp) -> bool {
        let recent = &self.recent;
        recent.long_answers >= self.cfg.min_long_answers
            && now.since(recent.long_at) <= self.cfg.long_answer_ttl
            && self.steady.is_some_and(|steady| {
                self.recent_deviation(now, &steady) >= self.cfg.slow_now_factor.ln()
            })
    }

    /// Returns how far the recent logarithm is above the steady one.
    fn recent_deviation(&self, now: Timestamp, steady: &SteadyEstimate) -> f64 {
        let recent = &self.recent;
        let age = now.since(recent.observed_at).as_secs_f64();
        let weight = recent.weight * decay(age, self.cfg.recent_half_life);
        (recent.log_mean - steady.log_mean) * weight / (weight + USUAL_WEIGHT)
    }

    /// Returns what other hosts should know, if any answer that still counts was observed.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Option<PaceReport> {
        let steady = self.steady.as_ref()?;
        let weight = steady.weight_at(now, &self.cfg);
        (weight >= 0.5).then(|| PaceReport {
            service_time: steady.mean,
            spread: steady.spread(&self.cfg),
            weight,
        })
    }

    /// Merges the report of the host that grants the permits: it replaces the steady estimate of a
    /// host that has seen fewer answers, and changes nothing at one that has seen many more.
    ///
    /// Reports are repeated, so adding their weights would count each answer several times.
    pub fn merge(&mut self, now: Timestamp, report: &PaceReport) {
        let is_valid = report.service_time.is_finite()
            && report.service_time > 0.0
            && report.spread.is_finite()
            && report.weight > 0.0;
        if !is_valid {
            return;
        }
        let weight = report.weight.min(self.cfg.max_reported_weight());
        let own = self.steady.map_or(0.0, |s| s.weight_at(now, &self.cfg));
        if weight < own * MIN_REPORT_WEIGHT {
            return;
        }
        let log_variance = report.spread.min(MAX_SPREAD).powi(2);
        self.steady = Some(SteadyEstimate {
            mean: report.service_time,
            log_mean: report.service_time.ln() - log_variance / 2.0,
            log_variance,
            weight,
            observed_at: now,
        });
    }
}

impl SteadyEstimate {
    /// Records a service time; `deviation` is that of its logarithm, limited.
    fn observe(&mut self, now: Timestamp, time: f64, deviation: f64, cfg: &PaceSettings) {
        let kept = cfg.kept_weight(now.since(self.observed_at));
        self.weight = self.weight * kept + 1.0;
        self.observed_at = now;
        let fraction = 1.0 / self.weight;
        let time = time.min(self.mean * cfg.max_ratio);
        self.mean += fraction * (time - self.mean);
        self.log_mean += fraction * deviation;
        let squared = deviation * deviation;
        self.log_variance = (1.0 - fraction) * (self.log_variance + fraction * squared);
    }

    fn weight_at(&self, now: Timestamp, cfg: &PaceSettings) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64();
        self.weight * decay(age, cfg.max_half_life)
    }

    fn spread(&self, cfg: &PaceSettings) -> f64 {
        let assumed = cfg.assumed_spread * cfg.assumed_spread;
        let sum = self.log_variance * self.weight + assumed * cfg.assumed_spread_weight;
        (sum / (self.weight + cfg.assumed_spread_weight)).sqrt()
    }
}

impl RecentEstimate {
    /// Records an answer that took `time` seconds; `log_time` is its logarithm, limited.
    fn observe(
        &mut self,
        now: Timestamp,
        time: f64,
        log_time: f64,
        is_long: bool,
        cfg: &PaceSettings,
    ) {
        let age = now.since(self.observed_at).as_secs_f64();
        let before = self.weight * decay(age, cfg.recent_half_life);
        // An answer tells about the time in which it was worked on: on average, half its time ago.
        let since_work = time / 2.0;
        let weight = decay(since_work, cfg.recent_half_life).max(MIN_RECENT_WEIGHT);
        self.weight = before.min(cfg.max_recent_weight) + weight;
        self.log_mean += (log_time - self.log_mean) * weight / self.weight;
        self.observed_at = now;
        if now.since(self.long_at) > cfg.slow_moment {
            self.long_answers = 0;
        }
        if is_long {
            self.long_answers += 1;
            self.long_at = now - Duration::from_secs_f64(since_work);
        } else {
            self.long_answers = self.long_answers.saturating_sub(1);
        }
    }
}

fn decay(age_s: f64, half_life: Duration) -> f64 {
    (-age_s / half_life.as_secs_f64()).exp2()
}

/// Returns the quantile of the standard normal distribution, to within 0.001.
///
/// This is formula 26.2.23 of Abramowitz and Stegun, *Handbook of Mathematical Functions*.
fn standard_normal_quantile(p: f64) -> f64 {
    const MIN_TAIL: f64 = 1e-6;
    let tail = p.min(1.0 - p).max(MIN_TAIL);
    let t = (-2.0 * tail.ln()).sqrt();
    let numerator = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let denominator = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    let z = (t - numerator / denominator).max(0.0);
    if p < 0.5 { -z } else { z }
}
