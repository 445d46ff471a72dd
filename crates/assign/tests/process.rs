//! Which process at an address may be granted keys, and under which fencing tokens.

use assign::{FencingToken, GrantedProcesses, Opening, PartitionId};
use ids::{EntryId, Timestamp};

fn partition(entry: &str) -> PartitionId {
    PartitionId::first(EntryId::new(entry).expect("a valid name"))
}

/// Returns the opening of a connection that took 2 ms from `ms` on.
fn opened_at(ms: u64) -> Opening {
    Opening {
        began: Timestamp::from_millis(ms),
        ended: Timestamp::from_millis(ms + 2),
    }
}

/// What happens at an address. Times are in milliseconds; connections are named by when they were
/// opened.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A grant under a token over a connection, and whether it may be sent; it is sent then.
    Grant {
        conn: u64,
        token: u64,
        may_send: bool,
    },
    /// The answer to a call over a connection that was sent at a time.
    Answer { conn: u64, sent: u64 },
}

use Step::{Answer, Grant};

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const fn grant(conn: u64, token: u64, may_send: bool) -> Step {
    Grant {
        conn,
        token,
        may_send,
    }
}

const CASES: &[Case] = &[
    Case {
        name: "the connection of the first grant leads to its process for good",
        steps: &[grant(10, 1, true), grant(10, 1, true), grant(10, 2, true)],
    },
    Case {
        name: "a later connection may lead to another process",
        steps: &[grant(10, 1, true), grant(20, 1, false), grant(20, 2, true)],
    },
    Case {
        name: "an answer before a connection was opened says nothing about it",
        steps: &[
            grant(10, 1, true),
            Answer { conn: 10, sent: 15 },
            grant(20, 1, false),
        ],
    },
    Case {
        name: "an answer to a call that was sent while a connection was being opened says nothing",
        steps: &[
            grant(10, 1, true),
            Answer { conn: 10, sent: 21 },
            grant(20, 1, false),
        ],
    },
    Case {
        name: "an answer to a call that was sent after it was opened shows the same process",
        steps: &[
            grant(10, 1, true),
            Answer { conn: 10, sent: 23 },
            grant(20, 1, true),
        ],
    },
    Case {
        name: "each connection shows where the next one leads",
        steps: &[
            grant(10, 1, true),
            Answer { conn: 10, sent: 23 },
            Answer { conn: 20, sent: 33 },
            grant(30, 1, true),
        ],
    },
    Case {
        name: "an answer of another process shows nothing",
        steps: &[
            grant(10, 1, true),
            Answer { conn: 20, sent: 33 },
            grant(30, 1, false),
        ],
    },
    Case {
        name: "tokens of an earlier process stay refused at all later ones",
        steps: &[
            grant(10, 3, true),
            grant(20, 4, true),
            grant(20, 3, false),
            grant(30, 4, false),
            grant(30, 3, false),
            grant(30, 5, true),
        ],
    },
    Case {
        name: "a connection that was opened before the known process was is not known to lead to it",
        steps: &[grant(20, 1, true), grant(10, 1, false)],
    },
];

/// Guards against two processes that are granted keys under one fencing token.
#[test]
fn grants_under_one_token_go_to_one_process() {
    let partition = partition("reads");
    for case in CASES {
        let mut processes = GrantedProcesses::default();
        for &step in case.steps {
            match step {
                Grant {
                    conn,
                    token,
                    may_send,
                } => {
                    let token = FencingToken(token);
                    let allowed = processes.may_grant(opened_at(conn), &partition, token);
                    assert_eq!(allowed, may_send, "{}: {step:?}", case.name);
                    if allowed {
                        processes.granted(&partition, token);
                    }
                }
                Answer { conn, sent } => {
                    processes.answered(opened_at(conn), Timestamp::from_millis(sent));
                }
            }
        }
    }
}

/// Guards against keys that wait because of the tokens of another partition, which counts its own.
#[test]
fn partitions_have_tokens_of_their_own() {
    let mut processes = GrantedProcesses::default();
    let (one, other) = (partition("reads"), partition("files"));
    assert!(processes.may_grant(opened_at(10), &one, FencingToken(9)));
    processes.granted(&one, FencingToken(9));
    assert!(processes.may_grant(opened_at(20), &other, FencingToken(1)));
    assert!(!processes.may_grant(opened_at(20), &one, FencingToken(9)));
}
