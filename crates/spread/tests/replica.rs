//! Replicas under reordered, repeated, lost and cut-off spreading.

mod common;

use bytes::Bytes;
use common::{Past, encode, host_ref, hot, move_slice, own_key, own_row};
use ids::{Revision, SliceNo};
use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use spread::{Intake, Prefix, Replica};
use wire::control::Delta;
use wire::own;

const REPLICAS: usize = 4;
const UPSTREAMS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// One slice moves between two rows.
    Move { slice: u64, from: usize, to: usize },
    /// Another host coordinates an upstream.
    Coordinate { upstream: usize, host: u64 },
    /// A row of the catalogue is written or deleted.
    Declare { key: u8, value: Option<u8> },
    /// An ownership row is deleted.
    Remove { upstream: usize },
    /// A replica reads the table.
    Read { replica: usize, prefix: Prefix },
    /// A read that was asked for by an earlier run of the replica comes in.
    ReadOf {
        replica: usize,
        prefix: Prefix,
        since: u64,
    },
    /// A replica learns the rows of the last transaction alone.
    Tell { replica: usize },
    /// A replica gives pages of a few rows to another: from what that one holds,
    /// or goes on from what it sent before, whether or not that arrived.
    Offer {
        from: usize,
        to: usize,
        prefix: Prefix,
        goes_on: bool,
        whole: bool,
        max_bytes: usize,
        pages: usize,
    },
    /// A page that was given out arrives, maybe not for the first time.
    Arrive { nth: usize },
    /// A page is lost.
    Lose { nth: usize },
    /// A replica starts anew.
    Restart { replica: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let prefix = || prop::sample::select(Prefix::ALL.to_vec());
    prop_oneof![
        4 => (0..8_u64, 0..UPSTREAMS, 0..UPSTREAMS)
            .prop_map(|(slice, from, to)| Step::Move { slice, from, to }),
        1 => (0..UPSTREAMS, 0..5_u64)
            .prop_map(|(upstream, host)| Step::Coordinate { upstream, host }),
        2 => (0..4_u8, any::<Option<u8>>()).prop_map(|(key, value)| Step::Declare { key, value }),
        1 => (0..UPSTREAMS).prop_map(|upstream| Step::Remove { upstream }),
        4 => (0..REPLICAS, prefix()).prop_map(|(replica, prefix)| Step::Read { replica, prefix }),
        1 => (0..REPLICAS, prefix(), 0..40_u64)
            .prop_map(|(replica, prefix, since)| Step::ReadOf { replica, prefix, since }),
        2 => (0..REPLICAS).prop_map(|replica| Step::Tell { replica }),
        6 => (0..REPLICAS, 0..REPLICAS, prefix(), any::<(bool, bool)>(), 1..400_usize, 1..5_usize).prop_map(
            |(from, to, prefix, (goes_on, whole), max_bytes, pages)| Step::Offer {
                from,
                to,
                prefix,
                goes_on,
                whole,
                max_bytes,
                pages
            }
        ),
        10 => any::<usize>().prop_map(|nth| Step::Arrive { nth }),
        2 => any::<usize>().prop_map(|nth| Step::Lose { nth }),
        1 => (0..REPLICAS).prop_map(|replica| Step::Restart { replica }),
    ]
}

#[derive(Debug)]
struct World {
    past: Past,
    own: Vec<own::Row>,
    last: Vec<platform::Row>,
    replicas: Vec<Replica>,
    /// Intake of each pair of replicas and prefix, as one connection has.
    intakes: Vec<Intake>,
    /// Pages under way: sender, receiver, page.
    pages: Vec<(usize, usize, Delta)>,
    transfers: u64,
    /// To what each receiver is complete if all that was sent arrived.
    sent: Vec<Revision>,
}

fn link(from: usize, to: usize, prefix: Prefix) -> usize {
    (from * REPLICAS + to) * 2 + prefix as usize
}

impl World {
    fn new() -> Self {
        Self {
            past: Past::default(),
            own: (0..UPSTREAMS)
                .map(|n| own_row(n as u64, n as u64 * 10, 6))
                .collect(),
            last: Vec::new(),
            replicas: vec![Replica::new(); REPLICAS],
            intakes: vec![Intake::default(); REPLICAS * REPLICAS * 2],
            pages: Vec::new(),
            transfers: 0,
            sent: vec![Revision(0); REPLICAS * REPLICAS * 2],
        }
    }

    fn write(&mut self, keys: &[usize]) {
        let writes = keys
            .iter()
            .map(|&n| (own_key(n), Some(encode(&self.own[n]))));
        self.last = self.past.commit(writes.collect());
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Move { slice, from, to } if from != to => {
                let mut source = self.own[from].clone();
                let mut target = self.own[to].clone();
                let generation = self.past.revision.0;
                let slice = if slice < 4 { hot(slice) } else { slice };
                move_slice(slice, generation, &mut source, &mut target);
                if slice > 100 {
                    source.carved = vec![own::Carved {
                        hot: slice,
                        base: 1,
                    }];
                }
                self.own[from] = source;
                self.own[to] = target;
                self.write(&[from, to]);
            }
            Step::Coordinate { upstream, host } => {
                let row = &mut self.own[upstream];
                row.epoch += 1;
                row.coordinator = Some(host_ref(host));
                "host-0099".clone_into(&mut row.writer);
                self.write(&[upstream]);
            }
            Step::Declare { key, value } => {
                let key = format_smolstr!("catalogue/entry/{key}");
                let value = value.map(|v| Bytes::from(vec![v; 40]));
                self.last = self.past.commit(vec![(key, value)]);
            }
            Step::Remove { upstream } => {
                self.last = self.past.commit(vec![(own_key(upstream), None)]);
            }
            Step::Read { replica, prefix } => {
                let replica = &mut self.replicas[replica];
                let since = replica.complete_up_to().get(prefix);
                let changes = self.past.changes(prefix, since);
                replica.take_changes(prefix, since, changes.revision, &changes.rows);
            }
            Step::ReadOf {
                replica,
                prefix,
                since,
            } => {
                let since = Revision(since.min(self.past.revision.0));
                let changes = self.past.changes(prefix, since);
                self.replicas[replica].take_changes(prefix, since, changes.revision, &changes.rows);
            }
            Step::Tell { replica } => {
                self.replicas[replica].take_rows(&self.last);
            }
            Step::Offer {
                from,
                to,
                prefix,
                goes_on,
                whole,
                max_bytes,
                pages,
            } => {
                let since = self.since(from, to, prefix, goes_on);
                self.offer(from, to, prefix, since, whole, max_bytes, pages);
            }
            Step::Arrive { nth } if !self.pages.is_empty() => {
                let (from, to, page) = self.pages[nth % self.pages.len()].clone();
                self.arrive(from, to, &page);
            }
            Step::Lose { nth } if !self.pages.is_empty() => {
                self.pages.remove(nth % self.pages.len());
            }
            Step::Move { .. } | Step::Arrive { .. } | Step::Lose { .. } => {}
            Step::Restart { replica } => self.restart(replica),
        }
    }

    /// A replica that starts anew has lost its connections and all pages on them.
    fn restart(&mut self, replica: usize) {
        self.replicas[replica] = Replica::new();
        self.pages
            .retain(|(from, to, _)| *from != replica && *to != replica);
        for other in 0..REPLICAS {
            for prefix in Prefix::ALL {
                for link in [link(replica, other, prefix), link(other, replica, prefix)] {
                    self.intakes[link] = Intake::default();
                    self.sent[link] = Revision(0);
                }
            }
        }
    }

    fn since(&self, from: usize, to: usize, prefix: Prefix, goes_on: bool) -> Revision {
        if goes_on {
            return self.sent[link(from, to, prefix)];
        }
        self.replicas[to].complete_up_to().get(prefix)
    }

    #[expect(clippy::too_many_arguments, reason = "one for each field of the step")]
    fn offer(
        &mut self,
        from: usize,
        to: usize,
        prefix: Prefix,
        since: Revision,
        whole: bool,
        max_bytes: usize,
        pages: usize,
    ) {
        self.transfers += 1;
        let mut transfer = self.replicas[from].pager(self.transfers, prefix, since, whole);
        for _ in 0..pages {
            let page = self.replicas[from].page(&mut transfer, max_bytes);
            self.pages.push((from, to, page));
            self.sent[link(from, to, prefix)] = transfer.up_to();
            if transfer.is_done() {
                return;
            }
        }
    }

    fn arrive(&mut self, from: usize, to: usize, page: &Delta) {
        let at = (from * REPLICAS + to) * 2 + page.prefix as usize - 1;
        self.replicas[to].take_delta(&mut self.intakes[at], page);
    }

    fn revisions(&self) -> Vec<Vec<(SmolStr, Revision)>> {
        let of = |replica: &Replica| {
            let rows = |prefix: Prefix| {
                let row = |(key, at, _): (&str, Revision, _)| (SmolStr::new(key), at);
                replica.iter(prefix).map(row).collect::<Vec<_>>()
            };
            Prefix::ALL.into_iter().flat_map(rows).collect()
        };
        self.replicas.iter().map(of).collect()
    }
}

/// Checks that no row of a replica went to a lower revision.
fn check_rising(before: &[(SmolStr, Revision)], replica: &Replica) -> Result<(), TestCaseError> {
    for (key, revision) in before {
        let held = Prefix::ALL.into_iter().find_map(|p| replica.get(p, key));
        let held = held.map(|(at, _)| at);
        prop_assert!(
            held >= Some(*revision),
            "{key} fell from {revision} to {held:?}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 400, ..ProptestConfig::default() })]

    /// Whatever comes in whatever order: versions rise, a watermark never claims more than is
    /// held, nothing is held that never was; and one transfer afterwards brings each replica to
    /// the table's state.
    #[test]
    fn replicas_never_claim_what_they_lack(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            let before = world.revisions();
            world.run(step);
            for (n, replica) in world.replicas.iter().enumerate() {
                if !matches!(step, Step::Restart { replica } if *replica == n) {
                    check_rising(&before[n], replica)?;
                }
                if let Err(fault) = world.past.check(replica) {
                    return Err(TestCaseError::fail(format!("replica {n} {fault}")));
                }
            }
        }
        converge(&mut world)?;
    }
}

fn converge(world: &mut World) -> Result<(), TestCaseError> {
    for prefix in Prefix::ALL {
        world.run(&Step::Read { replica: 0, prefix });
        for to in 1..REPLICAS {
            for whole in [false, true] {
                world.pages.clear();
                let since = world.since(0, to, prefix, false);
                world.offer(0, to, prefix, since, whole, 64, usize::MAX);
                for (from, to, page) in world.pages.clone() {
                    world.arrive(from, to, &page);
                }
            }
        }
    }
    for (n, replica) in world.replicas.iter().enumerate() {
        prop_assert!(world.past.equals(replica), "replica {n} does not converge");
        let marks = replica.complete_up_to();
        prop_assert_eq!(marks.own.min(marks.catalogue), world.past.revision);
    }
    Ok(())
}

/// One slice that moves costs tens of bytes, not the row.
#[test]
fn a_move_spreads_as_the_slice() {
    let mut past = Past::default();
    let mut rows = [own_row(0, 0, 67), own_row(1, 67, 67)];
    past.commit(vec![
        (own_key(0), Some(encode(&rows[0]))),
        (own_key(1), Some(encode(&rows[1]))),
    ]);
    let mut source = Replica::new();
    let read = |source: &mut Replica, past: &Past| {
        let since = source.complete_up_to().own;
        let changes = past.changes(Prefix::Own, since);
        source.take_changes(Prefix::Own, since, changes.revision, &changes.rows);
    };
    read(&mut source, &past);
    let mut copy = source.clone();
    let [from, to] = &mut rows;
    move_slice(5, 2, from, to);
    past.commit(vec![
        (own_key(0), Some(encode(&rows[0]))),
        (own_key(1), Some(encode(&rows[1]))),
    ]);
    read(&mut source, &past);
    drop(copy.take_log());

    let mut pager = source.pager(1, Prefix::Own, copy.complete_up_to().own, false);
    let delta = source.page(&mut pager, 4_096);
    let bytes = prost::Message::encoded_len(&delta);
    assert!(bytes < 120, "{bytes} bytes: {delta:?}");
    assert!(copy.take_delta(&mut Intake::default(), &delta).raised);
    assert!(past.equals(&copy));

    let log = copy.take_log();
    let slices: Vec<_> = log.iter().map(spread::RowChange::slices).collect();
    assert_eq!(slices[0].gone, [SliceNo(5)]);
    assert_eq!(slices[1].came, [SliceNo(5)]);
}

/// A patch whose base the receiver doesn't hold is refused, and whole rows mend it.
#[test]
fn a_patch_that_does_not_fit_claims_nothing() {
    let mut past = Past::default();
    let mut row = own_row(0, 0, 8);
    let mut source = Replica::new();
    let mut copies = Vec::new();
    for epoch in 1..4 {
        row.epoch = epoch;
        past.commit(vec![(own_key(0), Some(encode(&row)))]);
        let changes = past.changes(Prefix::Own, source.complete_up_to().own);
        let since = source.complete_up_to().own;
        source.take_changes(Prefix::Own, since, changes.revision, &changes.rows);
        copies.push(source.clone());
    }
    let mut copy = copies[0].clone();
    let mut pager = source.pager(1, Prefix::Own, Revision(2), false);
    let delta = source.page(&mut pager, 4_096);
    let taken = copy.take_delta(&mut Intake::default(), &delta);
    assert!(taken.misfit && !taken.raised, "{taken:?}");
    assert_eq!(copy.complete_up_to().own, Revision(1));

    let mut pager = source.pager(1, Prefix::Own, Revision(1), true);
    let delta = source.page(&mut pager, 4_096);
    assert!(copy.take_delta(&mut Intake::default(), &delta).raised);
    assert!(past.equals(&copy));
}
