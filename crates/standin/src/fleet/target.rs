//! A server of the users' platform.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::cold::{Cold, ColdSettings};
use super::keys::{KeyHolds, Keys};
use super::store::FleetStore;
use crate::http::{Request, Whole, read_body, respond, serve_connection};

/// Tries to listen again at the address of a server that has just ended, and the pause between two.
const BIND_TRIES: u32 = 50;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Path of health requests, as the operator's configuration has it.
const HEALTH_PATH: &str = "/healthz";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// The request.
    pub request: SmolStr,
    /// The server.
    pub target: SmolStr,
    /// When this run of it began, in milliseconds.
    pub born: u64,
    /// The service.
    pub service: SmolStr,
    /// Its key and the fence under which the server held it.
    pub key: Option<(u16, u64)>,
    /// When it began.
    pub at: Instant,
}

/// What all servers wrote down.
#[derive(Debug, Clone, Default)]
pub struct Journal(Arc<Mutex<Vec<Ran>>>);

impl Journal {
    /// Returns everything so far.
    #[must_use]
    pub fn all(&self) -> Vec<Ran> {
        lock(&self.0).clone()
    }

    fn add(&self, ran: Ran) {
        lock(&self.0).push(ran);
    }
}

/// Settings of a server.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// The service.
    pub service: SmolStr,
    /// The failure domain.
    pub zone: SmolStr,
    /// Whether it runs requests only on keys that it holds.
    pub is_divided: bool,
    /// Time for one request.
    pub work: Duration,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Most connections; it resets those beyond.
    pub connections: u32,
    /// Whether it says when it began.
    pub says_born: bool,
    /// What it bears while it is cold; none if it bears as much as ever.
    pub cold: Option<ColdSettings>,
    /// Requests that may wait at it; it resets the connections of those beyond.
    pub queue: u32,
    /// How long work takes on its machine, in percent of the usual time; none if it doesn't say.
    pub pace: Option<u32>,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            service: SmolStr::new_static("reads"),
            zone: SmolStr::new_static("a"),
            is_divided: false,
            work: Duration::from_millis(20),
            slots: 4,
            connections: 130,
            says_born: true,
            cold: None,
            queue: u32::MAX,
            pace: None,
        }
    }
}

/// What is wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetTrouble {
    /// Nothing.
    None,
    /// It runs requests and breaks the connection instead of answering.
    LosesAnswers,
    /// It turns requests away.
    Full,
    /// It answers with a success that belongs to another request.
    ForeignAnswers,
    /// It takes requests that it has no room for, runs none of them and never answers.
    SilentlyFull,
}

#[derive(Debug)]
struct Shared {
    id: SmolStr,
    /// When this run began, in milliseconds.
    born: u64,
    settings: TargetSettings,
    journal: Journal,
    holds: Mutex<KeyHolds>,
    trouble: Mutex<TargetTrouble>,
    slots: Semaphore,
    waiting: AtomicU32,
    open: AtomicU32,
    cold: Mutex<Cold>,
    /// It was sent so much while it was cold that it fell over.
    has_fallen: AtomicBool,
}

/// A running server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct FleetTarget {
    address: SocketAddr,
    shared: Arc<Shared>,
    store: FleetStore,
    _stop: DropGuard,
}

impl FleetTarget {
    /// Starts a server on a free loopback port and registers it.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        store: &FleetStore,
        journal: &Journal,
        settings: TargetSettings,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format_smolstr!("i-{id}");
        let target = Self::run(id, listener, store, journal, settings)?;
        target.register("ready");
        Ok(target)
    }

    /// Ends the server as a crash would, after `down` starts it again under its id and address, and
    /// registers it `silent` later; it knows nothing of before.
    ///
    /// # Errors
    ///
    /// Fails if the address does not become free.
    pub async fn start_again(self, down: Duration, silent: Duration) -> io::Result<Self> {
        let (address, shared, store) = (self.address, Arc::clone(&self.shared), self.store.clone());
        drop(self);
        tokio::time::sleep(down).await;
        let mut bound = TcpListener::bind(address).await;
        for _ in 0..BIND_TRIES {
            if bound.is_ok() {
                break;
            }
            tokio::time::sleep(BIND_PAUSE).await;
            bound = TcpListener::bind(address).await;
        }
        let (id, settings) = (shared.id.clone(), shared.settings.clone());
        let target = Self::run(id, bound?, &store, &shared.journal, settings)?;
        tokio::time::sleep(silent).await;
        target.register("ready");
        Ok(target)
    }

    /// Runs a server that has not registered yet.
    fn run(
        id: SmolStr,
        listener: TcpListener,
        store: &FleetStore,
        journal: &Journal,
        settings: TargetSettings,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            id,
            born: born.unwrap_or_default().as_millis() as u64,
            journal: journal.clone(),
            holds: Mutex::default(),
            trouble: Mutex::new(TargetTrouble::None),
            slots: Semaphore::new(settings.slots as usize),
            waiting: AtomicU32::new(0),
            open: AtomicU32::new(0),
            cold: Mutex::default(),
            has_fallen: AtomicBool::new(false),
            settings,
        });
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, Arc::clone(&shared), stop.clone()));
        let target = Self {
            address,
            shared,
            store: store.clone(),
            _stop: stop.drop_guard(),
        };
        target.become_cold();
        Ok(target)
    }

    /// Returns the server's id.
    #[must_use]
    pub fn id(&self) -> &SmolStr {
        &self.shared.id
    }

    /// Changes what is wrong with the server.
    pub fn set_trouble(&self, trouble: TargetTrouble) {
        *lock(&self.shared.trouble) = trouble;
    }

    /// Makes the server cold, as after a start; its next heartbeat says so.
    pub fn become_cold(&self) {
        if let Some(settings) = &self.shared.settings.cold {
            lock(&self.shared.cold).begin(Instant::now(), settings);
        }
    }

    /// Returns the most requests that reached the server within any second while it was cold.
    #[must_use]
    pub fn busiest_while_cold(&self) -> usize {
        lock(&self.shared.cold).busiest()
    }

    /// Tells whether the server fell over as it was sent too much while it was cold.
    #[must_use]
    pub fn has_fallen(&self) -> bool {
        self.shared.has_fallen.load(Ordering::SeqCst)
    }

    /// Writes the registration once more, as a heartbeat does.
    pub fn register_again(&self) {
        self.register("ready");
    }

    /// Says that the server leaves.
    pub fn drain(&self) {
        self.register("draining");
    }

    /// Takes the server off the store, as when it has left or was silent for long.
    pub fn unregister(&self) {
        self.store.remove("servers", &self.shared.id);
    }

    fn register(&self, state: &str) {
        let settings = &self.shared.settings;
        let mut row = json!({
            "address": self.address.to_string(),
            "info": {
                "service": settings.service.as_str(),
                "version": "v1",
                "zone": settings.zone.as_str(),
                "slots": settings.slots,
            },
            "status": {"state": state, "seq": 1, "warmup_left_s": self.shared.cold_left_s()},
        });
        if settings.says_born {
            row["born"] = json!(self.shared.born);
        }
        self.store.put("servers", &self.shared.id, &row);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((socket, _)) = accepted else {
            continue;
        };
        if shared.open.load(Ordering::SeqCst) >= shared.settings.connections {
            reset(&socket);
            continue;
        }
        shared.open.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(connection(socket, Arc::clone(&shared), stop.clone()));
    }
}

fn reset(socket: &TcpStream) {
    // Without it the client sees an orderly end, which is as good for the tests.
    let _ = socket.set_zero_linger();
}

async fn connection(socket: TcpStream, shared: Arc<Shared>, stop: CancellationToken) {
    let broken = CancellationToken::new();
    let handle = |req| handle(Arc::clone(&shared), req, broken.clone());
    tokio::select! {
        () = serve_connection(socket, stop.clone(), handle) => {}
        () = broken.cancelled() => {}
        () = stop.cancelled() => {}
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}

async fn handle(shared: Arc<Shared>, req: Request, broken: CancellationToken) -> Whole {
    let text = |name: &str| header(&req, name);
    let meant = text("medlardyke-target-instance");
    if meant.as_ref().is_some_and(|id| *id != shared.id) {
        return with(
            respond(StatusCode::MISDIRECTED_REQUEST, ""),
            "medlardyke-instance-id",
            &shared.id,
        );
    }
    match req.uri().path() {
        "/api/grant" => return shared.grant(req).await,
        "/api/release" => return shared.release(req).await,
        _ => {}
    }
    if shared.has_fallen.load(Ordering::SeqCst) {
        broken.cancel();
        return std::future::pending().await;
    }
    if req.uri().path() == HEALTH_PATH {
        return shared.healthy();
    }
    let id = text("medlardyke-request-id").unwrap_or_default();
    let key = text("medlardyke-shard-key").and_then(|k| k.parse().ok());
    let trouble = *lock(&shared.trouble);
    if trouble == TargetTrouble::Full {
        return shared.not_run(StatusCode::SERVICE_UNAVAILABLE, &id);
    }
    if trouble == TargetTrouble::SilentlyFull {
        return std::future::pending().await;
    }
    if shared.waiting.load(Ordering::SeqCst) >= shared.settings.queue {
        broken.cancel();
        return std::future::pending().await;
    }
    shared.waiting.fetch_add(1, Ordering::SeqCst);
    let slot = shared.slots.acquire().await;
    shared.waiting.fetch_sub(1, Ordering::SeqCst);
    let held = key.and_then(|key| Some((key, lock(&shared.holds).fence(Instant::now(), key)?)));
    if shared.settings.is_divided && held.is_none() {
        return shared.not_run(StatusCode::MISDIRECTED_REQUEST, &id);
    }
    if shared.falls_over() {
        broken.cancel();
        return std::future::pending().await;
    }
    shared.journal.add(Ran {
        request: id.clone(),
        target: shared.id.clone(),
        born: shared.born,
        service: shared.settings.service.clone(),
        key: held,
        at: Instant::now(),
    });
    tokio::time::sleep(shared.work()).await;
    drop(slot);
    if trouble == TargetTrouble::LosesAnswers {
        broken.cancel();
        return std::future::pending().await;
    }
    let named = if trouble == TargetTrouble::ForeignAnswers {
        SmolStr::new_static("somebody-else")
    } else {
        id.clone()
    };
    let body = format!("{id} at {}", shared.id);
    let answer = with(
        respond(StatusCode::OK, body),
        "medlardyke-request-id",
        &named,
    );
    shared.loaded(with(answer, "medlardyke-response-seal", &id))
}

fn header(req: &Request, name: &str) -> Option<SmolStr> {
    req.headers().get(name)?.to_str().ok().map(SmolStr::from)
}

fn with(mut response: Whole, name: &'static str, value: &str) -> Whole {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
    response
}

impl Shared {
    fn not_run(&self, status: StatusCode, id: &SmolStr) -> Whole {
        let answer = with(respond(status, ""), "medlardyke-not-executed", "1");
        self.loaded(with(answer, "medlardyke-request-id", id))
    }

    fn loaded(&self, response: Whole) -> Whole {
        let slots = self.settings.slots;
        let running = slots - self.slots.available_permits() as u32;
        let waiting = self.waiting.load(Ordering::SeqCst);
        let load = format!("{running},{waiting},{slots}");
        let load = match self.settings.pace {
            Some(pace) => format!("{load},{pace}"),
            None => load,
        };
        with(response, "medlardyke-instance-load", &load)
    }

    /// Answers a health request.
    fn healthy(&self) -> Whole {
        let answer = with(
            respond(StatusCode::OK, ""),
            "medlardyke-instance-id",
            &self.id,
        );
        let left = lock(&self.cold).left(Instant::now()).as_millis();
        self.loaded(with(answer, "medlardyke-warmup-ms", &left.to_string()))
    }

    fn cold_left_s(&self) -> f64 {
        lock(&self.cold).left(Instant::now()).as_secs_f64()
    }

    /// Returns the time for one request now.
    fn work(&self) -> Duration {
        self.settings.work * self.settings.pace.unwrap_or(100) / 100
    }

    /// Notes a request that begins; tells whether the server falls over with it.
    fn falls_over(&self) -> bool {
        let arrived = lock(&self.cold).note(Instant::now());
        let falls_at = self.settings.cold.map(|cold| cold.falls_at);
        let falls = falls_at.is_some_and(|most| arrived >= most);
        if falls {
            self.has_fallen.store(true, Ordering::SeqCst);
        }
        falls
    }

    async fn grant(&self, req: Request) -> Whole {
        let Some((keys, fence, body)) = order(req).await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        let hold = body["hold_s"].as_f64().unwrap_or_default();
        let hold = Duration::from_secs_f64(hold);
        let accepted = lock(&self.holds).grant(Instant::now(), keys, fence, hold);
        let status = if accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        respond(status, "")
    }

    /// Answers once the work that runs has ended.
    async fn release(&self, req: Request) -> Whole {
        let Some((keys, fence, _)) = order(req).await else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        lock(&self.holds).release(keys, fence);
        drop(self.slots.acquire_many(self.settings.slots).await);
        with(respond(StatusCode::OK, ""), "medlardyke-handover", "warm")
    }
}

async fn order(req: Request) -> Option<(Keys, u64, Value)> {
    let body: Bytes = read_body(req.into_body()).await.ok()?;
    let body: Value = serde_json::from_slice(&body).ok()?;
    let key = |name: &str| u16::try_from(body[name].as_u64()?).ok();
    let keys = Keys {
        first: key("from")?,
        last: key("target")?,
    };
    let fence = body["fence"].as_u64()?;
    Some((keys, fence, body))
}
