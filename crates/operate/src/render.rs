//! Human-readable output.

use std::time::{Duration, UNIX_EPOCH};

use catalogue::plan::{ConcurrentChange, Denial, MoveEstimate};
use catalogue::rows::{ChangeRow, ItemChange};
use catalogue::{ApplyEnd, Difference, Faults, Plan, differences};
use httpdate::fmt_http_date;
use ids::Version;
use serde_json::Value;

use crate::command::status::HostReport;
use crate::command::wait::WaitResult;

/// The end of the year 9999, in milliseconds since 1970; HTTP dates can't represent later times.
const MAX_DATE_MS: u64 = 253_402_300_799_000;

/// Formats a plan that was made on `version`.
#[must_use]
pub fn plan(plan: &Plan, version: Version, faults: &Faults) -> String {
    let mut lines = vec![format!("against version {version}:")];
    lines.extend(plan.changes.iter().map(item_change));
    lines.extend(plan.moves.iter().map(moved));
    lines.extend(plan.kept.iter().map(kept));
    lines.extend(plan.conflicts.iter().map(conflict));
    lines.extend(plan.denials.iter().map(denial));
    if !faults.0.is_empty() {
        lines.push(faults.to_string());
    }
    if plan.is_empty() {
        lines.push("nothing would change".to_owned());
    } else {
        lines.push(format!(
            "{} would change",
            count(plan.changes.len(), "item")
        ));
    }
    lines.join("\n")
}

/// Formats one item of a change, with the fields that differ.
#[must_use]
pub fn item_change(change: &ItemChange) -> String {
    let (sign, fields) = match (&change.before, &change.after) {
        (None, _) => ("+", Vec::new()),
        (_, None) => ("-", Vec::new()),
        (before, after) => ("~", differences(before.as_ref(), after.as_ref())),
    };
    let mut lines = vec![format!("{sign} {}", change.item)];
    lines.extend(fields.iter().map(field));
    lines.join("\n")
}

fn field(d: &Difference) -> String {
    let before = value(d.before.as_ref());
    let after = value(d.after.as_ref());
    format!("    {}: {before} -> {after}", d.pointer)
}

fn value(v: Option<&Value>) -> String {
    v.map_or_else(|| "nothing".to_owned(), Value::to_string)
}

fn moved(m: &MoveEstimate) -> String {
    let MoveEstimate {
        entry,
        leaving,
        joining,
        slices,
        of,
        ..
    } = m;
    format!(
        "> entry {entry}: {leaving} upstreams stop taking keys and {joining} start; \
         about {slices} of {of} slices move"
    )
}

fn kept(other: &ConcurrentChange) -> String {
    format!("= {other}; kept, as the directory did not change it")
}

fn conflict(other: &ConcurrentChange) -> String {
    format!("! {other}; the directory changed it too")
}

fn denial(denial: &Denial) -> String {
    format!("! {denial}")
}

/// Formats how a change ended.
#[must_use]
pub fn apply_end(end: &ApplyEnd, plan: &Plan) -> String {
    match end {
        ApplyEnd::Accepted {
            version,
            change,
            again,
        } => accepted(*version, change, *again, plan),
        ApplyEnd::InForce { version } => {
            let kept = lines(&plan.kept, kept);
            format!("{kept}nothing to change: all items are in force as of version {version}")
        }
        ApplyEnd::Conflict(others) => {
            let others = lines(others, conflict);
            format!("{others}conflict: nothing was changed; pull, look at it, and apply again")
        }
        ApplyEnd::Contended { attempts } => format!(
            "conflict: nothing was changed; other changes were accepted first in {attempts} attempts; \
             apply again"
        ),
        ApplyEnd::Invalid(faults) => {
            format!("{faults}\ninvalid together with what is in force: nothing was changed")
        }
        ApplyEnd::Denied(denials) => {
            let denials = lines(denials, denial);
            format!("{denials}not allowed: nothing was changed")
        }
        ApplyEnd::Withdrawn { change, operator } => format!(
            "change {change} was withdrawn by {operator} and never takes effect; \
             to submit the same change again, give it another id with --change"
        ),
        ApplyEnd::Refused(e) => format!("{e}\nnot allowed: nothing was changed"),
        ApplyEnd::Unreachable(e) => format!("{e}\nnothing was changed"),
        ApplyEnd::Unknown { change, cause } => format!(
            "{cause}\nunknown: change {change} may have been accepted\n\
             to find out: medlardyke catalogue settle {change}\n\
             to have it accepted: run the same command again with --change {change}; \
             it never takes effect twice"
        ),
        ApplyEnd::Unreadable(faults) => {
            let faults = lines(faults, ToString::to_string);
            format!("{faults}the table holds rows that this program can't read")
        }
    }
}

fn accepted(version: Version, change: &ids::ChangeId, again: bool, plan: &Plan) -> String {
    if again {
        let since = lines(&plan.conflicts, |other| format!("! since then, {other}"));
        return format!("{since}change {change} was accepted before: version {version}");
    }
    let changes = lines(&plan.changes, item_change);
    let moves = lines(&plan.moves, moved);
    let kept = lines(&plan.kept, kept);
    format!("{changes}{moves}{kept}accepted: version {version}, change {change}")
}

/// Formats each item as a line that ends in a line feed.
fn lines<T>(items: &[T], line: impl Fn(&T) -> String) -> String {
    items.iter().map(|item| line(item) + "\n").collect()
}

/// Formats a count and its noun, in the plural unless `n` is 1.
#[must_use]
pub fn count(n: usize, singular: &str) -> String {
    let suffix = if n == 1 { "" } else { "s" };
    format!("{n} {singular}{suffix}")
}

/// Formats one change of the history.
#[must_use]
pub fn change(change: &ChangeRow, items: &[ItemChange]) -> String {
    let at = Duration::from_millis(change.at_ms.min(MAX_DATE_MS));
    let at = fmt_http_date(UNIX_EPOCH + at);
    let mut head = format!(
        "version {}  {}  {}  {at}",
        change.version, change.operator, change.change
    );
    if !change.message.is_empty() {
        head = format!("{head}  {}", change.message);
    }
    let items = items
        .iter()
        .map(|i| format!("  {}", item_change(i).replace('\n', "\n  ")));
    let lines: Vec<String> = std::iter::once(head).chain(items).collect();
    lines.join("\n")
}

/// Formats the result of a wait.
#[must_use]
pub fn wait_result(result: &WaitResult) -> String {
    let WaitResult {
        in_force,
        asked,
        elapsed,
        ..
    } = result;
    let ms = elapsed.as_millis();
    if result.lagging.is_empty() {
        return format!("in force on all {asked} hosts after {ms} ms");
    }
    let lagging = lines(&result.lagging, |l| format!("  {l}"));
    format!("in force on {in_force} of {asked} hosts after {ms} ms; the others:\n{lagging}")
}

/// Formats the version in force on each host.
#[must_use]
pub fn status(hosts: &[HostReport], newest: Option<Version>, error: Option<&str>) -> String {
    let mut out = match (newest, error) {
        (Some(newest), _) => vec![format!("newest version {newest}")],
        (None, error) => vec![format!("newest version unknown: {}", error.unwrap_or("-"))],
    };
    out.extend(hosts.iter().map(host));
    if hosts.is_empty() {
        out.push("no hosts to ask: give --host or \"hosts\" in --settings".to_owned());
    }
    out.join("\n")
}

fn host(report: &HostReport) -> String {
    let Some(s) = &report.status else {
        return format!(
            "{}  {}",
            report.address,
            report.error.as_deref().unwrap_or("-")
        );
    };
    let lag = match (report.behind, report.lag_ms) {
        (Some(0), _) => "up to date".to_owned(),
        (Some(n), Some(ms)) => format!("{n} versions behind, for {ms} ms"),
        (Some(n), None) => format!("{n} versions behind"),
        (None, _) => "lag unknown".to_owned(),
    };
    let age = s
        .catalogue_age_ms
        .map_or_else(|| "an unknown time".to_owned(), |ms| format!("{ms} ms"));
    format!(
        "{}  {} in {}  version {}  {lag}; catalogue read {age} ago",
        report.address, s.host, s.domain, s.catalogue_version
    )
}
