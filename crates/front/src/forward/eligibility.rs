//! Whether a request may go to an upstream now.
//!
//! Between the selection of an upstream and the first byte that is sent there, a request may wait: for a
//! permit, a retry, its key's owner, a connection, or another host. Meanwhile the upstream may be taken out
//! of service or end, ask for a pause or state a limit, the key may move, the request may be
//! quarantined, and its route may change. Therefore:
//!
//! > What was decided before a wait is decided again after it, by the same question.
//!
//! [`Forwarder::is_eligible`] is that question. The selection of an upstream asks it, each wait ends with
//! it, and it is asked a last time just before the write. A request whose wait may be long is
//! notified as soon as the answer changes ([`Forwarder::until_ineligible`]), and goes elsewhere or is
//! refused. What has begun to be written is not stopped: the upstream may already run it.

use direct::{LinkState, Registration};
use ids::{BootClock, Clock, Timestamp};

use super::Forwarder;
use super::pick::Pick;
use super::prepare::CallerRequest;
use crate::view::View;

/// Whether an attempt has a permit, or may do without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitStatus {
    /// It has one, or waits for it.
    Held,
    /// It has none, as the upstream required none.
    NotRequired,
    /// It has none, though the upstream limits its requests: this host may send it some of its own.
    OwnLimit,
}

impl PermitStatus {
    /// Returns the status without a permit, at an upstream that limits its requests or not.
    pub(super) const fn without_permit(is_limited: bool) -> Self {
        if is_limited {
            Self::OwnLimit
        } else {
            Self::NotRequired
        }
    }
}

impl Forwarder {
    /// Returns whether `request` may go to `target` now.
    ///
    /// Whether this host reaches `target` is not asked: a connection that opens answers that.
    pub(super) fn is_eligible(
        &self,
        request: &CallerRequest,
        target: &Registration,
        permit_status: PermitStatus,
    ) -> bool {
        let now = BootClock.now();
        let view = self.view.load();
        let is_quarantined = view.quarantine.remaining(now, request.fingerprint);
        if is_quarantined.is_some() || !request.is_route_in_force(&view) {
            return false;
        }
        let up = if request.resolved.is_divided {
            match self.serving_owner(&view, request, now) {
                Pick::To(owner) if owner.id == target.id => Some(owner),
                _ => None,
            }
        } else {
            let up = view.registry.get(&target.id).cloned();
            up.filter(|up| self.takes_requests(&view, request, up, now))
        };
        up.is_some_and(|up| {
            permit_status != PermitStatus::NotRequired || !self.needs_permit(request, &up)
        })
    }

    /// Returns whether an upstream takes requests that any upstream of their entry may run.
    pub(super) fn takes_requests(
        &self,
        view: &View,
        request: &CallerRequest,
        up: &Registration,
        now: Timestamp,
    ) -> bool {
        let has_paused = || {
            self.with_load(up, |load| {
                !load.paused_for(now).is_zero() || load.is_replaced(now)
            })
        };
        up.entry == request.resolved.entry && view.registry.is_ready(up) && !has_paused()
    }

    /// Waits until `request` may no longer go to `target`.
    pub(super) async fn until_ineligible(
        &self,
        request: &CallerRequest,
        target: &Registration,
        permit_status: PermitStatus,
    ) {
        let mut views = self.view.changes();
        let mut upstreams = self.upstream_changes.subscribe();
        while self.is_eligible(request, target, permit_status) {
            let known_end = self.served_until(request, target);
            // Neither sender is dropped before this host's requests have ended.
            tokio::select! {
                _ = views.changed() => {}
                _ = upstreams.changed() => {}
                () = tokio::time::sleep(known_end.since(BootClock.now())) => {}
            }
        }
    }

    /// Returns until when `target` is known to take the request, if it is known to be taken out of
    /// service.
    fn served_until(&self, request: &CallerRequest, target: &Registration) -> Timestamp {
        let view = self.view.load();
        let up = view.registry.get(&target.id);
        let owner = up.filter(|_| request.resolved.is_divided);
        owner.map_or(Timestamp::NEVER, |up| {
            view.registry.serves_owned_keys_until(up)
        })
    }

    /// Returns whether a request to `target` may have failed because of this host's link to it.
    pub(super) fn suspects_link(&self, target: &Registration) -> bool {
        self.links.are_suspect() || self.links.state(&target.id) != LinkState::Usable
    }
}
