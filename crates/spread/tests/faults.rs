//! Arbitrary faults among hosts: invariants that always hold, and convergence afterwards.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use common::net::{SimHost, SimNet, domain};
use common::{encode, move_slice, own_key, own_row};
use ids::{HostId, Incarnation, Revision, Timestamp};
use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use spread::{Event, MembershipSettings, Prefix, Replica};

const SIZES: [usize; 3] = [4, 2, 2];
const HOSTS: usize = 8;
const UPSTREAMS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    TableDown,
    NoTable(usize),
    Heal,
    EmptyList,
    FullList,
    /// A slice moves; the host that committed it may get the rows immediately.
    Move {
        slice: u64,
        from: usize,
        to: usize,
        committer: Option<usize>,
    },
    Declare(u8),
    Leave(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..HOSTS).prop_map(Step::Kill),
        3 => (0..HOSTS).prop_map(Step::Start),
        2 => (0..HOSTS, 100..2_500_u64).prop_map(|(n, ms)| Step::Pause(n, ms)),
        1 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::TableDown),
        1 => (0..3_usize).prop_map(Step::NoTable),
        2 => Just(Step::Heal),
        1 => Just(Step::EmptyList),
        1 => Just(Step::FullList),
        6 => (0..8_u64, 0..UPSTREAMS, 0..UPSTREAMS, prop::option::of(0..HOSTS))
            .prop_map(|(slice, from, to, committer)| Step::Move { slice, from, to, committer }),
        2 => any::<u8>().prop_map(Step::Declare),
        1 => (0..HOSTS).prop_map(Step::Leave),
        6 => (1..900_u64).prop_map(Step::Wait),
    ]
}

/// Revisions held by each incarnation of a host.
type HeldRevisions = BTreeMap<(HostId, Incarnation), Vec<(Prefix, SmolStr, Revision)>>;

struct World {
    net: SimNet,
    rows: Vec<wire::own::OwnershipRow>,
    held: HeldRevisions,
}

impl World {
    fn new() -> Self {
        let rows: Vec<_> = (0..UPSTREAMS)
            .map(|n| own_row(n as u64, n as u64 * 10, 4))
            .collect();
        let mut net = SimNet::with_domains(MembershipSettings::default(), &SIZES);
        for (n, row) in rows.iter().enumerate() {
            net.commit(vec![(own_key(n), Some(encode(row)))]);
        }
        Self {
            net,
            rows,
            held: HeldRevisions::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let net = &mut self.net;
        match *step {
            Step::Kill(n) => net.kill(n),
            Step::Start(n) => net.start(n),
            Step::Pause(n, ms) => net.pause(n, Duration::from_millis(ms)),
            Step::Cut(a, b) if a != b => net.cut(a, b),
            Step::Cut(..) => {}
            Step::TableDown => net.table_up = false,
            Step::NoTable(d) => {
                net.domains_without_table.insert(domain(d));
            }
            Step::Heal => net.heal(),
            Step::EmptyList => net.set_list_empty(true),
            Step::FullList => net.set_list_empty(false),
            Step::Move {
                slice,
                from,
                to,
                committer,
            } => self.move_slice(slice, from, to, committer),
            Step::Declare(value) => {
                let key = format_smolstr!("catalogue/entry/{}", value % 3);
                let value = (value > 20).then(|| Bytes::from(vec![value; 30]));
                net.commit(vec![(key, value)]);
            }
            Step::Leave(n) => {
                if net.sim_host(n).up {
                    net.deliver(n, Event::Leaving);
                }
            }
            Step::Wait(ms) => net.advance(Duration::from_millis(ms)),
        }
    }

    fn move_slice(&mut self, slice: u64, from: usize, to: usize, committer: Option<usize>) {
        if from == to || !self.net.table_up {
            return;
        }
        let mut source = self.rows[from].clone();
        let mut target = self.rows[to].clone();
        move_slice(slice, self.net.table.revision.0, &mut source, &mut target);
        let rows = self.net.commit(vec![
            (own_key(from), Some(encode(&source))),
            (own_key(to), Some(encode(&target))),
        ]);
        self.rows[from] = source;
        self.rows[to] = target;
        if let Some(n) = committer.filter(|n| self.net.sim_host(*n).up) {
            self.net.deliver(n, Event::RowsCommitted(rows));
        }
    }

    /// Checks each host against the history of the table and against its own earlier state.
    fn check(&mut self) -> Result<(), String> {
        if let Some(fault) = self.net.violations.first() {
            return Err(fault.clone());
        }
        for (name, sim_host) in self.net.live() {
            let replica = sim_host.membership.replica();
            self.net
                .table
                .check(replica)
                .map_err(|e| format!("{name} {e}"))?;
            let process = (name.clone(), sim_host.membership.identity().incarnation);
            let held = self.held.entry(process).or_default();
            for (prefix, key, revision) in held.iter() {
                let now = replica.get(*prefix, key).map(|(at, _)| at);
                if now < Some(*revision) {
                    return Err(format!("{name}: {key} fell from {revision} to {now:?}"));
                }
            }
            *held = revisions(replica);
        }
        Ok(())
    }
}

/// Returns whether a host holds all rows, has a fresh read lease and sees all others alive.
fn has_recovered(net: &SimNet, sim_host: &SimHost, healed: Timestamp) -> bool {
    net.table.equals(sim_host.membership.replica())
        && sim_host.read_lease.is_some_and(|(_, as_of)| as_of > healed)
        && sim_host.membership.hosts().filter(|h| h.alive).count() == HOSTS - 1
}

fn revisions(replica: &Replica) -> Vec<(Prefix, SmolStr, Revision)> {
    let of = |prefix| {
        let rows = replica.iter(prefix);
        rows.map(move |(key, at, _)| (prefix, SmolStr::new(key), at))
    };
    Prefix::ALL.into_iter().flat_map(of).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 24, ..ProptestConfig::default() })]

    /// Under any faults, revisions on each host only rise, no watermark exceeds what is held, and
    /// no read lease is newer than the rows held. When the faults end, all hosts hold the same
    /// rows, have fresh read leases and see each other alive.
    #[test]
    fn faults_never_break_what_hosts_claim(steps in prop::collection::vec(step(), 1..40)) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
            world.net.advance(Duration::from_millis(20));
            world.check().map_err(TestCaseError::fail)?;
        }
        world.net.set_list_empty(false);
        world.net.heal();
        for n in 0..HOSTS {
            if !world.net.sim_host(n).up || world.net.sim_host(n).is_leaving() {
                world.net.start(n);
            }
        }
        let healed = world.net.now;
        world.net.wait_up_to(Duration::from_secs(12), |net| {
            net.live().all(|(_, sim_host)| has_recovered(net, sim_host, healed))
        });
        world.check().map_err(TestCaseError::fail)?;
        for (name, sim_host) in world.net.live() {
            prop_assert!(world.net.table.equals(sim_host.membership.replica()), "{name} does not converge");
            prop_assert!(sim_host.read_lease.is_some_and(|(_, as_of)| as_of > healed), "{name}: stale read lease");
            let alive = sim_host.membership.hosts().filter(|h| h.alive).count();
            prop_assert_eq!(alive, HOSTS - 1, "{} sees {:?}", name, sim_host.membership.hosts().filter(|h| !h.alive).collect::<Vec<_>>());
        }

    }
}
