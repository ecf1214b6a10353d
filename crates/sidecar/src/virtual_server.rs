//! The virtual server: the client's side of one request. It reads it, finds the service that it is for, makes room
//! for it, and gives the answer back.

use super::active_settings::ClassEntry;
use super::attempt::{ForwardedRequest, ResponseProtocol};
use super::client::Client;
use super::counts::increment;
use super::fleet_limits::FleetPermit;
use super::graphql;
use super::limits::LimitExceeded;
use super::listener::{Listener, ListenerSettings};
use super::process_state::ProcessState;
use super::response_body::{ResponseBody, ResponseResources};
use super::routing::{ClassSource, Routing};
use super::service::Service;
use super::state_writer::IdempotencyRecord;
use super::transaction::{self, FinalResponse};
use super::upload::{self, BodyLength, BodyReservations};
use bytes::Bytes;
use http_body_util::{BodyExt, Full as Whole};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use madderloom_balancer::{Micros, NewRequest, RequestId, RetrySafety};
use madderloom_routing::request::{Asked, Fault, split_key, subject};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::rc::Rc;

/// A client counts its time from the sending, which is a little before the reading.
pub(super) const CLIENT_DEADLINE_MARGIN: Micros = 1_000;

pub(super) const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
const EXPIRES: HeaderName = HeaderName::from_static("x-expires-in-ms");
const SECOND_TRY: HeaderName = HeaderName::from_static("x-second-try");
const SIZE_HINT: HeaderName = HeaderName::from_static("x-size-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// One request's id among those that are open at its service; free again when this is dropped.
pub(super) struct InFlightRequestId<'a> {
    of: &'a Service,
    id: HeaderValue,
}

impl<'a> InFlightRequestId<'a> {
    pub(super) fn new(of: &'a Service, id: &HeaderValue) -> Result<Self, RequestError> {
        if !of.request_ids.borrow_mut().insert(id.clone()) {
            return Err(RequestError::Invalid(
                StatusCode::CONFLICT,
                "a request with this X-Trace-Id is open",
            ));
        }
        Ok(InFlightRequestId { of, id: id.clone() })
    }
}

impl Drop for InFlightRequestId<'_> {
    fn drop(&mut self) {
        self.of.release_request_id(&self.id);
    }
}

/// Why a request goes no further than here.
pub(super) enum RequestError {
    /// It makes no sense. What else comes on its connection may be a part of it, so the connection is closed.
    Invalid(StatusCode, &'static str),
    /// There is no room for it now.
    LimitReached(&'static str, Option<Micros>),
}

/// Too long to be recorded, so that it could never be sent.
const LONG_ID: RequestError = bad_request(
    "the id of a request that must not run twice is over 1,024 bytes with its header's name",
);

pub(super) const fn bad_request(problem: &'static str) -> RequestError {
    RequestError::Invalid(StatusCode::BAD_REQUEST, problem)
}

/// One request and its answer.
pub(super) async fn handle_request(
    listener: &Rc<Listener>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let came = listener.process.clock.now();
    if client.ambiguous.get() {
        increment(&listener.counts.client_errors);
        return rejected(bad_request("it is not certain where the message ends"));
    }
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        return ready(listener, request.uri().query());
    }
    let (head, body) = request.into_parts();
    let (service, class) = match find(listener, &head) {
        Ok(found) => found,
        Err(reject) => {
            increment(&listener.counts.client_errors);
            return rejected(reject);
        }
    };
    listener.charge(&client.charged, &service);
    let class = match class {
        ClassSource::Graphql => {
            return graphql::handle_request(listener, client, &service, came, head, body).await;
        }
        ClassSource::Route(class) => Some(class),
        ClassSource::Path => None,
    };
    let settings = listener.settings.get();
    let mut body = Some(body);
    // Held to the end of the request: until then its rules stay those that it came under.
    let entry = class_of(&service, class.as_deref(), &head);
    let mut room = BodyReservations::new();
    let taken = async {
        let new = read(&service, entry.as_deref(), &head)?;
        let length = BodyLength::from_head(body.as_ref(), &head.headers, settings.max_body_size)?;
        let id = head
            .headers
            .get(TRACE_ID)
            .ok_or(bad_request("X-Trace-Id is missing"))?;
        let held = (
            admit(listener, &service, came, 0)?,
            admit_by_fleet_limits(&service, entry.as_deref(), &head.headers)?,
        );
        let id = InFlightRequestId::new(&service, id)?;
        let upload = upload::read_body(
            listener,
            &service,
            &mut body,
            length,
            settings.max_body_size,
            &mut room,
        )
        .await?;
        if service.transactions.borrow().len() >= service.active_settings().site.max_open {
            return Err(RequestError::LimitReached(
                "too many requests are open",
                service.retry_after(),
            ));
        }
        Ok((new, upload, (held, id)))
    };
    let (mut new, body, (held, id)) = match taken.await {
        Ok(taken) => taken,
        Err(reject) => {
            record_rejection(&service, entry.as_deref(), &reject, body.take(), settings);
            return rejected(reject);
        }
    };
    client.body_read.set(body.streamed().is_none());
    let open = service.counts.track_request();
    let counts = service.class_counts(new.class);
    let now = listener.process.clock.now();
    // Its time counts from its last byte, and what its client took to write it is not the answer's.
    new.time_left = listener
        .process
        .cap_time_left(now, new.time_left.saturating_sub(CLIENT_DEADLINE_MARGIN));
    // An absolute target names this sidecar; the node is to see the path alone.
    let path = head.uri.into_parts().path_and_query;
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let non_idempotent = entry
        .as_ref()
        .is_none_or(|class| class.retry_safety() == RetrySafety::NonIdempotent);
    let aim = service.latency_objective(&new);
    let protocol = ResponseProtocol::Http;
    let idempotency_record = if non_idempotent {
        IdempotencyRecord::for_request(&service, &head.headers, None)
    } else {
        Ok(None)
    };
    let Ok(idempotency_record) = idempotency_record else {
        increment(&counts.client_errors);
        return rejected(LONG_ID);
    };
    let (method, headers) = (head.method, head.headers);
    let client = Rc::clone(client);
    let onward = ForwardedRequest {
        client,
        method,
        uri,
        headers,
        body,
        non_idempotent,
        protocol,
        idempotency_record,
    };
    let onward = Rc::new(onward);
    let answer = transaction::run(&service, now, new, Rc::clone(&onward)).await;
    let came = onward
        .body
        .streamed()
        .map_or(now, |streamed| streamed.completed_at.get().unwrap_or(came));
    if let Some(streamed) = onward.body.streamed() {
        // What is left of it is read and dropped behind the answer, so that the answer arrives.
        match streamed.take_unread() {
            Some(unread) if streamed.completed_at.get().is_none() => {
                drain(&service.process, unread, BODY_DRAIN_TIMEOUT)
            }
            _ => onward
                .client
                .body_read
                .set(streamed.completed_at.get().is_some()),
        }
        if let Some(reject) = streamed.failure.take() {
            increment(&counts.client_errors);
            return rejected(reject);
        }
    }
    match answer {
        FinalResponse::Served(mut response) => {
            if listener.process.clock.now() - came > aim {
                increment(&counts.late);
            }
            match response.body_mut() {
                ResponseBody::Buffered(_) => increment(&counts.served),
                // It is open to its last byte, and so is all that it holds.
                ResponseBody::Streamed(streamed) => {
                    let _rest = Box::new((open, room, entry, held));
                    drop(id);
                    streamed.resources = Some(ResponseResources {
                        counts,
                        client: Rc::clone(&onward.client),
                        process: Rc::clone(&listener.process),
                        _rest,
                    });
                }
            }
            response
        }
        FinalResponse::Rejected { retry_after } => {
            increment(&counts.rejected);
            refusal("refused", retry_after)
        }
        FinalResponse::Failed => {
            increment(&counts.failed);
            plain(StatusCode::BAD_GATEWAY, "failed")
        }
    }
}

/// How long what is left of a body is read behind an answer that did not need it.
pub(super) const BODY_DRAIN_TIMEOUT: Micros = 5_000_000;

/// Counts a request that goes no further, and reads the body that it came with where that is wanted.
pub(super) fn record_rejection(
    service: &Service,
    class: Option<&ClassEntry>,
    reject: &RequestError,
    unread: Option<Incoming>,
    settings: ListenerSettings,
) {
    let turned_away = matches!(reject, RequestError::LimitReached(..));
    let counts = class.map_or_else(
        || service.counts.unclassed(),
        |class| Rc::clone(&class.counts),
    );
    increment(if turned_away {
        &counts.rejected_by_limit
    } else {
        &counts.client_errors
    });
    if let Some(unread) = unread.filter(|_| turned_away && settings.drains_rejected_bodies) {
        drain(&service.process, unread, settings.body_timeout);
    }
}

/// Whether the listener leads to a service that knows a server, or, where one is named, whether that one does.
fn ready(listener: &Listener, query: Option<&str>) -> Response<ResponseBody> {
    let routing = Rc::clone(&listener.routing.borrow());
    let named =
        query.and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("pool=")));
    let mut wanted = routing
        .reachable_services()
        .iter()
        .filter(|service| named.is_none_or(|name| service.name == name));
    let ready = wanted.any(|service| service.pool.has_servers());
    let wanted = listener.process.lifecycle.borrow().is_serving() && !listener.is_draining();
    plain(
        if ready && wanted {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        },
        "",
    )
}

/// The service that a request is for, and what its class follows from.
fn find(listener: &Listener, head: &Parts) -> Result<(Rc<Service>, ClassSource), RequestError> {
    let routing = Rc::clone(&listener.routing.borrow());
    let routed = match &*routing {
        Routing::SingleService(service) => return Ok((Rc::clone(service), ClassSource::Path)),
        Routing::Routes(routed) => routed,
    };
    let asked = Asked::read(&head.method, &head.uri, head.version, &head.headers);
    let asked = asked.map_err(|fault: Fault| bad_request(fault.text()))?;
    // What has no key is split by chance: its count is as good as that.
    let key = split_key(&head.headers).unwrap_or_else(|| listener.clients.accepted());
    let none = RequestError::Invalid(StatusCode::NOT_FOUND, "no route takes it");
    routed.find(&asked, key).ok_or(none)
}

/// Makes room for a request in its listener and its service, before its body is read.
pub(super) fn admit(
    listener: &Listener,
    service: &Service,
    now: Micros,
    size: u64,
) -> Result<[[super::limits::Reservation; 2]; 2], RequestError> {
    let held = service
        .request_limits
        .admit(now, size)
        .and_then(|held| Ok([held, listener.request_limits.admit(now, size)?]));
    held.map_err(|full| {
        let usual = service.retry_after();
        match full {
            LimitExceeded::InFlight => {
                RequestError::LimitReached("too many requests are open", usual)
            }
            LimitExceeded::BodyBytes => RequestError::LimitReached("too much is open", usual),
            LimitExceeded::Rate(wait) => {
                increment(&service.counts.unclassed().over_rate_limit);
                // Clients honour no longer advice than the settings say.
                RequestError::LimitReached(
                    "too many requests have come",
                    usual.map(|most| wait.min(most)),
                )
            }
        }
    })
}

/// Lets a request in under the fleet-wide limits that are for it.
pub(super) fn admit_by_fleet_limits(
    service: &Service,
    class: Option<&ClassEntry>,
    headers: &HeaderMap,
) -> Result<Option<FleetPermit>, RequestError> {
    let class = class.map(|class| &*class.name);
    service
        .process
        .fleet_limits
        .admit(&service.name, class, headers)
        .map_err(|denied| {
            increment(&service.counts.unclassed().over_rate_limit);
            let problem = if denied.without_lease {
                "a fleet limit lets no more in, and no lease of it holds"
            } else {
                "a fleet limit lets no more in"
            };
            // Clients honour no longer advice than the settings say.
            let usual = service.retry_after();
            RequestError::LimitReached(
                problem,
                usual.map(|most| denied.retry_after.map_or(most, |after| after.min(most))),
            )
        })
}

/// Reads the body of a request that is answered already. Left unread, it would have the connection reset, and the
/// answer lost on the way.
fn drain(process: &Rc<ProcessState>, mut body: Incoming, within: Micros) {
    let process = Rc::clone(process);
    watchdog::spawn(TaskKind::BodyDrain, async move {
        let read = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
        // What has not come by then never will, and the connection ends with it.
        let _ = process.timeout(within, read).await;
    });
}

fn rejected(reject: RequestError) -> Response<ResponseBody> {
    match reject {
        RequestError::LimitReached(problem, retry_after) => refusal(problem, retry_after),
        RequestError::Invalid(status, problem) => {
            let mut response = plain(status, problem);
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Whole::from(text)));
    *response.status_mut() = status;
    response
}

fn refusal(text: &'static str, retry_after: Option<Micros>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Some(wait) = retry_after.and_then(retry_after_value) {
        response.headers_mut().insert(header::RETRY_AFTER, wait);
    }
    response
}

pub(super) fn retry_after_value(span: Micros) -> Option<HeaderValue> {
    HeaderValue::from_maybe_shared(Bytes::from((span as f64 / 1e6).to_string())).ok()
}

/// How long the body is, known before any of it is read. Where a request has both a length and chunks, hyper
/// shows the chunks alone, while to another reader the rest may hide a request: so a length must be given.
pub(super) fn declared_length(
    body: Option<&Incoming>,
    headers: &HeaderMap,
    most: usize,
) -> Result<usize, RequestError> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(RequestError::Invalid(
            StatusCode::LENGTH_REQUIRED,
            "Content-Length is missing",
        ));
    }
    let size = body
        .and_then(|body| body.size_hint().exact())
        .and_then(|size| usize::try_from(size).ok());
    let problem = match most {
        super::MAX_BUFFERED_BODY_BYTES => "the body holds more than 64 KiB",
        _ => "the body is longer than this listener takes",
    };
    size.filter(|size| *size <= most)
        .ok_or(RequestError::Invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            problem,
        ))
}

pub(super) async fn read_complete_body(
    process: &ProcessState,
    body: Option<Incoming>,
    within: Micros,
) -> Result<Bytes, RequestError> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match process.timeout(within, body.collect()).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(_)) => Err(bad_request("the body has broken off")),
        None => Err(RequestError::Invalid(
            StatusCode::REQUEST_TIMEOUT,
            "the body has not come",
        )),
    }
}

/// The class that a request names. A route's class goes before that of the path.
fn class_of(service: &Service, class: Option<&str>, head: &Parts) -> Option<Rc<ClassEntry>> {
    let class = class.unwrap_or_else(|| head.uri.path().split('/').nth(1).unwrap_or_default());
    service.active_settings().class_named(class)
}

/// Takes out of a request what the module needs of it.
fn read(
    service: &Service,
    class: Option<&ClassEntry>,
    head: &Parts,
) -> Result<NewRequest, RequestError> {
    let headers = &head.headers;
    let text = |name: &HeaderName| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::trim)
    };
    let several = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    let class = class.ok_or(RequestError::Invalid(
        StatusCode::NOT_FOUND,
        "there is no such class",
    ))?;
    let effect = class.retry_safety();
    if head.method
        != if effect == RetrySafety::Idempotent {
            Method::GET
        } else {
            Method::POST
        }
    {
        return Err(RequestError::Invalid(
            StatusCode::METHOD_NOT_ALLOWED,
            "the class wants another method",
        ));
    }
    if text(&TRACE_ID).is_none_or(str::is_empty) || several(&TRACE_ID) {
        return Err(bad_request("X-Trace-Id is missing, or there are several"));
    }
    // Without one key that all servers read alike, they could not tell a repeat from another request.
    let keyed = matches!(effect, RetrySafety::IdempotentWithKey { .. });
    if keyed && (text(&IDEMPOTENCY_KEY).is_none_or(str::is_empty) || several(&IDEMPOTENCY_KEY)) {
        return Err(bad_request(
            "Idempotency-Key is missing, or there are several",
        ));
    }
    let left = client_time_left(headers)?.ok_or(bad_request(
        "X-Expires-In-Ms is missing, or there are several",
    ))?;
    Ok(NewRequest {
        id: next_request_id(service),
        class: class.index,
        tenant: 0,
        key: subject(headers),
        time_left: left,
        cost_hint: text(&SIZE_HINT).and_then(|hint| hint.parse().ok()),
        client_retry: text(&SECOND_TRY) == Some("1"),
    })
}

/// How long the client waits, if it says so.
pub(super) fn client_time_left(headers: &HeaderMap) -> Result<Option<Micros>, RequestError> {
    let mut given = headers.get_all(&EXPIRES).iter();
    let Some(left) = given.next() else {
        return Ok(None);
    };
    if given.next().is_some() {
        return Err(bad_request(
            "X-Expires-In-Ms is missing, or there are several",
        ));
    }
    let left = left
        .to_str()
        .ok()
        .map(str::trim)
        .filter(|left| left.bytes().all(|b| b.is_ascii_digit()));
    let left: Option<Micros> = left.and_then(|left| left.parse().ok());
    let left = left.ok_or(bad_request("X-Expires-In-Ms is not a whole number"))?;
    Ok(Some(left.min(DAY_MS) * 1_000))
}

/// The number of the next request.
pub(super) fn next_request_id(service: &Service) -> RequestId {
    let id = service.last_request_id.get() + 1;
    service.last_request_id.set(id);
    id
}

/// No client waits longer than a day.
const DAY_MS: u64 = 86_400_000;
