//! Changes to the registry of upstreams, and to what depends on it.

use std::net::SocketAddr;
use std::time::Duration;

use direct::{AnnouncedLimit, Registration, UpstreamStatus};
use gate::counters::Count;
use ids::{DomainId, EntryId, Revision, Timestamp, UpstreamId};
use slog::{info, warn};
use smol_str::SmolStr;

use crate::control::state::Control;
use crate::ports::{DecodeError, Destination, IncarnationCheck};

/// Time after the store's return after which missing registrations count as removed: upstreams
/// renew registrations that expired meanwhile within two seconds.
pub(crate) const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Last known address of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Address on which it listens.
    address: SocketAddr,
    /// The name under which its server registered.
    server: SmolStr,
    /// Whether all incarnations of its server use that name.
    shares_name: bool,
}

/// Whether a grant call can be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderRoute {
    /// The call can be sent.
    To(Destination),
    /// The upstream's server has restarted: the upstream has ended and holds no grants.
    Replaced,
    /// The upstream's address is not known.
    Unknown,
}

/// Most servers remembered whose undecodable registration was logged: each is logged once, however
/// often it is written.
const UNREADABLE_MAX: usize = 1_000;

impl Control {
    /// Applies a registration that the store had at the revision `at`; returns whether it changes
    /// anything.
    pub fn register(&mut self, now: Timestamp, at: Revision, upstream: Registration) -> bool {
        self.missing.retain(|id| *id != upstream.id);
        self.unreadable.shift_remove(&upstream.server);
        let place = Place {
            address: upstream.address,
            server: upstream.server.clone(),
            shares_name: upstream.started_ms.is_some(),
        };
        let (id, entry) = (upstream.id.clone(), upstream.entry.clone());
        let state = upstream.state;
        let is_news = self.roster.register(now, at, upstream);
        if self.roster.get(&id).is_some() {
            self.places.insert(id.clone(), place);
        }
        if is_news && !self.takes_all {
            info!(self.log, "upstream registered";
                "upstream" => id.as_str(), "entry" => entry.as_str(), "state" => ?state);
        }
        is_news
    }

    /// Applies an upstream's status in an answer; returns whether keys have to move.
    ///
    /// `sent` is when the answered request or grant call was sent.
    pub fn hear(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        id: &UpstreamId,
        said: &UpstreamStatus,
    ) -> bool {
        if said.limit != AnnouncedLimit::NotStated {
            self.change_limit(id, |limit| {
                limit.record(now, sent, said.limit);
            });
        }
        said.is_leaving && self.hear_leaving(now, id)
    }

    fn hear_leaving(&mut self, now: Timestamp, id: &UpstreamId) -> bool {
        if !self.roster.mark_leaving(now, id) {
            return false;
        }
        info!(self.log, "upstream says that it leaves"; "upstream" => id.as_str());
        self.metrics.count(Count::UpstreamsLeaving);
        self.publish();
        true
    }

    /// Drains a failure domain: its upstreams get nothing new from now on, and their keys move
    /// away.
    ///
    /// For `since`, see [`UpstreamRegistry::drain_domain`](direct::UpstreamRegistry::drain_domain).
    pub fn drain(&mut self, domain: DomainId, since: Option<Timestamp>) {
        let name = domain.clone();
        if self.roster.drain_domain(domain, since) {
            self.metrics.count(Count::DomainsDrained);
            info!(self.log, "domain drained"; "domain" => name.as_str(),
                "at_start" => since.is_none());
        }
    }

    /// Restores a drained failure domain; its upstreams count as cold until their next
    /// registration.
    pub fn take_back(&mut self, now: Timestamp, domain: &DomainId, at: Revision) {
        let in_force = self.in_force.clone();
        let cold_until = |entry: &EntryId| {
            let spec = in_force.as_ref()?.cfg.entries.get(entry)?;
            Some(now + spec.warmup?.duration)
        };
        if self.roster.restore_domain(domain, at, cold_until) {
            info!(self.log, "domain taken back"; "domain" => domain.as_str());
        }
    }

    /// Records a registration that can't be decoded, and removes the upstream that it named before.
    ///
    /// Returns whether this changes anything.
    pub fn refuse(&mut self, e: &DecodeError) -> bool {
        self.metrics.count(Count::RegistrationsRefused);
        let id = self.roster.incarnation_of(&e.row).map(|run| run.id.clone());
        if let Some(id) = &id {
            self.roster.remove(id);
        }
        if self.unreadable.len() >= UNREADABLE_MAX {
            self.unreadable.clear();
        }
        let is_first = self.unreadable.insert(e.row.clone());
        if is_first || id.is_some() {
            warn!(self.log, "registration refused"; "error" => %e,
                "was_known" => id.is_some());
        }
        is_first || id.is_some()
    }

    /// Records that the registration of `server` is missing; it may come back if the store was
    /// away.
    pub fn unregister(&mut self, server: &str) {
        let Some(id) = self.roster.incarnation_of(server).map(|run| run.id.clone()) else {
            return;
        };
        if self.roster.mark_missing(&id) {
            self.missing.push(id);
        }
    }

    /// Returns the route of a grant call to `upstream`.
    #[must_use]
    pub fn route_to(&self, upstream: &UpstreamId, now: Timestamp) -> OrderRoute {
        let Some(place) = self.places.get(upstream) else {
            return OrderRoute::Unknown;
        };
        let run = self.roster.incarnation_of(&place.server);
        if run.is_some_and(|run| run.id != *upstream) {
            return OrderRoute::Replaced;
        }
        let incarnation_check = if place.shares_name && self.freshness.is_fresh(now) {
            IncarnationCheck::SeenAt(self.freshness.upstreams_as_of())
        } else {
            IncarnationCheck::ByName
        };
        OrderRoute::To(Destination {
            address: place.address,
            server: place.server.clone(),
            incarnation_check,
        })
    }

    /// Removes upstreams whose registrations stayed missing for long enough; returns whether there
    /// were any.
    pub fn remove_missing(&mut self, now: Timestamp) -> bool {
        if !self.store_settled(now) || self.missing.is_empty() {
            return false;
        }
        for id in std::mem::take(&mut self.missing) {
            if self.roster.remove(&id) {
                info!(self.log, "upstream gone"; "upstream" => id.as_str());
            }
        }
        self.forget_places();
        true
    }

    /// Drops the state of upstreams that are not registered; addresses are kept while a row names
    /// the upstream.
    fn forget_places(&mut self) {
        let (roster, divided) = (&self.roster, &self.divided);
        let holds = |id: &UpstreamId| divided.values().any(|d| d.keeper.mentions(id));
        self.places
            .retain(|id, _| roster.get(id).is_some() || holds(id));
        self.limits.retain(|id, _| roster.get(id).is_some());
        for d in self.divided.values_mut() {
            d.services.retain(|id, _| roster.get(id).is_some());
            d.failing.retain(|id, _| roster.get(id).is_some());
        }
    }

    /// Returns whether the store has answered for long enough that missing registrations count as
    /// removed.
    #[must_use]
    pub fn store_settled(&self, now: Timestamp) -> bool {
        self.store_answers_for(now, RETURN_TIME)
    }
}
