//! Changes to the registry of upstreams, and to what depends on it.

use std::time::Duration;

use assign::{CallKind, GrantCall, PartitionId};
use direct::{AnnouncedLimit, Registration, UpstreamStatus};
use gate::counters::Count;
use ids::{DomainId, EntryId, Revision, Timestamp, UpstreamId};
use slog::{info, warn};

use crate::control::state::{ControlState, LastKnownAddress};
use crate::control::tables::Table;
use crate::ports::{DecodeError, Destination, GrantPath, IncarnationCheck};

/// Time after the store's return after which missing registrations count as removed: upstreams
/// renew registrations that expired meanwhile within two seconds.
pub(crate) const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Whether a grant call can be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantRoute {
    /// The call can be sent.
    To(Destination),
    /// A later incarnation of the upstream's server has registered: the upstream has ended and is
    /// granted nothing.
    Replaced,
    /// The process that was granted these keys under the call's fencing token is not known.
    NeedsHigherToken,
    /// The upstream's address is not known.
    Unknown,
}

/// Most servers remembered whose undecodable registration was logged: each is logged once, however
/// often it is written.
const MAX_UNREADABLE: usize = 1_000;

impl ControlState {
    /// Applies a registration that the store had at the revision `at`; returns whether it changes
    /// anything.
    pub fn register(&mut self, now: Timestamp, at: Revision, upstream: Registration) -> bool {
        self.missing.retain(|id| *id != upstream.id);
        self.unreadable_servers.shift_remove(&upstream.server);
        let last_address = LastKnownAddress {
            address: upstream.address,
            server: upstream.server.clone(),
            shares_name: upstream.started_ms.is_some(),
        };
        let (id, entry) = (upstream.id.clone(), upstream.entry.clone());
        let state = upstream.state;
        let has_changed = self.registry.register(now, at, upstream);
        if self.registry.get(&id).is_some() {
            self.last_addresses.insert(id.clone(), last_address);
        }
        if has_changed && !self.is_bulk_read {
            info!(self.log, "upstream registered";
                "upstream" => id.as_str(), "entry" => entry.as_str(), "state" => ?state);
        }
        has_changed
    }

    /// Applies an upstream's status in an answer; returns whether keys have to move.
    ///
    /// `sent_at` is when the answered request or grant call was sent.
    pub fn apply_status(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        id: &UpstreamId,
        status: &UpstreamStatus,
    ) -> bool {
        if status.limit != AnnouncedLimit::NotStated {
            self.change_limit(id, |limit| {
                limit.record(now, sent_at, status.limit);
            });
        }
        status.is_leaving && self.mark_leaving(now, id)
    }

    fn mark_leaving(&mut self, now: Timestamp, id: &UpstreamId) -> bool {
        self.record_known_before_read();
        if !self.registry.mark_leaving(now, id) {
            return false;
        }
        info!(self.log, "upstream says that it leaves"; "upstream" => id.as_str());
        self.metrics.count(Count::UpstreamsLeaving);
        self.publish();
        true
    }

    /// Tells the registry as of when it is known. Called before a read or message adds to that, as what it
    /// brings may have been accepted by the store at any time since.
    pub fn record_known_before_read(&mut self) {
        let known_as_of = self.freshness.as_of(Table::Upstreams);
        self.registry.record_known_as_of(known_as_of);
    }

    /// Drains a failure domain: its upstreams get nothing new from now on, and their keys move
    /// away.
    ///
    /// For `since`, see [`UpstreamRegistry::drain_domain`](direct::UpstreamRegistry::drain_domain).
    pub fn drain(&mut self, domain: DomainId, since: Option<Timestamp>) {
        let name = domain.clone();
        if self.registry.drain_domain(domain, since) {
            self.metrics.count(Count::DomainsDrained);
            info!(self.log, "domain drained"; "domain" => name.as_str(),
                "at_start" => since.is_none());
        }
    }

    /// Restores a drained failure domain; its upstreams count as cold for their warm-up
    /// time, or until they report otherwise.
    pub fn restore_domain(&mut self, now: Timestamp, domain: &DomainId, at: Revision) {
        let configuration = self.configuration.clone();
        let cold_until = |entry: &EntryId| {
            let spec = configuration.as_ref()?.cfg.entries.get(entry)?;
            Some(now + spec.warmup?.duration)
        };
        if self.registry.restore_domain(domain, at, cold_until) {
            info!(self.log, "domain taken back"; "domain" => domain.as_str());
        }
    }

    /// Records a registration that can't be decoded, and removes the upstream that it named before.
    ///
    /// Returns whether this changes anything.
    pub fn refuse_registration(&mut self, e: &DecodeError) -> bool {
        self.metrics.count(Count::RegistrationsRefused);
        let id = self
            .registry
            .incarnation_of(&e.row)
            .map(|registered| registered.id.clone());
        if let Some(id) = &id {
            self.registry.remove(id);
        }
        if self.unreadable_servers.len() >= MAX_UNREADABLE {
            self.unreadable_servers.clear();
        }
        let is_first = self.unreadable_servers.insert(e.row.clone());
        if is_first || id.is_some() {
            warn!(self.log, "registration refused"; "error" => %e,
                "was_known" => id.is_some());
        }
        is_first || id.is_some()
    }

    /// Records that the registration of `server` is missing; it may come back if the store was
    /// away.
    pub fn unregister(&mut self, server: &str) {
        let Some(id) = self
            .registry
            .incarnation_of(server)
            .map(|registered| registered.id.clone())
        else {
            return;
        };
        if self.registry.mark_missing(&id) {
            self.missing.push(id);
        }
    }

    /// Returns the route of a grant call to `upstream` about keys of `partition`.
    ///
    /// That a later incarnation of a server has registered says that the upstream has ended, not that
    /// its keys are free: the later incarnation may have been granted them before it registered. It
    /// releases them as its predecessor would.
    #[must_use]
    pub fn route_to(&self, partition: &PartitionId, call: &GrantCall) -> GrantRoute {
        let Some(last_address) = self.last_addresses.get(&call.upstream) else {
            return GrantRoute::Unknown;
        };
        let registered = self.registry.incarnation_of(&last_address.server);
        let is_replaced = registered.is_some_and(|registered| registered.id != call.upstream);
        if let CallKind::Grant { is_inherited, .. } = call.kind {
            if is_replaced {
                return GrantRoute::Replaced;
            }
            if is_inherited && last_address.shares_name {
                return GrantRoute::NeedsHigherToken;
            }
        }
        let incarnation_check = if last_address.shares_name {
            IncarnationCheck::ByConnection(partition.clone())
        } else {
            IncarnationCheck::ByName
        };
        GrantRoute::To(Destination {
            address: last_address.address,
            server: last_address.server.clone(),
            incarnation_check,
        })
    }

    /// Returns how a grant call reaches an upstream.
    ///
    /// While the store is away, no other host can take over from this one.
    #[must_use]
    pub fn path_to(&self, upstream: &UpstreamId) -> GrantPath {
        if self.lost_links.load().contains(upstream) {
            GrantPath::ThroughPeer(self.peer_calls.clone())
        } else {
            GrantPath::Direct
        }
    }

    /// Removes upstreams whose registrations stayed missing for long enough; returns whether there
    /// were any.
    pub fn remove_missing(&mut self) -> bool {
        if !self.store_settled() || self.missing.is_empty() {
            return false;
        }
        for id in std::mem::take(&mut self.missing) {
            if self.registry.remove_gone(&id, self.known_era.era) {
                info!(self.log, "upstream gone"; "upstream" => id.as_str());
            }
        }
        self.drop_unused();
        true
    }

    /// Drops the state of upstreams that are not registered; addresses are kept while a row names
    /// the upstream.
    fn drop_unused(&mut self) {
        let (registry, partitions) = (&self.registry, &self.partitions);
        let is_owner = |id: &UpstreamId| partitions.values().any(|d| d.lease_manager.mentions(id));
        self.last_addresses
            .retain(|id, _| registry.get(id).is_some() || is_owner(id));
        self.limits.retain(|id, _| registry.get(id).is_some());
        for d in self.partitions.values_mut() {
            d.service_times.retain(|id, _| registry.get(id).is_some());
            d.failing_calls.retain(|id, _| registry.get(id).is_some());
        }
    }

    /// Returns whether what this host knows of the upstreams is from a time at which the store had
    /// answered for long enough that missing registrations count as removed.
    #[must_use]
    pub fn store_settled(&self) -> bool {
        let known_as_of = self.freshness.as_of(Table::Upstreams);
        let since = self.store_available_since;
        since.is_some_and(|since| known_as_of >= since + RETURN_TIME)
    }
}
