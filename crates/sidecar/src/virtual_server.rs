//! The virtual server: the client's side of one request. It validates the request, routes it to a service, applies the limits,
//! and returns the response.

use super::active_settings::ClassEntry;
use super::attempt::{ForwardedRequest, ResponseProtocol};
use super::client::Client;
use super::counts::increment;
use super::fleet_limits::FleetPermit;
use super::graphql;
use super::in_flight_id::InFlightRequestId;
use super::lateness::{LatenessRecorder, WaitKind};
use super::limits::LimitExceeded;
use super::listener::{Listener, ListenerSettings};
use super::process_state::ProcessState;
use super::rejection::{
    Exhaustion, RequestError, bad_request, text_response, unavailable_response,
};
use super::request_deadline::RequestDeadline;
use super::request_log;
use super::response_body::{ResponseBody, ResponseResources};
use super::routing::{ClassSource, Routing};
use super::service::Service;
use super::state_writer::IdempotencyRecord;
use super::timers::before;
use super::transaction::{self, FinalResponse};
use super::upload::{self, BodyLength, BodyReservations};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use madderloom_balancer::{Micros, NewRequest, RequestId, RetrySafety};
use madderloom_routing::request::{Asked, Fault, split_key, subject};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::rc::Rc;

pub(super) const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
const EXPIRES_IN_MS: HeaderName = HeaderName::from_static("x-expires-in-ms");
const SECOND_TRY: HeaderName = HeaderName::from_static("x-second-try");
const SIZE_HINT: HeaderName = HeaderName::from_static("x-size-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The id of a non-idempotent request that is too long to be recorded, so that the request could never be sent.
const ID_TOO_LONG: RequestError = bad_request(
    "the id of a request that must not run twice is over 1,024 bytes with its header's name",
);

/// Handles one request.
pub(super) async fn handle_request(
    listener: &Rc<Listener>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let received_at = listener.process.clock.now();
    if client.ambiguous_framing.get() {
        increment(&listener.counts.client_errors);
        return bad_request("it is not certain where the message ends").into_response(None);
    }
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        return ready(listener, request.uri().query());
    }
    let (head, body) = request.into_parts();
    let (service, class_source) = match route(listener, &head) {
        Ok(routed) => routed,
        Err(error) => {
            increment(&listener.counts.client_errors);
            return error.into_response(None);
        }
    };
    listener.charge(&client.charged, &service);
    let class = match class_source {
        ClassSource::Graphql => {
            return graphql::handle_request(listener, client, &service, received_at, head, body)
                .await;
        }
        ClassSource::Route(class) => Some(class),
        ClassSource::Path => None,
    };
    let settings = listener.settings.get();
    let mut body = Some(body);
    // Held until the request ends, so that the class settings in force when it arrived stay valid for it.
    let class_entry = class_of(&service, class.as_deref(), &head);
    let mut reservations = BodyReservations::new();
    let admission = async {
        let new_request = read_head(&service, class_entry.as_deref(), &head)?;
        let length = BodyLength::from_head(body.as_ref(), &head.headers, settings.max_body_size)?;
        let deadline =
            RequestDeadline::new(&listener.process, client, length, new_request.time_left);
        let id = head
            .headers
            .get(TRACE_ID)
            .ok_or(bad_request("X-Trace-Id is missing"))?;
        let permits = (
            admit(listener, &service, received_at, 0)?,
            admit_by_fleet_limits(&service, class_entry.as_deref(), &head.headers)?,
        );
        let lateness = LatenessRecorder::new(&service, class_entry.clone(), &deadline, Some(id));
        let non_idempotent = is_non_idempotent(class_entry.as_deref());
        let id = InFlightRequestId::new(&service, id, non_idempotent)?;
        let body = upload::read_body(
            listener,
            &service,
            &mut body,
            &deadline,
            settings.max_body_size,
            &mut reservations,
        )
        .await?;
        let elapsed = listener.process.clock.now().saturating_sub(received_at);
        let waited_for_memory = deadline.waits.get(WaitKind::Memory);
        deadline
            .waits
            .add(WaitKind::Body, elapsed.saturating_sub(waited_for_memory));
        // The time is over before anything was sent: another client's request can use the memory.
        if body.streamed().is_some() && deadline.remaining(listener.process.clock.now()) == 0 {
            return Err(RequestError::Exhausted(Exhaustion::Deadline));
        }
        if service.transactions.borrow().len() >= service.active_settings().site.max_open {
            return Err(RequestError::Exhausted(Exhaustion::Requests));
        }
        Ok((new_request, body, lateness, (permits, id)))
    };
    let (mut new_request, body, lateness, (permits, id)) = match admission.await {
        Ok(admitted) => admitted,
        Err(error) => {
            let rejected = RejectedRequest {
                service: &service,
                class: class_entry.as_deref(),
                id: head.headers.get(TRACE_ID),
            };
            rejected.record(&error, body.take(), settings);
            return error.into_response(service.retry_after());
        }
    };
    client.body_complete.set(body.streamed().is_none());
    let in_flight = service.counts.track_request();
    let counts = service.class_counts(new_request.class);
    let now = listener.process.clock.now();
    let deadline = Rc::clone(&lateness.deadline);
    // A request's time runs from its last byte; the time that its client took to send it does not count.
    new_request.time_left = match body.streamed() {
        Some(_) => listener.process.cap_time_left(now, deadline.time_left()),
        None => deadline.remaining(now),
    };
    // A target in absolute form names this sidecar; the server gets the path only.
    let target = head.uri.into_parts().path_and_query;
    let uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
    let non_idempotent = is_non_idempotent(class_entry.as_deref());
    let latency_objective = service.latency_objective(&new_request);
    let protocol = ResponseProtocol::Http;
    let idempotency_record = if non_idempotent {
        IdempotencyRecord::for_request(&service, &head.headers, None)
    } else {
        Ok(None)
    };
    let Ok(idempotency_record) = idempotency_record else {
        increment(&counts.client_errors);
        return ID_TOO_LONG.into_response(None);
    };
    let (method, headers) = (head.method, head.headers);
    let client = Rc::clone(client);
    let request = ForwardedRequest {
        client,
        deadline,
        method,
        uri,
        headers,
        body,
        non_idempotent,
        may_have_run_unanswered: id.may_have_run_unanswered(),
        protocol,
        idempotency_record,
    };
    let request = Rc::new(request);
    let response = transaction::run(&service, now, new_request, Rc::clone(&request)).await;
    let elapsed = listener.process.clock.now().saturating_sub(now);
    request.deadline.waits.add(WaitKind::Servers, elapsed);
    drop(lateness);
    let started_at = request.body.streamed().map_or(now, |streamed| {
        streamed.completed_at.get().unwrap_or(received_at)
    });
    if let Some(streamed) = request.body.streamed() {
        // The unread remainder is read and dropped after the response, or the client could lose the response.
        match streamed.take_unread() {
            Some(unread) if streamed.completed_at.get().is_none() => {
                drain(&service.process, unread, BODY_DRAIN_TIMEOUT)
            }
            _ => request
                .client
                .body_complete
                .set(streamed.completed_at.get().is_some()),
        }
        if let Some(error) = streamed.failure.take() {
            let rejected = RejectedRequest {
                service: &service,
                class: class_entry.as_deref(),
                id: request.id(),
            };
            rejected.record(&error, None, settings);
            return error.into_response(service.retry_after());
        }
    }
    match response {
        FinalResponse::Served(mut response) => {
            if listener.process.clock.now() - started_at > latency_objective {
                increment(&counts.late);
            }
            match response.body_mut() {
                ResponseBody::Buffered(_) => increment(&counts.served),
                // The request counts as in flight, and keeps its reservations, until the last byte of its response.
                ResponseBody::Streamed(streamed) => {
                    let _guards = Box::new((in_flight, reservations, class_entry, permits));
                    drop(id);
                    streamed.resources = Some(ResponseResources {
                        counts,
                        client: Rc::clone(&request.client),
                        process: Rc::clone(&listener.process),
                        _guards,
                    });
                }
            }
            response
        }
        FinalResponse::Rejected { retry_after } => {
            increment(&counts.rejected);
            unavailable_response("refused", retry_after)
        }
        FinalResponse::Failed => {
            increment(&counts.failed);
            text_response(StatusCode::BAD_GATEWAY, "failed")
        }
    }
}

/// How long the unread remainder of a body is drained after a response that did not need it.
pub(super) const BODY_DRAIN_TIMEOUT: Micros = 5_000_000;

/// A request that is rejected before it reaches the balancer.
pub(super) struct RejectedRequest<'a> {
    pub(super) service: &'a Service,
    /// `None` if no class takes the request.
    pub(super) class: Option<&'a ClassEntry>,
    pub(super) id: Option<&'a HeaderValue>,
}

impl RejectedRequest<'_> {
    /// Counts and logs it, and drains its unread body if something is used up and the listener drains rejected bodies.
    pub(super) fn record(
        &self,
        error: &RequestError,
        unread: Option<Incoming>,
        settings: ListenerSettings,
    ) {
        let counts = self.service.counts.of(self.class);
        let RequestError::Exhausted(exhaustion) = error else {
            return increment(&counts.client_errors);
        };
        increment(&counts.rejected_by_limit);
        self.service.counts.exhaustions.record(*exhaustion);
        let class = self.class.map(|class| &*class.name);
        request_log::rejected(self.id, class, *exhaustion);
        if let Some(unread) = unread.filter(|_| settings.drains_rejected_bodies) {
            drain(&self.service.process, unread, settings.body_timeout);
        }
    }
}

/// The response of the readiness check: whether any service that the listener routes to has servers, or, with `pool=NAME` in the
/// query, whether that service has; and whether neither the process nor the listener drains.
fn ready(listener: &Listener, query: Option<&str>) -> Response<ResponseBody> {
    let routing = Rc::clone(&listener.routing.borrow());
    let pool = query.and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("pool=")));
    let mut checked = routing
        .reachable_services()
        .iter()
        .filter(|service| pool.is_none_or(|name| service.name == name));
    let has_servers = checked.any(|service| service.pool.has_servers());
    let takes_work = listener.process.lifecycle.borrow().is_serving() && !listener.is_draining();
    text_response(
        if has_servers && takes_work {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        },
        "",
    )
}

/// Routes a request: its service and the source of its class.
///
/// # Errors
/// The request cannot be matched against routes, or none matches.
fn route(listener: &Listener, head: &Parts) -> Result<(Rc<Service>, ClassSource), RequestError> {
    let routing = Rc::clone(&listener.routing.borrow());
    let routes = match &*routing {
        Routing::SingleService(service) => return Ok((Rc::clone(service), ClassSource::Path)),
        Routing::Routes(routes) => routes,
    };
    let attributes = Asked::read(&head.method, &head.uri, head.version, &head.headers);
    let attributes = attributes.map_err(|fault: Fault| bad_request(fault.text()))?;
    // Requests without a key are split by the count of connections, which serves as a random value.
    let key = split_key(&head.headers).unwrap_or_else(|| listener.clients.accepted());
    let no_route = RequestError::Invalid(StatusCode::NOT_FOUND, "no route takes it");
    routes.find(&attributes, key).ok_or(no_route)
}

/// Reserves capacity for a request with `size` bytes of body in its service and its listener, before the body is read.
///
/// # Errors
/// A limit is reached.
pub(super) fn admit(
    listener: &Listener,
    service: &Service,
    now: Micros,
    size: u64,
) -> Result<[[super::limits::Reservation; 2]; 2], RequestError> {
    let reservations = service
        .request_limits
        .admit(now, size)
        .and_then(|of_service| Ok([of_service, listener.request_limits.admit(now, size)?]));
    reservations.map_err(|exceeded| {
        RequestError::Exhausted(match exceeded {
            LimitExceeded::InFlight => Exhaustion::Requests,
            LimitExceeded::BodyBytes => Exhaustion::BodyBytes,
            LimitExceeded::Rate(retry_after) => {
                increment(&service.counts.unclassed().over_rate_limit);
                Exhaustion::Rate(retry_after)
            }
        })
    })
}

/// Admits a request under the fleet-wide limits that apply to it.
///
/// # Errors
/// A limit is reached, or no lease for it is valid.
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
            RequestError::Exhausted(Exhaustion::FleetLimit {
                retry_after: denied.retry_after,
                without_lease: denied.without_lease,
            })
        })
}

/// Reads and drops the body of a request that already has its response. Unread bytes would reset the connection, and the client
/// could lose the response.
fn drain(process: &Rc<ProcessState>, mut body: Incoming, timeout: Micros) {
    let process = Rc::clone(process);
    watchdog::spawn(TaskKind::BodyDrain, async move {
        let read = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
        // A body that is still incomplete then ends the connection.
        let _ = process.timeout(timeout, read).await;
    });
}

/// The length of the body, before any of it is read. Chunked bodies are rejected: if a request has both a length and chunked
/// coding, hyper shows the chunked coding only, while another reader may find a request hidden in the body.
///
/// # Errors
/// The length is missing or over `max_bytes`.
pub(super) fn declared_length(
    body: Option<&Incoming>,
    headers: &HeaderMap,
    max_bytes: usize,
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
    let message = match max_bytes {
        super::MAX_BUFFERED_BODY_BYTES => "the body holds more than 64 KiB",
        _ => "the body is longer than this listener takes",
    };
    size.filter(|size| *size <= max_bytes)
        .ok_or(RequestError::Invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            message,
        ))
}

/// Reads a complete body within `timeout` and until the response is due.
///
/// # Errors
/// It ends early, or does not come in time.
pub(super) async fn read_complete_body(
    service: &Service,
    body: Option<Incoming>,
    deadline: &RequestDeadline,
    timeout: Micros,
) -> Result<Bytes, RequestError> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    let read = {
        let _awaits_body = deadline.await_body();
        let read = before(deadline.until_due(), body.collect());
        service.process.timeout(timeout, read).await
    };
    match read {
        Some(Some(Ok(body))) => {
            deadline.record_body_complete();
            Ok(body.to_bytes())
        }
        Some(Some(Err(_))) => Err(bad_request("the body has broken off")),
        // The client may have written all of it, and there was no memory to read it.
        Some(None) => Err(RequestError::Exhausted(Exhaustion::Deadline)),
        None => Err(RequestError::Invalid(
            StatusCode::REQUEST_TIMEOUT,
            "the body has not come",
        )),
    }
}

/// The settings of a request's class: `class` if its route sets one, else the first segment of its path.
fn class_of(service: &Service, class: Option<&str>, head: &Parts) -> Option<Rc<ClassEntry>> {
    let class = class.unwrap_or_else(|| head.uri.path().split('/').nth(1).unwrap_or_default());
    service.active_settings().class_named(class)
}

fn is_non_idempotent(class: Option<&ClassEntry>) -> bool {
    class.is_none_or(|class| class.retry_safety() == RetrySafety::NonIdempotent)
}

/// Builds the balancer's view of a request from its head.
///
/// # Errors
/// The class is unknown or its method differs, or a required header is missing, repeated or invalid.
fn read_head(
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
    let repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    let class = class.ok_or(RequestError::Invalid(
        StatusCode::NOT_FOUND,
        "there is no such class",
    ))?;
    let retry_safety = class.retry_safety();
    if head.method
        != if retry_safety == RetrySafety::Idempotent {
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
    if text(&TRACE_ID).is_none_or(str::is_empty) || repeated(&TRACE_ID) {
        return Err(bad_request("X-Trace-Id is missing, or there are several"));
    }
    // Without exactly one key, servers could not tell a retry from another request.
    let requires_key = matches!(retry_safety, RetrySafety::IdempotentWithKey { .. });
    if requires_key
        && (text(&IDEMPOTENCY_KEY).is_none_or(str::is_empty) || repeated(&IDEMPOTENCY_KEY))
    {
        return Err(bad_request(
            "Idempotency-Key is missing, or there are several",
        ));
    }
    let time_left = client_time_left(headers)?.ok_or(bad_request(
        "X-Expires-In-Ms is missing, or there are several",
    ))?;
    Ok(NewRequest {
        id: next_request_id(service),
        class: class.index,
        tenant: 0,
        key: subject(headers),
        time_left,
        cost_hint: text(&SIZE_HINT).and_then(|hint| hint.parse().ok()),
        client_retry: text(&SECOND_TRY) == Some("1"),
    })
}

/// How long the client still waits, if its request says so; at most a day.
///
/// # Errors
/// The header is repeated or is not a whole number.
pub(super) fn client_time_left(headers: &HeaderMap) -> Result<Option<Micros>, RequestError> {
    let mut values = headers.get_all(&EXPIRES_IN_MS).iter();
    let Some(time_left_ms) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(
            "X-Expires-In-Ms is missing, or there are several",
        ));
    }
    let time_left_ms = time_left_ms
        .to_str()
        .ok()
        .map(str::trim)
        .filter(|time_left_ms| time_left_ms.bytes().all(|b| b.is_ascii_digit()));
    let time_left_ms: Option<Micros> =
        time_left_ms.and_then(|time_left_ms| time_left_ms.parse().ok());
    let time_left_ms = time_left_ms.ok_or(bad_request("X-Expires-In-Ms is not a whole number"))?;
    Ok(Some(time_left_ms.min(MAX_CLIENT_WAIT_MS) * 1_000))
}

/// Assigns the id of the next request.
pub(super) fn next_request_id(service: &Service) -> RequestId {
    let id = service.last_request_id.get() + 1;
    service.last_request_id.set(id);
    id
}

/// The longest time that a client is assumed to wait: a day.
const MAX_CLIENT_WAIT_MS: u64 = 86_400_000;
