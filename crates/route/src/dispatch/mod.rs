//! Queue, slots, lease check, in-flight set and repeats of each upstream that a host coordinates.
//!
//! One [`Dispatcher`] serves all upstreams of a coordinating host. It is told [`Event`]s and
//! answers with [`Action`]s. Its contract with the I/O layer:
//!
//! - Each call that arrives gets exactly one final action: [`Action::Answer`] or
//!   [`Action::Refuse`]; none after [`Event::CallerGone`].
//! - Each [`Action::Send`] is answered by exactly one [`Event::Finished`], as soon as the
//!   connection is idle again or closed, also after [`Action::Abort`].
//! - [`Event::Tick`] comes no later than shortly after [`Dispatcher::next_wake`].
//!
//! A call goes through the modules in this order: `arrive` takes it in, [`repeat`] finds out
//! whether its id is known, `lane` checks lease, stage and moves, [`queue`] orders it, [`limit`]
//! and [`service`] say when the upstream takes it and whether it can still finish in time, `send`
//! sends it and `finish` ends it. `timer` and `moves` hold what time and changes of ownership
//! bring about. [`verify`] checks that all of them agree.

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
pub use message::{Action, Arrival, Ended, Event, UpstreamLimits};
pub use queue::{QueueOrder, QueueSettings};
pub use settings::DispatcherSettings;
