//! A length-delimited codec for protobuf messages.

use std::fmt;
use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// An error while reading or writing a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed or a frame exceeded the limit.
    #[error("frame: {0}")]
    Io(#[from] std::io::Error),
    /// The frame's bytes can't be decoded as the expected message.
    #[error("frame: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// A codec for messages of type `M`, one in each frame.
pub struct FrameCodec<M> {
    inner: LengthDelimitedCodec,
    message: PhantomData<fn() -> M>,
}

impl<M> Default for FrameCodec<M> {
    fn default() -> Self {
        Self::with_limit(MAX_FRAME_BYTES)
    }
}

impl<M> FrameCodec<M> {
    /// Creates a codec for frames of at most `bytes`.
    #[must_use]
    pub fn with_limit(bytes: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(bytes)
            .new_codec();
        Self {
            inner,
            message: PhantomData,
        }
    }
}

impl<M> fmt::Debug for FrameCodec<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameCodec").finish_non_exhaustive()
    }
}

impl<M: Message + Default> Decoder for FrameCodec<M> {
    type Item = M;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<M>, FrameError> {
        let Some(frame) = self.inner.decode(src)? else {
            return Ok(None);
        };
        Ok(Some(M::decode(frame)?))
    }
}

impl<M: Message> Encoder<M> for FrameCodec<M> {
    type Error = FrameError;

    fn encode(&mut self, item: M, dst: &mut BytesMut) -> Result<(), FrameError> {
        self.inner.encode(Bytes::from(item.encode_to_vec()), dst)?;
        Ok(())
    }
}
