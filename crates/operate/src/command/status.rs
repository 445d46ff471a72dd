//! `status`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::Version;
use platform::Table;
use serde::Serialize;
use serde_json::json;

use super::{Outcome, Report};
use crate::exit::Exit;
use crate::hosts::{Asked, HostStatus, ask_all};
use crate::read::{self, ReadError};
use crate::render;

/// One host of the report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct HostLine {
    /// Address.
    pub address: SocketAddr,
    /// What the host said, if it answered.
    #[serde(flatten)]
    pub status: Option<HostStatus>,
    /// Why there is no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// How many versions the host lacks, if the newest is known.
    pub behind: Option<u64>,
    /// How long the first version that it lacks has been accepted, in milliseconds.
    pub lag_ms: Option<u64>,
}

/// Shows the version in force on each host, and how long each has lagged at `now_ms`.
///
/// Without the platform the newest version is not known, but the hosts still answer.
///
/// # Errors
///
/// None: what can't be read is in the report.
pub async fn status<P: Table>(platform: &P, hosts: &[SocketAddr], now_ms: u64) -> Outcome {
    let newest = read::in_force(platform).await;
    let asked = ask_all(hosts).await;
    let newest = newest.map(|f| f.version());
    let accepted = match &newest {
        Ok(newest) => accepted_at(platform, &asked, *newest).await,
        Err(_) => BTreeMap::new(),
    };
    let lines: Vec<HostLine> = asked
        .into_iter()
        .map(|a| host_line(a, newest.as_ref().ok().copied(), &accepted, now_ms))
        .collect();
    Ok(report(&lines, newest))
}

/// Reads when the first version that some host lacks was accepted, by that version.
async fn accepted_at<P: Table>(
    platform: &P,
    asked: &[Asked],
    newest: Version,
) -> BTreeMap<Version, u64> {
    let mut accepted = BTreeMap::new();
    for status in asked.iter().filter_map(|a| a.answer.as_ref().ok()) {
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

fn host_line(
    asked: Asked,
    newest: Option<Version>,
    accepted: &BTreeMap<Version, u64>,
    now_ms: u64,
) -> HostLine {
    let (status, error) = match asked.answer {
        Ok(status) => (Some(status), None),
        Err(e) => (None, Some(format!("{e:#}"))),
    };
    let version = status.as_ref().map(|s| s.catalogue_version);
    let behind = newest.zip(version).map(|(n, v)| n.0.saturating_sub(v.0));
    let since = version.and_then(|v| accepted.get(&v.next()));
    let lag_ms = match behind {
        Some(0) => Some(0),
        _ => since.map(|at| now_ms.saturating_sub(*at)),
    };
    HostLine {
        address: asked.address,
        status,
        error,
        behind,
        lag_ms,
    }
}

fn report(lines: &[HostLine], newest: Result<Version, ReadError>) -> Report {
    let everywhere = lines.iter().all(|l| l.behind == Some(0));
    let exit = match &newest {
        Err(_) => Exit::Unreachable,
        Ok(_) if everywhere => Exit::Done,
        Ok(_) => Exit::NotEverywhere,
    };
    let error = newest.as_ref().err().map(ToString::to_string);
    let version = newest.ok();
    let text = render::status(lines, version, error.as_deref());
    let mut json = json!({"version": version, "hosts": lines});
    if let Some(error) = error {
        json["error"] = json!(error);
    }
    Report::new(exit, text, json)
}
