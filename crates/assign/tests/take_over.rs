//! The read lease of a host that has just taken over.

use std::time::Duration;

use assign::{
    Action, AssignSettings, CommitOutcome, HostIncarnation, Partition, PartitionLeaseManager,
    PartitionRow, Planner,
};
use ids::{HostId, Incarnation, Revision, Timestamp, UpstreamId};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn incarnation(host: &str) -> HostIncarnation {
    HostIncarnation {
        host: HostId::new(host).expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    end: CommitOutcome,
    /// Age of the last read 50 ms after the commit began, in milliseconds.
    read_age_ms: Option<u64>,
    grants: bool,
}

fn cases() -> [Case; 3] {
    [
        Case {
            name: "committed: the store had the row after the commit began",
            end: CommitOutcome::Committed(Revision(8)),
            read_age_ms: Some(50),
            grants: true,
        },
        Case {
            name: "the outcome of the commit is unknown",
            end: CommitOutcome::Unknown,
            read_age_ms: None,
            grants: false,
        },
        Case {
            name: "not committed",
            end: CommitOutcome::NotCommitted,
            read_age_ms: None,
            grants: false,
        },
    ]
}

/// Guards against takeovers in turns.
///
/// A host that other hosts relay rows to has read nothing itself when it takes over. Other hosts
/// treat a granting host without a read as one that can't read the store, and replace it: 295 hosts
/// did so in turns.
#[test]
fn a_successful_commit_renews_the_read_lease() {
    for case in cases() {
        let cfg = AssignSettings::default();
        let mut manager = PartitionLeaseManager::new(incarnation("new"), cfg, Planner::default());
        let owner = UpstreamId::new("u").expect("a valid name");
        let row = PartitionRow::split_evenly(incarnation("old"), Partition::WHOLE, &[owner]);
        manager.apply_row(at(0), row, Revision(7));
        let mut actions = Vec::new();
        manager.take_over(at(100), true, Partition::WHOLE, &[], &mut actions);
        assert!(matches!(actions[..], [Action::Commit { .. }]));
        manager.commit_ended(at(150), case.end);
        let age = case.read_age_ms.map(Duration::from_millis);
        assert_eq!(manager.read_age(at(150)), age, "{}", case.name);
        assert_eq!(manager.is_granting(at(150)), case.grants, "{}", case.name);
        let late = at(100) + cfg.read_lease;
        assert!(
            !manager.is_granting(late),
            "{}: the lease expires",
            case.name
        );
    }
}
