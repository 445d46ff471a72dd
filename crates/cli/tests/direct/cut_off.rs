//! Hosts that lose their links to all upstreams, while callers, the store and other hosts reach them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use standin::LinkCut;
use standin::fleet::StoreMode;

use crate::rig::{Request, Response, Rig, guarantees_not_executed, send};
use crate::{answered, check_all_are_answered, check_owners, execution_count};

const HOSTS: usize = 4;
/// Time after which a host that was cut off must serve like the others.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the links stay cut after that; grants without a renewal end in it.
const CUT_FOR: Duration = Duration::from_secs(5);
/// Time between two rounds of requests.
const INTERVAL: Duration = Duration::from_millis(40);
/// Fraction of the requests that must be answered at each host, in each class.
const MIN_ANSWERED: f64 = 0.95;

/// A request and its response, if there was one.
struct Sent {
    host: usize,
    request: Request,
    response: Option<Response>,
}

impl Sent {
    fn is_answered(&self) -> bool {
        answered(self.response.as_ref(), &self.request.id)
    }
}

/// Sends a read and a post to each host in each round, for `span`.
async fn send_to_all(rig: &Rig, name: &str, span: Duration) -> Vec<Sent> {
    let start = Instant::now();
    let mut pending = Vec::new();
    for n in 0_u16.. {
        if start.elapsed() >= span {
            break;
        }
        for host in 0..HOSTS {
            let read = Request::read(&format!("{name}-r-{host}-{n}"), n.wrapping_mul(4_099));
            let post = Request::post(&format!("{name}-p-{host}-{n}"));
            for request in [read, post] {
                let callers = rig.callers(host);
                pending.push(tokio::spawn(async move {
                    let response = send(callers, &request).await;
                    Sent {
                        host,
                        request,
                        response,
                    }
                }));
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
    let ended = join_all(pending).await;
    ended
        .into_iter()
        .map(|sent| sent.expect("no panic"))
        .collect()
}

/// Checks that each host answered nearly all requests of each class.
fn check_answered(case: &str, sent: &[Sent]) {
    for host in 0..HOSTS {
        for method in ["GET", "POST"] {
            let of_class = || {
                let at_host = sent.iter().filter(|s| s.host == host);
                at_host.filter(|s| s.request.method == method)
            };
            let answered = of_class().filter(|s| s.is_answered()).count();
            let fraction = answered as f64 / of_class().count() as f64;
            assert!(
                fraction >= MIN_ANSWERED,
                "{case}: host {host} answered {answered} of {} {method}",
                of_class().count()
            );
        }
    }
}

/// Checks that no post ran twice, and that none ran that was refused as not run.
fn check_posts(case: &str, rig: &Rig, sent: &[Sent]) {
    let ran = rig.journal.all();
    for s in sent.iter().filter(|s| s.request.method == "POST") {
        let count = execution_count(&ran, &s.request.id);
        assert!(count <= 1, "{case}: {} ran {count} times", s.request.id);
        let is_refused = s.response.as_ref().is_some_and(guarantees_not_executed);
        assert!(
            !is_refused || count == 0,
            "{case}: {} was refused and ran",
            s.request.id
        );
    }
    check_owners(&ran);
}

/// How many hosts are cut off.
#[derive(Debug, Clone, Copy)]
enum CutOff {
    /// The host that grants the keys, alone.
    Granting,
    /// All but one, with the host that grants the keys.
    AllButOne,
}

struct Case {
    how: LinkCut,
    who: CutOff,
}

/// A host without links to upstreams refused its requests, and granted no keys without letting
/// another host grant them.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_without_links_to_upstreams_serve_like_the_others() {
    let cases = [
        (LinkCut::Hangs, CutOff::Granting),
        (LinkCut::Resets, CutOff::Granting),
        (LinkCut::RefusesNew, CutOff::Granting),
        (LinkCut::Hangs, CutOff::AllButOne),
        (LinkCut::Resets, CutOff::AllButOne),
        (LinkCut::RefusesNew, CutOff::AllButOne),
    ];
    let cases = cases.map(|(how, who)| Case { how, who });
    for result in join_all(cases.map(|case| tokio::spawn(play(case)))).await {
        result.expect("the case passes");
    }
}

async fn play(case: Case) {
    let Case { how, who } = case;
    let name = format!("{how:?} {who:?}");
    let rig = Rig::start(HOSTS).await;
    let granting = rig.granting_host();
    let is_cut = |host: usize| match who {
        CutOff::Granting => host == granting,
        CutOff::AllButOne => host != (granting + 1) % HOSTS,
    };
    for host in (0..HOSTS).filter(|host| is_cut(*host)) {
        rig.cut_links(host, how);
    }
    let first = send_to_all(&rig, "first", RECOVERY_LIMIT).await;
    check_posts(&name, &rig, &first);
    let sent = send_to_all(&rig, "later", CUT_FOR).await;
    check_posts(&name, &rig, &sent);
    check_answered(&name, &sent);
    rig.restore_links();
    tokio::time::sleep(RECOVERY_LIMIT).await;
    check_all_are_answered(&rig, "restored").await;
}

/// While the store is away no other host can take over from a granting host that lost its links, and
/// the keys had no owner when its grants had run out.
#[tokio::test(flavor = "multi_thread")]
async fn a_granting_host_without_links_grants_through_others_while_the_store_is_away() {
    let rig = Rig::start_with_unique_names(HOSTS).await;
    rig.store.set_mode(StoreMode::Unavailable);
    rig.cut_links(rig.granting_host(), LinkCut::Hangs);
    let first = send_to_all(&rig, "first", RECOVERY_LIMIT).await;
    check_posts("store away", &rig, &first);
    let sent = send_to_all(&rig, "later", CUT_FOR).await;
    check_posts("store away", &rig, &sent);
    check_answered("store away", &sent);
    rig.store.set_mode(StoreMode::Up);
    rig.restore_links();
    tokio::time::sleep(RECOVERY_LIMIT).await;
    check_all_are_answered(&rig, "restored").await;
}
