//! Interfaces to the platform's table service, object store and host list.
//!
//! - [`table`]: rows, transactions and the [`Table`] trait.
//! - [`watch`]: reading the changes of a table, and the [`Watch`] trait.
//! - [`objects`]: the [`Objects`] trait.
//! - [`hosts`]: the list of hosts, which may be out of date, and the [`Hosts`] trait.
//! - [`error`]: errors, classified by what is known of the call's effect.
//! - [`memory`]: an in-memory table and object store without I/O.
//! - [`fake`]: an in-memory platform with configurable faults, for tests.
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
