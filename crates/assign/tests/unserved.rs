//! Hosts know which keys no upstream serves, and for how long.

use std::time::Duration;

use assign::{
    Action, AssignSettings, CallKind, CommitOutcome, FencingToken, GrantCall, GrantCallOutcome,
    HostIncarnation, KeyLoads, LeaseContext, MovingRanges, Partition, PartitionLeaseManager,
    PartitionRow, PlannedUpstream, Planner, UnservedKeys,
};
use ids::{HostId, Incarnation, Revision, StoreEra, Timestamp, UpstreamId};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn id(i: usize) -> UpstreamId {
    UpstreamId::new(format!("u{i}")).expect("a valid name")
}

fn me() -> HostIncarnation {
    HostIncarnation {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn view(i: usize) -> PlannedUpstream {
    PlannedUpstream {
        id: id(i),
        slots: 2,
        service_time: 0.2,
        is_observed: true,
        max_ranges: None,
    }
}

/// A granting host whose three upstreams have held their keys for long.
struct Granter {
    manager: PartitionLeaseManager,
    loads: KeyLoads,
    revision: u64,
}

impl Granter {
    fn new() -> Self {
        let mut manager =
            PartitionLeaseManager::new(me(), AssignSettings::default(), Planner::default());
        let row = PartitionRow::split_evenly(me(), Partition::WHOLE, &[id(0), id(1), id(2)]);
        manager.apply_row(at(0), row, Revision(1));
        let mut granter = Self {
            manager,
            loads: KeyLoads::new(at(0)),
            revision: 1,
        };
        for ms in (0..5_000).step_by(100) {
            granter.step(ms, &[0, 1, 2], |_| GrantCallOutcome::Done {
                handover: None,
            });
        }
        granter
    }

    /// Plans for the upstreams `ready`, and ends each call as `end` returns; returns the calls.
    fn step(
        &mut self,
        ms: u64,
        ready: &[usize],
        end: impl Fn(&GrantCall) -> GrantCallOutcome,
    ) -> Vec<GrantCall> {
        let now = at(ms);
        self.manager.record_read(now, StoreEra(0));
        let ready: Vec<_> = ready.iter().map(|&i| view(i)).collect();
        let mut ctx = LeaseContext {
            ready: &ready,
            loads: &mut self.loads,
            may_move: true,
        };
        let mut actions = Vec::new();
        self.manager.plan(now, &mut ctx, &mut actions);
        self.manager.poll(now, &mut actions);
        let mut calls = Vec::new();
        for action in actions {
            match action {
                Action::Commit { .. } => {
                    self.revision += 1;
                    let done = CommitOutcome::Committed(Revision(self.revision));
                    self.manager.commit_ended(now, done);
                }
                Action::Call(call) => {
                    self.manager.call_ended(now, call.id, &end(&call));
                    calls.push(call);
                }
            }
        }
        calls
    }

    /// Returns the number of unserved ranges, and the longest time until one is served.
    fn unserved(&self, ms: u64) -> (usize, Option<Duration>) {
        let moving = self.manager.moving_ranges(at(ms)).expect("it grants");
        let longest = moving.ranges.iter().map(|p| p.2).max();
        (moving.ranges.len(), longest)
    }
}

fn done(_: &GrantCall) -> GrantCallOutcome {
    GrantCallOutcome::Done { handover: None }
}

#[test]
fn keys_of_a_draining_upstream_wait_until_their_new_owner_was_granted() {
    let mut granter = Granter::new();
    assert_eq!(granter.unserved(5_000), (0, None));
    // The release is not answered yet: its answer comes when the requests on the keys have ended.
    let no_release = |call: &GrantCall| match call.kind {
        CallKind::Release => GrantCallOutcome::NoAnswer { maybe_sent: true },
        CallKind::Grant { .. } => GrantCallOutcome::Done { handover: None },
    };
    granter.step(5_000, &[1, 2], no_release);
    let (ranges, longest) = granter.unserved(5_000);
    assert!(ranges > 0, "the keys of u0 move");
    assert!(longest < Some(Duration::from_millis(300)), "{longest:?}");
    for ms in (5_100..6_000).step_by(100) {
        granter.step(ms, &[1, 2], done);
    }
    assert_eq!(granter.unserved(6_000), (0, None));
}

/// Ends a call as if u0 could not be reached.
fn fails_for_u0(call: &GrantCall) -> GrantCallOutcome {
    if call.upstream == id(0) {
        GrantCallOutcome::NoAnswer { maybe_sent: false }
    } else {
        done(call)
    }
}

/// Simulates seven seconds in which the calls to u0 fail, with the upstreams `ready`; returns the
/// reported waits of unserved keys, and when the keys had an owner again.
fn run_with_failing_calls(ready: &[usize]) -> (Vec<(u64, Duration)>, u64) {
    let mut granter = Granter::new();
    let mut reported = Vec::new();
    let mut granted_at = None;
    for ms in (5_000..12_000).step_by(100) {
        let calls = granter.step(ms, ready, fails_for_u0);
        let (ranges, longest) = granter.unserved(ms);
        if ranges > 0 {
            reported.push((ms, longest.unwrap_or_default()));
        } else if !reported.is_empty() && granted_at.is_none() {
            granted_at = Some(ms);
        }
        let is_grant = |c: &GrantCall| matches!(c.kind, CallKind::Grant { .. });
        let early = calls
            .iter()
            .find(|c| is_grant(c) && c.token > FencingToken(1));
        assert!(early.is_none() || ms > 7_000, "granted at {ms}: {early:?}");
    }
    assert!(!reported.is_empty());
    (reported, granted_at.expect("the keys have an owner again"))
}

/// Checks that the waits reported from `from` on were right to 250 ms.
fn check_reported(reported: &[(u64, Duration)], from: u64, granted_at: u64) {
    for &(ms, left) in reported.iter().filter(|(ms, _)| *ms >= from) {
        let really = Duration::from_millis(granted_at - ms);
        let off = left.abs_diff(really);
        assert!(
            off <= Duration::from_millis(250),
            "at {ms}: {left:?}, {really:?}"
        );
    }
}

#[test]
fn keys_of_an_unresponsive_upstream_wait_until_its_grants_expire() {
    let (reported, granted_at) = run_with_failing_calls(&[0, 1, 2]);
    check_reported(&reported, 0, granted_at);
}

/// A host that has just become the granting host knows of an upstream that is no longer registered
/// only that releases to it fail. Callers must not be reported to retry in a moment, over and over.
#[test]
fn keys_of_an_upstream_whose_releases_fail_wait_until_its_grants_expire() {
    let (reported, granted_at) = run_with_failing_calls(&[1, 2]);
    assert!(granted_at > 7_000, "its grants expired first: {granted_at}");
    // The first release, which can't be sent, has failed by then.
    check_reported(&reported, 5_100, granted_at);
}

/// Guards against callers that are told to retry in a moment, for seconds: an upstream is lost between
/// two renewals, so that the granting host knows only that a release to it could not be sent.
#[test]
fn keys_of_a_lost_upstream_wait_for_its_grants_from_the_first_release_on() {
    for lost_at in (5_000..5_800).step_by(100) {
        let mut granter = Granter::new();
        for ms in (5_000..lost_at).step_by(100) {
            granter.step(ms, &[0, 1, 2], done);
        }
        granter.step(lost_at, &[1, 2], fails_for_u0);
        granter.step(lost_at + 100, &[1, 2], fails_for_u0);
        let (ranges, longest) = granter.unserved(lost_at + 100);
        assert!(ranges > 0, "the keys of u0 move");
        assert!(
            longest > Some(Duration::from_secs(2)),
            "{lost_at}: {longest:?}"
        );
    }
}

/// First keys, fencing tokens and milliseconds left of unserved ranges.
type Report = &'static [(u16, u64, u64)];

#[test]
fn a_host_waits_as_the_granting_host_reports() {
    struct Case {
        name: &'static str,
        /// The revision and ranges that the granting host reports, if any.
        reported: Option<(u64, Report)>,
        /// Until when the range that moves is unserved.
        until: Option<u64>,
    }
    let cases = [
        Case {
            name: "nothing yet: the usual time of a move",
            reported: None,
            until: Some(200),
        },
        Case {
            name: "the time left",
            reported: Some((2, &[(0, 2, 1_700)])),
            until: Some(1_700),
        },
        Case {
            name: "the range is served",
            reported: Some((2, &[])),
            until: None,
        },
        Case {
            name: "the report is of an older row: nothing is known of this one",
            reported: Some((1, &[])),
            until: Some(200),
        },
        Case {
            name: "the report is of a newer row: the range still waits",
            reported: Some((3, &[(0, 2, 900)])),
            until: Some(900),
        },
    ];
    for case in cases {
        let mut row = PartitionRow::split_evenly(me(), Partition::WHOLE, &[id(0), id(1)]);
        let range = row.ranges[0].range;
        let token = row.highest_token.next();
        row.reassign(range, &id(0), &id(2), token);
        let mut unserved = UnservedKeys::default();
        unserved.record_row(at(0), &row, Revision(2));
        if let Some((revision, ranges)) = case.reported {
            let range = |&(first, token, ms): &(u16, u64, u64)| {
                (first, FencingToken(token), Duration::from_millis(ms))
            };
            let moving = MovingRanges {
                revision: Revision(revision),
                ranges: ranges.iter().map(range).collect(),
            };
            unserved.apply(at(0), &moving);
        }
        let moved = row.ranges.iter().find(|p| p.owner == id(2));
        let until = unserved.until(moved.expect("it moved"));
        assert_eq!(until, case.until.map(at), "{}", case.name);
        let stays = row.ranges.iter().find(|p| p.owner == id(1));
        assert_eq!(
            unserved.until(stays.expect("it stays")),
            None,
            "{}",
            case.name
        );
    }
}
