//! The virtual server of GraphQL routes: derives a request's class from its operations, splits batches if the operator file says
//! so, and responds in GraphQL. Transactions, attempts and decisions are those of all requests.

use super::attempt::{ForwardedRequest, ResponseProtocol};
use super::client::Client;
use super::counts::increment;
use super::in_flight_id::InFlightRequestId;
use super::lateness::LatenessRecorder;
use super::listener::Listener;
use super::rejection::{Exhaustion, RequestError, bad_request, retry_after_value};
use super::request_deadline::{CLIENT_DEADLINE_MARGIN, RequestDeadline};
use super::response_body::ResponseBody as Body;
use super::service::Service;
use super::state_writer::IdempotencyRecord;
use super::transaction::{self, FinalResponse};
use super::upload::{BodyLength, RequestBody};
use super::virtual_server::{
    RejectedRequest, TRACE_ID, admit, admit_by_fleet_limits, client_time_left, declared_length,
    next_request_id, read_complete_body,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode, Uri};
use madderloom_balancer::{Micros, NewRequest, RetrySafety};
use madderloom_graphql::{
    Classed, Fault, Media, Message, Part, PartAnswer, Plan, Rejection, Reply, join, stages,
};
use madderloom_routing::request::subject;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// One GraphQL request of a client; a batch is split into several messages of it.
struct GraphqlRequest<'a> {
    client: &'a Rc<Client>,
    service: &'a Rc<Service>,
    head: Parts,
    received_at: Micros,
    deadline: Rc<RequestDeadline>,
    /// The request says how long its client waits.
    has_time_left: bool,
    /// Set once an operation of it may have run unanswered; `None` if the request has no id.
    may_have_run_unanswered: Option<Rc<Cell<bool>>>,
    media: Media,
}

/// Whether one operation of a request may have run unanswered; the request has so too then.
struct OperationRun<'a> {
    may_have_run_unanswered: Rc<Cell<bool>>,
    request: &'a GraphqlRequest<'a>,
}

impl Drop for OperationRun<'_> {
    fn drop(&mut self) {
        if let Some(of_request) = &self.request.may_have_run_unanswered
            && self.may_have_run_unanswered.get()
        {
            of_request.set(true);
        }
    }
}

/// Handles one GraphQL request.
pub(super) async fn handle_request(
    listener: &Rc<Listener>,
    client: &Rc<Client>,
    service: &Rc<Service>,
    received_at: Micros,
    mut head: Parts,
    body: Incoming,
) -> Response<Body> {
    let settings = listener.settings.get();
    let media = Media::accepted(&head.headers);
    let mut body = Some(body);
    let admission = async {
        let time_left = client_time_left(&head.headers)?;
        let size = declared_length(body.as_ref(), &head.headers, settings.max_message_size)?;
        // The classes of its operations are known only after it is read, so limits of classes do not apply to it.
        let permits = (
            admit(listener, service, received_at, size as u64)?,
            admit_by_fleet_limits(service, None, &head.headers)?,
        );
        let deadline = RequestDeadline::new(
            &listener.process,
            client,
            BodyLength::Known(size as u64),
            time_left.unwrap_or(Micros::MAX),
        );
        let id = request_id(&head.headers)?;
        let lateness = LatenessRecorder::new(service, None, &deadline, id);
        let id = id
            .map(|id| InFlightRequestId::new(service, id, false))
            .transpose()?;
        let body = if size > 0 {
            let timeout = settings.body_timeout;
            read_complete_body(service, body.take(), &deadline, timeout).await?
        } else {
            Bytes::new()
        };
        Ok((deadline, time_left.is_some(), body, (permits, id, lateness)))
    };
    let (deadline, has_time_left, bytes, guards) = match admission.await {
        Ok(admitted) => admitted,
        Err(error) => {
            let rejected_request = RejectedRequest {
                service,
                class: None,
                id: head.headers.get(TRACE_ID),
            };
            rejected_request.record(&error, body.take(), settings);
            return rejected(error, service.retry_after(), media);
        }
    };
    client.body_complete.set(true);
    let (_, id, _) = &guards;
    let may_have_run_unanswered = id.as_ref().map(InFlightRequestId::may_have_run_unanswered);
    let send_plan = match plan(service, &head, &bytes) {
        Ok(send_plan) => send_plan,
        Err(None) => return rejected(NO_ROUTE, None, media),
        Err(Some(rejection)) => {
            increment(&service.counts.unclassed().client_errors);
            return response(rejection.reply(media));
        }
    };
    // A target in absolute form names this sidecar; the server gets the path only.
    let target = std::mem::take(&mut head.uri).into_parts().path_and_query;
    head.uri = target.map_or_else(|| Uri::from_static("/"), Uri::from);
    let request = GraphqlRequest {
        client,
        service,
        head,
        received_at,
        deadline,
        has_time_left,
        may_have_run_unanswered,
        media,
    };
    match send_plan {
        SendPlan::Whole(message, operations) => {
            match request
                .run(&message, request.head.headers.clone(), None)
                .await
            {
                Ok(served) => served,
                Err(fault) => response(Reply::of(&fault, operations, media)),
            }
        }
        SendPlan::Split(parts) => request.run_batch(parts).await,
    }
}

/// A newer operator file has removed the pool's GraphQL section while a request for it was being read.
const NO_ROUTE: RequestError = RequestError::Invalid(StatusCode::NOT_FOUND, "no route takes it");

/// A message that is sent to a server as one request.
struct ServerMessage {
    classed: Classed,
    body: Bytes,
    hash_only: bool,
}

/// How a client's message is sent.
enum SendPlan {
    /// As one message, with the number of its operations if it is a batch.
    Whole(ServerMessage, Option<usize>),
    /// One message for each operation of a batch; operations that are rejected here are errors.
    Split(Vec<Result<ServerMessage, Fault>>),
}

/// Decides how a client's message is sent.
///
/// # Errors
/// The message is rejected. Without a rejection, the service no longer has a GraphQL section.
fn plan(service: &Service, head: &Parts, body: &Bytes) -> Result<SendPlan, Option<Rejection>> {
    let message = Message {
        method: &head.method,
        query: head.uri.query(),
        headers: &head.headers,
        body,
    };
    let mut front = service.graphql.borrow_mut();
    Ok(
        match front.as_mut().ok_or(None)?.take(&message).map_err(Some)? {
            Plan::Whole {
                classed,
                operations,
                hash_only,
            } => SendPlan::Whole(
                ServerMessage {
                    classed,
                    body: body.clone(),
                    hash_only,
                },
                operations,
            ),
            Plan::Split(parts) => {
                let to_server_message = |part: Part<'_>| ServerMessage {
                    classed: part.classed,
                    body: body.slice_ref(part.body),
                    hash_only: part.hash_only,
                };
                SendPlan::Split(
                    parts
                        .into_iter()
                        .map(|part| part.map(to_server_message))
                        .collect(),
                )
            }
        },
    )
}

impl GraphqlRequest<'_> {
    /// Runs the transaction of one message and returns the response of a server.
    ///
    /// # Errors
    /// No server served it, or it was rejected.
    async fn run(
        &self,
        message: &ServerMessage,
        headers: HeaderMap,
        part: Option<usize>,
    ) -> Result<Response<Body>, Fault> {
        let (service, classed) = (self.service, &message.classed);
        if service.transactions.borrow().len() >= service.active_settings().site.max_open {
            increment(&service.class_counts(classed.class).rejected_by_limit);
            service.counts.exhaustions.record(Exhaustion::Requests);
            return Err(Fault::refused(service.retry_after()));
        }
        let _open = service.counts.track_request();
        let now = service.process.clock.now();
        let new_request = self.new_request(classed, &headers, now);
        let non_idempotent = classed.effect == RetrySafety::NonIdempotent;
        let idempotency_record = match non_idempotent {
            true => IdempotencyRecord::for_request(service, &headers, part),
            false => Ok(None),
        }
        .map_err(|_| Fault::bad("the id of what must not run twice is over 1,024 bytes"))?;
        let operation = OperationRun {
            may_have_run_unanswered: Rc::default(),
            request: self,
        };
        let forwarded = ForwardedRequest {
            client: Rc::clone(self.client),
            deadline: Rc::clone(&self.deadline),
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers,
            body: RequestBody::Buffered(message.body.clone()),
            non_idempotent,
            may_have_run_unanswered: Rc::clone(&operation.may_have_run_unanswered),
            protocol: ResponseProtocol::Graphql {
                hash_only: message.hash_only,
            },
            idempotency_record,
        };
        match transaction::run(service, now, new_request, Rc::new(forwarded)).await {
            FinalResponse::Served(response) => {
                increment(&service.class_counts(classed.class).served);
                Ok(response)
            }
            FinalResponse::Rejected { retry_after } => {
                increment(&service.class_counts(classed.class).rejected);
                Err(Fault::refused(retry_after))
            }
            FinalResponse::Failed => {
                increment(&service.class_counts(classed.class).failed);
                Err(Fault::failed())
            }
        }
    }

    /// The balancer's view of one message.
    fn new_request(&self, classed: &Classed, headers: &HeaderMap, now: Micros) -> NewRequest {
        let time_left = if self.has_time_left {
            self.deadline.remaining(now)
        } else {
            self.class_time_left(classed.class, now)
        };
        NewRequest {
            id: next_request_id(self.service),
            class: classed.class,
            tenant: 0,
            key: classed.key.or_else(|| subject(headers)),
            time_left,
            cost_hint: classed.cost,
            client_retry: headers
                .get("x-second-try")
                .is_some_and(|second| second == "1"),
        }
    }

    /// How long a client still waits that does not say so: for the deadline of its class.
    fn class_time_left(&self, class: u32, now: Micros) -> Micros {
        let deadline = self
            .service
            .active_settings()
            .class_at(class)
            .map_or(0, |entry| entry.class.deadline);
        let elapsed = now - self.received_at;
        let time_left = deadline.saturating_sub(CLIENT_DEADLINE_MARGIN + elapsed);
        self.service.process.cap_time_left(now, time_left)
    }

    /// Runs a transaction for each operation of a batch and joins their responses.
    async fn run_batch(&self, parts: Vec<Result<ServerMessage, Fault>>) -> Response<Body> {
        let retry_safeties: Vec<RetrySafety> = parts
            .iter()
            .map(|part| {
                part.as_ref()
                    .map_or(RetrySafety::Idempotent, |part| part.classed.effect)
            })
            .collect();
        let mut results = Vec::with_capacity(parts.len());
        for stage in stages(&retry_safeties) {
            let running = parts
                .get(stage.clone())
                .unwrap_or_default()
                .iter()
                .zip(stage);
            let running = running.map(|(part, number)| -> Pin<Box<dyn Future<Output = _> + '_>> {
                Box::pin(async move {
                    let message = part.as_ref().map_err(Fault::clone)?;
                    let served = self
                        .run(message, self.part_headers(number), Some(number))
                        .await?;
                    let (head, body) = served.into_parts();
                    Ok((head.status.as_u16(), buffered_bytes(body).await))
                })
            });
            results.extend(join_all(running.collect()).await);
        }
        let part_answers: Vec<PartAnswer<'_>> = results
            .iter()
            .map(|result| match result {
                Ok((status, body)) => PartAnswer::Served {
                    status: *status,
                    body,
                },
                Err(fault) => PartAnswer::Fault(Fault::clone(fault)),
            })
            .collect();
        response(join(&part_answers, self.media))
    }

    /// The headers of one operation of a batch: it is a request of its own and gets an id of its own.
    fn part_headers(&self, number: usize) -> HeaderMap {
        let mut headers = self.head.headers.clone();
        if let Some(id) = headers.get_mut(&TRACE_ID)
            && let Ok(part_id) = HeaderValue::from_maybe_shared(Bytes::from(
                [id.as_bytes(), format!(".{number}").as_bytes()].concat(),
            ))
        {
            *id = part_id;
        }
        headers
    }
}

/// The id of a request. It is optional in GraphQL.
///
/// # Errors
/// There are several ids.
fn request_id(headers: &HeaderMap) -> Result<Option<&HeaderValue>, RequestError> {
    let mut ids = headers.get_all(&TRACE_ID).iter();
    match (ids.next(), ids.next()) {
        (id, None) => Ok(id.filter(|id| !id.is_empty())),
        _ => Err(bad_request("there are several X-Trace-Id")),
    }
}

/// The bytes of a buffered body.
async fn buffered_bytes(body: Body) -> Bytes {
    use http_body_util::BodyExt;
    match body.collect().await {
        Ok(body) => body.to_bytes(),
        // GraphQL responses are buffered, so this does not happen; an empty body counts as a missing response.
        Err(_) => Bytes::new(),
    }
}

/// Runs futures concurrently and returns their outputs in order.
async fn join_all<T>(mut futures: Vec<Pin<Box<dyn Future<Output = T> + '_>>>) -> Vec<T> {
    let mut outputs: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, output) in futures
            .iter_mut()
            .zip(&mut outputs)
            .filter(|(_, output)| output.is_none())
        {
            if let Poll::Ready(ready) = future.as_mut().poll(context) {
                *output = Some(ready);
            }
        }
        if outputs.iter().all(Option::is_some) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    outputs.into_iter().flatten().collect()
}

fn rejected(error: RequestError, max_retry_after: Option<Micros>, media: Media) -> Response<Body> {
    match error {
        RequestError::Exhausted(exhaustion) => {
            let fault = Fault::refused(exhaustion.retry_after(max_retry_after));
            response(Reply::of(&fault, None, media))
        }
        RequestError::Invalid(status, message) => {
            let reply = Reply {
                status: status.as_u16(),
                ..Reply::of(&Fault::bad(message), None, media)
            };
            let mut response = response(reply);
            // Further bytes on the connection may belong to the message.
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

fn response(reply: Reply) -> Response<Body> {
    let mut response = Response::new(Body::Buffered(Full::new(Bytes::from(reply.body))));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(reply.media.content_type()),
    );
    if let Some(allow) = reply.allow {
        headers.insert(header::ALLOW, HeaderValue::from_static(allow));
    }
    if let Some(wait) = reply.retry_after.and_then(retry_after_value) {
        headers.insert(header::RETRY_AFTER, wait);
    }
    response
}
