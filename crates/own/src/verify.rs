//! Checks a whole snapshot of a system against the invariants of ownership.
//!
//! No process ever has such a snapshot; tests take it from outside, at one moment.

use std::collections::BTreeMap;

use ids::{EntryId, Epoch, HostId, RequestId, SliceNo, UpstreamId};
use thiserror::Error;

use crate::{CarvedKey, HostRef, IncomingSlice, OwnershipRow};

/// State of an upstream at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Entry that it serves.
    pub entry: EntryId,
    /// Whether it checks grants.
    pub checks_grants: bool,
    /// Row of the upstream.
    pub row: Option<OwnershipRow>,
    /// Epoch of its valid grant by its own clock, if it checks grants and has one.
    pub granted: Option<Epoch>,
    /// Slices of that grant.
    pub slices: Vec<SliceNo>,
}

/// A lease that is valid by the clock of its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseState {
    /// Host that has the lease.
    pub host: HostRef,
    /// Upstream to which the host may send.
    pub upstream: UpstreamId,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Slices of the lease.
    pub slices: Vec<SliceNo>,
    /// Hot keys that the host knows to be carved out of these slices.
    pub carved: Vec<CarvedKey>,
}

/// A request that was sent to an upstream that does not check grants, and may still start there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Upstream that received the request.
    pub upstream: UpstreamId,
    /// Slice of the request.
    pub slice: SliceNo,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// An entry that is sharded by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryState {
    /// Name of the entry.
    pub entry: EntryId,
    /// Number of slices.
    pub slices: u32,
    /// Whether the table records that the slices were assigned.
    pub assigned: bool,
}

/// State of a whole system at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Entries.
    pub entries: Vec<EntryState>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamState>,
    /// Leases.
    pub leases: Vec<LeaseState>,
    /// Requests that may still start.
    pub sent: Vec<SentRequest>,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two upstreams may start requests of the same slice.
    #[error("{entry}/{slice}: both {first} and {second} own it")]
    TwoOwners {
        /// Entry.
        entry: EntryId,
        /// Slice.
        slice: SliceNo,
        /// One owner.
        first: UpstreamId,
        /// The other.
        second: UpstreamId,
    },
    /// A slice is in two rows.
    #[error("{entry}/{slice}: in the rows of both {first} and {second}")]
    AssignedTwice {
        /// Entry.
        entry: EntryId,
        /// Slice.
        slice: SliceNo,
        /// One upstream.
        first: UpstreamId,
        /// The other.
        second: UpstreamId,
    },
    /// A slice that was assigned is in no row, so its assignment was lost.
    #[error("{entry}/{slice}: in no row")]
    Unassigned {
        /// Entry.
        entry: EntryId,
        /// Slice.
        slice: SliceNo,
    },
    /// An upstream may run requests of a slice that is not in its row.
    #[error("{upstream}: may run {slice}, which is not in its row")]
    NotInRow {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice.
        slice: SliceNo,
    },
    /// An epoch above the reserved epoch of the row is in use.
    #[error("{upstream}: epoch {epoch} is in use, above the row's reserved epoch")]
    UnreservedEpoch {
        /// Upstream.
        upstream: UpstreamId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Two hosts use the same epoch of an upstream.
    #[error("{upstream}: both {first} and {second} use epoch {epoch}")]
    SharedEpoch {
        /// Upstream.
        upstream: UpstreamId,
        /// Epoch.
        epoch: Epoch,
        /// One host.
        first: HostId,
        /// The other.
        second: HostId,
    },
    /// A request that must not run twice may start at an upstream while another one owns its slice.
    #[error("{request}: may start at {upstream} though {owner} owns {slice}")]
    ConflictingRequest {
        /// Request.
        request: RequestId,
        /// Upstream at which it may start.
        upstream: UpstreamId,
        /// Owner.
        owner: UpstreamId,
        /// Slice.
        slice: SliceNo,
    },
    /// A host may send requests of a hot key under the slice that contained it before, to another
    /// upstream than the key's owner.
    #[error("{host} may send {hot} to {upstream} as part of {base}, though {owner} owns it")]
    StaleCarvedKey {
        /// Host.
        host: HostId,
        /// Upstream to which it may send.
        upstream: UpstreamId,
        /// Owner of the hot key.
        owner: UpstreamId,
        /// Slice of the hot key.
        hot: SliceNo,
        /// Slice that contained it.
        base: SliceNo,
    },
    /// A row names the same host as coordinating host and as standby.
    #[error("{upstream}: {host} is both coordinating host and standby")]
    StandbyIsCoordinator {
        /// Upstream.
        upstream: UpstreamId,
        /// Host.
        host: HostId,
    },
    /// A hot key is carved out of a slice that is not in the row.
    #[error("{upstream}: {hot} is carved out of {base}, which is not in its row")]
    CarvedBaseNotInRow {
        /// Upstream.
        upstream: UpstreamId,
        /// Slice of the hot key.
        hot: SliceNo,
        /// Slice that contained it.
        base: SliceNo,
    },
}

/// Checks all invariants and returns every violation.
#[must_use]
pub fn verify(snapshot: &Snapshot) -> Vec<Violation> {
    let mut found = Vec::new();
    check_rows(snapshot, &mut found);
    check_assignment(snapshot, &mut found);
    check_owners(snapshot, &mut found);
    check_epochs(snapshot, &mut found);
    found
}

fn check_rows(snapshot: &Snapshot, found: &mut Vec<Violation>) {
    for u in &snapshot.upstreams {
        let Some(row) = &u.row else {
            continue;
        };
        if let (Some(c), Some(d)) = (&row.coordinator, &row.deputy)
            && c.is_same(d)
        {
            found.push(Violation::StandbyIsCoordinator {
                upstream: u.upstream.clone(),
                host: c.host.clone(),
            });
        }
        for c in row.carved.iter().filter(|c| !row.contains(c.base)) {
            found.push(Violation::CarvedBaseNotInRow {
                upstream: u.upstream.clone(),
                hot: c.hot,
                base: c.base,
            });
        }
    }
}

fn check_assignment(snapshot: &Snapshot, found: &mut Vec<Violation>) {
    let mut rows = BTreeMap::<(&EntryId, SliceNo), &UpstreamId>::new();
    for u in &snapshot.upstreams {
        for a in u.row.iter().flat_map(|r| &r.slices) {
            if let Some(first) = rows.insert((&u.entry, a.slice), &u.upstream) {
                found.push(Violation::AssignedTwice {
                    entry: u.entry.clone(),
                    slice: a.slice,
                    first: first.clone(),
                    second: u.upstream.clone(),
                });
            }
        }
    }
    for e in snapshot.entries.iter().filter(|e| e.assigned) {
        let all = (0..u64::from(e.slices)).map(SliceNo);
        for slice in all.filter(|s| !rows.contains_key(&(&e.entry, *s))) {
            found.push(Violation::Unassigned {
                entry: e.entry.clone(),
                slice,
            });
        }
    }
}

/// Owners by the slices of which they may start requests.
type Owners<'a> = BTreeMap<(&'a EntryId, SliceNo), &'a UpstreamId>;

/// Returns the slices of which an upstream may start requests.
fn runnable(snapshot: &Snapshot, u: &UpstreamState) -> Vec<SliceNo> {
    if u.checks_grants {
        return u.slices.clone();
    }
    let leases = snapshot.leases.iter().filter(|l| l.upstream == u.upstream);
    let mut slices = leases.flat_map(|l| l.slices.clone()).collect::<Vec<_>>();
    slices.sort();
    slices.dedup();
    slices
}

/// Returns whether an upstream may have a slice: because its row contains the slice, because the
/// next owner still waits for its release, or as a hot key within a slice of its row.
fn may_have(snapshot: &Snapshot, u: &UpstreamState, slice: SliceNo) -> bool {
    let in_row = |s: SliceNo| u.row.as_ref().is_some_and(|r| r.contains(s));
    let entry = snapshot.entries.iter().find(|e| e.entry == u.entry);
    let base = entry.map(|e| slice.base(e.slices));
    let others = snapshot.upstreams.iter().filter(|o| o.entry == u.entry);
    let mut incoming = others.flat_map(|o| o.row.iter().flat_map(|r| &r.incoming));
    let leaves = |s: SliceNo| move |i: &IncomingSlice| i.slice == s && i.from == u.upstream;
    in_row(slice) || base.is_some_and(in_row) || incoming.any(leaves(slice))
}

fn check_owners(snapshot: &Snapshot, found: &mut Vec<Violation>) {
    let mut owners = Owners::new();
    for u in &snapshot.upstreams {
        for slice in runnable(snapshot, u) {
            if !may_have(snapshot, u, slice) {
                found.push(Violation::NotInRow {
                    upstream: u.upstream.clone(),
                    slice,
                });
            }
            if let Some(first) = owners.insert((&u.entry, slice), &u.upstream) {
                found.push(Violation::TwoOwners {
                    entry: u.entry.clone(),
                    slice,
                    first: first.clone(),
                    second: u.upstream.clone(),
                });
            }
        }
    }
    check_carved(snapshot, &owners, found);
    check_sent_requests(snapshot, &owners, found);
}

fn check_carved(snapshot: &Snapshot, owners: &Owners<'_>, found: &mut Vec<Violation>) {
    for at in &snapshot.upstreams {
        let rows = snapshot.upstreams.iter().filter(|u| u.entry == at.entry);
        let carved = rows.flat_map(|u| u.row.iter().flat_map(|r| &r.carved));
        for c in carved {
            let owner = owners.get(&(&at.entry, c.hot));
            if let Some(owner) = owner.filter(|o| **o != &at.upstream) {
                check_stale_carved(snapshot, at, c, owner, found);
            }
        }
    }
}

fn check_stale_carved(
    snapshot: &Snapshot,
    at: &UpstreamState,
    c: &CarvedKey,
    owner: &UpstreamId,
    found: &mut Vec<Violation>,
) {
    let leases = snapshot.leases.iter().filter(|l| {
        let runs =
            !at.checks_grants || (at.granted == Some(l.epoch) && at.slices.contains(&c.base));
        l.upstream == at.upstream && runs && l.slices.contains(&c.base)
    });
    for l in leases.filter(|l| !l.carved.contains(c)) {
        found.push(Violation::StaleCarvedKey {
            host: l.host.host.clone(),
            upstream: at.upstream.clone(),
            owner: owner.clone(),
            hot: c.hot,
            base: c.base,
        });
    }
}

fn check_sent_requests(snapshot: &Snapshot, owners: &Owners<'_>, found: &mut Vec<Violation>) {
    for s in snapshot.sent.iter().filter(|s| !s.idempotent) {
        let at = snapshot.upstreams.iter().find(|u| u.upstream == s.upstream);
        let Some(at) = at else {
            continue;
        };
        let owner = owners.get(&(&at.entry, s.slice));
        if let Some(owner) = owner.filter(|o| ***o != s.upstream) {
            found.push(Violation::ConflictingRequest {
                request: s.request.clone(),
                upstream: s.upstream.clone(),
                owner: (*owner).clone(),
                slice: s.slice,
            });
        }
    }
}

fn check_epochs(snapshot: &Snapshot, found: &mut Vec<Violation>) {
    let mut users = BTreeMap::<(&UpstreamId, Epoch), &HostRef>::new();
    for l in &snapshot.leases {
        if let Some(first) = users.insert((&l.upstream, l.epoch), &l.host)
            && !first.is_same(&l.host)
        {
            found.push(Violation::SharedEpoch {
                upstream: l.upstream.clone(),
                epoch: l.epoch,
                first: first.host.clone(),
                second: l.host.host.clone(),
            });
        }
    }
    for u in &snapshot.upstreams {
        let leases = snapshot.leases.iter().filter(|l| l.upstream == u.upstream);
        let used = leases.map(|l| l.epoch).chain(u.granted).max();
        let reserved = u
            .row
            .as_ref()
            .map_or(Epoch(0), OwnershipRow::reserved_epoch);
        if let Some(epoch) = used.filter(|e| *e > reserved) {
            found.push(Violation::UnreservedEpoch {
                upstream: u.upstream.clone(),
                epoch,
            });
        }
    }
}
