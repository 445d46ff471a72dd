//! HTTP server of an upstream stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, StatusCode};
use ids::Reason;
use ids::header::REQUEST_ID;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::grant::{GRANT_PATH, GrantRequest, HEALTH_PATH, HealthReport};

use super::admin::{ADMIN_PATH, AdminCommand, JOURNAL_PATH};
use super::answer::{answer, read_head, refusal};
use super::core::{Core, Execution, RequestHead};
use super::settings::UpstreamSettings;
use crate::http::{FullResponse, Request, json, read_body, respond};
use crate::journal::JournalLine;
use crate::links::{accepts_from, apply_to_listener, serve_over_link};
use crate::timer::sleep;

/// A running upstream stand-in; dropping it has the effect of [`Upstream::kill`].
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    server: Arc<Server>,
}

#[derive(Debug)]
struct Server {
    core: Core,
    slots: Arc<Semaphore>,
    connections: Arc<Semaphore>,
    stop: CancellationToken,
    kill: CancellationToken,
    tasks: TaskTracker,
}

impl Upstream {
    /// Starts an upstream on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen on the address or the journal file can't be opened.
    pub async fn bind(cfg: UpstreamSettings) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(cfg.listen)
            .await
            .with_context(|| format!("listen on {}", cfg.listen))?;
        let address = listener.local_addr().context("read own address")?;
        let server = Arc::new(Server {
            slots: Arc::new(Semaphore::new(cfg.slots as usize)),
            connections: Arc::new(Semaphore::new(cfg.connections as usize)),
            core: Core::new(cfg, rand::random())?,
            stop: CancellationToken::new(),
            kill: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        let accepting = Arc::clone(&server).accept(listener);
        server.spawn(accepting);
        Ok(Self { address, server })
    }

    /// Returns the address on which the upstream listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the journal so far.
    #[must_use]
    pub fn journal(&self) -> Vec<JournalLine> {
        self.server.core.journal()
    }

    /// Returns the current report of the health endpoint.
    #[must_use]
    pub fn health(&self) -> HealthReport {
        self.server.core.health()
    }

    /// Executes an admin command.
    pub fn admin(&self, command: &AdminCommand) {
        self.server.core.execute(command);
    }

    /// Stops accepting connections, finishes the requests in progress and stops.
    pub async fn stop(self) {
        self.server.stop.cancel();
        self.server.tasks.close();
        self.server.tasks.wait().await;
    }

    /// Closes all connections and drops all requests, like a killed process.
    pub fn kill(&self) {
        self.server.kill.cancel();
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Server {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let kill = self.kill.clone();
        self.tasks.spawn(async move {
            // Biased, so that a killed task does not continue when it observes the end of another
            // killed task.
            tokio::select! {
                biased;
                () = kill.cancelled() => {}
                () = task => {}
            }
        })
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut cuts = self.core.link_cuts.subscribe();
        loop {
            apply_to_listener(&listener, &cuts.borrow_and_update());
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = cuts.changed() => continue,
                () = self.stop.cancelled() => return,
            };
            // Accepting fails if descriptors are exhausted or the client has already disconnected.
            let Ok((socket, peer)) = accepted else {
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            if !accepts_from(&cuts.borrow(), peer.ip()) {
                // If this fails, the host observes an orderly close.
                let _ = socket.set_zero_linger();
                continue;
            }
            let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() else {
                continue;
            };
            let server = Arc::clone(&self);
            self.spawn(server.connection(socket, peer, permit));
        }
    }

    async fn connection(
        self: Arc<Self>,
        socket: TcpStream,
        peer: SocketAddr,
        _permit: OwnedSemaphorePermit,
    ) {
        if socket.set_nodelay(true).is_err() {
            return;
        }
        self.core.wait_while_frozen().await;
        sleep(millis(self.core.cfg.connect_cost_ms)).await;
        let stop = self.stop.clone();
        let cuts = self.core.link_cuts.subscribe();
        let handle = |req| Arc::clone(&self).handle(req);
        serve_over_link(socket, peer, cuts, stop, handle).await;
    }

    /// Answers a request with its id, if it has one.
    async fn handle(self: Arc<Self>, req: Request) -> FullResponse {
        let id = req.headers().get(REQUEST_ID).cloned();
        let mut response = self.respond_to(req).await;
        if let Some(id) = id {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }

    async fn respond_to(self: Arc<Self>, req: Request) -> FullResponse {
        self.core.wait_while_frozen().await;
        match (req.method(), req.uri().path()) {
            (&Method::GET, HEALTH_PATH) => self.probe().await,
            (&Method::GET, GRANT_PATH) if self.core.cfg.checks_grants => {
                json(StatusCode::OK, &self.core.granted())
            }
            (&Method::POST, GRANT_PATH) if self.core.cfg.checks_grants => self.grant(req).await,
            (_, HEALTH_PATH | GRANT_PATH) => respond(StatusCode::NOT_FOUND, ""),
            (&Method::GET, JOURNAL_PATH) => self.journal(),
            (&Method::POST, ADMIN_PATH) => self.admin(req).await,
            _ => self.serve(req).await,
        }
    }

    async fn probe(&self) -> FullResponse {
        let slot = self.slots.try_acquire();
        sleep(millis(self.core.cfg.probe_cost_ms)).await;
        self.core.wait_while_frozen().await;
        drop(slot);
        json(StatusCode::OK, &self.core.health())
    }

    async fn grant(&self, req: Request) -> FullResponse {
        let msg = match read_json::<GrantRequest>(req).await {
            Ok(msg) => msg,
            Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
        };
        self.core.wait_while_frozen().await;
        let reply = self.core.grant(&msg);
        if reply.accepted {
            return json(StatusCode::OK, &reply);
        }
        json(StatusCode::CONFLICT, &reply)
    }

    fn journal(&self) -> FullResponse {
        let mut text = Vec::new();
        for line in self.core.journal() {
            serde_json::to_writer(&mut text, &line).expect("journal lines serialize");
            text.push(b'\n');
        }
        respond(StatusCode::OK, text)
    }

    async fn admin(&self, req: Request) -> FullResponse {
        match read_json::<AdminCommand>(req).await {
            Ok(command) => self.core.execute(&command),
            Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
        }
        respond(StatusCode::OK, "")
    }

    /// Runs a request.
    ///
    /// This future is dropped if the client disconnects. A request that has not started does not
    /// run then; one that has started ends in a separate task.
    async fn serve(self: Arc<Self>, req: Request) -> FullResponse {
        let (parts, body) = req.into_parts();
        let head = read_head(&parts, &self.core.cfg, self.core.now());
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
        };
        match self.admit(&head).await {
            Ok((run, slot)) => self.run(&head, &body, run, slot).await,
            Err(reason) => refusal(reason),
        }
    }

    async fn admit(&self, req: &RequestHead) -> Result<(Execution, OwnedSemaphorePermit), Reason> {
        self.core.enqueue(self.slots.available_permits() > 0)?;
        let queued = QueueGuard(&self.core);
        let slot = self.slot_before_deadline(req).await?;
        self.core.wait_while_frozen().await;
        drop(queued);
        let run = self.core.start(req)?;
        Ok((run, slot))
    }

    async fn slot_before_deadline(
        &self,
        req: &RequestHead,
    ) -> Result<OwnedSemaphorePermit, Reason> {
        let slots = Arc::clone(&self.slots).acquire_owned();
        let Some(deadline) = req.deadline else {
            return Ok(slots.await.expect("the semaphore of slots is never closed"));
        };
        let wait = tokio::time::timeout(deadline.since(self.core.now()), slots).await;
        let Ok(slot) = wait else {
            return Err(Reason::DeadlineExpired);
        };
        Ok(slot.expect("the semaphore of slots is never closed"))
    }

    async fn run(
        self: &Arc<Self>,
        req: &RequestHead,
        body: &Bytes,
        run: Execution,
        slot: OwnedSemaphorePermit,
    ) -> FullResponse {
        let server = Arc::clone(self);
        let disconnected = CancellationToken::new();
        let _disconnect_guard = disconnected.clone().drop_guard();
        let work = self.spawn(async move {
            let cancelled = server.work(run.time, disconnected).await;
            server.core.wait_while_frozen().await;
            server.core.end(run, cancelled);
            drop(slot);
        });
        work.await.expect("the task does not panic");
        answer(req, body, &self.core.cfg)
    }

    /// Simulates work for `time`; returns whether it was cancelled because the client disconnected.
    async fn work(&self, time: Duration, disconnected: CancellationToken) -> bool {
        if self.core.cfg.cancels {
            return disconnected
                .run_until_cancelled(sleep(time))
                .await
                .is_none();
        }
        sleep(time).await;
        false
    }
}

/// Removes a request from the count of queued ones when dropped, also if its client disconnects.
#[derive(Debug)]
struct QueueGuard<'a>(&'a Core);

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.dequeue();
    }
}

async fn read_json<T: DeserializeOwned>(req: Request) -> anyhow::Result<T> {
    let body = read_body(req.into_body()).await?;
    serde_json::from_slice(&body).context("parse body")
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
