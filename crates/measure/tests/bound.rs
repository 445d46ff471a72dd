//! Tests of the bound of an ideal queue, of the achievable schedule and of the first-come queue.

use measure::bound::model::{
    Description, InputError, Model, Outcome, Route, RunRecord, TraceRecord, Upstream,
};
use measure::bound::tally::{Row, Rows, Tally};
use measure::bound::{Solution, plot, solve};
use proptest::prelude::*;
use smol_str::SmolStr;

const WINDOW_US: u64 = 1_000_000;
const LOAD_REQUESTS: usize = 4_000;

fn route(name: &'static str, priority: u32, objective_ms: f64, deadline_ms: f64) -> Route {
    Route {
        name: SmolStr::new_static(name),
        entry: SmolStr::new_static("shop"),
        priority,
        objective_ms,
        deadline_ms,
        in_time_weight: 1.0,
        late_weight: 0.1,
    }
}

fn upstream(n: usize, slots: u32, speed: f64) -> Upstream {
    Upstream {
        name: SmolStr::from(format!("u-{n}")),
        entry: SmolStr::new_static("shop"),
        domain: SmolStr::new_static("norr"),
        slots,
        speed,
    }
}

fn request(route: &str, on: Option<usize>, arrival_ms: f64, service_ms: f64) -> TraceRecord {
    TraceRecord {
        arrival_ms,
        route: SmolStr::new(route),
        domain: SmolStr::new_static("norr"),
        upstream: on.map(|n| SmolStr::from(format!("u-{n}"))),
        service_ms,
    }
}

fn model(routes: Vec<Route>, upstreams: Vec<Upstream>, trace: &[TraceRecord]) -> Model {
    let description = Description { routes, upstreams };
    Model::new(description, trace).expect("the description and the trace are valid")
}

fn totals(model: &Model, solution: &Solution) -> Vec<Row> {
    let rows = Rows::new(&mut model.clone(), solution, None, WINDOW_US).expect("no outcomes");
    rows.sums(|key| key.route).into_values().collect()
}

fn tally([in_time, late, unserved]: [f64; 3]) -> Tally {
    Tally {
        in_time,
        late,
        unserved,
    }
}

fn assert_close(found: Tally, expected: [f64; 3], what: &str) {
    let expected = tally(expected);
    let off = (found.in_time - expected.in_time).abs()
        + (found.late - expected.late).abs()
        + (found.unserved - expected.unserved).abs();
    assert!(off < 1e-6, "{what}: {found:?} instead of {expected:?}");
}

/// A trace of one route with an objective of 100 ms and a deadline of 300 ms.
struct SmallCase {
    name: &'static str,
    /// Slots and speed of each upstream.
    upstreams: &'static [(u32, f64)],
    /// Upstream, arrival and service time in ms.
    trace: &'static [(Option<usize>, f64, f64)],
    bound: [f64; 3],
    achievable: [f64; 3],
    first_come: [f64; 3],
}

impl SmallCase {
    fn check(&self) {
        let upstreams = self.upstreams.iter().enumerate();
        let upstreams = upstreams.map(|(n, (slots, speed))| upstream(n, *slots, *speed));
        let trace = self.trace.iter();
        let trace: Vec<TraceRecord> = trace
            .map(|(on, arrival_ms, service_ms)| request("buy", *on, *arrival_ms, *service_ms))
            .collect();
        let routes = vec![route("buy", 0, 100.0, 300.0)];
        let model = model(routes, upstreams.collect(), &trace);
        let found = totals(&model, &solve(&model))[0];
        assert_close(found.bound, self.bound, self.name);
        assert_close(found.achievable, self.achievable, self.name);
        assert_close(found.first_come, self.first_come, self.name);
    }
}

/// Guards against errors of each schedule that can be seen in traces small enough to compute by
/// hand.
#[test]
fn slots_are_filled_as_computed_by_hand() {
    let cases = [
        SmallCase {
            name: "one slot serves the two short requests in time and the long one late",
            upstreams: &[(1, 1.0)],
            trace: &[(None, 0.0, 100.0), (None, 0.0, 50.0), (None, 0.0, 50.0)],
            bound: [2.0, 1.0, 0.0],
            achievable: [2.0, 1.0, 0.0],
            first_come: [1.0, 2.0, 0.0],
        },
        SmallCase {
            name: "the relaxed schedule counts a request for the part that fits",
            upstreams: &[(1, 1.0)],
            trace: &[(None, 0.0, 80.0), (None, 0.0, 80.0)],
            bound: [1.25, 0.75, 0.0],
            achievable: [1.0, 1.0, 0.0],
            first_come: [1.0, 1.0, 0.0],
        },
        SmallCase {
            name: "two slots serve two of seven at a time until the deadline",
            upstreams: &[(2, 1.0)],
            trace: &[(None, 0.0, 100.0); 7],
            bound: [2.0, 4.0, 1.0],
            achievable: [2.0, 4.0, 1.0],
            first_come: [2.0, 4.0, 1.0],
        },
        SmallCase {
            name: "a short request must not keep a long one out that came first",
            upstreams: &[(1, 1.0)],
            trace: &[(None, 0.0, 100.0), (None, 50.0, 20.0)],
            bound: [2.0, 0.0, 0.0],
            achievable: [2.0, 0.0, 0.0],
            first_come: [2.0, 0.0, 0.0],
        },
        SmallCase {
            name: "no request runs on two slots at a time",
            upstreams: &[(2, 1.0)],
            trace: &[(None, 0.0, 200.0)],
            bound: [0.0, 1.0, 0.0],
            achievable: [0.0, 1.0, 0.0],
            first_come: [0.0, 1.0, 0.0],
        },
        SmallCase {
            name: "work moves twice to make room: the last request fits if both others move",
            upstreams: &[(1, 1.0)],
            trace: &[
                (None, 0.0, 100.0),
                (None, 50.0, 50.0),
                (None, 80.0, 30.0),
                (None, 120.0, 40.0),
            ],
            bound: [4.0, 0.0, 0.0],
            achievable: [4.0, 0.0, 0.0],
            first_come: [4.0, 0.0, 0.0],
        },
    ];
    for case in cases {
        case.check();
    }
}

/// Guards against requests on keys that use capacity of other upstreams or the wrong speed.
#[test]
fn keys_are_served_at_the_speed_of_their_upstreams() {
    let cases = [
        SmallCase {
            name: "requests on keys take the speed of their upstream and no other's capacity",
            upstreams: &[(1, 0.5), (1, 2.0)],
            trace: &[
                (Some(0), 0.0, 50.0),
                (Some(0), 0.0, 50.0),
                (Some(1), 0.0, 100.0),
                (Some(1), 0.0, 100.0),
                (Some(1), 0.0, 100.0),
            ],
            bound: [3.0, 2.0, 0.0],
            achievable: [3.0, 2.0, 0.0],
            first_come: [3.0, 2.0, 0.0],
        },
        SmallCase {
            name: "requests without key give way to one on a key and use the other upstream",
            upstreams: &[(1, 1.0), (1, 2.0)],
            trace: &[
                (None, 0.0, 100.0),
                (None, 0.0, 100.0),
                (Some(0), 0.0, 100.0),
            ],
            bound: [3.0, 0.0, 0.0],
            achievable: [3.0, 0.0, 0.0],
            first_come: [2.0, 1.0, 0.0],
        },
    ];
    for case in cases {
        case.check();
    }
}

/// Requests with arrivals and service times that look random, at a fraction of the capacity of
/// `upstreams` with two slots. Every other one is on a key if `has_keys`.
fn load(seed: u64, upstreams: usize, of_capacity: f64, has_keys: bool) -> Vec<TraceRecord> {
    let mean_ms = 100.0;
    let slots = upstreams as f64 * 2.0;
    let mut state = seed;
    let mut uniform = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 40) as f64 / (1_u64 << 24) as f64
    };
    let mut now_ms = 0.0;
    let mut trace = Vec::new();
    for n in 0..LOAD_REQUESTS {
        now_ms -= (1.0 - uniform()).ln() * mean_ms / slots / of_capacity;
        let on = Some(n / 2 % upstreams).filter(|_| has_keys && n % 2 == 0);
        trace.push(request("buy", on, now_ms, mean_ms * (0.5 + uniform())));
    }
    trace
}

/// Guards against schedules that lose requests although there is capacity, that do not choose among
/// them when there is too little, and against an achievable schedule that is far from the bound.
#[test]
fn load_below_and_above_the_capacity() {
    struct Case {
        upstreams: usize,
        has_keys: bool,
        of_capacity: f64,
        /// Smallest and largest answered fractions of the bound.
        bound: (f64, f64),
        /// Smallest fraction of the bound that is achieved.
        achieved: f64,
        /// Smallest and largest fraction of the bound that the first-come queue answers in time.
        first_come: (f64, f64),
    }
    let cases = [
        Case {
            upstreams: 10,
            has_keys: false,
            of_capacity: 0.5,
            bound: (1.0, 1.0),
            achieved: 1.0,
            first_come: (1.0, 1.0),
        },
        Case {
            upstreams: 10,
            has_keys: false,
            of_capacity: 4.0,
            bound: (0.25, 0.6),
            achieved: 0.9,
            first_come: (0.0, 0.5),
        },
        // More upstreams with requests on keys than pools.
        Case {
            upstreams: 40,
            has_keys: true,
            of_capacity: 2.0,
            bound: (0.5, 0.9),
            achieved: 0.9,
            first_come: (0.0, 0.9),
        },
    ];
    for case in cases {
        let upstreams = (0..case.upstreams).map(|n| upstream(n, 2, 1.0));
        let upstreams = upstreams.collect();
        let trace = load(7, case.upstreams, case.of_capacity, case.has_keys);
        let model = model(vec![route("buy", 0, 800.0, 2_500.0)], upstreams, &trace);
        let found = totals(&model, &solve(&model))[0];
        let bound = found.bound.in_time / LOAD_REQUESTS as f64;
        let achieved = found.achievable.in_time / found.bound.in_time;
        let first_come = found.first_come.in_time / found.bound.in_time;
        let (least, most) = case.bound;
        assert!(bound >= least - 1e-9 && bound <= most + 1e-9, "{bound}");
        assert!(
            achieved >= case.achieved && achieved <= 1.0 + 1e-9,
            "{achieved}"
        );
        let (least, most) = case.first_come;
        assert!(first_come >= least && first_come <= most, "{first_come}");
    }
}

/// Guards against less urgent routes that take capacity from more urgent ones, and against weights
/// that decide across priorities.
#[test]
fn priorities_come_before_weights() {
    struct Case {
        name: &'static str,
        priorities: [u32; 2],
        weights: [f64; 2],
        /// Answers in time of the long and of the short requests.
        in_time: [f64; 2],
    }
    let cases = [
        Case {
            name: "one urgent request comes before two short ones",
            priorities: [0, 1],
            weights: [1.0, 1.0],
            in_time: [1.0, 0.0],
        },
        Case {
            name: "no weight outdoes priority",
            priorities: [0, 1],
            weights: [1.0, 100.0],
            in_time: [1.0, 0.0],
        },
        Case {
            name: "the short requests are the urgent ones",
            priorities: [1, 0],
            weights: [1.0, 1.0],
            in_time: [0.0, 2.0],
        },
        Case {
            name: "at equal priority, more answers count more",
            priorities: [1, 1],
            weights: [1.0, 1.0],
            in_time: [0.0, 2.0],
        },
        Case {
            name: "at equal priority, weight for each unit of work decides",
            priorities: [1, 1],
            weights: [3.0, 1.0],
            in_time: [1.0, 0.0],
        },
    ];
    let trace = [
        request("short", None, 0.0, 50.0),
        request("short", None, 0.0, 50.0),
        request("long", None, 0.0, 100.0),
    ];
    for case in cases {
        let with_weight = |name, n: usize| Route {
            in_time_weight: case.weights[n],
            ..route(name, case.priorities[n], 100.0, 100.0)
        };
        let routes = vec![with_weight("long", 0), with_weight("short", 1)];
        let model = model(routes, vec![upstream(0, 1, 1.0)], &trace);
        let solution = solve(&model);
        for (row, in_time) in totals(&model, &solution).iter().zip(case.in_time) {
            assert_close(
                row.bound,
                [in_time, 0.0, row.asked as f64 - in_time],
                case.name,
            );
            assert_close(
                row.achievable,
                [in_time, 0.0, row.asked as f64 - in_time],
                case.name,
            );
        }
        assert!((solution.most_in_time - 2.0).abs() < 1e-6, "{}", case.name);
    }
}

/// Guards against outcomes that are counted in the wrong row or at the wrong latency.
#[test]
fn outcomes_of_a_run_are_counted_beside_the_bound() {
    struct Case {
        outcome: Outcome,
        latency_ms: f64,
        run: [f64; 3],
    }
    let cases = [
        Case {
            outcome: Outcome::Answered,
            latency_ms: 100.0,
            run: [1.0, 0.0, 0.0],
        },
        Case {
            outcome: Outcome::Answered,
            latency_ms: 100.1,
            run: [0.0, 1.0, 0.0],
        },
        Case {
            outcome: Outcome::Refused,
            latency_ms: 1.0,
            run: [0.0, 0.0, 1.0],
        },
        Case {
            outcome: Outcome::Failed,
            latency_ms: 1.0,
            run: [0.0, 0.0, 1.0],
        },
    ];
    let trace = [
        request("buy", None, 900.0, 50.0),
        request("buy", None, 1_000.0, 50.0),
        request("buy", None, 1_999.9, 50.0),
    ];
    let routes = vec![route("buy", 0, 100.0, 300.0)];
    let mut model = model(routes, vec![upstream(0, 1, 1.0)], &trace);
    let solution = solve(&model);
    for case in cases {
        let mut record = RunRecord {
            arrival_ms: 1_500.0,
            route: SmolStr::new_static("buy"),
            domain: SmolStr::new_static("norr"),
            outcome: case.outcome,
            latency_ms: case.latency_ms,
        };
        let run = [record.clone()];
        let rows = Rows::new(&mut model, &solution, Some(&run), WINDOW_US).expect("valid outcomes");
        let rows_by_window: Vec<&Row> = rows.rows.values().collect();
        let [first, second] = rows_by_window.as_slice() else {
            panic!("two windows: {rows:?}");
        };
        assert_eq!((first.asked, second.asked), (1, 2));
        assert_close(
            first.run.expect("a tally"),
            [0.0; 3],
            "no outcome in the window",
        );
        assert_close(
            second.run.expect("a tally"),
            case.run,
            "one outcome in the window",
        );
        assert_eq!(second.run_of_bound(), Some(case.run[0] / 2.0));
        let svg = plot::in_time_chart(&rows).expect("a chart");
        for name in ["bound", "achievable", "first come", "run"] {
            assert!(svg.contains(name), "{name}");
        }
        record.route = SmolStr::new_static("sell");
        let error = Rows::new(&mut model, &solution, Some(&[record]), WINDOW_US);
        assert!(
            matches!(error, Err(InputError::UnknownRoute { record: 1, .. })),
            "{error:?}"
        );
    }
}

/// Guards against figures that are computed from a description or a trace that makes no sense.
#[test]
fn invalid_input_is_rejected() {
    struct Case {
        change: fn(&mut Description, &mut TraceRecord),
        expected: &'static str,
    }
    let cases = [
        Case {
            change: |d, _| d.routes.push(d.routes[0].clone()),
            expected: "buy is used twice",
        },
        Case {
            change: |d, _| d.routes[0].objective_ms = 400.0,
            expected: "route buy",
        },
        Case {
            change: |d, _| d.routes[0].in_time_weight = 0.0,
            expected: "route buy",
        },
        Case {
            change: |d, _| d.upstreams[0].speed = 0.0,
            expected: "upstream u-0",
        },
        Case {
            change: |d, _| d.upstreams[0].slots = 0,
            expected: "upstream u-0",
        },
        Case {
            change: |d, _| d.upstreams[0].entry = SmolStr::new_static("other"),
            expected: "no upstream",
        },
        Case {
            change: |_, r| r.route = SmolStr::new_static("sell"),
            expected: "record 1: unknown route sell",
        },
        Case {
            change: |_, r| r.upstream = Some(SmolStr::new_static("u-9")),
            expected: "record 1: entry shop has no upstream u-9",
        },
        Case {
            change: |_, r| r.arrival_ms = -1.0,
            expected: "record 1",
        },
        Case {
            change: |_, r| r.service_ms = f64::NAN,
            expected: "record 1",
        },
        Case {
            change: |_, r| r.arrival_ms = 1e14,
            expected: "record 1",
        },
        Case {
            change: |d, _| d.upstreams[0].speed = 1e9,
            expected: "upstream u-0",
        },
    ];
    for case in cases {
        let mut description = Description {
            routes: vec![route("buy", 0, 100.0, 300.0)],
            upstreams: vec![upstream(0, 1, 1.0)],
        };
        let mut record = request("buy", None, 0.0, 10.0);
        (case.change)(&mut description, &mut record);
        let error = Model::new(description, &[record]).expect_err(case.expected);
        assert!(error.to_string().contains(case.expected), "{error}");
    }
}

/// Guards against memory for each moment between a trace and a run whose times count from another
/// start.
#[test]
fn times_that_are_far_apart_take_little_memory() {
    let far_ms = 1.7e12;
    let trace = [0.0, far_ms].map(|at| request("buy", None, at, 50.0));
    let routes = vec![route("buy", 0, 100.0, 300.0)];
    let mut model = model(routes, vec![upstream(0, 1, 1.0)], &trace);
    let solution = solve(&model);
    let rows = Rows::new(&mut model, &solution, None, WINDOW_US).expect("no outcomes");
    assert_eq!(rows.rows.len(), 2);
    assert!(plot::in_time_chart(&rows).expect("a chart").len() < 100_000);
}

/// Returns the most requests that one slot answers in time, by trying all orders.
fn optimum_of_one_slot(left: &[(f64, f64)], objective_ms: f64, free_at_ms: f64) -> u32 {
    let mut best = 0;
    for (n, (arrival_ms, service_ms)) in left.iter().enumerate() {
        let end_ms = free_at_ms.max(*arrival_ms) + service_ms;
        if end_ms <= arrival_ms + objective_ms {
            let mut others = left.to_vec();
            others.remove(n);
            best = best.max(1 + optimum_of_one_slot(&others, objective_ms, end_ms));
        }
    }
    best
}

fn whole_ms(range: std::ops::Range<u32>) -> impl Strategy<Value = f64> {
    range.prop_map(f64::from)
}

proptest! {
    /// Guards against a bound below the optimum and an achievable schedule above it.
    #[test]
    fn the_optimum_of_one_slot_lies_between_achievable_and_bound(
        requests in prop::collection::vec((whole_ms(0..200), whole_ms(1..90)), 1..7),
    ) {
        let trace = requests.iter().map(|(at, service)| request("buy", None, *at, *service));
        let routes = vec![route("buy", 0, 100.0, 300.0)];
        let model = model(routes, vec![upstream(0, 1, 1.0)], &trace.collect::<Vec<_>>());
        let found = totals(&model, &solve(&model))[0];
        let optimum = f64::from(optimum_of_one_slot(&requests, 100.0, 0.0));
        prop_assert!(found.achievable.in_time <= optimum, "{found:?} {optimum}");
        prop_assert!(found.bound.in_time >= optimum - 1e-9, "{found:?} {optimum}");
    }

    /// Guards against schedules in the wrong order, for one route on upstreams of any speed with and
    /// without keys, and against requests that are counted twice or not at all.
    #[test]
    fn first_come_is_at_most_achievable_and_achievable_at_most_the_bound(
        upstreams in prop::collection::vec((1_u32..3, 0.5_f64..1.6), 1..4),
        requests in prop::collection::vec(
            (whole_ms(0..600), whole_ms(1..150), prop::option::of(0_usize..4)),
            1..60,
        ),
    ) {
        let count = upstreams.len();
        let trace = requests.iter().map(|(at, service, on)| {
            request("buy", on.map(|n| n % count), *at, *service)
        });
        let upstreams = upstreams.iter().enumerate();
        let upstreams = upstreams.map(|(n, (slots, speed))| upstream(n, *slots, *speed)).collect();
        let routes = vec![route("buy", 0, 100.0, 300.0)];
        let model = model(routes, upstreams, &trace.collect::<Vec<_>>());
        let solution = solve(&model);
        let Row { asked, bound, achievable, first_come, .. } = totals(&model, &solution)[0];
        prop_assert!(first_come.in_time <= achievable.in_time, "{first_come:?} {achievable:?}");
        prop_assert!(achievable.in_time <= bound.in_time + 1e-9, "{achievable:?} {bound:?}");
        prop_assert!((solution.most_in_time - bound.in_time).abs() < 1e-9);
        for tally in [bound, achievable, first_come] {
            prop_assert!((tally.asked() - asked as f64).abs() < 1e-6, "{tally:?}");
        }
    }

    /// Guards against a bound of urgent routes, or of all routes, that a schedule exceeds.
    #[test]
    fn two_priorities_stay_below_their_bounds(
        requests in prop::collection::vec(
            (whole_ms(0..400), whole_ms(1..150), any::<bool>(), prop::option::of(0_usize..2)),
            1..60,
        ),
    ) {
        let trace = requests.iter().map(|(at, service, is_urgent, on)| {
            request(if *is_urgent { "buy" } else { "look" }, *on, *at, *service)
        });
        let routes = vec![route("buy", 0, 100.0, 300.0), route("look", 1, 200.0, 200.0)];
        let upstreams = vec![upstream(0, 1, 0.7), upstream(1, 2, 1.3)];
        let model = model(routes, upstreams, &trace.collect::<Vec<_>>());
        let solution = solve(&model);
        let (mut urgent, mut all) = ([0.0; 3], [0.0; 2]);
        for (req, shares) in model.requests.iter().zip(&solution.shares) {
            let in_time = [shares.first_come.in_time, shares.achievable.in_time];
            if req.route == 0 {
                urgent[0] += shares.bound.in_time;
                urgent[1] += in_time[0];
                urgent[2] += in_time[1];
            }
            all[0] += in_time[0];
            all[1] += in_time[1];
        }
        prop_assert!(urgent[0] + 1e-9 >= urgent[1].max(urgent[2]), "{urgent:?}");
        prop_assert!(solution.most_in_time + 1e-9 >= all[0].max(all[1]), "{all:?}");
    }
}
