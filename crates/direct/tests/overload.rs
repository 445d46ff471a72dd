//! An upstream at twice its capacity: which requests are admitted, and which are answered in time.

use std::collections::VecDeque;
use std::time::Duration;

use direct::{ChooseSettings, Priority, RequestNeeds};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const SLOTS: usize = 4;
/// Service time in milliseconds.
const WORK_MS: u64 = 100;
/// Simulated time in milliseconds.
const SIMULATED_MS: u64 = 60_000;
/// Three times the service time, as for current entries.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Probability of an arrival in a millisecond at which four slots are fully used.
const CAPACITY: f64 = 0.04;

/// Requests of one priority.
#[derive(Debug, Default, Clone, Copy)]
struct Kind {
    arrived: u32,
    served: u32,
    in_time: u32,
}

impl Kind {
    fn fraction_served(self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived)
    }
}

fn needs(priority: Priority) -> RequestNeeds {
    RequestNeeds {
        objective: OBJECTIVE,
        entry_service_time: WORK_MS as f64 / 1e3,
        priority,
    }
}

/// Simulates an upstream where a request arrives with probability `arrivals` in each millisecond,
/// the fraction `urgent` of them urgent; returns the urgent requests and the others.
fn simulate(cfg: &ChooseSettings, arrivals: f64, urgent: f64, seed: u64) -> [Kind; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kinds = [Kind::default(); 2];
    let mut running: VecDeque<u64> = VecDeque::new();
    let mut waiting: VecDeque<(u64, usize)> = VecDeque::new();
    for now in 0..SIMULATED_MS {
        while running.front().is_some_and(|&end| end <= now) {
            running.pop_front();
        }
        while running.len() < SLOTS
            && let Some((arrived_at, kind)) = waiting.pop_front()
        {
            running.push_back(now + WORK_MS);
            let took = Duration::from_millis(now + WORK_MS - arrived_at);
            kinds[kind].in_time += u32::from(took <= OBJECTIVE);
        }
        if !rng.random_bool(arrivals) {
            continue;
        }
        let is_urgent = rng.random_bool(urgent);
        let priority = match (urgent > 0.0, is_urgent) {
            (false, _) => Priority::Equal,
            (true, true) => Priority::Urgent,
            (true, false) => Priority::Lower,
        };
        let kind = usize::from(!is_urgent);
        kinds[kind].arrived += 1;
        let occupancy = (running.len() + waiting.len()) as f64 / SLOTS as f64;
        let expected = WORK_MS as f64 / 1e3 * (occupancy + 0.25).max(1.0);
        if cfg.admits(occupancy, expected, &needs(priority)) {
            kinds[kind].served += 1;
            waiting.push_back((now, kind));
        }
    }
    kinds
}

#[test]
fn admitted_requests_are_in_time_at_full_throughput() {
    let cfg = ChooseSettings::default();
    let without = ChooseSettings {
        objective_fraction: f64::INFINITY,
        ..cfg
    };
    for seed in 0..20 {
        let [_, full] = simulate(&cfg, CAPACITY, 0.0, seed);
        let [_, twice] = simulate(&cfg, 2.0 * CAPACITY, 0.0, seed);
        let [_, before] = simulate(&without, 2.0 * CAPACITY, 0.0, seed);
        assert!(
            twice.in_time >= full.in_time * 9 / 10,
            "{twice:?} of {full:?}"
        );
        assert!(twice.in_time * 100 >= twice.served * 95, "{twice:?}");
        assert!(before.in_time * 2 < before.served, "{before:?}");
        assert!(
            twice.served * 100 >= before.served * 98,
            "{twice:?}, {before:?}"
        );
    }
}

#[test]
fn urgent_requests_are_refused_less_at_full_throughput() {
    let cfg = ChooseSettings::default();
    let without = ChooseSettings {
        reserved_for_urgent: 0.0,
        objective_fraction: f64::INFINITY,
        ..cfg
    };
    for seed in 0..20 {
        let [urgent, other] = simulate(&cfg, 2.0 * CAPACITY, 0.25, seed);
        let [urgent_before, other_before] = simulate(&without, 2.0 * CAPACITY, 0.25, seed);
        assert!(urgent_before.fraction_served() < 0.6, "{urgent_before:?}");
        assert!(urgent.fraction_served() > 0.95, "{urgent:?}");
        assert!(urgent.in_time * 100 > urgent.served * 95, "{urgent:?}");
        assert!(
            other.fraction_served() > 0.25,
            "others get the rest: {other:?}"
        );
        let all = urgent.served + other.served;
        let all_before = urgent_before.served + other_before.served;
        assert!(all * 100 >= all_before * 98, "{all} of {all_before}");
    }
}
