//! The catalogue: what operators declare.
//!
//! - [`declare`]: the declarations as written in JSON files.
//! - [`load`](mod@load): reading and writing a directory of declarations.
//! - [`shape`]: JSON schemas, and all faults against them.
//! - [`verify`](mod@verify): checks that declarations make sense together.
//! - [`fault`]: faults of declarations, with their place.
//! - [`item`]: the items that a catalogue consists of.
//! - [`rows`]: how the catalogue stands in the platform's table.
//! - [`in_force`]: the catalogue as one host knows it from table rows.

pub mod declare;
pub mod fault;
pub mod in_force;
pub mod item;
pub mod load;
pub mod rows;
pub mod shape;
mod strict;
pub mod verify;

pub use declare::{
    Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Limits, Objective, Sharding, Upstream,
};
pub use fault::{Fault, Faults};
pub use in_force::{Applied, InForce, RowFault};
pub use item::{ContentHash, Item, ItemKey};
pub use load::{load, store};
pub use rows::{Head, ItemRow};
pub use shape::FileKind;
pub use verify::{Sources, verify};
