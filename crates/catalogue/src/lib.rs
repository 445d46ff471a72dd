//! The catalogue: what operators declare.
//!
//! - [`declare`]: the declarations as written in JSON files.

pub mod declare;

pub use declare::{
    Catalogue, Class, CutOff, Domain, Entry, KeyLocation, Limits, Objective, Sharding, Upstream,
};
