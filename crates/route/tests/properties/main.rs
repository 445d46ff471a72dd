//! Properties of the dispatcher under any order of events.
//!
//! [`model`] tracks the expected state of each call independently of the dispatcher and checks
//! every action.

mod model;

use model::Model;
use proptest::prelude::*;
use route::QueueOrder;

/// One event; the numbers select among the existing calls, upstreams and slices.
#[derive(Debug, Clone)]
pub enum Op {
    /// A call arrives: upstream, slice (the last one: the hot key of slice 1), id, fingerprint,
    /// time left in milliseconds.
    Arrive(u8, u8, u8, u8, u16),
    /// A call in flight ends: which one, how.
    Finish(u8, u8),
    /// A caller disconnects: which one.
    Disconnect(u8),
    /// A grant: upstream, steps of the epoch, length in milliseconds, slices as bits.
    Lease(u8, u8, u16, u8),
    /// A lease ends early.
    LeaseEnded(u8),
    /// A slice is held: upstream, slice or all.
    Hold(u8, u8),
    /// The hot key is carved out or folded back.
    HotKey(u8, bool),
    /// A slice is released: upstream, slice or all, new owner.
    Release(u8, u8, u8),
    /// An upstream is declared: slots, connections.
    Declare(u8, u8, u8),
    /// An upstream drains.
    Draining(u8),
    /// An upstream is removed.
    Removed(u8),
    /// An upstream restarted.
    Restarted(u8),
    /// An upstream reports itself unhealthy.
    Unhealthy(u8),
    /// Milliseconds pass.
    Pass(u16),
}

fn op() -> impl Strategy<Value = Op> {
    let number = any::<u8>;
    prop_oneof![
        12 => (0..3_u8, 0..4_u8, 0..20_u8, 0..8_u8, 0..400_u16)
            .prop_map(|(u, s, id, fingerprint, left)| Op::Arrive(u, s, id, fingerprint, left)),
        9 => (number(), 0..8_u8).prop_map(|(i, end)| Op::Finish(i, end)),
        2 => number().prop_map(Op::Disconnect),
        3 => (0..3_u8, 0..3_u8, 0..500_u16, number())
            .prop_map(|(u, step, len, slices)| Op::Lease(u, step, len, slices)),
        1 => (0..3_u8).prop_map(Op::LeaseEnded),
        2 => (0..2_u8, 0..5_u8).prop_map(|(u, s)| Op::Hold(u, s)),
        1 => (0..2_u8, any::<bool>()).prop_map(|(u, hot)| Op::HotKey(u, hot)),
        3 => (0..2_u8, 0..5_u8, 0..4_u8).prop_map(|(u, s, to)| Op::Release(u, s, to)),
        1 => (0..3_u8, 0..4_u8, 1..5_u8).prop_map(|(u, slots, n)| Op::Declare(u, slots, n)),
        1 => (0..3_u8).prop_map(Op::Draining),
        1 => (0..3_u8).prop_map(Op::Removed),
        1 => (0..3_u8).prop_map(Op::Restarted),
        1 => (0..3_u8).prop_map(Op::Unhealthy),
        5 => (0..60_u16).prop_map(Op::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn actions_satisfy_the_model(
        order in 0..QueueOrder::ALL.len(),
        ops in prop::collection::vec(op(), 1..150),
    ) {
        let mut model = Model::new(QueueOrder::ALL[order]);
        for op in &ops {
            model.apply(op);
        }
        model.end();
    }
}

/// Regression: a repeat that arrived after its deadline joined another call, and a tick left its
/// timer due (generated input in `leaves-something-due.txt`).
#[test]
fn a_repeat_whose_time_is_over_joins_no_other_call() {
    let first = Op::Arrive(0, 0, 0, 0, 0);
    let ops = [
        Op::Hold(0, 2),
        first.clone(),
        Op::Removed(2),
        first.clone(),
        Op::Arrive(0, 0, 5, 0, 0),
        Op::Arrive(0, 2, 4, 1, 352),
        Op::Pass(18),
        Op::Pass(13),
        Op::Pass(9),
        Op::Pass(45),
        first.clone(),
        Op::Lease(0, 0, 0, 0),
        Op::Pass(37),
        Op::Pass(56),
        Op::Pass(27),
        Op::Pass(4),
        Op::Pass(43),
        Op::Arrive(1, 0, 4, 1, 101),
        first,
        Op::Pass(8),
        Op::Pass(38),
        Op::Arrive(0, 0, 4, 1, 54),
    ];
    run_ops(&ops);
}

/// Regression: calls arrive for a slice that has been held for longer than calls wait for its move.
/// They were due at once, and with a repeat beside them they were due again after the tick.
#[test]
fn calls_behind_a_hold_that_lasted_too_long_do_not_wait() {
    let call = Op::Arrive(0, 2, 4, 1, 352);
    let mut ops = vec![Op::Hold(0, 2)];
    ops.extend(std::iter::repeat_n(Op::Pass(59), 35));
    ops.extend([call.clone(), call, Op::Pass(5)]);
    run_ops(&ops);
}

fn run_ops(ops: &[Op]) {
    let mut model = Model::new(QueueOrder::ALL[0]);
    for op in ops {
        model.apply(op);
    }
    model.end();
}
