//! Collects the chunks of a body.

use bytes::{Bytes, BytesMut};

/// The chunks of a body read so far; a body of one chunk is not copied.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
}

impl BodyBuffer {
    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    pub(crate) fn push(&mut self, chunk: Bytes) {
        if self.first.is_empty() {
            self.first = chunk;
            return;
        }
        self.rest.extend_from_slice(&chunk);
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() {
            return self.first;
        }
        let mut whole = BytesMut::with_capacity(self.len());
        whole.extend_from_slice(&self.first);
        whole.extend_from_slice(&self.rest);
        whole.freeze()
    }
}
