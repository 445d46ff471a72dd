//! Processes of a small deployment: hosts with the settings of the deploy file, and targets.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::store::{Link, Store};
use crate::target::{Settings, now_us};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/medlardyke";
/// Template of the hosts' settings, which the deploy file names.
const TEMPLATE: &str = "deploy/settings.json";
/// Failure domains of the deployment.
pub const ZONES: [&str; 3] = ["lla-hall", "kru-hall", "gev-hall"];
/// How long hosts may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the first three octets of a loopback network for this process.
pub fn loopback_net() -> String {
    let process = std::process::id();
    format!("127.{}.{}", 20 + process / 250 % 200, 1 + process % 250)
}

/// Lines of what was sent, answered, run and done, in the order of their times.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<(u64, String)>>>);

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(now_us(), line);
    }

    pub fn add_at(&self, at_us: u64, line: impl Into<String>) {
        self.0.lock().unwrap().push((at_us, line.into()));
    }

    /// Returns all lines, in the order of their times.
    pub fn lines(&self) -> Vec<(u64, String)> {
        let mut lines = self.0.lock().unwrap().clone();
        lines.sort();
        lines
    }

    /// Writes all lines to `path`; times are in seconds since the first one.
    pub fn write(&self, path: &Path) {
        let lines = self.lines();
        let start = lines.first().map_or(0, |(at, _)| *at);
        let mut file = File::create(path).expect("the record can be written");
        for (at, line) in lines {
            let seconds = (at - start) as f64 / 1e6;
            writeln!(file, "{seconds:.6} {line}").expect("the record can be written");
        }
    }
}

/// A running host.
pub struct Host {
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Starts the host `number` as the deploy file says.
    pub fn start(number: usize, net: &str, store: SocketAddr, dir: &Path) -> Self {
        let ip = format!("{net}.{}", number + 1);
        let [front, ready] = free_ports(&ip, 8540);
        let [peers, exchanges, permits] = free_ports(&ip, 7540);
        assert_eq!(peers + 1, exchanges, "internal ports follow each other");
        let settings = render(&[
            (
                "node",
                format!("front-{}-{number}", ZONES[number % ZONES.len()]),
            ),
            ("zone", ZONES[number % ZONES.len()].to_owned()),
            ("ip", ip.clone()),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("listen.front", format!("{ip}:{front}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("internal_ports.0", peers.to_string()),
            ("internal_ports.1", permits.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "62".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
        ]);
        let path = dir.join(format!("settings-{number}.json"));
        fs::write(&path, settings).expect("settings can be written");
        let log = File::create(dir.join(format!("host-{number}.log"))).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["direct", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the host starts");
        Host {
            callers: format!("{ip}:{front}").parse().expect("an address"),
            ready: format!("{ip}:{ready}").parse().expect("an address"),
            child,
        }
    }

    fn is_ready(&self) -> bool {
        let answer = Client::open(self.ready, Duration::from_secs(1))
            .and_then(|mut c| c.call("GET /api/readyz", &[("Host", "ready")], b""));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the host is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process is still there.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Renders the template of the deploy file; the first start of the whole system, without bounds for
/// cold targets.
fn render(values: &[(&str, String)]) -> String {
    let mut text = fs::read_to_string(TEMPLATE).expect("the template can be read");
    text = section(&text, "bootstrap", true);
    text = section(&text, "bounds.cold_over", false);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "no value for a placeholder: {text}");
    text
}

/// Renders the section `name` of a template, or leaves it out.
fn section(text: &str, name: &str, is_present: bool) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = text.split_once(&open) else {
        return text.to_owned();
    };
    let (inside, after) = rest.split_once(&close).expect("sections are closed");
    let inside = if is_present { inside } else { "" };
    format!("{before}{inside}{after}")
}

/// Returns consecutive free ports of `ip`, from `first` on.
pub fn free_ports<const N: usize>(ip: &str, first: u16) -> [u16; N] {
    let is_free =
        |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
    let mut start = first;
    loop {
        let ports = std::array::from_fn(|i| start + i as u16);
        if ports.iter().all(|&port| is_free(port)) {
            return ports;
        }
        start += 1;
    }
}

/// What the targets of a service have in common.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub service: &'static str,
    pub work: Duration,
    /// Number of the target that sends a late second answer to its first release, if any.
    pub repeats_answer: Option<usize>,
    /// Whether registrations say when the process started.
    pub states_start: bool,
}

/// A target and the process of its present life.
pub struct Target {
    pub cfg: Settings,
    pub link: Link,
    child: Option<Child>,
    /// Number of its lives so far.
    lives: u32,
    record: Record,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Target {
    pub fn start(
        store: &Arc<Store>,
        net: &str,
        number: usize,
        kind: &Kind,
        record: &Record,
    ) -> Self {
        let service = kind.service;
        let id = format!("i-{service}{number}");
        let ip = format!("{net}.{}", 100 + number);
        let [port] = free_ports(&ip, 8185);
        let link = Link::open(store, &format!("{net}.90"), &id);
        let cfg = Settings {
            id,
            service: service.to_owned(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            address: format!("{ip}:{port}").parse().expect("an address"),
            store: link.address,
            work: kind.work,
            slots: 4,
            repeats_answer: kind.repeats_answer == Some(number),
            states_start: kind.states_start,
        };
        let mut target = Target {
            cfg,
            link,
            child: None,
            lives: 0,
            record: record.clone(),
        };
        target.start_life();
        target
    }

    /// Starts the process, under the same id and at the same address.
    pub fn start_life(&mut self) {
        self.lives += 1;
        let program = std::env::current_exe().expect("the program's path");
        let mut child = Command::new(program)
            .args(self.cfg.to_args())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the target starts");
        let events = BufReader::new(child.stdout.take().expect("a pipe"));
        let (name, record) = (
            format!("{}#{}", self.cfg.id, self.lives),
            self.record.clone(),
        );
        std::thread::spawn(move || {
            for line in events.lines().map_while(Result::ok) {
                let Some((at, event)) = line.split_once(' ') else {
                    continue;
                };
                record.add_at(at.parse().unwrap_or(0), format!("target {name} {event}"));
            }
        });
        self.child = Some(child);
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        self.record
            .add(format!("target {}#{} killed", self.cfg.id, self.lives));
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Creates a temporary folder for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("medlardyke-review-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}
