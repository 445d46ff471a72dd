//! Grants from a coordinating host to an upstream and the upstream's health, as JSON over HTTP.
//!
//! A grant states which slices the upstream may serve, under which epoch, and for how long. Its
//! end is relative to a reading of the upstream's own clock from an earlier reply, so a grant
//! delayed in transit can't last longer than the coordinating host assumes.
//!
//! A request without a reading grants nothing. If its epoch is higher than any that the upstream
//! knows, it fences the upstream: grants of earlier epochs become void immediately, and the reply
//! lists the slices that the upstream held, so that the next coordinating host can grant the same
//! ones. A `GET` of [`GRANT_PATH`] returns the same reply and changes nothing.

use ids::{EntryId, Epoch, HostId, SliceNo};
use serde::{Deserialize, Serialize};

/// Path of the upstream's grant endpoint: `POST` a [`GrantRequest`], or `GET` the current state.
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
    /// Requests of these slices only.
    Slices(GrantSlices),
    /// The scope of the accepted grant with this sequence number and the same epoch.
    ///
    /// This keeps renewals short. The upstream refuses one unless that grant set its current scope.
    Unchanged(u64),
}

/// The complete set of slices that an upstream may serve.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSlices {
    /// Entry of the slices.
    pub entry: EntryId,
    /// Slices, in ascending order.
    pub slices: Vec<SliceNo>,
}

/// A coordinating host's message to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// Epoch of the coordinating host; the upstream refuses epochs below the highest it has seen.
    pub epoch: Epoch,
    /// Number of this message within the epoch. It increases with each message, and the upstream
    /// refuses lower ones.
    pub seq: u64,
    /// Coordinating host; the upstream refuses another one under the same epoch.
    pub coordinator: HostId,
    /// Incarnation of the upstream that the sender knows, from [`GrantReply::boot`].
    ///
    /// Required with a reading: the upstream refuses a grant for an earlier incarnation.
    pub boot: Option<u64>,
    /// What the upstream may serve; slices that are no longer included are revoked.
    pub scope: GrantScope,
    /// Time from the reading to the end of the grant, in milliseconds.
    pub ttl_ms: u32,
    /// Reading of the upstream's clock from an earlier reply, in microseconds; without it, the
    /// message grants nothing.
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
    /// Another host coordinates the upstream under this epoch.
    OtherCoordinator,
    /// The grant is for another incarnation of the upstream, or names none.
    OtherBoot,
    /// The grant had expired when it arrived, or its reading is in the future.
    Expired,
    /// The grant renews a scope that the upstream does not have.
    OtherScope,
}

/// The requests of a slice that are still running although the slice is no longer granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceRunning {
    /// Slice.
    pub slice: SliceNo,
    /// Number of requests still running.
    pub running: u32,
}

/// An upstream's reply to a [`GrantRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReply {
    /// Whether the message took effect.
    pub accepted: bool,
    /// Why it did not take effect.
    pub refusal: Option<GrantRefusal>,
    /// Random number chosen at each start of the upstream. An upstream has no grant after a
    /// restart.
    pub boot: u64,
    /// Highest epoch that the upstream knows.
    pub epoch: Epoch,
    /// Highest sequence number of that epoch.
    pub seq: u64,
    /// Reading of the upstream's clock when it replied, in microseconds.
    pub reading_us: u64,
    /// End of the grant by the upstream's clock, in microseconds; zero if it never had a grant.
    ///
    /// The grant is void if its epoch is earlier than `epoch`.
    pub until_us: u64,
    /// Scope of the last grant of any epoch; omitted from the reply to an accepted grant.
    pub scope: Option<GrantScope>,
    /// Slices that are no longer granted but still have running requests. A revocation is complete
    /// once this is empty; the sender repeats its message until then.
    pub running: Vec<SliceRunning>,
}

/// Health and load as reported by an upstream. The report may be out of date or wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthReport {
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Number of requests running.
    pub running: u32,
    /// Number of requests queued.
    pub queued: u32,
    /// Whether it is draining: it finishes its requests and should get no new ones.
    pub draining: bool,
    /// Random number chosen at each start of the upstream.
    pub boot: u64,
}
