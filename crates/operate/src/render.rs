//! Text for people.

use std::time::{Duration, UNIX_EPOCH};

use catalogue::plan::{ConcurrentChange, Denial, MoveEstimate};
use catalogue::rows::{ChangeRow, ItemChange};
use catalogue::{ApplyEnd, Difference, Faults, Plan, differences};
use httpdate::fmt_http_date;
use ids::Version;
use serde_json::Value;

use crate::command::status::HostLine;
use crate::command::wait::Waited;

/// The end of the year 9999, in milliseconds since 1970; later times can't be written.
const LATEST_MS: u64 = 253_402_300_799_000;

/// Writes a plan that was made on `version`.
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

/// Writes one item of a change, with the fields that differ.
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
    format!("= {other}; it stays so, as the directory did not change it")
}

fn conflict(other: &ConcurrentChange) -> String {
    format!("! {other}; the directory changed it too")
}

fn denial(denial: &Denial) -> String {
    format!("! {denial}")
}

/// Writes how a change ended.
#[must_use]
pub fn verdict(verdict: &ApplyEnd, plan: &Plan) -> String {
    match verdict {
        ApplyEnd::Accepted {
            version,
            change,
            again,
        } => accepted(*version, change, *again, plan),
        ApplyEnd::InForce { version } => {
            let kept = lines(&plan.kept, kept);
            format!("{kept}nothing to change: all of it is in force as of version {version}")
        }
        ApplyEnd::Conflict(others) => {
            let others = lines(others, conflict);
            format!("{others}conflict: nothing was changed; pull, look at it, and apply again")
        }
        ApplyEnd::Contended { attempts } => format!(
            "conflict: nothing was changed; others' changes came first {attempts} times; \
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
             to submit the same again, give it another id with --change"
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

/// Writes each item on a line of its own, ended by a line feed.
fn lines<T>(items: &[T], line: impl Fn(&T) -> String) -> String {
    items.iter().map(|item| line(item) + "\n").collect()
}

/// Writes a number of things; `one` is the word for one of them.
#[must_use]
pub fn count(n: usize, one: &str) -> String {
    let ending = if n == 1 { "" } else { "s" };
    format!("{n} {one}{ending}")
}

/// Writes one change of the history.
#[must_use]
pub fn change(change: &ChangeRow, items: &[ItemChange]) -> String {
    let at = Duration::from_millis(change.at_ms.min(LATEST_MS));
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

/// Writes what came of waiting.
#[must_use]
pub fn waited(waited: &Waited) -> String {
    let Waited {
        in_force,
        asked,
        took,
        ..
    } = waited;
    let ms = took.as_millis();
    if waited.lagging.is_empty() {
        return format!("in force on all {asked} hosts after {ms} ms");
    }
    let lagging = lines(&waited.lagging, |l| format!("  {l}"));
    format!("in force on {in_force} of {asked} hosts after {ms} ms; the others:\n{lagging}")
}

/// Writes the version in force on each host.
#[must_use]
pub fn status(hosts: &[HostLine], newest: Option<Version>, error: Option<&str>) -> String {
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

fn host(line: &HostLine) -> String {
    let Some(s) = &line.status else {
        return format!("{}  {}", line.address, line.error.as_deref().unwrap_or("-"));
    };
    let lag = match (line.behind, line.lag_ms) {
        (Some(0), _) => "up to date".to_owned(),
        (Some(n), Some(ms)) => format!("{n} versions behind, for {ms} ms"),
        (Some(n), None) => format!("{n} versions behind"),
        (None, _) => "lag unknown".to_owned(),
    };
    let age = s
        .catalogue_age_ms
        .map_or_else(|| "unknown".to_owned(), |ms| format!("{ms} ms"));
    format!(
        "{}  {} in {}  version {}  {lag}; knowledge {age} old",
        line.address, s.host, s.domain, s.catalogue_version
    )
}
