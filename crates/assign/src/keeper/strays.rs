//! Former owners that may still be reached by a grant which the network holds.
//!
//! The wait for a former owner's grant to run out counts from when it was sent. A network that is cut may hold a
//! grant for longer and deliver it after all, if its sender ended before it could reset the connection; its time
//! counts from its arrival. Only an upstream that was told of the newer fence refuses it. So one whose keys went to
//! others without its answer is told until it answers.

use std::time::Duration;

use ids::{Timestamp, UpstreamId};

use super::Keeper;
use crate::live::LastGrant;
use crate::order::{Action, CallEnd, CallKind, OrderCall};
use crate::range::{Fence, KeyRange};
use crate::row::Piece;

/// Pause between two tries to tell an upstream: what a cut held is delivered some time after its end, and the
/// upstream should hear of the fence before.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// How long it is tried: longer than today's cuts last. One that is gone for good is not waited for by anybody.
const TELL_FOR: Duration = Duration::from_mins(1);

/// Keys that went to another owner without their former one's answer.
#[derive(Debug)]
pub(super) struct Stray {
    upstream: UpstreamId,
    range: KeyRange,
    /// The fence of the first owner after it.
    fence: Fence,
    until: Timestamp,
    next_at: Timestamp,
    /// The release on its way.
    call: Option<u64>,
}

impl Keeper {
    /// Notes that the keys of `range` go to another owner under `fence` without an answer of `upstream`.
    pub(super) fn note_stray(
        &mut self,
        now: Timestamp,
        upstream: UpstreamId,
        range: KeyRange,
        fence: Fence,
    ) {
        self.strays.push(Stray {
            upstream,
            range,
            fence,
            until: now + TELL_FOR,
            next_at: now + TELL_EVERY,
            call: None,
        });
    }

    /// Tells whether `upstream` is told of a newer fence.
    pub(super) fn is_stray(&self, upstream: &UpstreamId) -> bool {
        self.strays.iter().any(|s| s.upstream == *upstream)
    }

    /// Tells whether `upstream` is being told at this moment: it could take the word for one about keys that it is
    /// granted meanwhile.
    pub(super) fn is_being_told(&self, upstream: &UpstreamId) -> bool {
        let is_told = |s: &Stray| s.call.is_some() && s.upstream == *upstream;
        self.strays.iter().any(is_told)
    }

    /// Forgets strays that got their keys back, as they know of the newer fence then, and those of other granting
    /// hosts.
    pub(super) fn retain_strays(&mut self) {
        let is_granter = self.is_granter();
        let Some(known) = &self.known else {
            return;
        };
        let pieces = &known.row.pieces;
        self.strays.retain(|s| {
            let has_it_back = |p: &Piece| {
                p.owner == s.upstream && p.fence >= s.fence && p.range.overlaps(s.range)
            };
            is_granter && !pieces.iter().any(has_it_back)
        });
    }

    /// Tells strays of the newer fence, one call at a time to each upstream.
    pub(super) fn tell_strays(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let gone = &self.gone;
        self.strays
            .retain(|s| now < s.until && !gone.contains(&s.upstream));
        let told = |s: &Stray| s.call.map(|_| s.upstream.clone());
        let mut told: Vec<UpstreamId> = self.strays.iter().filter_map(told).collect();
        for stray in &mut self.strays {
            let is_due = stray.call.is_none() && now >= stray.next_at;
            if !is_due || told.contains(&stray.upstream) {
                continue;
            }
            told.push(stray.upstream.clone());
            let call = OrderCall {
                id: 0,
                upstream: stray.upstream.clone(),
                kind: CallKind::Release,
                range: stray.range,
                fence: stray.fence,
                decided: now,
            };
            let id = self.calls.begin(call, LastGrant::default(), actions);
            stray.call = Some(id);
        }
    }

    /// Notes how telling a stray ended; tells whether the call was such a one.
    pub(super) fn stray_told(&mut self, now: Timestamp, call: &OrderCall, end: &CallEnd) -> bool {
        let is_it = |s: &Stray| s.call == Some(call.id);
        let Some(i) = self.strays.iter().position(is_it) else {
            return false;
        };
        if matches!(end, CallEnd::Done { .. }) {
            self.strays.swap_remove(i);
            // Its other ranges need not wait any longer.
            let same = self.strays.iter_mut();
            let same = same.filter(|s| s.upstream == call.upstream);
            same.for_each(|s| s.next_at = now);
            return true;
        }
        let stray = &mut self.strays[i];
        stray.call = None;
        stray.next_at = now + TELL_EVERY;
        true
    }
}
