//! Upstreams that answer requests twice, the second time late.

use futures::future::join_all;
use standin::LinkCut;
use standin::fleet::{RepeatedAnswer, TargetFault};

use crate::rig::{Request, Rig, guarantees_not_executed, wait_until};
use crate::{answered, check_owners, execution_count};

/// Requests of each case, one after another.
const REQUESTS: u16 = 4;

/// Requests after which as many retries are in the budget as one case needs.
const REFILL: u16 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Idempotent, on a key.
    Read,
    /// Not idempotent, on a key.
    Order,
    /// Not idempotent, without a key.
    Post,
}

impl Kind {
    fn request(self, name: &str, n: u16) -> Request {
        let id = format!("{name}-{n}");
        let read = Request::read(&id, n * 16_383);
        match self {
            Self::Read => read,
            Self::Order => Request {
                method: "POST",
                path: "/o/1",
                ..read
            },
            Self::Post => Request::post(&id),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Case {
    answer: RepeatedAnswer,
    kind: Kind,
    /// Whether the host has lost its links, so that requests go through another one.
    is_cut_off: bool,
    /// Status of all answers; none if it depends on which connection carries the request.
    status: Option<u16>,
}

const fn case(answer: RepeatedAnswer, kind: Kind, status: Option<u16>) -> Case {
    Case {
        answer,
        kind,
        is_cut_off: false,
        status,
    }
}

const fn cut_off(case: Case) -> Case {
    Case {
        is_cut_off: true,
        ..case
    }
}

const CASES: [Case; 13] = [
    case(RepeatedAnswer::NotRun, Kind::Order, Some(200)),
    case(RepeatedAnswer::NotRun, Kind::Read, Some(200)),
    case(RepeatedAnswer::NotRun, Kind::Post, Some(200)),
    cut_off(case(RepeatedAnswer::NotRun, Kind::Order, Some(200))),
    cut_off(case(RepeatedAnswer::NotRun, Kind::Read, Some(200))),
    case(RepeatedAnswer::Misdirected, Kind::Order, Some(200)),
    case(RepeatedAnswer::Misdirected, Kind::Read, Some(200)),
    cut_off(case(RepeatedAnswer::Misdirected, Kind::Order, Some(200))),
    // A failure is the answer to a request that is not idempotent.
    case(RepeatedAnswer::Failed, Kind::Order, Some(500)),
    case(RepeatedAnswer::Failed, Kind::Read, Some(200)),
    case(RepeatedAnswer::Interim, Kind::Order, Some(200)),
    case(RepeatedAnswer::NotRunWithoutId, Kind::Order, None),
    case(RepeatedAnswer::NotRunWithoutId, Kind::Post, None),
];

/// Guards against a late second answer that is taken for the answer to the next sending of its request:
/// an order is reported as not run and runs, or is sent once more and runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn second_answers_are_not_taken_for_those_to_later_sendings() {
    join_all(CASES.map(play)).await;
}

async fn play(case: Case) {
    let rig = Rig::start(2).await;
    check(&rig, &case).await;
    check_owners(&rig.journal.all());
}

/// Cuts the links of the first host, and waits until its requests go through the other one.
async fn lose_links(rig: &Rig) {
    rig.cut_links(0, LinkCut::Resets);
    let mut round = 0;
    wait_until("requests go through the other host", async || {
        round += 1;
        let mut served = true;
        for n in 0..REQUESTS {
            let read = Kind::Read.request(&format!("round-{round}"), n);
            served &= answered(rig.send(0, &read).await.as_ref(), &read.id);
        }
        served
    })
    .await;
    // Retries on the way here have used the budget, which requests refill.
    let reads: Vec<_> = (0..REFILL)
        .map(|n| Request::read(&format!("refill-{n}"), n))
        .collect();
    join_all(reads.iter().map(|read| rig.send(0, read))).await;
}

async fn check(rig: &Rig, case: &Case) {
    let name = format!("{case:?}").to_lowercase();
    if case.is_cut_off {
        lose_links(rig).await;
    }
    // A post goes on to the other upstream, which has no fault.
    for target in rig.reads.iter().chain(&rig.posts[..1]) {
        target.set_fault(TargetFault::AnswersTwice(case.answer));
    }
    for n in 0..REQUESTS {
        let request = case.kind.request(&name, n);
        let response = rig.send(0, &request).await.expect("an answer");
        let runs = execution_count(&rig.journal.all(), &request.id);
        if case.kind != Kind::Read {
            assert!(runs <= 1, "{} ran {runs} times", request.id);
        }
        if guarantees_not_executed(&response) {
            assert_eq!(runs, 0, "{} was refused: {response:?}", request.id);
        }
        if let Some(status) = case.status {
            assert_eq!(response.status, status, "{}: {response:?}", request.id);
        }
        if response.status == 200 {
            assert!(answered(Some(&response), &request.id), "{response:?}");
        }
    }
}
