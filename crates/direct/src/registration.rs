//! Registration of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{DomainId, EntryId, Timestamp, UpstreamId};
use smol_str::SmolStr;

/// Time for which a leaving upstream still gets requests on keys that no other upstream may run
/// yet, from when a host learns that it leaves: longer than a planned move takes.
const LEAVING_KEYS_GRACE: Duration = Duration::from_millis(800);
/// Registration of an upstream, as known to this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Id of this incarnation of the server.
    pub id: UpstreamId,
    /// Name under which the server registers; its incarnations may share it.
    pub server: SmolStr,
    /// Start of this incarnation, in milliseconds of the server's clock; none if the server does
    /// not report it and registers each incarnation under a name of its own.
    pub started_ms: Option<u64>,
    /// How often the server had written its registration; none if it does not count that. A lower
    /// count is that of an older registration.
    pub write_count: Option<u64>,
    /// The entry that it serves.
    pub entry: EntryId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// When this host learnt that it is leaving.
    pub leaving_since: Option<Timestamp>,
    /// Until when it is cold, by the clock of this host.
    pub cold_until: Timestamp,
    /// Whether its registration has been missing since the store was restored and may still be
    /// written again.
    pub is_missing: bool,
}

impl Registration {
    /// Returns whether this registration of an upstream was written before `other`, if both state how
    /// often the server had written it.
    pub(super) fn is_written_before(&self, other: &Self) -> bool {
        let counts = self.write_count.zip(other.write_count);
        counts.is_some_and(|(count, other)| count < other)
    }

    /// Returns until when its state allows requests on keys that it owns.
    pub(super) fn state_allows_owned_keys_until(&self) -> Timestamp {
        match (self.state, self.leaving_since) {
            (UpstreamState::Ready, _) => Timestamp::NEVER,
            (UpstreamState::Leaving, None) => Timestamp::ZERO,
            (UpstreamState::Leaving, Some(since)) => since + LEAVING_KEYS_GRACE,
        }
    }
}

/// State of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes new requests.
    Ready,
    /// It finishes the requests that it has.
    Leaving,
}
