//! What an agent and a relay share of HTTP: callers, request bodies, responses in JSON, and watches.

mod caller;
mod request;
mod response;
mod watch;

pub(crate) use caller::Caller;
pub(crate) use request::{check_name_in_path, instance_permission, number_in_query, read_json};
pub(crate) use response::{Body, Rejection, json_response, raw_json_response};
pub(crate) use watch::WatchResponder;
