//! Helpers for tests: directories of declarations, and functions that run commands.
#![allow(dead_code, reason = "each test target uses only some of these items")]

use std::fs;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

use catalogue::accept::ApplyConfig;
use catalogue::{
    Catalogue, Class, Domain, Entry, Limits, Sharding, Sources, Upstream, load, store,
};
use ids::EntryId;
use operate::args::Against;
use operate::command::submit::SubmitContext;
use operate::command::{CommandResult, EarlyExit, Report, apply as apply_command};
use platform::{Objects, Table};
use tempfile::TempDir;

/// Parses a name.
pub fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is a name"))
}

/// A directory of declarations with two domains, two entries and an upstream of each.
pub struct Dir(TempDir);

impl Dir {
    pub fn new() -> Self {
        let dir = Self(tempfile::tempdir().unwrap());
        let mut catalogue = Catalogue::default();
        for domain in ["lauder", "awarua"] {
            let item = Domain {
                region: name("southland"),
                lost: false,
            };
            catalogue.domains.insert(name(domain), item);
        }
        for entry in ["slotbook", "windowcast"] {
            catalogue.entries.insert(name(entry), new_entry(entry));
        }
        dir.write(&catalogue);
        dir.add_upstream("slotbook", 1);
        dir.add_upstream("windowcast", 2);
        dir
    }

    pub fn path(&self) -> &Path {
        self.0.path()
    }

    /// Copies declarations and base.
    pub fn copy(&self) -> Self {
        let copy = Self(tempfile::tempdir().unwrap());
        copy.write(&load(self.path()).unwrap());
        if self.path().join("base.json").exists() {
            let base = self.path().join("base.json");
            fs::copy(base, copy.path().join("base.json")).unwrap();
        }
        copy
    }

    pub fn set_limit(&self, entry: &str, queue: u32) {
        let file = self.path().join(format!("entries/{entry}.json"));
        let mut body: serde_json::Value =
            serde_json::from_slice(&fs::read(&file).unwrap()).unwrap();
        body["limits"]["queue"] = queue.into();
        fs::write(file, body.to_string()).unwrap();
    }

    pub fn add_upstream(&self, entry: &str, n: u32) {
        self.add_upstreams(entry, n..n + 1);
    }

    pub fn add_upstreams(&self, entry: &str, numbers: Range<u32>) {
        self.edit(|c| {
            for n in numbers {
                let id = name(&format!("{entry}-{n}"));
                c.upstreams.insert(id, new_upstream(entry, n));
            }
        });
    }

    pub fn remove_entry(&self, entry: &str) {
        let id: EntryId = name(entry);
        self.edit(|c| {
            c.entries.shift_remove(&id);
            c.upstreams.retain(|_, u| u.entry != id);
        });
    }

    fn edit(&self, f: impl FnOnce(&mut Catalogue)) {
        let mut catalogue = load(self.path()).unwrap();
        f(&mut catalogue);
        self.write(&catalogue);
    }

    fn write(&self, catalogue: &Catalogue) {
        store(self.path(), catalogue, &Sources::default()).unwrap();
    }
}

fn new_entry(path: &str) -> Entry {
    Entry {
        owners: vec![name("anna"), name("bo"), name("cleo")],
        path: path.into(),
        class: Class::Idempotent,
        sharding: Sharding::None,
        deadline_ms: 1000,
        limits: Limits::default(),
        cut_off: catalogue::CutOff::default(),
        objective: catalogue::Objective::default(),
        verify_echo: false,
    }
}

fn new_upstream(entry: &str, n: u32) -> Upstream {
    let address = format!("10.0.{}.{}:80", n / 200, n % 200 + 1);
    Upstream {
        entry: name(entry),
        address: address.parse().unwrap(),
        domain: name("lauder"),
        slots: 4,
        connections: 130,
        checks_grants: true,
        leaving: false,
    }
}

/// Returns the context of a command that does not wait for hosts and makes few attempts.
pub fn context(operator: &str) -> SubmitContext {
    SubmitContext {
        dry_run: false,
        at_ms: 1_000,
        apply_config: ApplyConfig {
            max_failures: 3,
            initial_backoff: Duration::from_millis(1),
            max_backoff: Duration::from_millis(2),
            ..ApplyConfig::default()
        },
        ..SubmitContext::for_plan(name(operator))
    }
}

/// Returns the report of a command, also if it ended early.
pub fn report(result: CommandResult) -> Report {
    result.unwrap_or_else(|EarlyExit(report)| *report)
}

pub async fn apply<P: Table + Objects>(platform: &P, dir: &Dir, operator: &str) -> Report {
    apply_with(platform, dir, &context(operator)).await
}

pub async fn apply_with<P: Table + Objects>(platform: &P, dir: &Dir, cx: &SubmitContext) -> Report {
    let against = Against::default();
    report(apply_command::apply(platform, dir.path(), &against, cx).await)
}
