//! What a request asks, whoever sends it and whichever host gets it.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// Names what a request asks: its method, host, path with query, and body.
///
/// A caller's repeat has the content of the request that it repeats, under an id of its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Content(pub u64);

impl Content {
    /// Hashes the parts of a request (XXH3, 64 bits).
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // Without its length, a part could pass for the end of the one before.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
