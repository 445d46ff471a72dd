//! The order of grants and releases of the same keys.

use assign::{
    Action, AssignSettings, CallKind, GrantCall, GrantCallOutcome, HostIncarnation, Partition,
    PartitionLeaseManager, PartitionRow, Planner,
};
use ids::{HostId, Incarnation, Revision, StoreEra, Timestamp, UpstreamId};

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a valid name")
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

fn poll(manager: &mut PartitionLeaseManager, ms: u64) -> Vec<GrantCall> {
    manager.record_read(at(ms), StoreEra(0));
    let mut actions = Vec::new();
    manager.poll(at(ms), &mut actions);
    let call = |action| match action {
        Action::Call(call) => Some(call),
        Action::Commit { .. } => None,
    };
    actions.into_iter().filter_map(call).collect()
}

/// Guards against two holders of a key: a grant that waits at this host while a release of the same keys
/// is answered could reach a process that has started since, which has not seen the release.
#[test]
fn a_release_is_sent_after_the_grant_in_flight() {
    let me = HostIncarnation {
        host: HostId::new("me").expect("a valid name"),
        incarnation: Incarnation(1),
    };
    let (old, new) = (upstream("old"), upstream("new"));
    let mut row =
        PartitionRow::split_evenly(me.clone(), Partition::WHOLE, std::slice::from_ref(&old));
    let mut manager = PartitionLeaseManager::new(me, AssignSettings::default(), Planner::default());
    manager.apply_row(at(0), row.clone(), Revision(1));
    let grants = poll(&mut manager, 0);
    assert_eq!(grants.len(), 1, "{grants:?}");
    let token = row.highest_token.next();
    row.reassign(Partition::WHOLE.keys(), &old, &new, token);
    manager.apply_row(at(50), row, Revision(2));
    let calls = poll(&mut manager, 50);
    assert!(calls.is_empty(), "beside the grant in flight: {calls:?}");
    let done = GrantCallOutcome::Done { handover: None };
    manager.call_ended(at(60), grants[0].id, &done);
    let releases = poll(&mut manager, 60);
    assert_eq!(releases.len(), 1, "{releases:?}");
    assert_eq!(releases[0].kind, CallKind::Release);
    manager.call_ended(at(70), releases[0].id, &done);
    let grants = poll(&mut manager, 70);
    let owners: Vec<_> = grants.iter().map(|call| &call.upstream).collect();
    assert_eq!(owners, [&new]);
}
