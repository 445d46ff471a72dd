//! Operators who race and hosts that learn of it, on a platform and a network that fail.

mod racing;
mod spreading;
mod world;
