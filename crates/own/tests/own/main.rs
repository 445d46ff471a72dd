//! Tests of the ownership machine, most of them in a simulation.

mod cost;
mod epochs;
mod interleaving;
mod plain;
mod simulation;
mod times;
