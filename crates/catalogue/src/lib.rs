//! The catalogue: the domains, entries and upstreams that operators declare.
//!
//! - [`declare`]: the declarations as written in JSON files.
//! - [`load`](mod@load): reads and writes a directory of declarations.
//! - [`schema`]: JSON schemas of the files, and validation against them.
//! - [`verify`](mod@verify): checks values and references between declarations.
//! - [`fault`]: faults of declarations, with file and JSON pointer.
//! - [`document`]: other JSON files, validated in the same way.
//! - [`item`]: the items that a catalogue consists of.
//! - [`rows`]: the rows that store the catalogue in the platform's table.
//! - [`in_force`]: the catalogue as one reader assembles it from table rows.
//! - [`base`]: the item versions that a directory of declarations was last synchronized with.
//! - [`mod@plan`]: the changes that applying declarations would make, and what prevents them.
//! - [`accept`]: the state machine that submits a change to the platform.
//! - [`history`]: earlier versions, reconstructed by undoing changes one by one.
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
mod json;
pub mod load;
pub mod plan;
pub mod rows;
pub mod schema;
pub mod verify;

pub use accept::{Apply, ApplyEnd, ApplyInput};
pub use base::{Base, BaseItem};
pub use declare::{
    Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Limits, Objective, Sharding, Upstream,
};
pub use difference::{Difference, differences};
pub use fault::{Fault, Faults};
pub use history::PastCatalogue;
pub use in_force::{AppliedRows, EffectiveCatalogue, RowFault};
pub use item::{ContentHash, Item, ItemKey};
pub use load::{load, store};
pub use plan::{Plan, PlanInput, plan};
pub use rows::{Head, ItemRow};
pub use schema::FileKind;
pub use verify::{Sources, verify};
