//! Hosts that receive rows late, repeated, out of order and in part: versions only increase, and
//! all hosts converge to the same catalogue.

use std::collections::BTreeMap;

use catalogue::in_force::ItemState;
use catalogue::rows::CATALOGUE_PREFIX;
use catalogue::{Catalogue, EffectiveCatalogue, Item, ItemKey};
use ids::{Revision, Version};
use platform::Row;
use proptest::prelude::*;
use proptest::test_runner::Config;

use crate::world::{World, faultless_step};

/// What happens to a host.
#[derive(Debug, Clone)]
enum Delivery {
    /// Some states of rows arrive, given as positions in the order of writing.
    Rows(Vec<prop::sample::Index>),
    /// All rows arrive in their states after some write, as from a peer that lags.
    Snapshot(prop::sample::Index),
    /// The host restarts without any rows.
    Restart,
}

fn any_delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => prop::collection::vec(any::<prop::sample::Index>(), 1..12).prop_map(Delivery::Rows),
        3 => any::<prop::sample::Index>().prop_map(Delivery::Snapshot),
        1 => Just(Delivery::Restart),
    ]
}

/// Returns the newest state of each row after the first `count` writes.
fn snapshot(written: &[Row], count: usize) -> Vec<Row> {
    let mut rows = BTreeMap::new();
    for row in &written[..count] {
        rows.insert(row.key.clone(), row.clone());
    }
    rows.into_values().collect()
}

/// Returns the catalogue at each version.
fn states(world: &World) -> Vec<Catalogue> {
    let mut states = vec![Catalogue::default()];
    for (_, items) in world.history() {
        let mut state = states.last().cloned().unwrap_or_default();
        for change in &items {
            let item = change.after.as_ref();
            let item = item.map(|body| Item::from_json(&change.item, body).unwrap());
            state.set(&change.item, item);
        }
        states.push(state);
    }
    states
}

fn versions(host: &EffectiveCatalogue) -> BTreeMap<ItemKey, Version> {
    host.items().map(|(k, h)| (k.clone(), h.version)).collect()
}

/// A host, and the versions that it held before the last delivery.
#[derive(Default)]
struct CheckedHost {
    host: EffectiveCatalogue,
    version: Version,
    head: Version,
    rows: BTreeMap<ItemKey, Version>,
}

impl CheckedHost {
    fn take(&mut self, rows: &[Row], states: &[Catalogue]) {
        let applied = self.host.apply_rows(rows);
        assert_eq!(applied.faults, vec![]);
        let version = self.host.version();
        assert!(version >= self.version, "the version only increases");
        assert_eq!(applied.version_advanced, version > self.version);
        if applied.version_advanced {
            let state = &states[version.0 as usize];
            assert_eq!(
                self.host.catalogue(),
                state,
                "a version includes all its changes"
            );
        }
        let head = self.host.head().map_or(Version(0), |h| h.head.version);
        assert!(head >= self.head, "the version of the head only increases");
        self.head = head;
        let now = versions(&self.host);
        for (key, held) in &self.rows {
            let increased = now.get(key).is_none_or(|version| version >= held);
            assert!(increased, "the version of {key} only increases");
        }
        self.version = version;
        self.rows = now;
    }
}

proptest! {
    #![proptest_config(Config { cases: 96, failure_persistence: None, ..Config::default() })]

    #[test]
    fn host_versions_increase_and_hosts_converge(
        steps in prop::collection::vec(faultless_step(2), 40..200),
        deliveries in prop::collection::vec(any_delivery(), 1..40),
    ) {
        let mut world = World::new(2);
        for step in steps {
            world.step(step);
        }
        world.finish();
        let states = states(&world);
        let written = &world.written;
        let mut checked = CheckedHost::default();
        for delivery in deliveries {
            match delivery {
                Delivery::Rows(positions) => {
                    let rows: Vec<Row> = positions.iter().map(|p| p.get(written).clone()).collect();
                    checked.take(&rows, &states);
                }
                Delivery::Snapshot(position) => {
                    let rows = snapshot(written, position.index(written.len()) + 1);
                    checked.take(&rows, &states);
                }
                Delivery::Restart => checked = CheckedHost::default(),
            }
        }
        let newest = world.table.changes(CATALOGUE_PREFIX, Revision(0)).rows;
        checked.take(&newest, &states);
        prop_assert!(checked.host.is_complete());
        prop_assert_eq!(checked.version, Version(states.len() as u64 - 1));
        prop_assert_eq!(Some(checked.host.catalogue()), states.last());
        let declared = checked.host.items().filter(|(_, h)| h.state == ItemState::Declared);
        prop_assert_eq!(declared.count(), checked.host.catalogue().keys().len());
    }
}
