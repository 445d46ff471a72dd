//! A TCP proxy that injects faults.
//!
//! - [`plan`]: the faults and their frequencies.
//! - [`exchange`]: applies faults to the bytes of one connection.
//! - [`server`]: its listener.
//! - [`admin`]: its admin endpoint over HTTP.

pub mod admin;
pub mod exchange;
pub mod plan;
mod pump;
pub mod server;

pub use admin::{COUNTS_PATH, CUT_PATH, PLAN_PATH, ProxyAdmin};
pub use plan::{Delay, Fault, FaultPlan, FaultShare};
pub use server::{FaultProxy, ProxyCounts, ProxySettings};
