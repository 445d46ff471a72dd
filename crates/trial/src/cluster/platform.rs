//! The platform's process and its admin commands.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use catalogue::accept::{ApplyConfig, BaseSource};
use catalogue::{Apply, ApplyEnd, ApplyInput, Catalogue, Sources};
use http::Method;
use ids::{OperatorId, Revision, UpstreamId, Version};
use own::{OwnershipRow, OwnershipRowChange};
use platform::{HostState, HttpPlatform, HttpSettings, ListedHost, Table as _, Token};
use serde::{Deserialize, Serialize};
use serde_json::json;
use standin::client;
use standin::platform::{Counters, Faults};

use super::process::Process;

/// Token that all hosts use.
pub const HOST_TOKEN: &str = "trial-host-token";
const OPERATOR: &str = "trial";
const OPERATOR_TOKEN: &str = "trial-operator-token";

#[derive(Debug)]
#[derive(Deserialize)]
struct Started {
    address: SocketAddr,
    admin_address: SocketAddr,
}

/// Body of the request that adds a host to the platform's list.
#[derive(Debug)]
#[derive(Serialize)]
struct ListedHostBody<'a> {
    domain: &'a ids::DomainId,
    control: SocketAddr,
    dispatch: SocketAddr,
    state: HostState,
}

/// The platform's process.
#[derive(Debug)]
pub struct PlatformProcess {
    /// Address of the platform's API.
    pub address: SocketAddr,
    admin: SocketAddr,
    _process: Process,
}

impl PlatformProcess {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't start.
    pub async fn start(binary: &Path, dir: &Path) -> anyhow::Result<Self> {
        let settings = dir.join("platform.json");
        let cfg = json!({
            "host_tokens": [HOST_TOKEN],
            "operators": {OPERATOR: OPERATOR_TOKEN},
            "admins": [OPERATOR],
        });
        std::fs::write(&settings, cfg.to_string()).context("write the platform's settings")?;
        let mut command = Command::new(binary);
        command
            .args(["standin", "platform", "--settings"])
            .arg(settings);
        let mut process = Process::spawn("platform", command, &dir.join("platform.log"))?;
        let started: Started = process.first_line().await?;
        Ok(Self {
            address: started.address,
            admin: started.admin_address,
            _process: process,
        })
    }

    /// Adds a host to the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses.
    pub async fn list_host(&self, listed: ListedHost) -> anyhow::Result<()> {
        let body = ListedHostBody {
            domain: &listed.domain,
            control: listed.control,
            dispatch: listed.dispatch,
            state: listed.state,
        };
        let path = format!("/admin/hosts/{}", listed.host);
        self.command(Method::PUT, &path, Some(&body)).await
    }

    /// Replaces the faults that the platform injects.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses.
    pub async fn set_faults(&self, faults: Faults) -> anyhow::Result<()> {
        self.command(Method::PUT, "/admin/faults", Some(&faults))
            .await
    }

    /// Returns the platform's counters since its start.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't answer.
    pub async fn counters(&self) -> anyhow::Result<Counters> {
        client::get(self.admin, "/admin/counters").await
    }

    async fn command<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> anyhow::Result<()> {
        let answer = client::call(self.admin, method, path, body).await?;
        let status = answer.status();
        anyhow::ensure!(
            status.is_success(),
            "{path}: {status} {}",
            String::from_utf8_lossy(answer.body())
        );
        Ok(())
    }

    fn client(&self, token: &'static str) -> anyhow::Result<HttpPlatform> {
        Ok(HttpPlatform::new(HttpSettings {
            address: self.address,
            token: Token::new(token)?,
            ..HttpSettings::default()
        }))
    }

    /// Applies a catalogue; returns its version.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted.
    pub async fn apply(&self, catalogue: Catalogue) -> anyhow::Result<Version> {
        let input = ApplyInput {
            catalogue,
            sources: Sources::default(),
            base: BaseSource::FirstRead {
                include_others: false,
            },
            expect: None,
            operator: OperatorId::new(OPERATOR)?,
            admin: true,
            change: None,
            message: "trial".into(),
            at_ms: now_ms(),
        };
        let mut apply = Apply::new(input, ApplyConfig::default());
        let client = self.client(OPERATOR_TOKEN)?;
        match operate::drive::drive(&client, &mut apply).await {
            ApplyEnd::Accepted { version, .. } | ApplyEnd::InForce { version, .. } => Ok(version),
            other => anyhow::bail!("apply the catalogue: {other:?}"),
        }
    }

    /// Reads the ownership row of an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't answer or the row is missing or malformed.
    pub async fn ownership_row(&self, upstream: &UpstreamId) -> anyhow::Result<OwnershipRow> {
        let key = OwnershipRow::key(upstream);
        let changes = self
            .client(HOST_TOKEN)?
            .changes(&key.0, Revision(0))
            .await?;
        let row = changes.rows.iter().find(|r| r.key == key);
        let row = row.with_context(|| format!("upstream {upstream} has no row"))?;
        match OwnershipRowChange::parse(row)? {
            OwnershipRowChange::Upstream(_, _, Some(row)) => Ok(row.as_ref().clone()),
            other => anyhow::bail!("row of {upstream}: {other:?}"),
        }
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
