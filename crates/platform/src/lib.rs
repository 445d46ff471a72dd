//! The platform's table service, object store and host list, as this system sees them.
//!
//! - [`table`]: rows, transactions and the [`Table`] trait.
//! - [`watch`]: following a table by its changes, and the [`Watch`] trait.
//! - [`objects`]: the [`Objects`] trait.
//! - [`hosts`]: the lagging list of hosts and the [`Hosts`] trait.
//! - [`error`]: what may go wrong, told apart by what is known of the effect.
//! - [`memory`]: the semantics of table and object store, in memory and free of I/O.
//! - [`fake`]: a platform in memory with scripted faults, for tests.
//! - [`protocol`]: the HTTP protocol.
//! - [`client`]: the platform over HTTP.

pub mod client;
pub mod error;
pub mod fake;
pub mod hosts;
pub mod memory;
pub mod objects;
pub mod protocol;
pub mod table;
pub mod watch;

pub use client::{HttpPlatform, HttpSettings, Token};
pub use error::PlatformError;
pub use fake::FakePlatform;
pub use hosts::{HostState, Hosts, ListedHost};
pub use memory::{MemoryObjects, MemoryTable};
pub use objects::Objects;
pub use table::{Changes, Check, Commit, Row, RowKey, Table, Txn, Write};
pub use watch::{Delta, Watch};
