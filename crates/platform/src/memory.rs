//! The semantics of the table and the object store, held in memory and free of I/O.
//!
//! The fake and the stand-in server both run on these, so that the semantics stand once.
//!
//! - [`table`]: rows, transactions and changes by revision.
//! - [`objects`]: bodies that are written once.
//! - [`verify`]: checks the invariants of a table.

pub mod objects;
pub mod table;
pub mod verify;

pub use objects::{MemoryObjects, ObjectExists};
pub use table::{MemoryTable, Page, PageLimits};
pub use verify::TableFault;
