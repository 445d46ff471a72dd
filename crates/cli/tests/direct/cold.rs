//! Tests of upstreams that fail if they receive too many requests while they are cold.

use std::time::{Duration, Instant};

use futures::future::join_all;
use standin::fleet::deploy::{configuration, with_warmup};
use standin::fleet::{ColdSettings, FleetTarget, TargetSettings};

use crate::rig::{Request, Rig};

/// Rate that the users' upstreams sustain while they are cold, in requests per second.
const COLD_RATE_PER_S: f64 = 7.6;

fn cold_settings(service: &str) -> TargetSettings {
    TargetSettings {
        service: service.into(),
        is_divided: service == "reads",
        service_time: Duration::from_millis(40),
        slots: 2,
        cold: Some(ColdSettings::default()),
        service_time_percent: Some(100),
        ..TargetSettings::default()
    }
}

/// Sends posts and reads with keys of all owners to each host for `time`, in concurrent batches.
async fn send_load(rig: &Rig, name: &str, time: Duration) {
    let start = Instant::now();
    let mut n = 0_u32;
    while start.elapsed() < time {
        let requests = (0..rig.hosts.len()).flat_map(|host| {
            n += 1;
            let post = Request {
                wait_ms: 600,
                ..Request::post(&format!("{name}-post-{host}-{n}"))
            };
            let read = Request {
                wait_ms: 600,
                ..Request::read(&format!("{name}-{host}-{n}"), (n * 997 % 65_536) as u16)
            };
            [(host, post), (host, read)]
        });
        let requests: Vec<(usize, Request)> = requests.collect();
        join_all(
            requests
                .iter()
                .map(|(host, request)| rig.send(*host, request)),
        )
        .await;
    }
}

fn check(upstreams: &[FleetTarget]) {
    let max_per_s = ColdSettings::default().max_per_s;
    for upstream in upstreams {
        assert!(!upstream.has_failed(), "{} failed", upstream.id());
        let busiest = upstream.max_per_s_while_cold();
        assert!(
            busiest <= max_per_s,
            "{}: {busiest} in a second",
            upstream.id()
        );
    }
}

/// Covers a service whose upstreams all start under load and become cold again once they are warm.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_gets_no_more_than_it_sustains() {
    let mut rig = Rig::start(3).await;
    let spec = with_warmup(configuration(5, 4.0, "posts"), 3.0, COLD_RATE_PER_S);
    rig.store.configure(&spec);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut new = Vec::new();
    for service in ["posts", "posts", "reads", "reads"] {
        new.push(rig.target(cold_settings(service)).await);
    }
    // The others drain, so that all requests go to the cold upstreams.
    for old in rig.posts.drain(..).chain(rig.reads.drain(..)) {
        old.drain();
        new.push(old);
    }
    send_load(&rig, "start", Duration::from_millis(4_500)).await;
    check(&new[..4]);
    assert!(
        new[0].max_per_s_while_cold() > 0,
        "the cold upstream receives requests"
    );
    for upstream in &new[..4] {
        upstream.become_cold();
        upstream.register_again();
    }
    send_load(&rig, "again", Duration::from_millis(3_500)).await;
    // Requests that were in flight when the upstreams became cold, or sent before hosts knew, may
    // exceed the rate.
    assert!(new[..4].iter().all(|upstream| !upstream.has_failed()));
}
