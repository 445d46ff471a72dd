//! Tests of registrations that other writers than the upstreams have stored.

use std::time::{Duration, Instant};

use futures::future::join_all;
use standin::fleet::{FleetTarget, TargetSettings};

use crate::rig::{Request, Rig, wait_until};
use crate::{DRAIN_TIMEOUT, answered};

/// A registration that lacks a field and gives an upstream of one service to another one.
///
/// Guards against requests that are run by a service to which no configuration sends them.
#[tokio::test(flavor = "multi_thread")]
async fn a_registration_that_lacks_a_field_gives_no_upstream_to_another_service() {
    let rig = Rig::start(2).await;
    let settings = TargetSettings {
        service: "other".into(),
        ..TargetSettings::default()
    };
    let other = rig.target(settings).await;
    // The service's own upstreams take nothing new, so that requests go to any other one.
    rig.posts.iter().for_each(FleetTarget::drain);
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    for (parent, field) in [
        ("/status", "seq"),
        ("/status", "warmup_left_s"),
        ("/info", "version"),
        ("/info", "slots"),
        ("/info", "zone"),
        ("/status", "state"),
    ] {
        let mut row = rig.store.read("servers", other.id()).expect("a row");
        row["info"]["service"] = "posts".into();
        let fields = row.pointer_mut(parent).and_then(|v| v.as_object_mut());
        fields.expect("an object").remove(field).expect(field);
        rig.store.put("servers", other.id(), &row);
        tokio::time::sleep(Duration::from_millis(300)).await;
        for host in 0..2 {
            let post = Request::post(&format!("lacks-{field}-{host}"));
            rig.send(host, &post).await;
        }
        other.heartbeat();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let ran = rig.journal.all();
        let astray: Vec<_> = ran.iter().filter(|r| r.target == *other.id()).collect();
        assert!(astray.is_empty(), "without {field}: {astray:?}");
    }
}

/// An invalid registration that another writer stored makes its upstream unusable, and no other
/// one. The next registration of the upstream itself makes it usable again.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_with_an_invalid_registration_is_not_used() {
    let rig = Rig::start(2).await;
    let faulty = rig.posts[0].id().clone();
    let registrations: [&[u8]; 4] = [
        b"\xff\xfe",
        b"{}",
        br#"{"address":"127.0.0.1:1","info":{"service":7},"status":{}}"#,
        br#"{"born":1.5,"address":"127.0.0.1:1","info":{"service":"posts","zone":"a","slots":4},"status":{"state":"ready"}}"#,
    ];
    for (round, registration) in registrations.into_iter().enumerate() {
        rig.store.put_bytes("servers", &faulty, registration);
        tokio::time::sleep(Duration::from_millis(900)).await;
        let start = Instant::now();
        for i in 0..20 {
            let post = Request::post(&format!("odd-{round}-{i}"));
            assert!(answered(rig.send(i % 2, &post).await.as_ref(), &post.id));
        }
        let ran = rig.journal.all();
        let executed = ran.iter().filter(|r| r.target == faulty && r.at > start);
        assert_eq!(executed.count(), 0, "round {round}");
    }
    let metrics = rig.metrics(0).await;
    assert!(metrics.contains("registrations_refused"), "{metrics}");
    rig.posts[0].register_again();
    wait_until("the upstream is used again", async || {
        // More concurrent requests than one upstream has slots.
        let posts: Vec<Request> = (0..12)
            .map(|i| Request::post(&format!("back-{i}")))
            .collect();
        join_all(posts.iter().map(|post| rig.send(0, post))).await;
        let ran = rig.journal.all();
        ran.iter()
            .any(|r| r.request.starts_with("back-") && r.target == faulty)
    })
    .await;
}
