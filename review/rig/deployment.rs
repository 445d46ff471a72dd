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

/// Returns the operator's manifest: one route to one service that is divided by key.
fn manifest() -> Json {
    let text = r#"{"version":"00000002",
        "routes":{"columns":["name","host","prefix","route_kind","timeout_s","aim_s","priority",
                "split","max_attempts","service"],
            "rows":[["movement-read","lookup.example","/r/","safe",1.5,0.6,1,null,2,"tariffbok"]]},
        "services":{"columns":["name","health_path","max_connections","protocol","tls","sharded",
                "warm_s","grants"],
            "rows":[["tariffbok","/healthz",130,"h1",false,true,2.0,"invoke"]]},
        "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,
            "idle_timeout_s":15}}"#;
    Json::parse(text).expect("the manifest is valid")
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Requests are on keys from this one on.
    pub first_key: u64,
    /// Number of the keys.
    pub keys: u64,
    pub path: &'static str,
    /// Pause between two requests.
    pub pause: Duration,
}

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
    /// Starts everything but the callers; returns none if a host does not become ready.
    pub fn start(targets: usize, kind: &Kind) -> Option<Self> {
        let net = loopback_net();
        let dir = temporary_folder();
        let record = Record::default();
        let (store, address) = Store::start(&format!("{net}.90"));
        store.put("op", "config", &manifest());
        let target = |number| Target::start(&store, &net, number, kind, &record);
        let targets = (0..targets).map(target).collect();
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

    /// Returns whether `target` has answered a release.
    pub fn has_released(&self, target: &str) -> bool {
        let life = format!("target {target}#");
        let is_release =
            |(_, line): &(u64, String)| line.starts_with(&life) && line.contains(" released ");
        self.record.lines().iter().any(is_release)
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

/// Sends requests with keys, one after the other, until `stop` is set.
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
        let key = load.first_key + (random >> 40) % load.keys;
        let (id, key) = (format!("c{number}-{i}"), key.to_string());
        let headers = [
            ("Host", "lookup.example"),
            ("Medlardyke-Request-Id", id.as_str()),
            ("Medlardyke-Deadline-Ms", "1500"),
            ("Medlardyke-Shard-Key", key.as_str()),
        ];
        record.add(format!("sent {id} key {key} to {host}"));
        let opened = match connection.take() {
            Some(kept) => Ok(kept),
            None => Client::open(host, Duration::from_secs(3)),
        };
        let answer = opened.and_then(|mut client| {
            let answer = client.call(&format!("GET {}", load.path), &headers, b"")?;
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
