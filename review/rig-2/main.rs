//! Stand-ins for the platform's store, the targets of one keyed service, and its clients; starts entry
//! hosts with the command of the deploy file, and judges what targets ran and clients were told.
//!
//! Usage: review-rig-2 FOLDER   (FOLDER gets record.txt; TROUBLE=0 leaves the disruption out)

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEYS: usize = 65536;
const HOSTS: usize = 3;
const TARGETS: usize = 5;
/// Targets that send second responses: 0.6 of them.
const FAULTY: usize = 3;
const SLOTS: u32 = 2;
const QUEUE: u32 = 8;
const WORK: Duration = Duration::from_millis(94);
const WORKERS: u64 = 32;
/// Pause of a client between two requests.
const PACE: Duration = Duration::from_millis(360);
/// Share of requests that targets shed, and of responses that a faulty target sends twice.
const SHED: f64 = 0.55;
const TWICE_SENT: f64 = 0.03;
/// Windows of the disruption after the first served request, in seconds: at, for.
const WINDOWS: [(f64, f64); 12] = [
    (4.0, 5.0),
    (10.5, 5.0),
    (17.0, 5.0),
    (23.5, 5.0),
    (30.0, 5.0),
    (36.5, 5.0),
    (43.0, 5.0),
    (49.5, 5.0),
    (56.0, 5.0),
    (62.5, 5.0),
    (69.0, 5.0),
    (75.5, 5.0),
];
const LENGTH_S: f64 = 82.0;

// ---------------------------------------------------------------- HTTP

struct Req {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Req {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let pair = query
            .split('&')
            .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
        Some(percent_decode(pair))
    }
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Head = (String, Vec<(String, String)>, Vec<u8>);

/// Reads a head and a body with a declared length.
fn read_message(r: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut first = String::new();
    if r.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let mut body = vec![0; length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)];
    r.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn read_request(r: &mut BufReader<TcpStream>) -> Option<Req> {
    let (first, headers, body) = read_message(r)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Req {
        method,
        path,
        headers,
        body,
    })
}

fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}").into_bytes()
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

// ---------------------------------------------------------------- JSON

#[derive(Debug)]
enum Json {
    Null,
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        let Json::Table(fields) = self else {
            return &Json::Null;
        };
        fields
            .iter()
            .find(|(n, _)| n == name)
            .map_or(&Json::Null, |(_, v)| v)
    }
    fn list(&self) -> &[Json] {
        if let Json::List(all) = self { all } else { &[] }
    }
    fn text(&self) -> String {
        if let Json::Text(t) = self {
            t.clone()
        } else {
            String::new()
        }
    }
    fn number(&self) -> f64 {
        if let Json::Number(n) = self { *n } else { 0.0 }
    }
}

struct Parser<'a>(&'a [u8], usize);

impl Parser<'_> {
    fn skip(&mut self) -> u8 {
        while self.1 < self.0.len() && self.0[self.1].is_ascii_whitespace() {
            self.1 += 1;
        }
        *self.0.get(self.1).unwrap_or(&0)
    }
    fn value(&mut self) -> Json {
        match self.skip() {
            b'{' => {
                self.1 += 1;
                let mut fields = Vec::new();
                while self.skip() != b'}' && self.1 < self.0.len() {
                    let name = self.string();
                    self.skip();
                    self.1 += 1;
                    fields.push((name, self.value()));
                    if self.skip() == b',' {
                        self.1 += 1;
                    }
                }
                self.1 += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.1 += 1;
                let mut all = Vec::new();
                while self.skip() != b']' && self.1 < self.0.len() {
                    all.push(self.value());
                    if self.skip() == b',' {
                        self.1 += 1;
                    }
                }
                self.1 += 1;
                Json::List(all)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let start = self.1;
                while self.1 < self.0.len() && !b",]} \n".contains(&self.0[self.1]) {
                    self.1 += 1;
                }
                let word = String::from_utf8_lossy(&self.0[start..self.1]);
                word.parse().map_or(Json::Null, Json::Number)
            }
        }
    }
    fn string(&mut self) -> String {
        self.skip();
        self.1 += 1;
        let mut out = Vec::new();
        while self.1 < self.0.len() && self.0[self.1] != b'"' {
            if self.0[self.1] == b'\\' {
                self.1 += 1;
            }
            out.push(self.0[self.1]);
            self.1 += 1;
        }
        self.1 += 1;
        String::from_utf8_lossy(&out).into_owned()
    }
}

fn base64(bytes: &[u8]) -> String {
    const ABC: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = ABC[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Rows {
    ver: u64,
    /// By table and key: the value, if the row exists, and the version of its last change.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

fn row_json(key: &(String, String), row: &(Option<String>, u64)) -> String {
    let (table, name) = key;
    let value = match &row.0 {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{name}\",{value},\"ver\":{}}}",
        row.1
    )
}

impl Store {
    fn put(&self, table: &str, key: &str, json: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert(
            (table.into(), key.into()),
            (Some(base64(json.as_bytes())), ver),
        );
        self.changed.notify_all();
    }
    fn body(&self, rows: &[String], ver: u64) -> String {
        let now = self.start.elapsed().as_secs_f64();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now_s\":{now:.3}}}")
    }
    fn get(&self, req: &Req) -> String {
        let table = req.query("table").unwrap_or_default();
        let (from, to) = (req.query("from").unwrap_or_default(), req.query("target"));
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, k), (value, _))| {
            *t == table && value.is_some() && *k >= from && to.as_ref().is_none_or(|to| k < to)
        });
        let found: Vec<String> = found.map(|(k, r)| row_json(k, r)).collect();
        self.body(&found, rows.ver)
    }
    fn feed(&self, req: &Req) -> String {
        let table = req.query("table").unwrap_or_default();
        let number = |name| req.query(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let (after, until) = (
            number("after"),
            Instant::now() + Duration::from_millis(number("wait_ms")),
        );
        let mut rows = self.rows.lock().unwrap();
        loop {
            let news = rows
                .rows
                .iter()
                .filter(|((t, _), (_, ver))| *t == table && *ver > after);
            let mut news: Vec<(u64, String)> = news.map(|(k, r)| (r.1, row_json(k, r))).collect();
            news.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let news: Vec<String> = news.into_iter().map(|(_, row)| row).collect();
                return self.body(&news, rows.ver);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
    fn tx(&self, req: &Req) -> (&'static str, String) {
        let body = Parser(&req.body, 0).value();
        let key = |row: &Json| (row.get("table").text(), row.get("key").text());
        let mut rows = self.rows.lock().unwrap();
        let current = |rows: &Rows, row: &Json| match rows.rows.get(&key(row)) {
            Some((Some(_), ver)) => *ver,
            _ => 0,
        };
        let checks = body.get("precondition").list();
        if checks
            .iter()
            .any(|c| current(&rows, c) != c.get("ver").number() as u64)
        {
            let known = checks
                .iter()
                .filter_map(|c| rows.rows.get_key_value(&key(c)));
            let known: Vec<String> = known.map(|(k, r)| row_json(k, r)).collect();
            return ("412 Precondition Failed", self.body(&known, rows.ver));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for write in body.get("writes").list() {
            rows.rows
                .insert(key(write), (Some(write.get("value").text()), ver));
        }
        for gone in body.get("remove").list() {
            rows.rows.insert(key(gone), (None, ver));
        }
        self.changed.notify_all();
        ("200 OK", self.body(&[], ver))
    }
    fn answer(&self, stream: TcpStream) {
        let mut w = stream.try_clone().unwrap();
        let mut r = BufReader::new(stream);
        while let Some(req) = read_request(&mut r) {
            let (status, body) = match req.path.split('?').next().unwrap_or("") {
                "/api/rows-get" => ("200 OK", self.get(&req)),
                "/api/rows-feed" => ("200 OK", self.feed(&req)),
                "/api/rows-tx" => {
                    thread::sleep(Duration::from_millis(5));
                    self.tx(&req)
                }
                _ => ("404 Not Found", "{}".to_owned()),
            };
            if w.write_all(&response(
                status,
                "Content-Type: application/json\r\n",
                &body,
            ))
            .is_err()
            {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- targets

struct Held {
    seen: Vec<u64>,
    until: Vec<Option<Instant>>,
    running_keys: Vec<usize>,
    running: u32,
    waiting: u32,
}

struct Target {
    id: String,
    is_faulty: bool,
    held: Mutex<Held>,
    changed: Condvar,
}

struct World {
    start: Instant,
    /// Start of the windows of the disruption.
    zero: Mutex<Option<Instant>>,
    has_trouble: bool,
    record: Mutex<String>,
    runs: Mutex<HashMap<String, u32>>,
    answers: Mutex<HashMap<String, u16>>,
    rejected: AtomicU64,
    second: AtomicU64,
}

impl World {
    fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:9.4} {text}");
    }
    fn is_troubled(&self) -> bool {
        let Some(zero) = *self.zero.lock().unwrap() else {
            return false;
        };
        let at = zero.elapsed().as_secs_f64();
        self.has_trouble
            && WINDOWS
                .iter()
                .any(|(from, span)| at >= *from && at < from + span)
    }
}

/// Returns a random number between 0 and 1.
fn random() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let hash = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    hash as f64 / u64::MAX as f64
}

impl Target {
    fn order(&self, req: &Req) -> Vec<u8> {
        let body = Parser(&req.body, 0).value();
        let (from, to) = (
            body.get("from").number() as usize,
            body.get("target").number() as usize,
        );
        let (fence, hold) = (
            body.get("fence").number() as u64,
            body.get("hold_s").number(),
        );
        let echo = req.header("medlardyke-request-id").unwrap_or("");
        let echo = format!("Medlardyke-Request-Id: {echo}\r\n");
        let mut held = self.held.lock().unwrap();
        if req.path == "/api/grant" {
            if held.seen[from..=to].iter().any(|seen| *seen > fence) {
                return response("409 Conflict", &echo, "");
            }
            let until = Instant::now() + Duration::from_secs_f64(hold);
            held.seen[from..=to].fill(fence);
            held.until[from..=to].fill(Some(until));
            return response("200 OK", &echo, "");
        }
        for key in from..=to {
            if fence >= held.seen[key] {
                held.seen[key] = fence;
                held.until[key] = None;
            }
        }
        while held.running_keys.iter().any(|k| (from..=to).contains(k)) {
            held = self.changed.wait(held).unwrap();
        }
        response(
            "200 OK",
            &format!("{echo}Medlardyke-Handover: h{fence}\r\n"),
            "",
        )
    }

    /// Runs a request, or rejects it; returns the response.
    fn run(&self, world: &World, req: &Req) -> Vec<u8> {
        let id = req.header("medlardyke-request-id").unwrap_or("").to_owned();
        let key: usize = req
            .header("medlardyke-shard-key")
            .and_then(|k| k.parse().ok())
            .unwrap_or(0);
        let echo = format!("Medlardyke-Request-Id: {id}\r\n");
        let reject = |status: &str, why: &str| {
            world.rejected.fetch_add(1, Ordering::Relaxed);
            world.note(&format!("{} rejects {id}: {why}", self.id));
            response(status, &format!("{echo}Medlardyke-Not-Executed: 1\r\n"), "")
        };
        if req
            .header("medlardyke-target-instance")
            .is_some_and(|t| t != self.id)
        {
            let other = format!(
                "{echo}Medlardyke-Instance-Id: {}\r\nMedlardyke-Not-Executed: 1\r\n",
                self.id
            );
            return response("421 Misdirected Request", &other, "");
        }
        if world.is_troubled() && random() < SHED {
            return reject("503 Service Unavailable", "shed");
        }
        let mut held = self.held.lock().unwrap();
        if held.running >= SLOTS && held.waiting >= QUEUE {
            return reject("503 Service Unavailable", "full");
        }
        held.waiting += 1;
        while held.running >= SLOTS {
            held = self.changed.wait(held).unwrap();
        }
        held.waiting -= 1;
        if held.until[key].is_none_or(|until| Instant::now() >= until) {
            drop(held);
            return reject("421 Misdirected Request", "key not held");
        }
        held.running += 1;
        held.running_keys.push(key);
        let load = format!("{},{},{SLOTS}", held.running, held.waiting);
        drop(held);
        let nth = {
            let mut runs = world.runs.lock().unwrap();
            let nth = runs.entry(id.clone()).or_default();
            *nth += 1;
            *nth
        };
        world.note(&format!(
            "{} runs {id} (run {nth} of this request)",
            self.id
        ));
        thread::sleep(WORK);
        let mut held = self.held.lock().unwrap();
        held.running -= 1;
        let at = held.running_keys.iter().position(|k| *k == key);
        held.running_keys.swap_remove(at.unwrap());
        self.changed.notify_all();
        drop(held);
        let seal = format!(
            "Medlardyke-Response-Seal: s{nth}.{id}\r\nMedlardyke-Instance-Load: {load}\r\n"
        );
        response("200 OK", &format!("{echo}{seal}"), &format!("done {id}"))
    }

    fn answer(&self, world: &World, stream: TcpStream) {
        let mut w = stream.try_clone().unwrap();
        let mut r = BufReader::new(stream);
        // A second copy of the last response, which comes where the next response is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Some(req) = read_request(&mut r) {
            if let Some(copy) = late.take() {
                world.second.fetch_add(1, Ordering::Relaxed);
                let id = req.header("medlardyke-request-id").unwrap_or("");
                world.note(&format!(
                    "{} sends a late second response, as {id} arrives",
                    self.id
                ));
                if w.write_all(&copy).is_err() {
                    return;
                }
            }
            let is_order = req.method == "POST" && req.path.starts_with("/api/");
            let answer = if is_order {
                self.order(&req)
            } else {
                self.run(world, &req)
            };
            if w.write_all(&answer).is_err() {
                return;
            }
            if self.is_faulty && !is_order && world.is_troubled() && random() < TWICE_SENT {
                late = Some(answer);
            }
        }
    }
}

// ---------------------------------------------------------------- hosts and clients

struct Hosts(Vec<Child>);

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.0 {
            let _ = host.kill();
            let _ = host.wait();
        }
    }
}

fn is_free(ip: &str, port: u16) -> bool {
    let udp = std::net::UdpSocket::bind((ip, port));
    TcpListener::bind((ip, port)).is_ok() && udp.is_ok()
}

fn settings(template: &str, ip: &str, port: u16, i: usize, store: SocketAddr) -> String {
    let mut text = template
        .replace("{{#bootstrap}}", "")
        .replace("{{/bootstrap}}", "");
    if let (Some(from), Some(to)) = (
        text.find("{{#bounds.cold_over}}"),
        text.find("{{/bounds.cold_over}}"),
    ) {
        text.replace_range(from..to + "{{/bounds.cold_over}}".len(), "");
    }
    let values = [
        ("node", format!("front-{i}")),
        ("zone", "lla-hall".to_owned()),
        ("ip", ip.to_owned()),
        ("limits.cpu_share", "0.2".to_owned()),
        ("limits.cores", "1".to_owned()),
        ("limits.memory_mb", "260".to_owned()),
        ("listen.front", format!("{ip}:{port}")),
        ("listen.ready", format!("{ip}:{}", port + 1)),
        ("internal_ports.0", (port + 2).to_string()),
        ("internal_ports.1", (port + 9).to_string()),
        ("platform.address", store.to_string()),
        ("bounds.budget_ratio", "0.2".to_owned()),
        ("bounds.budget_slack", "180".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.grace_s", "6".to_owned()),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

/// Sends a request on a channel of its own; returns the status.
fn post(to: SocketAddr, id: &str, key: usize) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream
        .set_read_timeout(Some(Duration::from_millis(1_000)))
        .ok()?;
    let body = "l".repeat(300);
    let req = format!(
        "POST /landing/{key} HTTP/1.1\r\nHost: landing.example\r\nMedlardyke-Request-Id: {id}\r\n\
         Medlardyke-Deadline-Ms: 1000\r\nMedlardyke-Shard-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(req.as_bytes()).ok()?;
    let (first, _, _) = read_message(&mut BufReader::new(stream))?;
    first.split(' ').nth(1)?.parse().ok()
}

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let world = Arc::new(World {
        start: Instant::now(),
        zero: Mutex::new(None),
        has_trouble,
        record: Mutex::default(),
        runs: Mutex::default(),
        answers: Mutex::default(),
        rejected: AtomicU64::new(0),
        second: AtomicU64::new(0),
    });
    let code = play(&world);
    let _ = fs::write(
        format!("{folder}/record.txt"),
        world.record.lock().unwrap().as_str(),
    );
    std::process::exit(code);
}

fn play(world: &Arc<World>) -> i32 {
    let store = Arc::new(Store {
        rows: Mutex::default(),
        changed: Condvar::new(),
        start: Instant::now(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let store_at = listener.local_addr().expect("bound");
    let shared = Arc::clone(&store);
    serve(listener, move |stream| shared.answer(stream));
    let config = r#"{"version":"00000001","routes":{"columns":["name","host","prefix","route_kind","timeout_s","aim_s","priority","split","max_attempts","service"],"rows":[["r-landing","landing.example","/landing/","unsafe",1.0,0.3,1,null,2,"landningslogg"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls","sharded","warm_s","grants"],"rows":[["landningslogg","/healthz",480,"h1",false,true,2.0,"invoke"]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
    store.put("op", "config", config);
    for i in 0..TARGETS {
        let held = Held {
            seen: vec![0; KEYS],
            until: vec![None; KEYS],
            running_keys: Vec::new(),
            running: 0,
            waiting: 0,
        };
        let target = Arc::new(Target {
            id: format!("i-{i}"),
            is_faulty: i < FAULTY,
            held: Mutex::new(held),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("bound");
        let (shared, w) = (Arc::clone(&target), Arc::clone(world));
        serve(listener, move |stream| shared.answer(&w, stream));
        let store = Arc::clone(&store);
        thread::spawn(move || {
            for seq in 1.. {
                let row = format!(
                    "{{\"address\":\"{at}\",\"info\":{{\"service\":\"landningslogg\",\"version\":\"v1\",\"zone\":\"lla-hall\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\"warmup_left_s\":0}}}}"
                );
                store.put("servers", &target.id, &row);
                thread::sleep(Duration::from_millis(870));
            }
        });
    }
    let template = fs::read_to_string("deploy/settings.json").expect("run in the repository");
    let dir = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let net = 1 + std::process::id() % 250;
    let ips: Vec<String> = (1..=HOSTS).map(|i| format!("127.88.{net}.{i}")).collect();
    let port = (0..400u16)
        .map(|n| 20_000 + 20 * n)
        .find(|p| ips.iter().all(|ip| (0..10).all(|d| is_free(ip, p + d))));
    let Some(port) = port else {
        eprintln!("no free ports");
        return 2;
    };
    let mut hosts = Hosts(Vec::new());
    for (i, ip) in ips.iter().enumerate() {
        let file = dir.join(format!("host-{i}.json"));
        fs::write(&file, settings(&template, ip, port, i, store_at)).expect("a settings file");
        let log = fs::File::create(dir.join(format!("host-{i}.log"))).expect("a log file");
        let child = Command::new("target/release/medlardyke")
            .args(["direct", "--settings"])
            .arg(&file)
            .env("MEDLARDYKE_NODE_FILE", &file)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => hosts.0.push(child),
            Err(e) => {
                eprintln!("start a host: {e}");
                return 2;
            }
        }
    }
    let fronts: Vec<SocketAddr> = ips
        .iter()
        .map(|ip| format!("{ip}:{port}").parse().unwrap())
        .collect();
    let started = Instant::now();
    while !fronts
        .iter()
        .all(|f| post(*f, &format!("start-{}", random()), 7) == Some(200))
    {
        if started.elapsed() > Duration::from_secs(30) {
            eprintln!("the hosts do not serve");
            let _ = fs::remove_dir_all(&dir);
            return 2;
        }
        thread::sleep(Duration::from_millis(200));
    }
    *world.zero.lock().unwrap() = Some(Instant::now());
    world.note("all hosts serve");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..WORKERS)
        .map(|c| {
            let (world, stop, fronts) = (Arc::clone(world), Arc::clone(&stop), fronts.clone());
            thread::spawn(move || {
                thread::sleep(PACE.mul_f64(random()));
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let (id, sent) = (format!("c{c}-{n}"), Instant::now());
                    let key = (random() * KEYS as f64) as usize % KEYS;
                    let front = fronts[((c + n) % HOSTS as u64) as usize];
                    world.note(&format!("client sends {id} (key {key})"));
                    let status = post(front, &id, key);
                    world.note(&format!("client gets {status:?} to {id}"));
                    world
                        .answers
                        .lock()
                        .unwrap()
                        .insert(id, status.unwrap_or(0));
                    thread::sleep(PACE.saturating_sub(sent.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(LENGTH_S));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let ended = hosts
        .0
        .iter_mut()
        .any(|h| !matches!(h.try_wait(), Ok(None)));
    drop(hosts);
    let _ = fs::remove_dir_all(&dir);
    judge(world, ended)
}

fn judge(world: &World, ended: bool) -> i32 {
    let (runs, answers) = (world.runs.lock().unwrap(), world.answers.lock().unwrap());
    let twice: Vec<&String> = runs
        .iter()
        .filter(|(_, n)| **n > 1)
        .map(|(id, _)| id)
        .collect();
    let is_promise = |status: u16| [408, 421, 429, 503].contains(&status);
    let refused = answers
        .iter()
        .filter(|(id, s)| is_promise(**s) && runs.contains_key(*id));
    let refused: Vec<&String> = refused.map(|(id, _)| id).collect();
    let served = answers.values().filter(|s| **s == 200).count();
    let sum = format!(
        "{} requests, {served} answered 200, {} rejected by targets, {} late second responses; \
         TWICE: {} ran more than once {twice:?}; REFUSED: {} refused and run {refused:?}; a host ended: {ended}",
        answers.len(),
        world.rejected.load(Ordering::Relaxed),
        world.second.load(Ordering::Relaxed),
        twice.len(),
        refused.len(),
    );
    world.note(&sum);
    println!("{sum}");
    if served * 4 < answers.len() || answers.is_empty() || ended {
        return 2;
    }
    i32::from(!refused.is_empty())
}
