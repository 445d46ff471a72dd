//! Operators who submit changes concurrently to a platform with faults: each accepted change is
//! applied exactly once, in a total order.

use catalogue::rows::ItemChange;
use catalogue::{Catalogue, Item, ItemKey, verify};
use ids::Version;
use proptest::prelude::*;
use proptest::test_runner::Config;

use crate::world::{CallEnd, Edit, ReadRows, Step, World, any_step};

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    }
}

fn read(key: &ItemKey, body: Option<&serde_json::Value>) -> Option<Item> {
    body.map(|b| Item::from_json(key, b).unwrap())
}

/// Replays the history from the empty catalogue and checks that each change starts from the state
/// that the previous one left.
fn replay(world: &World) -> Vec<Catalogue> {
    let mut states = vec![Catalogue::default()];
    for (n, (row, items)) in world.history().iter().enumerate() {
        assert_eq!(row.version, Version(n as u64 + 1), "versions have no gaps");
        let mut state = states[n].clone();
        for ItemChange {
            item,
            before,
            after,
            ..
        } in items
        {
            assert_eq!(state.item(item), read(item, before.as_ref()), "{row:?}");
            state.set(item, read(item, after.as_ref()));
        }
        assert_eq!(verify(&state), vec![], "each version is free of faults");
        states.push(state);
    }
    states
}

/// Checks that each change was applied at most once, and as the result of its runs says.
fn check_changes(world: &World) {
    let accepted = world.accepted();
    let history = world.history();
    assert_eq!(accepted.len(), history.len(), "one id for each version");
    for (row, _) in &history {
        let reported = world.reported_unchanged.contains(&row.at_ms);
        assert!(
            !reported,
            "{row:?} was made by a run whose result was that nothing changed"
        );
        assert_eq!(
            accepted.get(&row.change),
            Some(&row.version),
            "applied once"
        );
    }
    for (change, submitted) in &world.submitted {
        let version = accepted.get(change);
        for reported in &submitted.accepted {
            assert_eq!(version, Some(reported), "{change} stays accepted");
        }
        if version.is_some() {
            let reported = !submitted.accepted.is_empty() || submitted.unknown;
            assert!(
                reported,
                "{change} was accepted but no run reported that or an unknown result"
            );
            assert!(
                !submitted.withdrawn,
                "{change} was accepted although it was withdrawn"
            );
        }
    }
}

/// Checks that no run replaced a state that it had not read, and that its version is newer than
/// all rows of its base.
fn check_read_rows(world: &World) {
    for (row, items) in world.history() {
        let Some(submitted) = world.submitted.get(&row.change) else {
            continue;
        };
        for item in items {
            let read_version = |s: &ReadRows| s.rows.get(&item.item).copied();
            let unread = item.before.is_some()
                && submitted
                    .read_rows
                    .iter()
                    .all(|s| read_version(s) != item.was);
            assert!(
                !unread,
                "{} of {row:?} replaced a state that no run had read",
                item.item
            );
            // A run without a base may report a change that was replaced meanwhile.
            let bases = submitted.read_rows.iter().filter(|s| s.from_base);
            let newer = bases.filter_map(read_version).all(|v| v < row.version);
            assert!(newer, "{row:?} is newer than the rows of the base");
        }
    }
}

/// Checks all invariants that hold after all runs have ended.
fn check(world: &World) {
    let states = replay(world);
    let in_force = world.in_force();
    assert!(in_force.is_complete());
    assert_eq!(in_force.version(), Version(states.len() as u64 - 1));
    assert_eq!(Some(in_force.catalogue()), states.last());
    assert_eq!(world.refused, 0, "all operators own all entries");
    check_changes(world);
    check_read_rows(world);
}

proptest! {
    #![proptest_config(config(128))]

    #[test]
    fn accepted_changes_stay_once_in_one_order(
        steps in prop::collection::vec(any_step(3), 20..160),
    ) {
        let mut world = World::new(3);
        for step in steps {
            world.step(step);
        }
        world.finish();
        check(&world);
    }
}

/// A sequence of steps that once failed, or would fail without some check, and the number of
/// versions that it ends with.
struct Scenario {
    name: &'static str,
    steps: &'static [Step],
    versions: usize,
}

const READ: CallEnd = CallEnd::Answered;

const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "two operators on different entries both succeed",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Edit(1, Edit::Limit(1)),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, CallEnd::Answered),
            Step::Call(1, CallEnd::Answered),
        ],
        versions: 3,
    },
    Scenario {
        name: "both succeed if the platform checks access before the transaction's checks",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Edit(1, Edit::Limit(1)),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, CallEnd::Answered),
            Step::Call(1, CallEnd::AccessFirst),
        ],
        versions: 3,
    },
    Scenario {
        name: "a run that loses each time reports that, also after a lost confirmation",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, CallEnd::Late),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, CallEnd::Late),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Deliver,
        ],
        versions: 2,
    },
    Scenario {
        name: "a run that finds its change withdrawn reports that",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Kill(0),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Withdraw(0),
            Step::Call(0, CallEnd::AccessFirst),
        ],
        versions: 1,
    },
    Scenario {
        name: "of two on the same entry one succeeds",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Edit(1, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, CallEnd::Answered),
            Step::Call(1, CallEnd::Answered),
        ],
        versions: 2,
    },
    Scenario {
        name: "of two runs of one operator without a base one succeeds",
        steps: &[
            Step::LoseBase(0),
            Step::RunAgain(0),
            Step::Edit(0, Edit::Limit(0)),
            Step::Edit(3, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(3, READ),
            Step::Call(0, READ),
            Step::Call(3, READ),
            Step::Call(0, CallEnd::Answered),
            Step::Call(3, CallEnd::Answered),
        ],
        versions: 2,
    },
    Scenario {
        name: "a change whose confirmation is lost is applied once, by either run",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::RunAgain(0),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, CallEnd::AnswerLost),
            Step::Kill(0),
        ],
        versions: 2,
    },
    Scenario {
        name: "a change that arrives late is not applied on top of its own repetition",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, CallEnd::Late),
            Step::Kill(0),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, CallEnd::Answered),
            Step::Deliver,
        ],
        versions: 2,
    },
    Scenario {
        name: "a change that was withdrawn never takes effect",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, CallEnd::Late),
            Step::Kill(0),
            Step::Withdraw(0),
            Step::Deliver,
        ],
        versions: 1,
    },
];

#[test]
fn scenarios_end_as_they_should() {
    for scenario in SCENARIOS {
        let mut world = World::new(3);
        for step in scenario.steps {
            world.step(*step);
        }
        world.finish();
        check(&world);
        assert_eq!(
            world.history().len(),
            scenario.versions,
            "{}",
            scenario.name
        );
    }
}
