//! The judge reports each kind of fault, and no fault where there is none.

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

/// One execution of a request; times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Execution {
    upstream: &'static str,
    id: &'static str,
    key: &'static str,
    epoch: u64,
    start: u64,
    end: Option<u64>,
    planned: u64,
    granted_until: Option<u64>,
}

const EXECUTION: Execution = Execution {
    upstream: "up-1",
    id: "r-1",
    key: "k-1",
    epoch: 1,
    start: 100,
    end: Some(110),
    planned: 10,
    granted_until: None,
};

/// Returns the record of a request sent at 90 ms and completed at 120 ms, by `up-1` if answered.
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

/// Returns the journals of upstreams `up-1` and `up-2`, each with two slots.
fn journal(executions: &[Execution]) -> Vec<JournalLine> {
    let boot_line = |upstream| {
        let event = JournalEvent::Boot {
            entry: entry(),
            slots: 2,
        };
        line(upstream, 0, event)
    };
    let mut lines = vec![boot_line("up-1"), boot_line("up-2")];
    for (i, execution) in executions.iter().enumerate() {
        let number = i as u64;
        let started = Started {
            run: number,
            id: Some(SmolStr::new(execution.id)),
            entry: entry(),
            slice: Some(SliceNo(3)),
            epoch: Some(Epoch(execution.epoch)),
            key: Some(SmolStr::new(execution.key)),
            planned_us: execution.planned * MS,
        };
        lines.push(line(
            execution.upstream,
            execution.start,
            JournalEvent::Start(started),
        ));
        if let Some(end) = execution.end {
            let event = JournalEvent::End {
                run: number,
                cancelled: false,
                granted_until_us: execution.granted_until.map(|ms| ms * MS),
            };
            lines.push(line(execution.upstream, end, event));
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

/// Records and executions, and the faults that the judge must report.
struct Requests {
    name: &'static str,
    records: Vec<Record>,
    executions: Vec<Execution>,
    faults: &'static [&'static str],
}

fn plain() -> Requests {
    Requests {
        name: "an answered request",
        records: vec![record("r-1", ClientOutcome::Answered)],
        executions: vec![EXECUTION],
        faults: &[],
    }
}

fn check_requests(cases: &[Requests]) {
    for case in cases {
        let report = judge(
            &case.records,
            &journal(&case.executions),
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
    let again = Execution {
        start: 130,
        end: Some(140),
        ..EXECUTION
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
            executions: vec![],
            faults: &[],
        },
        Requests {
            name: "a request that ran although its outcome says that it did not",
            records: vec![record("r-1", ClientOutcome::NotRun)],
            faults: &["not-run-ran"],
            ..plain()
        },
        Requests {
            name: "a request that was killed although its outcome says that it did not run",
            records: vec![record("r-1", ClientOutcome::NotRun)],
            executions: vec![Execution {
                end: None,
                ..EXECUTION
            }],
            faults: &["not-run-ran"],
        },
        Requests {
            name: "a repeat that was refused",
            records: vec![
                record("r-1", ClientOutcome::Answered),
                record("r-1", ClientOutcome::NotRun),
            ],
            ..plain()
        },
        Requests {
            name: "a request that ran twice",
            executions: vec![EXECUTION, again],
            faults: &["ran-twice"],
            ..plain()
        },
        Requests {
            name: "an idempotent request that ran twice",
            records: vec![idempotent],
            executions: vec![EXECUTION, again],
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
            executions: vec![],
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
            executions: vec![Execution {
                end: Some(121),
                ..EXECUTION
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
            executions: vec![
                EXECUTION,
                Execution {
                    id: "x",
                    ..EXECUTION
                },
            ],
            ..plain()
        },
    ];
    check_requests(&cases);
}

/// Executions, and the faults and the changes of the slice's owner that the judge must report.
struct Owners {
    name: &'static str,
    executions: Vec<Execution>,
    faults: &'static [&'static str],
    changes: u64,
}

/// An overlap is reported for the slice and for the key.
const SLICE_AND_KEY_FAULTS: &[&str] = &["two-owners", "two-owners"];

const LONG: Execution = Execution {
    end: Some(200),
    planned: 100,
    ..EXECUTION
};

fn other(start: u64, end: u64) -> Execution {
    Execution {
        upstream: "up-2",
        id: "r-2",
        start,
        end: Some(end),
        ..EXECUTION
    }
}

fn check_owners(cases: &[Owners]) {
    for case in cases {
        let report = judge(&[], &journal(&case.executions), JudgeSettings::default());
        assert_eq!(names(&report), case.faults, "{}", case.name);
        assert_eq!(report.slice_churn.changes, case.changes, "{}", case.name);
    }
}

#[test]
fn slices_and_keys_have_one_owner_at_a_time() {
    let cases = [
        Owners {
            name: "a move",
            executions: vec![EXECUTION, other(110, 120)],
            faults: &[],
            changes: 1,
        },
        Owners {
            name: "a move and a move back",
            executions: vec![
                EXECUTION,
                other(110, 120),
                Execution {
                    start: 120,
                    end: Some(130),
                    ..EXECUTION
                },
            ],
            faults: &[],
            changes: 2,
        },
        Owners {
            name: "a start before the end of the other upstream's execution",
            executions: vec![EXECUTION, other(109, 120)],
            faults: SLICE_AND_KEY_FAULTS,
            changes: 1,
        },
        Owners {
            name: "a start during a long execution that is not the last",
            executions: vec![
                LONG,
                Execution {
                    start: 120,
                    end: Some(121),
                    ..EXECUTION
                },
                other(150, 160),
            ],
            faults: SLICE_AND_KEY_FAULTS,
            changes: 1,
        },
        Owners {
            name: "another key of the slice",
            executions: vec![
                EXECUTION,
                Execution {
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
fn upstream_owns_no_slice_or_key_beyond_its_grant_or_plan() {
    let cases = [
        Owners {
            name: "an execution that was paused for longer than planned",
            executions: vec![
                Execution {
                    end: Some(500),
                    ..EXECUTION
                },
                other(300, 310),
            ],
            faults: &[],
            changes: 1,
        },
        Owners {
            name: "an execution that ended after its grant expired",
            executions: vec![
                Execution {
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
            executions: vec![
                Execution {
                    granted_until: Some(170),
                    ..LONG
                },
                other(160, 170),
            ],
            faults: SLICE_AND_KEY_FAULTS,
            changes: 1,
        },
        Owners {
            name: "an execution that was killed",
            executions: vec![
                Execution {
                    end: None,
                    ..EXECUTION
                },
                other(105, 110),
            ],
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
    let execution = |start: u64, epoch: u64| Execution {
        start,
        end: Some(start + 10),
        epoch,
        ..EXECUTION
    };
    let drained = |until: Option<u64>, start: u64| {
        let mut lines = journal(&[execution(start, 1)]);
        lines.push(line("up-1", 1_000, JournalEvent::Drain));
        lines.extend(until.map(|at| line("up-1", at, JournalEvent::Undrain)));
        lines
    };
    let with_repeated_line = |index: usize| {
        let mut lines = journal(&[EXECUTION]);
        lines.push(lines[index].clone());
        lines
    };
    let cases = [
        Case {
            name: "a rising epoch",
            lines: journal(&[execution(100, 1), execution(200, 2), execution(300, 2)]),
            faults: &[],
        },
        Case {
            name: "a falling epoch",
            lines: journal(&[execution(100, 1), execution(200, 2), execution(300, 1)]),
            faults: &["epoch-fell"],
        },
        Case {
            name: "work shortly after the announcement of a drain",
            lines: drained(None, 2_999),
            faults: &[],
        },
        Case {
            name: "work long after the announcement of a drain",
            lines: drained(None, 3_000),
            faults: &["work-while-leaving"],
        },
        Case {
            name: "work after the drain was withdrawn",
            lines: drained(Some(2_500), 3_000),
            faults: &[],
        },
        Case {
            name: "as many executions as slots",
            lines: journal(&[execution(100, 1), execution(101, 1), execution(110, 1)]),
            faults: &[],
        },
        Case {
            name: "more executions than slots",
            lines: journal(&[execution(100, 1), execution(101, 1), execution(109, 1)]),
            faults: &["too-many-running"],
        },
        Case {
            name: "two starts of one execution",
            lines: {
                let mut lines = journal(&[Execution {
                    end: None,
                    ..EXECUTION
                }]);
                lines.push(lines[2].clone());
                lines
            },
            faults: &["bad-journal"],
        },
        Case {
            name: "an end before its start",
            lines: journal(&[Execution {
                end: Some(99),
                ..EXECUTION
            }]),
            faults: &["bad-journal"],
        },
        Case {
            name: "two ends of one execution",
            lines: with_repeated_line(3),
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
        /// Intended time and latency of each request, in milliseconds, and its outcome.
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
            name: "one delayed",
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
            let to_record = |(at, latency, seen): &(u64, u64, ClientOutcome)| Record {
                intended_us: (1_000 + at) * MS,
                done_us: (1_000 + at + latency) * MS,
                ..record("r", *seen)
            };
            let records: Vec<_> = case.requests.iter().map(to_record).collect();
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
    let report = judge(&[], &journal(&[EXECUTION]), JudgeSettings::default());
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
