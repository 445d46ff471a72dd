//! Plans of a directory of declarations against the catalogue in force.

use catalogue::rows::{Digest, Head, ItemRow, encode, head_key, item_key};
use catalogue::{
    Base, Catalogue, Class, CutOff, Domain, EffectiveCatalogue, Entry, Item, ItemKey, KeyLocation,
    Limits, Objective, Plan, PlanInput, Sharding, Sources, Upstream, plan,
};
use ids::{ChangeId, OperatorId, Revision, Version};
use platform::Row;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is a name"))
}

fn key(text: &str) -> ItemKey {
    text.parse().unwrap()
}

fn entry(slices: u32) -> Entry {
    Entry {
        owners: vec![name("anna"), name("bo")],
        path: "windowcast".into(),
        class: Class::Idempotent,
        sharding: Sharding::Key {
            key: KeyLocation::PathSegment(0),
            slices,
        },
        deadline_ms: 1000,
        limits: Limits::default(),
        cut_off: CutOff::default(),
        objective: Objective::default(),
        verify_echo: false,
    }
}

fn upstream(last: u8) -> Upstream {
    Upstream {
        entry: name("windowcast"),
        address: format!("10.0.0.{last}:80").parse().unwrap(),
        domain: name("north"),
        slots: 4,
        connections: 130,
        checks_grants: false,
        leaving: false,
    }
}

fn catalogue() -> Catalogue {
    let mut catalogue = Catalogue::default();
    for domain in ["north", "south"] {
        let item = Domain {
            region: name("here"),
            lost: false,
        };
        catalogue.domains.insert(name(domain), item);
    }
    catalogue.entries.insert(name("windowcast"), entry(64));
    for n in 1..=4 {
        catalogue
            .upstreams
            .insert(name(&format!("w-{n}")), upstream(n));
    }
    catalogue
}

/// Returns a reader that holds `catalogue`, with all rows written by anna at `version`.
fn in_force(catalogue: &Catalogue, version: Version) -> EffectiveCatalogue {
    let mut rows = Vec::new();
    let mut digest = Digest::default();
    let revision = Revision(version.0);
    let change: ChangeId = name("c-1");
    for key in catalogue.keys() {
        digest.add(&key, version);
        let row = ItemRow {
            version,
            change: change.clone(),
            operator: name("anna"),
            body: catalogue.item(&key).map(|i| i.to_json()),
        };
        rows.push(Row {
            key: item_key(&key),
            revision,
            value: Some(encode(&row)),
        });
    }
    let head = Head {
        version,
        change,
        operator: name("anna"),
        at_ms: 0,
        digest,
    };
    rows.push(Row {
        key: head_key(),
        revision,
        value: Some(encode(&head)),
    });
    let mut in_force = EffectiveCatalogue::new();
    in_force.apply_rows(&rows);
    assert!(in_force.is_complete());
    in_force
}

fn plan_input(catalogue: &Catalogue, base: Base, operator: &str) -> PlanInput {
    PlanInput {
        catalogue: catalogue.clone(),
        sources: Sources::default(),
        base,
        expect: None,
        operator: name(operator),
        admin: false,
    }
}

/// Plans an edit of the catalogue in force.
fn plan_edit(edit: impl FnOnce(&mut Catalogue), operator: &str) -> Plan {
    let in_force = in_force(&catalogue(), Version(7));
    let mut edited = catalogue();
    edit(&mut edited);
    plan(
        &plan_input(&edited, Base::of(&in_force), operator),
        &in_force,
    )
}

/// An edit of the catalogue in force, and the message of the fault that it causes.
struct Refused {
    name: &'static str,
    edit: fn(&mut Catalogue),
    message: &'static str,
}

const REFUSED: &[Refused] = &[
    Refused {
        name: "the number of slices changes",
        edit: |c| c.entries[0] = entry(128),
        message: "entries/windowcast.json at /sharding: \
            found {\"by\":\"key\",\"key\":{\"path-segment\":0},\"slices\":128}; \
            allowed: {\"by\":\"key\",\"key\":{\"path-segment\":0},\"slices\":64}; \
            it is fixed, so declare another entry",
    },
    Refused {
        name: "an upstream becomes another server",
        edit: |c| c.upstreams[0].address = "10.0.0.9:80".parse().unwrap(),
        message: "upstreams/windowcast.json at /w-1/address: found 10.0.0.9:80; \
            allowed: 10.0.0.1:80; \
            it is fixed, so declare another upstream and let this one leave",
    },
    Refused {
        name: "an upstream moves to another domain",
        edit: |c| c.upstreams[0].domain = name("south"),
        message: "upstreams/windowcast.json at /w-1/domain: found south; allowed: north; \
            it is fixed, so declare another upstream and let this one leave",
    },
];

#[test]
fn what_is_fixed_for_life_does_not_change() {
    for case in REFUSED {
        let plan = plan_edit(case.edit, "anna");
        let messages: Vec<String> = plan.faults.iter().map(ToString::to_string).collect();
        assert_eq!(messages, [case.message], "{}", case.name);
    }
}

#[test]
fn only_owners_change_an_entry_and_its_upstreams() {
    let edit = |c: &mut Catalogue| {
        c.entries[0].deadline_ms = 2000;
        c.upstreams[0].slots = 8;
    };
    assert_eq!(plan_edit(edit, "bo").denials, vec![]);
    let denials = plan_edit(edit, "cleo").denials;
    let messages: Vec<String> = denials.iter().map(ToString::to_string).collect();
    assert_eq!(
        messages,
        [
            "entry/windowcast: cleo is not among the owners of entry windowcast: anna, bo",
            "upstream/w-1: cleo is not among the owners of entry windowcast: anna, bo",
        ]
    );
}

#[test]
fn an_entry_is_not_taken_by_declaring_oneself_its_owner() {
    let edit = |c: &mut Catalogue| c.entries[0].owners = vec![name("cleo")];
    assert_eq!(plan_edit(edit, "cleo").denials.len(), 1);
}

#[test]
fn the_same_intent_on_the_same_base_has_the_same_id() {
    let anna: OperatorId = name("anna");
    let edit = |c: &mut Catalogue| c.entries[0].deadline_ms = 2000;
    let id = plan_edit(edit, "anna").change_id(&anna);
    assert_eq!(plan_edit(edit, "anna").change_id(&anna), id);
    assert_ne!(plan_edit(edit, "bo").change_id(&name("bo")), id);
    let other = |c: &mut Catalogue| c.entries[0].deadline_ms = 2001;
    assert_ne!(plan_edit(other, "anna").change_id(&anna), id);
    // The same content on a base of a later version is another change.
    let later = in_force(&catalogue(), Version(9));
    let mut edited = catalogue();
    edit(&mut edited);
    let plan = plan(&plan_input(&edited, Base::of(&later), "anna"), &later);
    assert_ne!(plan.change_id(&anna), id);
}

#[test]
fn what_others_changed_stays_unless_both_did() {
    let base = Base::of(&in_force(&catalogue(), Version(7)));
    let mut theirs = catalogue();
    theirs.entries[0].deadline_ms = 3000;
    let later = in_force(&theirs, Version(8));
    let mut mine = catalogue();
    mine.upstreams[0].slots = 8;
    // All rows are of version 8, so that the slots conflict and the other operator's deadline is
    // kept.
    let plan = plan(&plan_input(&mine, base, "bo"), &later);
    assert_eq!(plan.changes, vec![]);
    let kept: Vec<&ItemKey> = plan.kept.iter().map(|o| &o.item).collect();
    assert_eq!(kept, [&key("entry/windowcast")]);
    let conflicts: Vec<String> = plan.conflicts.iter().map(ToString::to_string).collect();
    assert_eq!(
        conflicts,
        ["upstream/w-1: changed by anna in change c-1, version 8"]
    );
}

#[test]
fn an_expected_version_makes_later_changes_conflicts() {
    let in_force = in_force(&catalogue(), Version(8));
    let mut mine = catalogue();
    mine.upstreams[0].slots = 8;
    for (expect, conflicts) in [(Some(Version(7)), 1), (Some(Version(8)), 0), (None, 0)] {
        let input = PlanInput {
            expect,
            ..plan_input(&mine, Base::of(&in_force), "anna")
        };
        assert_eq!(
            plan(&input, &in_force).conflicts.len(),
            conflicts,
            "{expect:?}"
        );
    }
}

/// An edit, and the estimate of how many of the 64 slices move.
struct Moved {
    name: &'static str,
    edit: fn(&mut Catalogue),
    slices: Option<u32>,
}

const MOVED: &[Moved] = &[
    Moved {
        name: "a limit moves nothing",
        edit: |c| c.entries[0].limits.queue = 3,
        slices: None,
    },
    Moved {
        name: "one of four leaves",
        edit: |c| c.upstreams[0].leaving = true,
        slices: Some(16),
    },
    Moved {
        name: "a fifth joins",
        edit: |c| c.set(&key("upstream/w-5"), Some(Item::Upstream(upstream(5)))),
        slices: Some(13),
    },
    Moved {
        name: "one is replaced by another",
        edit: |c| {
            c.set(&key("upstream/w-1"), None);
            c.set(&key("upstream/w-5"), Some(Item::Upstream(upstream(5))));
        },
        slices: Some(16),
    },
    Moved {
        name: "the domain of all is lost",
        edit: |c| c.domains[0].lost = true,
        slices: Some(64),
    },
];

#[test]
fn a_plan_says_how_many_slices_move() {
    for case in MOVED {
        let plan = plan_edit(case.edit, "anna");
        assert_eq!(plan.faults, vec![], "{}", case.name);
        let slices = plan.moves.first().map(|m| m.slices);
        assert_eq!(slices, case.slices, "{}", case.name);
    }
}
