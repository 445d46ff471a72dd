//! Request routing decisions: where a request goes, whether it is admitted, when it is sent, and
//! whether it is retried after a failed attempt.
//!
//! Nothing here does I/O, reads a clock or draws unseeded random numbers. An entry host uses these
//! modules, in the order in which a request passes them:
//!
//! - [`ownership`]: which upstream owns which slices, from the local replica of the table; input of
//!   the next.
//! - [`router`]: the compiled snapshot that maps path and key to upstream and host.
//! - [`deadline`]: parsing of the deadline header.
//! - [`admit`]: rate and concurrency limits of entries at one entry host.
//! - [`pick`]: choice of an upstream for entries that are not divided by key.
//! - [`budget`] and [`retry`]: whether and when a request is retried.
//!
//! The coordinating host of an upstream uses:
//!
//! - [`dispatch`]: queue, slots, lease check, in-flight set and repeat detection of each upstream.
//!
//! [`key`] holds the small keys that all of them share.

pub mod admit;
pub mod budget;
pub mod deadline;
pub mod dispatch;
pub mod key;
pub mod ownership;
mod path;
pub mod pick;
pub mod retry;
pub mod router;

pub use admit::{Admission, AdmissionPermit, AdmissionSettings, Rejection};
pub use budget::{BudgetSettings, RetryBudget};
pub use deadline::DeadlineSettings;
pub use dispatch::{
    Action, Arrival, CallEnd, Dispatcher, DispatcherSettings, Event, LimiterSettings, QueueOrder,
    QueueSettings, UpstreamLimits,
};
pub use key::{CallKey, EntryKey, HostKey, UpstreamKey};
pub use ownership::{Ownership, OwnershipChange, UpstreamOwnership};
pub use pick::{Picker, PickerSettings};
pub use retry::{
    AttemptEnd, InFlight, Ready, RequestEnd, RetryDecision, RetrySettings, RetryState,
};
pub use router::{EntryRoute, RouteMatch, Router, Target, UpstreamRoute};
