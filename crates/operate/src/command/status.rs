//! `status`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::Version;
use platform::Table;
use serde::Serialize;
use serde_json::json;

use super::{CommandResult, Report};
use crate::exit::Exit;
use crate::hosts::{HostReply, HostStatus, query_all};
use crate::read::{self, ReadError};
use crate::render;

/// Status of one host in the report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct HostReport {
    /// Address.
    pub address: SocketAddr,
    /// Status that the host reported, if it answered.
    #[serde(flatten)]
    pub status: Option<HostStatus>,
    /// Error of the request, if the host did not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Number of versions that the host lacks, if the newest is known.
    pub behind: Option<u64>,
    /// Time since the first version that it lacks was accepted, in milliseconds.
    pub lag_ms: Option<u64>,
}

/// Shows the version in force on each host, and by how much each lags at `now_ms`.
///
/// If the platform can't be reached, the newest version is unknown, but the hosts are still
/// queried.
///
/// # Errors
///
/// Never fails: the report contains the errors of reads.
pub async fn status<P: Table>(platform: &P, hosts: &[SocketAddr], now_ms: u64) -> CommandResult {
    let newest = read::in_force(platform).await;
    let replies = query_all(hosts).await;
    let newest = newest.map(|f| f.version());
    let accepted = match &newest {
        Ok(newest) => accepted_at(platform, &replies, *newest).await,
        Err(_) => BTreeMap::new(),
    };
    let hosts: Vec<HostReport> = replies
        .into_iter()
        .map(|r| host_report(r, newest.as_ref().ok().copied(), &accepted, now_ms))
        .collect();
    Ok(report(&hosts, newest))
}

/// Reads when the first version that each host lacks was accepted, keyed by that version.
async fn accepted_at<P: Table>(
    platform: &P,
    replies: &[HostReply],
    newest: Version,
) -> BTreeMap<Version, u64> {
    let mut accepted = BTreeMap::new();
    for status in replies.iter().filter_map(|r| r.answer.as_ref().ok()) {
        let missing = status.catalogue_version.next();
        if missing > newest || accepted.contains_key(&missing) {
            continue;
        }
        let rows = read::changes(platform, status.catalogue_version, missing).await;
        if let Some(row) = rows.ok().and_then(|mut rows| rows.pop()) {
            accepted.insert(missing, row.at_ms);
        }
    }
    accepted
}

fn host_report(
    reply: HostReply,
    newest: Option<Version>,
    accepted: &BTreeMap<Version, u64>,
    now_ms: u64,
) -> HostReport {
    let (status, error) = match reply.answer {
        Ok(status) => (Some(status), None),
        Err(e) => (None, Some(format!("{e:#}"))),
    };
    let version = status.as_ref().map(|s| s.catalogue_version);
    let behind = newest.zip(version).map(|(n, v)| n.0.saturating_sub(v.0));
    let accepted_ms = version.and_then(|v| accepted.get(&v.next()));
    let lag_ms = match behind {
        Some(0) => Some(0),
        _ => accepted_ms.map(|at| now_ms.saturating_sub(*at)),
    };
    HostReport {
        address: reply.address,
        status,
        error,
        behind,
        lag_ms,
    }
}

fn report(hosts: &[HostReport], newest: Result<Version, ReadError>) -> Report {
    let everywhere = hosts.iter().all(|h| h.behind == Some(0));
    let exit = match &newest {
        Err(_) => Exit::Unreachable,
        Ok(_) if everywhere => Exit::Done,
        Ok(_) => Exit::NotEverywhere,
    };
    let error = newest.as_ref().err().map(ToString::to_string);
    let version = newest.ok();
    let text = render::status(hosts, version, error.as_deref());
    let mut json = json!({"version": version, "hosts": hosts});
    if let Some(error) = error {
        json["error"] = json!(error);
    }
    Report::new(exit, text, json)
}
