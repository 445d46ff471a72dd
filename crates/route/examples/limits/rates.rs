//! Measures how much of an entry's rate is admitted when hosts share it equally.

use std::time::Duration;

use ids::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use route::{Admission, AdmissionSettings, Ownership, Router};
use serde::Serialize;

use crate::overload::round;

/// Results of one case.
#[derive(Debug, Serialize)]
struct Line {
    case: &'static str,
    hosts: usize,
    rate_per_s: u32,
    #[serde(rename = "burst_least")]
    burst_min: f64,
    /// Arriving requests, relative to the rate.
    offered: f64,
    /// Fraction of the requests that goes to a tenth of the hosts.
    to_a_tenth: f64,
    /// Admitted requests, relative to the lesser of the rate and the arriving requests.
    let_through: f64,
    /// Maximum of admitted requests in any second, relative to the rate.
    busiest_second: f64,
}

const SECS: u64 = 30;

/// Runs all cases.
pub fn run() {
    for (hosts, rate_per_s) in [(11, 1_000), (11, 50), (2_600, 10_000), (2_600, 1_000)] {
        for burst_min in [1.0, 2.0, 4.0, 8.0] {
            for (offered, to_a_tenth) in [(0.8, 0.1), (1.0, 0.1), (2.0, 0.1), (0.8, 0.2)] {
                one(hosts, rate_per_s, burst_min, offered, to_a_tenth);
            }
        }
    }
}

fn one(hosts: usize, rate_per_s: u32, burst_min: f64, offered: f64, to_a_tenth: f64) {
    let (mut catalogue, _) = crate::world::declare::large(1, 1, 1, 0);
    for (_, entry) in &mut catalogue.entries {
        entry.limits.rate_per_s = rate_per_s;
    }
    let router = Router::build(&Router::default(), &catalogue, &Ownership::default());
    let (entry, _) = router.entries().next().expect("there is one");
    let settings = AdmissionSettings {
        burst_min,
        ..AdmissionSettings::default()
    };
    let mut all: Vec<Admission> = (0..hosts).map(|_| Admission::new(settings)).collect();
    for admission in &mut all {
        admission.configure(Timestamp::ZERO, &router, hosts as u32);
    }
    let mut rng = StdRng::seed_from_u64(1);
    let gap = Exp::new(offered * f64::from(rate_per_s)).expect("a positive rate");
    let mut now = Timestamp::ZERO;
    let mut came = 0_u64;
    let mut seconds = [0_u64; SECS as usize];
    loop {
        now += Duration::from_secs_f64(gap.sample(&mut rng));
        let Some(second) = seconds.get_mut((now.as_micros() / 1_000_000) as usize) else {
            break;
        };
        came += 1;
        let few = hosts.div_ceil(10);
        let host = if rng.random_bool(to_a_tenth) {
            rng.random_range(0..few)
        } else {
            rng.random_range(few..hosts)
        };
        if let Ok(place) = all[host].admit(now, entry) {
            all[host].release(place);
            *second += 1;
        }
    }
    // The burst accumulated at the start is used up after five seconds.
    let settled = &seconds[5..];
    let let_through = settled.iter().sum::<u64>() as f64 / settled.len() as f64;
    let possible = (came as f64 / SECS as f64).min(f64::from(rate_per_s));
    let busiest = settled.iter().max().copied().unwrap_or_default();
    let line = Line {
        case: "rates",
        hosts,
        rate_per_s,
        burst_min,
        offered,
        to_a_tenth,
        let_through: round(let_through / possible),
        busiest_second: round(busiest as f64 / f64::from(rate_per_s)),
    };
    let line = serde_json::to_string(&line).expect("a line is plain data");
    println!("{line}");
}
