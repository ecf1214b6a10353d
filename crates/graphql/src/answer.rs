//! Answers: those of the sidecar's own, and what a server's answer means.

use crate::fault::{Code, Fault};
use http::{HeaderMap, header};
use madderloom_balancer::Micros;
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::borrow::Cow;

/// The media type of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Media {
    /// `application/graphql-response+json`, which a client that names none gets too.
    #[default]
    GraphqlResponse,
    /// `application/json`, for clients that take nothing else.
    Json,
}

impl Media {
    /// The value of `Content-Type`.
    pub const fn content_type(self) -> &'static str {
        match self {
            Media::GraphqlResponse => "application/graphql-response+json; charset=utf-8",
            Media::Json => "application/json; charset=utf-8",
        }
    }

    /// The one that the client prefers by its `Accept`. Where it takes neither, its wish is disregarded, as the
    /// specification allows: an error in a form that it does not expect tells more than none.
    pub fn accepted(headers: &HeaderMap) -> Self {
        let (mut response, mut json) = (None, None);
        let lines = headers
            .get_all(header::ACCEPT)
            .iter()
            .filter_map(|line| line.to_str().ok());
        for range in lines.flat_map(|line| line.split(',')).take(64) {
            let mut parts = range.split(';').map(str::trim);
            let media = parts.next().unwrap_or_default().to_ascii_lowercase();
            let weight = parts
                .filter_map(|p| p.strip_prefix("q=").or(p.strip_prefix("Q=")))
                .next();
            let weight = weight.map_or(1.0, |q| q.parse::<f32>().unwrap_or(0.0));
            match media.as_str() {
                "application/graphql-response+json" => response = Some(weight),
                "application/json" => json = Some(weight),
                // What is named goes before what a pattern allows.
                "application/*" | "*/*" => response = response.or(Some(weight)),
                _ => {}
            }
        }
        match (response, json) {
            (Some(response), Some(json)) if json > response => Media::Json,
            (None, Some(json)) if json > 0.0 => Media::Json,
            _ => Media::GraphqlResponse,
        }
    }
}

/// An answer of the sidecar's own.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its content type.
    pub media: Media,
    /// The value of `Allow`.
    pub allow: Option<&'static str>,
    /// The value of `Retry-After`, in microseconds.
    pub retry_after: Option<Micros>,
    /// Its body: one response of GraphQL, or an array of them for a batch.
    pub body: Vec<u8>,
}

impl Reply {
    /// The answer to a message that is at fault, or whose transaction was refused or failed. For a batch there is one
    /// error for each of its `operations`, as its client waits for so many.
    pub fn of(fault: &Fault, operations: Option<usize>, media: Media) -> Self {
        let error = error_object(fault);
        let body = match operations {
            None => error,
            Some(operations) => {
                [b"[".as_slice(), &vec![error; operations].join(&b','), b"]"].concat()
            }
        };
        let allow = match fault.code {
            Code::MethodNotAllowed => Some("GET, POST"),
            Code::MutationOverGet => Some("POST"),
            _ => None,
        };
        Reply {
            status: fault.code.status(),
            media,
            allow,
            retry_after: fault.retry_after,
            body,
        }
    }
}

/// A response of GraphQL that holds one error and, as nothing was executed, no `data`.
pub(crate) fn error_object(fault: &Fault) -> Vec<u8> {
    // Cannot fail: there are only strings in it. An empty object would still be well-formed JSON.
    let error = serde_json::json!({
        "errors": [{ "message": fault.message, "extensions": { "code": fault.code.name() } }]
    });
    error.to_string().into_bytes()
}

/// What a server's answer means for the transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An answer, with errors or without: it goes on unchanged, and the operation is not sent again.
    Answer,
    /// The server does not know the hash of a persisted query: nothing ran. It goes on to the client, which sends the
    /// text.
    NotFound,
    /// No answer of GraphQL. Whether the operation may be sent again follows from its class; it may have run.
    Failure,
}

/// Judges a server's answer by its status, content type and body. `hash_only` says that the message held hashes and no
/// text: only then can "not found" be the server's own word, and not a resolver's.
pub fn judge(status: u16, media: Option<&str>, body: &[u8], hash_only: bool) -> Verdict {
    // An answer in several parts, as to `@defer`: what it holds has run.
    let in_parts = |media: &str| {
        let name = media
            .split(';')
            .next()
            .unwrap_or_default()
            .trim()
            .to_ascii_lowercase();
        matches!(name.as_str(), "multipart/mixed" | "text/event-stream")
    };
    if matches!(status, 200..=299) && media.is_some_and(in_parts) {
        return Verdict::Answer;
    }
    let body = body.strip_prefix(b"\xef\xbb\xbf").unwrap_or(body);
    let is_batch = body.trim_ascii_start().starts_with(b"[");
    let responses: Vec<Response> = match is_batch {
        true => serde_json::from_slice(body).unwrap_or_default(),
        false => serde_json::from_slice(body).into_iter().collect(),
    };
    let well_formed = !responses.is_empty() && responses.iter().all(Response::is_well_formed);
    if hash_only && well_formed && responses.iter().all(Response::is_not_found) {
        return Verdict::NotFound;
    }
    match status {
        200..=299 if well_formed => Verdict::Answer,
        // To a client these say that nothing ran and that it may try again: what came here may say otherwise.
        429 | 503 => Verdict::Failure,
        // Its resolvers have run, in part at least.
        _ if well_formed && responses.iter().any(Response::has_data) => Verdict::Answer,
        // The message's own fault, which another server would find too; but not that it came too late.
        408 | 425 => Verdict::Failure,
        400..=499 => Verdict::Answer,
        _ => Verdict::Failure,
    }
}

#[derive(Deserialize)]
struct Response<'a> {
    #[serde(default, deserialize_with = "there")]
    data: Option<Option<IgnoredAny>>,
    #[serde(borrow, default)]
    errors: Option<Vec<Told<'a>>>,
}

#[derive(Deserialize)]
struct Told<'a> {
    #[serde(borrow, default)]
    message: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    extensions: Option<Extensions<'a>>,
}

#[derive(Deserialize)]
struct Extensions<'a> {
    #[serde(borrow, default)]
    code: Option<Cow<'a, str>>,
}

/// Tells `null` from a value that is not there.
fn there<'de, D: serde::Deserializer<'de>>(
    reader: D,
) -> Result<Option<Option<IgnoredAny>>, D::Error> {
    Option::deserialize(reader).map(Some)
}

impl Response<'_> {
    fn is_well_formed(&self) -> bool {
        self.data.is_some()
            || self
                .errors
                .as_ref()
                .is_some_and(|errors| !errors.is_empty())
    }

    fn has_data(&self) -> bool {
        matches!(self.data, Some(Some(_)))
    }

    /// An error before execution has no `data`, not even null.
    fn is_not_found(&self) -> bool {
        let told = |error: &Told<'_>| {
            let code = error.extensions.as_ref().and_then(|e| e.code.as_deref());
            matches!(
                code,
                Some("PERSISTED_QUERY_NOT_FOUND" | "PERSISTED_QUERY_NOT_SUPPORTED")
            ) || matches!(
                error.message.as_deref(),
                Some("PersistedQueryNotFound" | "PersistedQueryNotSupported")
            )
        };
        self.data.is_none()
            && self
                .errors
                .as_ref()
                .is_some_and(|e| !e.is_empty() && e.iter().all(told))
    }
}
