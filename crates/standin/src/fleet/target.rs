//! A server of the users' platform.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::answers::accept;
use super::cold::{Cold, ColdSettings};
use super::keys::KeyHolds;
use super::store::FleetStore;

/// Tries to listen again at the address of a server that has just ended, and the pause between two.
const BIND_TRIES: u32 = 50;
const BIND_PAUSE: Duration = Duration::from_millis(10);

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

/// A request or an order that reached a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrived {
    /// The request; none if it was an order.
    pub request: Option<SmolStr>,
    /// When.
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

    pub(super) fn add(&self, ran: Ran) {
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
    /// It turns requests away and wants none for so many seconds.
    FullFor(u32),
    /// Its process ends while it runs a request for this path.
    EndsUnder(&'static str),
    /// The same, and its connections are closed a moment before it stops to listen.
    EndsSlowlyUnder(&'static str),
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: SmolStr,
    /// When this run began, in milliseconds.
    pub(super) born: u64,
    pub(super) settings: TargetSettings,
    pub(super) journal: Journal,
    pub(super) holds: Mutex<KeyHolds>,
    pub(super) trouble: Mutex<TargetTrouble>,
    pub(super) slots: Semaphore,
    pub(super) waiting: AtomicU32,
    pub(super) open: AtomicU32,
    pub(super) cold: Mutex<Cold>,
    /// It was sent so much while it was cold that it fell over.
    pub(super) has_fallen: AtomicBool,
    /// Requests that it turned away as it wants none for a while, and when.
    pub(super) turned_away: Mutex<Vec<(SmolStr, Instant)>>,
    /// It says in all its answers that it leaves.
    pub(super) says_leaving: AtomicBool,
    /// Requests a second that it says in all its answers it takes.
    pub(super) limit: Mutex<Option<f64>>,
    /// Requests and orders that reached it.
    pub(super) arrived: Mutex<Vec<Arrived>>,
    /// Closes all connections, also new ones.
    pub(super) cut: CancellationToken,
    /// Ends the server: it neither listens nor has connections any more.
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
        let stop = CancellationToken::new();
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
            turned_away: Mutex::default(),
            says_leaving: AtomicBool::new(false),
            limit: Mutex::default(),
            arrived: Mutex::default(),
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

    /// Returns the requests that the server turned away as it wants none for a while, and when.
    #[must_use]
    pub fn turned_away(&self) -> Vec<(SmolStr, Instant)> {
        lock(&self.shared.turned_away).clone()
    }

    /// Tells whether the server's process has ended by itself.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.shared.stop.is_cancelled()
    }

    /// Writes the registration once more, as a heartbeat does.
    pub fn register_again(&self) {
        self.register("ready");
    }

    /// Says that the server leaves.
    pub fn drain(&self) {
        self.register("draining");
    }

    /// Says that the server leaves in all its answers, and not in the store.
    pub fn say_leaving(&self) {
        self.shared.says_leaving.store(true, Ordering::SeqCst);
    }

    /// Says in all its answers how many requests a second it takes, or says that no more.
    pub fn name_limit(&self, per_s: Option<f64>) {
        *lock(&self.shared.limit) = per_s;
    }

    /// Returns the requests and orders that reached the server, also those that it did not run.
    #[must_use]
    pub fn arrived(&self) -> Vec<Arrived> {
        lock(&self.shared.arrived).clone()
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

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
