//! Reading requests: their paths, queries and bodies.

use super::response::HttpError;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use madderloom_control_plane::protocol::ToAgent;
use madderloom_pki::Permission;
use madderloom_watchdog::timeout;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// The time limit of the body of a request. No measurement behind it.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The permission that a request of an instance needs: to act as that instance. None: it is another request. `segments` are
/// those of the path.
pub(crate) fn instance_permission<'a>(
    method: &Method,
    segments: &[&'a str],
) -> Option<Permission<'a>> {
    match (method, segments) {
        (&Method::POST, ["v1", "instances", name, "register" | "report"])
        | (&Method::GET, ["v1", "instances", name, "orders"]) => {
            Some(Permission::ActAsInstance(name))
        }
        _ => None,
    }
}

/// Reads the body of a request, of `max_length` bytes at most, as JSON.
///
/// # Errors
/// The body is too long, takes too long, breaks off, or is not of the expected form.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_length: usize,
) -> Result<T, HttpError> {
    let body = Limited::new(request.into_body(), max_length).collect();
    let body = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(HttpError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("more than {max_length} bytes"),
            ));
        }
        Ok(Err(error)) => return Err(HttpError::bad_request(error)),
        Err(_) => {
            return Err(HttpError::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body has not come",
            ));
        }
    };
    serde_json::from_slice(&body).map_err(HttpError::bad_request)
}

/// Checks that a message is of the instance that the path names.
///
/// # Errors
/// It is of another one.
pub(crate) fn check_name_in_path(message: &ToAgent, name_in_path: &str) -> Result<(), HttpError> {
    let name = &message.sender().name;
    if name == name_in_path {
        return Ok(());
    }
    let error = format!("name: is {name:?}, and {name_in_path:?} in the path");
    Err(HttpError::bad_request(error))
}

/// The value of a number in the query of a request.
///
/// # Errors
/// The query does not name it, or its value is no number.
pub(crate) fn number_in_query(request: &Request<Incoming>, name: &str) -> Result<u64, HttpError> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name);
    value
        .and_then(|(_, value)| value.parse().ok())
        .ok_or_else(|| HttpError::bad_request(format!("{name}: is missing; write ?{name}=NUMBER")))
}
