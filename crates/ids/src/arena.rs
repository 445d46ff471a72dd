//! Dense maps with small `Copy` keys.

use std::fmt::Debug;
use std::marker::PhantomData;

/// A small index that identifies an item of an [`Arena`].
pub trait ArenaKey: Copy + Debug + Eq {
    /// Builds the key of the item at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the position of the item.
    fn index(self) -> usize;
}

/// Declares a key type for an [`Arena`].
///
/// The generated type wraps a `u32`.
#[macro_export]
macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds at most 2^32 items"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// A dense map that assigns keys in ascending order and never reuses them.
#[derive(Debug, Clone)]
pub struct Arena<K, V> {
    items: Vec<V>,
    key: PhantomData<K>,
}

impl<K: ArenaKey, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: ArenaKey, V> Arena<K, V> {
    /// Creates an empty arena.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `value` and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::from_index(self.items.len());
        self.items.push(value);
        key
    }

    /// Returns the item with this key, if the arena contains it.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// Returns a mutable reference to the item with this key, if the arena contains it.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.items.get_mut(key.index())
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over keys and items in order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items
            .iter()
            .enumerate()
            .map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates over keys and mutable items in order of insertion.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.items
            .iter_mut()
            .enumerate()
            .map(|(i, v)| (K::from_index(i), v))
    }
}

impl<K: ArenaKey, V> std::ops::Index<K> for Arena<K, V> {
    type Output = V;

    /// Returns the item with this key.
    ///
    /// # Panics
    ///
    /// Panics if `index` comes from another arena and is out of bounds for this one.
    fn index(&self, index: K) -> &V {
        &self.items[index.index()]
    }
}

impl<K: ArenaKey, V> std::ops::IndexMut<K> for Arena<K, V> {
    fn index_mut(&mut self, index: K) -> &mut V {
        &mut self.items[index.index()]
    }
}
