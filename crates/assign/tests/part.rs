//! Partitions of entries with many upstreams, and the size of their rows.

use assign::part::UPSTREAMS_EACH;
use assign::{EntryOwners, EntryRow, Owners, Part, PartId, Planner, Run, Unserved};
use ids::{HostId, Incarnation, UpstreamId};
use proptest::prelude::*;
use std::sync::Arc;

/// Most bytes of a row in the store.
const ROW_BYTES: usize = 64 << 10;

fn granter() -> Run {
    Run {
        host: HostId::new("front-lla-hall-1").expect("a valid name"),
        incarnation: Incarnation(1_764_000_000_000_000),
    }
}

/// Returns upstreams with names as long as those of servers that keep their name across
/// incarnations.
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

/// Returns the initial row of each partition of an entry with the upstreams `all`.
fn initial_rows(all: &[UpstreamId]) -> Vec<EntryRow> {
    let partitions = Part::first_of(all.len(), UPSTREAMS_EACH).all();
    let row = |partition: Part| {
        let mut own = all.to_vec();
        partition.retain(&mut own, |id| id);
        EntryRow::even(granter(), partition, &own)
    };
    partitions.map(row).collect()
}

/// Guards against an entry that never gets owners because its row is larger than the store accepts:
/// seven thousand upstreams had one row of 300 kB, and no key was ever served.
#[test]
fn rows_fit_the_store_whatever_the_number_of_upstreams() {
    struct Case {
        upstreams: usize,
        partitions: usize,
    }
    for case in [
        Case {
            upstreams: 1,
            partitions: 1,
        },
        Case {
            upstreams: 13,
            partitions: 1,
        },
        Case {
            upstreams: 707,
            partitions: 1,
        },
        Case {
            upstreams: 1_500,
            partitions: 3,
        },
        Case {
            upstreams: 7_144,
            partitions: 14,
        },
        Case {
            upstreams: 14_288,
            partitions: 28,
        },
        Case {
            upstreams: 28_576,
            partitions: 56,
        },
    ] {
        let rows = initial_rows(&upstreams(case.upstreams));
        assert_eq!(rows.len(), case.partitions);
        let mut at = 0;
        for row in rows {
            row.check().expect("a valid row");
            assert_eq!(
                u32::from(row.part.keys().first),
                at,
                "no gap between partitions"
            );
            at = u32::from(row.part.keys().last) + 1;
            // The number of ranges, and so of renewals, exceeds the mean by at most a third by
            // chance.
            assert!(row.pieces.len() <= 800, "{} ranges", row.pieces.len());
            let text = row.encode();
            assert!(text.len() <= ROW_BYTES / 2, "{} bytes", text.len());
            assert_eq!(EntryRow::decode(&text).expect("it decodes"), row);
        }
        assert_eq!(at, 65_536, "all keys have an owner");
    }
}

/// Guards against rows that outgrow the store after the number of partitions was fixed: with as
/// many ranges as the planner makes, and a third more upstreams.
#[test]
fn a_partition_that_grows_by_a_third_still_fits() {
    let all = upstreams(7_144);
    let partition = Part::first_of(all.len(), UPSTREAMS_EACH);
    let mut own = upstreams(7_144 * 4 / 3);
    partition.retain(&mut own, |id| id);
    let mut row = EntryRow::even(granter(), partition, &own);
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
        "{bytes} bytes for {} ranges",
        row.pieces.len()
    );
}

/// Guards against rows that can't be read if they were written before there were partitions: such a
/// row is the only partition.
#[test]
fn a_row_without_a_partition_has_all_keys() {
    let row = EntryRow::even(granter(), Part::WHOLE, &upstreams(3));
    let text = String::from_utf8(row.encode()).expect("text");
    assert!(!text.contains("\"part\""), "{text}");
    assert_eq!(
        EntryRow::decode(text.as_bytes()).expect("it decodes").part,
        Part::WHOLE
    );
}

/// Guards against keys that no upstream may own: a partition without upstreams of its own takes
/// those of others.
#[test]
fn a_partition_without_upstreams_of_its_own_takes_any() {
    let partition = Part {
        index: 3,
        count: 14,
    };
    let mut others: Vec<UpstreamId> = upstreams(100)
        .into_iter()
        .filter(|u| !partition.has(u))
        .collect();
    let count = others.len();
    partition.retain(&mut others, |id| id);
    assert_eq!(others.len(), count);
}

/// Guards against a row that is stored under the name of another partition.
#[test]
fn partition_ids_round_trip() {
    for name in ["reads", "reads:1", "reads:63"] {
        let id: PartId = name.parse().expect("a valid name");
        assert_eq!(id.to_string(), name);
    }
    for name in ["", ":1", "reads:", "reads:x", "reads:99999"] {
        name.parse::<PartId>().expect_err(name);
    }
}

proptest! {
    /// Each key is in exactly one partition, and its owner is known as soon as that partition's row
    /// is.
    #[test]
    fn each_key_is_in_one_partition(key in any::<u16>(), count in 1_u16..=64) {
        let partition = Part::of_key(key, count);
        prop_assert!(partition.is_valid());
        let with = partition.all().filter(|p| p.keys().contains(key)).count();
        prop_assert_eq!(with, 1);
        prop_assert!(partition.keys().contains(key));
        let mut owners = EntryOwners::default();
        prop_assert!(owners.piece(key).is_none());
        let row = EntryRow::even(granter(), partition, &upstreams(5));
        owners.put(partition, Arc::new(Owners::new(&row, &Unserved::default())));
        let owner = row.pieces.iter().find(|p| p.range.contains(key)).map(|p| &p.owner);
        prop_assert_eq!(owners.owner(key), owner);
    }
}
