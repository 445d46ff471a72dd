//! The plain paths, one fault at a time.

use crate::simulation::{Fault, MS, Setup, World};

fn started(setup: Setup) -> World {
    let mut w = World::new(setup);
    w.run_until(2_000 * MS);
    assert_eq!(w.violations, []);
    w.reset_unserved();
    w.requests.refused = 0;
    w
}

#[test]
fn slices_are_handed_out_and_served() {
    let w = started(Setup::default());
    assert!(w.unserved_ms() < 100, "{} ms", w.unserved_ms());
}

struct Case {
    name: &'static str,
    setup: Setup,
    faults: &'static [(u64, Fault)],
    /// Longest time for which a slice may stay unserved, in milliseconds.
    unserved_ms: u64,
    /// Whether slices change their owner.
    moves: bool,
    /// Most writes to the table.
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

fn moving(case: Case) -> Case {
    Case {
        moves: true,
        ..case
    }
}

fn losses() -> Vec<Case> {
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
        moving(case("upstream killed", 1_500, &[(0, KillUpstream(0))])),
        moving(case(
            "upstream frozen",
            1_500,
            &[(0, PauseUpstream(0, 3_000 * MS))],
        )),
        moving(case(
            "host and upstream killed",
            2_000,
            &[(0, KillHost(0)), (0, KillUpstream(0))],
        )),
        moving(case(
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
            ..moving(case(
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
                "deputy acts in an outage and is paused as it ends",
                1_500,
                &[
                    (0, TableDown),
                    (500, KillHost(2)),
                    (1_450, PauseHost(0, 1_500 * MS)),
                    (1_500, TableUp),
                ],
            )
        },
        moving(case("domain declared lost", 2_500, &[(0, LoseDomain(1))])),
    ]
}

fn planned() -> Vec<Case> {
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
                unconfirmed: 100,
                ..Setup::default()
            },
            ..moving(case(
                "move recorded as the table goes, and not confirmed",
                300,
                &[(0, Wish(0, 2)), (30, TableDown), (2_500, TableUp)],
            ))
        },
        case(
            "move not recorded as the table goes",
            300,
            &[(0, TableDown), (0, Wish(0, 2))],
        ),
        moving(case("upstream emptied", 200, &[(0, EmptyUpstream(0))])),
        moving(case("upstream removed", 1_000, &[(0, RemoveUpstream(0))])),
        moving(case(
            "hot key carved out and moved",
            60,
            &[(0, Carve(0)), (500, MoveHot(0, 2))],
        )),
        moving(case(
            "hot key moved and folded back",
            200,
            &[
                (0, Carve(0)),
                (300, MoveHot(0, 1)),
                (900, Wish(0, 1)),
                (1_500, Fold(0)),
            ],
        )),
        moving(case(
            "slice moved",
            200,
            &[(0, Wish(0, 2)), (0, Wish(1, 2))],
        )),
    ]
}

fn slices(w: &World) -> Vec<Vec<u64>> {
    let rows = w.upstreams.iter().filter_map(|u| w.row(&u.name));
    rows.map(|r| r.slices.iter().map(|a| a.slice.0).collect())
        .collect()
}

/// Runs a case; returns what went wrong.
fn run(case: Case) -> Vec<String> {
    let mut w = started(case.setup);
    let before = slices(&w);
    let (start, writes) = (w.t, w.writes);
    for (after_ms, fault) in case.faults {
        w.fault_at(start + after_ms * MS, *fault);
    }
    w.run_until(start + 4_000 * MS);
    w.check_history();
    let unserved = w.unserved_ms();
    let moved = slices(&w) != before;
    let writes = w.writes - writes;
    println!(
        "{}: unserved {unserved} ms, {writes} writes, moved: {moved}",
        case.name
    );
    let mut wrong = Vec::new();
    wrong.extend(w.violations.iter().map(|v| format!("{}: {v:?}", case.name)));
    wrong.extend(w.broken.iter().map(|v| format!("{}: {v:?}", case.name)));
    if unserved > case.unserved_ms {
        wrong.push(format!("{}: unserved {unserved} ms", case.name));
    }
    if writes > case.writes {
        wrong.push(format!("{}: {writes} writes", case.name));
    }
    if moved != case.moves {
        wrong.push(format!("{}: moved: {moved}", case.name));
    }
    wrong
}

#[test]
fn one_fault_at_a_time() {
    let cases = losses().into_iter().chain(planned());
    let wrong = cases.flat_map(run).collect::<Vec<_>>();
    assert!(wrong.is_empty(), "{wrong:#?}");
}
