//! What all commands share that submit a change.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catalogue::accept::{ApplyConfig, ApplyInput, BaseSource};
use catalogue::{Apply, ApplyEnd, Catalogue, Faults, Plan, Sources};
use ids::{ChangeId, OperatorId, Version};
use platform::{Objects, Table};
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::Report;
use super::wait::{Waited, all_hosts, wait_for};
use crate::args::Submit;
use crate::drive::drive;
use crate::exit::Exit;
use crate::render;
use crate::settings::OperatorSettings;

/// How a change is submitted.
#[derive(Debug, Clone)]
pub struct Context {
    /// Who submits it.
    pub operator: OperatorId,
    /// Id of the change, if one was given.
    pub change: Option<ChangeId>,
    /// Why, for the history.
    pub message: SmolStr,
    /// Hosts to wait for; none if the command shall not wait.
    pub hosts: Vec<SocketAddr>,
    /// Longest wait.
    pub wait: Duration,
    /// Whether nothing is to be changed.
    pub dry_run: bool,
    /// How long to go on.
    pub patience: ApplyConfig,
    /// The clock, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Context {
    /// Takes settings and command line together.
    ///
    /// # Errors
    ///
    /// Fails if no operator is set.
    pub fn new(
        settings: &OperatorSettings,
        submit: &Submit,
        dry_run: bool,
    ) -> anyhow::Result<Self> {
        let hosts = if submit.no_wait {
            Vec::new()
        } else {
            all_hosts(&settings.hosts, &submit.hosts)
        };
        Ok(Self {
            operator: settings.operator()?,
            change: submit.change.clone(),
            message: submit.message.as_str().into(),
            hosts,
            wait: Duration::from_secs(submit.wait),
            dry_run,
            patience: ApplyConfig::default(),
            at_ms: now_ms(),
        })
    }

    /// Returns the context of a command that changes nothing.
    #[must_use]
    pub fn for_plan(operator: OperatorId) -> Self {
        Self {
            operator,
            change: None,
            message: SmolStr::default(),
            hosts: Vec::new(),
            wait: Duration::ZERO,
            dry_run: true,
            patience: ApplyConfig::default(),
            at_ms: 0,
        }
    }
}

/// Returns the clock, in milliseconds since 1970.
#[must_use]
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |t| t.as_millis() as u64)
}

/// What an operator wants, and what it was made from.
#[derive(Debug)]
pub struct Draft {
    /// All items that shall be declared.
    pub catalogue: Catalogue,
    /// Files of the items, for messages.
    pub sources: Sources,
    /// What `catalogue` was made from.
    pub base: BaseSource,
    /// Version that it was planned against.
    pub expect: Option<Version>,
    /// Whether to leave it to the platform who may change what.
    pub admin: bool,
}

impl Draft {
    /// Returns the machine that gets the change accepted.
    #[must_use]
    pub fn into_apply(self, cx: &Context) -> Apply {
        let intention = ApplyInput {
            catalogue: self.catalogue,
            sources: self.sources,
            base: self.base,
            expect: self.expect,
            operator: cx.operator.clone(),
            admin: self.admin,
            change: cx.change.clone(),
            message: cx.message.clone(),
            at_ms: cx.at_ms,
        };
        Apply::new(intention, cx.patience)
    }
}

/// Submits a change, keeps its base with `keep` once it is accepted, and waits until it is in
/// force.
///
/// That the base can't be kept does not undo the change; the report says so.
pub async fn submit<P: Table + Objects>(
    platform: &P,
    apply: &mut Apply,
    cx: &Context,
    keep: impl FnOnce(&Apply, Version) -> anyhow::Result<()>,
) -> Report {
    let verdict = drive(platform, apply).await;
    let mut report = report(&verdict, apply);
    let Some(version) = version_of(&verdict) else {
        return report;
    };
    if let Err(e) = keep(apply, version) {
        report.text = format!("{}\nbut its base was not written: {e:#}", report.text);
        report.json["base_error"] = Value::from(format!("{e:#}"));
    }
    if cx.hosts.is_empty() {
        return report;
    }
    let progress = &mut |line: &str| drop(writeln!(io::stderr().lock(), "{line}"));
    let waited = wait_for(&cx.hosts, version, cx.wait, progress).await;
    add_wait(&mut report, &waited);
    report
}

fn version_of(verdict: &ApplyEnd) -> Option<Version> {
    match verdict {
        ApplyEnd::Accepted { version, .. } | ApplyEnd::InForce { version } => Some(*version),
        _ => None,
    }
}

fn add_wait(report: &mut Report, waited: &Waited) {
    report.text = format!("{}\n{}", report.text, render::waited(waited));
    report.json["hosts"] = json!({
        "in_force": waited.in_force,
        "asked": waited.asked,
        "lagging": waited.lagging,
        "waited_ms": waited.took.as_millis() as u64,
    });
    if waited.in_force < waited.asked {
        report.exit = Exit::NotEverywhere;
        report.json["result"] = Value::from(report.exit.as_str());
    }
}

/// Says how a change ended.
fn report(verdict: &ApplyEnd, apply: &Apply) -> Report {
    let exit = Exit::of(verdict);
    let plan = apply.plan();
    let text = render::verdict(verdict, plan);
    let mut json = plan_json(plan);
    json["change"] = json!(apply.change());
    match verdict {
        ApplyEnd::Accepted { version, again, .. } => {
            json["version"] = json!(version);
            json["again"] = json!(again);
        }
        ApplyEnd::InForce { version } => json["version"] = json!(version),
        ApplyEnd::Withdrawn { operator, .. } => json["withdrawn_by"] = json!(operator),
        ApplyEnd::Refused(e) | ApplyEnd::Unreachable(e) => json["error"] = json!(e.to_string()),
        ApplyEnd::Unknown { cause, .. } => json["error"] = json!(cause.to_string()),
        ApplyEnd::Unreadable(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            json["error"] = json!(faults.join("\n"));
        }
        _ => {}
    }
    Report::new(exit, text, json)
}

/// Returns a plan as JSON.
#[must_use]
pub fn plan_json(plan: &Plan) -> Value {
    json!({
        "changes": plan.changes,
        "kept": plan.kept,
        "conflicts": plan.conflicts,
        "denials": plan.denials,
        "faults": plan.faults,
        "moves": plan.moves,
    })
}

/// Says what a change would do.
#[must_use]
pub fn dry_run(plan: &Plan, version: Version) -> Report {
    let exit = if !plan.conflicts.is_empty() {
        Exit::Conflict
    } else if !plan.denials.is_empty() {
        Exit::Denied
    } else if !plan.faults.is_empty() {
        Exit::Invalid
    } else {
        Exit::Done
    };
    let faults = Faults(plan.faults.clone());
    let text = render::plan(plan, version, &faults);
    let mut json = plan_json(plan);
    json["version"] = json!(version);
    Report::new(exit, text, json)
}
