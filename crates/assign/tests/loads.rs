//! How soon the rate of a hot key is known, and how rarely other keys seem hot by chance.

use std::time::Duration;

use assign::{KeyLoads, KeyRange};
use ids::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Time between two reports of a host.
const REPORT_EVERY: Duration = Duration::from_millis(400);
const HOT: u16 = 30_000;

fn only(key: u16) -> KeyRange {
    KeyRange {
        first: key,
        last: key,
    }
}

/// Simulates 1,000 keys with one request in five seconds each, and one that gets 40 a second from
/// `hot_at` on, until `end`.
fn simulate(hot_at: Duration, end: Duration, seed: u64) -> KeyLoads {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut loads = KeyLoads::new(Timestamp::ZERO);
    let mut at = Duration::ZERO;
    while at < end {
        at += REPORT_EVERY;
        for key in 0..1_000 {
            loads.add(
                key * 60,
                u32::from(rng.random_bool(0.2 * REPORT_EVERY.as_secs_f64())),
            );
        }
        if at > hot_at {
            loads.add(HOT, 16);
        }
        loads.sum_up(Timestamp::ZERO + at);
    }
    loads
}

#[test]
fn a_key_that_becomes_hot_is_known_within_a_second() {
    let hot_at = Duration::from_secs(20);
    for seed in 0..20 {
        let soon = simulate(hot_at, hot_at + Duration::from_secs(1), seed);
        let rate = soon.rate(only(HOT));
        assert!((20.0..50.0).contains(&rate), "{rate} of 40 a second");
        let later = simulate(hot_at, hot_at + Duration::from_secs(15), seed);
        let rate = later.rate(only(HOT));
        assert!((35.0..52.0).contains(&rate), "{rate} of 40 a second");
    }
}

#[test]
fn chance_does_not_make_keys_hot() {
    let never = Duration::from_secs(1_000);
    for seed in 0..20 {
        let loads = simulate(never, Duration::from_secs(20), seed);
        let all = loads.rate(KeyRange::ALL);
        assert!((160.0..250.0).contains(&all), "{all} of 200 a second");
    }
}

/// Guards against rates that are wrong until the counts have grown.
///
/// In the first seconds all owners have equally many keys, so that overloaded ones show only in the
/// rates.
#[test]
fn rates_are_right_from_the_first_second() {
    let begin = Timestamp::from_millis(60_000);
    // The counts of an idle entry start to grow with the first request.
    let mut loads = KeyLoads::new(Timestamp::ZERO);
    loads.sum_up(begin);
    for (from, second) in [(0, 1), (1, 2), (2, 4), (4, 12)] {
        for ms in (from * 1_000..second * 1_000_u64).step_by(10) {
            loads.add((ms * 7 % 65_536) as u16, 1);
            if ms % 400 == 390 {
                loads.sum_up(begin + Duration::from_millis(ms));
            }
        }
        loads.sum_up(begin + Duration::from_secs(second));
        let rate = loads.rate(KeyRange::ALL);
        let off = (rate - 100.0).abs() / 100.0;
        assert!(off < 0.05, "after {second} s: {rate} in place of 100");
    }
}
