//! Operators who race through a platform that fails: what is accepted stays, once, in one order.

use catalogue::rows::ItemChange;
use catalogue::{Catalogue, Item, ItemKey, verify};
use ids::Version;
use proptest::prelude::*;
use proptest::test_runner::Config;

use crate::world::{World, any_step};

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
        }
    }
}

/// Nobody replaced what they had not seen.
fn check_seen(world: &World) {
    for (row, items) in world.history() {
        let Some(tried) = world.tried.get(&row.change) else {
            continue;
        };
        for item in items {
            let seen = tried.seen.get(&item.item).copied().flatten();
            let unseen = item.before.is_some() && item.was != seen;
            assert!(
                !unseen,
                "{} of {row:?} replaced what was not seen",
                item.item
            );
        }
    }
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
        let states = replay(&world);
        let in_force = world.in_force();
        prop_assert!(in_force.is_complete());
        prop_assert_eq!(in_force.version(), Version(states.len() as u64 - 1));
        prop_assert_eq!(Some(in_force.catalogue()), states.last());
        check_changes(&world);
        check_seen(&world);
    }
}
