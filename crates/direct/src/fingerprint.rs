//! Fingerprints of requests, which don't depend on the caller or on the host that gets the request.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a request asks for: its method, host, path with query, and body.
///
/// A caller's repeat has the same fingerprint as the request that it repeats, under a request id of
/// its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Hashes a request (XXH3, 64 bits).
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for field in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // Without the lengths, moving bytes from one field to the next would give the same
            // hash.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
