//! Entries with many upstreams: how their keys are divided into parts, and what a part costs.

use assign::part::UPSTREAMS_EACH;
use assign::{EntryOwners, EntryRow, Owners, Part, PartId, Planner, Run, Unserved};
use ids::{HostId, Incarnation, UpstreamId};
use proptest::prelude::*;
use std::sync::Arc;

/// Most bytes of a row in the store.
const ROW_BYTES: usize = 64 << 10;

fn run() -> Run {
    Run {
        host: HostId::new("front-lla-hall-1").expect("a valid name"),
        incarnation: Incarnation(1_764_000_000_000_000),
    }
}

/// Upstreams with names as long as those of servers that share a name between runs.
fn upstreams(count: usize) -> Vec<UpstreamId> {
    let name = |i: usize| {
        format!(
            "i-{:010x}.{:011x}",
            i * 7_919,
            1_764_000_000_000_u64 + i as u64
        )
    };
    (0..count)
        .map(|i| UpstreamId::new(name(i)).expect("a valid name"))
        .collect()
}

/// Returns the row of each part of an entry that has `all` upstreams.
fn founded(all: &[UpstreamId]) -> Vec<EntryRow> {
    let parts = Part::first_of(all.len(), UPSTREAMS_EACH).all();
    let row = |part: Part| {
        let mut own = all.to_vec();
        part.retain(&mut own, |id| id);
        EntryRow::even(run(), part, &own)
    };
    parts.map(row).collect()
}

/// Guards against an entry that never has owners, as its row is larger than the store takes: seven thousand
/// upstreams had one row of 300 kB, and no key was ever served.
#[test]
fn rows_fit_the_store_whatever_the_number_of_upstreams() {
    struct Case {
        upstreams: usize,
        parts: usize,
    }
    for case in [
        Case {
            upstreams: 1,
            parts: 1,
        },
        Case {
            upstreams: 13,
            parts: 1,
        },
        Case {
            upstreams: 707,
            parts: 1,
        },
        Case {
            upstreams: 1_500,
            parts: 3,
        },
        Case {
            upstreams: 7_144,
            parts: 14,
        },
        Case {
            upstreams: 14_288,
            parts: 28,
        },
        Case {
            upstreams: 28_576,
            parts: 56,
        },
    ] {
        let rows = founded(&upstreams(case.upstreams));
        assert_eq!(rows.len(), case.parts);
        let mut at = 0;
        for row in rows {
            row.check().expect("a valid row");
            assert_eq!(u32::from(row.part.keys().first), at, "no gap between parts");
            at = u32::from(row.part.keys().last) + 1;
            // Pieces, and with them renewals, stay within a third more than the mean by chance.
            assert!(row.pieces.len() <= 800, "{} pieces", row.pieces.len());
            let text = row.encode();
            assert!(text.len() <= ROW_BYTES / 2, "{} bytes", text.len());
            assert_eq!(EntryRow::decode(&text).expect("it decodes"), row);
        }
        assert_eq!(at, 65_536, "all keys have an owner");
    }
}

/// Guards against rows that outgrow the store after the parts were settled: with as many pieces as the planner makes,
/// and a third more upstreams than there were.
#[test]
fn a_part_that_grows_by_a_third_still_fits() {
    let all = upstreams(7_144);
    let part = Part::first_of(all.len(), UPSTREAMS_EACH);
    let mut own = upstreams(7_144 * 4 / 3);
    part.retain(&mut own, |id| id);
    let mut row = EntryRow::even(run(), part, &own);
    let most = Planner::default().pieces_all;
    let pieces = row.pieces.clone();
    for (piece, to) in pieces.iter().zip(own.iter().cycle().skip(1)).cycle() {
        if row.pieces.len() + 2 > most {
            break;
        }
        let middle = piece.range.first + (piece.range.last - piece.range.first) / 2;
        let owned = row.pieces.iter().find(|p| p.range.contains(middle));
        let owned = owned.expect("it has an owner").clone();
        let fence = row.fence.next();
        let range = assign::KeyRange {
            first: middle,
            last: owned.range.last,
        };
        row.give(range, &owned.owner, to, fence);
        if row.pieces.len() >= pieces.len() * 2 {
            break;
        }
    }
    let bytes = row.encode().len();
    assert!(
        bytes <= ROW_BYTES,
        "{bytes} bytes for {} pieces",
        row.pieces.len()
    );
}

/// Guards against an entry whose row was written before there were parts: it stays readable, as one part.
#[test]
fn a_row_without_a_part_has_all_keys() {
    let row = EntryRow::even(run(), Part::WHOLE, &upstreams(3));
    let text = String::from_utf8(row.encode()).expect("text");
    assert!(!text.contains("\"part\""), "{text}");
    assert_eq!(
        EntryRow::decode(text.as_bytes()).expect("it decodes").part,
        Part::WHOLE
    );
}

/// Guards against keys that nobody can own: upstreams of a part that has lost all its own come from the others.
#[test]
fn a_part_without_upstreams_of_its_own_takes_any() {
    let part = Part {
        index: 3,
        count: 14,
    };
    let mut others: Vec<UpstreamId> = upstreams(100)
        .into_iter()
        .filter(|u| !part.has(u))
        .collect();
    let count = others.len();
    part.retain(&mut others, |id| id);
    assert_eq!(others.len(), count);
}

/// Guards against a row that stands under the name of another part.
#[test]
fn names_of_parts_are_read_back() {
    for name in ["reads", "reads:1", "reads:63"] {
        let id: PartId = name.parse().expect("a valid name");
        assert_eq!(id.to_string(), name);
    }
    for name in ["", ":1", "reads:", "reads:x", "reads:99999"] {
        name.parse::<PartId>().expect_err(name);
    }
}

proptest! {
    /// Each key is found in the one part that has it, and its owner is known as soon as that part's row is.
    #[test]
    fn each_key_is_in_one_part(key in any::<u16>(), count in 1_u16..=64) {
        let part = Part::of_key(key, count);
        prop_assert!(part.is_valid());
        let with = part.all().filter(|p| p.keys().contains(key)).count();
        prop_assert_eq!(with, 1);
        prop_assert!(part.keys().contains(key));
        let mut owners = EntryOwners::default();
        prop_assert!(owners.piece(key).is_none());
        let row = EntryRow::even(run(), part, &upstreams(5));
        owners.put(part, Arc::new(Owners::new(&row, &Unserved::default())));
        let owner = row.pieces.iter().find(|p| p.range.contains(key)).map(|p| &p.owner);
        prop_assert_eq!(owners.owner(key), owner);
    }
}
