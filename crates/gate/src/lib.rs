//! All I/O on the path of a request; crate `route` makes the decisions.
//!
//! Modules, in the order in which a request passes them:
//!
//! - [`callers`]: the HTTP server for callers, and routing on the entry host.
//! - [`peer`]: framed connections between hosts.
//! - [`dispatch`]: the dispatch thread of the coordinating host.
//! - [`upstream`]: HTTP connections to upstreams.
//!
//! Shared by them:
//!
//! - [`settings`]: settings of all modules.
//! - [`context`]: state shared with the rest of the host: routing snapshot, peers, phase.
//! - [`call`]: a whole request and the reply to it, as passed between modules and hosts.
//! - [`headers`]: which headers are forwarded and which are removed.
//! - [`listener`]: closes a listener without cutting the connections of callers.
//! - [`framing`]: refuses requests with two contradictory body lengths.
//! - [`problem`]: the body of a refusal.
//! - [`counters`]: the metrics table and the counters.
//! - [`exposition`]: the metrics as text, for scrapers.
//!
//! For the control thread, outside the request path:
//!
//! - [`grants`]: grants and health reports over separate connections.

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
pub mod listener;
pub mod peer;
pub mod problem;
pub mod settings;
mod thread;
pub mod upstream;

pub use call::{Answer, Call, Refusal, Reply, RequestParts};
pub use callers::{Gate, GateError, HostAnswer, HostEndpoints, HostRequest, PathSettings};
pub use context::{GateContext, PeerTable, Phase};
pub use counters::{METRICS, MetricInfo, Metrics};
pub use dispatch::{
    DispatchChannels, DispatchCommand, DispatchEvent, DispatchThread, DispatchTx, LoadSample,
    UpstreamTarget,
};
pub use grants::{ControlCallError, GrantClient, GrantSettings};
pub use joint::{JointError, JointStart};
pub use settings::{DispatchSettings, GateSettings, PeerSettings, UpstreamSettings};
