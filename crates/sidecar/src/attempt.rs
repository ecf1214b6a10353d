//! One server-side flow: an attempt at a server, from its connection to its one outcome.

use super::client::Client;
use super::connections::ConnectError;
use super::counts::increment;
use super::exchange::{self, BodyRead, CompleteBody, ExchangeError, RequestMessage, SendProgress};
use super::readiness;
use super::response_body::{ResponseBody, StreamedResponseBody};
use super::service::Service;
use super::state_writer::{IdempotencyRecord, WriteBarrier};
use super::teller::EndedAttempt;
use super::transaction::FinalResponse;
use super::upload::{self, BodyLength, RequestBody};
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use madderloom_balancer::{AttemptResult, Event, Micros, Outcome, RequestId, ServerId};
use madderloom_graphql::Verdict;
use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// An answer of unknown length is passed on as it comes once it has gone on for so long.
const PATIENCE: Micros = 50_000;
/// One that is taken whole has stopped where nothing of it comes for so long.
const STALLED: Micros = 400_000;
/// A server that takes nothing of a body for so long hangs.
const TAKES_WITHIN: Micros = 10_000_000;
/// A server in the same zone tells within this time of the first bytes that it has dropped the connection.
const HOLD: Micros = 1_000;

const EXPIRES: HeaderName = HeaderName::from_static("x-expires-in-ms");
const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");

/// Headers that are about one connection and go no further.
pub(super) const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
];

/// What of a client's request goes on to a server.
pub(super) struct ForwardedRequest {
    /// Who asked.
    pub(super) client: Rc<Client>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) non_idempotent: bool,
    pub(super) protocol: ResponseProtocol,
    /// Where its pool keeps a ledger of what must not run twice.
    pub(super) idempotency_record: Option<IdempotencyRecord>,
}

impl ForwardedRequest {
    /// Ends at once while the client is there. Where it has gone this never ends, and all that was begun for it is dropped in
    /// a moment: to be asked just before something begins that nobody wants any more.
    pub(super) async fn wait_forever_if_client_gone(&self) {
        if self.client.has_disconnected() {
            std::future::pending().await
        }
    }
}

/// How a server's answer is understood.
#[derive(Clone, Copy)]
pub(super) enum ResponseProtocol {
    /// 200 is served.
    Http,
    /// By what it says in GraphQL.
    Graphql {
        /// The request held hashes of persisted queries alone.
        hash_only: bool,
    },
}

impl ResponseProtocol {
    /// Whether a long answer goes to the client as it comes; in GraphQL it is read first.
    fn allows_streaming(self) -> bool {
        matches!(self, ResponseProtocol::Http)
    }
}

/// An attempt that owes the module its outcome. It tells it once: at its end, or when it is dropped.
pub(super) struct Attempt {
    pub(super) service: Rc<Service>,
    pub(super) request: RequestId,
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) class: u32,
    /// The client's guess of its work.
    pub(super) cost_hint: Option<Micros>,
    pub(super) sent_at: Cell<Micros>,
    pub(super) timeout_at: Micros,
    /// Its last byte is not written from then on.
    pub(super) write_by: Micros,
    /// The transaction has had its final answer.
    pub(super) transaction_ended: Rc<Cell<bool>>,
    pub(super) outcome_reported: bool,
}

impl Attempt {
    /// Whether its request's time is over before anything of it was written, as where the process stood still while the
    /// connection came up. It is not written then: nothing has run, and its client can be told so. The time of a body that
    /// is passed on begins with its last byte.
    fn is_out_of_time(&self, onward: &ForwardedRequest) -> bool {
        onward.body.streamed().is_none() && self.service.process.clock.now() >= self.timeout_at
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.outcome_reported, true) {
            return;
        }
        let now = self.service.process.clock.now();
        // What is served goes to the client: the transaction is over with it.
        if outcome == Outcome::Ok {
            self.transaction_ended.set(true);
        }
        let closed = AttemptResult {
            request: self.request,
            attempt: self.number,
            server: self.server,
            outcome,
            elapsed: now.saturating_sub(self.sent_at.get()),
            request_ended: self.transaction_ended.get(),
        };
        let ended = EndedAttempt {
            closed,
            class: self.class,
            cost: self.cost_hint,
            sent: self.sent_at.get(),
        };
        self.service.record_attempt_end(now, &ended);
        self.service.handle(now, Event::AttemptEnded(closed));
    }
}

impl Drop for Attempt {
    /// Its connection is closed by the drop of what it was doing.
    fn drop(&mut self) {
        self.close(Outcome::Cancelled);
    }
}

/// Makes the attempt. An answer is there if its outcome was that it was served, or where the ledger does not let it be
/// sent; else the module has been told, and says what follows.
pub(super) async fn run(
    mut attempt: Attempt,
    onward: Rc<ForwardedRequest>,
) -> Option<FinalResponse> {
    if let Some(record) = &onward.idempotency_record {
        let barrier = record.pass_barrier().await;
        if barrier != WriteBarrier::Open {
            attempt.transaction_ended.set(true);
            attempt.close(Outcome::Moot);
            return Some(match barrier {
                WriteBarrier::MayHaveRun => FinalResponse::Failed,
                _ => FinalResponse::Rejected {
                    retry_after: attempt.service.retry_after(),
                },
            });
        }
        // What the disk took is no server's time.
        attempt.sent_at.set(attempt.service.process.clock.now());
    }
    let (outcome, answer) = {
        let progress = SendProgress::default();
        let service = &attempt.service;
        let exchange = exchange(&attempt, &onward, &progress);
        match limited(&attempt, &onward, exchange).await {
            Some(done) => done,
            None if progress.complete.get() => {
                service
                    .connections
                    .drop_idle_if_silent(attempt.server, attempt.sent_at.get());
                (Outcome::Timeout, None)
            }
            // It has not been written whole, and never will be: nothing can have run.
            None => (Outcome::ConnectFailed, None),
        }
    };
    attempt.close(outcome);
    answer.map(FinalResponse::Served)
}

/// The time of a request whose body is passed on runs from its last byte on.
async fn limited<T>(
    attempt: &Attempt,
    onward: &ForwardedRequest,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let process = &attempt.service.process;
    let Some(passing) = onward.body.streamed() else {
        return process.timeout_at(attempt.timeout_at, exchange).await;
    };
    let wait = attempt.timeout_at.saturating_sub(attempt.sent_at.get());
    let mut exchange = pin!(exchange);
    let mut alarm = None;
    poll_fn(|context| {
        if let Poll::Ready(done) = exchange.as_mut().poll(context) {
            return Poll::Ready(Some(done));
        }
        let Some(whole) = passing.completed_at.get() else {
            return Poll::Pending;
        };
        let alarm = alarm.get_or_insert_with(|| process.sleep_until(whole.saturating_add(wait)));
        Pin::new(alarm).poll(context).map(|()| None)
    })
    .await
}

type Ended = (Outcome, Option<Response<ResponseBody>>);

async fn exchange(attempt: &Attempt, onward: &ForwardedRequest, progress: &SendProgress) -> Ended {
    let service = &attempt.service;
    let Some(address) = service.pool.address(attempt.server) else {
        return (Outcome::Moot, None);
    };
    if onward
        .body
        .streamed()
        .is_some_and(|passing| !passing.can_be_sent())
    {
        return (Outcome::Moot, None);
    }
    // What this fleet may send to the server is spent: nothing was sent, and the module may choose another.
    let limits = &service.process.fleet_limits;
    let Ok(_open) = limits.admit_to_server(&service.name, || service.pool.name(attempt.server))
    else {
        return (Outcome::Moot, None);
    };
    let left = attempt
        .timeout_at
        .saturating_sub(attempt.sent_at.get())
        .div_ceil(1_000);
    // What may have run must not run twice: a break that comes before the last byte proves that it has not.
    let held = onward.non_idempotent
        && service.connections.recently_broke()
        && !onward.body.buffered().is_empty();
    let held = held && onward.body.streamed().is_none();
    let message = message(onward, address, left);
    let (mut lease, mut answer, head) = loop {
        let open = service.connections.acquire(attempt.server, address);
        let mut lease = match service
            .process
            .strict_timeout_at(attempt.write_by, open)
            .await
        {
            Some(Ok(lease)) => lease,
            Some(Err(ConnectError::Failed)) => return (Outcome::ConnectFailed, None),
            // Or its idempotency window ends: servers that have forgotten the first attempt would run this one.
            Some(Err(ConnectError::NoCapacity)) | None => return (Outcome::Moot, None),
        };
        if !service.pool.accepts_new_attempts(
            attempt.server,
            address,
            &service.process.server_overrides.borrow(),
        ) {
            return (Outcome::Moot, None);
        }
        onward.wait_forever_if_client_gone().await;
        if attempt.is_out_of_time(onward) {
            service.connections.release(lease);
            return (Outcome::Moot, None);
        }
        let hold = held.then(|| service.process.sleep(HOLD));
        let send = exchange::send(&lease.stream, &message, hold, progress);
        let Some(mut sent) = service
            .process
            .strict_timeout_at(attempt.write_by, send)
            .await
        else {
            if !progress.started.get() {
                service.connections.release(lease);
            }
            return (Outcome::Moot, None);
        };
        if let (Some(passing), Ok(())) = (onward.body.streamed(), &sent) {
            let at_hand = progress.complete.replace(false);
            if at_hand {
                sent = pass_on(attempt, passing, &lease.stream, progress).await;
            }
        }
        if progress.complete.get() {
            increment(&service.counts.attempts_sent);
        }
        let mut answer = exchange::ResponseReader::default();
        let head = match sent {
            Ok(_) => answer.read_head(&mut lease.stream).await,
            Err(broken) => Err(broken),
        };
        match head {
            Ok(head) => break (lease, answer, head),
            // It was closed while it lay idle, and not one byte has gone out: this is still the same attempt.
            Err(_) if lease.reused && !progress.started.get() => {}
            Err(broken) => {
                // An answer that cannot be read says nothing of the connections.
                if broken == ExchangeError::Connection && progress.started.get() {
                    service.connections.record_break();
                }
                // With the last byte on its way it may have run: an unsafe request must not go out again.
                let whole = progress.complete.get();
                return (
                    if whole {
                        Outcome::Reset
                    } else {
                        Outcome::ConnectFailed
                    },
                    None,
                );
            }
        }
    };
    let taken = match answer.take_buffered_body(&head) {
        Some(body) => BodyRead::Complete(body),
        None => {
            let patience = service.process.sleep(PATIENCE);
            let stalls = || service.process.sleep(STALLED);
            let rest = answer.read_body_start(&head, &mut lease.stream, patience, stalls);
            match rest.await {
                Ok(taken) => taken,
                // Broken off, or shorter than its head says.
                Err(_) => return (Outcome::Reset, None),
            }
        }
    };
    service.connections.record_response(attempt.server);
    let whole = progress.complete.get();
    match taken {
        BodyRead::Complete(CompleteBody { body, reusable }) => {
            // A server that has left or moved meanwhile gets nothing more over it, nor does one that has not had all.
            if reusable && whole && service.pool.address(attempt.server) == Some(address) {
                service.connections.release(lease);
            }
            judge(head.status, head.headers, body, onward.protocol)
        }
        // Read to its end by whoever is the client; of one that is no answer nothing is wanted.
        BodyRead::Partial { first, unwrapper }
            if head.status == StatusCode::OK && onward.protocol.allows_streaming() =>
        {
            let reusable = head.keep_alive && whole;
            let unread = answer.into_unread();
            let (service, server) = (Rc::clone(service), attempt.server);
            let lease = Some(lease);
            let passing = StreamedResponseBody {
                service,
                server,
                address,
                lease,
                reusable,
                undecoded: unread,
                unwrapper,
                decoded: first,
                resources: None,
            };
            let mut response = Response::new(ResponseBody::Streamed(Box::new(passing)));
            *response.headers_mut() = head.headers;
            (Outcome::Ok, Some(response))
        }
        BodyRead::Partial { .. } if onward.protocol.allows_streaming() => {
            judge(head.status, head.headers, Bytes::new(), onward.protocol)
        }
        // Longer than an answer may be.
        BodyRead::Partial { .. } => (Outcome::Reset, None),
    }
}

/// Writes the rest of a body as it comes, and says when it is whole. A server that answers or closes before that gets no
/// more.
async fn pass_on(
    attempt: &Attempt,
    passing: &upload::StreamedRequestBody,
    stream: &TcpStream,
    progress: &SendProgress,
) -> Result<(), ExchangeError> {
    let service = &attempt.service;
    let Some(mut reader) = passing.take_remainder() else {
        return Ok(());
    };
    let chunked = passing.length == BodyLength::Chunked;
    let mut result = Ok(());
    let whole = loop {
        let piece = {
            let (mut next, mut speaks) = (
                pin!(reader.next(&service.process)),
                pin!(readiness::peer_readable(stream)),
            );
            poll_fn(|context| match next.as_mut().poll(context) {
                Poll::Ready(piece) => Poll::Ready(Some(piece)),
                Poll::Pending => speaks.as_mut().poll(context).map(|()| None),
            })
            .await
        };
        let Some(piece) = piece else { break false };
        let (bytes, last) = match piece {
            Ok(Some(data)) => {
                // Nothing of it is kept, so it can't be sent again.
                if !passing.consumed.replace(true) {
                    service.handle(
                        service.process.clock.now(),
                        Event::RetriesDisabled(attempt.request),
                    );
                }
                (if chunked { chunk(&data) } else { data }, false)
            }
            Ok(None) => (
                Bytes::from_static(if chunked { b"0\r\n\r\n" } else { b"" }),
                true,
            ),
            Err(reject) => {
                passing.failure.replace(Some(reject));
                // With its client's part missing there is nothing to wait for.
                result = Err(ExchangeError::Malformed);
                break false;
            }
        };
        let written = service
            .process
            .timeout(TAKES_WITHIN, exchange::write_body(stream, &bytes))
            .await;
        match written.unwrap_or(Err(ExchangeError::Connection)) {
            Ok(true) if last => break true,
            Ok(true) => {}
            Ok(false) => break false,
            Err(broken) => {
                result = Err(broken);
                break false;
            }
        }
    };
    if whole {
        let now = service.process.clock.now();
        progress.complete.set(true);
        passing.completed_at.set(Some(now));
        attempt.sent_at.set(now);
        service.handle(now, Event::RequestBodyReceived(attempt.request));
    } else {
        passing.return_remainder(reader);
    }
    result
}

fn chunk(data: &Bytes) -> Bytes {
    let mut chunk = BytesMut::with_capacity(data.len() + 20);
    chunk.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk.freeze()
}

fn message(onward: &ForwardedRequest, address: SocketAddr, left_ms: u64) -> RequestMessage {
    let target = onward
        .uri
        .path_and_query()
        .map_or("/", PathAndQuery::as_str);
    let mut message = RequestMessage::new(&onward.method, target);
    for (name, value) in &onward.headers {
        if *name != EXPIRES && !HOP_BY_HOP_HEADERS.contains(name) {
            message.add_header(name, value);
        }
    }
    message.add_number_header(&EXPIRES, left_ms);
    if !onward.headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()))
    {
        message.add_header(&header::HOST, &host);
    }
    let body = onward.body.buffered().clone();
    match onward.body.streamed().map(|passing| passing.length) {
        Some(BodyLength::Known(length)) => {
            message.add_number_header(&header::CONTENT_LENGTH, length)
        }
        Some(BodyLength::Chunked) => {
            message.add_header(
                &header::TRANSFER_ENCODING,
                &HeaderValue::from_static("chunked"),
            );
            message.finish(chunk(&body));
            return message;
        }
        None if onward.method != Method::GET || !body.is_empty() => {
            message.add_number_header(&header::CONTENT_LENGTH, body.len() as u64);
        }
        None => {}
    }
    message.finish(body);
    message
}

fn judge(status: StatusCode, headers: HeaderMap, body: Bytes, protocol: ResponseProtocol) -> Ended {
    let never_ran = headers.get(NEVER_RAN).is_some_and(|v| v == "1");
    let is_answer = match protocol {
        ResponseProtocol::Http => status == StatusCode::OK,
        ResponseProtocol::Graphql { hash_only } => {
            let media = headers
                .get(header::CONTENT_TYPE)
                .and_then(|media| media.to_str().ok());
            // A server's "not found" is an answer too: nothing ran, and the client knows what to send.
            madderloom_graphql::judge(status.as_u16(), media, &body, hash_only) != Verdict::Failure
        }
    };
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            (Outcome::Full, None)
        }
        _ if is_answer => {
            let mut answer = Response::new(ResponseBody::Buffered(Full::new(body)));
            *answer.status_mut() = status;
            *answer.headers_mut() = headers;
            (Outcome::Ok, Some(answer))
        }
        _ => (Outcome::Error, None),
    }
}
