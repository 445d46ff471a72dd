//! Operators who change one catalogue concurrently, and hosts that receive its rows, with faults
//! of the platform and the network.

mod racing;
mod spreading;
mod world;
