//! Queue, slots, lease check, in-flight set and repeat detection of each upstream that a host
//! coordinates.
//!
//! One [`Dispatcher`] serves all upstreams of a coordinating host. It takes [`Event`]s and returns
//! [`Action`]s. Its contract with the I/O layer:
//!
//! - Each call that arrives gets exactly one final action, [`Action::Answer`] or
//!   [`Action::Refuse`], and none after [`Event::CallerGone`].
//! - Each [`Action::Send`] is followed by exactly one [`Event::Finished`], as soon as the
//!   connection is idle again or closed, also after [`Action::Abort`].
//! - [`Event::Tick`] comes no later than shortly after [`Dispatcher::next_wake`].
//!
//! A call passes through the modules in this order: `arrive` accepts it, [`repeat`] checks whether
//! its id is known, `upstream_queue` checks lease, stage and moves, [`queue`] orders it, [`limit`]
//! and [`service`] determine when the upstream can take it and whether it can still finish in time,
//! `send` sends it and `finish` ends it. `timer` and `moves` handle timeouts and changes of
//! ownership. [`verify`] checks the invariants that span these modules.

mod arrive;
mod call;
mod dispatcher;
mod finish;
pub mod limit;
mod message;
mod moves;
pub mod queue;
pub mod repeat;
mod send;
pub mod service;
mod settings;
mod timer;
mod upstream_queue;
pub mod verify;

pub use dispatcher::Dispatcher;
pub use limit::LimiterSettings;
pub use message::{Action, Arrival, CallEnd, Event, UpstreamLimits};
pub use queue::{QueueOrder, QueueSettings};
pub use settings::DispatcherSettings;
