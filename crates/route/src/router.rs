//! The compiled snapshot that maps path and key to upstream and host.

use std::sync::Arc;
use std::time::Duration;

use catalogue::{Catalogue, Class, Entry, KeyLocation, Limits, Sharding};
use ids::{
    Arena, ArenaKey, DomainId, EntryId, HostId, KeyHash, Reason, Revision, SliceNo, UpstreamId,
};
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::key::{EntryKey, HostKey, UpstreamKey};
use crate::ownership::{Ownership, OwnershipChange};
use crate::path;

/// Slices in one chunk of an entry's owners.
const CHUNK: usize = 512;

/// Routing data of one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryRoute {
    /// Name.
    pub id: EntryId,
    /// Whether its requests may run more than once.
    pub class: Class,
    /// Deadline of a request that sets none.
    pub deadline: Duration,
    /// Limits.
    pub limits: Limits,
    /// Whether an answer must echo the request's id.
    pub verify_echo: bool,
    /// Where requests carry their key; none if the entry is not divided by key.
    pub key: Option<KeyLocation>,
    /// Upstreams that serve the entry and are not leaving.
    pub upstreams: Vec<UpstreamKey>,
    /// Number of slices.
    slices: u32,
    /// Owner of each slice, in chunks of [`CHUNK`], so that a change copies one chunk only.
    owners: Vec<Arc<[Option<UpstreamKey>; CHUNK]>>,
    /// Owners of hot slices, sorted by slice.
    hot_owners: Arc<Vec<(SliceNo, UpstreamKey)>>,
}

/// Routing data of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRoute {
    /// Name.
    pub id: UpstreamId,
    /// Entry that it serves; none once it was removed from the catalogue.
    pub entry: Option<EntryKey>,
    /// Failure domain.
    pub domain: Option<DomainId>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is drained before its removal.
    pub leaving: bool,
    /// Its coordinating host.
    pub host: Option<HostKey>,
}

/// Entry and key that a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMatch<'p> {
    /// Entry.
    pub entry: EntryKey,
    /// Hash of the key; none if the entry is not divided by key.
    pub key: Option<KeyHash>,
    /// Path and query after the entry's own segment; empty or beginning with `/` or `?`.
    pub rest: &'p str,
}

/// Slice, upstream and coordinating host that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Slice that holds the key; none if the entry is not divided by key.
    pub slice: Option<SliceNo>,
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Coordinating host of the upstream.
    pub host: HostKey,
}

/// Names seen so far in one host incarnation. A name's position is its key. None is ever removed,
/// so keys stay valid in later snapshots.
#[derive(Debug, Clone, Default)]
struct NameTable {
    entries: IndexSet<EntryId>,
    upstreams: IndexSet<UpstreamId>,
    hosts: IndexSet<HostId>,
}

/// A routing snapshot: built once for each change of catalogue or ownership, then read-only.
#[derive(Debug, Clone, Default)]
pub struct Router {
    revision: Revision,
    names: Arc<NameTable>,
    paths: Arc<IndexMap<SmolStr, EntryKey>>,
    entries: Arena<EntryKey, Option<Arc<EntryRoute>>>,
    upstreams: Arc<Arena<UpstreamKey, UpstreamRoute>>,
}

impl EntryRoute {
    /// Returns the slice that holds a key and its owner, or `None` if the entry is not divided by
    /// key.
    #[must_use]
    pub fn owner(&self, key: KeyHash) -> Option<(SliceNo, Option<UpstreamKey>)> {
        if self.slices == 0 {
            return None;
        }
        if !self.hot_owners.is_empty() {
            let slice = key.hot_slice();
            if let Ok(i) = self.hot_owners.binary_search_by_key(&slice, |&(s, _)| s) {
                return Some((slice, Some(self.hot_owners[i].1)));
            }
        }
        let slice = key.slice(self.slices);
        let index = slice.0 as usize;
        Some((slice, self.owners[index / CHUNK][index % CHUNK]))
    }

    /// Returns how many slices the entry's key hashes are divided into; zero if it is not divided.
    #[must_use]
    pub const fn slice_count(&self) -> u32 {
        self.slices
    }

    /// Returns how many keys have a hot slice of their own.
    #[must_use]
    pub fn hot_count(&self) -> usize {
        self.hot_owners.len()
    }

    fn from_declaration(id: &EntryId, entry: &Entry) -> Self {
        let (key, slices) = match &entry.sharding {
            Sharding::None => (None, 0),
            Sharding::Key { key, slices } => (Some(key.clone()), *slices),
        };
        let empty = Arc::new([None; CHUNK]);
        let chunks = (slices as usize).div_ceil(CHUNK);
        Self {
            id: id.clone(),
            class: entry.class,
            deadline: Duration::from_millis(u64::from(entry.deadline_ms)),
            limits: entry.limits,
            verify_echo: entry.verify_echo,
            key,
            upstreams: Vec::new(),
            slices,
            owners: std::iter::repeat_n(empty, chunks).collect(),
            hot_owners: Arc::default(),
        }
    }

    /// Adds an owner while a snapshot is built; [`Self::sort_hot`] must follow.
    fn add_owner(&mut self, slice: SliceNo, upstream: UpstreamKey) {
        if slice.is_hot() {
            Arc::make_mut(&mut self.hot_owners).push((slice, upstream));
            return;
        }
        self.set(slice, Some(upstream));
    }

    fn sort_hot(&mut self) {
        if self.hot_owners.is_empty() {
            return;
        }
        let hot = Arc::make_mut(&mut self.hot_owners);
        hot.sort_unstable();
        hot.dedup_by_key(|&mut (slice, _)| slice);
    }

    fn get(&self, slice: SliceNo) -> Option<UpstreamKey> {
        if slice.is_hot() {
            let index = self.hot_owners.binary_search_by_key(&slice, |&(s, _)| s);
            return index.ok().map(|i| self.hot_owners[i].1);
        }
        let index = usize::try_from(slice.0).ok()?;
        let chunk = self.owners.get(index / CHUNK)?;
        chunk[index % CHUNK]
    }

    fn set(&mut self, slice: SliceNo, owner: Option<UpstreamKey>) {
        if !slice.is_hot() {
            let index = usize::try_from(slice.0).unwrap_or(usize::MAX);
            if index < self.slices as usize {
                Arc::make_mut(&mut self.owners[index / CHUNK])[index % CHUNK] = owner;
            }
            return;
        }
        let hot = Arc::make_mut(&mut self.hot_owners);
        match (hot.binary_search_by_key(&slice, |&(s, _)| s), owner) {
            (Ok(i), Some(owner)) => hot[i].1 = owner,
            (Ok(i), None) => drop(hot.remove(i)),
            (Err(i), Some(owner)) => hot.insert(i, (slice, owner)),
            (Err(_), None) => {}
        }
    }

    fn bytes(&self) -> usize {
        size_of::<Self>()
            + self.upstreams.len() * size_of::<UpstreamKey>()
            + self.owners.len() * size_of::<[Option<UpstreamKey>; CHUNK]>()
            + self.hot_owners.len() * size_of::<(SliceNo, UpstreamKey)>()
    }
}

impl Router {
    /// Builds a snapshot; keys of `previous` stay valid in it.
    #[must_use]
    pub fn build(previous: &Self, catalogue: &Catalogue, ownership: &Ownership) -> Self {
        let mut next = Self {
            revision: ownership.revision,
            names: Arc::clone(&previous.names),
            ..Self::default()
        };
        next.add_names(catalogue, ownership);
        next.add_upstreams(catalogue, ownership);
        next.add_entries(catalogue);
        next.assign(ownership);
        next
    }

    /// Builds the snapshot that results from this one by changes of ownership alone.
    ///
    /// It copies only the entries that changed. Changes that name an upstream or a slice unknown to
    /// the catalogue are ignored.
    #[must_use]
    pub fn with_changes(&self, revision: Revision, changes: &[OwnershipChange]) -> Self {
        let mut next = self.clone();
        next.revision = self.revision.max(revision);
        for change in changes {
            next.apply(change);
        }
        next
    }

    /// Returns the highest table revision that is included in the snapshot.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Finds the entry and the key that a request names.
    ///
    /// `header` returns the value of the header with that (lower-case) name. Escapes in a path
    /// segment are decoded before hashing, so that all spellings of a key have the same owner. It
    /// does not allocate.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal if the path names no entry, the key is missing or the
    /// path is malformed.
    pub fn locate<'p, 'h>(
        &self,
        path: &'p str,
        header: impl Fn(&str) -> Option<&'h [u8]>,
    ) -> Result<RouteMatch<'p>, Reason> {
        let (name, rest) = path::first_segment(path)?;
        let entry = *self.paths.get(name).ok_or(Reason::UnknownEntry)?;
        let route = self.entry(entry).ok_or(Reason::UnknownEntry)?;
        let key = match &route.key {
            None => None,
            Some(KeyLocation::Header(name)) => Some(path::header_key(header(name))?),
            Some(KeyLocation::PathSegment(n)) => Some(path::segment_key(rest, *n)?),
        };
        Ok(RouteMatch { entry, key, rest })
    }

    /// Finds the slice, the upstream and the coordinating host that serve a key.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NoOwner`] if the key's slice has no owner or the owner has no
    /// coordinating host, and with [`Reason::UnknownEntry`] if the entry was removed or is not
    /// divided by key.
    pub fn owner(&self, entry: EntryKey, key: KeyHash) -> Result<Target, Reason> {
        let route = self.entry(entry).ok_or(Reason::UnknownEntry)?;
        let (slice, upstream) = route.owner(key).ok_or(Reason::UnknownEntry)?;
        let mut target = self.target(upstream.ok_or(Reason::NoOwner)?)?;
        target.slice = Some(slice);
        Ok(target)
    }

    /// Builds the target of a request that is not divided by key, for the chosen upstream.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NoOwner`] if the upstream has no coordinating host.
    pub fn target(&self, upstream: UpstreamKey) -> Result<Target, Reason> {
        let route = self.upstream(upstream).ok_or(Reason::NoOwner)?;
        Ok(Target {
            slice: None,
            upstream,
            host: route.host.ok_or(Reason::NoOwner)?,
        })
    }

    /// Returns an entry, unless it was removed from the catalogue.
    #[must_use]
    pub fn entry(&self, key: EntryKey) -> Option<&Arc<EntryRoute>> {
        self.entries.get(key)?.as_ref()
    }

    /// Returns an upstream.
    #[must_use]
    pub fn upstream(&self, key: UpstreamKey) -> Option<&UpstreamRoute> {
        self.upstreams.get(key)
    }

    /// Returns the name of a host.
    #[must_use]
    pub fn host(&self, key: HostKey) -> Option<&HostId> {
        self.names.hosts.get_index(key.index())
    }

    /// Returns the key of an entry that any snapshot of this incarnation contained.
    #[must_use]
    pub fn entry_key(&self, id: &EntryId) -> Option<EntryKey> {
        self.names
            .entries
            .get_index_of(id)
            .map(EntryKey::from_index)
    }

    /// Returns the key of an upstream that any snapshot of this incarnation contained.
    #[must_use]
    pub fn upstream_key(&self, id: &UpstreamId) -> Option<UpstreamKey> {
        self.names
            .upstreams
            .get_index_of(id)
            .map(UpstreamKey::from_index)
    }

    /// Iterates over the entries of the catalogue.
    pub fn entries(&self) -> impl Iterator<Item = (EntryKey, &Arc<EntryRoute>)> {
        self.entries
            .iter()
            .filter_map(|(k, e)| e.as_ref().map(|e| (k, e)))
    }

    /// Returns how many upstreams the snapshots of this incarnation have contained; the indices of
    /// their keys are below it.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns an estimate of the snapshot's size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let entries: usize = self.entries().map(|(_, e)| e.bytes()).sum();
        let names = self.names.entries.len() * size_of::<EntryId>()
            + self.names.upstreams.len() * size_of::<UpstreamId>()
            + self.names.hosts.len() * size_of::<HostId>();
        let paths = self.paths.len() * size_of::<(SmolStr, EntryKey)>();
        let upstreams = self.upstreams.len() * size_of::<UpstreamRoute>();
        entries + names + paths + upstreams
    }

    fn add_names(&mut self, catalogue: &Catalogue, ownership: &Ownership) {
        let names = Arc::make_mut(&mut self.names);
        for id in catalogue.entries.keys() {
            names.entries.insert(id.clone());
        }
        for id in catalogue.upstreams.keys() {
            names.upstreams.insert(id.clone());
        }
        for owned in ownership.upstreams.values() {
            if let Some(host) = &owned.host {
                names.hosts.insert(host.clone());
            }
        }
    }

    fn add_upstreams(&mut self, catalogue: &Catalogue, ownership: &Ownership) {
        let names = Arc::clone(&self.names);
        let upstreams = Arc::make_mut(&mut self.upstreams);
        for id in &names.upstreams {
            let declared = catalogue.upstreams.get(id);
            let host = ownership.upstreams.get(id).and_then(|o| o.host.as_ref());
            let host = host.and_then(|h| names.hosts.get_index_of(h));
            let entry = declared.and_then(|u| names.entries.get_index_of(&u.entry));
            upstreams.push(UpstreamRoute {
                id: id.clone(),
                entry: entry.map(EntryKey::from_index),
                domain: declared.map(|u| u.domain.clone()),
                slots: declared.map_or(0, |u| u.slots),
                leaving: declared.is_none_or(|u| u.leaving),
                host: host.map(HostKey::from_index),
            });
        }
    }

    fn add_entries(&mut self, catalogue: &Catalogue) {
        let names = Arc::clone(&self.names);
        let mut paths = IndexMap::with_capacity(catalogue.entries.len());
        for id in &names.entries {
            let declared = catalogue.entries.get(id);
            let key = self
                .entries
                .push(declared.map(|e| Arc::new(EntryRoute::from_declaration(id, e))));
            if let Some(e) = declared {
                paths.insert(e.path.clone(), key);
            }
        }
        self.paths = Arc::new(paths);
        for (key, upstream) in self.upstreams.iter() {
            let Some(entry) = upstream.entry.filter(|_| !upstream.leaving) else {
                continue;
            };
            if let Some(route) = &mut self.entries[entry] {
                Arc::make_mut(route).upstreams.push(key);
            }
        }
    }

    fn assign(&mut self, ownership: &Ownership) {
        for (id, owned) in &ownership.upstreams {
            let Some(key) = self.upstream_key(id) else {
                continue;
            };
            let Some(route) = self.entry_of_mut(key) else {
                continue;
            };
            for &slice in &owned.slices {
                route.add_owner(slice, key);
            }
        }
        for (_, route) in self.entries.iter_mut() {
            if let Some(route) = route {
                Arc::make_mut(route).sort_hot();
            }
        }
    }

    fn apply(&mut self, change: &OwnershipChange) {
        match change {
            OwnershipChange::Coordinator { upstream, host } => {
                self.set_host(upstream, host.as_ref());
            }
            OwnershipChange::Assigned { upstream, slice } => {
                let Some(key) = self.upstream_key(upstream) else {
                    return;
                };
                if let Some(route) = self.entry_of_mut(key) {
                    route.set(*slice, Some(key));
                }
            }
            OwnershipChange::Unassigned { upstream, slice } => {
                let Some(key) = self.upstream_key(upstream) else {
                    return;
                };
                // The slice's next owner may have become known first.
                if let Some(route) = self.entry_of_mut(key)
                    && route.get(*slice) == Some(key)
                {
                    route.set(*slice, None);
                }
            }
        }
    }

    fn set_host(&mut self, upstream: &UpstreamId, host: Option<&HostId>) {
        let Some(key) = self.upstream_key(upstream) else {
            return;
        };
        let host = host.map(|h| self.host_key(h));
        Arc::make_mut(&mut self.upstreams)[key].host = host;
    }

    fn host_key(&mut self, host: &HostId) -> HostKey {
        if let Some(index) = self.names.hosts.get_index_of(host) {
            return HostKey::from_index(index);
        }
        let names = Arc::make_mut(&mut self.names);
        let (index, _) = names.hosts.insert_full(host.clone());
        HostKey::from_index(index)
    }

    /// Returns mutable access to the entry that an upstream serves.
    fn entry_of_mut(&mut self, upstream: UpstreamKey) -> Option<&mut EntryRoute> {
        let entry = self.upstreams.get(upstream)?.entry?;
        let route = self.entries.get_mut(entry)?.as_mut()?;
        Some(Arc::make_mut(route))
    }
}
