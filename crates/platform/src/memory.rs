//! An in-memory table and object store without I/O.
//!
//! The fake and the stand-in server are both built on these, so the semantics are implemented once.
//!
//! - [`table`]: rows, transactions and changes by revision.
//! - [`objects`]: write-once objects.
//! - [`verify`]: checks the invariants of a table.

pub mod objects;
pub mod table;
pub mod verify;

pub use objects::{MemoryObjects, ObjectExists};
pub use table::{MemoryTable, Page, PageLimits};
pub use verify::TableFault;
