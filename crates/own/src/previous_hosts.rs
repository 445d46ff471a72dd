//! Hosts that could act for an upstream before its present coordinating host.

use ids::Timestamp;

use crate::{HostRef, OwnershipSettings};

/// Hosts that could act for an upstream before its present coordinating host, and the time until
/// which their grants may last.
///
/// A previous host whose evidence predates the row that replaced it can act until the evidence
/// window ends, and its last grant lasts one grant TTL longer. A host that confirms that it stopped
/// ends this wait early.
#[derive(Debug, Clone)]
pub(crate) struct PreviousHosts {
    /// End of the window, counted from when this host knew the replacing row.
    window_end: Timestamp,
    /// Hosts that have not confirmed that they stopped.
    unconfirmed: Vec<HostRef>,
    /// Latest expiry reported by the hosts that stopped.
    stopped_end: Timestamp,
}

impl PreviousHosts {
    /// Creates the state of an upstream without previous hosts.
    pub(crate) const fn none() -> Self {
        Self {
            window_end: Timestamp::ZERO,
            unconfirmed: Vec::new(),
            stopped_end: Timestamp::ZERO,
        }
    }

    /// Adds `hosts`, whose replacement has been known since `now`.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        cfg: &OwnershipSettings,
        hosts: impl Iterator<Item = HostRef>,
    ) {
        self.window_end = self.window_end.max(now + cfg.replaced_host_expiry());
        self.unconfirmed.extend(hosts);
        self.unconfirmed.sort();
        self.unconfirmed.dedup();
        if self.unconfirmed.is_empty() {
            // There is no host to ask: the row had no coordinating host, and its last one may have
            // granted until now.
            self.stopped_end = self.window_end;
        }
    }

    /// Records that a host stopped and that its grants expire by `end`.
    pub(crate) fn record_stopped(&mut self, host: &HostRef, end: Timestamp) {
        let before = self.unconfirmed.len();
        self.unconfirmed.retain(|h| !h.is_same(host));
        if self.unconfirmed.len() < before {
            self.stopped_end = self.stopped_end.max(end);
        }
    }

    /// Records contact with a previous host that has not stopped; this restarts the window.
    pub(crate) fn record_contact(
        &mut self,
        now: Timestamp,
        cfg: &OwnershipSettings,
        host: &HostRef,
    ) {
        if self.unconfirmed.iter().any(|h| h.is_same(host)) {
            self.window_end = self.window_end.max(now + cfg.replaced_host_expiry());
        }
    }

    /// Returns the hosts that have not confirmed that they stopped.
    pub(crate) fn unconfirmed(&self) -> &[HostRef] {
        &self.unconfirmed
    }

    /// Returns the time at which all earlier grants have expired.
    pub(crate) fn expires_at(&self) -> Timestamp {
        if self.unconfirmed.is_empty() {
            return self.stopped_end;
        }
        self.window_end.max(self.stopped_end)
    }
}
