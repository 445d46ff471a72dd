//! What a host knows and may do right after it has taken the granting over.

use std::time::Duration;

use assign::{Action, AssignSettings, CommitEnd, EntryRow, Keeper, Part, Planner, Run};
use ids::{HostId, Incarnation, Revision, Timestamp, UpstreamId};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn run(host: &str) -> Run {
    Run {
        host: HostId::new(host).expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    end: CommitEnd,
    /// Age of what the host knows 50 ms after the commit began, in milliseconds.
    evidence_ms: Option<u64>,
    grants: bool,
}

fn cases() -> [Case; 3] {
    [
        Case {
            name: "the commit stands: the store had the row after the commit began",
            end: CommitEnd::Done(Revision(8)),
            evidence_ms: Some(50),
            grants: true,
        },
        Case {
            name: "nobody knows whether it stands",
            end: CommitEnd::Unknown,
            evidence_ms: None,
            grants: false,
        },
        Case {
            name: "it does not stand",
            end: CommitEnd::NotDone,
            evidence_ms: None,
            grants: false,
        },
    ]
}

/// A host that is fed by others has read nothing itself when it takes over. Others take a granting host
/// without evidence for one that can't read the store, and replace it: 295 hosts did so in turns.
#[test]
fn a_commit_that_stands_is_evidence() {
    for case in cases() {
        let cfg = AssignSettings::default();
        let mut keeper = Keeper::new(run("new"), cfg, Planner::default());
        let owner = UpstreamId::new("u").expect("a valid name");
        let row = EntryRow::even(run("old"), Part::WHOLE, &[owner]);
        keeper.take(at(0), row, Revision(7));
        let mut actions = Vec::new();
        keeper.take_over(at(100), true, Part::WHOLE, &[], &mut actions);
        assert!(matches!(actions[..], [Action::Commit { .. }]));
        keeper.commit_ended(at(150), case.end);
        let age = case.evidence_ms.map(Duration::from_millis);
        assert_eq!(keeper.evidence_age(at(150)), age, "{}", case.name);
        assert_eq!(keeper.is_granting(at(150)), case.grants, "{}", case.name);
        let late = at(100) + cfg.evidence;
        assert!(!keeper.is_granting(late), "{}: it ends", case.name);
    }
}
