//! Those who could act for an upstream before its present coordinating host.

use ids::Timestamp;

use crate::{HostRef, OwnSettings};

/// Those who could act for an upstream before its present coordinating host, and until when what
/// they granted may last.
///
/// A predecessor that acts on evidence older than the row that replaced it can do so for the
/// evidence window, and what it grants last lasts one grant longer. Each one that says it stopped
/// needs no such wait.
#[derive(Debug, Clone)]
pub(crate) struct Inherit {
    /// End of the window, counted from when this host knew that its row stands.
    window_end: Timestamp,
    /// Those that did not say that they stopped.
    waiting: Vec<HostRef>,
    /// End of what those before have granted, as far as they said.
    stopped_end: Timestamp,
}

impl Inherit {
    /// Nobody acted before.
    pub(crate) const fn none() -> Self {
        Self {
            window_end: Timestamp::ZERO,
            waiting: Vec::new(),
            stopped_end: Timestamp::ZERO,
        }
    }

    /// Starts to wait for `hosts`, whose replacement is known to stand since `now`.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        cfg: &OwnSettings,
        hosts: impl Iterator<Item = HostRef>,
    ) {
        self.window_end = self.window_end.max(now + cfg.quiet());
        self.waiting.extend(hosts);
        self.waiting.sort();
        self.waiting.dedup();
        if self.waiting.is_empty() {
            // Nobody to ask: the row was vacant, and its last holder may have granted until now.
            self.stopped_end = self.window_end;
        }
    }

    /// Notes that a predecessor stopped and that nothing lasts beyond `end`.
    pub(crate) fn stopped(&mut self, host: &HostRef, end: Timestamp) {
        let before = self.waiting.len();
        self.waiting.retain(|h| !h.is(host));
        if self.waiting.len() < before {
            self.stopped_end = self.stopped_end.max(end);
        }
    }

    /// Notes a sign of life of a predecessor that did not stop yet: the window starts again.
    pub(crate) fn heard(&mut self, now: Timestamp, cfg: &OwnSettings, host: &HostRef) {
        if self.waiting.iter().any(|h| h.is(host)) {
            self.window_end = self.window_end.max(now + cfg.quiet());
        }
    }

    /// Returns those that did not say that they stopped.
    pub(crate) fn waiting(&self) -> &[HostRef] {
        &self.waiting
    }

    /// Returns the time at which nothing that was granted before can last any more.
    pub(crate) fn quiet_at(&self) -> Timestamp {
        if self.waiting.is_empty() {
            return self.stopped_end;
        }
        self.window_end.max(self.stopped_end)
    }
}
