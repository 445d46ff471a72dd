//! An entry of the service discovery that another writer has written, with a field missing.

use std::path::Path;
use std::time::Duration;

use crate::deployment::{Deployment, Load, READS};
use crate::fleet::{Kind, Target};
use crate::json::Json;
use crate::rules;

const LANDINGS: Kind = Kind {
    service: "landningslogg",
    work: Duration::from_millis(290),
    repeats_answer: None,
    states_start: false,
};
const INVOICES: Kind = Kind {
    service: "fakturering",
    work: Duration::from_millis(150),
    ..LANDINGS
};
const LANDING_TARGETS: usize = 10;
const INVOICE_TARGETS: usize = 6;
/// Callers of each kind.
const CALLERS: usize = 15;
const LANDING_POSTS: Load = Load {
    name: "landningslogg",
    start: "POST /l/x",
    host: "landing.example",
    body: "{}",
    keys: 0,
    ..READS
};
const INVOICE_POSTS: Load = Load {
    name: "fakturering",
    start: "POST /i/x",
    host: "invoice.example",
    ..LANDING_POSTS
};
/// Time of calm traffic before the entry is written.
const CALM: Duration = Duration::from_secs(6);
/// Time after it in which requests are watched.
const AFTER: Duration = Duration::from_secs(6);

/// Runs the case; returns the exit code.
pub fn run(record_path: &Path, is_disturbed: bool) -> i32 {
    let kinds = [(LANDING_TARGETS, LANDINGS), (INVOICE_TARGETS, INVOICES)];
    let Some(mut deployment) = Deployment::start(&kinds) else {
        return 2;
    };
    deployment.call(CALLERS, LANDING_POSTS);
    deployment.call(CALLERS, INVOICE_POSTS);
    std::thread::sleep(CALM);
    let mut could_run = deployment.served() > 0;
    if is_disturbed {
        match busiest_target(&deployment) {
            Some(target) => write_entry(&deployment, target),
            None => could_run = false,
        }
    }
    std::thread::sleep(AFTER);
    could_run &= deployment.stop();
    let findings = rules::check_routes(&deployment.record.lines());
    for finding in &findings {
        deployment.record.add(format!("ROUTE: {finding}"));
    }
    println!(
        "{} served, {} requests run by another service",
        deployment.served(),
        findings.len()
    );
    deployment.finish(record_path, could_run);
    match could_run {
        true => i32::from(!findings.is_empty()),
        false => 2,
    }
}

/// Returns the target of the invoices that ran most requests.
fn busiest_target(deployment: &Deployment) -> Option<&Target> {
    let targets = deployment.targets.iter();
    let targets = targets.filter(|target| target.cfg.service == INVOICES.service);
    targets.max_by_key(|target| deployment.events(&target.cfg.id, "run"))
}

/// Writes the entry of `target`, a target of the invoices, as another writer: without `seq`, and with
/// the service of the landings. It stands until the target's next heartbeat.
fn write_entry(deployment: &Deployment, target: &Target) {
    let mut cfg = target.cfg.clone();
    let before = deployment.events(&cfg.id, "registered");
    while deployment.events(&cfg.id, "registered") == before {
        std::thread::sleep(Duration::from_millis(5));
    }
    cfg.service = LANDINGS.service.to_owned();
    let entry = without_seq(cfg.registration(0, 0));
    deployment.store.write_entry(&cfg.id, &entry);
    deployment
        .record
        .add(format!("entry of {} written by another: {entry}", cfg.id));
}

/// Removes the field `seq` wherever it is.
fn without_seq(value: Json) -> Json {
    let Json::Obj(fields) = value else {
        return value;
    };
    let kept = fields.into_iter().filter(|(name, _)| name != "seq");
    Json::Obj(kept.map(|(name, v)| (name, without_seq(v))).collect())
}
