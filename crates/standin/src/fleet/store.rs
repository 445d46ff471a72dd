//! The users' metadata store: tables of rows, transactions, and a feed of changes.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use ids::Revision;
use indexmap::IndexMap;
use platform::{Check, Commit, MemoryTable, Row, RowKey, Txn, Write};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::http::{
    FullResponse, Request, json as answer_json, read_body, respond, serve_connection,
};

/// Behaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers normally.
    Up,
    /// Never answers; connections stay open, and their pending calls are not answered later either.
    Unresponsive,
    /// Answers with status 503.
    Unavailable,
    /// Executes transactions without answering them; answers other calls normally.
    LostAnswers,
    /// Answers normally, but a wait for changes that starts in this mode returns none, at its timeout.
    WithholdsChanges,
    /// Sets transactions aside without answering them, until [`FleetStore::commit_delayed`]; answers
    /// other calls normally.
    DelaysWrites,
}

/// Header of all answers: how often the store has returned from a copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Era of a store that has not returned from a copy yet.
const FIRST_ERA: u64 = 1;

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) table: Mutex<MemoryTable>,
    mode: watch::Sender<StoreMode>,
    /// Incremented with each commit.
    pub(super) commits: watch::Sender<u64>,
    /// Revision up to which the history of changes was dropped.
    pub(super) compacted_revision: Mutex<Revision>,
    /// Addresses at which clients get status 429, and no changes from the feeds that they wait for.
    throttled: Mutex<HashSet<IpAddr>>,
    /// Addresses at which calls about a table get no answer, with the table.
    stalled: Mutex<HashSet<(IpAddr, SmolStr)>>,
    /// Connections accepted before this get no answer any more.
    silent_before: Mutex<Option<Instant>>,
    calls: AtomicU64,
    /// Calls by the address at which they arrived, path and table.
    calls_by: Mutex<IndexMap<(IpAddr, String), u64>>,
    /// Waits for changes that have started, by table.
    feed_waits: Mutex<HashMap<SmolStr, u64>>,
    started: Instant,
    /// How often the store has returned from a copy, plus the number that it began with.
    pub(super) era: AtomicU64,
    /// Latest transactions of hosts that took effect.
    pub(super) committed: Mutex<VecDeque<Txn>>,
    /// Transactions that were set aside.
    pub(super) delayed: Mutex<Vec<Txn>>,
}

/// A running store; it stops when the handle is dropped.
#[derive(Debug, Clone)]
pub struct FleetStore {
    address: SocketAddr,
    pub(super) shared: Arc<Shared>,
    stop: CancellationToken,
    _stop_guard: Arc<DropGuard>,
}

impl FleetStore {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            table: Mutex::new(MemoryTable::new()),
            mode: watch::Sender::new(StoreMode::Up),
            commits: watch::Sender::new(0),
            compacted_revision: Mutex::default(),
            throttled: Mutex::default(),
            stalled: Mutex::default(),
            silent_before: Mutex::default(),
            calls: AtomicU64::new(0),
            calls_by: Mutex::default(),
            feed_waits: Mutex::default(),
            started: Instant::now(),
            era: AtomicU64::new(FIRST_ERA),
            committed: Mutex::default(),
            delayed: Mutex::default(),
        });
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, Arc::clone(&shared), stop.clone()));
        Ok(Self {
            address,
            shared,
            stop: stop.clone(),
            _stop_guard: Arc::new(stop.drop_guard()),
        })
    }

    /// Returns the store's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behaviour of the store.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.mode.send_replace(mode);
    }

    /// Listens on an additional address on `ip` and returns it.
    ///
    /// Loopback connections of several hosts on one machine have the same source address, so each host
    /// connects to a separate address instead.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    ///
    /// # Panics
    ///
    /// Panics if called outside of a runtime.
    pub fn listen_at(&self, ip: IpAddr) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let shared = Arc::clone(&self.shared);
        tokio::spawn(accept(listener, shared, self.stop.clone()));
        Ok(address)
    }

    /// Starts or stops to refuse the calls that arrive at the address on `ip`.
    pub fn set_throttled(&self, ip: IpAddr, is_throttled: bool) {
        let mut throttled = lock(&self.shared.throttled);
        if is_throttled {
            throttled.insert(ip);
        } else {
            throttled.remove(&ip);
        }
    }

    /// Stalls the calls about `table` that arrive at the address on `ip`, also those under way: they
    /// get no answer, while calls about other tables are answered.
    pub fn stall(&self, ip: IpAddr, table: &str) {
        lock(&self.shared.stalled).insert((ip, table.into()));
    }

    /// Silences all open connections for good, also the calls under way; they are not closed, and new
    /// connections work.
    pub fn silence_connections(&self) {
        *lock(&self.shared.silent_before) = Some(Instant::now());
    }

    /// Answers later calls at all addresses again.
    pub fn end_stalls(&self) {
        lock(&self.shared.stalled).clear();
    }

    /// Returns the number of calls, including refused ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls by the address at which they arrived, path and table.
    #[must_use]
    pub fn calls_by(&self) -> IndexMap<(IpAddr, String), u64> {
        lock(&self.shared.calls_by).clone()
    }

    /// Returns the number of waits for changes of `table` that have started.
    #[must_use]
    pub fn feed_waits(&self, table: &str) -> u64 {
        lock(&self.shared.feed_waits)
            .get(table)
            .copied()
            .unwrap_or_default()
    }

    /// Drops the history of changes.
    pub fn compact(&self) {
        let revision = self.shared.revision();
        *lock(&self.shared.compacted_revision) = revision;
    }

    /// Writes a row in the role of operator or server.
    ///
    /// # Panics
    ///
    /// Does not panic, because values serialize.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let bytes = serde_json::to_vec(value).expect("values serialize");
        self.write(table, key, Some(bytes.into()));
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, configuration: &Value) {
        self.put("op", "config", configuration);
    }

    /// Drains the failure domain `domain`, like the operator.
    pub fn drain_domain(&self, domain: &str) {
        self.put("op", &format!("evacuate/{domain}"), &json!({}));
    }

    /// Ends the drain of a failure domain.
    pub fn undrain_domain(&self, domain: &str) {
        self.remove("op", &format!("evacuate/{domain}"));
    }

    /// Writes a row with arbitrary bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.write(table, key, Some(Bytes::copy_from_slice(value)));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Reads a row as JSON.
    #[must_use]
    pub fn read(&self, table: &str, key: &str) -> Option<Value> {
        let table_lock = lock(&self.shared.table);
        let row = table_lock.row(&row_key(table, key))?;
        serde_json::from_slice(row.value.as_ref()?).ok()
    }

    fn write(&self, table: &str, key: &str, value: Option<Bytes>) {
        let write = Write {
            key: row_key(table, key),
            value,
        };
        self.shared.commit(&Txn {
            checks: Vec::new(),
            writes: vec![write],
        });
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn row_key(table: &str, key: &str) -> RowKey {
    RowKey(format_smolstr!("{table}/{key}"))
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
        let Ok(at) = socket.local_addr() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let stop = stop.clone();
        let accepted_at = Instant::now();
        tokio::spawn(async move {
            let handle = async |req| {
                let res = handle(Arc::clone(&shared), at.ip(), req).await;
                if *lock(&shared.silent_before) > Some(accepted_at) {
                    return std::future::pending().await;
                }
                res
            };
            serve_connection(socket, stop, handle).await;
        });
    }
}

async fn handle(shared: Arc<Shared>, at: IpAddr, req: Request) -> FullResponse {
    let mut res = answer(&shared, at, req).await;
    let era = shared.era.load(Ordering::SeqCst);
    res.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    res
}

async fn answer(shared: &Arc<Shared>, at: IpAddr, req: Request) -> FullResponse {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let call_name = format!(
        "{} {}",
        req.uri().path(),
        query(&req).get("table").cloned().unwrap_or_default()
    );
    *lock(&shared.calls_by).entry((at, call_name)).or_default() += 1;
    if shared.is_throttled(at) {
        return respond(StatusCode::TOO_MANY_REQUESTS, "");
    }
    let mode = *shared.mode.borrow();
    match mode {
        StoreMode::Up
        | StoreMode::LostAnswers
        | StoreMode::WithholdsChanges
        | StoreMode::DelaysWrites => {}
        StoreMode::Unavailable => return respond(StatusCode::SERVICE_UNAVAILABLE, ""),
        StoreMode::Unresponsive => return std::future::pending().await,
    }
    let query = query(&req);
    let table = query.get("table").cloned().unwrap_or_default();
    if shared.is_stalled(at, &table) {
        return std::future::pending().await;
    }
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let path = req.uri().path().to_owned();
    let answer = match (req.method(), path.as_str()) {
        (&Method::GET, "/api/rows-get") => {
            shared.get(&text("table"), &text("from"), &text("target"))
        }
        (&Method::GET, "/api/rows-feed") => {
            let after = Revision(text("after").parse().unwrap_or_default());
            let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or_default());
            shared.feed(at, &text("table"), after, wait).await
        }
        (&Method::POST, "/api/rows-tx") => match read_body(req.into_body()).await {
            Ok(body) => shared.transact(&body),
            Err(e) => respond(StatusCode::BAD_REQUEST, e.to_string()),
        },
        _ => respond(StatusCode::NOT_FOUND, ""),
    };
    let mode = *shared.mode.borrow();
    let loses_writes = matches!(mode, StoreMode::LostAnswers | StoreMode::DelaysWrites);
    let is_lost = loses_writes && path == "/api/rows-tx";
    if mode == StoreMode::Unresponsive || is_lost || shared.is_stalled(at, &table) {
        return std::future::pending().await;
    }
    answer
}

fn query(req: &Request) -> HashMap<String, String> {
    let text = req.uri().query().unwrap_or_default();
    form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

impl Shared {
    fn is_throttled(&self, at: IpAddr) -> bool {
        lock(&self.throttled).contains(&at)
    }

    fn is_stalled(&self, at: IpAddr, table: &str) -> bool {
        lock(&self.stalled).contains(&(at, table.into()))
    }

    fn revision(&self) -> Revision {
        // No key has this prefix: only the revision is needed.
        lock(&self.table)
            .changes("\0", Revision::default())
            .revision
    }

    pub(super) fn commit(&self, txn: &Txn) -> Commit {
        let commit = lock(&self.table).commit(txn);
        self.commits.send_modify(|n| *n += 1);
        commit
    }

    fn body(&self, rows: impl Iterator<Item = Row>, revision: Revision) -> Value {
        let rows: Vec<Value> = rows.map(|row| wire_row(&row)).collect();
        json!({
            "rows": rows,
            "truncated": false,
            "ver": revision.0,
            "now_s": self.started.elapsed().as_secs_f64(),
        })
    }

    /// Returns the rows of `table` with keys in `from..to`; no upper bound if `to` is empty.
    fn get(&self, table: &str, from: &str, to: &str) -> FullResponse {
        let revision = self.revision();
        let table_lock = lock(&self.table);
        let prefix = format!("{table}/");
        let rows = table_lock
            .rows(&prefix)
            .filter(|r| r.key.0[prefix.len()..] >= *from)
            .filter(|r| to.is_empty() || r.key.0[prefix.len()..] < *to);
        answer_json(StatusCode::OK, &self.body(rows.cloned(), revision))
    }

    async fn feed(&self, at: IpAddr, table: &str, after: Revision, wait: Duration) -> FullResponse {
        if after < *lock(&self.compacted_revision) {
            return respond(StatusCode::GONE, "{}");
        }
        let era = self.era.load(Ordering::SeqCst);
        *lock(&self.feed_waits).entry(table.into()).or_default() += 1;
        let prefix = format!("{table}/");
        let until = tokio::time::Instant::now() + wait;
        let withholds_changes = *self.mode.borrow() == StoreMode::WithholdsChanges;
        let mut commits = self.commits.subscribe();
        loop {
            commits.borrow_and_update();
            if after > self.revision() || self.era.load(Ordering::SeqCst) != era {
                return respond(StatusCode::GONE, "{}");
            }
            let changes = lock(&self.table).changes(&prefix, after);
            let waited = tokio::time::timeout_at(until, commits.changed());
            if self.is_throttled(at) || withholds_changes {
                tokio::time::sleep_until(until).await;
                let body = self.body(std::iter::empty(), after);
                return answer_json(StatusCode::OK, &body);
            }
            if !changes.rows.is_empty() || wait.is_zero() || waited.await.is_err() {
                let body = self.body(changes.rows.into_iter(), changes.revision);
                return answer_json(StatusCode::OK, &body);
            }
        }
    }

    fn transact(&self, body: &[u8]) -> FullResponse {
        let Some(txn) = decode_txn(body) else {
            return respond(StatusCode::BAD_REQUEST, "");
        };
        let is_forbidden =
            |w: &Write| w.key.0.starts_with("op/") || w.key.0.starts_with("servers/");
        if txn.writes.iter().any(is_forbidden) {
            return respond(StatusCode::FORBIDDEN, "");
        }
        if *self.mode.borrow() == StoreMode::DelaysWrites {
            lock(&self.delayed).push(txn);
            return respond(StatusCode::OK, "");
        }
        match self.commit(&txn) {
            Commit::Done(revision) => {
                self.keep(txn);
                answer_json(StatusCode::OK, &self.body(std::iter::empty(), revision))
            }
            Commit::Conflict(rows) => {
                let body = self.body(rows.into_iter(), self.revision());
                answer_json(StatusCode::PRECONDITION_FAILED, &body)
            }
        }
    }
}

fn wire_row(row: &Row) -> Value {
    let (table, key) = row.key.0.split_once('/').unwrap_or_default();
    let mut wire = json!({"table": table, "part": "", "key": key, "ver": row.revision.0});
    match &row.value {
        Some(value) => wire["value"] = STANDARD.encode(value).into(),
        None => wire["tombstone"] = true.into(),
    }
    wire
}

fn decode_txn(body: &[u8]) -> Option<Txn> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let key = |row: &Value| -> Option<RowKey> {
        Some(row_key(row["table"].as_str()?, row["key"].as_str()?))
    };
    let check = |row: &Value| -> Option<Check> {
        let revision = row["ver"].as_u64()?;
        Some(Check {
            key: key(row)?,
            revision: (revision > 0).then_some(Revision(revision)),
        })
    };
    let write = |row: &Value| -> Option<Write> {
        let value: SmolStr = row["value"].as_str()?.into();
        Some(Write {
            key: key(row)?,
            value: Some(STANDARD.decode(value).ok()?.into()),
        })
    };
    let remove = |row: &Value| -> Option<Write> {
        Some(Write {
            key: key(row)?,
            value: None,
        })
    };
    let checks: Option<Vec<_>> = list("precondition").iter().map(check).collect();
    let writes: Option<Vec<_>> = list("writes").iter().map(write).collect();
    let removes: Option<Vec<_>> = list("remove").iter().map(remove).collect();
    let mut all = writes?;
    all.extend(removes?);
    Some(Txn {
        checks: checks?,
        writes: all,
    })
}
