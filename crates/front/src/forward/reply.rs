//! What callers are told.

use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, RetryState};
use gate::headers::strip_hop_by_hop;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use ids::Reason;
use rand::Rng;

/// When a caller should come back if nothing better is known: a few service times.
pub(super) const COME_BACK: Duration = Duration::from_millis(250);

/// When a caller should come back if nobody serves its key.
///
/// Planned moves take less than a request waits for, so that the owner is lost: its keys are served
/// again 3 to 5 s after its loss (docs/OWNERSHIP.md), half of which is left on average. Callers who
/// come back after [`COME_BACK`] use up their tries before that.
pub(super) const KEY_COME_BACK: Duration = Duration::from_millis(1_500);

/// Shortest time to come back: a caller needs about as long to ask anew.
const SHORTEST: Duration = Duration::from_millis(50);

/// A request that is answered without an upstream's answer.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back; only for requests that surely did not run.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// Builds what a caller is told whose time is over; `has_owner` says that one upstream alone may run the request.
pub(super) fn out_of_time(tries: &RetryState, has_owner: bool) -> Refused {
    if tries.may_have_run() {
        Reason::AnswerTimeout.into()
    } else if has_owner {
        // It has waited for its key's owner.
        come_back(Reason::DeadlineTooShort, KEY_COME_BACK)
    } else {
        come_back(Reason::DeadlineTooShort, COME_BACK)
    }
}

/// Builds the answer to a request whose host ends; `sent` counts how often it was sent on.
pub(super) fn cut_off(sent: u32) -> Refused {
    if sent > 0 {
        Reason::HostEnded.into()
    } else {
        come_back(Reason::Leaving, Duration::ZERO)
    }
}

/// Makes a refusal say no more than is known of earlier tries.
pub(super) fn truthful(refused: Refused, tries: &RetryState) -> Refused {
    if tries.may_have_run() {
        return Reason::UpstreamReset.into();
    }
    refused
}

/// Builds what a caller is told whose last try ended as `ended`; `has_owner` says that one upstream alone may
/// run the request.
pub(super) fn given_up(ended: AttemptEnd, tries: &RetryState, has_owner: bool) -> Refused {
    if tries.may_have_run() {
        let reason = ended.reason();
        let is_known = reason.outcome() == ids::Outcome::Unknown;
        return if is_known {
            reason
        } else {
            Reason::UpstreamReset
        }
        .into();
    }
    let after = match ended {
        AttemptEnd::Misdirected | AttemptEnd::Replaced => KEY_COME_BACK,
        // Its keys go to others, which takes as long as if it were known to be lost.
        AttemptEnd::Unsent(Reason::ConnectFailed) if has_owner => KEY_COME_BACK,
        AttemptEnd::Unsent(_) | AttemptEnd::NotRun(_) | AttemptEnd::MayHaveRun(_) => COME_BACK,
    };
    come_back(ended.reason(), after)
}

/// Builds a refusal with a time to come back that is spread, so that callers who are refused
/// together don't return together.
pub(super) fn come_back(reason: Reason, after: Duration) -> Refused {
    let spread = rand::rng().random_range(0.6..1.4);
    Refused {
        reason,
        retry_after: Some(after.mul_f64(spread).max(SHORTEST)),
    }
}

/// Builds a refusal for callers who would surely be refused again before `left` is over; nor are they to come back
/// all at the same moment after it.
pub(super) fn not_before(reason: Reason, left: Duration) -> Refused {
    let spread = rand::rng().random_range(1.0..1.4);
    Refused {
        reason,
        retry_after: Some(left.mul_f64(spread).max(SHORTEST)),
    }
}

pub(super) fn refusal(refused: Refused) -> Response<Full<Bytes>> {
    let reason = refused.reason;
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = format!(
        "{{\"status\":{},\"reason\":\"{}\",\"outcome\":\"{}\",\"detail\":\"{}\"}}",
        status.as_u16(),
        reason.as_str(),
        reason.outcome().as_str(),
        reason.about()
    );
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(after) = refused.retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

pub(super) fn response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
) -> Response<Full<Bytes>> {
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
