//! Operators who race through a platform that fails: what is accepted stays, once, in one order.

use catalogue::rows::ItemChange;
use catalogue::{Catalogue, Item, ItemKey, verify};
use ids::Version;
use proptest::prelude::*;
use proptest::test_runner::Config;

use crate::world::{Edit, Fate, Seen, Step, World, any_step};

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

/// Replays the history from nothing and checks that each change fits what was there before.
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
        assert_eq!(verify(&state), vec![], "each version is sound");
        states.push(state);
    }
    states
}

/// Each change was applied at most once, and where operators were told.
fn check_changes(world: &World) {
    let accepted = world.accepted();
    let history = world.history();
    assert_eq!(accepted.len(), history.len(), "one id for each version");
    for (row, _) in &history {
        let told = world.told_nothing.contains(&row.at_ms);
        assert!(!told, "{row:?} was made by a run that was told otherwise");
        assert_eq!(
            accepted.get(&row.change),
            Some(&row.version),
            "applied once"
        );
    }
    for (change, tried) in &world.tried {
        let version = accepted.get(change);
        for told in &tried.accepted {
            assert_eq!(version, Some(told), "{change} stays accepted");
        }
        if version.is_some() {
            let known = !tried.accepted.is_empty() || tried.open;
            assert!(
                known,
                "{change} was accepted though all were told otherwise"
            );
            assert!(!tried.withdrawn, "{change} was accepted though withdrawn");
        }
    }
}

/// Nobody replaced what they had not seen, nor was told of a version from before that.
fn check_seen(world: &World) {
    for (row, items) in world.history() {
        let Some(tried) = world.tried.get(&row.change) else {
            continue;
        };
        for item in items {
            let seen = |s: &Seen| s.rows.get(&item.item).copied();
            let unseen = item.before.is_some() && tried.seen.iter().all(|s| seen(s) != item.was);
            assert!(
                !unseen,
                "{} of {row:?} replaced what was not seen",
                item.item
            );
            // A run without a base may be told of a change that was replaced meanwhile.
            let bases = tried.seen.iter().filter(|s| s.from_base);
            let newer = bases.filter_map(seen).all(|v| v < row.version);
            assert!(newer, "{row:?} comes after what was seen");
        }
    }
}

/// Everything that must hold once all runs have ended.
fn check(world: &World) {
    let states = replay(world);
    let in_force = world.in_force();
    assert!(in_force.is_complete());
    assert_eq!(in_force.version(), Version(states.len() as u64 - 1));
    assert_eq!(Some(in_force.catalogue()), states.last());
    assert_eq!(world.refused, 0, "all operators own all entries");
    check_changes(world);
    check_seen(world);
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

/// Steps that once went wrong, or would if a part were missing, and the versions they end in.
struct Scenario {
    name: &'static str,
    steps: &'static [Step],
    versions: usize,
}

const READ: Fate = Fate::Answered;

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
            Step::Call(0, Fate::Answered),
            Step::Call(1, Fate::Answered),
        ],
        versions: 3,
    },
    Scenario {
        name: "they do if the platform looks at access first",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Edit(1, Edit::Limit(1)),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, READ),
            Step::Call(1, READ),
            Step::Call(0, Fate::Answered),
            Step::Call(1, Fate::AccessFirst),
        ],
        versions: 3,
    },
    Scenario {
        name: "a run that loses each time says so, also after a lost confirmation",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, Fate::Late),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, Fate::Late),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Deliver,
        ],
        versions: 2,
    },
    Scenario {
        name: "a run that finds its change withdrawn says so",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Kill(0),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Withdraw(0),
            Step::Call(0, Fate::AccessFirst),
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
            Step::Call(0, Fate::Answered),
            Step::Call(1, Fate::Answered),
        ],
        versions: 2,
    },
    Scenario {
        name: "of two runs of one operator without a base one succeeds",
        steps: &[
            Step::LoseBase(0),
            Step::Twin(0),
            Step::Edit(0, Edit::Limit(0)),
            Step::Edit(3, Edit::Limit(0)),
            Step::Call(0, READ),
            Step::Call(3, READ),
            Step::Call(0, READ),
            Step::Call(3, READ),
            Step::Call(0, Fate::Answered),
            Step::Call(3, Fate::Answered),
        ],
        versions: 2,
    },
    Scenario {
        name: "a change whose confirmation is lost is applied once, by either run",
        steps: &[
            Step::Edit(0, Edit::Limit(0)),
            Step::Twin(0),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, Fate::AnswerLost),
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
            Step::Call(0, Fate::Late),
            Step::Kill(0),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, READ),
            Step::Call(0, Fate::Answered),
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
            Step::Call(0, Fate::Late),
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
