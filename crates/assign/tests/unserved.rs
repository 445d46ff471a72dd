//! Hosts know which keys nobody serves, and for how long.

use std::time::Duration;

use assign::{
    Action, AssignSettings, CallEnd, CallKind, CommitEnd, EntryRow, Fence, Keeper, KeyLoads,
    Moving, OrderCall, Part, Planner, Run, Standing, Unserved, UpstreamView,
};
use ids::{HostId, Incarnation, Revision, Timestamp, UpstreamId};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + ms)
}

fn id(i: usize) -> UpstreamId {
    UpstreamId::new(format!("u{i}")).expect("a valid name")
}

fn me() -> Run {
    Run {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn view(i: usize) -> UpstreamView {
    UpstreamView {
        id: id(i),
        slots: 2,
        service: 0.2,
        most_pieces: None,
    }
}

/// A granting host whose three upstreams have their keys since long ago.
struct Granter {
    keeper: Keeper,
    loads: KeyLoads,
    revision: u64,
}

impl Granter {
    fn new() -> Self {
        let mut keeper = Keeper::new(me(), AssignSettings::default(), Planner::default());
        let row = EntryRow::even(me(), Part::WHOLE, &[id(0), id(1), id(2)]);
        keeper.take(at(0), row, Revision(1));
        let mut granter = Self {
            keeper,
            loads: KeyLoads::new(at(0)),
            revision: 1,
        };
        for ms in (0..5_000).step_by(100) {
            granter.step(ms, &[0, 1, 2], |_| CallEnd::Done { handover: None });
        }
        granter
    }

    /// Plans for the upstreams that are `ready` and ends all calls as `end` says; returns them.
    fn step(
        &mut self,
        ms: u64,
        ready: &[usize],
        end: impl Fn(&OrderCall) -> CallEnd,
    ) -> Vec<OrderCall> {
        let now = at(ms);
        self.keeper.read(now);
        let ready: Vec<_> = ready.iter().map(|&i| view(i)).collect();
        let mut standing = Standing {
            ready: &ready,
            loads: &mut self.loads,
            may_move: true,
        };
        let mut actions = Vec::new();
        self.keeper.plan(now, &mut standing, &mut actions);
        self.keeper.poll(now, &mut actions);
        let mut calls = Vec::new();
        for action in actions {
            match action {
                Action::Commit { .. } => {
                    self.revision += 1;
                    let done = CommitEnd::Done(Revision(self.revision));
                    self.keeper.commit_ended(now, done);
                }
                Action::Call(call) => {
                    self.keeper.call_ended(now, call.id, &end(&call));
                    calls.push(call);
                }
            }
        }
        calls
    }

    /// Returns how many pieces nobody serves, and the longest time until one is served.
    fn moving(&self, ms: u64) -> (usize, Option<Duration>) {
        let moving = self.keeper.moving(at(ms)).expect("it grants");
        let longest = moving.pieces.iter().map(|p| p.2).max();
        (moving.pieces.len(), longest)
    }
}

fn done(_: &OrderCall) -> CallEnd {
    CallEnd::Done { handover: None }
}

#[test]
fn keys_of_one_that_leaves_wait_until_their_new_owner_was_granted() {
    let mut granter = Granter::new();
    assert_eq!(granter.moving(5_000), (0, None));
    // The release is on its way: its answer comes when the work on the keys has ended.
    let no_release = |call: &OrderCall| match call.kind {
        CallKind::Release => CallEnd::NoAnswer { maybe_sent: true },
        CallKind::Grant { .. } => CallEnd::Done { handover: None },
    };
    granter.step(5_000, &[1, 2], no_release);
    let (pieces, longest) = granter.moving(5_000);
    assert!(pieces > 0, "the keys of u0 move");
    assert!(longest < Some(Duration::from_millis(300)), "{longest:?}");
    for ms in (5_100..6_000).step_by(100) {
        granter.step(ms, &[1, 2], done);
    }
    assert_eq!(granter.moving(6_000), (0, None));
}

/// Plays seven seconds in which the calls to u0 fail, with the upstreams `ready`; returns what was told of keys
/// that nobody serves, and when they had an owner again.
fn play_loss(ready: &[usize]) -> (Vec<(u64, Duration)>, u64) {
    let mut granter = Granter::new();
    let lost = |call: &OrderCall| {
        if call.upstream == id(0) {
            CallEnd::NoAnswer { maybe_sent: false }
        } else {
            CallEnd::Done { handover: None }
        }
    };
    let mut told = Vec::new();
    let mut granted_at = None;
    for ms in (5_000..12_000).step_by(100) {
        let calls = granter.step(ms, ready, lost);
        let (pieces, longest) = granter.moving(ms);
        if pieces > 0 {
            told.push((ms, longest.unwrap_or_default()));
        } else if !told.is_empty() && granted_at.is_none() {
            granted_at = Some(ms);
        }
        let is_grant = |c: &OrderCall| matches!(c.kind, CallKind::Grant { .. });
        let early = calls.iter().find(|c| is_grant(c) && c.fence > Fence(1));
        assert!(early.is_none() || ms > 7_000, "granted at {ms}: {early:?}");
    }
    assert!(!told.is_empty());
    (told, granted_at.expect("the keys have an owner again"))
}

/// Checks that what was told of keys from `from` on was right to 250 ms.
fn check_told(told: &[(u64, Duration)], from: u64, granted_at: u64) {
    for &(ms, left) in told.iter().filter(|(ms, _)| *ms >= from) {
        let really = Duration::from_millis(granted_at - ms);
        let off = left.abs_diff(really);
        assert!(
            off <= Duration::from_millis(250),
            "at {ms}: {left:?}, {really:?}"
        );
    }
}

#[test]
fn keys_of_one_that_is_lost_wait_until_its_grants_have_run_out() {
    let (told, granted_at) = play_loss(&[0, 1, 2]);
    check_told(&told, 0, granted_at);
}

/// A host that has just begun to grant knows nothing of an upstream that is not registered any more but that
/// its releases fail: callers must not be told to come back in a moment, over and over.
#[test]
fn keys_of_one_whose_releases_fail_wait_until_its_grants_have_run_out() {
    let (told, granted_at) = play_loss(&[1, 2]);
    assert!(granted_at > 7_000, "its grants ran out first: {granted_at}");
    // Two releases have failed by then.
    check_told(&told, 5_700, granted_at);
}

/// First keys, fences and milliseconds left of pieces that nobody serves.
type Told = &'static [(u16, u64, u64)];

#[test]
fn a_host_waits_as_it_was_told() {
    struct Case {
        name: &'static str,
        /// What the granting host says of which revision, if anything.
        told: Option<(u64, Told)>,
        /// Until when nobody serves the piece that moves.
        until: Option<u64>,
    }
    let cases = [
        Case {
            name: "nothing yet: the usual time of a move",
            told: None,
            until: Some(200),
        },
        Case {
            name: "the time that is left",
            told: Some((2, &[(0, 2, 1_700)])),
            until: Some(1_700),
        },
        Case {
            name: "it is served",
            told: Some((2, &[])),
            until: None,
        },
        Case {
            name: "of an older row: nothing is known of this one",
            told: Some((1, &[])),
            until: Some(200),
        },
        Case {
            name: "of a newer row that it still waits",
            told: Some((3, &[(0, 2, 900)])),
            until: Some(900),
        },
    ];
    for case in cases {
        let mut row = EntryRow::even(me(), Part::WHOLE, &[id(0), id(1)]);
        let range = row.pieces[0].range;
        let fence = row.fence.next();
        row.give(range, &id(0), &id(2), fence);
        let mut unserved = Unserved::default();
        unserved.row_read(at(0), &row, Revision(2));
        if let Some((revision, pieces)) = case.told {
            let piece = |&(first, fence, ms): &(u16, u64, u64)| {
                (first, Fence(fence), Duration::from_millis(ms))
            };
            let moving = Moving {
                revision: Revision(revision),
                pieces: pieces.iter().map(piece).collect(),
            };
            unserved.hear(at(0), &moving);
        }
        let moved = row.pieces.iter().find(|p| p.owner == id(2));
        let until = unserved.until(moved.expect("it moved"));
        assert_eq!(until, case.until.map(at), "{}", case.name);
        let stays = row.pieces.iter().find(|p| p.owner == id(1));
        assert_eq!(
            unserved.until(stays.expect("it stays")),
            None,
            "{}",
            case.name
        );
    }
}
