//! Refusals and other responses to callers.

use std::time::Duration;

use bytes::Bytes;
use direct::{AttemptEnd, RetryState};
use gate::headers::strip_hop_by_hop;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use ids::Reason;
use rand::Rng;

/// Default time until a caller should retry: a few service times.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time until a caller should retry if no upstream serves its key.
///
/// Planned moves take less time than a request waits, so its owner has failed. The keys are served
/// again 3 to 5 s after the failure (docs/OWNERSHIP.md); half of that is left on average. Callers
/// who retry after [`DEFAULT_RETRY_AFTER`] use up their attempts before that.
pub(super) const KEY_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Minimum time until a retry: a caller needs about as long to send the request again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The answer to a request that no upstream answered.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// When the caller should retry; only for requests that certainly did not run.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// Builds the refusal for a request whose deadline has passed; `has_owner` says that only one
/// upstream may run the request.
pub(super) fn refusal_at_deadline(retry_state: &RetryState, has_owner: bool) -> Refusal {
    if retry_state.may_have_run() {
        Reason::AnswerTimeout.into()
    } else if has_owner {
        // The request has waited for its key's owner.
        refuse_for_about(Reason::DeadlineTooShort, KEY_RETRY_AFTER)
    } else {
        refuse_for_about(Reason::DeadlineTooShort, DEFAULT_RETRY_AFTER)
    }
}

/// Builds the refusal for a request in flight when the host stops; `sent` is the number of times
/// that it was sent.
pub(super) fn refusal_at_shutdown(sent: u32) -> Refusal {
    if sent > 0 {
        Reason::HostEnded.into()
    } else {
        refuse_for_about(Reason::Leaving, Duration::ZERO)
    }
}

/// Changes a refusal to one with an unknown outcome if an earlier attempt may have run.
pub(super) fn account_for_attempts(refusal: Refusal, retry_state: &RetryState) -> Refusal {
    if retry_state.may_have_run() {
        return Reason::UpstreamReset.into();
    }
    refusal
}

/// Builds the refusal for a request whose last attempt ended with `end`; `has_owner` says that
/// only one upstream may run the request.
pub(super) fn refusal_after_failure(
    end: AttemptEnd,
    retry_state: &RetryState,
    has_owner: bool,
) -> Refusal {
    if retry_state.may_have_run() {
        let reason = end.reason();
        let has_unknown_outcome = reason.outcome() == ids::Outcome::Unknown;
        return if has_unknown_outcome {
            reason
        } else {
            Reason::UpstreamReset
        }
        .into();
    }
    let after = match end {
        AttemptEnd::Misdirected | AttemptEnd::Replaced => KEY_RETRY_AFTER,
        // The keys go to other upstreams, which takes as long as if the failure were already known.
        AttemptEnd::Unsent(Reason::ConnectFailed) if has_owner => KEY_RETRY_AFTER,
        AttemptEnd::Unsent(_) | AttemptEnd::NotRun(_) | AttemptEnd::MayHaveRun(_) => {
            DEFAULT_RETRY_AFTER
        }
    };
    refuse_for_about(end.reason(), after)
}

/// Builds a refusal with a randomized time to retry, so that callers that are refused together
/// don't return together.
pub(super) fn refuse_for_about(reason: Reason, after: Duration) -> Refusal {
    let jitter = rand::rng().random_range(0.6..1.4);
    Refusal {
        reason,
        retry_after: Some(after.mul_f64(jitter).max(MIN_RETRY_AFTER)),
    }
}

/// Builds a refusal for callers that would certainly be refused again before `left` is over. The
/// randomized time to retry is never shorter and spreads the callers after it.
pub(super) fn refuse_for_at_least(reason: Reason, left: Duration) -> Refusal {
    let jitter = rand::rng().random_range(1.0..1.4);
    Refusal {
        reason,
        retry_after: Some(left.mul_f64(jitter).max(MIN_RETRY_AFTER)),
    }
}

pub(super) fn refusal_response(refusal: Refusal) -> Response<Full<Bytes>> {
    let reason = refusal.reason;
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
    if let Some(after) = refusal.retry_after {
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
