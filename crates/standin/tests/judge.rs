//! The judge: each rule finds its breach, and nothing else.

use std::fs;

use ids::{EntryId, Epoch, SliceNo, UpstreamId};
use smol_str::SmolStr;
use standin::args::JudgeArgs;
use standin::judge::{Fault, GapSettings, JudgeSettings, Report, judge};
use standin::load::{self, KeyDistribution};
use standin::upstream::ServiceTime;
use standin::{ClientOutcome, EntryLoad, JournalEvent, JournalLine, LoadSettings, Record, Started};
use standin::{FaultPlan, FaultProxy, ProxySettings, Upstream, UpstreamSettings};

const MS: u64 = 1_000;

/// One execution, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Run {
    upstream: &'static str,
    id: &'static str,
    key: &'static str,
    epoch: u64,
    start: u64,
    end: Option<u64>,
    planned: u64,
    granted_until: Option<u64>,
}

const RUN: Run = Run {
    upstream: "up-1",
    id: "r-1",
    key: "k-1",
    epoch: 1,
    start: 100,
    end: Some(110),
    planned: 10,
    granted_until: None,
};

/// A record of a request that was sent at 90 ms and answered by `up-1` at 120 ms.
fn record(id: &str, seen: ClientOutcome) -> Record {
    Record {
        id: SmolStr::new(id),
        entry: SmolStr::new("entry"),
        key: Some(SmolStr::new("k-1")),
        idempotent: false,
        target: 0,
        intended_us: 90 * MS,
        done_us: 120 * MS,
        seen,
        reason: None,
        upstream: (seen == ClientOutcome::Answered).then(|| SmolStr::new("up-1")),
    }
}

fn line(upstream: &str, at: u64, event: JournalEvent) -> JournalLine {
    JournalLine {
        at_us: at * MS,
        upstream: UpstreamId::new(upstream).unwrap(),
        boot: 7,
        event,
    }
}

fn entry() -> EntryId {
    EntryId::new("entry").unwrap()
}

/// Journals of upstreams `up-1` and `up-2`, each with two slots.
fn journal(runs: &[Run]) -> Vec<JournalLine> {
    let boot = |upstream| {
        let event = JournalEvent::Boot {
            entry: entry(),
            slots: 2,
        };
        line(upstream, 0, event)
    };
    let mut lines = vec![boot("up-1"), boot("up-2")];
    for (i, run) in runs.iter().enumerate() {
        let number = i as u64;
        let started = Started {
            run: number,
            id: Some(SmolStr::new(run.id)),
            entry: entry(),
            slice: Some(SliceNo(3)),
            epoch: Some(Epoch(run.epoch)),
            key: Some(SmolStr::new(run.key)),
            planned_us: run.planned * MS,
        };
        lines.push(line(run.upstream, run.start, JournalEvent::Start(started)));
        if let Some(end) = run.end {
            let event = JournalEvent::End {
                run: number,
                cancelled: false,
                granted_until_us: run.granted_until.map(|ms| ms * MS),
            };
            lines.push(line(run.upstream, end, event));
        }
    }
    lines
}

fn name(fault: &Fault) -> String {
    let value = serde_json::to_value(fault).unwrap();
    value["fault"].as_str().unwrap().to_owned()
}

fn names(report: &Report) -> Vec<String> {
    report.faults.iter().map(name).collect()
}

/// Records and executions, and the faults that they show.
struct Requests {
    name: &'static str,
    records: Vec<Record>,
    runs: Vec<Run>,
    faults: &'static [&'static str],
}

fn plain() -> Requests {
    Requests {
        name: "an answered request",
        records: vec![record("r-1", ClientOutcome::Answered)],
        runs: vec![RUN],
        faults: &[],
    }
}

fn check_requests(cases: &[Requests]) {
    for case in cases {
        let report = judge(
            &case.records,
            &journal(&case.runs),
            JudgeSettings::default(),
        );
        assert_eq!(names(&report), case.faults, "{}", case.name);
    }
}

#[test]
fn requests_run_at_most_once_and_outcomes_are_true() {
    let idempotent = Record {
        idempotent: true,
        ..record("r-1", ClientOutcome::Answered)
    };
    let again = Run {
        start: 130,
        end: Some(140),
        ..RUN
    };
    let cases = [
        plain(),
        Requests {
            name: "a request that may have run",
            records: vec![record("r-1", ClientOutcome::Unknown)],
            ..plain()
        },
        Requests {
            name: "a request that did not run",
            records: vec![record("r-1", ClientOutcome::NotRun)],
            runs: vec![],
            faults: &[],
        },
        Requests {
            name: "a request that ran against its outcome",
            records: vec![record("r-1", ClientOutcome::NotRun)],
            faults: &["not-run-ran"],
            ..plain()
        },
        Requests {
            name: "a request that was killed and ran against its outcome",
            records: vec![record("r-1", ClientOutcome::NotRun)],
            runs: vec![Run { end: None, ..RUN }],
            faults: &["not-run-ran"],
        },
        Requests {
            name: "a repeat that was turned away",
            records: vec![
                record("r-1", ClientOutcome::Answered),
                record("r-1", ClientOutcome::NotRun),
            ],
            ..plain()
        },
        Requests {
            name: "a request that ran twice",
            runs: vec![RUN, again],
            faults: &["ran-twice"],
            ..plain()
        },
        Requests {
            name: "an idempotent request that ran twice",
            records: vec![idempotent],
            runs: vec![RUN, again],
            ..plain()
        },
    ];
    check_requests(&cases);
}

#[test]
fn answers_come_from_where_the_request_ran() {
    let elsewhere = Record {
        upstream: Some(SmolStr::new("up-2")),
        ..record("r-1", ClientOutcome::Answered)
    };
    let cases = [
        Requests {
            name: "an answer to a request that never ran",
            runs: vec![],
            faults: &["answered-unrun"],
            ..plain()
        },
        Requests {
            name: "an answer from an upstream on which it did not run",
            records: vec![elsewhere],
            faults: &["answered-unrun"],
            ..plain()
        },
        Requests {
            name: "an answer before the end of the work",
            runs: vec![Run {
                end: Some(121),
                ..RUN
            }],
            faults: &["answered-unrun"],
            ..plain()
        },
        Requests {
            name: "an answer to another request",
            records: vec![record("r-1", ClientOutcome::Wrong)],
            faults: &["wrong-answer"],
            ..plain()
        },
        Requests {
            name: "a request of another load",
            runs: vec![RUN, Run { id: "x", ..RUN }],
            ..plain()
        },
    ];
    check_requests(&cases);
}

/// Executions, and the faults and changes of the slice's owner that they show.
struct Owners {
    name: &'static str,
    runs: Vec<Run>,
    faults: &'static [&'static str],
    changes: u64,
}

/// An overlap shows in the slice and in the key.
const BOTH: &[&str] = &["two-owners", "two-owners"];

const LONG: Run = Run {
    end: Some(200),
    planned: 100,
    ..RUN
};

fn other(start: u64, end: u64) -> Run {
    Run {
        upstream: "up-2",
        id: "r-2",
        start,
        end: Some(end),
        ..RUN
    }
}

fn check_owners(cases: &[Owners]) {
    for case in cases {
        let report = judge(&[], &journal(&case.runs), JudgeSettings::default());
        assert_eq!(names(&report), case.faults, "{}", case.name);
        assert_eq!(report.slice_churn.changes, case.changes, "{}", case.name);
    }
}

#[test]
fn parts_have_one_owner_at_a_time() {
    let cases = [
        Owners {
            name: "a move",
            runs: vec![RUN, other(110, 120)],
            faults: &[],
            changes: 1,
        },
        Owners {
            name: "a move there and back",
            runs: vec![
                RUN,
                other(110, 120),
                Run {
                    start: 120,
                    end: Some(130),
                    ..RUN
                },
            ],
            faults: &[],
            changes: 2,
        },
        Owners {
            name: "a start before the other's end",
            runs: vec![RUN, other(109, 120)],
            faults: BOTH,
            changes: 1,
        },
        Owners {
            name: "a start during a long execution that is not the last",
            runs: vec![
                LONG,
                Run {
                    start: 120,
                    end: Some(121),
                    ..RUN
                },
                other(150, 160),
            ],
            faults: BOTH,
            changes: 1,
        },
        Owners {
            name: "another key of the slice",
            runs: vec![
                RUN,
                Run {
                    key: "k-2",
                    ..other(109, 120)
                },
            ],
            faults: &["two-owners"],
            changes: 1,
        },
    ];
    check_owners(&cases);
}

#[test]
fn upstream_keeps_no_part_beyond_its_grant_or_plan() {
    let cases = [
        Owners {
            name: "an execution that stood still longer than planned",
            runs: vec![
                Run {
                    end: Some(500),
                    ..RUN
                },
                other(300, 310),
            ],
            faults: &[],
            changes: 1,
        },
        Owners {
            name: "an execution that outlived its grant",
            runs: vec![
                Run {
                    granted_until: Some(150),
                    ..LONG
                },
                other(160, 170),
            ],
            faults: &[],
            changes: 1,
        },
        Owners {
            name: "an execution within its grant",
            runs: vec![
                Run {
                    granted_until: Some(170),
                    ..LONG
                },
                other(160, 170),
            ],
            faults: BOTH,
            changes: 1,
        },
        Owners {
            name: "an execution that was killed",
            runs: vec![Run { end: None, ..RUN }, other(105, 110)],
            faults: &[],
            changes: 1,
        },
    ];
    check_owners(&cases);
}

#[test]
fn upstreams_keep_their_rules() {
    struct Case {
        name: &'static str,
        lines: Vec<JournalLine>,
        faults: &'static [&'static str],
    }
    let run = |start: u64, epoch: u64| Run {
        start,
        end: Some(start + 10),
        epoch,
        ..RUN
    };
    let drained = |until: Option<u64>, start: u64| {
        let mut lines = journal(&[run(start, 1)]);
        lines.push(line("up-1", 1_000, JournalEvent::Drain));
        lines.extend(until.map(|at| line("up-1", at, JournalEvent::Undrain)));
        lines
    };
    let twice = |index: usize| {
        let mut lines = journal(&[RUN]);
        lines.push(lines[index].clone());
        lines
    };
    let cases = [
        Case {
            name: "a rising epoch",
            lines: journal(&[run(100, 1), run(200, 2), run(300, 2)]),
            faults: &[],
        },
        Case {
            name: "a falling epoch",
            lines: journal(&[run(100, 1), run(200, 2), run(300, 1)]),
            faults: &["epoch-fell"],
        },
        Case {
            name: "work soon after the notice to leave",
            lines: drained(None, 2_999),
            faults: &[],
        },
        Case {
            name: "work long after the notice to leave",
            lines: drained(None, 3_000),
            faults: &["work-while-leaving"],
        },
        Case {
            name: "work after the notice was taken back",
            lines: drained(Some(2_500), 3_000),
            faults: &[],
        },
        Case {
            name: "as much work as there are slots",
            lines: journal(&[run(100, 1), run(101, 1), run(110, 1)]),
            faults: &[],
        },
        Case {
            name: "more work than there are slots",
            lines: journal(&[run(100, 1), run(101, 1), run(109, 1)]),
            faults: &["too-many-running"],
        },
        Case {
            name: "two starts of one execution",
            lines: {
                let mut lines = journal(&[Run { end: None, ..RUN }]);
                lines.push(lines[2].clone());
                lines
            },
            faults: &["bad-journal"],
        },
        Case {
            name: "an end before its start",
            lines: journal(&[Run {
                end: Some(99),
                ..RUN
            }]),
            faults: &["bad-journal"],
        },
        Case {
            name: "two ends of one execution",
            lines: twice(3),
            faults: &["bad-journal"],
        },
    ];
    for case in cases {
        let report = judge(&[], &case.lines, JudgeSettings::default());
        assert_eq!(names(&report), case.faults, "{}", case.name);
    }
}

#[test]
fn gaps_lie_between_their_bounds() {
    struct Case {
        name: &'static str,
        /// Intended time, latency and outcome of each request, in milliseconds.
        requests: &'static [(u64, u64, ClientOutcome)],
        hit: u64,
        at_least: f64,
        at_most: f64,
    }
    let cases = [
        Case {
            name: "all served",
            requests: &[
                (0, 5, ClientOutcome::Answered),
                (50, 5, ClientOutcome::Answered),
            ],
            hit: 0,
            at_least: 0.0,
            at_most: 0.0,
        },
        Case {
            name: "two refused between two served",
            requests: &[
                (0, 5, ClientOutcome::Answered),
                (50, 1, ClientOutcome::NotRun),
                (80, 1, ClientOutcome::Unknown),
                (120, 5, ClientOutcome::Answered),
            ],
            hit: 1,
            at_least: 30.0,
            at_most: 120.0,
        },
        Case {
            name: "one held up",
            requests: &[
                (0, 5, ClientOutcome::Answered),
                (50, 400, ClientOutcome::Answered),
                (470, 5, ClientOutcome::Answered),
            ],
            hit: 1,
            at_least: 400.0,
            at_most: 470.0,
        },
        Case {
            name: "refused at the end",
            requests: &[
                (0, 5, ClientOutcome::Answered),
                (50, 1, ClientOutcome::NotRun),
                (80, 1, ClientOutcome::NotRun),
            ],
            hit: 1,
            at_least: 30.0,
            at_most: 80.0,
        },
        Case {
            name: "two gaps",
            requests: &[
                (0, 1, ClientOutcome::NotRun),
                (10, 1, ClientOutcome::NotRun),
                (20, 5, ClientOutcome::Answered),
                (30, 1, ClientOutcome::NotRun),
                (50, 1, ClientOutcome::NotRun),
                (60, 5, ClientOutcome::Answered),
            ],
            hit: 1,
            at_least: 30.0,
            at_most: 60.0,
        },
    ];
    for case in cases {
        for slices in [None, Some(16)] {
            let sent = |(at, latency, seen): &(u64, u64, ClientOutcome)| Record {
                intended_us: (1_000 + at) * MS,
                done_us: (1_000 + at + latency) * MS,
                ..record("r", *seen)
            };
            let records: Vec<_> = case.requests.iter().map(sent).collect();
            let cfg = JudgeSettings {
                gaps: GapSettings {
                    slices,
                    ..GapSettings::default()
                },
                ..JudgeSettings::default()
            };
            let found = judge(&records, &[], cfg).unavailable;
            assert_eq!(found.parts, 1, "{}", case.name);
            assert_eq!(found.hit, case.hit, "{}", case.name);
            assert!(
                (found.at_least.max_ms - case.at_least).abs() < 1e-9,
                "{}",
                case.name
            );
            assert!(
                (found.at_most.max_ms - case.at_most).abs() < 1e-9,
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn balance_counts_idle_upstreams() {
    let report = judge(&[], &journal(&[RUN]), JudgeSettings::default());
    let balance = &report.balance[&entry()];
    assert_eq!(balance.requests.len(), 2);
    assert!((balance.max_over_mean - 2.0).abs() < 1e-9);
    assert!((balance.deviation - 1.0).abs() < 1e-9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_through_faults_is_judged_from_files() {
    let dir = tempfile::tempdir().unwrap();
    let journal = dir.path().join("journal.jsonl");
    let cfg = UpstreamSettings {
        checks_grants: false,
        service_time: ServiceTime::Exponential { mean_ms: 1.0 },
        connect_cost_ms: 0.0,
        journal: Some(journal.clone()),
        ..UpstreamSettings::default()
    };
    let upstream = Upstream::bind(cfg).await.unwrap();
    let plan = r#"{"faults": [{"fault": "cut-before-request", "share": 0.1},
                              {"fault": "cut-before-answer", "share": 0.1},
                              {"fault": {"cut-answer-after": 60}, "share": 0.1}]}"#;
    let plan: FaultPlan = serde_json::from_str(plan).unwrap();
    let proxy = FaultProxy::bind(ProxySettings {
        target: upstream.address(),
        plan,
        ..ProxySettings::default()
    })
    .unwrap();
    let run = load::run(LoadSettings {
        targets: vec![proxy.address()],
        rate_per_s: 400.0,
        duration_ms: 500,
        entries: vec![EntryLoad {
            key: Some(catalogue::KeyLocation::PathSegment(0)),
            ..EntryLoad::default()
        }],
        keys: KeyDistribution {
            count: 10,
            ..KeyDistribution::default()
        },
        ..LoadSettings::default()
    })
    .await
    .unwrap();
    assert!(run.summary.answered > 0);
    assert!(run.summary.unknown.values().sum::<u64>() > 0);

    let mut records = run.records;
    let write = |records: &[Record]| {
        let line = |r| serde_json::to_string(r).unwrap() + "\n";
        let path = dir.path().join("records.jsonl");
        fs::write(&path, records.iter().map(line).collect::<String>()).unwrap();
        JudgeArgs {
            settings: None,
            records: path,
            journals: vec![journal.clone()],
        }
    };
    let report = write(&records).judge().unwrap();
    assert_eq!(report.faults, []);
    assert_eq!(report.requests as usize, records.len());
    assert!(report.unavailable.hit > 0);

    let answered = records
        .iter_mut()
        .find(|r| r.seen == ClientOutcome::Answered);
    answered.unwrap().seen = ClientOutcome::NotRun;
    let report = write(&records).judge().unwrap();
    assert_eq!(names(&report), ["not-run-ran"]);
}
