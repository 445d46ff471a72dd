//! What a host keeps of an upstream that it coordinates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ids::{Epoch, Revision, SliceNo, Timestamp, UpstreamId};

use crate::inherit::Inherit;
use crate::link::Link;
use crate::{HostRef, Lease};

/// How long a planned move waits first for requests under way.
pub(crate) const SHORT_PATIENCE: Duration = Duration::from_millis(50);

/// What a host keeps of an upstream that it coordinates.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact on its own")]
pub(crate) struct Held {
    pub(crate) since: Timestamp,
    /// The same in awake time.
    pub(crate) awake_since: Timestamp,
    pub(crate) epoch: Epoch,
    /// Whether the row names this host as coordinating; else it acts on its reserve.
    pub(crate) recorded: bool,
    /// Whether the coordinating host of the row stopped and handed the upstream to this one.
    pub(crate) was_handed: bool,
    /// Highest own reading as of which somebody said that this host was not replaced.
    pub(crate) evidence: Option<Timestamp>,
    /// When the row before was first known.
    pub(crate) older_since: Timestamp,
    pub(crate) inherit: Inherit,
    pub(crate) link: Link,
    /// The lease as told last, unless it was stopped since.
    pub(crate) lease: Option<Lease>,
    /// Own clock from which no lease ever told allows a send.
    pub(crate) lease_end: Timestamp,
    /// Whether the deputy said that it acts.
    pub(crate) yielded: bool,
    pub(crate) supersede_at: Timestamp,
    pub(crate) removal: Option<Removal>,
    pub(crate) handing: Option<Handing>,
    pub(crate) wishes: BTreeMap<SliceNo, UpstreamId>,
    /// Slices that moved away by the table and are not free here yet.
    pub(crate) outgoing: BTreeMap<SliceNo, Outgoing>,
    /// Slices that moved away and are free here.
    pub(crate) freed: BTreeSet<SliceNo>,
    /// Slices that came, by their generations, and are free at the upstream before.
    pub(crate) released: BTreeSet<(SliceNo, u64)>,
    pub(crate) ask_free_at: Timestamp,
    /// When the row is to be rid of marks of slices that are released.
    pub(crate) clear_at: Timestamp,
    /// The deputy's promise not to grant slices.
    pub(crate) retiring: Option<Retiring>,
    /// Hosts that hold requests until the row of this revision is served.
    pub(crate) tells: Vec<Tell>,
    /// Slices of a lost upstream that have to wait for longer than others.
    pub(crate) parked: Vec<Going>,
    /// When every grant or lease with them is surely over.
    pub(crate) parked_end: Option<Timestamp>,
    /// How long a planned move waits for requests under way.
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

    /// Notes that a host holds requests until the row of `revision` is served.
    pub(crate) fn tell_once_serving(&mut self, host: &HostRef, revision: Revision) {
        self.tells.retain(|t| !t.host.is(host));
        self.tells.push(Tell {
            host: host.clone(),
            revision,
            without: None,
        });
    }

    /// Notes that nothing of a hold is under way.
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

    /// Returns all holds.
    pub(crate) fn holds(&self) -> Vec<u64> {
        let removal = self.removal.iter().filter(|r| !r.loosed);
        let going = removal.flat_map(|r| &r.going);
        let slices = going.chain(&self.parked).map(|g| g.hold);
        let outgoing = self.outgoing.values().filter_map(|o| o.hold);
        let handing = self.handing.iter().map(|h| h.hold);
        slices.chain(outgoing).chain(handing).collect()
    }

    /// Returns the own clock at which all that this host and those before it granted is over.
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
    /// Slices of which it was told that they are not served yet.
    pub(crate) without: Option<Vec<u64>>,
}

/// Why slices are taken off an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Why {
    /// Placement wants them elsewhere.
    Wish,
    /// The upstream is to be emptied.
    Emptying,
    /// The upstream is lost.
    Lost,
}

/// A slice on its way.
#[derive(Debug, Clone)]
pub(crate) struct Going {
    pub(crate) slice: SliceNo,
    /// How often it will have changed its owner, with this move.
    pub(crate) generation: u64,
    pub(crate) hold: u64,
    pub(crate) to: UpstreamId,
    /// Whether nothing of it is under way.
    pub(crate) drained: bool,
}

/// A slice that moved away by the table, and that this upstream may still have.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) to: UpstreamId,
    /// How often it had changed its owner, with this move.
    pub(crate) generation: u64,
    pub(crate) hold: Option<u64>,
    /// Whether nothing of it is under way.
    pub(crate) drained: bool,
    /// Whether this host had it granted here before it moved.
    pub(crate) had: bool,
    /// Own clock at which every grant or lease with it is surely over, known from when it is not
    /// wanted any more.
    pub(crate) end: Option<Timestamp>,
}

/// The deputy's promise not to grant slices.
#[derive(Debug, Clone)]
pub(crate) struct Retiring {
    pub(crate) seq: u64,
    /// Rising.
    pub(crate) slices: Vec<SliceNo>,
    /// Revision of the row that the promise is about.
    pub(crate) revision: Revision,
    pub(crate) promised: bool,
    pub(crate) sent_at: Timestamp,
}

/// Slices on their way off an upstream.
#[derive(Debug)]
pub(crate) struct Removal {
    pub(crate) why: Why,
    pub(crate) since: Timestamp,
    /// By rising slice.
    pub(crate) going: Vec<Going>,
    /// Own clock at which every grant or lease with these slices is surely over, known from when
    /// they are not wanted any more.
    pub(crate) end: Option<Timestamp>,
    /// Number of the transaction that was submitted last for it.
    pub(crate) txn: Option<u64>,
    /// Whether its requests go on, as the transaction takes long.
    pub(crate) loosed: bool,
}

impl Removal {
    pub(crate) fn holds(&self, slice: SliceNo) -> bool {
        self.going.binary_search_by_key(&slice, |g| g.slice).is_ok()
    }

    /// Returns all slices, rising.
    pub(crate) fn slices(&self) -> Vec<SliceNo> {
        self.going.iter().map(|g| g.slice).collect()
    }

    /// Tells whether the upstream must not have the slices any more.
    pub(crate) fn is_revoking(&self) -> bool {
        self.why == Why::Lost
    }
}

/// An upstream on its way to another host.
#[derive(Debug)]
pub(crate) struct Handing {
    pub(crate) to: HostRef,
    pub(crate) hold: u64,
}

/// An upstream that was handed to another host, which did not say yet that it serves.
#[derive(Debug)]
pub(crate) struct Handed {
    pub(crate) to: HostRef,
    pub(crate) hold: u64,
    pub(crate) epoch: Epoch,
    pub(crate) since: Timestamp,
    pub(crate) awake_since: Timestamp,
    pub(crate) send_at: Timestamp,
    /// Own clock at which all that was granted before is over.
    pub(crate) end: Timestamp,
}

/// Requests held here for slices that moved, until the new owner serves them.
#[derive(Debug, Clone)]
pub(crate) struct Settling {
    pub(crate) upstream: UpstreamId,
    pub(crate) hold: u64,
    pub(crate) to: UpstreamId,
    /// Slice that must be served there, or all if absent.
    pub(crate) slice: Option<SliceNo>,
    pub(crate) revision: Revision,
    pub(crate) until: Timestamp,
}
