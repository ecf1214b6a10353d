//! Responses in JSON.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::convert::Infallible;

/// The body of a response.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// Why a request is rejected.
#[derive(Debug)]
pub(crate) struct Rejection {
    status: StatusCode,
    error: String,
}

/// The body of a rejection, as programs and people read it.
#[derive(Serialize)]
struct RejectionBody {
    error: String,
}

impl Rejection {
    /// A rejection with this status and this reason.
    pub(crate) fn new(status: StatusCode, error: impl ToString) -> Self {
        Rejection {
            status,
            error: error.to_string(),
        }
    }

    /// The server cannot answer now.
    pub(crate) fn unavailable(error: impl ToString) -> Self {
        Rejection::new(StatusCode::SERVICE_UNAVAILABLE, error)
    }

    /// There is no such path, or nothing of that name.
    pub(crate) fn not_found(error: impl ToString) -> Self {
        Rejection::new(StatusCode::NOT_FOUND, error)
    }

    /// The request is not of the expected form.
    pub(crate) fn bad_request(error: impl ToString) -> Self {
        Rejection::new(StatusCode::BAD_REQUEST, error)
    }
}

impl From<Rejection> for Response<Body> {
    fn from(rejection: Rejection) -> Self {
        let body = RejectionBody {
            error: rejection.error,
        };
        json_response(rejection.status, &body)
    }
}

/// A response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    raw_json_response(status, serde_json::to_vec(body).unwrap_or_default())
}

/// A response with a body that is JSON already.
pub(crate) fn raw_json_response(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(BodyExt::boxed(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
