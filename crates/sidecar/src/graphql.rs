//! The virtual server of GraphQL routes: it has a request's class follow from what it asks, takes batches apart where
//! the operator wants that, and answers in GraphQL. Transactions, flows and decisions are those of every request.

use super::attempt::{ForwardedRequest, ResponseProtocol};
use super::client::Client;
use super::counts::increment;
use super::listener::Listener;
use super::response_body::ResponseBody as Body;
use super::service::Service;
use super::state_writer::IdempotencyRecord;
use super::transaction::{self, FinalResponse};
use super::upload::RequestBody;
use super::virtual_server::{
    CLIENT_DEADLINE_MARGIN, InFlightRequestId, RequestError, TRACE_ID, admit,
    admit_by_fleet_limits, bad_request, client_time_left, declared_length, next_request_id,
    read_complete_body, record_rejection, retry_after_value,
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
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// What all parts of a message have in common.
struct Asked<'a> {
    client: &'a Rc<Client>,
    service: &'a Rc<Service>,
    head: Parts,
    came: Micros,
    /// How long the client waits, if it says so.
    left: Option<Micros>,
    media: Media,
}

/// One GraphQL request and its answer.
pub(super) async fn handle_request(
    listener: &Rc<Listener>,
    client: &Rc<Client>,
    service: &Rc<Service>,
    came: Micros,
    mut head: Parts,
    body: Incoming,
) -> Response<Body> {
    let settings = listener.settings.get();
    let media = Media::accepted(&head.headers);
    let mut body = Some(body);
    let taken = async {
        let left = client_time_left(&head.headers)?;
        let size = declared_length(body.as_ref(), &head.headers, settings.max_message_size)?;
        // Its operations have their classes only once it is read: limits of classes are not for it.
        let held = (
            admit(listener, service, came, size as u64)?,
            admit_by_fleet_limits(service, None, &head.headers)?,
        );
        let id = id(&head.headers)?
            .map(|id| InFlightRequestId::new(service, id))
            .transpose()?;
        let body = if size > 0 {
            read_complete_body(&listener.process, body.take(), settings.body_timeout).await?
        } else {
            Bytes::new()
        };
        Ok((left, body, (held, id)))
    };
    let (left, bytes, _held) = match taken.await {
        Ok(taken) => taken,
        Err(reject) => {
            record_rejection(service, None, &reject, body.take(), settings);
            return rejected(reject, media);
        }
    };
    client.body_read.set(true);
    let to_send = match plan(service, &head, &bytes) {
        Ok(to_send) => to_send,
        Err(None) => return rejected(NO_ROUTE, media),
        Err(Some(rejection)) => {
            increment(&service.counts.unclassed().client_errors);
            return response(rejection.reply(media));
        }
    };
    // An absolute target names this sidecar; the node is to see the path alone.
    let path = std::mem::take(&mut head.uri).into_parts().path_and_query;
    head.uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let asked = Asked {
        client,
        service,
        head,
        came,
        left,
        media,
    };
    match to_send {
        ToSend::Whole(message, operations) => {
            match asked.run(&message, asked.head.headers.clone(), None).await {
                Ok(served) => served,
                Err(fault) => response(Reply::of(&fault, operations, media)),
            }
        }
        ToSend::Parts(parts) => asked.run_apart(parts).await,
    }
}

/// A newer file has taken the section away, and with it the route of a request that was on its way.
const NO_ROUTE: RequestError = RequestError::Invalid(StatusCode::NOT_FOUND, "no route takes it");

/// What goes to a server in one piece.
struct ToServer {
    classed: Classed,
    body: Bytes,
    hash_only: bool,
}

enum ToSend {
    /// With the number of its operations, if it is a batch.
    Whole(ToServer, Option<usize>),
    Parts(Vec<Result<ToServer, Fault>>),
}

/// What to send for a message; an error without a rejection where nothing knows GraphQL any more.
fn plan(service: &Service, head: &Parts, body: &Bytes) -> Result<ToSend, Option<Rejection>> {
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
            } => ToSend::Whole(
                ToServer {
                    classed,
                    body: body.clone(),
                    hash_only,
                },
                operations,
            ),
            Plan::Split(parts) => {
                let own = |part: Part<'_>| ToServer {
                    classed: part.classed,
                    body: body.slice_ref(part.body),
                    hash_only: part.hash_only,
                };
                ToSend::Parts(parts.into_iter().map(|part| part.map(own)).collect())
            }
        },
    )
}

impl Asked<'_> {
    /// One message's transaction. Its answer is a server's, or the sidecar's own error.
    async fn run(
        &self,
        message: &ToServer,
        headers: HeaderMap,
        part: Option<usize>,
    ) -> Result<Response<Body>, Fault> {
        let (service, classed) = (self.service, &message.classed);
        if service.transactions.borrow().len() >= service.active_settings().site.max_open {
            increment(&service.class_counts(classed.class).rejected_by_limit);
            return Err(Fault::refused(service.retry_after()));
        }
        let _open = service.counts.track_request();
        let now = service.process.clock.now();
        let usual = service
            .active_settings()
            .class_at(classed.class)
            .map_or(0, |entry| entry.class.deadline);
        let new = NewRequest {
            id: next_request_id(service),
            class: classed.class,
            tenant: 0,
            key: classed.key.or_else(|| subject(&headers)),
            time_left: service.process.cap_time_left(
                now,
                self.left
                    .unwrap_or(usual)
                    .saturating_sub(CLIENT_DEADLINE_MARGIN + (now - self.came)),
            ),
            cost_hint: classed.cost,
            client_retry: headers
                .get("x-second-try")
                .is_some_and(|second| second == "1"),
        };
        let is_unsafe = classed.effect == RetrySafety::NonIdempotent;
        let idempotency_record = if is_unsafe {
            IdempotencyRecord::for_request(service, &headers, part)
        } else {
            Ok(None)
        };
        let idempotency_record = idempotency_record
            .map_err(|_| Fault::bad("the id of what must not run twice is over 1,024 bytes"))?;
        let onward = ForwardedRequest {
            client: Rc::clone(self.client),
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers,
            body: RequestBody::Buffered(message.body.clone()),
            non_idempotent: is_unsafe,
            protocol: ResponseProtocol::Graphql {
                hash_only: message.hash_only,
            },
            idempotency_record,
        };
        match transaction::run(service, now, new, Rc::new(onward)).await {
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

    /// A transaction for each operation of a batch, and one answer of all of theirs.
    async fn run_apart(&self, parts: Vec<Result<ToServer, Fault>>) -> Response<Body> {
        let effects: Vec<RetrySafety> = parts
            .iter()
            .map(|part| {
                part.as_ref()
                    .map_or(RetrySafety::Idempotent, |part| part.classed.effect)
            })
            .collect();
        let mut answers = Vec::with_capacity(parts.len());
        for stage in stages(&effects) {
            let running = parts
                .get(stage.clone())
                .unwrap_or_default()
                .iter()
                .zip(stage);
            let running = running.map(|(part, number)| -> Pin<Box<dyn Future<Output = _> + '_>> {
                Box::pin(async move {
                    let message = part.as_ref().map_err(Fault::clone)?;
                    let served = self
                        .run(message, self.headers_of(number), Some(number))
                        .await?;
                    let (head, body) = served.into_parts();
                    Ok((head.status.as_u16(), collected(body).await))
                })
            });
            answers.extend(all(running.collect()).await);
        }
        let told: Vec<PartAnswer<'_>> = answers
            .iter()
            .map(|answer| match answer {
                Ok((status, body)) => PartAnswer::Served {
                    status: *status,
                    body,
                },
                Err(fault) => PartAnswer::Fault(Fault::clone(fault)),
            })
            .collect();
        response(join(&told, self.media))
    }

    /// A part is a request of its own, and so has an id of its own.
    fn headers_of(&self, number: usize) -> HeaderMap {
        let mut headers = self.head.headers.clone();
        if let Some(id) = headers.get_mut(&TRACE_ID)
            && let Ok(own) = HeaderValue::from_maybe_shared(Bytes::from(
                [id.as_bytes(), format!(".{number}").as_bytes()].concat(),
            ))
        {
            *id = own;
        }
        headers
    }
}

/// The id of a request; clients of GraphQL need not give one.
fn id(headers: &HeaderMap) -> Result<Option<&HeaderValue>, RequestError> {
    let mut ids = headers.get_all(&TRACE_ID).iter();
    match (ids.next(), ids.next()) {
        (id, None) => Ok(id.filter(|id| !id.is_empty())),
        _ => Err(bad_request("there are several X-Trace-Id")),
    }
}

/// A body that is there in whole already.
async fn collected(body: Body) -> Bytes {
    use http_body_util::BodyExt;
    match body.collect().await {
        Ok(body) => body.to_bytes(),
        // What is long is not passed on here, so it is there; else the server's answer is missing.
        Err(_) => Bytes::new(),
    }
}

/// The outputs of all futures, in their order; they run beside each other.
async fn all<T>(mut futures: Vec<Pin<Box<dyn Future<Output = T> + '_>>>) -> Vec<T> {
    let mut done: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, done) in futures
            .iter_mut()
            .zip(&mut done)
            .filter(|(_, done)| done.is_none())
        {
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                *done = Some(output);
            }
        }
        if done.iter().all(Option::is_some) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    done.into_iter().flatten().collect()
}

fn rejected(reject: RequestError, media: Media) -> Response<Body> {
    match reject {
        RequestError::LimitReached(_, retry_after) => {
            response(Reply::of(&Fault::refused(retry_after), None, media))
        }
        RequestError::Invalid(status, problem) => {
            let reply = Reply {
                status: status.as_u16(),
                ..Reply::of(&Fault::bad(problem), None, media)
            };
            let mut response = response(reply);
            // What else comes on the connection may be a part of the message.
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
