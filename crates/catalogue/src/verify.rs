//! Checks that declarations make sense together; all faults are listed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use ids::{EntryId, UpstreamId};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::declare::{Catalogue, Domain, Entry, KeyLocation, Sharding, Upstream};
use crate::fault::Fault;
use crate::item::{Item, ItemKey, MAX_ITEM_BYTES};
use crate::shape::show;
use crate::strict;

/// The longest default deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 600_000;
/// The highest rate limit, in requests a second.
pub const MAX_RATE_PER_S: u32 = 100_000_000;
/// The highest concurrency limit of one host.
pub const MAX_CONCURRENCY: u32 = 1_000_000;
/// The longest queue of one upstream.
pub const MAX_QUEUE: u32 = 65_536;
/// The largest body, in bytes; it must fit into one frame between hosts.
pub const MAX_BODY_BYTES: u32 = 12 * 1024 * 1024;
/// The largest retry budget, in percent.
pub const MAX_RETRY_PERCENT: u32 = 100;
/// The most slices of one entry.
pub const MAX_SLICES: u32 = 65_536;
/// The last path segment that may carry a key.
pub const MAX_KEY_SEGMENT: u32 = 63;
/// The most slots of one upstream.
pub const MAX_SLOTS: u32 = 4_096;
/// The most connections of one upstream.
pub const MAX_CONNECTIONS: u32 = 65_536;
/// The highest objective weight.
pub const MAX_WEIGHT: f64 = 1_000_000.0;
/// The first path segment that hosts keep for themselves.
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

/// Where declarations were read from, and what else was found there.
#[derive(Debug, Clone, Default)]
pub struct Sources {
    /// Files of upstreams; others are taken to stand in `upstreams/ENTRY.json`.
    pub upstreams: BTreeMap<UpstreamId, SmolStr>,
    /// Items that are declared but could not be read.
    pub unreadable: BTreeSet<ItemKey>,
    /// Whether it is not known which domains are declared, as their file can't be read.
    pub no_domains: bool,
}

/// Lists all faults of `catalogue`, by file and place.
#[must_use]
pub fn verify(catalogue: &Catalogue) -> Vec<Fault> {
    verify_from(catalogue, &Sources::default())
}

/// Lists all faults of `catalogue`, which was read from `sources`, by file and place.
#[must_use]
pub fn verify_from(catalogue: &Catalogue, sources: &Sources) -> Vec<Fault> {
    let mut cx = Context {
        catalogue,
        sources,
        faults: Vec::new(),
    };
    cx.domains();
    cx.entries();
    cx.upstreams();
    cx.faults.sort();
    cx.faults
}

/// Returns the file and the JSON pointer of an item.
#[must_use]
pub fn place(key: &ItemKey, item: Option<&Item>, sources: &Sources) -> (SmolStr, String) {
    match key {
        ItemKey::Domain(id) => ("domains.json".into(), strict::join("", id.as_str())),
        ItemKey::Entry(id) => (format_smolstr!("entries/{id}.json"), String::new()),
        ItemKey::Upstream(id) => {
            let file = sources.upstreams.get(id).cloned();
            let file = file.unwrap_or_else(|| match item {
                Some(Item::Upstream(u)) => format_smolstr!("upstreams/{}.json", u.entry),
                _ => "upstreams".into(),
            });
            (file, strict::join("", id.as_str()))
        }
    }
}

struct Context<'a> {
    catalogue: &'a Catalogue,
    sources: &'a Sources,
    faults: Vec<Fault>,
}

/// One item under check.
struct At {
    file: SmolStr,
    pointer: String,
}

impl Context<'_> {
    fn at(&self, key: &ItemKey, upstream: Option<&Upstream>) -> At {
        let item = upstream.cloned().map(Item::Upstream);
        let (file, pointer) = place(key, item.as_ref(), self.sources);
        At { file, pointer }
    }

    fn fault(
        &mut self,
        at: &At,
        below: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.faults.push(Fault {
            file: at.file.clone(),
            pointer: format!("{}{below}", at.pointer),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    fn range<T: PartialOrd + Copy + fmt::Display>(
        &mut self,
        at: &At,
        below: &str,
        v: T,
        min: T,
        max: T,
    ) {
        if v >= min && v <= max {
            return;
        }
        self.fault(at, below, v.to_string(), format!("{min} to {max}"));
    }

    fn declared(&self, key: &ItemKey) -> bool {
        self.catalogue.contains(key) || self.sources.unreadable.contains(key)
    }

    /// Lists the declared items of a kind; of many, only the first few.
    fn known(&self, kind: &str) -> String {
        const SHOWN: usize = 8;
        let mut keys: BTreeSet<ItemKey> = self.catalogue.keys().into_iter().collect();
        keys.extend(self.sources.unreadable.iter().cloned());
        let names: Vec<&str> = keys
            .iter()
            .filter(|k| k.kind() == kind)
            .map(ItemKey::name)
            .collect();
        match names.len() {
            0 => "a declared one; none is".to_owned(),
            n if n <= SHOWN => format!("one of {}", names.join(", ")),
            n => format!(
                "one of {} and {} more",
                names[..SHOWN].join(", "),
                n - SHOWN
            ),
        }
    }

    fn domains(&mut self) {
        let lost = |d: &Domain| d.lost;
        let domains = &self.catalogue.domains;
        if domains.is_empty() || !domains.values().all(lost) {
            return;
        }
        let at = At {
            file: "domains.json".into(),
            pointer: String::new(),
        };
        self.fault(&at, "", "every domain lost", "at least one that is not");
    }

    fn entries(&mut self) {
        let mut paths: BTreeMap<&SmolStr, &EntryId> = BTreeMap::new();
        for (id, entry) in &self.catalogue.entries {
            let at = self.at(&ItemKey::Entry(id.clone()), None);
            self.entry(&at, id, entry);
            if let Some(first) = paths.insert(&entry.path, id) {
                let allowed = format!("a path of its own; entry {first} has this one");
                self.fault(&at, "/path", text(&entry.path), allowed);
                paths.insert(&entry.path, first);
            }
        }
    }

    fn entry(&mut self, at: &At, id: &EntryId, entry: &Entry) {
        self.owners(at, entry);
        self.path(at, &entry.path);
        self.range(at, "/deadline_ms", entry.deadline_ms, 1, MAX_DEADLINE_MS);
        self.limits(at, entry);
        self.objective(at, entry);
        self.sharding(at, id, entry);
        let bytes = serde_json::to_vec(entry).map_or(0, |body| body.len());
        if bytes > MAX_ITEM_BYTES {
            let allowed = format!("at most {MAX_ITEM_BYTES} bytes of JSON");
            self.fault(at, "", format!("{bytes} bytes"), allowed);
        }
    }

    fn owners(&mut self, at: &At, entry: &Entry) {
        if entry.owners.is_empty() {
            self.fault(at, "/owners", "[]", "at least one operator");
        }
        let mut seen = BTreeSet::new();
        for (i, owner) in entry.owners.iter().enumerate() {
            if !seen.insert(owner) {
                let found = text(owner.as_str());
                self.fault(at, &format!("/owners/{i}"), found, "each operator once");
            }
        }
    }

    fn path(&mut self, at: &At, path: &str) {
        let plain = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_' | b'.' | b'~');
        let fits = !path.is_empty() && path.len() <= MAX_PATH_BYTES && path.bytes().all(plain);
        if fits && path != "." && path != ".." && path != RESERVED_PATH {
            return;
        }
        let allowed = format!(
            "1 to {MAX_PATH_BYTES} of a-z, A-Z, 0-9, '-', '_', '.' and '~', \
             not \".\", \"..\" or {RESERVED_PATH:?}"
        );
        self.fault(at, "/path", text(path), allowed);
    }

    fn limits(&mut self, at: &At, entry: &Entry) {
        let l = &entry.limits;
        self.range(at, "/limits/rate_per_s", l.rate_per_s, 0, MAX_RATE_PER_S);
        self.range(at, "/limits/concurrency", l.concurrency, 0, MAX_CONCURRENCY);
        self.range(at, "/limits/queue", l.queue, 0, MAX_QUEUE);
        self.range(
            at,
            "/limits/request_bytes",
            l.request_bytes,
            0,
            MAX_BODY_BYTES,
        );
        self.range(
            at,
            "/limits/answer_bytes",
            l.answer_bytes,
            1,
            MAX_BODY_BYTES,
        );
        self.range(
            at,
            "/limits/retry_percent",
            l.retry_percent,
            0,
            MAX_RETRY_PERCENT,
        );
    }

    fn objective(&mut self, at: &At, entry: &Entry) {
        let o = &entry.objective;
        self.range(at, "/objective/imbalance", o.imbalance, 0.0, MAX_WEIGHT);
        self.range(at, "/objective/churn", o.churn, 0.0, MAX_WEIGHT);
        if o.imbalance == 0.0 && o.churn == 0.0 {
            self.fault(at, "/objective", "both weights 0", "one above 0");
        }
    }

    fn sharding(&mut self, at: &At, id: &EntryId, entry: &Entry) {
        let Sharding::Key { key, slices } = &entry.sharding else {
            return;
        };
        self.range(at, "/sharding/slices", *slices, 1, MAX_SLICES);
        match key {
            KeyLocation::Header(name) => self.key_header(at, name),
            KeyLocation::PathSegment(n) => {
                self.range(at, "/sharding/key/path-segment", *n, 0, MAX_KEY_SEGMENT);
            }
        }
        let serves = |u: &&Upstream| u.entry == *id;
        let upstreams = self.catalogue.upstreams.values().filter(serves).count();
        if *slices > 0 && (*slices as usize) < upstreams {
            let allowed = format!("at least {upstreams}, one for each upstream");
            self.fault(at, "/sharding/slices", slices.to_string(), allowed);
        }
    }

    fn key_header(&mut self, at: &At, name: &str) {
        let lower = name.to_ascii_lowercase();
        let reserved =
            lower.starts_with(RESERVED_HEADER_PREFIX) || RESERVED_HEADERS.contains(&lower.as_str());
        let valid = http::HeaderName::from_bytes(name.as_bytes()).is_ok();
        if valid && !reserved {
            return;
        }
        let allowed = "an HTTP header name that neither HTTP nor medlardyke itself uses";
        self.fault(at, "/sharding/key/header", text(name), allowed);
    }

    fn upstreams(&mut self) {
        let mut addresses: BTreeMap<SocketAddr, &UpstreamId> = BTreeMap::new();
        for (id, upstream) in &self.catalogue.upstreams {
            let at = self.at(&ItemKey::Upstream(id.clone()), Some(upstream));
            self.upstream(&at, upstream);
            if let Some(first) = addresses.insert(upstream.address, id) {
                let allowed = format!("an address of its own; upstream {first} has this one");
                self.fault(
                    &at,
                    "/address",
                    text(&upstream.address.to_string()),
                    allowed,
                );
                addresses.insert(upstream.address, first);
            }
        }
    }

    fn upstream(&mut self, at: &At, upstream: &Upstream) {
        if !self.declared(&ItemKey::Entry(upstream.entry.clone())) {
            let known = self.known("entry");
            self.fault(at, "/entry", text(upstream.entry.as_str()), known);
        }
        let domain = ItemKey::Domain(upstream.domain.clone());
        if !self.sources.no_domains && !self.declared(&domain) {
            let known = self.known("domain");
            self.fault(at, "/domain", text(upstream.domain.as_str()), known);
        }
        let address = upstream.address;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let allowed = "the IP address of one server, and a port from 1 to 65535";
            self.fault(at, "/address", text(&address.to_string()), allowed);
        }
        self.range(at, "/slots", upstream.slots, 1, MAX_SLOTS);
        self.range(at, "/connections", upstream.connections, 1, MAX_CONNECTIONS);
        if upstream.connections >= 1 && upstream.connections < upstream.slots {
            let allowed = format!("at least {}, one for each slot", upstream.slots);
            self.fault(
                at,
                "/connections",
                upstream.connections.to_string(),
                allowed,
            );
        }
    }
}

fn text(text: &str) -> String {
    show(&Value::from(text))
}
