//! What the granting host knows of the grants of one piece, beside the row.

use ids::{Timestamp, UpstreamId};
use smol_str::SmolStr;

use crate::range::KeyRange;
use crate::row::{EntryRow, Piece};

/// A former owner that may still hold keys of a piece.
#[derive(Debug, Clone)]
pub(crate) struct Former {
    pub(crate) upstream: UpstreamId,
    /// When this host last sent it a grant of these keys; zero if it never did.
    pub(crate) last_sent: Timestamp,
    /// When to send the next release.
    pub(crate) release_at: Timestamp,
    pub(crate) releasing: bool,
    /// It answered a release: its work on these keys is over.
    pub(crate) released: bool,
    /// It surely holds none of these keys any more.
    pub(crate) free: bool,
}

/// Grants of one piece.
#[derive(Debug, Clone)]
pub(crate) struct Live {
    pub(crate) former: Vec<Former>,
    /// When this host last sent the owner a grant; zero if it never did.
    pub(crate) last_sent: Timestamp,
    /// When to send the next one.
    pub(crate) next_at: Timestamp,
    pub(crate) granting: bool,
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
    let same = known
        .iter()
        .find(|(p, _)| p.owner == piece.owner && p.fence == piece.fence);
    let former = |upstream: &UpstreamId| former(&known, upstream, piece.range, now);
    Live {
        former: piece.former.iter().map(former).collect(),
        last_sent: same.map_or(Timestamp::ZERO, |(_, l)| l.last_sent),
        next_at: same.map_or(now, |(_, l)| l.next_at),
        granting: false,
        handover: same.and_then(|(_, l)| l.handover.clone()),
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
        .map(|(_, l)| l.last_sent);
    let sent_as_former = known
        .iter()
        .flat_map(|(_, l)| l.former.iter())
        .filter(|f| f.upstream == *upstream)
        .map(|f| f.last_sent);
    Former {
        upstream: upstream.clone(),
        last_sent: sent_as_owner
            .chain(sent_as_former)
            .max()
            .unwrap_or(Timestamp::ZERO),
        release_at: now,
        releasing: false,
        released: false,
        free: false,
    }
}
