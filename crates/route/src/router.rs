//! The compiled snapshot from path and key to upstream and host.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use catalogue::{Catalogue, Class, Entry, KeyLocation, Limits, Sharding, Upstream};
use ids::{
    Arena, ArenaKey, DomainId, EntryId, HostId, KeyHash, Reason, Revision, SliceNo, UpstreamId,
};
use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::key::{EntryKey, HostKey, UpstreamKey};
use crate::ownership::{Ownership, OwnershipChange};

/// One entry, as the path of a request needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryRoute {
    /// Name.
    pub id: EntryId,
    /// Whether its requests may run more than once.
    pub class: Class,
    /// Deadline of a request that brings none.
    pub deadline: Duration,
    /// Limits.
    pub limits: Limits,
    /// Whether an answer must echo the request's id.
    pub verify_echo: bool,
    /// Where requests carry their key; none if the entry is not divided by key.
    pub key: Option<KeyLocation>,
    /// Upstreams that serve the entry and are not leaving.
    pub upstreams: Vec<UpstreamKey>,
    /// Owner of each slice.
    owners: Arc<Vec<Option<UpstreamKey>>>,
    /// Owners of keys carved out, sorted by slice.
    hot: Arc<Vec<(SliceNo, UpstreamKey)>>,
}

/// One upstream, as an entry host needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRoute {
    /// Name.
    pub id: UpstreamId,
    /// Entry that it serves; none once it is gone from the catalogue.
    pub entry: Option<EntryKey>,
    /// Failure domain.
    pub domain: Option<DomainId>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is being emptied before it goes.
    pub leaving: bool,
    /// Its coordinating host.
    pub host: Option<HostKey>,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Located<'p> {
    /// Entry.
    pub entry: EntryKey,
    /// Hash of the key; none if the entry is not divided by key.
    pub key: Option<KeyHash>,
    /// Path and query after the entry's own segment; empty or beginning with `/` or `?`.
    pub rest: &'p str,
}

/// Where a request for a key goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Slice that holds the key; none if the entry is not divided by key.
    pub slice: Option<SliceNo>,
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Coordinating host of the upstream.
    pub host: HostKey,
}

/// Names seen so far in one run of a host; a name's position is its key, and none is ever
/// removed, so that keys stay valid in later snapshots.
#[derive(Debug, Clone, Default)]
struct Names {
    entries: IndexSet<EntryId>,
    upstreams: IndexSet<UpstreamId>,
    hosts: IndexSet<HostId>,
}

/// A routing snapshot: built once for each change of catalogue or ownership, then only read.
#[derive(Debug, Clone, Default)]
pub struct Router {
    revision: Revision,
    names: Arc<Names>,
    paths: Arc<IndexMap<SmolStr, EntryKey>>,
    entries: Arena<EntryKey, Option<Arc<EntryRoute>>>,
    upstreams: Arena<UpstreamKey, UpstreamRoute>,
}

impl Router {
    /// Builds a snapshot; keys of `previous` stay valid in it.
    #[must_use]
    pub fn build(previous: &Self, catalogue: &Catalogue, ownership: &Ownership) -> Self {
        todo!()
    }

    /// Builds the snapshot that follows from this one by changes of ownership alone.
    ///
    /// It copies only the entries that changed. Changes that name an upstream or a slice that
    /// the catalogue does not hold are passed over.
    #[must_use]
    pub fn changed(&self, revision: Revision, changes: &[OwnershipChange]) -> Self {
        todo!()
    }

    /// Returns the highest table revision that went into the snapshot.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Finds the entry and the key that a request names.
    ///
    /// `header` returns the value of the header of that (lower-case) name. Escapes in a path
    /// segment are decoded before hashing, so that each spelling of a key has one owner.
    /// It allocates nothing.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal if the path names no entry, the key is missing or
    /// the path is malformed.
    pub fn locate<'p, 'h>(
        &self,
        path: &'p str,
        header: impl Fn(&str) -> Option<&'h [u8]>,
    ) -> Result<Located<'p>, Reason> {
        todo!()
    }

    /// Finds the slice, the upstream and the coordinating host that serve a key.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NoOwner`] if nobody owns the key's slice or nobody coordinates its
    /// owner, and with [`Reason::UnknownEntry`] if the entry is gone.
    pub fn owner(&self, entry: EntryKey, key: KeyHash) -> Result<Target, Reason> {
        todo!()
    }

    /// Builds the target of a request that is not divided by key, for the chosen upstream.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::NoOwner`] if nobody coordinates the upstream.
    pub fn target(&self, upstream: UpstreamKey) -> Result<Target, Reason> {
        todo!()
    }

    /// Returns an entry, unless it is gone from the catalogue.
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

    /// Returns the key of an entry that this run has ever seen.
    #[must_use]
    pub fn entry_key(&self, id: &EntryId) -> Option<EntryKey> {
        self.names
            .entries
            .get_index_of(id)
            .map(EntryKey::from_index)
    }

    /// Returns the key of an upstream that this run has ever seen.
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
}
