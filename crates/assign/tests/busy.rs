//! A granting host that can't keep up with its own grants.

use std::time::Duration;

use assign::{
    Action, AssignSettings, CallEnd, CommitEnd, EntryRow, Keeper, KeyLoads, Part, Planner, Run,
    Standing, UpstreamView,
};
use ids::{HostId, Incarnation, Revision, Timestamp, UpstreamId};

const OWNERS: usize = 4;
const STEP: Duration = Duration::from_millis(100);

fn owner(i: usize) -> UpstreamId {
    UpstreamId::new(format!("u{i}")).expect("a valid name")
}

/// Runs a granting host for five seconds in which calls to the first owner end as `end`; tells whether
/// its keys went to others.
fn moves_away(end: &CallEnd) -> bool {
    let me = Run {
        host: HostId::new("h").expect("a valid name"),
        incarnation: Incarnation(1),
    };
    let owners: Vec<_> = (0..OWNERS).map(owner).collect();
    let row = EntryRow::even(me.clone(), Part::WHOLE, &owners);
    let mut keeper = Keeper::new(me, AssignSettings::default(), Planner::default());
    let ready: Vec<_> = owners
        .iter()
        .map(|id| UpstreamView {
            id: id.clone(),
            slots: 4,
            service: 0.1,
            most_pieces: None,
        })
        .collect();
    let mut now = Timestamp::from_millis(100_000);
    let mut loads = KeyLoads::new(now);
    keeper.take(now, row, Revision(1));
    for _ in 0..50 {
        now += STEP;
        keeper.read(now);
        let mut actions = Vec::new();
        keeper.poll(now, &mut actions);
        let mut standing = Standing {
            ready: &ready,
            loads: &mut loads,
            may_move: true,
        };
        keeper.plan(now, &mut standing, &mut actions);
        for action in actions {
            match action {
                Action::Call(call) if call.upstream == owners[0] => {
                    keeper.call_ended(now, call.id, end);
                }
                Action::Call(call) => {
                    let done = CallEnd::Done { handover: None };
                    keeper.call_ended(now, call.id, &done);
                }
                Action::Commit { row, .. } => {
                    keeper.commit_ended(now, CommitEnd::NotDone);
                    if row.pieces.iter().all(|p| p.owner != owners[0]) {
                        return true;
                    }
                }
            }
        }
    }
    false
}

struct Case {
    name: &'static str,
    end: CallEnd,
    moves: bool,
}

/// At 544 upstreams a granting host makes some 1,500 calls a second. One of a tenth of a core sends many
/// too late, which it does not do then; if that counted as their upstreams' silence, it would give their
/// keys away, and each move is more work.
#[test]
fn what_a_busy_host_did_not_send_is_no_silence_of_upstreams() {
    let cases = [
        Case {
            name: "not sent",
            end: CallEnd::NotSent,
            moves: false,
        },
        Case {
            name: "no answer",
            end: CallEnd::NoAnswer { maybe_sent: true },
            moves: true,
        },
        Case {
            name: "no connection",
            end: CallEnd::NoAnswer { maybe_sent: false },
            moves: true,
        },
    ];
    for case in cases {
        assert_eq!(moves_away(&case.end), case.moves, "{}", case.name);
    }
}
