//! Grants that a coordinating host gives an upstream, as JSON over HTTP, and the upstream's health.
//!
//! A grant says which slices the upstream may serve, under which epoch, and for how long. Its end
//! counts from a reading of the upstream's own clock that the upstream gave in an earlier reply, so
//! a grant that was held up on its way can't last longer than the coordinating host reckons.
//!
//! A request without a reading grants nothing. If its epoch is higher than any that the upstream
//! knows, it fences: earlier epochs are void at once, and the reply says which slices the upstream
//! held, so that a successor can grant the same ones. A `GET` of [`GRANT_PATH`] replies likewise
//! and changes nothing.

use ids::{EntryId, Epoch, HostId, SliceNo};
use serde::{Deserialize, Serialize};

/// Path of the upstream's grant endpoint: `POST` a [`GrantRequest`], `GET` the present state.
pub const GRANT_PATH: &str = "/medlardyke/grant";
/// Path of the upstream's health endpoint, which answers `GET` with a [`HealthReport`].
pub const HEALTH_PATH: &str = "/medlardyke/health";

/// What a grant allows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum GrantScope {
    /// Any request of an entry that is not divided by key.
    Undivided,
    /// Requests of these slices and no others.
    Slices(GrantSlices),
    /// What the accepted grant with this sequence number of the same epoch allowed.
    ///
    /// A renewal is short this way. The upstream refuses it unless that grant set its present scope.
    Unchanged(u64),
}

/// The full set of slices that an upstream may serve.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSlices {
    /// Entry of the slices.
    pub entry: EntryId,
    /// Slices, rising.
    pub slices: Vec<SliceNo>,
}

/// A coordinating host's message to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// Epoch of the coordinating host; lower ones than the highest seen are refused.
    pub epoch: Epoch,
    /// Number of this message within the epoch; it rises with each, and lower ones are refused.
    pub seq: u64,
    /// Coordinating host; another one under the same epoch is refused.
    pub coordinator: HostId,
    /// Run of the upstream that the sender knows, from [`GrantReply::boot`].
    ///
    /// Needed with a reading: a grant meant for an earlier run is refused.
    pub boot: Option<u64>,
    /// What the upstream may serve; a smaller set than before revokes the rest.
    pub scope: GrantScope,
    /// Time from the reading to the grant's end, in milliseconds.
    pub ttl_ms: u32,
    /// Reading of the upstream's clock from an earlier reply, in microseconds; without it nothing
    /// is granted.
    pub reading_us: Option<u64>,
}

/// Why an upstream refused a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantRefusal {
    /// The upstream knows a higher epoch.
    LowerEpoch,
    /// The upstream knows a higher sequence number of this epoch.
    Reordered,
    /// Another host coordinates under this epoch.
    OtherCoordinator,
    /// The grant is meant for another run of the upstream, or names none.
    OtherBoot,
    /// The grant's time was over when it came, or its reading lies in the future.
    Expired,
    /// The grant renews a scope that the upstream does not have.
    OtherScope,
}

/// Requests of one slice that run although the slice is no longer granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceRunning {
    /// Slice.
    pub slice: SliceNo,
    /// Requests that still run.
    pub running: u32,
}

/// An upstream's reply to a [`GrantRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReply {
    /// Whether the message took effect.
    pub accepted: bool,
    /// Why it did not.
    pub refusal: Option<GrantRefusal>,
    /// Drawn at random at each start of the upstream; an upstream that started again has no grant.
    pub boot: u64,
    /// Highest epoch that the upstream knows.
    pub epoch: Epoch,
    /// Highest sequence number of that epoch.
    pub seq: u64,
    /// The upstream's clock when it replied, in microseconds.
    pub reading_us: u64,
    /// End of the grant by the upstream's clock, in microseconds; zero if it never had one.
    ///
    /// The grant may be of an earlier epoch than `epoch`, and is then void.
    pub until_us: u64,
    /// Scope of the last grant, of whatever epoch; left out of the reply to an accepted grant.
    pub scope: Option<GrantScope>,
    /// Slices that are no longer granted and still run; a revocation is complete once this is
    /// empty. The sender asks again until then.
    pub running: Vec<SliceRunning>,
}

/// What an upstream says of its health and load. It may lag or be wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthReport {
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Whether it wants to leave: it finishes what it has and should get no new work.
    pub draining: bool,
    /// Drawn at random at each start of the upstream.
    pub boot: u64,
}
