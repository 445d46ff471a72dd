//! The list of hosts, which shows changes after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ids::{HostId, Timestamp};
use platform::ListedHost;

/// A change that is not visible yet.
#[derive(Debug)]
struct PendingChange {
    due: Timestamp,
    host: HostId,
    listed: Option<ListedHost>,
}

/// A list of hosts that shows changes after a lag, in order.
#[derive(Debug, Default)]
pub struct LaggingHostList {
    lag: Duration,
    visible: BTreeMap<HostId, ListedHost>,
    pending: VecDeque<PendingChange>,
}

impl LaggingHostList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Sets the lag of subsequent changes.
    pub const fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a host.
    pub fn put(&mut self, now: Timestamp, listed: ListedHost) {
        self.change(now, listed.host.clone(), Some(listed));
    }

    /// Removes a host.
    pub fn remove(&mut self, now: Timestamp, host: HostId) {
        self.change(now, host, None);
    }

    /// Returns the visible list, ordered by name.
    pub fn list(&mut self, now: Timestamp) -> impl Iterator<Item = &ListedHost> {
        while let Some(change) = self.pending.pop_front_if(|p| p.due <= now) {
            match change.listed {
                Some(listed) => self.visible.insert(change.host, listed),
                None => self.visible.remove(&change.host),
            };
        }
        self.visible.values()
    }

    fn change(&mut self, now: Timestamp, host: HostId, listed: Option<ListedHost>) {
        let last = self.pending.back().map_or(now, |p| p.due);
        let due = last.max(now + self.lag);
        self.pending.push_back(PendingChange { due, host, listed });
    }
}
