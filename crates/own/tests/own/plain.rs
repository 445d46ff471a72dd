//! Basic scenarios: single faults, a few combined faults, and planned changes.

use crate::simulation::{Fault, MS, Setup, Simulation};

fn started(setup: Setup) -> Simulation {
    let mut sim = Simulation::new(setup);
    sim.run_until(2_000 * MS);
    assert_eq!(sim.violations, []);
    sim.reset_unserved();
    sim.requests.refused = 0;
    sim
}

#[test]
fn slices_are_handed_out_and_served() {
    let sim = started(Setup::default());
    assert!(sim.unserved_ms() < 100, "{} ms", sim.unserved_ms());
}

struct Case {
    name: &'static str,
    setup: Setup,
    faults: &'static [(u64, Fault)],
    /// Maximum time for which a slice may be unserved, in milliseconds.
    unserved_ms: u64,
    /// Whether slices must change their owners.
    moves: bool,
    /// Maximum number of writes to the table.
    writes: u64,
}

fn case(name: &'static str, unserved_ms: u64, faults: &'static [(u64, Fault)]) -> Case {
    Case {
        name,
        setup: Setup::default(),
        faults,
        unserved_ms,
        moves: false,
        writes: 8,
    }
}

fn with_moves(case: Case) -> Case {
    Case {
        moves: true,
        ..case
    }
}

fn failure_cases() -> Vec<Case> {
    use Fault::*;
    vec![
        case("nothing", 60, &[]),
        case("host killed", 1_500, &[(0, KillHost(0))]),
        case("other host killed", 1_500, &[(0, KillHost(1))]),
        case("host paused", 1_500, &[(0, PauseHost(0, 1_500 * MS))]),
        case("other host paused", 1_500, &[(0, PauseHost(1, 1_500 * MS))]),
        case(
            "both hosts of a domain killed",
            3_200,
            &[(0, KillHost(0)), (0, KillHost(1)), (2_000, StartHost(0))],
        ),
        with_moves(case("upstream killed", 1_500, &[(0, KillUpstream(0))])),
        with_moves(case(
            "upstream frozen",
            1_500,
            &[(0, PauseUpstream(0, 3_000 * MS))],
        )),
        with_moves(case(
            "host and upstream killed",
            2_000,
            &[(0, KillHost(0)), (0, KillUpstream(0))],
        )),
        with_moves(case(
            "other host and upstream killed",
            2_000,
            &[(0, KillHost(1)), (0, KillUpstream(0))],
        )),
        case("table down", 60, &[(0, TableDown)]),
        case(
            "table down, then host killed",
            1_500,
            &[(0, TableDown), (1_500, KillHost(0))],
        ),
        case(
            "table down, then other host killed",
            1_500,
            &[(0, TableDown), (1_500, KillHost(1))],
        ),
        case(
            "domain cut off from all",
            60,
            &[(0, CutDomain(1)), (0, CutPlatform(1))],
        ),
        Case {
            setup: Setup {
                cut_off: catalogue::CutOff::FailOver,
                ..Setup::default()
            },
            ..with_moves(case(
                "domain cut off from all (fail-over)",
                2_500,
                &[(0, Isolate(1))],
            ))
        },
        case(
            "table down, then host paused",
            1_500,
            &[(0, TableDown), (1_500, PauseHost(0, 1_000 * MS))],
        ),
        case(
            "table down, then other host paused",
            1_500,
            &[(0, TableDown), (1_500, PauseHost(1, 1_000 * MS))],
        ),
        Case {
            setup: Setup {
                hosts: vec![3, 1],
                ..Setup::default()
            },
            ..case(
                "standby acts in an outage and is paused as it ends",
                1_500,
                &[
                    (0, TableDown),
                    (500, KillHost(2)),
                    (1_450, PauseHost(0, 1_500 * MS)),
                    (1_500, TableUp),
                ],
            )
        },
        with_moves(case("domain declared lost", 2_500, &[(0, LoseDomain(1))])),
    ]
}

/// A host that did not reach an upstream took the slices off it, or let them wait if the upstream
/// checks no grants, although the other host of the domain reached it.
fn link_cases() -> Vec<Case> {
    use Fault::*;
    vec![
        case(
            "host cut off from upstreams",
            600,
            &[
                (0, CutUpstream(0, 0, 3_000 * MS)),
                (0, CutUpstream(0, 1, 3_000 * MS)),
            ],
        ),
        case(
            "other host cut off from upstreams",
            600,
            &[
                (0, CutUpstream(1, 0, 3_000 * MS)),
                (0, CutUpstream(1, 1, 3_000 * MS)),
            ],
        ),
        Case {
            setup: Setup {
                upstreams: vec![(0, false), (0, false), (1, false)],
                ..Setup::default()
            },
            ..case(
                "host cut off from upstreams that do not check grants",
                600,
                &[
                    (0, CutUpstream(0, 0, 3_000 * MS)),
                    (0, CutUpstream(0, 1, 3_000 * MS)),
                ],
            )
        },
        case(
            "host cut off from upstreams, then the other host",
            700,
            &[
                (0, CutUpstream(0, 0, 1_400 * MS)),
                (0, CutUpstream(0, 1, 1_400 * MS)),
                (1_500, CutUpstream(1, 0, 2_000 * MS)),
                (1_500, CutUpstream(1, 1, 2_000 * MS)),
            ],
        ),
        // Requests that were held for the first handover were never released.
        Case {
            // A handover writes the row twice: with the next host, and with its next standby.
            writes: 16,
            ..case(
                "hosts cut off in turn, so that upstreams are handed over, back, and over again",
                700,
                &[
                    (0, CutUpstream(0, 0, 600 * MS)),
                    (0, CutUpstream(0, 1, 600 * MS)),
                    (700, CutUpstream(1, 0, 600 * MS)),
                    (700, CutUpstream(1, 1, 600 * MS)),
                    (1_400, CutUpstream(0, 0, 600 * MS)),
                    (1_400, CutUpstream(0, 1, 600 * MS)),
                    (2_100, CutUpstream(1, 0, 600 * MS)),
                    (2_100, CutUpstream(1, 1, 600 * MS)),
                ],
            )
        },
        case(
            "table down, then host cut off from upstreams",
            3_200,
            &[
                (0, TableDown),
                (500, CutUpstream(0, 0, 3_000 * MS)),
                (500, CutUpstream(0, 1, 3_000 * MS)),
            ],
        ),
    ]
}

fn planned_cases() -> Vec<Case> {
    use Fault::*;
    vec![
        case("planned leave of a host", 200, &[(0, LeaveHost(0))]),
        case("planned leave of the other host", 200, &[(0, LeaveHost(1))]),
        case(
            "planned leave without the table",
            400,
            &[(0, TableDown), (1_500, LeaveHost(0))],
        ),
        Case {
            setup: Setup {
                lost_confirmation_percent: 100,
                ..Setup::default()
            },
            ..with_moves(case(
                "move recorded as the table goes down, and not confirmed",
                300,
                &[(0, MoveSlice(0, 2)), (30, TableDown), (2_500, TableUp)],
            ))
        },
        case(
            "move not recorded as the table goes down",
            300,
            &[(0, TableDown), (0, MoveSlice(0, 2))],
        ),
        with_moves(case("upstream drained", 200, &[(0, DrainUpstream(0))])),
        with_moves(case("upstream removed", 1_000, &[(0, RemoveUpstream(0))])),
        with_moves(case(
            "hot key carved out and moved",
            60,
            &[(0, Carve(0)), (500, MoveHot(0, 2))],
        )),
        with_moves(case(
            "hot key moved and folded back",
            200,
            &[
                (0, Carve(0)),
                (300, MoveHot(0, 1)),
                (900, MoveSlice(0, 1)),
                (1_500, Fold(0)),
            ],
        )),
        with_moves(case(
            "slice moved",
            200,
            &[(0, MoveSlice(0, 2)), (0, MoveSlice(1, 2))],
        )),
    ]
}

fn slices(sim: &Simulation) -> Vec<Vec<u64>> {
    let rows = sim.upstreams.iter().filter_map(|u| sim.row(&u.name));
    rows.map(|r| r.slices.iter().map(|a| a.slice.0).collect())
        .collect()
}

/// Runs a case and returns the deviations from what it expects.
fn run(case: Case) -> Vec<String> {
    let mut sim = started(case.setup);
    let before = slices(&sim);
    let (start, writes) = (sim.t, sim.writes);
    for (after_ms, fault) in case.faults {
        sim.schedule_fault(start + after_ms * MS, *fault);
    }
    sim.run_until(start + 4_000 * MS);
    sim.check_history();
    let unserved = sim.unserved_ms();
    let moved = slices(&sim) != before;
    let writes = sim.writes - writes;
    println!(
        "{}: unserved {unserved} ms, {writes} writes, moved: {moved}",
        case.name
    );
    let mut deviations = Vec::new();
    deviations.extend(
        sim.violations
            .iter()
            .map(|v| format!("{}: {v:?}", case.name)),
    );
    deviations.extend(sim.failures.iter().map(|v| format!("{}: {v:?}", case.name)));
    if unserved > case.unserved_ms {
        deviations.push(format!("{}: unserved {unserved} ms", case.name));
    }
    if writes > case.writes {
        deviations.push(format!("{}: {writes} writes", case.name));
    }
    if moved != case.moves {
        deviations.push(format!("{}: moved: {moved}", case.name));
    }
    deviations
}

#[test]
fn one_fault_at_a_time() {
    let cases = [failure_cases(), link_cases(), planned_cases()];
    let cases = cases.into_iter().flatten();
    let deviations = cases.flat_map(run).collect::<Vec<_>>();
    assert!(deviations.is_empty(), "{deviations:#?}");
}
