//! Encoding of row values as base64 text.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[expect(
    clippy::ref_option,
    reason = "serde's `with` passes a reference to the field"
)]
pub(super) fn serialize<S: Serializer>(value: &Option<Bytes>, to: S) -> Result<S::Ok, S::Error> {
    value.as_ref().map(|v| STANDARD.encode(v)).serialize(to)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Bytes>, D::Error> {
    let Some(text) = Option::<String>::deserialize(from)? else {
        return Ok(None);
    };
    let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
    Ok(Some(Bytes::from(bytes)))
}
