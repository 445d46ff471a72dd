//! Commands to an upstream stand-in.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use super::settings::{LoadReport, ServiceTime};
use crate::links::LinkCut;

/// Path of the admin endpoint: `POST` an [`AdminCommand`] in JSON.
pub const ADMIN_PATH: &str = "/admin";
/// Path of the journal endpoint, which answers `GET` with JSON lines.
pub const JOURNAL_PATH: &str = "/journal";

/// A command to an upstream stand-in, such as `"drain"` or `{"freeze-ms": 500}`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminCommand {
    /// Announces through the health endpoint that the upstream is draining.
    Drain,
    /// Withdraws the announcement.
    Undrain,
    /// Suspends all processing for this number of milliseconds.
    FreezeMs(u64),
    /// Changes how the reported load deviates from the actual load.
    LoadReport(LoadReport),
    /// Changes the distribution of service times.
    ServiceTime(ServiceTime),
    /// Sheds all requests, or stops doing so.
    Shed(bool),
    /// Cuts the links to the hosts with these addresses.
    CutLinks {
        /// Addresses of the hosts.
        hosts: Vec<IpAddr>,
        /// How the links fail.
        how: LinkCut,
    },
    /// Restores the links to all hosts.
    RestoreLinks,
}
