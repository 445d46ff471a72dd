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
const WINDOWS: u64 = 8;
const SEEDS: u64 = 40;

/// Requests of one route from one failure domain.
#[derive(Clone, Copy)]
struct Source {
    domain: &'static str,
    rank: u32,
    /// Load, as a fraction of the upstream's capacity.
    load: f64,
}

#[derive(Clone, Copy)]
struct Request {
    source: usize,
    first_at: u64,
    attempt: u32,
}

enum Event {
    Arrives(Request),
    Answered { key: usize },
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
/// Adds the requests of each source that arrive in a window, and those of them that are in time.
fn simulate(sources: &[Source], slowdown: u64, seed: u64, counts: &mut [Vec<(f64, f64)>]) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut permits = Permits::new(SLOTS, PermitSettings::default());
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    for first_at in 0..WINDOWS * WINDOW_MS {
        for (source, params) in sources.iter().enumerate() {
            if rng.random_bool(params.load * f64::from(SLOTS) / WORK_MS as f64) {
                counts[(first_at / WINDOW_MS) as usize][source].0 += 1.0;
                let request = Request {
                    source,
                    first_at,
                    attempt: 1,
                };
                let events = events.entry(first_at).or_default();
                events.push(Event::Arrives(request));
            }
        }
    }
    let mut requests: Vec<Request> = Vec::new();
    let mut slots = [0_u64; SLOTS as usize];
    for now in 0..WINDOWS * WINDOW_MS + TIMEOUT_MS {
        let at = Timestamp::from_millis(60_000 + now);
        let mut replies = Vec::new();
        for event in events.remove(&now).unwrap_or_default() {
            match event {
                Event::Arrives(request) => {
                    let key = requests.len();
                    requests.push(request);
                    let age_ms = now - request.first_at;
                    let request = permit_request(sources[request.source], request.attempt, age_ms);
                    replies.push((key, permits.acquire(at, key, &request)));
                }
                Event::Answered { key } => {
                    let Request {
                        source, first_at, ..
                    } = requests[key];
                    if now - first_at <= OBJECTIVE_MS {
                        counts[(first_at / WINDOW_MS) as usize][source].1 += 1.0;
                    }
                    permits.release(at, key, PermitEnd::Answered, None);
                }
            }
        }
        replies.extend(permits.poll(at));
        for (key, reply) in replies {
            let request = requests[key];
            let deadline = request.first_at + TIMEOUT_MS;
            match reply {
                PermitReply::Queued { .. } => {}
                PermitReply::Granted => {
                    let is_slow = now >= WINDOWS * WINDOW_MS / 2;
                    let work = rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                    let slot = slots.iter_mut().min().expect("two slots");
                    *slot = (*slot).max(now) + work * if is_slow { slowdown } else { 1 };
                    events
                        .entry(*slot)
                        .or_default()
                        .push(Event::Answered { key });
                }
                PermitReply::Full { retry_after } | PermitReply::RateLimited { retry_after } => {
                    let left = deadline.saturating_sub(now);
                    let wait = (retry_after.as_millis() as u64).min(left / 3) + 20;
                    let attempt = request.attempt + 1;
                    if attempt <= MAX_ATTEMPTS && wait < left {
                        let repeat = Event::Arrives(Request { attempt, ..request });
                        events.entry(now + wait).or_default().push(repeat);
                    }
                }
            }
        }
    }
}

/// Returns the fraction of each source's requests that is in time, by the window of their arrival.
fn in_time(sources: &[Source], slowdown: u64) -> Vec<Vec<f64>> {
    let mut counts = vec![vec![(0.0, 0.0); sources.len()]; WINDOWS as usize];
    for seed in 0..SEEDS {
        simulate(sources, slowdown, seed, &mut counts);
    }
    let fraction = |&(asked, in_time): &(f64, f64)| in_time / asked;
    let fractions = |window: &Vec<(f64, f64)>| window.iter().map(fraction).collect();
    counts.iter().map(fractions).collect()
}

/// Guards against a domain that takes capacity from others by asking for more.
#[test]
fn a_domain_that_asks_for_more_takes_nothing_from_the_others() {
    let mean_in_time = |of_a| {
        let loads = [("a", of_a), ("b", 1.0), ("c", 1.0), ("d", 1.0)];
        let sources = loads.map(|(domain, load)| Source {
            domain,
            rank: 1,
            load: load / 3.0,
        });
        let windows = in_time(&sources, 1);
        [0, 1, 2, 3].map(|n| windows.iter().map(|w| w[n]).sum::<f64>() / windows.len() as f64)
    };
    let fair = mean_in_time(0.75);
    let greedy = mean_in_time(3.0);
    println!(
        "in time if a asks for its share {fair:.3?}, for three times the others' {greedy:.3?}"
    );
    for n in 1..4 {
        assert!(greedy[n] > fair[n] - 0.08, "{n}: {greedy:?}, {fair:?}");
        for m in 0..4 {
            assert!(greedy[n] > greedy[m] - 0.08, "{n}, {m}: {greedy:?}");
        }
    }
}

/// Guards against a less urgent route that gets a permit instead of a more urgent one, also while
/// the capacity falls.
#[test]
fn a_more_urgent_route_is_never_served_worse() {
    let sources = [0, 1].map(|rank| Source {
        domain: "a",
        rank,
        load: 0.45,
    });
    let windows = in_time(&sources, 2);
    println!("in time, the more urgent route first: {windows:.3?}");
    for window in &windows {
        assert!(window[0] >= window[1], "{windows:?}");
    }
    let last = &windows[WINDOWS as usize - 1];
    assert!(last[0] > last[1] + 0.1, "{last:?}");
}

/// Guards against requests that wait in vain because later ones are served before them.
#[test]
fn a_request_that_gives_way_is_refused_at_once() {
    let at = |ms: u64| Timestamp::from_millis(60_000 + ms);
    let request = |domain, rank| {
        let load = 0.0;
        permit_request(Source { domain, rank, load }, 1, 0)
    };
    // Each arrives when the queue has as many requests of one domain as can be in time.
    for (arriving, gives_way) in [(("b", 1), true), (("a", 0), true), (("a", 1), false)] {
        let mut permits = Permits::new(SLOTS, PermitSettings::default());
        for key in 0..9 {
            permits.acquire(at(0), key, &request("a", 1));
        }
        let (domain, rank) = arriving;
        permits.acquire(at(10), 9, &request(domain, rank));
        let replies = permits.poll(at(10));
        let is_refused = matches!(replies[..], [(8, PermitReply::Full { .. })]);
        assert_eq!(is_refused, gives_way, "{arriving:?}: {replies:?}");
    }
}
