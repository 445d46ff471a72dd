//! Trials with real processes over the small layout.

mod faults;
mod leaving;
mod losses;
mod support;
