//! A small deployment: store, targets, hosts and callers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::fleet::{Host, Kind, Record, Target, loopback_net, temporary_folder};
use crate::http::Client;
use crate::json::Json;
use crate::store::Store;

const HOSTS: usize = 3;

/// Returns the operator's manifest: three routes, each to a service of its own; that of the reads is
/// divided by key.
fn manifest() -> Json {
    let text = r#"{"version":"00000002",
        "routes":{"columns":["name","host","prefix","route_kind","timeout_s","aim_s","priority",
                "split","max_attempts","service"],
            "rows":[["movement-read","lookup.example","/r/","safe",1.5,0.6,2,null,2,"tariffbok"],
                ["landing-post","landing.example","/l/","unsafe",2.0,0.8,1,null,2,"landningslogg"],
                ["invoice-issue","invoice.example","/i/","unsafe",1.2,0.5,0,null,2,"fakturering"]]},
        "services":{"columns":["name","health_path","max_connections","protocol","tls","sharded",
                "warm_s","grants"],
            "rows":[["tariffbok","/healthz",130,"h1",false,true,2.0,"invoke"],
                ["landningslogg","/healthz",130,"h1",false,null,null,null],
                ["fakturering","/healthz",130,"h1",false,null,null,null]]},
        "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,
            "idle_timeout_s":15}}"#;
    Json::parse(text).expect("the manifest is valid")
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Beginning of the requests' ids.
    pub name: &'static str,
    /// Method and path.
    pub start: &'static str,
    pub host: &'static str,
    pub body: &'static str,
    /// The first of the keys, and their number; requests have no key if it is zero.
    pub first_key: u64,
    pub keys: u64,
    /// Pause between two requests.
    pub pause: Duration,
}

/// Reads of any key.
pub const READS: Load = Load {
    name: "read",
    start: "GET /r/x",
    host: "lookup.example",
    body: "",
    first_key: 0,
    keys: 65_536,
    pause: Duration::from_millis(40),
};

/// Processes and threads of a deployment; they end when it is dropped.
pub struct Deployment {
    pub record: Record,
    pub targets: Vec<Target>,
    pub hosts: Vec<Host>,
    pub store: Arc<Store>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    dir: PathBuf,
}

impl Deployment {
    /// Starts everything but the callers, with a number of targets of each kind; returns none if a
    /// host does not become ready.
    pub fn start(kinds: &[(usize, Kind)]) -> Option<Self> {
        let net = loopback_net();
        let dir = temporary_folder();
        let record = Record::default();
        let (store, address) = Store::start(&format!("{net}.90"));
        store.put("op", "config", &manifest());
        let all = kinds.iter();
        let all = all.flat_map(|(count, kind)| std::iter::repeat_n(kind, *count));
        let all = all.enumerate();
        let targets = all
            .map(|(number, kind)| Target::start(&store, &net, number, kind, &record))
            .collect();
        let host = |number| Host::start(number, &net, address, &dir);
        let hosts: Vec<Host> = (0..HOSTS).map(host).collect();
        let are_ready = hosts.iter().all(Host::wait_until_ready);
        if !are_ready {
            eprintln!("a host did not become ready; logs are in {}", dir.display());
        }
        are_ready.then_some(Deployment {
            record,
            targets,
            hosts,
            store,
            stop: Arc::default(),
            callers: Vec::new(),
            dir,
        })
    }

    /// Starts `count` callers, which send their requests one after the other.
    pub fn call(&mut self, count: usize, load: Load) {
        for _ in 0..count {
            let number = self.callers.len();
            let host = self.hosts[number % self.hosts.len()].callers;
            let (record, stop) = (self.record.clone(), Arc::clone(&self.stop));
            let caller = move || caller(number, host, load, &record, &stop);
            self.callers.push(std::thread::spawn(caller));
        }
    }

    /// Returns the number of requests that were answered with success so far.
    pub fn served(&self) -> usize {
        let lines = self.record.lines();
        let is_served =
            |(_, line): &&(u64, String)| line.starts_with("answered ") && line.ends_with(" 200");
        lines.iter().filter(is_served).count()
    }

    /// Returns the target that was last granted `key`.
    pub fn holder(&self, key: usize) -> Option<String> {
        let lines = self.record.lines();
        lines.iter().rev().find_map(|(_, line)| {
            let words: Vec<&str> = line.split(' ').collect();
            let ["target", life, "grant", from, to, ..] = words.as_slice() else {
                return None;
            };
            let range = from.parse().ok()?..=to.parse().ok()?;
            let target = life.split('#').next().unwrap_or(life);
            range.contains(&key).then(|| target.to_owned())
        })
    }

    /// Returns how many events of this kind there were at `target`.
    pub fn events(&self, target: &str, event: &str) -> usize {
        let life = format!("target {target}#");
        let event = format!(" {event} ");
        let lines = self.record.lines();
        let is_event =
            |(_, line): &&(u64, String)| line.starts_with(&life) && line.contains(&event);
        lines.iter().filter(is_event).count()
    }

    /// Stops the callers and ends all processes; returns whether the hosts had run until then.
    pub fn stop(&mut self) -> bool {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            caller.join().expect("callers don't panic");
        }
        let did_run = self.hosts.iter_mut().all(Host::runs);
        self.hosts.clear();
        self.targets.clear();
        did_run
    }

    /// Writes the record, and removes the settings and logs of the hosts if the case could run.
    pub fn finish(&self, record_path: &Path, could_run: bool) {
        self.record.write(record_path);
        if could_run {
            // The folder is temporary; nothing depends on its removal.
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("the case could not run; logs are in {}", self.dir.display());
        }
    }
}

/// Sends requests, one after the other, until `stop` is set.
fn caller(number: usize, host: SocketAddr, load: Load, record: &Record, stop: &AtomicBool) {
    let mut connection = None;
    let mut random = 0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(number as u64 + 1);
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(load.pause);
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let key = load.first_key + (random >> 40) % load.keys.max(1);
        let (id, key) = (format!("{}-c{number}-{i}", load.name), key.to_string());
        let mut headers = vec![
            ("Host", load.host),
            ("Medlardyke-Request-Id", id.as_str()),
            ("Medlardyke-Deadline-Ms", "1500"),
        ];
        if load.keys > 0 {
            headers.push(("Medlardyke-Shard-Key", key.as_str()));
        }
        record.add(format!("sent {id} key {key} to {host}"));
        let opened = match connection.take() {
            Some(kept) => Ok(kept),
            None => Client::open(host, Duration::from_secs(3)),
        };
        let answer = opened.and_then(|mut client| {
            let answer = client.call(load.start, &headers, load.body.as_bytes())?;
            Ok((client, answer))
        });
        match answer {
            Ok((client, answer)) => {
                record.add(format!("answered {id} {}", answer.status()));
                if answer.header("connection") != Some("close") {
                    connection = Some(client);
                }
            }
            Err(e) => record.add(format!("unanswered {id} {e}")),
        }
    }
}
