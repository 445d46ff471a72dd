//! All I/O on the path of a request; the decisions come from `route`.
//!
//! Filters, in the order in which a request meets them:
//!
//! - [`callers`]: the HTTP server towards callers and the entry side of the path.
//! - [`peer`]: framed connections between hosts.
//! - [`dispatch`]: the duty of the coordinating host.
//! - [`upstream`]: HTTP connections to upstreams.
//!
//! What they share:
//!
//! - [`settings`]: settings of all parts.
//! - [`context`]: what the rest of the host tells all parts: routing snapshot, peers, phase.
//! - [`call`]: a whole request, and the reply to it, between the parts.
//! - [`headers`]: which headers go on and which stay.
//! - [`framing`]: refuses requests that say in two ways where their body ends.
//! - [`problem`]: the body of a refusal.
//! - [`counters`]: the metrics table and its counters.
//! - [`exposition`]: the same as text, for scrapers.
//!
//! Beside the path, for control:
//!
//! - [`grants`]: grants and health reports over connections of their own.

mod body;
pub mod call;
pub mod callers;
pub mod context;
pub mod counters;
pub mod dispatch;
pub mod exposition;
pub mod framing;
pub mod grants;
pub mod headers;
pub mod joint;
pub mod peer;
pub mod problem;
pub mod settings;
mod thread;
pub mod upstream;

pub use call::{Answer, Call, Parts, Refusal, Reply};
pub use callers::{Gate, GateError, OwnAnswer, OwnEndpoints, OwnRequest, PathSettings};
pub use context::{GateContext, PeerTable, Phase};
pub use counters::{METRICS, MetricInfo, Metrics};
pub use dispatch::{
    DispatchChannels, DispatchDuty, DispatchTx, LoadSample, Notice, ToDispatch, UpstreamTarget,
};
pub use grants::{ControlCallError, GrantClient, GrantSettings};
pub use joint::{JointError, JointStart};
pub use settings::{DispatchSettings, GateSettings, PeerSettings, UpstreamSettings};
