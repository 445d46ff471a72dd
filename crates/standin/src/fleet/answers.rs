//! Responses of a simulated server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::endless;
use super::keys::KeyRange;
use super::target::{Arrival, ExecutedRequest, Shared, TargetFault, lock};
use super::twice::{self, RepeatedAnswer};
use crate::http::{FullResponse, Request, read_body, respond, serve_connection};
use crate::links::{accepts_from, apply_to_listener, serve_over_link};

/// Buffer between a connection and the server behind it, in bytes.
const DUPLEX_BYTES: usize = 64 << 10;
/// Path of health requests, as in the operator's configuration.
const HEALTH_PATH: &str = "/healthz";

pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let mut cuts = shared.link_cuts.subscribe();
    loop {
        apply_to_listener(&listener, &cuts.borrow_and_update());
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = cuts.changed() => continue,
            () = stop.cancelled() => return,
        };
        let Ok((socket, peer)) = accepted else {
            continue;
        };
        let is_refused = !accepts_from(&cuts.borrow(), peer.ip());
        if is_refused || shared.open.load(Ordering::SeqCst) >= shared.settings.connections {
            reset(&socket);
            continue;
        }
        shared.open.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(connection(socket, peer, Arc::clone(&shared), stop.clone()));
    }
}

fn reset(socket: &TcpStream) {
    // If this fails, the client observes an orderly close, which the tests accept too.
    let _ = socket.set_zero_linger();
}

async fn connection(
    socket: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
) {
    let mut closes = shared.closes.subscribe();
    let fault = *lock(&shared.fault);
    if let TargetFault::AnswersWithoutEnd(answer) = fault {
        tokio::select! {
            () = endless::serve(socket, &shared, answer) => {}
            () = stop.cancelled() => {}
        }
        shared.open.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    if let TargetFault::AnswersTwice(repeated) = fault {
        tokio::select! {
            () = answer_twice(socket, &shared, repeated, stop.clone()) => {}
            () = stop.cancelled() => {}
        }
        shared.open.fetch_sub(1, Ordering::SeqCst);
        return;
    }
    let broken_connection = CancellationToken::new();
    let handle = |req| answer(Arc::clone(&shared), req, broken_connection.clone());
    let cuts = shared.link_cuts.subscribe();
    tokio::select! {
        () = serve_over_link(socket, peer, cuts, stop.clone(), handle) => {}
        () = broken_connection.cancelled() => {}
        _ = closes.changed() => {}
        () = shared.cut.cancelled() => {}
        () = stop.cancelled() => {}
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}

/// Serves a connection of a server that answers twice, until it is closed.
async fn answer_twice(
    socket: TcpStream,
    shared: &Arc<Shared>,
    repeated: RepeatedAnswer,
    stop: CancellationToken,
) {
    let (near, far) = tokio::io::duplex(DUPLEX_BYTES);
    let is_broken = CancellationToken::new();
    let handle = |req| answer(Arc::clone(shared), req, is_broken.clone());
    tokio::select! {
        _ = twice::serve(socket, near, shared, repeated) => {}
        () = serve_connection(far, stop, handle) => {}
        () = is_broken.cancelled() => {}
    }
}

/// Answers a request, and adds its id and headers about the server's state.
async fn answer(
    shared: Arc<Shared>,
    req: Request,
    broken_connection: CancellationToken,
) -> FullResponse {
    let id = header(&req, "medlardyke-request-id");
    let mut answer = handle(Arc::clone(&shared), req, broken_connection).await;
    if let Some(id) = id.filter(|_| !answer.headers().contains_key("medlardyke-request-id")) {
        answer = with_header(answer, "medlardyke-request-id", &id);
    }
    if let Some(per_s) = *lock(&shared.limit) {
        answer = with_header(answer, "server-limit", &per_s.to_string());
    }
    if shared.announces_leaving.load(Ordering::SeqCst) {
        with_header(answer, "server-leaving", "1")
    } else {
        answer
    }
}

async fn handle(
    shared: Arc<Shared>,
    req: Request,
    broken_connection: CancellationToken,
) -> FullResponse {
    let text = |name: &str| header(&req, name);
    let target_instance = text("medlardyke-target-instance");
    if target_instance.as_ref().is_some_and(|id| *id != shared.id) {
        return with_header(
            respond(StatusCode::MISDIRECTED_REQUEST, ""),
            "medlardyke-instance-id",
            &shared.id,
        );
    }
    match req.uri().path() {
        "/api/grant" => {
            shared.record_arrival(None);
            return shared.grant(req).await;
        }
        "/api/release" => return shared.release(req).await,
        _ => {}
    }
    if shared.has_failed.load(Ordering::SeqCst) {
        broken_connection.cancel();
        return std::future::pending().await;
    }
    if req.uri().path() == HEALTH_PATH {
        return shared.health();
    }
    let fault = *lock(&shared.fault);
    if matches!(fault, TargetFault::AnswersWithoutEnd(_)) {
        broken_connection.cancel();
        return std::future::pending().await;
    }
    let id = text("medlardyke-request-id").unwrap_or_default();
    shared.record_arrival(Some(id.clone()));
    let key = text("medlardyke-shard-key").and_then(|k| k.parse().ok());
    if fault == TargetFault::Refuses {
        return shared.not_run(StatusCode::SERVICE_UNAVAILABLE, &id);
    }
    if let TargetFault::RefusesFor(seconds) = fault {
        lock(&shared.refused).push((id.clone(), Instant::now()));
        let answer = shared.not_run(StatusCode::SERVICE_UNAVAILABLE, &id);
        return with_header(answer, "retry-after", &seconds.to_string());
    }
    if fault == TargetFault::HangsWhenFull {
        return std::future::pending().await;
    }
    if shared.waiting.load(Ordering::SeqCst) >= shared.settings.queue {
        broken_connection.cancel();
        return std::future::pending().await;
    }
    shared.waiting.fetch_add(1, Ordering::SeqCst);
    let slot = shared.slots.acquire().await;
    shared.waiting.fetch_sub(1, Ordering::SeqCst);
    let held = key.and_then(|key| {
        Some((
            key,
            lock(&shared.held_keys).fencing_token(Instant::now(), key)?,
        ))
    });
    if shared.settings.is_divided && held.is_none() {
        return shared.not_run(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    if shared.fails_with_next() {
        broken_connection.cancel();
        return std::future::pending().await;
    }
    shared.journal.add(ExecutedRequest {
        request: id.clone(),
        target: shared.id.clone(),
        incarnation: shared.incarnation,
        service: shared.settings.service.clone(),
        key: held,
        at: Instant::now(),
    });
    tokio::time::sleep(shared.service_time()).await;
    drop(slot);
    if matches!(fault, TargetFault::ExitsSlowlyDuring(path) if path == req.uri().path()) {
        tokio::spawn(exit_slowly(Arc::clone(&shared)));
        return std::future::pending().await;
    }
    if matches!(fault, TargetFault::ExitsDuring(path) if path == req.uri().path()) {
        shared.stop.cancel();
        return std::future::pending().await;
    }
    if fault == TargetFault::DropsAnswers {
        broken_connection.cancel();
        return std::future::pending().await;
    }
    let answered_id = if fault == TargetFault::MismatchedAnswers {
        SmolStr::new_static("somebody-else")
    } else {
        id.clone()
    };
    let body = format!("{id} at {}", shared.id);
    let answer = with_header(
        respond(StatusCode::OK, body),
        "medlardyke-request-id",
        &answered_id,
    );
    shared.with_load(with_header(answer, "medlardyke-response-seal", &id))
}

/// Time from closing a server's connections until its listener is closed.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(100);

async fn exit_slowly(shared: Arc<Shared>) {
    shared.cut.cancel();
    tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
    shared.stop.cancel();
}

fn header(req: &Request, name: &str) -> Option<SmolStr> {
    req.headers().get(name)?.to_str().ok().map(SmolStr::from)
}

fn with_header(mut response: FullResponse, name: &'static str, value: &str) -> FullResponse {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
    response
}

impl Shared {
    pub(super) fn record_arrival(&self, request: Option<SmolStr>) {
        let at = Instant::now();
        lock(&self.arrivals).push(Arrival { request, at });
    }

    fn not_run(&self, status: StatusCode, id: &SmolStr) -> FullResponse {
        let answer = with_header(respond(status, ""), "medlardyke-not-executed", "1");
        self.with_load(with_header(answer, "medlardyke-request-id", id))
    }

    fn with_load(&self, response: FullResponse) -> FullResponse {
        let slots = self.settings.slots;
        let running = slots - self.slots.available_permits() as u32;
        let waiting = self.waiting.load(Ordering::SeqCst);
        let load = format!("{running},{waiting},{slots}");
        let load = match self.settings.service_time_percent {
            Some(service_time_percent) => format!("{load},{service_time_percent}"),
            None => load,
        };
        with_header(response, "medlardyke-instance-load", &load)
    }

    /// Answers a health request.
    fn health(&self) -> FullResponse {
        let answer = with_header(
            respond(StatusCode::OK, ""),
            "medlardyke-instance-id",
            &self.id,
        );
        let left = lock(&self.cold).remaining(Instant::now()).as_millis();
        self.with_load(with_header(
            answer,
            "medlardyke-warmup-ms",
            &left.to_string(),
        ))
    }

    pub(super) fn cold_left_s(&self) -> f64 {
        lock(&self.cold).remaining(Instant::now()).as_secs_f64()
    }

    /// Returns the service time of one request.
    fn service_time(&self) -> Duration {
        self.settings.service_time * self.settings.service_time_percent.unwrap_or(100) / 100
    }

    /// Records a request that starts; returns whether the server fails under it.
    fn fails_with_next(&self) -> bool {
        let arrived = lock(&self.cold).record(Instant::now());
        let fails_at_per_s = self.settings.cold.map(|cold| cold.fails_at_per_s);
        let fails = fails_at_per_s.is_some_and(|limit| arrived >= limit);
        if fails {
            self.has_failed.store(true, Ordering::SeqCst);
        }
        fails
    }

    async fn grant(&self, req: Request) -> FullResponse {
        let Some((keys, token, body)) = read_grant_call(req).await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        let hold = body["hold_s"].as_f64().unwrap_or_default();
        let hold = Duration::from_secs_f64(hold);
        let accepted = lock(&self.held_keys).grant(Instant::now(), keys, token, hold);
        let status = if accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        respond(status, "")
    }

    /// Releases keys; answers after all running requests have ended.
    async fn release(&self, req: Request) -> FullResponse {
        let Some((keys, token, _)) = read_grant_call(req).await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        lock(&self.held_keys).release(keys, token);
        drop(self.slots.acquire_many(self.settings.slots).await);
        with_header(respond(StatusCode::OK, ""), "medlardyke-handover", "warm")
    }
}

async fn read_grant_call(req: Request) -> Option<(KeyRange, u64, Value)> {
    let body: Bytes = read_body(req.into_body()).await.ok()?;
    let body: Value = serde_json::from_slice(&body).ok()?;
    let key = |name: &str| u16::try_from(body[name].as_u64()?).ok();
    let keys = KeyRange {
        first: key("from")?,
        last: key("target")?,
    };
    let token = body["fence"].as_u64()?;
    Some((keys, token, body))
}
