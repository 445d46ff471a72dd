//! Requests the version in force from entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow, bail};
use bytes::Bytes;
use futures::future::join_all;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use ids::{DomainId, HostId, Revision, Version};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Path at which hosts serve their status.
pub const STATUS_PATH: &str = "/medlardyke/status";
/// Timeout of the request to one host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Status that a host reports.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostStatus {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Version of the catalogue in force.
    pub catalogue_version: Version,
    /// Time since it last read the catalogue, in milliseconds, if known.
    #[serde(default)]
    pub catalogue_age_ms: Option<u64>,
    /// Revision of the ownership that it has read.
    #[serde(default)]
    pub revision: Revision,
}

/// The result of querying one host.
#[derive(Debug)]
pub struct HostReply {
    /// Address.
    pub address: SocketAddr,
    /// Status, or the error of the request.
    pub answer: anyhow::Result<HostStatus>,
}

impl HostReply {
    /// Returns whether the host has `version` or a higher one in force.
    #[must_use]
    pub fn has(&self, version: Version) -> bool {
        let answer = self.answer.as_ref();
        answer.is_ok_and(|s| s.catalogue_version >= version)
    }
}

/// Queries all hosts concurrently; the replies have the order of `hosts`.
pub async fn query_all(hosts: &[SocketAddr]) -> Vec<HostReply> {
    join_all(hosts.iter().map(|&address| query(address))).await
}

async fn query(address: SocketAddr) -> HostReply {
    let answer = match timeout(ANSWER_TIMEOUT, get(address)).await {
        Ok(answer) => answer,
        Err(_) => Err(anyhow!("no answer within {ANSWER_TIMEOUT:?}")),
    };
    let answer = answer.with_context(|| format!("ask host at {address}"));
    HostReply { address, answer }
}

async fn get(address: SocketAddr) -> anyhow::Result<HostStatus> {
    let stream = TcpStream::connect(address).await.context("connect")?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let req = Request::get(STATUS_PATH).header(HOST, address.to_string());
    let connection = AbortOnDrop(tokio::spawn(connection));
    let res = sender
        .send_request(req.body(Empty::<Bytes>::new())?)
        .await?;
    if res.status() != StatusCode::OK {
        bail!("status {}", res.status());
    }
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body.map_err(|e| anyhow!("read answer: {e}"))?;
    drop(connection);
    serde_json::from_slice(&body.to_bytes()).context("read answer")
}

/// Aborts a task when dropped.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
