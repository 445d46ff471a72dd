//! Pieces of a body, gathered into one.

use bytes::{Bytes, BytesMut};

/// Pieces of a body; a body of one piece is not copied.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    first: Bytes,
    rest: BytesMut,
}

impl Gathered {
    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    pub(crate) fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
            return;
        }
        self.rest.extend_from_slice(&piece);
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
