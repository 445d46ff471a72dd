//! The store's era: how often the store has returned from an older copy of itself.
//!
//! What was written since the copy was made is gone, and operators and upstreams write it again. Until
//! they have, what the copy lacks does not count as removed.

use std::time::Duration;

use gate::counters::Count;
use ids::{DomainId, Revision, StoreEra, Timestamp};
use indexmap::IndexMap;
use slog::info;

use crate::control::hosts::LISTED_BEFORE_TAKEOVER;
use crate::control::registry::RETURN_TIME;
use crate::control::state::ControlState;
use crate::control::tables::Table;

/// Time within which hosts that start together are listed and known to each other.
const FIRST_LISTED_TIME: Duration = Duration::from_secs(10);

/// What this host knows of the store's era.
#[derive(Debug, Default)]
pub struct KnownEra {
    /// The era; zero before the first read.
    pub era: StoreEra,
    /// When this host learned of it; none before the first read.
    pub since: Option<Timestamp>,
    /// Whether hosts may have granted keys in an earlier era.
    pub(super) may_follow_another: bool,
    /// Whether this host has known an earlier era.
    has_followed: bool,
    /// Whether this host knows all hosts that may have granted keys in the era before.
    knows_hosts: bool,
    /// Orders about failure domains in the copy that differ from those known before.
    postponed_drains: IndexMap<DomainId, PostponedDrain>,
}

/// Whether the store's copy drains a failure domain, if that differs from what was known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PostponedDrain {
    is_drained: bool,
    /// Revision of the copy.
    revision: Revision,
}

impl KnownEra {
    /// Returns whether operators and upstreams may not have written again what the store has lost.
    fn may_lack_rows(&self, now: Timestamp) -> bool {
        let is_recent = self.since.is_some_and(|at| now < at + RETURN_TIME);
        self.has_followed && is_recent
    }
}

impl ControlState {
    /// Records that rows that this host read, or that another host relayed, are of `era`.
    ///
    /// It must be called before the rows are recorded as fresh: until then, freshness says as of when
    /// the hosts of the era before were known.
    pub fn observe_era(&mut self, now: Timestamp, era: StoreEra) {
        let before = self.known_era.era;
        let is_first = self.known_era.since.is_none();
        if !is_first && era <= before {
            return;
        }
        let knows_hosts = !is_first && self.knows_all_hosts(now);
        self.known_era = KnownEra {
            era,
            knows_hosts,
            since: Some(now),
            may_follow_another: !is_first || !self.cfg.store.is_new,
            has_followed: !is_first,
            postponed_drains: IndexMap::new(),
        };
        for state in self.partitions.values_mut() {
            let may_follow_another = self.known_era.may_follow_another;
            state.lease_manager.begin_era(now, era, may_follow_another);
        }
        if is_first {
            return;
        }
        self.metrics.count(Count::StoreReturns);
        info!(self.log, "store returned from a copy"; "era" => era.0, "before" => before.0);
        // Registrations that the copy lacks are given the same time as after an outage.
        self.store_available_since = self.store_available_since.map(|_| now);
        self.registry.begin_era(now + RETURN_TIME);
        self.quarantined.record_again();
    }

    /// Returns whether this host knows all hosts that may have granted keys in the present era.
    ///
    /// Those had been listed for some time before they could, unless they started for the first time
    /// together with the others.
    fn knows_all_hosts(&self, now: Timestamp) -> bool {
        let known_as_of = self.freshness.as_of(Table::Shared);
        let era_age = self.known_era.since.map(|since| now.since(since));
        known_as_of > Timestamp::ZERO
            && now.since(known_as_of) < LISTED_BEFORE_TAKEOVER
            && era_age > Some(FIRST_LISTED_TIME)
    }

    /// Returns whether this host knows all hosts that may have granted keys in the era before.
    pub(super) const fn knows_hosts_of_past_era(&self) -> bool {
        self.known_era.knows_hosts
    }

    /// Postpones an order of the copy about a failure domain until operators have written again what
    /// the store has lost.
    pub(super) fn postpone_drain(
        &mut self,
        domain: DomainId,
        is_drained: bool,
        revision: Revision,
    ) {
        let postponed = PostponedDrain {
            is_drained,
            revision,
        };
        self.known_era.postponed_drains.insert(domain, postponed);
    }

    /// Drops a postponed order because a later one arrived.
    pub(super) fn supersede_drain(&mut self, domain: &DomainId) {
        self.known_era.postponed_drains.shift_remove(domain);
    }

    /// Carries out postponed orders that are still in force; returns whether there were any.
    pub(super) fn apply_postponed_drains(&mut self, now: Timestamp) -> bool {
        if self.known_era.postponed_drains.is_empty() || self.known_era.may_lack_rows(now) {
            return false;
        }
        for (domain, order) in std::mem::take(&mut self.known_era.postponed_drains) {
            if order.is_drained {
                self.drain(domain, Some(now));
            } else {
                self.restore_domain(now, &domain, order.revision);
            }
        }
        true
    }
}
