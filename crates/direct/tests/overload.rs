//! Twice the load that an upstream can take: who is admitted, and whose answer is in time.

use std::collections::VecDeque;
use std::time::Duration;

use direct::{ChooseSettings, Rank, Wanted};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const SLOTS: usize = 4;
/// Milliseconds of work.
const WORK: u64 = 100;
/// Milliseconds that are played.
const PLAYED: u64 = 60_000;
/// Three times the work, as with today's entries.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Chance of an arrival in a millisecond that is all that four slots can do.
const CAPACITY: f64 = 0.04;

/// Requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Kind {
    asked: u32,
    served: u32,
    in_time: u32,
}

impl Kind {
    fn part_served(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

fn wanted(rank: Rank) -> Wanted {
    Wanted {
        objective: OBJECTIVE,
        usual: WORK as f64 / 1e3,
        rank,
    }
}

/// Plays an upstream that is asked with this chance in each millisecond, a part of it urgent;
/// returns the urgent kind and the other.
fn play(cfg: &ChooseSettings, arrivals: f64, urgent: f64, seed: u64) -> [Kind; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kinds = [Kind::default(); 2];
    let mut running: VecDeque<u64> = VecDeque::new();
    let mut waiting: VecDeque<(u64, usize)> = VecDeque::new();
    for now in 0..PLAYED {
        while running.front().is_some_and(|&end| end <= now) {
            running.pop_front();
        }
        while running.len() < SLOTS
            && let Some((came, kind)) = waiting.pop_front()
        {
            running.push_back(now + WORK);
            let took = Duration::from_millis(now + WORK - came);
            kinds[kind].in_time += u32::from(took <= OBJECTIVE);
        }
        if !rng.random_bool(arrivals) {
            continue;
        }
        let is_urgent = rng.random_bool(urgent);
        let rank = match (urgent > 0.0, is_urgent) {
            (false, _) => Rank::Alone,
            (true, true) => Rank::Urgent,
            (true, false) => Rank::Outranked,
        };
        let kind = usize::from(!is_urgent);
        kinds[kind].asked += 1;
        let crowd = (running.len() + waiting.len()) as f64 / SLOTS as f64;
        let expected = WORK as f64 / 1e3 * (crowd + 0.25).max(1.0);
        if cfg.admits(crowd, expected, &wanted(rank)) {
            kinds[kind].served += 1;
            waiting.push_back((now, kind));
        }
    }
    kinds
}

#[test]
fn what_is_admitted_is_in_time_and_nothing_is_lost_for_it() {
    let cfg = ChooseSettings::default();
    let without = ChooseSettings {
        objective_part: f64::INFINITY,
        ..cfg
    };
    for seed in 0..20 {
        let [_, peak] = play(&cfg, CAPACITY, 0.0, seed);
        let [_, twice] = play(&cfg, 2.0 * CAPACITY, 0.0, seed);
        let [_, before] = play(&without, 2.0 * CAPACITY, 0.0, seed);
        assert!(
            twice.in_time >= peak.in_time * 9 / 10,
            "{twice:?} of {peak:?}"
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
fn urgent_requests_are_refused_less_and_no_work_is_lost() {
    let cfg = ChooseSettings::default();
    let without = ChooseSettings {
        kept_for_urgent: 0.0,
        objective_part: f64::INFINITY,
        ..cfg
    };
    for seed in 0..20 {
        let [urgent, other] = play(&cfg, 2.0 * CAPACITY, 0.25, seed);
        let [urgent_before, other_before] = play(&without, 2.0 * CAPACITY, 0.25, seed);
        assert!(urgent_before.part_served() < 0.6, "{urgent_before:?}");
        assert!(urgent.part_served() > 0.95, "{urgent:?}");
        assert!(urgent.in_time * 100 > urgent.served * 95, "{urgent:?}");
        assert!(other.part_served() > 0.25, "others get the rest: {other:?}");
        let all = urgent.served + other.served;
        let all_before = urgent_before.served + other_before.served;
        assert!(all * 100 >= all_before * 98, "{all} of {all_before}");
    }
}
