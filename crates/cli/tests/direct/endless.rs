//! Upstreams whose answers never end.

use std::time::{Duration, Instant};

use futures::future::join_all;
use standin::fleet::deploy::configuration;
use standin::fleet::{EndlessAnswer, TargetFault, TargetSettings};

use crate::rig::{Request, Response, Rig, send, wait_until};
use crate::{answered, execution_count};

/// Memory of a host by its settings.
const HOST_BYTES: usize = 256 << 20;
/// Requests that are sent at the same time.
const REQUESTS: usize = 48;
/// How long callers wait, and by when they must have an answer.
const WAIT_MS: u64 = 2_000;
const ANSWER_LIMIT: Duration = Duration::from_millis(WAIT_MS + 500);
/// Time in which a request to another upstream must be answered meanwhile.
const NEIGHBOUR_LIMIT: Duration = Duration::from_secs(1);
const INTERVAL: Duration = Duration::from_millis(20);

const ANSWERS: [EndlessAnswer; 9] = [
    EndlessAnswer::NoHead,
    EndlessAnswer::HeaderLine,
    EndlessAnswer::HeaderLines,
    EndlessAnswer::InformationalHeads,
    EndlessAnswer::UntilClosed,
    EndlessAnswer::LongLength,
    EndlessAnswer::Chunks,
    EndlessAnswer::ChunkExtension,
    EndlessAnswer::Trailers,
];

/// A request and its response, if there was one.
type Sent = (Request, Option<Response>, Duration);

async fn send_timed(rig: &Rig, request: Request) -> Sent {
    let start = Instant::now();
    let response = send(rig.callers(0), &request).await;
    (request, response, start.elapsed())
}

/// Sends posts whose upstreams answer without end, all at once.
async fn send_posts(rig: &Rig, name: &str) -> Vec<Sent> {
    let posts = (0..REQUESTS).map(|n| Request {
        wait_ms: WAIT_MS,
        ..Request::post(&format!("{name}-{n}"))
    });
    join_all(posts.map(|post| send_timed(rig, post))).await
}

/// Sends reads, whose upstreams have no fault, one after another.
async fn send_reads(rig: &Rig, name: &str) -> Vec<Sent> {
    let mut sent = Vec::new();
    for n in 0..20_u16 {
        let read = Request::read(&format!("{name}-read-{n}"), n * 3_000);
        sent.push(send_timed(rig, read).await);
    }
    sent
}

/// Returns the most memory that the host takes until `done` resolves.
async fn most_resident_bytes(rig: &Rig, done: impl Future<Output = ()>) -> usize {
    let mut done = std::pin::pin!(done);
    let mut most = rig.resident_bytes(0);
    loop {
        tokio::select! {
            () = &mut done => return most,
            () = tokio::time::sleep(INTERVAL) => most = most.max(rig.resident_bytes(0)),
        }
    }
}

/// Checks that a caller got an answer in time that says what happened.
fn check_post(rig: &Rig, case: EndlessAnswer, (request, response, after): &Sent) {
    assert!(*after < ANSWER_LIMIT, "{case:?}: {after:?}: {response:?}");
    let response = response.as_ref();
    let status = response.map(|response| response.status);
    let count = execution_count(&rig.journal.all(), &request.id);
    assert!(count <= 1, "{case:?}: {} ran {count} times", request.id);
    match status {
        Some(429 | 503) => assert_eq!(count, 0, "{case:?}: {} ran: {response:?}", request.id),
        Some(502 | 504) => {}
        other => panic!("{case:?}: {} ended with {other:?}", request.id),
    }
}

/// Guards against a host that runs out of memory, or keeps callers waiting, while upstreams answer with
/// bytes without end, in a head or in a body.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_harm_nobody_else() {
    let rig = Rig::start(1).await;
    let settings = TargetSettings {
        service: "other".into(),
        slots: 32,
        ..TargetSettings::default()
    };
    let endless = rig.target(settings).await;
    rig.store.configure(&configuration(9, 4.0, "other"));
    wait_until("the upstream gets posts", async || {
        rig.send(0, &Request::post("probe")).await;
        let ran = rig.journal.all();
        ran.iter().any(|r| r.service == "other")
    })
    .await;
    for case in ANSWERS {
        endless.set_fault(TargetFault::AnswersWithoutEnd(case));
        let name = format!("{case:?}");
        let mut posts = Vec::new();
        let mut reads = Vec::new();
        let both = async {
            let all = tokio::join!(send_posts(&rig, &name), send_reads(&rig, &name));
            (posts, reads) = all;
        };
        let most = most_resident_bytes(&rig, both).await;
        assert!(most < HOST_BYTES, "{case:?}: {} MB", most >> 20);
        for sent in &posts {
            check_post(&rig, case, sent);
        }
        for (read, response, after) in reads {
            assert!(
                answered(response.as_ref(), &read.id),
                "{case:?}: {response:?}"
            );
            assert!(after < NEIGHBOUR_LIMIT, "{case:?}: {after:?}");
        }
    }
    endless.set_fault(TargetFault::None);
    wait_until("the upstream gets posts again", async || {
        let probe = Request::post("again");
        answered(rig.send(0, &probe).await.as_ref(), "again")
    })
    .await;
}
