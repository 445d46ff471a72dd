//! Commands to an upstream stand-in.

use serde::{Deserialize, Serialize};

use super::settings::{LoadReport, ServiceTime};

/// Path of the admin endpoint: `POST` an [`AdminCommand`] in JSON.
pub const ADMIN_PATH: &str = "/admin";
/// Path of the journal endpoint, which answers `GET` with JSON lines.
pub const JOURNAL_PATH: &str = "/journal";

/// A command to an upstream stand-in, such as `"drain"` or `{"freeze-ms": 500}`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminCommand {
    /// Announces by the health endpoint that the upstream wants to leave.
    Drain,
    /// Takes the announcement back.
    Undrain,
    /// Stands still for so many milliseconds, in all that it does.
    FreezeMs(u64),
    /// Changes how true the reported load is.
    LoadReport(LoadReport),
    /// Changes how long requests run.
    ServiceTime(ServiceTime),
    /// Sheds all requests, or stops doing so.
    Shed(bool),
}
