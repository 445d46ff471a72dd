//! Takes snapshots of the world and checks them.

use ids::{RequestId, UpstreamId};
use own::verify::{EntryState, LeaseState, SentRequest, UpstreamState};
use own::{OwnershipRow, OwnershipRowChange, Snapshot, verify};

use super::{SLICES, World, entry_id};

impl World {
    /// Decodes the rows of the table again.
    pub fn read_rows(&mut self) {
        for u in &self.upstreams {
            let Some(row) = self.table.row(&OwnershipRow::key(&u.name)) else {
                continue;
            };
            let Ok(OwnershipRowChange::Upstream(_, _, Some(row))) = OwnershipRowChange::parse(row)
            else {
                panic!("{row:?} in place of an upstream's row");
            };
            let before = self.rows.insert(u.name.clone(), OwnershipRow::clone(&row));
            if before.is_some_and(|b| b.epoch > row.epoch) {
                let fell = format!("{}: the recorded epoch fell", u.name);
                self.broken.push((self.t, fell));
            }
        }
    }

    pub fn row(&self, upstream: &UpstreamId) -> Option<&OwnershipRow> {
        self.rows.get(upstream)
    }

    pub fn snapshot(&self) -> Snapshot {
        let upstreams = self.upstreams.iter().map(|u| {
            let granted = u.granted(u.clock.at(self.t)).filter(|_| !u.gone);
            UpstreamState {
                upstream: u.name.clone(),
                entry: entry_id(),
                checks_grants: u.checks,
                row: self.row(&u.name).cloned(),
                granted: granted.map(|(epoch, _)| epoch),
                slices: granted.map(|(_, s)| s.to_vec()).unwrap_or_default(),
            }
        });
        let idempotent = self.setup.class == catalogue::Class::Idempotent;
        let sent = self.requests.may_start.values();
        let sent = sent.filter(|s| {
            let u = &self.upstreams[s.upstream];
            !u.checks && !u.gone && u.boot == s.boot
        });
        let handed = self.table.row(&own::EntryRow::key(&entry_id()));
        Snapshot {
            entries: vec![EntryState {
                entry: entry_id(),
                slices: SLICES,
                assigned: handed.is_some(),
            }],
            upstreams: upstreams.collect(),
            leases: self.leases(),
            sent: sent
                .map(|s| SentRequest {
                    request: RequestId::new(format!("q{}", s.id)).unwrap(),
                    upstream: self.upstreams[s.upstream].name.clone(),
                    slice: s.slice,
                    idempotent,
                })
                .collect(),
        }
    }

    fn leases(&self) -> Vec<LeaseState> {
        let mut all = Vec::new();
        for h in self.hosts.iter().filter(|h| h.machine.is_some()) {
            let now = h.now(self.t);
            let valid = h.dispatch.leases.values().filter(|l| now < l.valid_until);
            all.extend(valid.map(|l| LeaseState {
                host: h.me.clone(),
                upstream: l.upstream.clone(),
                epoch: l.epoch,
                slices: l.slices.to_vec(),
                carved: l.carved.to_vec(),
            }));
        }
        all
    }

    /// Checks the whole world.
    pub fn audit(&mut self) {
        let found = verify(&self.snapshot());
        let t = self.t;
        self.violations.extend(found.into_iter().map(|v| (t, v)));
    }

    /// Checks what only the whole history shows.
    pub fn check_history(&mut self) {
        let t = self.t;
        let twice = self.requests.ran.iter().filter(|(_, n)| **n > 1);
        let twice = twice.map(|(id, _)| (t, format!("request {id} ran twice")));
        let untrue = self.requests.not_run.iter();
        let untrue = untrue.filter(|id| self.requests.ran.contains_key(*id));
        let untrue = untrue.map(|id| (t, format!("request {id} ran, but was said not to")));
        let broken = twice.chain(untrue).collect::<Vec<_>>();
        self.broken.extend(broken);
    }
}
