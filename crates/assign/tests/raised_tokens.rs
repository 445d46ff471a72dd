//! Fencing tokens that rise because another process may have been granted the keys under them.

use assign::{
    Action, AssignSettings, CallKind, CommitOutcome, FencingToken, GrantCall, GrantCallOutcome,
    HostIncarnation, KeyLoads, LeaseContext, Partition, PartitionLeaseManager, PartitionRow,
    PlannedUpstream, Planner, Recovery,
};
use ids::{HostId, Incarnation, Revision, StoreEra, Timestamp, UpstreamId};

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

fn host(name: &str) -> HostIncarnation {
    HostIncarnation {
        host: HostId::new(name).expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

/// Returns a row by which `granter` grants the keys of two upstreams.
fn row(granter: &str) -> PartitionRow {
    PartitionRow::split_evenly(
        host(granter),
        Partition::WHOLE,
        &[upstream("a"), upstream("b")],
    )
}

fn manager() -> PartitionLeaseManager {
    PartitionLeaseManager::new(host("me"), AssignSettings::default(), Planner::default())
}

/// Polls and plans at `ms`, when the row was read; returns the calls and the row to commit, if any.
fn step(
    manager: &mut PartitionLeaseManager,
    ms: u64,
    era: StoreEra,
) -> (Vec<GrantCall>, Option<PartitionRow>) {
    manager.record_read(at(ms), era);
    let ready = ["a", "b"].map(|name| PlannedUpstream {
        id: upstream(name),
        slots: 4,
        service_time: 0.1,
        is_observed: true,
        max_ranges: None,
    });
    let mut loads = KeyLoads::new(at(0));
    let mut ctx = LeaseContext {
        ready: &ready,
        loads: &mut loads,
        may_move: true,
    };
    let mut actions = Vec::new();
    manager.poll(at(ms), &mut actions);
    manager.plan(at(ms), &mut ctx, &mut actions);
    let (mut calls, mut committed) = (Vec::new(), None);
    for action in actions {
        match action {
            Action::Call(call) => calls.push(call),
            Action::Commit { row, .. } => committed = Some(row),
        }
    }
    (calls, committed)
}

/// Guards against a granting host that renews its predecessor's grants over its own connections,
/// although a server may have restarted since: the new process would hold keys under a token that the
/// old one had.
#[test]
fn a_takeover_raises_all_fencing_tokens() {
    let mut manager = manager();
    manager.apply_row(at(0), row("other"), Revision(1));
    let mut actions = Vec::new();
    manager.take_over(at(100), false, Partition::WHOLE, &[], &mut actions);
    let Some(Action::Commit { row: taken, .. }) = actions.pop() else {
        panic!("it takes over");
    };
    let before = row("other").highest_token;
    assert!(taken.ranges.iter().all(|owned| owned.token > before));
    manager.commit_ended(at(110), CommitOutcome::Committed(Revision(2)));
    let (calls, _) = step(&mut manager, 120, StoreEra(0));
    assert_eq!(calls.len(), 2);
    for call in calls {
        let kind = call.kind;
        assert!(
            matches!(
                kind,
                CallKind::Grant {
                    is_inherited: false,
                    ..
                }
            ),
            "{kind:?}"
        );
    }
}

/// Guards against keys that stay unserved because their owner's process is no longer known, and
/// against a change of fencing tokens where none is needed.
#[test]
fn keys_of_an_unknown_process_get_a_higher_token() {
    let mut manager = manager();
    manager.apply_row(at(0), row("me"), Revision(1));
    let mut raised = None;
    for ms in (0..2_000).step_by(100) {
        let (calls, committed) = step(&mut manager, ms, StoreEra(0));
        for call in calls {
            let is_known = call.upstream == upstream("b") || raised.is_some();
            let outcome = if is_known {
                GrantCallOutcome::Done { handover: None }
            } else {
                GrantCallOutcome::NeedsHigherToken
            };
            manager.call_ended(at(ms), call.id, &outcome);
        }
        if let Some(row) = committed {
            assert!(raised.is_none(), "tokens rise once");
            raised = Some((ms, row));
            manager.commit_ended(at(ms), CommitOutcome::Committed(Revision(2)));
        }
    }
    let (ms, row) = raised.expect("tokens rise");
    assert!(ms < 1_000, "after {ms} ms");
    let tokens: Vec<FencingToken> = row.ranges.iter().map(|owned| owned.token).collect();
    assert_eq!(tokens, [FencingToken(2), FencingToken(1)]);
    assert!(row.ranges.iter().all(|r| r.previous_owners.is_empty()));
}

/// Guards against a host that takes over during a recovery, when tokens can't rise, and renews grants
/// that another host made as if they were its own.
#[test]
fn grants_of_another_host_are_marked_during_a_recovery() {
    let era = StoreEra(1);
    let mut manager = manager();
    manager.begin_era(at(0), era, true);
    let recovering = PartitionRow {
        recovery: Some(Recovery::Renews),
        ..row("other")
    };
    let revision = Revision::in_era(era, 5).expect("a valid revision");
    manager.apply_row(at(0), recovering, revision);
    let mut actions = Vec::new();
    manager.take_over(at(100), true, Partition::WHOLE, &[], &mut actions);
    assert_eq!(actions.len(), 1, "it takes over");
    let next = Revision::in_era(era, 6).expect("a valid revision");
    manager.commit_ended(at(110), CommitOutcome::Committed(next));
    let (calls, _) = step(&mut manager, 120, era);
    assert_eq!(calls.len(), 2);
    for call in calls {
        let kind = call.kind;
        assert!(
            matches!(
                kind,
                CallKind::Grant {
                    is_inherited: true,
                    ..
                }
            ),
            "{kind:?}"
        );
    }
}
