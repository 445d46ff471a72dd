//! A stand-in for a target (a server of the users), as a process of its own.
//!
//! It prints one line for each event: the time in microseconds since the Unix epoch, the event, and
//! its details.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Client, Message, Reply};
use crate::json::{Json, object, string};
use crate::store::HEARTBEAT;

/// Pause before a registration that failed is sent again.
const REGISTER_AGAIN: Duration = Duration::from_millis(200);
const KEYS: usize = 65_536;
/// How much longer the work of some requests is.
const LONG_WORK: u32 = 5;

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address of its link to the store.
    pub store: SocketAddr,
    pub work: Duration,
    pub slots: u32,
    /// Whether it sends a second answer to its first release, late.
    pub repeats_answer: bool,
    /// Whether its registration says when it started: where a target may start again under its id.
    pub states_start: bool,
}

impl Settings {
    /// Encodes the settings as arguments of the process.
    pub fn to_args(&self) -> Vec<String> {
        vec![
            "target".to_owned(),
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.address.to_string(),
            self.store.to_string(),
            self.work.as_millis().to_string(),
            self.slots.to_string(),
            self.repeats_answer.to_string(),
            self.states_start.to_string(),
        ]
    }

    /// Returns the registration of the process that started at `born`, as it writes it for the
    /// `seq`th time.
    pub fn registration(&self, born: u64, seq: u32) -> Json {
        let born = ("born", Json::Num(born as f64));
        let mut fields = vec![
            ("address", string(self.address.to_string())),
            (
                "info",
                object(vec![
                    ("service", string(self.service.as_str())),
                    ("version", string("v1")),
                    ("zone", string(self.zone.as_str())),
                    ("slots", Json::Num(self.slots.into())),
                ]),
            ),
            (
                "status",
                object(vec![
                    ("state", string("ready")),
                    ("warmup_left_s", Json::Num(0.0)),
                    ("seq", Json::Num(seq.into())),
                ]),
            ),
        ];
        if self.states_start {
            fields.insert(0, born);
        }
        object(fields)
    }

    pub fn from_args(args: &[String]) -> Self {
        Settings {
            id: args[1].clone(),
            service: args[2].clone(),
            zone: args[3].clone(),
            address: args[4].parse().expect("an address"),
            store: args[5].parse().expect("an address"),
            work: Duration::from_millis(args[6].parse().expect("a number")),
            slots: args[7].parse().expect("a number"),
            repeats_answer: args[8] == "true",
            states_start: args[9] == "true",
        }
    }
}

/// Microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970")
        .as_micros() as u64
}

fn print_event(event: &str) {
    println!("{} {event}", now_us());
}

/// What the target knows of one key.
#[derive(Debug, Clone, Copy)]
struct KeyState {
    highest_fence: u64,
    held_until: Option<Instant>,
    running: u32,
}

struct Target {
    cfg: Settings,
    keys: Mutex<Vec<KeyState>>,
    work_ended: Condvar,
    running: AtomicU32,
    /// Whether the late copy of an answer is still to come.
    owes_copy: AtomicBool,
}

/// Runs a target until the process is killed.
pub fn run(cfg: Settings) {
    let listener = TcpListener::bind(cfg.address).expect("the target's address is free");
    let born = now_us() / 1_000;
    print_event(&format!("born {} {born}", cfg.id));
    let idle = KeyState {
        highest_fence: 0,
        held_until: None,
        running: 0,
    };
    let target = Arc::new(Target {
        cfg: cfg.clone(),
        keys: Mutex::new(vec![idle; KEYS]),
        work_ended: Condvar::new(),
        running: AtomicU32::new(0),
        owes_copy: AtomicBool::new(cfg.repeats_answer),
    });
    std::thread::spawn(move || heartbeat(&cfg, born));
    let handler = move |request: &Message| Some(target.answer(request));
    http::serve(listener, Arc::new(handler));
}

/// Registers the target, and again at each heartbeat.
fn heartbeat(cfg: &Settings, born: u64) {
    for seq in 1.. {
        let row = cfg.registration(born, seq);
        let sent = Client::open(cfg.store, REGISTER_AGAIN).and_then(|mut store| {
            store.call(
                "PUT /register",
                &[("Host", "store")],
                row.to_string().as_bytes(),
            )
        });
        match sent {
            Ok(_) => {
                print_event(&format!("registered {} {born} {seq}", cfg.id));
                std::thread::sleep(HEARTBEAT);
            }
            Err(_) => std::thread::sleep(REGISTER_AGAIN),
        }
    }
}

/// A range of keys and a fencing token.
struct Order {
    from: usize,
    to: usize,
    fence: u64,
    hold: Duration,
}

impl Order {
    fn read(request: &Message) -> Option<Self> {
        let body = Json::parse(&request.text())?;
        let number = |name: &str| body.get(name).and_then(Json::as_u64);
        let hold = body.get("hold_s").and_then(Json::as_f64).unwrap_or(0.0);
        Some(Order {
            from: number("from")? as usize,
            to: number("target")? as usize,
            fence: number("fence")?,
            hold: Duration::from_secs_f64(hold),
        })
    }
}

impl Target {
    /// Answers a request or an order; an answer echoes the id of its request, if there is one.
    fn answer(&self, request: &Message) -> Reply {
        let reply = self.handle(request);
        match request.header("medlardyke-request-id") {
            Some(id) => reply.with("Medlardyke-Request-Id", id),
            None => reply,
        }
    }

    fn handle(&self, request: &Message) -> Reply {
        let meant_for = request.header("medlardyke-target-instance");
        if meant_for.is_some_and(|id| id != self.cfg.id) {
            return Reply::new(421, "")
                .with("Medlardyke-Instance-Id", self.cfg.id.as_str())
                .with("Medlardyke-Not-Executed", "1");
        }
        match request.path_and_query().0 {
            "/api/grant" => self.grant(request),
            "/api/release" => self.release(request),
            "/healthz" => Reply::new(200, "").with("Medlardyke-Instance-Id", self.cfg.id.as_str()),
            _ => self.serve(request),
        }
    }

    fn grant(&self, request: &Message) -> Reply {
        let Some(order) = Order::read(request) else {
            return Reply::new(400, "");
        };
        let mut keys = self.keys.lock().unwrap();
        let range = &mut keys[order.from..=order.to];
        let is_refused = range.iter().any(|key| key.highest_fence > order.fence);
        if !is_refused {
            let until = Instant::now() + order.hold;
            for key in range {
                key.highest_fence = order.fence;
                key.held_until = Some(until);
            }
        }
        let result = if is_refused { "refused" } else { "grant" };
        print_event(&format!(
            "{result} {} {} {} {}",
            order.from,
            order.to,
            order.fence,
            order.hold.as_micros()
        ));
        Reply::new(if is_refused { 409 } else { 200 }, "")
    }

    fn release(&self, request: &Message) -> Reply {
        let Some(order) = Order::read(request) else {
            return Reply::new(400, "");
        };
        let mut keys = self.keys.lock().unwrap();
        for key in &mut keys[order.from..=order.to] {
            key.highest_fence = key.highest_fence.max(order.fence);
            key.held_until = None;
        }
        print_event(&format!(
            "release {} {} {}",
            order.from, order.to, order.fence
        ));
        while keys[order.from..=order.to]
            .iter()
            .any(|key| key.running > 0)
        {
            keys = self.work_ended.wait(keys).unwrap();
        }
        print_event(&format!(
            "released {} {} {}",
            order.from, order.to, order.fence
        ));
        Reply {
            has_late_copy: self.owes_copy.swap(false, Ordering::SeqCst),
            ..Reply::new(200, "").with("Medlardyke-Handover", "5c0e7a21d94b36f8")
        }
    }

    fn serve(&self, request: &Message) -> Reply {
        let id = request
            .header("medlardyke-request-id")
            .unwrap_or("")
            .to_owned();
        let key = request
            .header("medlardyke-shard-key")
            .and_then(|key| key.parse::<u16>().ok());
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let is_long = request.path_and_query().0.ends_with("/long");
        let work = self.cfg.work * if is_long { LONG_WORK } else { 1 };
        let reply = self.run_request(&id, key, running, work);
        let left = self.running.fetch_sub(1, Ordering::SeqCst) - 1;
        let load = format!("{left},0,{}", self.cfg.slots);
        reply.with("Medlardyke-Instance-Load", load)
    }

    fn run_request(&self, id: &str, key: Option<u16>, running: u32, work: Duration) -> Reply {
        if running > self.cfg.slots + 16 {
            return Reply::new(503, "").with("Medlardyke-Not-Executed", "1");
        }
        if let Some(key) = key {
            let mut keys = self.keys.lock().unwrap();
            let state = &mut keys[usize::from(key)];
            if state.held_until.is_none_or(|until| Instant::now() >= until) {
                return Reply::new(421, "").with("Medlardyke-Not-Executed", "1");
            }
            state.running += 1;
            print_event(&format!("run {id} {key}"));
        } else {
            print_event(&format!("run {id} -"));
        }
        std::thread::sleep(work);
        if let Some(key) = key {
            // Before the work counts as ended, so that a release is answered after this event.
            print_event(&format!("end {id} {key}"));
            self.keys.lock().unwrap()[usize::from(key)].running -= 1;
            self.work_ended.notify_all();
        }
        Reply::new(200, format!("answer to {id}")).with("Medlardyke-Response-Seal", id)
    }
}
