//! An entry of the service discovery that another writer has written, with a field missing.

use std::path::Path;
use std::time::Duration;

use crate::deployment::{Deployment, Load};
use crate::fleet::Kind;
use crate::json::Json;
use crate::rules;

const TARGETS: usize = 10;
const KIND: Kind = Kind {
    service: "tariffbok",
    work: Duration::from_millis(30),
    repeats_answer: None,
    states_start: false,
};
/// Callers of any key.
const CALLERS: usize = 5;
const LOAD: Load = Load {
    first_key: 0,
    keys: 65_536,
    path: "/r/x",
    pause: Duration::from_millis(40),
};
/// Callers of the busy keys.
const BUSY_CALLERS: usize = 4;
const BUSY_LOAD: Load = Load {
    keys: 6_000,
    ..LOAD
};
/// A key whose holder's entry is written by another.
const KEY: usize = 3_000;
/// Time of calm traffic before that.
const CALM: Duration = Duration::from_secs(8);
/// Time after it in which holds are watched.
const AFTER: Duration = Duration::from_secs(10);

/// Runs the case; returns the exit code.
pub fn run(record_path: &Path, is_disturbed: bool) -> i32 {
    let Some(mut deployment) = Deployment::start(TARGETS, &KIND) else {
        return 2;
    };
    deployment.call(CALLERS, LOAD);
    deployment.call(BUSY_CALLERS, BUSY_LOAD);
    std::thread::sleep(CALM);
    let holder = deployment.holder(KEY);
    let mut could_run = deployment.served() > 0 && holder.is_some();
    if let Some(holder) = holder.filter(|_| is_disturbed) {
        write_entry(&deployment, &holder);
    }
    std::thread::sleep(AFTER);
    could_run &= deployment.stop();
    let findings = rules::check_holds(&deployment.record.lines(), (0, 0));
    for finding in &findings.shared {
        deployment.record.add(format!("OWNER: {finding}"));
    }
    println!(
        "{} served, {} ranges held by two targets",
        deployment.served(),
        findings.shared.len()
    );
    deployment.finish(record_path, could_run);
    match could_run {
        true => i32::from(!findings.shared.is_empty()),
        false => 2,
    }
}

/// Writes the entry of `holder` as another writer: without `seq`, and with the address of another
/// target.
fn write_entry(deployment: &Deployment, holder: &str) {
    let targets = &deployment.targets;
    let is_holder = |target: &&crate::fleet::Target| target.cfg.id == holder;
    let cfg = targets.iter().find(is_holder).map(|target| &target.cfg);
    let other = targets.iter().find(|target| !is_holder(target));
    let (Some(cfg), Some(other)) = (cfg, other) else {
        return;
    };
    let mut cfg = cfg.clone();
    cfg.address = other.cfg.address;
    let entry = without_seq(cfg.registration(0, 0));
    deployment.store.write_entry(holder, &entry);
    deployment
        .record
        .add(format!("entry of {holder} written by another: {entry}"));
}

/// Removes the field `seq` wherever it is.
fn without_seq(value: Json) -> Json {
    let Json::Obj(fields) = value else {
        return value;
    };
    let kept = fields.into_iter().filter(|(name, _)| name != "seq");
    Json::Obj(kept.map(|(name, v)| (name, without_seq(v))).collect())
}
