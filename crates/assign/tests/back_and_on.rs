//! Keys that go back to a previous owner and then on to a third upstream.

use std::time::Duration;

use assign::{
    Action, AssignSettings, CallKind, GrantCall, GrantCallOutcome, HostIncarnation, Partition,
    PartitionLeaseManager, PartitionRow, Planner,
};
use ids::{HostId, Incarnation, Revision, StoreEra, Timestamp, UpstreamId};

fn id(i: usize) -> UpstreamId {
    UpstreamId::new(format!("u{i}")).expect("a valid name")
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

/// A granting host whose releases are never answered.
struct Granter {
    manager: PartitionLeaseManager,
    row: PartitionRow,
    revision: u64,
}

impl Granter {
    fn new() -> Self {
        let me = HostIncarnation {
            host: HostId::new("me").expect("a valid name"),
            incarnation: Incarnation(1),
        };
        let row = PartitionRow::split_evenly(me.clone(), Partition::WHOLE, &[id(0)]);
        let manager = PartitionLeaseManager::new(me, AssignSettings::default(), Planner::default());
        let mut granter = Self {
            manager,
            row,
            revision: 0,
        };
        granter.write_row(0);
        granter
    }

    fn write_row(&mut self, ms: u64) {
        self.revision += 1;
        let row = self.row.clone();
        self.manager.apply_row(at(ms), row, Revision(self.revision));
    }

    /// Moves all keys from one upstream to another.
    fn reassign(&mut self, ms: u64, from: usize, to: usize) {
        let token = self.row.highest_token.next();
        let keys = Partition::WHOLE.keys();
        self.row.reassign(keys, &id(from), &id(to), token);
        self.write_row(ms);
    }

    /// Returns the grants that are due.
    fn grants(&mut self, ms: u64) -> Vec<GrantCall> {
        self.manager.record_read(at(ms), StoreEra(0));
        let mut actions = Vec::new();
        self.manager.poll(at(ms), &mut actions);
        let mut grants = Vec::new();
        for action in actions {
            let Action::Call(call) = action else {
                continue;
            };
            let is_grant = matches!(call.kind, CallKind::Grant { .. });
            let outcome = if is_grant {
                GrantCallOutcome::Done { handover: None }
            } else {
                GrantCallOutcome::NoAnswer { maybe_sent: true }
            };
            self.manager.call_ended(at(ms), call.id, &outcome);
            grants.extend(is_grant.then_some(call));
        }
        grants
    }
}

/// Guards against two holders of a key: an upstream that can't be reached loses its keys, is named
/// their owner again before it was granted them anew, and loses them to a third one. The wait for its
/// last grant must not be forgotten on the way.
#[test]
fn a_third_owner_waits_for_the_last_grant_of_the_first_one() {
    let mut granter = Granter::new();
    let mut last_grant = 0;
    for ms in (0..4_000).step_by(100) {
        if !granter.grants(ms).is_empty() {
            last_grant = ms;
        }
    }
    granter.reassign(4_000, 0, 1);
    assert!(granter.grants(4_000).is_empty());
    granter.reassign(4_100, 1, 0);
    granter.reassign(4_200, 0, 2);
    let max_age = AssignSettings::default().max_grant_age();
    for ms in (4_200..9_000).step_by(100) {
        let grants = granter.grants(ms);
        let is_early = Duration::from_millis(ms - last_grant) < max_age;
        assert!(grants.is_empty() || !is_early, "at {ms}: {grants:?}");
    }
}
