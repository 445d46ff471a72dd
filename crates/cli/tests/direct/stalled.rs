//! Hosts some of whose reads of the store stall while others go on.

use std::time::Duration;

use standin::fleet::deploy::configuration;
use standin::fleet::{FleetTarget, TargetSettings};

use crate::rig::Rig;
use crate::{APPLY_TIMEOUT, check_post_executed_by};

const HOSTS: usize = 3;
/// Time without a fault after which a host must have each configuration in force in time.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Starts a rig, and an upstream of the service to which changes of the configuration move posts.
async fn rig_with_other_service() -> (Rig, FleetTarget) {
    let rig = Rig::start(HOSTS).await;
    let settings = TargetSettings {
        service: "other".into(),
        ..TargetSettings::default()
    };
    let other = rig.target(settings).await;
    (rig, other)
}

/// Returns the number of the host that reads the store for all.
async fn reading_host(rig: &Rig) -> usize {
    let read = "/api/rows-feed servers".to_owned();
    let reads = || {
        let calls = rig.store.calls_by();
        let of_host = |host| calls.get(&(rig.callers(host).ip(), read.clone())).copied();
        let counts: Vec<u64> = (0..HOSTS).map(|host| of_host(host).unwrap_or(0)).collect();
        counts
    };
    let before = reads();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = reads();
    let reader = (0..HOSTS).max_by_key(|&host| after[host] - before[host]);
    reader.expect("a host")
}

/// Guards against an old configuration at hosts behind one whose reads of the configuration stall: that
/// its other reads go on says nothing about the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_in_time_behind_a_host_that_cannot_read_it() {
    let (rig, _other) = rig_with_other_service().await;
    for (version, service) in [(9, "other"), (10, "posts"), (11, "other")] {
        let reader = reading_host(&rig).await;
        rig.store.stall(rig.callers(reader).ip(), "op");
        rig.store.configure(&configuration(version, 4.0, service));
        tokio::time::sleep(APPLY_TIMEOUT).await;
        for host in (0..HOSTS).filter(|&host| host != reader) {
            check_post_executed_by(&rig, host, service).await;
        }
        rig.store.end_stalls();
    }
}

/// Guards against an old configuration after all connections to the store have fallen silent: hosts that
/// read only now must not wait for answers on connections that they opened before.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_in_time_after_connections_fell_silent() {
    let (rig, _other) = rig_with_other_service().await;
    for (version, service) in [(9, "other"), (10, "posts"), (11, "other")] {
        rig.store.silence_connections();
        tokio::time::sleep(STABLE_TIME.saturating_sub(APPLY_TIMEOUT)).await;
        rig.store.configure(&configuration(version, 4.0, service));
        tokio::time::sleep(APPLY_TIMEOUT).await;
        for host in 0..HOSTS {
            check_post_executed_by(&rig, host, service).await;
        }
    }
}
