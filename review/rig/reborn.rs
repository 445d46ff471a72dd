//! A target that restarts under its id while it is cut off from the store.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Host, Record, Target, loopback_net, temporary_folder};
use crate::http::Client;
use crate::json::Json;
use crate::rules;
use crate::store::Store;
use crate::target::now_us;

const TARGETS: usize = 10;
const HOSTS: usize = 3;
const CLIENTS: usize = 9;
/// Keys below this are busy: half of the requests are on them.
const BUSY_KEYS: u64 = 6_000;
/// A key whose holder is cut off from the store.
const KEY: usize = 3_000;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Time of calm traffic before the cut.
const CALM: Duration = Duration::from_secs(8);
/// From the cut to the end of the old process.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// From the end of the old process to the start of the new one.
const DOWN: Duration = Duration::from_millis(300);
/// From the cut until it heals.
const CUT: Duration = Duration::from_millis(1_700);
/// Time after the cut in which holds are watched.
const AFTER: Duration = Duration::from_secs(10);
/// Time after a link healed in which grants don't count (`thaw_s`).
const HEALED_US: u64 = 300_000;

/// Returns the operator's manifest: one route to one service that is divided by key.
fn manifest() -> Json {
    let text = r#"{"version":"00000002",
        "routes":{"columns":["name","host","prefix","route_kind","timeout_s","aim_s","priority","split","max_attempts","service"],
            "rows":[["movement-read","lookup.example","/r/","safe",1.5,0.6,1,null,2,"tariffbok"]]},
        "services":{"columns":["name","health_path","max_connections","protocol","tls","sharded","warm_s","grants"],
            "rows":[["tariffbok","/healthz",130,"h1",false,true,2.0,"invoke"]]},
        "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}"#;
    Json::parse(text).expect("the manifest is valid")
}

/// Runs the case; returns the exit code.
pub fn run(record_path: &Path, is_disturbed: bool) -> i32 {
    let net = loopback_net();
    let dir = temporary_folder();
    let record = Record::default();
    let (store, store_address) = Store::start(&format!("{net}.90"));
    store.put("op", "config", &manifest());
    let start = |number| Target::start(&store, &net, number, "tariffbok", &record);
    let mut targets: Vec<Target> = (0..TARGETS).map(start).collect();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|i| Host::start(i, &net, store_address, &dir)).collect();
    if !hosts.iter().all(Host::wait_until_ready) {
        eprintln!("a host did not become ready; logs are in {}", dir.display());
        return 2;
    }
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (callers, record, stop) = (callers.clone(), record.clone(), Arc::clone(&stop));
            std::thread::spawn(move || client(i, &callers, &record, &stop))
        })
        .collect();
    std::thread::sleep(CALM);
    let served_before = answers(&record, "200");
    let mut excused = (0, 0);
    if is_disturbed {
        let cut_at = Instant::now();
        let Some(holder) = holder(&record, KEY) else {
            eprintln!("no target holds key {KEY}; logs are in {}", dir.display());
            return 2;
        };
        let target = targets.iter_mut().find(|target| target.cfg.id == holder);
        let target = target.expect("holders are targets");
        target.link.set_cut(true);
        record.add(format!("cut {holder} from the store"));
        std::thread::sleep(KILL_AFTER);
        target.kill();
        std::thread::sleep(DOWN);
        target.start_life();
        std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        target.link.set_cut(false);
        record.add(format!("healed {holder} to the store"));
        excused = (now_us(), now_us() + HEALED_US);
    }
    std::thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("clients don't panic");
    }
    let hosts_run = hosts.iter_mut().all(Host::runs);
    drop(hosts);
    drop(targets);
    let findings = rules::check(&record.lines(), excused);
    for shared in &findings.shared {
        record.add(format!(
            "OWNER: keys {}-{} held by {} and {} for {:.3} s",
            shared.first_key,
            shared.last_key,
            shared.one,
            shared.other,
            shared.length_us() as f64 / 1e6
        ));
    }
    for low in &findings.low_fences {
        record.add(format!("OWNER: {low}"));
    }
    record.add(format!("end: {} answers before, {} in all", served_before, answers(&record, "200")));
    record.write(record_path);
    println!(
        "{} served, {} ranges held by two targets, {} takes under an old fence",
        answers(&record, "200"),
        findings.shared.len(),
        findings.low_fences.len()
    );
    if served_before == 0 || !hosts_run {
        eprintln!("the deployment did not serve; logs are in {}", dir.display());
        return 2;
    }
    // The folder is temporary; nothing depends on its removal.
    let _ = std::fs::remove_dir_all(&dir);
    i32::from(!findings.shared.is_empty())
}

/// Returns the target that was last granted `key`.
fn holder(record: &Record, key: usize) -> Option<String> {
    let lines = record.lines();
    lines.iter().rev().find_map(|(_, line)| {
        let words: Vec<&str> = line.split(' ').collect();
        let ["target", life, "grant", from, to, ..] = words.as_slice() else {
            return None;
        };
        let range = from.parse().ok()?..=to.parse().ok()?;
        range.contains(&key).then(|| life.split('#').next().unwrap_or(life).to_owned())
    })
}

fn answers(record: &Record, status: &str) -> usize {
    let is_answer = |(_, line): &&(u64, String)| line.starts_with("answered ") && line.ends_with(status);
    record.lines().iter().filter(is_answer).count()
}

/// Sends requests with keys, one after the other, until `stop` is set.
fn client(number: usize, callers: &[SocketAddr], record: &Record, stop: &AtomicBool) {
    let host = callers[number % callers.len()];
    let mut connection = None;
    let mut random = 0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(number as u64 + 1);
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(PAUSE);
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let key = if i % 2 == 0 { (random >> 48) % BUSY_KEYS } else { random >> 48 };
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
            let answer = client.call("GET /r/x", &headers, b"")?;
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

