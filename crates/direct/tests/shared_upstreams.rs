//! An upstream of which several failure domains or routes want more than it has.

use std::collections::BTreeMap;
use std::time::Duration;

use direct::{PermitEnd, PermitReply, PermitRequest, PermitSettings, Permits, Priority, RateLimit};
use ids::{DomainId, Timestamp};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 2;
/// Mean service time; times are drawn between half and one and a half of it.
const WORK_MS: u64 = 160;
const OBJECTIVE_MS: u64 = 800;
const TIMEOUT_MS: u64 = 2_500;
/// Requests of one caller, the first one included.
const MAX_ATTEMPTS: u32 = 3;
const WINDOW_MS: u64 = 2_000;
const END_MS: u64 = 8 * WINDOW_MS;
const SEEDS: u64 = 40;

/// Requests of one route from one failure domain.
#[derive(Clone, Copy)]
struct Source {
    domain: &'static str,
    rank: u32,
    /// Load, as a fraction of the upstream's capacity.
    load: f64,
}

/// Source of a request, time of its caller's first one, and number of the caller's requests so far.
type Request = (usize, u64, u32);

/// Numbers of the requests of a source that arrive in a window, and of those in time.
type Counts = (f64, f64);

fn source(domain: &'static str, rank: u32, load: f64) -> Source {
    Source { domain, rank, load }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

/// Returns the request of a caller whose first one was `age_ms` ago.
fn permit_request(source: Source, attempt: u32, age_ms: u64) -> PermitRequest {
    let left = |total: u64| Duration::from_millis(total.saturating_sub(age_ms));
    PermitRequest {
        priority: Priority::Equal,
        rank: source.rank,
        is_repeat: attempt > 1,
        domain: DomainId::new(source.domain).ok(),
        until_objective: left(OBJECTIVE_MS),
        until_deadline: left(TIMEOUT_MS),
        entry_service_time: Duration::from_millis(WORK_MS),
        may_wait: true,
        cold: None,
        limit: RateLimit::default(),
        skipped_hosts: 0,
    }
}

/// Simulates an upstream whose service time is `slowdown` times the usual one in the second half.
fn simulate(sources: &[Source], slowdown: u64, seed: u64, counts: &mut [Vec<Counts>]) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    let mut requests: Vec<Request> = Vec::new();
    let mut arrivals: BTreeMap<u64, Vec<Request>> = BTreeMap::new();
    let mut answers: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut slots = [0_u64; SLOTS as usize];
    for now in 0..END_MS + TIMEOUT_MS {
        for key in answers.remove(&now).unwrap_or_default() {
            let (source, first_at, _) = requests[key];
            if now - first_at <= OBJECTIVE_MS {
                counts[(first_at / WINDOW_MS) as usize][source].1 += 1.0;
            }
            permits.release(at(now), key, PermitEnd::Answered, None);
        }
        let mut arriving = arrivals.remove(&now).unwrap_or_default();
        for (source, params) in sources.iter().enumerate().filter(|_| now < END_MS) {
            if rng.random_bool(params.load * f64::from(SLOTS) / WORK_MS as f64) {
                counts[(now / WINDOW_MS) as usize][source].0 += 1.0;
                arriving.push((source, now, 1));
            }
        }
        let mut replies = Vec::new();
        for (source, first_at, attempt) in arriving {
            let key = requests.len();
            let request = permit_request(sources[source], attempt, now - first_at);
            requests.push((source, first_at, attempt));
            replies.push((key, permits.acquire(at(now), key, &request)));
        }
        replies.extend(permits.poll(at(now)));
        for (key, reply) in replies {
            match reply {
                PermitReply::Queued { .. } => {}
                PermitReply::Granted => {
                    let factor = if now < END_MS / 2 { 1 } else { slowdown };
                    let slot = slots.iter_mut().min().expect("two slots");
                    *slot =
                        now.max(*slot) + factor * rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                    answers.entry(*slot).or_default().push(key);
                }
                PermitReply::Full { retry_after } | PermitReply::RateLimited { retry_after } => {
                    let (source, first_at, attempt) = requests[key];
                    let left = (first_at + TIMEOUT_MS).saturating_sub(now);
                    let wait = (retry_after.as_millis() as u64).min(left / 3) + 20;
                    if attempt < MAX_ATTEMPTS && wait < left {
                        let repeats = arrivals.entry(now + wait).or_default();
                        repeats.push((source, first_at, attempt + 1));
                    }
                }
            }
        }
    }
}

/// Returns the fraction of each source's requests that is in time, by the window of their arrival.
fn in_time(sources: &[Source], slowdown: u64) -> Vec<Vec<f64>> {
    let mut counts = vec![vec![(0.0, 0.0); sources.len()]; (END_MS / WINDOW_MS) as usize];
    for seed in 0..SEEDS {
        simulate(sources, slowdown, seed, &mut counts);
    }
    let fraction = |&(asked, in_time): &Counts| in_time / asked;
    let fractions = |window: &Vec<Counts>| window.iter().map(fraction).collect();
    counts.iter().map(fractions).collect()
}

/// Guards against a domain that takes capacity from others by asking for more.
#[test]
fn a_domain_that_asks_for_more_takes_nothing_from_the_others() {
    let mean_in_time = |load| {
        let [b, c, d] = ["b", "c", "d"].map(|domain| source(domain, 1, 1.0 / 3.0));
        let windows = in_time(&[source("a", 1, load), b, c, d], 1);
        [0, 1, 2, 3].map(|n| windows.iter().map(|w| w[n]).sum::<f64>() / windows.len() as f64)
    };
    let [fair, greedy] = [0.25, 1.0].map(mean_in_time);
    println!("in time if a asks for its share {fair:.3?}, and for more {greedy:.3?}");
    for n in 1..4 {
        assert!(greedy[n] > fair[n] - 0.08, "{n}: {greedy:?}, {fair:?}");
        let best = greedy.into_iter().fold(0.0, f64::max);
        assert!(greedy[n] > best - 0.08, "{n}: {greedy:?}");
    }
}

/// Guards against a less urgent route that gets a permit instead of a more urgent one, also while
/// the capacity falls.
#[test]
fn a_more_urgent_route_is_never_served_worse() {
    let windows = in_time(&[0, 1].map(|rank| source("a", rank, 0.45)), 2);
    println!("in time, the more urgent route first: {windows:.3?}");
    assert!(windows.iter().all(|w| w[0] >= w[1]), "{windows:?}");
    assert!(windows[7][0] > windows[7][1] + 0.1, "{windows:?}");
}

/// Guards against requests that wait in vain because later ones are served before them.
#[test]
fn a_request_that_gives_way_is_refused_at_once() {
    let request = |domain, rank| permit_request(source(domain, rank, 0.0), 1, 0);
    // Each arrives when the queue has as many requests of one domain as can be in time.
    for (domain, rank, gives_way) in [("b", 1, true), ("a", 0, true), ("a", 1, false)] {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        for key in 0..9 {
            permits.acquire(at(0), key, &request("a", 1));
        }
        permits.acquire(at(10), 9, &request(domain, rank));
        let replies = permits.poll(at(10));
        let is_refused = matches!(replies[..], [(8, PermitReply::Full { .. })]);
        assert_eq!(is_refused, gives_way, "{domain} {rank}: {replies:?}");
    }
}
