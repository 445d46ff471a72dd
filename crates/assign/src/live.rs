//! What the granting host knows of the grants of one piece, beside the row.

use ids::{Timestamp, UpstreamId};
use smol_str::SmolStr;

use crate::range::KeyRange;
use crate::row::{EntryRow, Piece};

/// The last grant of some keys that this host sent to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LastGrant {
    /// When; zero if there was none.
    pub(crate) sent: Timestamp,
    /// The call, if it alone is known to be the last one for all of the keys.
    pub(crate) call: Option<u64>,
}

impl LastGrant {
    /// Returns the latest of several pieces' last grants.
    fn latest(grants: impl Iterator<Item = Self>) -> Self {
        let merge = |a: Self, b: Self| Self {
            sent: a.sent.max(b.sent),
            call: None,
        };
        grants.reduce(merge).unwrap_or_default()
    }

    /// Takes back that `call` was sent; before it there was `earlier`.
    pub(crate) fn take_back(&mut self, call: u64, earlier: Self) {
        if self.call == Some(call) {
            *self = earlier;
        }
    }
}

/// A former owner that may still hold keys of a piece.
#[derive(Debug, Clone)]
pub(crate) struct Former {
    pub(crate) upstream: UpstreamId,
    /// The last grant of these keys that it was sent.
    pub(crate) last_grant: LastGrant,
    /// When to send the next release.
    pub(crate) release_at: Timestamp,
    pub(crate) releasing: bool,
    /// When the last release was sent.
    pub(crate) release_sent: Timestamp,
    /// Releases of these keys that had no answer.
    pub(crate) unanswered: u32,
    /// It answered a release: its work on these keys is over.
    pub(crate) released: bool,
    /// It surely holds none of these keys any more.
    pub(crate) free: bool,
}

/// Grants of one piece.
#[derive(Debug, Clone)]
pub(crate) struct Live {
    pub(crate) former: Vec<Former>,
    /// The last grant that the owner was sent.
    pub(crate) last_grant: LastGrant,
    /// When to send the next one.
    pub(crate) next_at: Timestamp,
    pub(crate) granting: bool,
    /// The owner answered a grant under the piece's fence.
    pub(crate) granted: bool,
    /// Its renewals have been moved apart from those of the pieces that were granted with it.
    pub(crate) is_apart: bool,
    /// What keeps the keys warm at the owner.
    pub(crate) handover: Option<SmolStr>,
}

impl Live {
    /// Tells whether no former owner holds keys of the piece.
    pub(crate) fn is_free(&self) -> bool {
        self.former.iter().all(|f| f.free)
    }
}

/// Carries what is known of grants over to the pieces of another row.
pub(crate) fn carry_over(
    old: Option<(&EntryRow, &[Live])>,
    new: &EntryRow,
    now: Timestamp,
) -> Vec<Live> {
    new.pieces
        .iter()
        .map(|piece| live(old, piece, now))
        .collect()
}

fn live(old: Option<(&EntryRow, &[Live])>, piece: &Piece, now: Timestamp) -> Live {
    let known: Vec<(&Piece, &Live)> = old
        .into_iter()
        .flat_map(|(row, lives)| row.pieces.iter().zip(lives))
        .filter(|(p, _)| p.range.overlaps(piece.range))
        .collect();
    // Several, if pieces were joined; the lower fences are then raised by the next grant.
    let same = || known.iter().filter(|(p, _)| p.owner == piece.owner);
    let whole = same().find(|(p, _)| p.fence == piece.fence && p.range.covers(piece.range));
    let former = |upstream: &UpstreamId| former(&known, upstream, piece.range, now);
    // A call on its way to the owner of an unchanged piece still tells how it ends. A second one beside it
    // would count as sent where the first surely did not leave, and its keys wait for it to run out.
    let is_granting = whole.is_some_and(|(p, l)| l.granting && p.range == piece.range);
    Live {
        former: piece.former.iter().map(former).collect(),
        last_grant: LastGrant::latest(same().map(|(_, l)| l.last_grant)),
        next_at: same().map(|(_, l)| l.next_at).min().unwrap_or(now),
        granting: is_granting,
        granted: whole.is_some_and(|(_, l)| l.granted),
        is_apart: whole.is_some_and(|(_, l)| l.is_apart),
        handover: whole.and_then(|(_, l)| l.handover.clone()),
    }
}

fn former(
    known: &[(&Piece, &Live)],
    upstream: &UpstreamId,
    range: KeyRange,
    now: Timestamp,
) -> Former {
    // A former owner of an unchanged piece keeps its state; an owner that has become a former one
    // begins anew.
    for (piece, live) in known {
        let same = live.former.iter().find(|f| f.upstream == *upstream);
        if let Some(same) = same
            && piece.range == range
        {
            return Former {
                releasing: false,
                ..same.clone()
            };
        }
    }
    let sent_as_owner = known
        .iter()
        .filter(|(p, _)| p.owner == *upstream)
        .map(|(_, l)| l.last_grant);
    let sent_as_former = known
        .iter()
        .flat_map(|(_, l)| l.former.iter())
        .filter(|f| f.upstream == *upstream)
        .map(|f| f.last_grant);
    Former {
        upstream: upstream.clone(),
        last_grant: LastGrant::latest(sent_as_owner.chain(sent_as_former)),
        release_at: now,
        releasing: false,
        release_sent: now,
        unanswered: 0,
        released: false,
        free: false,
    }
}
