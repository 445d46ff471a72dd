//! Which moves the planner proposes, and the rules that all plans keep.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use catalogue::Objective;
use ids::{KeyHash, SliceNo, Timestamp};
use place::{PlannerSettings, ProposedMove, UpstreamState};
use proptest::prelude::*;
use support::{Entry, SLICES};

fn even() -> Vec<u32> {
    vec![20; SLICES as usize]
}

/// Gives each slice of upstream 0 (0, 4, 8, ...) `extra` more requests than the others.
fn skewed(extra: u32) -> Vec<u32> {
    let rate = |slice: u32| {
        if slice.is_multiple_of(4) {
            20 + extra
        } else {
            20
        }
    };
    (0..SLICES).map(rate).collect()
}

#[test]
fn moves_depend_on_imbalance_and_weights() {
    struct Case {
        name: &'static str,
        rates: Vec<u32>,
        objective: Objective,
        moves: bool,
    }
    let weights = |imbalance, churn| Objective { imbalance, churn };
    let cases = [
        Case {
            name: "equal load",
            rates: even(),
            objective: weights(1.0, 1.0),
            moves: false,
        },
        Case {
            name: "one twentieth more on one upstream",
            rates: skewed(1),
            objective: weights(1.0, 1.0),
            moves: false,
        },
        Case {
            name: "half as much again on one upstream",
            rates: skewed(10),
            objective: weights(1.0, 1.0),
            moves: true,
        },
        Case {
            name: "a quarter more with greater weight of imbalance",
            rates: skewed(5),
            objective: weights(2.0, 1.0),
            moves: true,
        },
        Case {
            name: "a quarter more with greater weight of churn",
            rates: skewed(5),
            objective: weights(1.0, 4.0),
            moves: false,
        },
        Case {
            name: "no load",
            rates: vec![0; SLICES as usize],
            objective: weights(1.0, 1.0),
            moves: false,
        },
    ];
    for case in cases {
        let mut entry = Entry::new(4, PlannerSettings::default());
        entry.objective = case.objective;
        let mut moves = 0;
        for _ in 0..60 {
            entry.serve(&case.rates);
            let proposals = entry.plan();
            moves += proposals.len();
            entry.carry_out(&proposals);
        }
        assert_eq!(moves > 0, case.moves, "{}: {moves} moves", case.name);
        let limit = if case.moves { 1.1 } else { 1.25 };
        assert!(
            entry.imbalance() <= limit || entry.imbalance().is_nan(),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_hot_key_is_carved_followed_and_folded() {
    let mut entry = Entry::new(4, PlannerSettings::default());
    let first = KeyHash::of(b"first");
    let first_owner = entry.loads.owner(first.slice(SLICES));
    let elsewhere = |key: &KeyHash| entry.loads.owner(key.slice(SLICES)) != first_owner;
    let second = (0..).map(|n: u64| KeyHash::of(&n.to_le_bytes()));
    let second = second.clone().find(elsewhere).expect("a key elsewhere");
    let mut carved = None;
    let mut folded = None;
    for t in 0..240 {
        entry.serve(&even());
        let hot = if t < 60 { first } else { second };
        for _ in 0..200 {
            if t < 120 {
                entry.request(hot, hot.slice(SLICES), 1000);
            }
        }
        let proposals = entry.plan();
        for proposal in &proposals {
            match *proposal {
                ProposedMove::Carve { key, .. } if key == second => carved = Some(t),
                ProposedMove::Fold { slice, .. } if slice == second.hot_slice() => folded = Some(t),
                _ => {}
            }
        }
        entry.carry_out(&proposals);
        if t == 59 || t == 90 {
            assert!(entry.imbalance() < 1.25, "{}", entry.imbalance());
        }
    }
    let carved = carved.expect("the second key was not carved out");
    assert!((60..90).contains(&carved), "carved at {carved}");
    assert!(folded.expect("the second key was not folded back") > 120);
    assert_eq!(second.hot_slice().base(SLICES), second.slice(SLICES));
}

#[test]
fn arriving_upstreams_fill_by_ramp_and_leaving_ones_empty() {
    let mut entry = Entry::new(4, PlannerSettings::default());
    let rates = even();
    entry.set_state(3, UpstreamState::Draining);
    while !entry.loads.slices(entry.keys[3]).is_empty() {
        entry.serve(&rates);
        let proposals = entry.plan();
        entry.carry_out(&proposals);
        assert!(entry.second < 10, "a draining upstream still has slices");
    }
    for (fraction, within) in [(0.25, 30), (1.0, 60)] {
        entry.set_state(3, UpstreamState::WarmingUp { fraction });
        for _ in 0..within {
            entry.serve(&rates);
            let proposals = entry.plan();
            entry.carry_out(&proposals);
        }
        let owned = entry.loads.slices(entry.keys[3]).len() as f64 / f64::from(SLICES);
        let expected = fraction / (3.0 + fraction);
        assert!(
            (owned - expected).abs() < 0.1,
            "{owned} of the slices at {fraction}"
        );
    }
}

#[test]
fn a_pending_proposal_is_not_repeated_at_once() {
    let mut entry = Entry::new(4, PlannerSettings::default());
    let mut first = Vec::new();
    while first.is_empty() {
        entry.serve(&skewed(20));
        first = entry.plan();
    }
    entry.serve(&skewed(20));
    let second = entry.plan();
    let repeats_first = |p: &ProposedMove| first.iter().any(|f| f.slice() == p.slice());
    assert!(!second.iter().any(repeats_first));
}

#[test]
fn nothing_goes_for_a_while_to_an_upstream_that_declined() {
    let mut entry = Entry::new(4, PlannerSettings::default());
    let mut proposals = Vec::new();
    while proposals.is_empty() {
        entry.serve(&skewed(20));
        proposals = entry.plan();
    }
    let declined = proposals[0].to();
    let now = entry.now();
    for proposal in &proposals {
        entry.planner.failed(now, proposal.slice());
    }
    entry.serve(&skewed(20));
    let next = entry.plan();
    assert!(next.iter().all(|p| p.to() != declined));
    for _ in 0..30 {
        entry.serve(&skewed(20));
        let proposals = entry.plan();
        entry.carry_out(&proposals);
    }
    assert!(entry.imbalance() < 1.1, "{}", entry.imbalance());
}

#[derive(Debug, Clone)]
struct Step {
    rates: Vec<u32>,
    state: Option<(usize, UpstreamState)>,
    reported: f64,
}

fn states() -> impl Strategy<Value = UpstreamState> {
    prop_oneof![
        Just(UpstreamState::Active),
        (0.1..1.0).prop_map(|fraction| UpstreamState::WarmingUp { fraction }),
        Just(UpstreamState::Draining),
        Just(UpstreamState::Unavailable),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let rates = proptest::collection::vec(0..40_u32, SLICES as usize);
    let state = proptest::option::weighted(0.2, (0..4_usize, states()));
    let step = (rates, state, 0.0..8.0).prop_map(|(rates, state, reported)| Step {
        rates,
        state,
        reported,
    });
    proptest::collection::vec(step, 1..40)
}

fn run(steps: &[Step], cfg: PlannerSettings) -> Vec<(u64, ProposedMove)> {
    let mut entry = Entry::new(4, cfg);
    let mut all = Vec::new();
    for step in steps {
        if let Some((n, state)) = step.state {
            entry.set_state(n, state);
        }
        entry.serve(&step.rates);
        let now = entry.now();
        let first = entry.keys[0];
        entry.loads.record_report(now, first, step.reported);
        let proposals = entry.plan();
        for proposal in &proposals {
            let owner = entry
                .loads
                .owner(proposal.slice())
                .unwrap_or(proposal.from());
            assert_eq!(
                owner,
                proposal.from(),
                "the proposal's source is not the owner"
            );
            let state = |key| entry.loads.view(key).state;
            assert_ne!(state(proposal.from()), UpstreamState::Unavailable);
            if let Some(to) = proposal.to() {
                let ineligible = [UpstreamState::Draining, UpstreamState::Unavailable];
                assert!(!ineligible.contains(&state(to)), "moved to {:?}", state(to));
                assert_ne!(to, proposal.from());
            }
        }
        let drained = |p: &&ProposedMove| {
            let state = entry.loads.view(p.from()).state;
            state == UpstreamState::Draining && matches!(p, ProposedMove::Move { .. })
        };
        assert!(proposals.iter().filter(drained).count() <= cfg.max_drain_moves);
        let planned = proposals.iter().filter(|p| !drained(p));
        all.extend(planned.map(|p| (entry.second, *p)));
        entry.carry_out(&proposals);
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn plans_keep_their_rules(steps in steps()) {
        let cfg = PlannerSettings {
            max_moves: 6,
            move_window: Duration::from_secs(10),
            slice_delay: Duration::from_secs(1),
            ..PlannerSettings::default()
        };
        let proposals = run(&steps, cfg);
        prop_assert_eq!(&proposals, &run(&steps, cfg), "the same inputs gave other proposals");
        let mut window: VecDeque<u64> = VecDeque::new();
        for (second, _) in proposals {
            window.push_back(second);
            while window.front().is_some_and(|first| second - first >= 10) {
                window.pop_front();
            }
            prop_assert!(window.len() <= cfg.max_moves, "over budget at {}", second);
        }
    }
}

#[test]
fn misleading_reports_change_no_plan() {
    struct Case {
        name: &'static str,
        /// Returns the reported load for an observed load.
        report: fn(f64) -> f64,
    }
    let cases = [
        Case {
            name: "frozen at zero",
            report: |_| 0.0,
        },
        Case {
            name: "frozen at full",
            report: |_| 4.0,
        },
        Case {
            name: "inverted",
            report: |load| 4.0 - load,
        },
        Case {
            name: "not a number",
            report: |_| f64::NAN,
        },
    ];
    let plan_with = |report: Option<fn(f64) -> f64>| {
        let mut entry = Entry::new(4, PlannerSettings::default());
        let mut all = Vec::new();
        for second in 0..120_u32 {
            entry.serve(&skewed(second % 12));
            for key in entry.keys.clone() {
                let now = entry.now();
                let load = entry.loads.load(now, key);
                if let Some(report) = report {
                    entry.loads.record_report(now, key, report(load));
                }
            }
            let proposals = entry.plan();
            entry.carry_out(&proposals);
            all.extend(proposals);
        }
        all
    };
    let without = plan_with(None);
    assert!(!without.is_empty());
    for case in cases {
        assert_eq!(plan_with(Some(case.report)), without, "{}", case.name);
    }
}

#[test]
fn a_target_admits_only_what_does_not_overfill_it() {
    let mut entry = Entry::new(4, PlannerSettings::default());
    for _ in 0..10 {
        entry.serve(&even());
    }
    let now = Timestamp::from_millis(10_000);
    let share = entry.loads.load(now, entry.keys[0]);
    for (fraction, admitted) in [(0.01, true), (0.5, false)] {
        let input = place::PlanInput {
            loads: &entry.loads,
            objective: entry.objective,
            slices: SLICES,
        };
        let proposal = ProposedMove::Move {
            slice: SliceNo(0),
            from: entry.keys[0],
            to: entry.keys[1],
            load: share * fraction,
        };
        assert_eq!(
            entry.planner.admits(now, &input, &proposal),
            admitted,
            "{fraction}"
        );
    }
}
