//! The hosts that have written their row in the store.

use std::net::SocketAddr;
use std::time::Duration;

use assign::HostIncarnation;
use ids::{DomainId, Incarnation, Revision, StoreEra, Timestamp};
use serde::{Deserialize, Serialize};

use crate::control::state::ControlState;

/// Time for which a host must have been listed before it takes over as a granting host, so that the
/// host that grants in the next era knows of all that may have granted in this one.
///
/// It is longer than a short outage of the store and a wait for changes that receives none.
pub(super) const LISTED_BEFORE_TAKEOVER: Duration = Duration::from_secs(6);

/// A host's row in the store, by which the other hosts find it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HostRow {
    /// The host's incarnation.
    #[serde(rename = "run")]
    pub incarnation: HostIncarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for heartbeats and relay connections.
    pub peers: SocketAddr,
    /// Address for permit requests; none if the host grants no permits.
    #[serde(default)]
    pub permits: Option<SocketAddr>,
    /// Address for requests that go through the host; none if it takes none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exchanges: Option<SocketAddr>,
    /// Processor capacity, in cores.
    #[serde(default)]
    pub capacity: f64,
    /// The store's era as known to the host when it wrote the row.
    #[serde(default)]
    pub era: StoreEra,
}

/// A host whose row was read.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHost {
    /// The row.
    pub row: HostRow,
    /// Revision at which the row was written.
    pub revision: Revision,
    /// Whether the store has the row. It may have lost it, and the host writes it again then.
    pub is_listed: bool,
}

impl KnownHost {
    /// Returns the incarnation that the host announced after the revision `after`, if the row was
    /// written in that era: revisions of other eras say nothing about the order of writes.
    #[must_use]
    pub fn announced_after(&self, after: Revision) -> Option<Incarnation> {
        let era = after.era();
        let is_of_era = self.row.era == era && self.revision.era() == era;
        (is_of_era && self.revision > after).then_some(self.row.incarnation.incarnation)
    }
}

impl ControlState {
    /// Records that a host's row was written at revision `at`.
    pub fn record_host(&mut self, now: Timestamp, row: HostRow, revision: Revision) {
        self.hosts_changed_at = now;
        self.host_lists = None;
        let id = row.incarnation.host.clone();
        let host = KnownHost {
            row,
            revision,
            is_listed: true,
        };
        self.hosts.insert(id, host);
    }

    /// Records that the store does not have the row of `host`.
    ///
    /// Hosts don't remove their rows: the store has lost it. The host is still there, and is asked for
    /// permits and answers heartbeats.
    pub fn record_unlisted_host(&mut self, host: &str) {
        let known = self.hosts.iter_mut().find(|(id, _)| id.as_str() == host);
        if let Some((_, known)) = known {
            known.is_listed = false;
        }
    }

    /// Returns whether this host has been listed for so long that it may take over as a granting
    /// host. Hosts that start together for the first time need not wait.
    #[must_use]
    pub fn may_take_over(&self, now: Timestamp) -> bool {
        if self.cfg.store.is_new {
            return true;
        }
        self.listed_since
            .is_some_and(|at| at == Timestamp::ZERO || now.since(at) >= LISTED_BEFORE_TAKEOVER)
    }
}
