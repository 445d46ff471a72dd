//! Which headers are forwarded and which are removed.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use wire::dispatch::Header;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the sender writes itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// [`ids::header::REQUEST_ID`], validated and hashed in advance, like the names below.
pub static REQUEST_ID: HeaderName = HeaderName::from_static(ids::header::REQUEST_ID);
/// [`ids::header::DEADLINE_MS`].
pub static DEADLINE_MS: HeaderName = HeaderName::from_static(ids::header::DEADLINE_MS);
/// [`ids::header::OUTCOME`].
pub static OUTCOME: HeaderName = HeaderName::from_static(ids::header::OUTCOME);
/// [`ids::header::REASON`].
pub static REASON: HeaderName = HeaderName::from_static(ids::header::REASON);
/// [`ids::header::EPOCH`].
pub static EPOCH: HeaderName = HeaderName::from_static(ids::header::EPOCH);
/// [`ids::header::ENTRY`].
pub static ENTRY: HeaderName = HeaderName::from_static(ids::header::ENTRY);
/// [`ids::header::SLICE`].
pub static SLICE: HeaderName = HeaderName::from_static(ids::header::SLICE);

/// Prefix of the headers that callers and upstreams may not set for each other.
const CONTROL_PREFIX: &str = "medlardyke-";

/// Removes headers that must not be forwarded from a caller to an upstream; `key` is the header
/// that holds the entry's key, if any.
pub fn strip_request(headers: &mut HeaderMap, key: Option<&str>) {
    strip_hop_by_hop(headers);
    strip_control(headers, key);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(header::HOST);
}

/// Removes headers that must not be forwarded from an upstream to a caller.
///
/// `keep_length` keeps the declared length, for answers that never have a body (`HEAD`, 304).
pub fn strip_answer(headers: &mut HeaderMap, keep_length: bool) {
    strip_hop_by_hop(headers);
    strip_control(headers, None);
    if !keep_length {
        headers.remove(header::CONTENT_LENGTH);
    }
}

/// Returns the size of the headers in bytes, as written in HTTP/1.1.
#[must_use]
pub fn head_bytes(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum()
}

/// Converts headers to those of a frame.
#[must_use]
pub fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Converts the headers of a frame; returns `None` if one of them is not valid.
#[must_use]
pub fn from_wire(headers: Vec<Header>) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(header.value).ok()?;
        map.append(name, value);
    }
    Some(map)
}

/// Removes hop-by-hop headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect()
}

fn strip_control(headers: &mut HeaderMap, keep: Option<&str>) {
    let is_control = |name: &HeaderName| {
        let text = name.as_str();
        text.starts_with(CONTROL_PREFIX) && !keep.is_some_and(|k| k.eq_ignore_ascii_case(text))
    };
    if !headers.keys().any(is_control) {
        return;
    }
    let names: Vec<HeaderName> = headers.keys().filter(|n| is_control(n)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}
