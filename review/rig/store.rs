//! A stand-in for the platform's metadata store.
//!
//! Hosts call it over HTTP. Targets register over links of their own, which can be cut.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reply};
use crate::json::{Json, base64, object, string};

/// Time of a transaction (`tx_s` of the pages).
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// Interval of a target's heartbeats (`heartbeat_interval_s`).
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Silence after which a registration is removed: three heartbeat intervals.
const EXPIRY: Duration = Duration::from_millis(3 * 870);
/// Tables that hosts may not write to.
const READ_ONLY: [&str; 2] = ["op", "servers"];

type RowKey = (String, String);

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
}

#[derive(Default)]
struct Tables {
    ver: u64,
    rows: BTreeMap<RowKey, Row>,
    /// Changes in order; a row without a value was removed.
    history: Vec<(RowKey, u64, Option<String>)>,
    /// When each target was last heard.
    heard: HashMap<String, Instant>,
    /// What each target last registered, without its count of registrations.
    registered: HashMap<String, String>,
}

impl Tables {
    fn put(&mut self, key: RowKey, value: Option<String>, ver: u64) {
        match &value {
            Some(value) => {
                let row = Row {
                    value: value.clone(),
                    ver,
                };
                self.rows.insert(key.clone(), row);
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((key, ver, value));
    }

    fn put_one(&mut self, table: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let ver = self.ver;
        self.put((table.to_owned(), key.to_owned()), value, ver);
    }
}

/// The store.
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts the store; returns it and its address.
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Store {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let (served, expiring) = (Arc::clone(&store), Arc::clone(&store));
        let handler = move |request: &Message| Some(served.answer(request));
        std::thread::spawn(move || http::serve(listener, Arc::new(handler)));
        std::thread::spawn(move || expiring.expire());
        (store, address)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        self.tables.lock().unwrap().put_one(table, key, Some(value));
        self.changed.notify_all();
    }

    /// Writes the registration of the target `id` as another writer; the target writes it again at
    /// its next heartbeat.
    pub fn write_entry(&self, id: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        let mut tables = self.tables.lock().unwrap();
        tables.registered.remove(id);
        tables.put_one("servers", id, Some(value));
        self.changed.notify_all();
    }

    /// Removes registrations of targets that are silent.
    fn expire(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut tables = self.tables.lock().unwrap();
            let silent: Vec<String> = tables
                .heard
                .iter()
                .filter(|(_, at)| at.elapsed() > EXPIRY)
                .map(|(id, _)| id.clone())
                .collect();
            for id in silent {
                tables.heard.remove(&id);
                tables.registered.remove(&id);
                tables.put_one("servers", &id, None);
                self.changed.notify_all();
            }
        }
    }

    /// Takes a registration; the row changes only if more than its `seq` does.
    fn register(&self, id: &str, value: &Json) {
        std::thread::sleep(TRANSACTION_TIME);
        let text = value.to_string();
        let without_seq = text.split("\"seq\":").next().unwrap_or("").to_owned();
        let mut tables = self.tables.lock().unwrap();
        tables.heard.insert(id.to_owned(), Instant::now());
        let known = tables.registered.insert(id.to_owned(), without_seq.clone());
        if known != Some(without_seq) {
            tables.put_one("servers", id, Some(base64(text.as_bytes())));
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Message) -> Reply {
        let (path, _) = request.path_and_query();
        let (status, body) = match path {
            "/api/rows-tx" => self.transact(&request.text()),
            "/api/rows-get" => (200, self.get(request)),
            "/api/rows-feed" => (200, self.feed(request)),
            _ => (404, Json::Null),
        };
        Reply::new(status, body.to_string()).with("Content-Type", "application/json")
    }

    fn with_state(&self, ver: u64, mut fields: Vec<(&str, Json)>) -> Json {
        fields.push(("ver", Json::Num(ver as f64)));
        fields.push(("now_s", Json::Num(self.started.elapsed().as_secs_f64())));
        object(fields)
    }

    fn transact(&self, body: &str) -> (u16, Json) {
        std::thread::sleep(TRANSACTION_TIME);
        let Some(body) = Json::parse(body) else {
            return (400, Json::Null);
        };
        let rows = |name: &str| -> Vec<(RowKey, Json)> {
            let items = body.get(name).map(Json::items).unwrap_or_default();
            let text = |row: &Json, field| {
                let found = row.get(field).and_then(Json::as_str);
                found.unwrap_or("").to_owned()
            };
            let keyed = |row: &Json| ((text(row, "table"), text(row, "key")), row.clone());
            items.iter().map(keyed).collect()
        };
        let (checks, writes, removes) = (rows("precondition"), rows("writes"), rows("remove"));
        let mut tables = self.tables.lock().unwrap();
        let is_read_only = |(key, _): &(RowKey, Json)| READ_ONLY.contains(&key.0.as_str());
        if writes.iter().chain(&removes).any(is_read_only) {
            return (403, Json::Null);
        }
        let holds = |(key, row): &(RowKey, Json)| {
            let ver = tables.rows.get(key).map_or(0, |row| row.ver);
            row.get("ver").and_then(Json::as_u64).unwrap_or(0) == ver
        };
        if !checks.iter().all(holds) {
            let present = checks.iter().filter_map(|(key, _)| {
                let row = tables.rows.get(key)?;
                Some(wire_row(key, row.ver, Some(&row.value)))
            });
            let present = Json::Arr(present.collect());
            return (412, self.with_state(tables.ver, vec![("rows", present)]));
        }
        tables.ver += 1;
        let ver = tables.ver;
        for (key, row) in writes {
            let value = row
                .get("value")
                .and_then(Json::as_str)
                .unwrap_or("")
                .to_owned();
            tables.put(key, Some(value), ver);
        }
        for (key, _) in removes {
            tables.put(key, None, ver);
        }
        self.changed.notify_all();
        (200, self.with_state(ver, Vec::new()))
    }

    fn get(&self, request: &Message) -> Json {
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let before = request.parameter("target");
        let tables = self.tables.lock().unwrap();
        let is_asked = |(key, _): &(&RowKey, &Row)| {
            key.0 == table && key.1 >= from && before.as_ref().is_none_or(|end| key.1 < *end)
        };
        let found = tables.rows.iter().filter(is_asked);
        let found = found.map(|(key, row)| wire_row(key, row.ver, Some(&row.value)));
        let rows = vec![
            ("rows", Json::Arr(found.collect())),
            ("truncated", Json::Bool(false)),
        ];
        self.with_state(tables.ver, rows)
    }

    fn feed(&self, request: &Message) -> Json {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name: &str| -> u64 {
            let text = request.parameter(name);
            text.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let (after, end) = (
            number("after"),
            Instant::now() + Duration::from_millis(number("wait_ms")),
        );
        let mut tables = self.tables.lock().unwrap();
        loop {
            let changes = tables.history.iter();
            let changes = changes.filter(|(key, ver, _)| *ver > after && key.0 == table);
            let changes = changes.map(|(key, ver, value)| wire_row(key, *ver, value.as_ref()));
            let changes: Vec<Json> = changes.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return self.with_state(tables.ver, vec![("rows", Json::Arr(changes))]);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }
}

fn wire_row(key: &RowKey, ver: u64, value: Option<&String>) -> Json {
    let mut fields = vec![
        ("table", string(key.0.as_str())),
        ("part", string("")),
        ("key", string(key.1.as_str())),
        ("ver", Json::Num(ver as f64)),
    ];
    match value {
        Some(value) => fields.push(("value", string(value.as_str()))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    object(fields)
}

/// A target's link to the store.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Opens the link over which the target `id` registers.
    pub fn open(store: &Arc<Store>, ip: &str, id: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let (store, id, cut) = (Arc::clone(store), id.to_owned(), Arc::clone(&is_cut));
        std::thread::spawn(move || {
            let mut held: Vec<TcpStream> = Vec::new();
            for stream in listener.incoming().flatten() {
                if cut.load(Ordering::SeqCst) {
                    // Nothing is read or answered, and what was sent is lost.
                    held.push(stream);
                    continue;
                }
                held.clear();
                let (store, id) = (Arc::clone(&store), id.clone());
                std::thread::spawn(move || {
                    let handler = move |request: &Message| {
                        store.register(&id, &Json::parse(&request.text())?);
                        Some(Reply::new(200, "{}"))
                    };
                    // A target that ends breaks its connection.
                    let _ = http::connection(stream, &handler);
                });
            }
        });
        Link { address, is_cut }
    }

    /// Cuts the link, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}
