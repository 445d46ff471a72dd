//! Epochs of the requests that start at an upstream which does not check grants.

use ids::{HostId, UpstreamId};

use crate::simulation::{Fault, MS, Setup, Simulation};

/// Maximum delay of most messages: some requests take longer than the time between two sends.
const DELAY_US: u64 = 40 * MS;

struct Case {
    name: &'static str,
    seed: u64,
}

/// Returns the standby of the only upstream.
fn standby(sim: &Simulation) -> HostId {
    let name = UpstreamId::new("u0").unwrap();
    let row = sim.row(&name).expect("the upstream has a row");
    let standby = row.deputy.as_ref().expect("the row names a standby");
    standby.host.clone()
}

fn falls_while_the_standby_leaves(seed: u64) -> Vec<String> {
    let mut sim = Simulation::new(Setup {
        seed,
        hosts: vec![3],
        upstreams: vec![(0, false)],
        delay_us: DELAY_US,
        ..Setup::default()
    });
    sim.run_until(2_000 * MS);
    let standby = standby(&sim);
    let index = sim.hosts.iter().position(|h| h.me.host == standby);
    sim.schedule_fault(
        sim.t,
        Fault::LeaveHost(index.expect("a host of the simulation")),
    );
    sim.run_until(sim.t + 1_000 * MS);
    assert_eq!(sim.violations, []);
    let name = UpstreamId::new("u0").unwrap();
    assert!(
        sim.row(&name).is_some_and(|r| r.epoch > ids::Epoch(1)),
        "the epoch was not raised"
    );
    std::mem::take(&mut sim.requests.epoch_falls)
}

/// Guards against a lower epoch after a higher one: the coordinating host raised the epoch to
/// replace its standby, and a request that it sent before started after one that it sent later.
#[test]
fn the_epoch_at_an_upstream_does_not_fall_while_one_host_sends() {
    let cases = [
        Case {
            name: "first seed",
            seed: 1,
        },
        Case {
            name: "second seed",
            seed: 2,
        },
        Case {
            name: "third seed",
            seed: 3,
        },
    ];
    for case in cases {
        let falls = falls_while_the_standby_leaves(case.seed);
        assert!(falls.is_empty(), "{}: {falls:?}", case.name);
    }
}

/// Lets the upstream report the standby's reserved epoch, as if the standby had acted and ended;
/// returns after how many milliseconds the coordinating host raises its own above it.
fn raised_after_ms(sim: &mut Simulation) -> u64 {
    let name = UpstreamId::new("u0").unwrap();
    let reserved = sim.row(&name).unwrap().reserved_epoch();
    sim.upstreams[0].epoch = reserved;
    let start = sim.t;
    while sim.row(&name).unwrap().epoch <= reserved {
        assert!(sim.t < start + 5_000 * MS, "the epoch was not raised");
        sim.run_until(sim.t + MS);
    }
    (sim.t - start) / MS
}

/// Guards against a coordinating host that outbids a standby without having waited for it, because
/// it counts from an epoch that another standby left behind long ago.
#[test]
fn each_higher_epoch_is_waited_for() {
    let mut sim = Simulation::new(Setup {
        hosts: vec![3],
        upstreams: vec![(0, true)],
        ..Setup::default()
    });
    let bound = sim.setup.settings.heartbeat_timeout.as_millis() as u64;
    for time in ["first", "second", "third"] {
        sim.run_until(sim.t + 3_000 * MS);
        let waited = raised_after_ms(&mut sim);
        assert!(waited >= bound, "{time} time: raised after {waited} ms");
    }
}
