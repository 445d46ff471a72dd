//! Test commands over HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use ids::{HostId, Revision};
use platform::protocol::{ChangesQuery, HostBody};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::faults::Faults;
use super::server::Shared;
use super::service::refusal;
use super::settings::RateLimits;
use crate::http::{FullResponse, Request, json, read_body, respond};

const FAULTS_PATH: &str = "/admin/faults";
const RATES_PATH: &str = "/admin/rates";
const LAG_PATH: &str = "/admin/lag";
const COUNTERS_PATH: &str = "/admin/counters";
const AUDIT_PATH: &str = "/admin/audit";
const HOSTS_PATH: &str = "/admin/hosts/";

/// Body that sets the lag of the list of hosts.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LagBody {
    lag_ms: u64,
}

/// Body that lists a host; the path holds the host's name.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ListedBody {
    domain: ids::DomainId,
    control: std::net::SocketAddr,
    dispatch: std::net::SocketAddr,
    state: platform::HostState,
}

/// Executes one command.
pub(super) async fn serve(shared: Arc<Shared>, req: Request) -> FullResponse {
    let (head, body) = req.into_parts();
    let Ok(body) = read_body(body).await else {
        return refusal(StatusCode::BAD_REQUEST, "body cut");
    };
    let query = head.uri.query().unwrap_or_default();
    command(&shared, &head.method, head.uri.path(), query, &body).unwrap_or_else(|error| {
        // Commands come from tests, so the answer includes the full error.
        refusal(StatusCode::BAD_REQUEST, &format!("{error:#}"))
    })
}

fn command(
    shared: &Shared,
    method: &Method,
    path: &str,
    query: &str,
    body: &Bytes,
) -> anyhow::Result<FullResponse> {
    if let Some(name) = path.strip_prefix(HOSTS_PATH) {
        return host_command(shared, method, HostId::new(name)?, body);
    }
    match (method, path) {
        (&Method::GET, FAULTS_PATH) => return Ok(json(StatusCode::OK, &shared.faults())),
        (&Method::GET, COUNTERS_PATH) => return Ok(json(StatusCode::OK, &shared.counters())),
        (&Method::GET, AUDIT_PATH) => {
            let since = ChangesQuery::parse(query).map_or(Revision(0), |q| q.since);
            return Ok(json(StatusCode::OK, &shared.audit(since)));
        }
        (&Method::PUT, FAULTS_PATH) => shared.set_faults(parse::<Faults>(body)?),
        (&Method::PUT, RATES_PATH) => shared.set_rates(parse::<RateLimits>(body)?),
        (&Method::PUT, LAG_PATH) => {
            let LagBody { lag_ms } = parse(body)?;
            shared.set_lag(Duration::from_millis(lag_ms));
        }
        _ => return Ok(refusal(StatusCode::NOT_FOUND, "no such command")),
    }
    Ok(no_content())
}

fn host_command(
    shared: &Shared,
    method: &Method,
    host: HostId,
    body: &Bytes,
) -> anyhow::Result<FullResponse> {
    match *method {
        Method::PUT => {
            let listed: ListedBody = parse(body)?;
            let listed = HostBody {
                host,
                domain: listed.domain,
                control: listed.control,
                dispatch: listed.dispatch,
                state: listed.state,
            };
            shared.put_host(listed.into());
        }
        Method::DELETE => shared.remove_host(host),
        _ => return Ok(refusal(StatusCode::METHOD_NOT_ALLOWED, "PUT or DELETE")),
    }
    Ok(no_content())
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> anyhow::Result<T> {
    Ok(serde_json::from_slice(body)?)
}

fn no_content() -> FullResponse {
    respond(StatusCode::NO_CONTENT, Bytes::new())
}
