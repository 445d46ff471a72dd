//! The items that a catalogue consists of: domains, entries and upstreams.

use std::fmt;
use std::str::FromStr;

use ids::{DomainId, EntryId, InvalidName, UpstreamId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

use crate::declare::{Catalogue, Domain, Entry, Upstream};

/// Maximum size of one item as JSON, in bytes.
///
/// The limit is low because every item is replicated to every host.
pub const MAX_ITEM_BYTES: usize = 32 * 1024;

/// The kind and name of one item, written `domain/NAME`, `entry/NAME` or `upstream/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub enum ItemKey {
    /// A failure domain.
    Domain(DomainId),
    /// An entry.
    Entry(EntryId),
    /// An upstream.
    Upstream(UpstreamId),
}

impl ItemKey {
    /// Returns the kind of item: `domain`, `entry` or `upstream`.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Domain(_) => "domain",
            Self::Entry(_) => "entry",
            Self::Upstream(_) => "upstream",
        }
    }

    /// Returns the name of the item, which is unique within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Domain(id) => id.as_str(),
            Self::Entry(id) => id.as_str(),
            Self::Upstream(id) => id.as_str(),
        }
    }
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind(), self.name())
    }
}

/// An error of parsing an item key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidItemKey {
    /// The text has no slash, or the prefix before it is not one of the three kinds.
    #[error("{0:?} is not an item key: expected domain/NAME, entry/NAME or upstream/NAME")]
    Kind(SmolStr),
    /// The text after the slash is not a valid name.
    #[error(transparent)]
    Name(#[from] InvalidName),
}

impl FromStr for ItemKey {
    type Err = InvalidItemKey;

    fn from_str(text: &str) -> Result<Self, InvalidItemKey> {
        match text.split_once('/') {
            Some(("domain", name)) => Ok(Self::Domain(DomainId::new(name)?)),
            Some(("entry", name)) => Ok(Self::Entry(EntryId::new(name)?)),
            Some(("upstream", name)) => Ok(Self::Upstream(UpstreamId::new(name)?)),
            _ => Err(InvalidItemKey::Kind(text.into())),
        }
    }
}

impl TryFrom<SmolStr> for ItemKey {
    type Error = InvalidItemKey;

    fn try_from(text: SmolStr) -> Result<Self, InvalidItemKey> {
        text.parse()
    }
}

impl From<ItemKey> for SmolStr {
    fn from(key: ItemKey) -> Self {
        smol_str::format_smolstr!("{key}")
    }
}

/// One declared item.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// A failure domain.
    Domain(Domain),
    /// An entry.
    Entry(Entry),
    /// An upstream.
    Upstream(Upstream),
}

impl Item {
    /// Parses the item with the key `key` from JSON.
    ///
    /// # Errors
    ///
    /// Fails if `body` does not have the fields of an item of that kind.
    pub fn from_json(key: &ItemKey, body: &Value) -> serde_json::Result<Self> {
        match key {
            ItemKey::Domain(_) => Domain::deserialize(body).map(Self::Domain),
            ItemKey::Entry(_) => Entry::deserialize(body).map(Self::Entry),
            ItemKey::Upstream(_) => Upstream::deserialize(body).map(Self::Upstream),
        }
    }

    /// Returns the item as JSON, including fields that have their default value.
    ///
    /// # Panics
    ///
    /// Panics if an objective weight is not finite; verification rejects such entries.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let body = match self {
            Self::Domain(d) => serde_json::to_value(d),
            Self::Entry(e) => serde_json::to_value(e),
            Self::Upstream(u) => serde_json::to_value(u),
        };
        body.expect("an item is plain JSON")
    }

    /// Returns the hash of the item's content.
    ///
    /// Equal items have the same hash, whatever the formatting of their declarations.
    #[must_use]
    pub fn hash(&self) -> ContentHash {
        ContentHash::of(self.to_json().to_string().as_bytes())
    }
}

/// A content hash (XXH3, 128 bits), written as 32 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct ContentHash(pub u128);

impl ContentHash {
    /// Hashes `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_128(bytes))
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<ContentHash> for SmolStr {
    fn from(hash: ContentHash) -> Self {
        smol_str::format_smolstr!("{hash}")
    }
}

impl TryFrom<SmolStr> for ContentHash {
    type Error = std::num::ParseIntError;

    fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

impl Catalogue {
    /// Returns the item with the key `key`, if it is declared.
    #[must_use]
    pub fn item(&self, key: &ItemKey) -> Option<Item> {
        match key {
            ItemKey::Domain(id) => self.domains.get(id).cloned().map(Item::Domain),
            ItemKey::Entry(id) => self.entries.get(id).cloned().map(Item::Entry),
            ItemKey::Upstream(id) => self.upstreams.get(id).cloned().map(Item::Upstream),
        }
    }

    /// Returns whether an item with the key `key` is declared.
    #[must_use]
    pub fn contains(&self, key: &ItemKey) -> bool {
        match key {
            ItemKey::Domain(id) => self.domains.contains_key(id),
            ItemKey::Entry(id) => self.entries.contains_key(id),
            ItemKey::Upstream(id) => self.upstreams.contains_key(id),
        }
    }

    /// Returns the keys of all items, sorted.
    #[must_use]
    pub fn keys(&self) -> Vec<ItemKey> {
        let domains = self.domains.keys().cloned().map(ItemKey::Domain);
        let entries = self.entries.keys().cloned().map(ItemKey::Entry);
        let upstreams = self.upstreams.keys().cloned().map(ItemKey::Upstream);
        let mut keys: Vec<ItemKey> = domains.chain(entries).chain(upstreams).collect();
        keys.sort();
        keys
    }

    /// Inserts or replaces the item with the key `key`, or removes it if `item` is `None`.
    ///
    /// An inserted item is placed in the order of names.
    ///
    /// # Panics
    ///
    /// Panics if `item` and `key` are of different kinds.
    pub fn set(&mut self, key: &ItemKey, item: Option<Item>) {
        match (key, item) {
            (ItemKey::Domain(id), Some(Item::Domain(d))) => {
                self.domains.insert_sorted(id.clone(), d);
            }
            (ItemKey::Entry(id), Some(Item::Entry(e))) => {
                self.entries.insert_sorted(id.clone(), e);
            }
            (ItemKey::Upstream(id), Some(Item::Upstream(u))) => {
                self.upstreams.insert_sorted(id.clone(), u);
            }
            (ItemKey::Domain(id), None) => {
                self.domains.shift_remove(id);
            }
            (ItemKey::Entry(id), None) => {
                self.entries.shift_remove(id);
            }
            (ItemKey::Upstream(id), None) => {
                self.upstreams.shift_remove(id);
            }
            _ => panic!("the item for {key} is of another kind"),
        }
    }

    /// Sorts all items by name.
    pub fn sort(&mut self) {
        self.domains.sort_unstable_keys();
        self.entries.sort_unstable_keys();
        self.upstreams.sort_unstable_keys();
    }
}
