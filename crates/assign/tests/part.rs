//! Partitions of entries with many upstreams, and the size of their rows.

use assign::partition::UPSTREAMS_PER_PARTITION;
use assign::{
    EntryOwners, HostIncarnation, Partition, PartitionId, PartitionOwners, PartitionRow, Planner,
    UnservedKeys,
};
use ids::{HostId, Incarnation, UpstreamId};
use proptest::prelude::*;
use std::sync::Arc;

/// Most bytes of a row in the store.
const ROW_BYTES: usize = 64 << 10;

fn granter() -> HostIncarnation {
    HostIncarnation {
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
fn initial_rows(all: &[UpstreamId]) -> Vec<PartitionRow> {
    let partitions = Partition::first_for(all.len(), UPSTREAMS_PER_PARTITION).all();
    let row = |partition: Partition| {
        let mut own = all.to_vec();
        partition.retain_eligible(&mut own, |id| id);
        PartitionRow::split_evenly(granter(), partition, &own)
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
                u32::from(row.partition.keys().first),
                at,
                "no gap between partitions"
            );
            at = u32::from(row.partition.keys().last) + 1;
            // The number of ranges, and so of renewals, exceeds the mean by at most a third by
            // chance.
            assert!(row.ranges.len() <= 800, "{} ranges", row.ranges.len());
            let text = row.encode();
            assert!(text.len() <= ROW_BYTES / 2, "{} bytes", text.len());
            assert_eq!(PartitionRow::decode(&text).expect("it decodes"), row);
        }
        assert_eq!(at, 65_536, "all keys have an owner");
    }
}

/// Guards against rows that outgrow the store after the number of partitions was fixed: with as
/// many ranges as the planner makes, and a third more upstreams.
#[test]
fn a_partition_that_grows_by_a_third_still_fits() {
    let all = upstreams(7_144);
    let partition = Partition::first_for(all.len(), UPSTREAMS_PER_PARTITION);
    let mut own = upstreams(7_144 * 4 / 3);
    partition.retain_eligible(&mut own, |id| id);
    let mut row = PartitionRow::split_evenly(granter(), partition, &own);
    let most = Planner::default().max_row_ranges;
    let ranges = row.ranges.clone();
    for (initial, to) in ranges.iter().zip(own.iter().cycle().skip(1)).cycle() {
        if row.ranges.len() + 2 > most {
            break;
        }
        let middle = initial.range.first + (initial.range.last - initial.range.first) / 2;
        let owned = row.ranges.iter().find(|p| p.range.contains(middle));
        let owned = owned.expect("it has an owner").clone();
        let token = row.highest_token.next();
        let range = assign::KeyRange {
            first: middle,
            last: owned.range.last,
        };
        row.reassign(range, &owned.owner, to, token);
        if row.ranges.len() >= ranges.len() * 2 {
            break;
        }
    }
    let bytes = row.encode().len();
    assert!(
        bytes <= ROW_BYTES,
        "{bytes} bytes for {} ranges",
        row.ranges.len()
    );
}

/// Guards against rows that can't be read if they were written before there were partitions: such a
/// row is the only partition.
#[test]
fn a_row_without_a_partition_has_all_keys() {
    let row = PartitionRow::split_evenly(granter(), Partition::WHOLE, &upstreams(3));
    let text = String::from_utf8(row.encode()).expect("text");
    assert!(!text.contains("\"part\""), "{text}");
    assert_eq!(
        PartitionRow::decode(text.as_bytes())
            .expect("it decodes")
            .partition,
        Partition::WHOLE
    );
}

/// Guards against keys that no upstream may own: a partition without upstreams of its own takes
/// those of others.
#[test]
fn a_partition_without_upstreams_of_its_own_takes_any() {
    let partition = Partition {
        index: 3,
        count: 14,
    };
    let mut others: Vec<UpstreamId> = upstreams(100)
        .into_iter()
        .filter(|u| !partition.includes(u))
        .collect();
    let count = others.len();
    partition.retain_eligible(&mut others, |id| id);
    assert_eq!(others.len(), count);
}

/// Guards against a row that is stored under the name of another partition.
#[test]
fn partition_ids_round_trip() {
    for name in ["reads", "reads:1", "reads:63"] {
        let id: PartitionId = name.parse().expect("a valid name");
        assert_eq!(id.to_string(), name);
    }
    for name in ["", ":1", "reads:", "reads:x", "reads:99999"] {
        name.parse::<PartitionId>().expect_err(name);
    }
}

proptest! {
    /// Each key is in exactly one partition, and its owner is known as soon as that partition's row
    /// is.
    #[test]
    fn each_key_is_in_one_partition(key in any::<u16>(), count in 1_u16..=64) {
        let partition = Partition::of_key(key, count);
        prop_assert!(partition.is_valid());
        let with = partition.all().filter(|p| p.keys().contains(key)).count();
        prop_assert_eq!(with, 1);
        prop_assert!(partition.keys().contains(key));
        let mut owners = EntryOwners::default();
        prop_assert!(owners.range_owner(key).is_none());
        let row = PartitionRow::split_evenly(granter(), partition, &upstreams(5));
        owners.insert(partition, Arc::new(PartitionOwners::new(&row, &UnservedKeys::default())));
        let owner = row.ranges.iter().find(|p| p.range.contains(key)).map(|p| &p.owner);
        prop_assert_eq!(owners.owner(key), owner);
    }
}
