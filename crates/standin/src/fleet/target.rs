//! A simulated server of the users' platform.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::answers::accept;
use super::cold::{ColdSettings, ColdState};
use super::endless::EndlessAnswer;
use super::keys::HeldKeys;
use super::store::FleetStore;
use super::twice::{AnsweredIds, RepeatedAnswer};
use crate::links::{LinkCut, LinkCuts};

/// Attempts to listen again at the address of a server that has just ended, and the delay between
/// two attempts.
const BIND_TRIES: u32 = 50;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// State of a server that takes new requests.
const READY: &str = "ready";
/// State of a server that has announced that it leaves.
const DRAINING: &str = "draining";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request that a server ran, as recorded in the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Id of the request.
    pub request: SmolStr,
    /// Id of the server.
    pub target: SmolStr,
    /// Incarnation of the server: the time of its start, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Name of the service.
    pub service: SmolStr,
    /// Key of the request and the fencing token under which the server held it.
    pub key: Option<(u16, u64)>,
    /// Start of the execution.
    pub at: Instant,
}

/// A request or grant call that reached a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the request; `None` for a grant call.
    pub request: Option<SmolStr>,
    /// Time of arrival.
    pub at: Instant,
}

/// Journal of the requests that all servers ran.
#[derive(Debug, Clone, Default)]
pub struct Journal(Arc<Mutex<Vec<ExecutedRequest>>>);

impl Journal {
    /// Returns all requests recorded so far.
    #[must_use]
    pub fn all(&self) -> Vec<ExecutedRequest> {
        lock(&self.0).clone()
    }

    pub(super) fn add(&self, ran: ExecutedRequest) {
        lock(&self.0).push(ran);
    }
}

/// Settings of a server.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Name of the service.
    pub service: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Whether it runs requests only on keys that it holds.
    pub is_divided: bool,
    /// Service time of one request.
    pub service_time: Duration,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections; further ones are reset.
    pub connections: u32,
    /// Whether its registration contains its incarnation.
    pub registers_incarnation: bool,
    /// Limits during the warm-up; `None` if it has no warm-up.
    pub cold: Option<ColdSettings>,
    /// Maximum number of requests that wait for a slot; connections of further ones are closed.
    pub queue: u32,
    /// Actual service time in percent of `service_time`, which it also reports; `None` for 100
    /// without a report.
    pub service_time_percent: Option<u32>,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            service: SmolStr::new_static("reads"),
            domain: SmolStr::new_static("a"),
            is_divided: false,
            service_time: Duration::from_millis(20),
            slots: 4,
            connections: 130,
            registers_incarnation: true,
            cold: None,
            queue: u32::MAX,
            service_time_percent: None,
        }
    }
}

/// Fault of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFault {
    /// No fault.
    None,
    /// It runs requests and closes the connection instead of answering.
    DropsAnswers,
    /// It refuses requests without running them.
    Refuses,
    /// It answers with the success of another request.
    MismatchedAnswers,
    /// It accepts requests beyond its capacity, but neither runs nor answers them.
    HangsWhenFull,
    /// It refuses requests without running them, with a `retry-after` of this number of seconds.
    RefusesFor(u32),
    /// Its process exits while it runs a request for this path.
    ExitsDuring(&'static str),
    /// Like `ExitsDuring`, but its connections are closed shortly before its listener.
    ExitsSlowlyDuring(&'static str),
    /// It runs requests and answers them with bytes without end, on new connections; it closes those that
    /// are open at their next request.
    AnswersWithoutEnd(EndlessAnswer),
    /// It answers the first sending of each request twice; it closes the connections that are open.
    AnswersTwice(RepeatedAnswer),
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: SmolStr,
    /// Incarnation of the server: the time of its start, in milliseconds since the Unix epoch.
    pub(super) incarnation: u64,
    pub(super) settings: TargetSettings,
    pub(super) journal: Journal,
    pub(super) held_keys: Mutex<HeldKeys>,
    pub(super) fault: Mutex<TargetFault>,
    pub(super) slots: Semaphore,
    pub(super) waiting: AtomicU32,
    pub(super) open: AtomicU32,
    pub(super) cold: Mutex<ColdState>,
    /// Whether it failed because it received too many requests during the warm-up.
    pub(super) has_failed: AtomicBool,
    /// Requests that it refused with a `retry-after`, and the times of the refusals.
    pub(super) refused: Mutex<Vec<(SmolStr, Instant)>>,
    /// Whether all its answers announce that it is leaving.
    pub(super) announces_leaving: AtomicBool,
    /// Rate limit, in requests per second, that all its answers announce.
    pub(super) limit: Mutex<Option<f64>>,
    /// Requests that it answered under [`TargetFault::AnswersTwice`].
    pub(super) answered_ids: AnsweredIds,
    /// Requests and grant calls that reached it.
    pub(super) arrivals: Mutex<Vec<Arrival>>,
    /// State that it registers.
    pub(super) state: Mutex<&'static str>,
    /// Number of times that it has written its registration.
    pub(super) registrations: AtomicU64,
    /// Whether it does not reach the store.
    is_cut_from_store: AtomicBool,
    /// Failed links to hosts.
    pub(super) link_cuts: watch::Sender<LinkCuts>,
    /// Closes the connections that are open.
    pub(super) closes: watch::Sender<()>,
    /// Closes all connections, including new ones.
    pub(super) cut: CancellationToken,
    /// Stops the server: closes its listener and all connections.
    pub(super) stop: CancellationToken,
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
        target.heartbeat();
        Ok(target)
    }

    /// Stops the server like a crash and starts it again after `down` under its id and address, without
    /// its previous state; registers it after a further delay of `registration_delay`, unless it is cut
    /// off from the store.
    ///
    /// # Errors
    ///
    /// Fails if the address does not become free.
    pub async fn restart(self, down: Duration, registration_delay: Duration) -> io::Result<Self> {
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
        target.cut_from_store(shared.is_cut_from_store.load(Ordering::SeqCst));
        tokio::time::sleep(registration_delay).await;
        target.heartbeat();
        Ok(target)
    }

    /// Starts a server without registering it.
    fn run(
        id: SmolStr,
        listener: TcpListener,
        store: &FleetStore,
        journal: &Journal,
        settings: TargetSettings,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH);
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            id,
            incarnation: incarnation.unwrap_or_default().as_millis() as u64,
            journal: journal.clone(),
            held_keys: Mutex::default(),
            fault: Mutex::new(TargetFault::None),
            slots: Semaphore::new(settings.slots as usize),
            waiting: AtomicU32::new(0),
            open: AtomicU32::new(0),
            cold: Mutex::default(),
            has_failed: AtomicBool::new(false),
            refused: Mutex::default(),
            announces_leaving: AtomicBool::new(false),
            limit: Mutex::default(),
            answered_ids: AnsweredIds::default(),
            arrivals: Mutex::default(),
            state: Mutex::new(READY),
            registrations: AtomicU64::new(0),
            is_cut_from_store: AtomicBool::new(false),
            link_cuts: watch::Sender::default(),
            closes: watch::Sender::default(),
            cut: CancellationToken::new(),
            stop: stop.clone(),
            settings,
        });
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

    /// Returns the incarnation of the server: the time of its start, in milliseconds since the Unix
    /// epoch.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Returns the settings with which the server was started.
    #[must_use]
    pub fn settings(&self) -> &TargetSettings {
        &self.shared.settings
    }

    /// Sets the fault of the server.
    pub fn set_fault(&self, fault: TargetFault) {
        *lock(&self.shared.fault) = fault;
        if matches!(fault, TargetFault::AnswersTwice(_)) {
            self.shared.closes.send_replace(());
        }
    }

    /// Cuts the link to the host with this address.
    pub fn cut_link(&self, host: IpAddr, cut: LinkCut) {
        self.shared.link_cuts.send_modify(|cuts| {
            cuts.insert(host, cut);
        });
    }

    /// Restores all links.
    pub fn restore_links(&self) {
        self.shared.link_cuts.send_modify(LinkCuts::clear);
    }

    /// Cuts the link to the store, or restores it; heartbeats are lost meanwhile. The link stays cut
    /// when the server restarts.
    pub fn cut_from_store(&self, is_cut: bool) {
        self.shared
            .is_cut_from_store
            .store(is_cut, Ordering::SeqCst);
    }

    /// Starts a warm-up, as after a start; the next heartbeat reports it.
    pub fn become_cold(&self) {
        if let Some(settings) = &self.shared.settings.cold {
            lock(&self.shared.cold).start(Instant::now(), settings);
        }
    }

    /// Returns the maximum number of requests that started within any second of a warm-up.
    #[must_use]
    pub fn max_per_s_while_cold(&self) -> usize {
        lock(&self.shared.cold).max_in_window()
    }

    /// Returns the fencing token under which the server holds `key` at present, if it does.
    #[must_use]
    pub fn fencing_token(&self, key: u16) -> Option<u64> {
        lock(&self.shared.held_keys).fencing_token(Instant::now(), key)
    }

    /// Returns whether the server failed because it received too many requests during the warm-up.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.shared.has_failed.load(Ordering::SeqCst)
    }

    /// Returns the requests that the server refused with a `retry-after`, and the times of the refusals.
    #[must_use]
    pub fn refused(&self) -> Vec<(SmolStr, Instant)> {
        lock(&self.shared.refused).clone()
    }

    /// Returns whether the server's process has exited because of a fault.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.shared.stop.is_cancelled()
    }

    /// Writes the registration, with the present state.
    pub fn heartbeat(&self) {
        self.register(*lock(&self.shared.state));
    }

    /// Writes the registration again as that of a server that takes requests.
    pub fn register_again(&self) {
        *lock(&self.shared.state) = READY;
        self.heartbeat();
    }

    /// Announces in the store that the server is draining.
    pub fn drain(&self) {
        *lock(&self.shared.state) = DRAINING;
        self.heartbeat();
    }

    /// Announces in all answers, but not in the store, that the server is leaving.
    pub fn announce_leaving(&self) {
        self.shared.announces_leaving.store(true, Ordering::SeqCst);
    }

    /// Announces a rate limit in all answers, in requests per second; `None` stops the announcement.
    pub fn announce_limit(&self, per_s: Option<f64>) {
        *lock(&self.shared.limit) = per_s;
    }

    /// Returns the requests and grant calls that reached the server, including requests that did not
    /// run.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared.arrivals).clone()
    }

    /// Removes the server from the store, as after it has left or its heartbeat has timed out.
    pub fn unregister(&self) {
        self.store.remove("servers", &self.shared.id);
    }

    fn register(&self, state: &str) {
        if self.shared.is_cut_from_store.load(Ordering::SeqCst) {
            return;
        }
        let settings = &self.shared.settings;
        let seq = self.shared.registrations.fetch_add(1, Ordering::SeqCst) + 1;
        let mut row = json!({
            "address": self.address.to_string(),
            "info": {
                "service": settings.service.as_str(),
                "version": "v1",
                "zone": settings.domain.as_str(),
                "slots": settings.slots,
            },
            "status": {"state": state, "seq": seq, "warmup_left_s": self.shared.cold_left_s()},
        });
        if settings.registers_incarnation {
            row["born"] = json!(self.shared.incarnation);
        }
        self.store.put("servers", &self.shared.id, &row);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
