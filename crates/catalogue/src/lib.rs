//! The catalogue: what operators declare.
//!
//! - [`declare`]: the declarations as written in JSON files.
//! - [`load`](mod@load): reading and writing a directory of declarations.
//! - [`shape`]: JSON schemas, and all faults against them.
//! - [`verify`](mod@verify): checks that declarations make sense together.
//! - [`fault`]: faults of declarations, with their place.
//! - [`document`]: other files of JSON, checked in the same way.
//! - [`item`]: the items that a catalogue consists of.
//! - [`rows`]: how the catalogue stands in the platform's table.
//! - [`in_force`]: the catalogue as one reader knows it from table rows.
//! - [`base`]: what a directory of declarations was last in agreement with.
//! - [`mod@plan`]: what applying declarations would change, and what stands against it.
//! - [`accept`]: the state machine that gets a change accepted.
//! - [`history`]: earlier versions, got by undoing changes one by one.
//! - [`difference`]: differences between two states of an item.

pub mod accept;
pub mod base;
pub mod declare;
pub mod difference;
pub mod document;
pub mod fault;
pub mod history;
pub mod in_force;
pub mod item;
pub mod load;
pub mod plan;
pub mod rows;
pub mod shape;
mod strict;
pub mod verify;

pub use accept::{Apply, Intention, Verdict};
pub use base::{Base, BaseItem};
pub use declare::{
    Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Limits, Objective, Sharding, Upstream,
};
pub use difference::{Difference, differences};
pub use fault::{Fault, Faults};
pub use history::Past;
pub use in_force::{Applied, InForce, RowFault};
pub use item::{ContentHash, Item, ItemKey};
pub use load::{load, store};
pub use plan::{Plan, Wanted, plan};
pub use rows::{Head, ItemRow};
pub use shape::FileKind;
pub use verify::{Sources, verify};
