//! Extraction of keys from paths and headers.

use ids::{KeyHash, Reason};

/// Maximum length in bytes, after decoding, of a key that is percent-encoded in a path.
pub const MAX_ESCAPED_KEY_BYTES: usize = 256;

/// Splits a path into its first segment and the rest.
pub fn first_segment(path: &str) -> Result<(&str, &str), Reason> {
    let path = path.strip_prefix('/').ok_or(Reason::BadRequest)?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    Ok(path.split_at(end))
}

/// Hashes the key in a header value.
pub fn header_key(value: Option<&[u8]>) -> Result<KeyHash, Reason> {
    let key = value.ok_or(Reason::MissingKey)?.trim_ascii();
    if key.is_empty() {
        return Err(Reason::MissingKey);
    }
    Ok(KeyHash::of(key))
}

/// Hashes the key in segment `n` of `rest`, the path after the entry's own segment.
///
/// Segments `.` and `..` are rejected: an upstream that resolves them would see another key.
pub fn segment_key(rest: &str, n: u32) -> Result<KeyHash, Reason> {
    let path = rest.split('?').next().unwrap_or_default();
    let segments = path.strip_prefix('/').ok_or(Reason::MissingKey)?;
    let mut remaining = n;
    for segment in segments.split('/') {
        let mut buf = [0; MAX_ESCAPED_KEY_BYTES];
        let key = decode(segment, &mut buf)?;
        if matches!(key, b"." | b"..") {
            return Err(Reason::BadRequest);
        }
        if remaining > 0 {
            remaining -= 1;
            continue;
        }
        if key.is_empty() {
            return Err(Reason::MissingKey);
        }
        return Ok(KeyHash::of(key));
    }
    Err(Reason::MissingKey)
}

/// Decodes the percent escapes of a segment; a segment without escapes is returned unchanged.
fn decode<'a>(
    segment: &'a str,
    buf: &'a mut [u8; MAX_ESCAPED_KEY_BYTES],
) -> Result<&'a [u8], Reason> {
    let bytes = segment.as_bytes();
    if !bytes.contains(&b'%') {
        return Ok(bytes);
    }
    let mut used = 0;
    let mut i = 0;
    while i < bytes.len() {
        let slot = buf.get_mut(used).ok_or(Reason::BadRequest)?;
        *slot = match bytes[i] {
            b'%' => {
                let byte = decode_escape(bytes.get(i + 1..i + 3))?;
                i += 2;
                byte
            }
            plain => plain,
        };
        used += 1;
        i += 1;
    }
    Ok(&buf[..used])
}

fn decode_escape(digits: Option<&[u8]>) -> Result<u8, Reason> {
    let &[high, low] = digits.ok_or(Reason::BadRequest)? else {
        return Err(Reason::BadRequest);
    };
    let value = |c: u8| char::from(c).to_digit(16).ok_or(Reason::BadRequest);
    Ok((value(high)? * 16 + value(low)?) as u8)
}
