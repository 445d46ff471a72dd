//! Sockets of an upstream stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, StatusCode};
use ids::Reason;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::grant::{GRANT_PATH, GrantRequest, HEALTH_PATH, HealthReport};

use super::admin::{ADMIN_PATH, AdminCommand, JOURNAL_PATH};
use super::answer::{answer, read_head, refusal};
use super::core::{Claimed, Core, Run};
use super::settings::UpstreamSettings;
use crate::http::{Request, Whole, json, read_body, respond, serve_connection};
use crate::journal::JournalLine;
use crate::timer::sleep;

/// A running upstream stand-in; it is killed when dropped.
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
    /// Starts an upstream on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the journal file can't be opened.
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

    /// Returns what the health endpoint says at the moment.
    #[must_use]
    pub fn health(&self) -> HealthReport {
        self.server.core.health()
    }

    /// Obeys a command.
    pub fn admin(&self, command: &AdminCommand) {
        self.server.core.obey(command);
    }

    /// Accepts no more connections, finishes the requests under way and stops.
    pub async fn stop(self) {
        self.server.stop.cancel();
        self.server.tasks.close();
        self.server.tasks.wait().await;
    }

    /// Cuts all connections and drops all requests, as a killed process does.
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
            // A killed task must not take notice of the end of another killed one.
            tokio::select! {
                biased;
                () = kill.cancelled() => {}
                () = task => {}
            }
        })
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            // An accept fails for the lack of descriptors or because the client is gone already.
            let Ok((socket, _)) = accepted else {
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let Ok(place) = Arc::clone(&self.connections).try_acquire_owned() else {
                continue;
            };
            let server = Arc::clone(&self);
            self.spawn(server.connection(socket, place));
        }
    }

    async fn connection(self: Arc<Self>, socket: TcpStream, _place: OwnedSemaphorePermit) {
        if socket.set_nodelay(true).is_err() {
            return;
        }
        self.core.thawed().await;
        sleep(millis(self.core.cfg.connect_cost_ms)).await;
        let stop = self.stop.clone();
        serve_connection(socket, stop, |req| Arc::clone(&self).handle(req)).await;
    }

    async fn handle(self: Arc<Self>, req: Request) -> Whole {
        self.core.thawed().await;
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

    async fn probe(&self) -> Whole {
        let slot = self.slots.try_acquire();
        sleep(millis(self.core.cfg.probe_cost_ms)).await;
        self.core.thawed().await;
        drop(slot);
        json(StatusCode::OK, &self.core.health())
    }

    async fn grant(&self, req: Request) -> Whole {
        let msg = match read_json::<GrantRequest>(req).await {
            Ok(msg) => msg,
            Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
        };
        self.core.thawed().await;
        let reply = self.core.grant(&msg);
        if reply.accepted {
            return json(StatusCode::OK, &reply);
        }
        json(StatusCode::CONFLICT, &reply)
    }

    fn journal(&self) -> Whole {
        let mut text = Vec::new();
        for line in self.core.journal() {
            serde_json::to_writer(&mut text, &line).expect("a journal line is plain data");
            text.push(b'\n');
        }
        respond(StatusCode::OK, text)
    }

    async fn admin(&self, req: Request) -> Whole {
        match read_json::<AdminCommand>(req).await {
            Ok(command) => self.core.obey(&command),
            Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
        }
        respond(StatusCode::OK, "")
    }

    /// Runs a request.
    ///
    /// The client's leaving drops this future: before the start nothing runs then, and after it
    /// the work ends in a task of its own.
    async fn serve(self: Arc<Self>, req: Request) -> Whole {
        let (parts, body) = req.into_parts();
        let claimed = read_head(&parts, &self.core.cfg, self.core.now());
        let body = match read_body(body).await {
            Ok(body) => body,
            Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
        };
        match self.admit(&claimed).await {
            Ok((run, slot)) => self.run(&claimed, &body, run, slot).await,
            Err(reason) => refusal(&claimed, reason),
        }
    }

    async fn admit(&self, req: &Claimed) -> Result<(Run, OwnedSemaphorePermit), Reason> {
        self.core.enqueue(self.slots.available_permits() > 0)?;
        let queued = Queued(&self.core);
        let slot = self.slot_before_deadline(req).await?;
        self.core.thawed().await;
        drop(queued);
        let run = self.core.start(req)?;
        Ok((run, slot))
    }

    async fn slot_before_deadline(&self, req: &Claimed) -> Result<OwnedSemaphorePermit, Reason> {
        let slots = Arc::clone(&self.slots).acquire_owned();
        let Some(deadline) = req.deadline else {
            return Ok(slots.await.expect("the slots are never closed"));
        };
        let wait = tokio::time::timeout(deadline.since(self.core.now()), slots).await;
        let Ok(slot) = wait else {
            return Err(Reason::DeadlineExpired);
        };
        Ok(slot.expect("the slots are never closed"))
    }

    async fn run(
        self: &Arc<Self>,
        req: &Claimed,
        body: &Bytes,
        run: Run,
        slot: OwnedSemaphorePermit,
    ) -> Whole {
        let server = Arc::clone(self);
        let gone = CancellationToken::new();
        let _client = gone.clone().drop_guard();
        let work = self.spawn(async move {
            let cancelled = server.work(run.time, gone).await;
            server.core.thawed().await;
            server.core.end(run, cancelled);
            drop(slot);
        });
        work.await.expect("the work does not panic");
        answer(req, body, &self.core.cfg)
    }

    /// Works for `time`; tells whether the client left and that ended the work.
    async fn work(&self, time: Duration, gone: CancellationToken) -> bool {
        if self.core.cfg.cancels {
            return gone.run_until_cancelled(sleep(time)).await.is_none();
        }
        sleep(time).await;
        false
    }
}

/// Counts a request out of the queue when dropped, also if its client leaves.
#[derive(Debug)]
struct Queued<'a>(&'a Core);

impl Drop for Queued<'_> {
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
