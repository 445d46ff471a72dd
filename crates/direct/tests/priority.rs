//! Twice the load that an upstream can take, a quarter of it more urgent than the rest.

use std::collections::VecDeque;

use direct::ChooseSettings;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const SLOTS: usize = 4;
/// Milliseconds of work.
const WORK: u64 = 100;
/// Milliseconds that are played.
const PLAYED: u64 = 60_000;
/// Chance of an arrival in a millisecond: twice what four slots do.
const ARRIVALS: f64 = 0.08;
/// Part of the requests that are urgent.
const URGENT: f64 = 0.25;

/// Requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Kind {
    asked: u32,
    served: u32,
}

impl Kind {
    fn served(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

/// Plays an upstream whose callers are admitted by `cfg`; returns the urgent kind and the other.
fn play(cfg: &ChooseSettings, seed: u64) -> [Kind; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kinds = [Kind::default(); 2];
    // Requests that run, by their end, and the number of those that wait.
    let mut running: VecDeque<u64> = VecDeque::new();
    let mut waiting = 0;
    for now in 0..PLAYED {
        while running.front().is_some_and(|&end| end <= now) {
            running.pop_front();
            if waiting > 0 {
                waiting -= 1;
                running.push_back(now + WORK);
            }
        }
        if !rng.random_bool(ARRIVALS) {
            continue;
        }
        let is_urgent = rng.random_bool(URGENT);
        let kind = &mut kinds[usize::from(!is_urgent)];
        kind.asked += 1;
        let crowd = (running.len() + waiting) as f64 / SLOTS as f64;
        if crowd >= cfg.limit(!is_urgent) {
            continue;
        }
        kind.served += 1;
        if running.len() < SLOTS {
            running.push_back(now + WORK);
        } else {
            waiting += 1;
        }
    }
    kinds
}

#[test]
fn urgent_requests_are_refused_less_and_no_work_is_lost() {
    let without = ChooseSettings {
        kept_for_urgent: 0.0,
        ..ChooseSettings::default()
    };
    for seed in 0..20 {
        let [urgent, other] = play(&ChooseSettings::default(), seed);
        let [urgent_before, other_before] = play(&without, seed);
        assert!(urgent_before.served() < 0.6, "{urgent_before:?}");
        assert!(urgent.served() > 0.9, "{urgent:?}");
        assert!(other.served() > 0.3, "others still get the rest: {other:?}");
        let all = urgent.served + other.served;
        let all_before = urgent_before.served + other_before.served;
        assert!(
            f64::from(all) > 0.98 * f64::from(all_before),
            "{all} of {all_before}"
        );
    }
}
