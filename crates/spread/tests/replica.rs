//! Replicas with reordered, repeated, lost and truncated transfers.

mod common;

use bytes::Bytes;
use common::{TableHistory, encode, host_ref, hot, move_slice, own_key, own_row};
use ids::{Revision, SliceNo};
use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use spread::{IncomingTransfer, Prefix, Replica};
use wire::control::Delta;
use wire::own;

const REPLICAS: usize = 4;
const UPSTREAMS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// A slice moves between two rows.
    Move { slice: u64, from: usize, to: usize },
    /// Another host becomes an upstream's coordinating host.
    Coordinate { upstream: usize, host: u64 },
    /// A row of the catalogue is written or deleted.
    Declare { key: u8, value: Option<u8> },
    /// An ownership row is deleted.
    Remove { upstream: usize },
    /// A replica reads the table.
    Read { replica: usize, prefix: Prefix },
    /// The result of a read arrives that was requested before the replica was restarted.
    StaleRead {
        replica: usize,
        prefix: Prefix,
        since: u64,
    },
    /// A replica applies only the rows of the last transaction.
    ApplyLast { replica: usize },
    /// A replica builds pages of a few rows for another: from the revision to which that one is
    /// complete, or from the end of what was sent before, whether or not that arrived.
    Send {
        from: usize,
        to: usize,
        prefix: Prefix,
        continues: bool,
        whole: bool,
        max_bytes: usize,
        pages: usize,
    },
    /// A page that was built arrives, possibly again.
    Deliver { nth: usize },
    /// A page is lost.
    Drop { nth: usize },
    /// A replica restarts empty.
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
            .prop_map(|(replica, prefix, since)| Step::StaleRead { replica, prefix, since }),
        2 => (0..REPLICAS).prop_map(|replica| Step::ApplyLast { replica }),
        6 => (0..REPLICAS, 0..REPLICAS, prefix(), any::<(bool, bool)>(), 1..400_usize, 1..5_usize).prop_map(
            |(from, to, prefix, (continues, whole), max_bytes, pages)| Step::Send {
                from,
                to,
                prefix,
                continues,
                whole,
                max_bytes,
                pages
            }
        ),
        10 => any::<usize>().prop_map(|nth| Step::Deliver { nth }),
        2 => any::<usize>().prop_map(|nth| Step::Drop { nth }),
        1 => (0..REPLICAS).prop_map(|replica| Step::Restart { replica }),
    ]
}

#[derive(Debug)]
struct World {
    table: TableHistory,
    own: Vec<own::OwnershipRow>,
    last_rows: Vec<platform::Row>,
    replicas: Vec<Replica>,
    /// Incoming transfer for each pair of replicas and prefix, as on one connection.
    incoming: Vec<IncomingTransfer>,
    /// Pages in transit: sender, receiver, page.
    pages: Vec<(usize, usize, Delta)>,
    transfers: u64,
    /// The revision to which each receiver is complete once all that was sent has arrived.
    sent: Vec<Revision>,
}

fn link(from: usize, to: usize, prefix: Prefix) -> usize {
    (from * REPLICAS + to) * 2 + prefix as usize
}

impl World {
    fn new() -> Self {
        Self {
            table: TableHistory::default(),
            own: (0..UPSTREAMS)
                .map(|n| own_row(n as u64, n as u64 * 10, 6))
                .collect(),
            last_rows: Vec::new(),
            replicas: vec![Replica::new(); REPLICAS],
            incoming: vec![IncomingTransfer::default(); REPLICAS * REPLICAS * 2],
            pages: Vec::new(),
            transfers: 0,
            sent: vec![Revision(0); REPLICAS * REPLICAS * 2],
        }
    }

    fn write(&mut self, keys: &[usize]) {
        let writes = keys
            .iter()
            .map(|&n| (own_key(n), Some(encode(&self.own[n]))));
        self.last_rows = self.table.commit(writes.collect());
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Move { slice, from, to } if from != to => {
                let mut source = self.own[from].clone();
                let mut target = self.own[to].clone();
                let generation = self.table.revision.0;
                let slice = if slice < 4 { hot(slice) } else { slice };
                move_slice(slice, generation, &mut source, &mut target);
                if slice > 100 {
                    source.carved = vec![own::CarvedKey {
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
                self.last_rows = self.table.commit(vec![(key, value)]);
            }
            Step::Remove { upstream } => {
                self.last_rows = self.table.commit(vec![(own_key(upstream), None)]);
            }
            Step::Read { replica, prefix } => {
                let replica = &mut self.replicas[replica];
                let since = replica.complete_up_to().get(prefix);
                let changes = self.table.changes(prefix, since);
                replica.apply_changes(prefix, since, changes.revision, &changes.rows);
            }
            Step::StaleRead {
                replica,
                prefix,
                since,
            } => {
                let since = Revision(since.min(self.table.revision.0));
                let changes = self.table.changes(prefix, since);
                self.replicas[replica].apply_changes(
                    prefix,
                    since,
                    changes.revision,
                    &changes.rows,
                );
            }
            Step::ApplyLast { replica } => {
                self.replicas[replica].apply_rows(&self.last_rows);
            }
            Step::Send {
                from,
                to,
                prefix,
                continues,
                whole,
                max_bytes,
                pages,
            } => {
                let since = self.since(from, to, prefix, continues);
                self.send_pages(from, to, prefix, since, whole, max_bytes, pages);
            }
            Step::Deliver { nth } if !self.pages.is_empty() => {
                let (from, to, page) = self.pages[nth % self.pages.len()].clone();
                self.deliver(from, to, &page);
            }
            Step::Drop { nth } if !self.pages.is_empty() => {
                self.pages.remove(nth % self.pages.len());
            }
            Step::Move { .. } | Step::Deliver { .. } | Step::Drop { .. } => {}
            Step::Restart { replica } => self.restart(replica),
        }
    }

    /// Restarts a replica, which loses its connections and all pages on them.
    fn restart(&mut self, replica: usize) {
        self.replicas[replica] = Replica::new();
        self.pages
            .retain(|(from, to, _)| *from != replica && *to != replica);
        for other in 0..REPLICAS {
            for prefix in Prefix::ALL {
                for link in [link(replica, other, prefix), link(other, replica, prefix)] {
                    self.incoming[link] = IncomingTransfer::default();
                    self.sent[link] = Revision(0);
                }
            }
        }
    }

    fn since(&self, from: usize, to: usize, prefix: Prefix, continues: bool) -> Revision {
        if continues {
            return self.sent[link(from, to, prefix)];
        }
        self.replicas[to].complete_up_to().get(prefix)
    }

    #[expect(clippy::too_many_arguments, reason = "one for each field of the step")]
    fn send_pages(
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
        let mut transfer = self.replicas[from].begin_transfer(self.transfers, prefix, since, whole);
        for _ in 0..pages {
            let page = self.replicas[from].build_page(&mut transfer, max_bytes);
            self.pages.push((from, to, page));
            self.sent[link(from, to, prefix)] = transfer.up_to();
            if transfer.is_done() {
                return;
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, page: &Delta) {
        let at = (from * REPLICAS + to) * 2 + page.prefix as usize - 1;
        self.replicas[to].apply_delta(&mut self.incoming[at], page);
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

/// Checks that no row of a replica fell to a lower revision.
fn check_ascending(before: &[(SmolStr, Revision)], replica: &Replica) -> Result<(), TestCaseError> {
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

    /// In any order of arrival, revisions only rise, a watermark never exceeds what is held, and
    /// nothing is held that never existed. One transfer afterwards brings each replica to the state
    /// of the table.
    #[test]
    fn watermarks_never_exceed_held_rows(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            let before = world.revisions();
            world.apply(step);
            for (n, replica) in world.replicas.iter().enumerate() {
                if !matches!(step, Step::Restart { replica } if *replica == n) {
                    check_ascending(&before[n], replica)?;
                }
                if let Err(fault) = world.table.check(replica) {
                    return Err(TestCaseError::fail(format!("replica {n} {fault}")));
                }
            }
        }
        converge(&mut world)?;
    }
}

fn converge(world: &mut World) -> Result<(), TestCaseError> {
    for prefix in Prefix::ALL {
        world.apply(&Step::Read { replica: 0, prefix });
        for to in 1..REPLICAS {
            for whole in [false, true] {
                world.pages.clear();
                let since = world.since(0, to, prefix, false);
                world.send_pages(0, to, prefix, since, whole, 64, usize::MAX);
                for (from, to, page) in world.pages.clone() {
                    world.deliver(from, to, &page);
                }
            }
        }
    }
    for (n, replica) in world.replicas.iter().enumerate() {
        prop_assert!(world.table.equals(replica), "replica {n} does not converge");
        let watermarks = replica.complete_up_to();
        prop_assert_eq!(
            watermarks.own.min(watermarks.catalogue),
            world.table.revision
        );
    }
    Ok(())
}

/// A moved slice is sent in tens of bytes instead of the whole row.
#[test]
fn moving_a_slice_sends_only_that_slice() {
    let mut table = TableHistory::default();
    let mut rows = [own_row(0, 0, 67), own_row(1, 67, 67)];
    table.commit(vec![
        (own_key(0), Some(encode(&rows[0]))),
        (own_key(1), Some(encode(&rows[1]))),
    ]);
    let mut source = Replica::new();
    let read = |source: &mut Replica, table: &TableHistory| {
        let since = source.complete_up_to().own;
        let changes = table.changes(Prefix::Own, since);
        source.apply_changes(Prefix::Own, since, changes.revision, &changes.rows);
    };
    read(&mut source, &table);
    let mut copy = source.clone();
    let [from, to] = &mut rows;
    move_slice(5, 2, from, to);
    table.commit(vec![
        (own_key(0), Some(encode(&rows[0]))),
        (own_key(1), Some(encode(&rows[1]))),
    ]);
    read(&mut source, &table);
    drop(copy.take_changed_rows());

    let mut transfer = source.begin_transfer(1, Prefix::Own, copy.complete_up_to().own, false);
    let delta = source.build_page(&mut transfer, 4_096);
    let bytes = prost::Message::encoded_len(&delta);
    assert!(bytes < 120, "{bytes} bytes: {delta:?}");
    assert!(
        copy.apply_delta(&mut IncomingTransfer::default(), &delta)
            .watermark_raised
    );
    assert!(table.equals(&copy));

    let changes = copy.take_changed_rows();
    let slices: Vec<_> = changes.iter().map(spread::RowChange::slice_diff).collect();
    assert_eq!(slices[0].removed, [SliceNo(5)]);
    assert_eq!(slices[1].added, [SliceNo(5)]);
}

/// A patch whose base the receiver doesn't hold is rejected, and whole rows bring the receiver up
/// to date.
#[test]
fn a_patch_that_does_not_fit_raises_no_watermark() {
    let mut table = TableHistory::default();
    let mut row = own_row(0, 0, 8);
    let mut source = Replica::new();
    let mut copies = Vec::new();
    for epoch in 1..4 {
        row.epoch = epoch;
        table.commit(vec![(own_key(0), Some(encode(&row)))]);
        let changes = table.changes(Prefix::Own, source.complete_up_to().own);
        let since = source.complete_up_to().own;
        source.apply_changes(Prefix::Own, since, changes.revision, &changes.rows);
        copies.push(source.clone());
    }
    let mut copy = copies[0].clone();
    let mut transfer = source.begin_transfer(1, Prefix::Own, Revision(2), false);
    let delta = source.build_page(&mut transfer, 4_096);
    let outcome = copy.apply_delta(&mut IncomingTransfer::default(), &delta);
    assert!(
        outcome.patch_rejected && !outcome.watermark_raised,
        "{outcome:?}"
    );
    assert_eq!(copy.complete_up_to().own, Revision(1));

    let mut transfer = source.begin_transfer(1, Prefix::Own, Revision(1), true);
    let delta = source.build_page(&mut transfer, 4_096);
    assert!(
        copy.apply_delta(&mut IncomingTransfer::default(), &delta)
            .watermark_raised
    );
    assert!(table.equals(&copy));
}
