//! Messages that hosts exchange about requests to upstreams that only one of them reaches.

use std::time::Duration;

use bytes::Bytes;
use direct::AttemptEnd;
use gate::upstream::conn::AnswerHead;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use ids::Reason;

use super::calls::PeerCall;
use crate::upstream_client::Outgoing;

/// What a host asks another one for.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct PeerRequest {
    #[prost(oneof = "Ask", tags = "1, 2")]
    pub(super) ask: Option<Ask>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub(super) enum Ask {
    /// To send a request to an upstream.
    #[prost(message, tag = "1")]
    Exchange(ExchangeRequest),
    /// Whether it reaches an upstream.
    #[prost(message, tag = "2")]
    Probe(ProbeRequest),
}

/// A question whether a host reaches an upstream.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub(super) struct ProbeRequest {
    #[prost(string, tag = "1")]
    pub(super) upstream: String,
    /// Milliseconds since the asking host failed to reach it: what arrived before proves nothing.
    #[prost(uint32, tag = "2")]
    pub(super) since_ms: u32,
}

/// A request to an upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct ExchangeRequest {
    #[prost(string, tag = "1")]
    pub(super) upstream: String,
    /// Identifier of the request.
    #[prost(string, tag = "2")]
    pub(super) id: String,
    /// Milliseconds until the caller's deadline.
    #[prost(uint32, tag = "3")]
    pub(super) left_ms: u32,
    #[prost(string, tag = "4")]
    method: String,
    #[prost(string, tag = "5")]
    path: String,
    #[prost(message, repeated, tag = "6")]
    headers: Vec<Header>,
    #[prost(bytes = "bytes", tag = "7")]
    body: Bytes,
    /// Whether the request may be given up and sent again if the link is lost meanwhile.
    #[prost(bool, tag = "8")]
    pub(super) is_idempotent: bool,
    /// Milliseconds since the receiver's last message on this connection after which the request is not
    /// sent to the upstream.
    #[prost(uint32, optional, tag = "9")]
    pub(super) send_within_ms: Option<u32>,
    /// Whether it is a control call, whose headers are sent as they are.
    #[prost(bool, tag = "10")]
    pub(super) is_control: bool,
}

#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
struct Header {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct PeerReply {
    #[prost(oneof = "Outcome", tags = "1, 2, 3, 4, 5")]
    pub(super) outcome: Option<Outcome>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub(super) enum Outcome {
    /// The upstream responded.
    #[prost(message, tag = "1")]
    Response(ResponseMessage),
    /// The exchange ended without a whole response.
    #[prost(message, tag = "2")]
    Failed(FailureMessage),
    /// The host does not reach the upstream, and nothing was sent; whether it seems to reach none.
    #[prost(bool, tag = "3")]
    Unreachable(bool),
    /// The host takes no more requests of others for now; nothing was sent.
    #[prost(bool, tag = "4")]
    Busy(bool),
    /// The host reaches the upstream.
    #[prost(bool, tag = "5")]
    Reached(bool),
}

/// A response of an upstream, or its head.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct ResponseMessage {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(message, repeated, tag = "2")]
    headers: Vec<Header>,
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) body: Bytes,
}

/// The end of an exchange without a whole response.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct FailureMessage {
    #[prost(enumeration = "FailureKind", tag = "1")]
    kind: i32,
    /// Name of the reason.
    #[prost(string, tag = "2")]
    reason: String,
    /// The head of the response, if it arrived.
    #[prost(message, optional, tag = "3")]
    pub(super) head: Option<ResponseMessage>,
}

/// [`AttemptEnd`] on the wire. An unknown kind counts as the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(prost::Enumeration)]
enum FailureKind {
    MayHaveRun = 0,
    NotRun = 1,
    Unsent = 2,
}

/// A message that does not contain what it must.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("decode message of a host: {field} is not valid")]
pub(super) struct InvalidMessage {
    field: &'static str,
}

impl ExchangeRequest {
    pub(super) fn new(outgoing: &Outgoing<'_>, left: Duration, request: Request<Bytes>) -> Self {
        let (parts, body) = request.into_parts();
        Self {
            upstream: outgoing.target.id.to_string(),
            id: outgoing.id.to_owned(),
            left_ms: to_ms(left),
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            headers: encode_headers(&parts.headers),
            body,
            is_idempotent: outgoing.is_idempotent,
            send_within_ms: None,
            is_control: false,
        }
    }

    /// Builds the message of a control call that must be sent within `send_within`, if given.
    pub(super) fn control(call: &PeerCall, left: Duration, send_within: Option<Duration>) -> Self {
        let request = &call.request;
        Self {
            upstream: call.upstream.to_string(),
            id: call.id.to_string(),
            left_ms: to_ms(left),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            headers: encode_headers(request.headers()),
            body: request.body().clone(),
            send_within_ms: send_within.map(to_ms),
            is_control: true,
            ..Self::default()
        }
    }

    /// Returns the request.
    pub(super) fn to_request(&self) -> Result<Request<Full<Bytes>>, InvalidMessage> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::from_bytes(self.method.as_bytes())
            .map_err(|_invalid| InvalidMessage { field: "method" })?;
        let path = self.path.parse::<Uri>();
        *request.uri_mut() = path.map_err(|_invalid| InvalidMessage { field: "path" })?;
        *request.headers_mut() = decode_headers(&self.headers)?;
        Ok(request)
    }

    /// Returns the number of bytes of the body.
    pub(super) fn body_bytes(&self) -> usize {
        self.body.len()
    }
}

impl ResponseMessage {
    pub(super) fn new(head: &AnswerHead, body: Bytes) -> Self {
        Self {
            status: head.status.as_u16().into(),
            headers: encode_headers(&head.headers),
            body,
        }
    }

    /// Returns the head of the response.
    pub(super) fn head(&self) -> Result<AnswerHead, InvalidMessage> {
        let status = u16::try_from(self.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        Ok(AnswerHead {
            status: status.ok_or(InvalidMessage { field: "status" })?,
            headers: decode_headers(&self.headers)?,
        })
    }
}

impl FailureMessage {
    pub(super) fn new(end: AttemptEnd, head: Option<&AnswerHead>) -> Self {
        let kind = match end {
            AttemptEnd::Unsent(_) => FailureKind::Unsent,
            AttemptEnd::NotRun(_) | AttemptEnd::Misdirected | AttemptEnd::Replaced => {
                FailureKind::NotRun
            }
            AttemptEnd::MayHaveRun(_) => FailureKind::MayHaveRun,
        };
        Self {
            kind: kind.into(),
            reason: end.reason().as_str().to_owned(),
            head: head.map(|head| ResponseMessage::new(head, Bytes::new())),
        }
    }

    /// Returns how the attempt ended.
    pub(super) fn end(&self) -> AttemptEnd {
        let reason = self.reason.parse().ok();
        match self.kind() {
            FailureKind::MayHaveRun => {
                AttemptEnd::MayHaveRun(reason.unwrap_or(Reason::UpstreamReset))
            }
            FailureKind::NotRun => AttemptEnd::NotRun(reason.unwrap_or(Reason::UpstreamShed)),
            FailureKind::Unsent => AttemptEnd::Unsent(reason.unwrap_or(Reason::ConnectFailed)),
        }
    }
}

fn to_ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

fn decode_headers(headers: &[Header]) -> Result<HeaderMap, InvalidMessage> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|_invalid| InvalidMessage {
            field: "header name",
        })?;
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        let value = value.map_err(|_invalid| InvalidMessage {
            field: "header value",
        })?;
        decoded.append(name, value);
    }
    Ok(decoded)
}
