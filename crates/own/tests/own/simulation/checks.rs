//! Checks snapshots and the history of a simulation.

use ids::{RequestId, UpstreamId};
use own::verify::{EntryState, LeaseState, SentRequest, UpstreamState};
use own::{OwnershipRow, OwnershipRowChange, Snapshot, verify};

use super::{SLICES, Simulation, entry_id};

impl Simulation {
    /// Decodes the current rows of the table, and checks that no epoch has decreased.
    pub fn decode_rows(&mut self) {
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
                let failure = format!("{}: the recorded epoch decreased", u.name);
                self.failures.push((self.t, failure));
            }
        }
    }

    pub fn row(&self, upstream: &UpstreamId) -> Option<&OwnershipRow> {
        self.rows.get(upstream)
    }

    pub fn snapshot(&self) -> Snapshot {
        let upstreams = self.upstreams.iter().map(|u| {
            let granted = u.granted(u.clock.reading(self.t)).filter(|_| !u.stopped);
            UpstreamState {
                upstream: u.name.clone(),
                entry: entry_id(),
                checks_grants: u.checks_grants,
                row: self.row(&u.name).cloned(),
                granted: granted.map(|(epoch, _)| epoch),
                slices: granted.map(|(_, s)| s.to_vec()).unwrap_or_default(),
            }
        });
        let idempotent = self.setup.class == catalogue::Class::Idempotent;
        let sent = self.requests.may_start.values();
        let sent = sent.filter(|s| {
            let u = &self.upstreams[s.upstream];
            !u.checks_grants && !u.stopped && u.incarnation == s.upstream_incarnation
        });
        let entry_row = self.table.row(&own::EntryRow::key(&entry_id()));
        Snapshot {
            entries: vec![EntryState {
                entry: entry_id(),
                slices: SLICES,
                assigned: entry_row.is_some(),
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
            let valid = h.dispatcher.leases.values().filter(|l| now < l.valid_until);
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

    /// Checks a snapshot of the whole simulation.
    pub fn verify_snapshot(&mut self) {
        let found = verify(&self.snapshot());
        let t = self.t;
        self.violations.extend(found.into_iter().map(|v| (t, v)));
    }

    /// Checks that no request ran twice, and that none ran that was reported as not run. Snapshots
    /// do not show this.
    pub fn check_history(&mut self) {
        let t = self.t;
        let ran_twice = self.requests.ran.iter().filter(|(_, n)| **n > 1);
        let ran_twice = ran_twice.map(|(id, _)| (t, format!("request {id} ran twice")));
        let ran_despite_report = self.requests.not_run.iter();
        let ran_despite_report =
            ran_despite_report.filter(|id| self.requests.ran.contains_key(*id));
        let ran_despite_report = ran_despite_report
            .map(|id| (t, format!("request {id} ran but was reported as not run")));
        let failures = ran_twice.chain(ran_despite_report).collect::<Vec<_>>();
        self.failures.extend(failures);
    }
}
