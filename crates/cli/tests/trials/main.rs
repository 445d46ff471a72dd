//! Trials with real processes in the small layout.

mod faults;
mod leaving;
mod losses;
mod support;
