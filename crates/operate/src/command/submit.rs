//! Submission of changes, shared by the commands that make them.

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
use super::wait::{WaitResult, all_hosts, wait_for_version};
use crate::args::Submit;
use crate::drive::drive;
use crate::exit::Exit;
use crate::render;
use crate::settings::OperatorSettings;

/// Parameters for the submission of a change.
#[derive(Debug, Clone)]
pub struct SubmitContext {
    /// Operator who submits the change.
    pub operator: OperatorId,
    /// Id of the change, if one was given.
    pub change: Option<ChangeId>,
    /// Reason for the change, recorded in the history.
    pub message: SmolStr,
    /// Hosts to wait for; empty if the command does not wait.
    pub hosts: Vec<SocketAddr>,
    /// Maximum wait.
    pub max_wait: Duration,
    /// Whether to report the plan without submitting the change.
    pub dry_run: bool,
    /// Limits and backoff of the attempts.
    pub apply_config: ApplyConfig,
    /// Time of the change, in milliseconds since 1970.
    pub at_ms: u64,
}

impl SubmitContext {
    /// Combines settings and command line.
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
            max_wait: Duration::from_secs(submit.wait),
            dry_run,
            apply_config: ApplyConfig::default(),
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
            max_wait: Duration::ZERO,
            dry_run: true,
            apply_config: ApplyConfig::default(),
            at_ms: 0,
        }
    }
}

/// Returns the current time, in milliseconds since 1970.
#[must_use]
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |t| t.as_millis() as u64)
}

/// A catalogue to submit, and what it was derived from.
#[derive(Debug)]
pub struct Draft {
    /// All items to declare.
    pub catalogue: Catalogue,
    /// Source files of the items, for error messages.
    pub sources: Sources,
    /// Base that `catalogue` was derived from.
    pub base: BaseSource,
    /// Version that the change was planned against.
    pub expect: Option<Version>,
    /// Whether to skip the check of the items' owners; the platform alone decides then.
    pub admin: bool,
}

impl Draft {
    /// Returns the state machine that submits the change.
    #[must_use]
    pub fn into_apply(self, cx: &SubmitContext) -> Apply {
        let input = ApplyInput {
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
        Apply::new(input, cx.apply_config)
    }
}

/// Submits a change, stores its base with `store_base` once it is accepted, and waits until it is
/// in force.
///
/// If the base can't be stored, the change stays accepted and the report contains the error.
pub async fn submit<P: Table + Objects>(
    platform: &P,
    apply: &mut Apply,
    cx: &SubmitContext,
    store_base: impl FnOnce(&Apply, Version) -> anyhow::Result<()>,
) -> Report {
    let end = drive(platform, apply).await;
    let mut report = report(&end, apply);
    let Some(version) = version_of(&end) else {
        return report;
    };
    if let Err(e) = store_base(apply, version) {
        report.text = format!("{}\nbut its base was not written: {e:#}", report.text);
        report.json["base_error"] = Value::from(format!("{e:#}"));
    }
    if cx.hosts.is_empty() {
        return report;
    }
    let progress = &mut |line: &str| drop(writeln!(io::stderr().lock(), "{line}"));
    let result = wait_for_version(&cx.hosts, version, cx.max_wait, progress).await;
    add_wait_result(&mut report, &result);
    report
}

fn version_of(end: &ApplyEnd) -> Option<Version> {
    match end {
        ApplyEnd::Accepted { version, .. } | ApplyEnd::InForce { version } => Some(*version),
        _ => None,
    }
}

fn add_wait_result(report: &mut Report, result: &WaitResult) {
    report.text = format!("{}\n{}", report.text, render::wait_result(result));
    report.json["hosts"] = json!({
        "in_force": result.in_force,
        "asked": result.asked,
        "lagging": result.lagging,
        "waited_ms": result.elapsed.as_millis() as u64,
    });
    if result.in_force < result.asked {
        report.exit = Exit::NotEverywhere;
        report.json["result"] = Value::from(report.exit.as_str());
    }
}

/// Returns the report of how a change ended.
fn report(end: &ApplyEnd, apply: &Apply) -> Report {
    let exit = Exit::of(end);
    let plan = apply.plan();
    let text = render::apply_end(end, plan);
    let mut json = plan_json(plan);
    json["change"] = json!(apply.change());
    match end {
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

/// Returns the report of a plan that is not submitted.
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
