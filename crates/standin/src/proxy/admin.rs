//! Admin endpoint of a proxy, over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use http::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::plan::FaultPlan;
use super::server::FaultProxy;
use crate::http::{FullResponse, Request, json, read_body, respond, serve_connection};

/// Path that accepts a `POST` of a [`FaultPlan`] in JSON.
pub const PLAN_PATH: &str = "/plan";
/// Path that closes all current connections on `POST`.
pub const CUT_PATH: &str = "/cut";
/// Path that answers `GET` with the [`super::ProxyCounts`].
pub const COUNTS_PATH: &str = "/counts";

/// The admin endpoint of a proxy; it stops when dropped.
#[derive(Debug)]
pub struct ProxyAdmin {
    address: SocketAddr,
    stop: CancellationToken,
}

impl ProxyAdmin {
    /// Starts the admin endpoint of `proxy` at `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint can't listen on the address.
    pub async fn bind(proxy: Arc<FaultProxy>, listen: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("listen on {listen}"))?;
        let address = listener.local_addr().context("read own address")?;
        let stop = CancellationToken::new();
        let accepting = accept(proxy, listener, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self { address, stop })
    }

    /// Returns the address of the endpoint.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ProxyAdmin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(proxy: Arc<FaultProxy>, listener: TcpListener, stop: CancellationToken) {
    // Accepting fails only if descriptors are exhausted; the admin endpoint stops then.
    while let Ok((socket, _)) = listener.accept().await {
        let proxy = Arc::clone(&proxy);
        let stop = stop.clone();
        tokio::spawn(async move {
            serve_connection(socket, stop, |req| handle(&proxy, req)).await;
        });
    }
}

async fn handle(proxy: &FaultProxy, req: Request) -> FullResponse {
    match (req.method(), req.uri().path()) {
        (&Method::GET, COUNTS_PATH) => json(StatusCode::OK, &proxy.counts()),
        (&Method::POST, CUT_PATH) => {
            proxy.cut();
            respond(StatusCode::OK, "")
        }
        (&Method::POST, PLAN_PATH) => match read_plan(req).await {
            Ok(plan) => {
                proxy.set_plan(plan);
                respond(StatusCode::OK, "")
            }
            Err(e) => respond(StatusCode::BAD_REQUEST, format!("{e:#}")),
        },
        _ => respond(StatusCode::NOT_FOUND, ""),
    }
}

async fn read_plan(req: Request) -> anyhow::Result<FaultPlan> {
    let body = read_body(req.into_body()).await?;
    serde_json::from_slice(&body).context("parse plan")
}
