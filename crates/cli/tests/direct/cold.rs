//! Servers that fall over if they are sent too much while they are cold.

use std::time::{Duration, Instant};

use futures::future::join_all;
use standin::fleet::deploy::{configuration, with_warmup};
use standin::fleet::{ColdSettings, FleetTarget, TargetSettings};

use crate::rig::{Ask, Rig};

/// Requests a second that today's servers bear while they are cold.
const BEARS_PER_S: f64 = 7.6;

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

/// Asks each host for posts and for the keys of all owners for `time`, many at once.
async fn ask_a_lot(rig: &Rig, name: &str, time: Duration) {
    let began = Instant::now();
    let mut n = 0_u32;
    while began.elapsed() < time {
        let asks = (0..rig.hosts.len()).flat_map(|host| {
            n += 1;
            let post = Ask {
                wait_ms: 600,
                ..Ask::post(&format!("{name}-post-{host}-{n}"))
            };
            let read = Ask {
                wait_ms: 600,
                ..Ask::read(&format!("{name}-{host}-{n}"), (n * 997 % 65_536) as u16)
            };
            [(host, post), (host, read)]
        });
        let asks: Vec<(usize, Ask)> = asks.collect();
        join_all(asks.iter().map(|(host, ask)| rig.ask(*host, ask))).await;
    }
}

fn check(servers: &[FleetTarget]) {
    let bears = ColdSettings::default().max_per_s;
    for server in servers {
        assert!(!server.has_failed(), "{} fell over", server.id());
        let busiest = server.max_per_s_while_cold();
        assert!(busiest <= bears, "{}: {busiest} in a second", server.id());
    }
}

/// A service whose servers all start during traffic, and become cold once more when they are warm.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_gets_no_more_than_it_bears() {
    let mut rig = Rig::start(3).await;
    let spec = with_warmup(configuration(5, 4.0, "posts"), 3.0, BEARS_PER_S);
    rig.store.configure(&spec);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut new = Vec::new();
    for service in ["posts", "posts", "reads", "reads"] {
        new.push(rig.target(cold_settings(service)).await);
    }
    // The others leave: all that callers ask for goes to the cold ones.
    for old in rig.posts.drain(..).chain(rig.reads.drain(..)) {
        old.drain();
        new.push(old);
    }
    ask_a_lot(&rig, "start", Duration::from_millis(4_500)).await;
    check(&new[..4]);
    assert!(new[0].max_per_s_while_cold() > 0, "it is sent something");
    for server in &new[..4] {
        server.become_cold();
        server.register_again();
    }
    ask_a_lot(&rig, "again", Duration::from_millis(3_500)).await;
    // What was under way or not yet known when they became cold may come on top of what they bear.
    assert!(new[..4].iter().all(|server| !server.has_failed()));
}
