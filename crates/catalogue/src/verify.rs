//! Checks the values of declarations and the references between them, and lists all faults.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use ids::{EntryId, UpstreamId};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::declare::{Catalogue, Domain, Entry, KeyLocation, Sharding, Upstream};
use crate::fault::Fault;
use crate::item::{Item, ItemKey, MAX_ITEM_BYTES};
use crate::json;
use crate::schema::excerpt;

/// Maximum default deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 600_000;
/// Maximum rate limit, in requests per second.
pub const MAX_RATE_PER_S: u32 = 100_000_000;
/// Maximum concurrency limit of one host, in requests.
pub const MAX_CONCURRENCY: u32 = 1_000_000;
/// Maximum queue length of one upstream, in requests.
pub const MAX_QUEUE: u32 = 65_536;
/// Maximum body size, in bytes; a body must fit into one frame between hosts.
pub const MAX_BODY_BYTES: u32 = 12 * 1024 * 1024;
/// Maximum retry budget, in percent.
pub const MAX_RETRY_PERCENT: u32 = 100;
/// Maximum number of slices of one entry.
pub const MAX_SLICES: u32 = 65_536;
/// Maximum index of the path segment that carries a key.
pub const MAX_KEY_SEGMENT: u32 = 63;
/// Maximum number of slots of one upstream.
pub const MAX_SLOTS: u32 = 4_096;
/// Maximum number of connections of one upstream.
pub const MAX_CONNECTIONS: u32 = 65_536;
/// Maximum weight in a placement objective.
pub const MAX_WEIGHT: f64 = 1_000_000.0;
/// First path segment that is reserved for the hosts' own endpoints.
pub const RESERVED_PATH: &str = "medlardyke";

const MAX_PATH_BYTES: usize = 96;
const RESERVED_HEADER_PREFIX: &str = "medlardyke-";
const RESERVED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The files that declarations were read from, and the items that could not be read.
#[derive(Debug, Clone, Default)]
pub struct Sources {
    /// Files of upstreams; an upstream without one is assumed to be in `upstreams/ENTRY.json`.
    pub upstreams: BTreeMap<UpstreamId, SmolStr>,
    /// Items that are declared but could not be read.
    pub unreadable: BTreeSet<ItemKey>,
    /// Whether the set of declared domains is unknown because their file can't be read.
    pub domains_unreadable: bool,
}

/// Lists all faults of `catalogue`, sorted by file and JSON pointer.
#[must_use]
pub fn verify(catalogue: &Catalogue) -> Vec<Fault> {
    verify_with_sources(catalogue, &Sources::default())
}

/// Lists all faults of `catalogue`, which was read from `sources`, sorted by file and JSON
/// pointer.
#[must_use]
pub fn verify_with_sources(catalogue: &Catalogue, sources: &Sources) -> Vec<Fault> {
    let mut verifier = Verifier {
        catalogue,
        sources,
        faults: Vec::new(),
    };
    verifier.check_domains();
    verifier.check_entries();
    verifier.check_upstreams();
    verifier.faults.sort();
    verifier.faults
}

/// Returns the file and the JSON pointer of an item.
#[must_use]
pub fn location(key: &ItemKey, item: Option<&Item>, sources: &Sources) -> (SmolStr, String) {
    match key {
        ItemKey::Domain(id) => ("domains.json".into(), json::join("", id.as_str())),
        ItemKey::Entry(id) => (format_smolstr!("entries/{id}.json"), String::new()),
        ItemKey::Upstream(id) => {
            let file = sources.upstreams.get(id).cloned();
            let file = file.unwrap_or_else(|| match item {
                Some(Item::Upstream(u)) => format_smolstr!("upstreams/{}.json", u.entry),
                _ => "upstreams".into(),
            });
            (file, json::join("", id.as_str()))
        }
    }
}

/// Checks one catalogue and collects its faults.
struct Verifier<'a> {
    catalogue: &'a Catalogue,
    sources: &'a Sources,
    faults: Vec<Fault>,
}

/// The file and the JSON pointer of the item that is being checked.
struct Location {
    file: SmolStr,
    pointer: String,
}

impl Verifier<'_> {
    fn locate(&self, key: &ItemKey, upstream: Option<&Upstream>) -> Location {
        let item = upstream.cloned().map(Item::Upstream);
        let (file, pointer) = location(key, item.as_ref(), self.sources);
        Location { file, pointer }
    }

    fn report(
        &mut self,
        location: &Location,
        field: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.faults.push(Fault {
            file: location.file.clone(),
            pointer: format!("{}{field}", location.pointer),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    fn check_range<T: PartialOrd + Copy + fmt::Display>(
        &mut self,
        location: &Location,
        field: &str,
        v: T,
        min: T,
        max: T,
    ) {
        if v >= min && v <= max {
            return;
        }
        self.report(location, field, v.to_string(), format!("{min} to {max}"));
    }

    /// Returns whether an item is declared, even if it could not be read.
    fn declared(&self, key: &ItemKey) -> bool {
        self.catalogue.contains(key) || self.sources.unreadable.contains(key)
    }

    /// Describes the declared items of a kind by their names, with at most `MAX_NAMES` of them.
    fn declared_names(&self, kind: &str) -> String {
        const MAX_NAMES: usize = 8;
        let mut keys: BTreeSet<ItemKey> = self.catalogue.keys().into_iter().collect();
        keys.extend(self.sources.unreadable.iter().cloned());
        let names: Vec<&str> = keys
            .iter()
            .filter(|k| k.kind() == kind)
            .map(ItemKey::name)
            .collect();
        match names.len() {
            0 => "a declared one; none is".to_owned(),
            n if n <= MAX_NAMES => format!("one of {}", names.join(", ")),
            n => format!(
                "one of {} and {} more",
                names[..MAX_NAMES].join(", "),
                n - MAX_NAMES
            ),
        }
    }

    fn check_domains(&mut self) {
        let is_lost = |d: &Domain| d.lost;
        let domains = &self.catalogue.domains;
        if domains.is_empty() || !domains.values().all(is_lost) {
            return;
        }
        let location = Location {
            file: "domains.json".into(),
            pointer: String::new(),
        };
        self.report(
            &location,
            "",
            "every domain lost",
            "at least one that is not",
        );
    }

    fn check_entries(&mut self) {
        let mut paths: BTreeMap<&SmolStr, &EntryId> = BTreeMap::new();
        for (id, entry) in &self.catalogue.entries {
            let location = self.locate(&ItemKey::Entry(id.clone()), None);
            self.check_entry(&location, id, entry);
            if let Some(first) = paths.insert(&entry.path, id) {
                let allowed = format!("a path of its own; entry {first} has this one");
                self.report(&location, "/path", quoted(&entry.path), allowed);
                paths.insert(&entry.path, first);
            }
        }
    }

    fn check_entry(&mut self, location: &Location, id: &EntryId, entry: &Entry) {
        self.check_owners(location, entry);
        self.check_path(location, &entry.path);
        self.check_range(
            location,
            "/deadline_ms",
            entry.deadline_ms,
            1,
            MAX_DEADLINE_MS,
        );
        self.check_limits(location, entry);
        self.check_objective(location, entry);
        self.check_sharding(location, id, entry);
        let bytes = serde_json::to_vec(entry).map_or(0, |body| body.len());
        if bytes > MAX_ITEM_BYTES {
            let allowed = format!("at most {MAX_ITEM_BYTES} bytes of JSON");
            self.report(location, "", format!("{bytes} bytes"), allowed);
        }
    }

    fn check_owners(&mut self, location: &Location, entry: &Entry) {
        if entry.owners.is_empty() {
            self.report(location, "/owners", "[]", "at least one operator");
        }
        let mut names = BTreeSet::new();
        for (i, owner) in entry.owners.iter().enumerate() {
            if !names.insert(owner) {
                let found = quoted(owner.as_str());
                self.report(
                    location,
                    &format!("/owners/{i}"),
                    found,
                    "each operator once",
                );
            }
        }
    }

    fn check_path(&mut self, location: &Location, path: &str) {
        let allowed_byte =
            |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_' | b'.' | b'~');
        let well_formed =
            !path.is_empty() && path.len() <= MAX_PATH_BYTES && path.bytes().all(allowed_byte);
        if well_formed && path != "." && path != ".." && path != RESERVED_PATH {
            return;
        }
        let allowed = format!(
            "1 to {MAX_PATH_BYTES} of a-z, A-Z, 0-9, '-', '_', '.' and '~', \
             not \".\", \"..\" or {RESERVED_PATH:?}"
        );
        self.report(location, "/path", quoted(path), allowed);
    }

    fn check_limits(&mut self, location: &Location, entry: &Entry) {
        let l = &entry.limits;
        self.check_range(
            location,
            "/limits/rate_per_s",
            l.rate_per_s,
            0,
            MAX_RATE_PER_S,
        );
        self.check_range(
            location,
            "/limits/concurrency",
            l.concurrency,
            0,
            MAX_CONCURRENCY,
        );
        self.check_range(location, "/limits/queue", l.queue, 0, MAX_QUEUE);
        self.check_range(
            location,
            "/limits/request_bytes",
            l.request_bytes,
            0,
            MAX_BODY_BYTES,
        );
        self.check_range(
            location,
            "/limits/answer_bytes",
            l.answer_bytes,
            1,
            MAX_BODY_BYTES,
        );
        self.check_range(
            location,
            "/limits/retry_percent",
            l.retry_percent,
            0,
            MAX_RETRY_PERCENT,
        );
    }

    fn check_objective(&mut self, location: &Location, entry: &Entry) {
        let o = &entry.objective;
        self.check_range(
            location,
            "/objective/imbalance",
            o.imbalance,
            0.0,
            MAX_WEIGHT,
        );
        self.check_range(location, "/objective/churn", o.churn, 0.0, MAX_WEIGHT);
        if o.imbalance == 0.0 && o.churn == 0.0 {
            self.report(location, "/objective", "both weights 0", "one above 0");
        }
    }

    fn check_sharding(&mut self, location: &Location, id: &EntryId, entry: &Entry) {
        let Sharding::Key { key, slices } = &entry.sharding else {
            return;
        };
        self.check_range(location, "/sharding/slices", *slices, 1, MAX_SLICES);
        match key {
            KeyLocation::Header(name) => self.check_key_header(location, name),
            KeyLocation::PathSegment(n) => {
                self.check_range(
                    location,
                    "/sharding/key/path-segment",
                    *n,
                    0,
                    MAX_KEY_SEGMENT,
                );
            }
        }
        let serves = |u: &&Upstream| u.entry == *id;
        let upstreams = self.catalogue.upstreams.values().filter(serves).count();
        if *slices > 0 && (*slices as usize) < upstreams {
            let allowed = format!("at least {upstreams}, one for each upstream");
            self.report(location, "/sharding/slices", slices.to_string(), allowed);
        }
    }

    fn check_key_header(&mut self, location: &Location, name: &str) {
        let lower = name.to_ascii_lowercase();
        let reserved =
            lower.starts_with(RESERVED_HEADER_PREFIX) || RESERVED_HEADERS.contains(&lower.as_str());
        let valid = http::HeaderName::from_bytes(name.as_bytes()).is_ok();
        if valid && !reserved {
            return;
        }
        let allowed = "an HTTP header name that neither HTTP nor medlardyke itself uses";
        self.report(location, "/sharding/key/header", quoted(name), allowed);
    }

    fn check_upstreams(&mut self) {
        let mut addresses: BTreeMap<SocketAddr, &UpstreamId> = BTreeMap::new();
        for (id, upstream) in &self.catalogue.upstreams {
            let location = self.locate(&ItemKey::Upstream(id.clone()), Some(upstream));
            self.check_upstream(&location, upstream);
            if let Some(first) = addresses.insert(upstream.address, id) {
                let allowed = format!("an address of its own; upstream {first} has this one");
                self.report(
                    &location,
                    "/address",
                    quoted(&upstream.address.to_string()),
                    allowed,
                );
                addresses.insert(upstream.address, first);
            }
        }
    }

    fn check_upstream(&mut self, location: &Location, upstream: &Upstream) {
        if !self.declared(&ItemKey::Entry(upstream.entry.clone())) {
            let allowed = self.declared_names("entry");
            self.report(location, "/entry", quoted(upstream.entry.as_str()), allowed);
        }
        let domain = ItemKey::Domain(upstream.domain.clone());
        if !self.sources.domains_unreadable && !self.declared(&domain) {
            let allowed = self.declared_names("domain");
            self.report(
                location,
                "/domain",
                quoted(upstream.domain.as_str()),
                allowed,
            );
        }
        let address = upstream.address;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let allowed = "the IP address of one server, and a port from 1 to 65535";
            self.report(location, "/address", quoted(&address.to_string()), allowed);
        }
        self.check_range(location, "/slots", upstream.slots, 1, MAX_SLOTS);
        self.check_range(
            location,
            "/connections",
            upstream.connections,
            1,
            MAX_CONNECTIONS,
        );
        if upstream.connections >= 1 && upstream.connections < upstream.slots {
            let allowed = format!("at least {}, one for each slot", upstream.slots);
            self.report(
                location,
                "/connections",
                upstream.connections.to_string(),
                allowed,
            );
        }
    }
}

/// Returns `text` as a JSON string for a message.
fn quoted(text: &str) -> String {
    excerpt(&Value::from(text))
}
