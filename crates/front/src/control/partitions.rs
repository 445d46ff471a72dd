//! The partitions of sharded entries in the state of the control thread.

use std::collections::HashMap;
use std::sync::Arc;

use assign::{
    AssignSettings, KeyLoads, MovingRanges, Partition, PartitionId, PartitionLeaseManager,
    PartitionOwners, PartitionRow, Planner, TakeoverMonitor, TakeoverSettings, UnservedKeys,
};
use ids::{EntryId, Revision, StoreEra, Timestamp, UpstreamId};
use slog::info;

use crate::control::state::ControlState;
use crate::control::tables::PartitionKey;

/// State of one partition of a sharded entry.
#[derive(Debug)]
pub struct PartitionState {
    /// The partition. The number of partitions becomes known with the row of the first one.
    pub partition: Partition,
    /// When this host learnt of the partition.
    pub known_since: Timestamp,
    /// Grants its keys.
    pub lease_manager: PartitionLeaseManager,
    /// Decides when this host takes over as the granting host.
    pub takeover_monitor: TakeoverMonitor,
    /// Keys that no upstream serves at present.
    pub unserved: UnservedKeys,
    /// Request rates of its keys.
    pub loads: KeyLoads,
    /// Mean service times of its upstreams, in seconds.
    pub service_times: HashMap<UpstreamId, f64>,
    /// Upstreams whose grant calls fail, and the number of failed calls.
    pub failing_calls: HashMap<UpstreamId, u32>,
    /// The owners as last published; none if they have changed since.
    owners: Option<Arc<PartitionOwners>>,
}

impl PartitionState {
    /// Updates what follows from the lease manager's row, which may have changed.
    pub fn row_changed(&mut self, now: Timestamp) {
        if let (Some(row), Some(revision)) =
            (self.lease_manager.row(), self.lease_manager.revision())
        {
            self.unserved.record_row(now, row, revision);
            self.owners = None;
        }
    }

    /// Applies the granting host's report of ranges that no upstream serves; returns whether it
    /// changes anything.
    pub fn apply_moving(&mut self, now: Timestamp, moving: &MovingRanges) -> bool {
        let has_changed = self.unserved.apply(now, moving);
        if has_changed {
            self.owners = None;
        }
        has_changed
    }

    /// Returns the owners of the partition's keys, if its row is known.
    pub(super) fn owners(&mut self) -> Option<Arc<PartitionOwners>> {
        if self.owners.is_none() {
            let owners = PartitionOwners::new(self.lease_manager.row()?, &self.unserved);
            self.owners = Some(Arc::new(owners));
        }
        self.owners.clone()
    }
}

impl ControlState {
    /// Adds a partition of an entry's keys, unless it is known.
    pub(super) fn add_partition(&mut self, now: Timestamp, entry: &EntryId, partition: Partition) {
        let id = PartitionId {
            entry: entry.clone(),
            index: partition.index,
        };
        if let Some(known) = self.partitions.get_mut(&id) {
            known.partition.count = known.partition.count.max(partition.count);
            return;
        }
        let cfg = AssignSettings::default();
        let mut state = PartitionState {
            partition,
            known_since: now,
            owners: None,
            lease_manager: PartitionLeaseManager::new(
                self.this_host.clone(),
                cfg,
                Planner::default(),
            ),
            takeover_monitor: TakeoverMonitor::new(TakeoverSettings::default()),
            unserved: UnservedKeys::default(),
            loads: KeyLoads::new(now),
            service_times: HashMap::new(),
            failing_calls: HashMap::new(),
        };
        if let Some(since) = self.known_era.since {
            let era = &self.known_era;
            state
                .lease_manager
                .begin_era(since, era.era, era.may_follow_another);
        }
        self.partitions.insert(id, state);
    }

    /// Returns whether this host is the granting host of some partition.
    #[must_use]
    pub fn grants(&self) -> bool {
        self.partitions
            .values()
            .any(|d| d.lease_manager.is_granter())
    }

    /// Returns the keys of the rows that name this host as the granting host.
    #[must_use]
    pub fn granted_rows(&self) -> Vec<PartitionKey> {
        let granted = self
            .partitions
            .iter()
            .filter(|(_, d)| d.lease_manager.is_granter());
        let key = |(id, d): (&PartitionId, &PartitionState)| PartitionKey {
            partition: id.clone(),
            era: d.lease_manager.revision().unwrap_or_default().era(),
        };
        granted.map(key).collect()
    }

    /// Records a read of the row of `partition` that began at `began`, when the store was in `era`.
    pub fn record_row_read(&mut self, partition: &PartitionId, began: Timestamp, era: StoreEra) {
        if let Some(state) = self.partitions.get_mut(partition) {
            state.lease_manager.record_read(began, era);
        }
    }

    /// Returns whether the end of this host would leave keys without a granting host: no other host
    /// can take over yet.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.grants() && !self.has_stopped
    }

    /// Records a read of the shared table that began at `began` and brought everything up to then;
    /// the store was in `era`.
    pub fn record_shared_read(&mut self, began: Timestamp, era: StoreEra) {
        self.shared_read_at = self.shared_read_at.max(began);
        for state in self.partitions.values_mut() {
            state.lease_manager.record_read(began, era);
        }
    }

    /// Applies the row of a partition. The change is not published yet.
    pub fn apply_row(
        &mut self,
        now: Timestamp,
        id: &PartitionId,
        row: PartitionRow,
        revision: Revision,
    ) {
        for partition in row.partition.all() {
            self.add_partition(now, &id.entry, partition);
        }
        let Some(state) = self.partitions.get_mut(id) else {
            return;
        };
        let granter = row.granter.clone();
        let has_changed = state.lease_manager.apply_row(now, row, revision);
        state.row_changed(now);
        if has_changed && state.takeover_monitor.set_granter(now, &granter) {
            info!(self.log, "keys are granted by"; "part" => %id,
                "granter" => granter.host.as_str(), "incarnation" => granter.incarnation.0);
        }
    }
}
