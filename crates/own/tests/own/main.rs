//! Tests of the ownership machine, many of them in one small world.

mod cost;
mod interleaving;
mod plain;
mod simulation;
mod times;
