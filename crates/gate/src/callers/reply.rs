//! Builds responses to callers: answers and refusals.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use ids::{Outcome, Reason, RequestId};

use crate::call::Answer;
use crate::headers;
use crate::problem::{PROBLEM_TYPE, problem_body, retry_after_seconds};

/// Builds the response from an upstream's answer.
pub(crate) fn answered(answer: Answer, id: &RequestId) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    add_outcome(response.headers_mut(), Outcome::Answered, id);
    response
}

/// Builds the response of a refusal.
pub(crate) fn refused(
    reason: Reason,
    retry_after: Option<Duration>,
    id: &RequestId,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(problem_body(reason, id, retry_after)));
    *response.status_mut() =
        StatusCode::from_u16(reason.status()).expect("reasons have valid statuses");
    let headers = response.headers_mut();
    add_outcome(headers, reason.outcome(), id);
    headers.insert(&headers::REASON, HeaderValue::from_static(reason.as_str()));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(span) = retry_after {
        headers.insert(header::RETRY_AFTER, retry_after_seconds(span).into());
    }
    response
}

fn add_outcome(headers: &mut HeaderMap, outcome: Outcome, id: &RequestId) {
    headers.insert(
        &headers::OUTCOME,
        HeaderValue::from_static(outcome.as_str()),
    );
    let id = HeaderValue::from_str(id.as_str()).expect("names are valid header values");
    headers.insert(&headers::REQUEST_ID, id);
}
