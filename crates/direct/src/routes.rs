//! Route lookup by host and path, and selection of the entry that serves a request.

use std::collections::HashMap;

use ids::{Arena, EntryId, arena_key};
use smol_str::SmolStr;

use crate::choose::Priority;
use crate::config::{Configuration, Route};

arena_key! {
    /// Identifies a route of one [`RouteTable`].
    RouteKey
}

/// The routes of a configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: Arena<RouteKey, Route>,
    /// Routes of each host, ordered by prefix length, the longest first.
    by_host: HashMap<SmolStr, Vec<RouteKey>>,
    /// The most and the least urgent priority among the routes of each entry.
    priorities: HashMap<EntryId, (u32, u32)>,
}

impl RouteTable {
    /// Builds the table from `cfg`.
    #[must_use]
    pub fn new(cfg: &Configuration) -> Self {
        let mut table = Self::default();
        for route in &cfg.routes {
            for share in &route.weighted_entries {
                let priority = route.priority;
                let known = table.priorities.entry(share.entry.clone());
                let (most, least) = known.or_insert((priority, priority));
                *most = priority.min(*most);
                *least = priority.max(*least);
            }
            let host = route.host.clone();
            let key = table.routes.push(route.clone());
            table.by_host.entry(host).or_default().push(key);
        }
        for keys in table.by_host.values_mut() {
            keys.sort_by_key(|&k| std::cmp::Reverse(table.routes[k].prefix.len()));
        }
        table
    }

    /// Finds the route of `host` with the longest prefix that matches `path`.
    ///
    /// The case and the port of `host` are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let keys = match self.by_host.get(strip_port(host)) {
            Some(keys) => keys,
            None => self
                .by_host
                .get(strip_port(host).to_ascii_lowercase().as_str())?,
        };
        let matches = |key: &RouteKey| path.starts_with(self.routes[*key].prefix.as_str());
        keys.iter().copied().find(matches)
    }

    /// Returns the route that `key` identifies.
    ///
    /// # Panics
    ///
    /// Panics if `key` comes from another table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key]
    }

    /// Returns the priority of requests of `route` among those that go to `entry`.
    #[must_use]
    pub fn priority(&self, route: &Route, entry: &EntryId) -> Priority {
        match self.priorities.get(entry) {
            Some(&(most, _)) if most < route.priority => Priority::Lower,
            Some(&(_, least)) if route.priority < least => Priority::Urgent,
            _ => Priority::Equal,
        }
    }

    /// Iterates over all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(|(_, route)| route)
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Distributes the requests of split routes over their entries by smooth weighted round robin.
///
/// Each host distributes its requests on its own. Unlike with random draws, any sequence of
/// requests is within one request of the weights. Counts are kept by the route's name and survive
/// changes of the configuration.
#[derive(Debug, Default)]
pub struct Splitter {
    credits: HashMap<SmolStr, Vec<i64>>,
}

impl Splitter {
    /// Returns the entry that serves the next request of `route`; none if the route has no entries.
    pub fn next_entry<'a>(&mut self, route: &'a Route) -> Option<&'a EntryId> {
        if let [only] = route.weighted_entries.as_slice() {
            return Some(&only.entry);
        }
        if !self.credits.contains_key(&route.name) {
            self.credits.insert(route.name.clone(), Vec::new());
        }
        let credits = self.credits.get_mut(&route.name)?;
        credits.resize(route.weighted_entries.len(), 0);
        let total: i64 = route
            .weighted_entries
            .iter()
            .map(|s| i64::from(s.weight))
            .sum();
        for (credit, share) in credits.iter_mut().zip(&route.weighted_entries) {
            // Bounded, because weights change between configurations.
            *credit = (*credit + i64::from(share.weight)).clamp(-total, total);
        }
        let (best, _) = credits
            .iter()
            .enumerate()
            .max_by_key(|&(i, &credit)| (credit, std::cmp::Reverse(i)))?;
        credits[best] -= total;
        Some(&route.weighted_entries[best].entry)
    }
}
