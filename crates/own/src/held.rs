//! State that a host keeps for an upstream that it coordinates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};

use crate::inherit::Inherit;
use crate::link::Link;
use crate::{HostRef, Lease};

/// Initial time that a planned move waits for requests in flight.
pub(crate) const SHORT_PATIENCE: Duration = Duration::from_millis(50);

/// State that a host keeps for an upstream that it coordinates.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact on its own")]
pub(crate) struct Held {
    pub(crate) since: Timestamp,
    /// Uptime at `since`.
    pub(crate) awake_since: Timestamp,
    pub(crate) epoch: Epoch,
    /// Whether the row names this host as coordinating host. Otherwise it acts under the reserved
    /// epoch.
    pub(crate) recorded: bool,
    /// Whether the coordinating host of the row stopped and handed the upstream over to this host.
    pub(crate) was_handed: bool,
    /// Latest local clock reading as of which there is evidence that this host was not replaced.
    pub(crate) evidence: Option<Timestamp>,
    /// Time at which this host first knew the previous row.
    pub(crate) older_since: Timestamp,
    pub(crate) inherit: Inherit,
    pub(crate) link: Link,
    /// Lease issued last, unless it was withdrawn since.
    pub(crate) lease: Option<Lease>,
    /// Local time at which every lease issued so far has expired.
    pub(crate) lease_end: Timestamp,
    /// Whether the standby reported that it acts.
    pub(crate) yielded: bool,
    pub(crate) supersede_at: Timestamp,
    pub(crate) removal: Option<Removal>,
    pub(crate) handing: Option<Handing>,
    pub(crate) wishes: BTreeMap<SliceNo, UpstreamId>,
    /// Slices that moved away in the table and are not released by this upstream yet.
    pub(crate) outgoing: BTreeMap<SliceNo, Outgoing>,
    /// Slices that moved away and that this upstream has released.
    pub(crate) freed: BTreeSet<SliceNo>,
    /// Slices that moved here, with their generations, and that the previous owner has released.
    pub(crate) released: BTreeSet<(SliceNo, u64)>,
    pub(crate) ask_free_at: Timestamp,
    /// Time at which the released slices are removed from the row's incoming slices.
    pub(crate) clear_at: Timestamp,
    /// Request to the standby not to grant slices.
    pub(crate) retiring: Option<Retiring>,
    /// Hosts that hold requests until the row of this revision is served.
    pub(crate) tells: Vec<Tell>,
    /// Slices of a failed upstream that have to wait longer than the others.
    pub(crate) parked: Vec<Going>,
    /// Local time at which every grant or lease with the deferred slices has expired.
    pub(crate) parked_end: Option<Timestamp>,
    /// Time that a planned move waits for requests in flight.
    pub(crate) patience: Duration,
    pub(crate) draining: bool,
}

impl Held {
    pub(crate) fn new(now: Timestamp, awake: Timestamp, epoch: Epoch, recorded: bool) -> Self {
        Self {
            since: now,
            awake_since: awake,
            epoch,
            recorded,
            was_handed: false,
            evidence: None,
            older_since: now,
            inherit: Inherit::none(),
            link: Link::new(now, awake),
            lease: None,
            lease_end: Timestamp::ZERO,
            yielded: false,
            supersede_at: now,
            removal: None,
            handing: None,
            wishes: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            freed: BTreeSet::new(),
            released: BTreeSet::new(),
            ask_free_at: now,
            clear_at: Timestamp::NEVER,
            retiring: None,
            tells: Vec::new(),
            parked: Vec::new(),
            parked_end: None,
            patience: SHORT_PATIENCE,
            draining: false,
        }
    }

    /// Records that a host holds requests until the row of `revision` is served.
    pub(crate) fn tell_once_serving(&mut self, host: &HostRef, revision: Revision) {
        self.tells.retain(|t| !t.host.is(host));
        self.tells.push(Tell {
            host: host.clone(),
            revision,
            without: None,
        });
    }

    /// Records that no request of a hold is in flight.
    pub(crate) fn drained(&mut self, hold: u64) {
        let going = self.removal.iter_mut().flat_map(|r| &mut r.going);
        let all = going.chain(&mut self.parked);
        for g in all.filter(|g| g.hold == hold) {
            g.drained = true;
        }
        let outgoing = self.outgoing.values_mut();
        for o in outgoing.filter(|o| o.hold == Some(hold)) {
            o.drained = true;
        }
    }

    /// Returns the numbers of all holds.
    pub(crate) fn holds(&self) -> Vec<u64> {
        let removal = self.removal.iter().filter(|r| !r.loosed);
        let going = removal.flat_map(|r| &r.going);
        let slices = going.chain(&self.parked).map(|g| g.hold);
        let outgoing = self.outgoing.values().filter_map(|o| o.hold);
        let handing = self.handing.iter().map(|h| h.hold);
        slices.chain(outgoing).chain(handing).collect()
    }

    /// Returns the local time at which everything that this host and its predecessors granted has
    /// expired.
    pub(crate) fn end(&self) -> Timestamp {
        let own = self.link.end().max(self.lease_end);
        own.max(self.inherit.quiet_at())
    }
}

/// A host that holds requests until a row is served.
#[derive(Debug, Clone)]
pub(crate) struct Tell {
    pub(crate) host: HostRef,
    pub(crate) revision: Revision,
    /// Slices that were last reported to the host as not served yet.
    pub(crate) without: Option<Vec<u64>>,
}

/// Reason why slices are removed from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Why {
    /// Placement proposed to move them.
    Wish,
    /// The upstream must have no slices.
    Emptying,
    /// The upstream has failed.
    Lost,
}

/// A slice to be moved away, not recorded in the table yet.
#[derive(Debug, Clone)]
pub(crate) struct Going {
    pub(crate) slice: SliceNo,
    /// Number of ownership changes of the slice, including this move.
    pub(crate) generation: u64,
    pub(crate) hold: u64,
    pub(crate) to: UpstreamId,
    /// Whether no request of the slice is in flight.
    pub(crate) drained: bool,
}

/// A slice that moved away in the table and that this upstream may still have.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) to: UpstreamId,
    /// Number of ownership changes of the slice, including this move.
    pub(crate) generation: u64,
    pub(crate) hold: Option<u64>,
    /// Whether no request of the slice is in flight.
    pub(crate) drained: bool,
    /// Whether this host had granted the slice to the upstream before the move.
    pub(crate) had: bool,
    /// Local time at which every grant or lease with the slice has expired; unknown while the slice
    /// is still wanted.
    pub(crate) end: Option<Timestamp>,
}

/// A request to the standby not to grant slices.
#[derive(Debug, Clone)]
pub(crate) struct Retiring {
    pub(crate) seq: u64,
    /// Slices in ascending order.
    pub(crate) slices: Vec<SliceNo>,
    /// Revision of the row to which the promise applies.
    pub(crate) revision: Revision,
    pub(crate) promised: bool,
    pub(crate) sent_at: Timestamp,
}

/// Slices being removed from an upstream.
#[derive(Debug)]
pub(crate) struct Removal {
    pub(crate) why: Why,
    pub(crate) since: Timestamp,
    /// Moves ordered by slice.
    pub(crate) going: Vec<Going>,
    /// Local time at which every grant or lease with these slices has expired; unknown while the
    /// slices are still wanted.
    pub(crate) end: Option<Timestamp>,
    /// Number of the transaction submitted last for the removal.
    pub(crate) txn: Option<u64>,
    /// Whether the held requests were resumed because the transaction takes too long.
    pub(crate) loosed: bool,
}

impl Removal {
    pub(crate) fn holds(&self, slice: SliceNo) -> bool {
        self.going.binary_search_by_key(&slice, |g| g.slice).is_ok()
    }

    /// Returns all slices in ascending order.
    pub(crate) fn slices(&self) -> Vec<SliceNo> {
        self.going.iter().map(|g| g.slice).collect()
    }

    /// Returns whether the slices must be taken away from the upstream without its cooperation.
    pub(crate) fn is_revoking(&self) -> bool {
        self.why == Why::Lost
    }
}

/// A handover of an upstream to another host that this host has started.
#[derive(Debug)]
pub(crate) struct Handing {
    pub(crate) to: HostRef,
    pub(crate) hold: u64,
}

/// A handover that this host has completed and whose receiver has not reported serving the
/// upstream.
#[derive(Debug)]
pub(crate) struct Handed {
    pub(crate) to: HostRef,
    pub(crate) hold: u64,
    pub(crate) epoch: Epoch,
    pub(crate) since: Timestamp,
    pub(crate) awake_since: Timestamp,
    pub(crate) send_at: Timestamp,
    /// Local time at which all earlier grants have expired.
    pub(crate) end: Timestamp,
}

/// Requests held here for slices that moved, until the new owner serves them.
#[derive(Debug, Clone)]
pub(crate) struct Settling {
    pub(crate) upstream: UpstreamId,
    pub(crate) hold: u64,
    pub(crate) to: UpstreamId,
    /// Slice that must be served there; all slices if absent.
    pub(crate) slice: Option<SliceNo>,
    pub(crate) revision: Revision,
    pub(crate) until: Timestamp,
}
