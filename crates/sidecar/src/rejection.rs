//! Requests that are rejected before they reach the balancer: why, and the response that their clients get.

use super::reason_counts::Reason;
use super::response_body::ResponseBody;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use madderloom_balancer::Micros;

/// Why a request is rejected before it reaches the balancer.
pub(super) enum RequestError {
    /// The request is invalid. Further bytes on the connection may belong to it, so the connection is closed.
    Invalid(StatusCode, &'static str),
    /// Something that it needs is used up. Nothing of it was executed, and it may be sent again.
    Exhausted(Exhaustion),
}

impl RequestError {
    /// The response to the request; `max_retry_after` is the longest advice that the settings allow, if any.
    pub(super) fn into_response(self, max_retry_after: Option<Micros>) -> Response<ResponseBody> {
        match self {
            RequestError::Exhausted(exhaustion) => {
                unavailable_response(exhaustion.text(), exhaustion.retry_after(max_retry_after))
            }
            RequestError::Invalid(status, message) => {
                let mut response = text_response(status, message);
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
                response
            }
        }
    }
}

pub(super) const fn bad_request(message: &'static str) -> RequestError {
    RequestError::Invalid(StatusCode::BAD_REQUEST, message)
}

/// What a request finds used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exhaustion {
    /// Too many requests are in flight.
    Requests,
    /// The limit on the bytes of request bodies is reached.
    BodyBytes,
    /// There is no memory for its body.
    Memory,
    /// Its deadline has passed before all of its body was read.
    Deadline,
    /// Its client sends the body more slowly than it has to, while others wait for memory or connections.
    SlowClient,
    /// Too many requests have come; one is admitted again after this time.
    Rate(Micros),
    /// A fleet-wide limit is reached.
    FleetLimit {
        /// When one may be admitted again, if that is known.
        retry_after: Option<Micros>,
        /// No lease of the limit is valid.
        without_lease: bool,
    },
}

impl Exhaustion {
    /// The body of the response.
    fn text(self) -> &'static str {
        match self {
            Exhaustion::Requests => "too many requests are open",
            Exhaustion::BodyBytes
            | Exhaustion::Memory
            | Exhaustion::Deadline
            | Exhaustion::SlowClient => "too much is open",
            Exhaustion::Rate(_) => "too many requests have come",
            Exhaustion::FleetLimit {
                without_lease: true,
                ..
            } => "a fleet limit lets no more in, and no lease of it holds",
            Exhaustion::FleetLimit { .. } => "a fleet limit lets no more in",
        }
    }

    /// The advice for `Retry-After`, if the settings allow any. Clients honour none that is longer than `max_retry_after`.
    pub(super) fn retry_after(self, max_retry_after: Option<Micros>) -> Option<Micros> {
        let own = match self {
            Exhaustion::Rate(retry_after) => Some(retry_after),
            Exhaustion::FleetLimit { retry_after, .. } => retry_after,
            _ => None,
        };
        max_retry_after.map(|max| own.map_or(max, |own| own.min(max)))
    }
}

impl Reason for Exhaustion {
    const NAMES: &'static [&'static str] = &[
        "requests",
        "body_bytes",
        "memory",
        "deadline",
        "slow_client",
        "rate",
        "fleet_limit",
    ];

    fn index(self) -> usize {
        match self {
            Exhaustion::Requests => 0,
            Exhaustion::BodyBytes => 1,
            Exhaustion::Memory => 2,
            Exhaustion::Deadline => 3,
            Exhaustion::SlowClient => 4,
            Exhaustion::Rate(_) => 5,
            Exhaustion::FleetLimit { .. } => 6,
        }
    }
}

pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Full::from(text)));
    *response.status_mut() = status;
    response
}

pub(super) fn unavailable_response(
    text: &'static str,
    retry_after: Option<Micros>,
) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Some(retry_after) = retry_after.and_then(retry_after_value) {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after);
    }
    response
}

/// The text of `Retry-After`, in seconds.
pub(super) fn retry_after_text(span: Micros) -> String {
    (span as f64 / 1e6).to_string()
}

/// The value of `Retry-After`.
pub(super) fn retry_after_value(span: Micros) -> Option<HeaderValue> {
    HeaderValue::from_maybe_shared(Bytes::from(retry_after_text(span))).ok()
}
