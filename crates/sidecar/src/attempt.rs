//! One attempt to serve a request by a server, from acquiring a connection to its single outcome.

use super::attempt_limits::{AttemptLimits, until_expired, with_time_limit};
use super::client::Client;
use super::connections::ConnectError;
use super::counts::increment;
use super::exchange::{
    self, BodyRead, BufferingPolicy, CompleteBody, ExchangeError, MAX_BODY_PAUSE, RequestMessage,
    ResponseHead,
};
use super::exchange_progress::{AttemptEnd, ExchangeProgress};
use super::history_recorder::EndedAttempt;
use super::readiness;
use super::request_deadline::RequestDeadline;
use super::request_log;
use super::response_body::{MAX_BYTES_PER_TURN, ResponseBody, StreamedResponseBody, TurnBytes};
use super::service::Service;
use super::stall::AwaitedResponse;
use super::state_writer::{IdempotencyRecord, WriteBarrier};
use super::timers::before;
use super::transaction::FinalResponse;
use super::upload::{BodyLength, RequestBody};
use super::virtual_server::TRACE_ID;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use madderloom_balancer::{AttemptResult, Event, Micros, Outcome, RequestId, ServerId};
use madderloom_graphql::Verdict;
use rustix::net::sockopt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// A server that accepts no byte of a streamed request body for this time counts as hung.
const BODY_WRITE_TIMEOUT: Micros = 10_000_000;
/// How long the last byte of a non-idempotent request is held back after connections have broken. A server in the same zone
/// reports a dropped connection within this time of the first bytes.
const LAST_BYTE_DELAY: Micros = 1_000;

/// Send buffer for an upload that was read completely, in bytes.
const BUFFERED_UPLOAD_SEND_BUFFER_BYTES: usize = 64 << 10;
/// Send buffer for an upload that is streamed, in bytes. A smaller one would make a client wait for its server while it could go on
/// writing, so that its unread bytes would count as a complete body.
const STREAMED_UPLOAD_SEND_BUFFER_BYTES: usize = 256 << 10;

const EXPIRES_IN_MS: HeaderName = HeaderName::from_static("x-expires-in-ms");
const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");

/// Headers that apply to one connection and are not forwarded.
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

/// The part of a client's request that is forwarded to a server.
pub(super) struct ForwardedRequest {
    pub(super) client: Rc<Client>,
    pub(super) deadline: Rc<RequestDeadline>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) non_idempotent: bool,
    /// It is non-idempotent and was written completely to a server, which has neither responded nor proved that it did not run.
    pub(super) may_have_run_unanswered: Rc<Cell<bool>>,
    pub(super) protocol: ResponseProtocol,
    /// Set if the pool keeps idempotency records and the request must not run twice.
    pub(super) idempotency_record: Option<IdempotencyRecord>,
}

impl ForwardedRequest {
    /// The id that the client gave it.
    pub(super) fn id(&self) -> Option<&HeaderValue> {
        self.headers.get(TRACE_ID)
    }

    /// Returns immediately while the client is connected. Once it has disconnected this never completes, and the request's
    /// task is dropped shortly after. To be awaited before work starts that nobody would use.
    pub(super) async fn wait_forever_if_client_gone(&self) {
        if self.client.has_disconnected() {
            std::future::pending().await
        }
    }
}

/// How a server's response is interpreted.
#[derive(Clone, Copy)]
pub(super) enum ResponseProtocol {
    /// Status 200 counts as served.
    Http,
    /// The outcome follows from the GraphQL response.
    Graphql {
        /// The request contained only hashes of persisted queries.
        hash_only: bool,
    },
}

impl ResponseProtocol {
    /// Whether a long response is streamed to the client. A GraphQL response is buffered, since it has to be interpreted first.
    fn allows_streaming(self) -> bool {
        matches!(self, ResponseProtocol::Http)
    }
}

/// An attempt whose outcome the balancer expects. It is reported exactly once: when the attempt ends or is dropped.
pub(super) struct Attempt {
    pub(super) service: Rc<Service>,
    pub(super) request: RequestId,
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) class: u32,
    /// The client's estimate of the work, in microseconds.
    pub(super) cost_hint: Option<Micros>,
    /// The wait for the response, since the attempt started; after a streamed request body, since its last byte was written.
    pub(super) wait: AwaitedResponse,
    pub(super) limits: AttemptLimits,
    /// How far the exchange with the server has come.
    pub(super) progress: ExchangeProgress,
    /// The transaction has its final response.
    pub(super) transaction_ended: Rc<Cell<bool>>,
    pub(super) outcome_reported: bool,
}

impl Attempt {
    /// Whether the request timed out before any of it was written, for example because the process was suspended while the
    /// connection was established. The request is not written then, so the client can be told that it was not executed.
    /// With a streamed body, the attempt ends with the deadline of its request.
    fn has_expired_unsent(&self, forwarded: &ForwardedRequest) -> bool {
        forwarded.body.streamed().is_none()
            && self.service.process.clock.read() >= self.limits.header_timeout_at
    }

    /// Until when another server has time to answer in the place of this one, should its response pause. 0 if the request must
    /// not be sent again.
    fn retry_until(&self, forwarded: &ForwardedRequest) -> Micros {
        if forwarded.non_idempotent {
            return 0;
        }
        self.limits.header_timeout_at.saturating_sub(MAX_BODY_PAUSE)
    }

    /// Reports the outcome to the service and the balancer, unless one was reported before.
    fn report_outcome(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.outcome_reported, true) {
            return;
        }
        let now = self.service.process.clock.now();
        // A served response is returned to the client, which ends the transaction.
        if outcome == Outcome::Ok {
            self.transaction_ended.set(true);
        }
        let closed = AttemptResult {
            request: self.request,
            attempt: self.number,
            server: self.server,
            outcome,
            elapsed: self.wait.elapsed(now),
            request_ended: self.transaction_ended.get(),
        };
        let ended = EndedAttempt {
            result: closed,
            class: self.class,
            cost_hint: self.cost_hint,
            sent_at: self.wait.since(),
        };
        self.service.record_attempt_end(now, &ended);
        self.service.handle(now, Event::AttemptEnded(closed));
    }
}

impl Drop for Attempt {
    /// The connection is closed because the future that uses it is dropped too.
    fn drop(&mut self) {
        if !self.outcome_reported && self.progress.has_response() {
            let counts = &self.service.counts.unfinished_responses;
            counts.record(AttemptEnd::Cancelled);
        }
        self.report_outcome(Outcome::Cancelled);
    }
}

/// Makes the attempt. Returns a response if the request was served, or if its idempotency record does not allow it to be
/// sent. Otherwise the balancer was notified of the outcome and decides on the next step.
pub(super) async fn run(
    mut attempt: Attempt,
    forwarded: Rc<ForwardedRequest>,
) -> Option<FinalResponse> {
    if let Some(record) = &forwarded.idempotency_record {
        // Dropped at the deadline, the record lets no attempt through; nothing of the request was sent.
        let barrier = until_expired(&forwarded, record.pass_barrier()).await;
        let barrier = barrier.unwrap_or(WriteBarrier::Rejected);
        if barrier != WriteBarrier::Open {
            attempt.transaction_ended.set(true);
            attempt.report_outcome(Outcome::Moot);
            return Some(match barrier {
                WriteBarrier::MayHaveRun => FinalResponse::Failed,
                _ => FinalResponse::Rejected {
                    retry_after: attempt.service.retry_after(),
                },
            });
        }
        // The time of the disk write does not count as the server's.
        attempt.wait.restart(attempt.service.process.clock.now());
    }
    let exchanged = with_time_limit(&attempt, &forwarded, exchange(&attempt, &forwarded)).await;
    let (outcome, response, end) = match exchanged {
        Ok((outcome, response)) => (outcome, response, AttemptEnd::Server),
        Err(limit) if attempt.progress.complete.get() => {
            let connections = &attempt.service.connections;
            connections.drop_idle_if_silent(attempt.server, attempt.wait.since());
            (Outcome::Timeout, None, limit)
        }
        // The request was not completely written and never will be, so it cannot have run.
        Err(limit) => (Outcome::ConnectFailed, None, limit),
    };
    if matches!(
        outcome,
        Outcome::Ok | Outcome::Full | Outcome::ConnectFailed | Outcome::Moot
    ) {
        forwarded.may_have_run_unanswered.set(false);
    }
    if outcome != Outcome::Ok {
        request_log::attempt_failed(&forwarded, &attempt, outcome, end);
        if attempt.progress.has_response() {
            attempt.service.counts.unfinished_responses.record(end);
            forwarded.deadline.set_response_started(false);
        }
    }
    attempt.report_outcome(outcome);
    response.map(FinalResponse::Served)
}

type ExchangeResult = (Outcome, Option<Response<ResponseBody>>);

async fn exchange(attempt: &Attempt, forwarded: &ForwardedRequest) -> ExchangeResult {
    let (service, progress) = (&attempt.service, &attempt.progress);
    let Some(incarnation) = service.pool.incarnation(attempt.server) else {
        return (Outcome::Moot, None);
    };
    let address = incarnation.address;
    if forwarded
        .body
        .streamed()
        .is_some_and(|streamed| !streamed.can_be_sent())
    {
        return (Outcome::Moot, None);
    }
    // The fleet-wide limit for this server is reached: nothing was sent, and the balancer may choose another server.
    let limits = &service.process.fleet_limits;
    let Ok(_permit) = limits.admit_to_server(&service.name, || service.pool.name(attempt.server))
    else {
        return (Outcome::Moot, None);
    };
    let left = if forwarded.body.is_upload() {
        forwarded.deadline.upload_time_left(attempt.wait.since())
    } else {
        let timeout_at = attempt.limits.header_timeout_at;
        timeout_at.saturating_sub(attempt.wait.since())
    };
    let left_ms = left.div_ceil(1_000);
    // A request that may have run must not run twice. If the connection breaks before the last byte, it has not run.
    let delays_last_byte = forwarded.non_idempotent
        && service.connections.recently_broke()
        && !forwarded.body.buffered().is_empty();
    let delays_last_byte = delays_last_byte && forwarded.body.streamed().is_none();
    let message = build_request(forwarded, address, left_ms);
    let (connection, mut response, head) = loop {
        let connecting = service.connections.acquire(attempt.server, address);
        let connection = match service
            .process
            .strict_timeout_at(attempt.limits.write_by, connecting)
            .await
        {
            Some(Ok(connection)) => connection,
            Some(Err(ConnectError::Failed)) => return (Outcome::ConnectFailed, None),
            // Also when the idempotency window ends: servers that have forgotten the first attempt would run this one.
            Some(Err(ConnectError::NoCapacity)) | None => return (Outcome::Moot, None),
        };
        if !service.pool.accepts_new_attempts(
            attempt.server,
            incarnation,
            &service.process.server_overrides.borrow(),
        ) {
            return (Outcome::Moot, None);
        }
        forwarded.wait_forever_if_client_gone().await;
        if attempt.has_expired_unsent(forwarded) {
            service.connections.release(connection);
            return (Outcome::Moot, None);
        }
        if forwarded.body.is_upload() {
            limit_send_buffer(&connection.stream, &forwarded.body);
        }
        let delay = delays_last_byte.then(|| service.process.sleep(LAST_BYTE_DELAY));
        let send = exchange::send(&connection.stream, &message, delay, progress);
        let Some(mut send_result) = service
            .process
            .strict_timeout_at(attempt.limits.write_by, send)
            .await
        else {
            if !progress.started.get() {
                service.connections.release(connection);
            }
            return (Outcome::Moot, None);
        };
        if forwarded.body.streamed().is_some() && send_result.is_ok() {
            let buffered_part_sent = progress.complete.replace(false);
            if buffered_part_sent {
                send_result = stream_request_body(attempt, forwarded, &connection.stream).await;
            }
        }
        if progress.complete.get() {
            if forwarded.body.is_upload() {
                let now = service.process.clock.now();
                attempt.wait.restart(now);
                service.handle(now, Event::RequestBodyReceived(attempt.request));
            }
            let unanswered = &forwarded.may_have_run_unanswered;
            unanswered.set(forwarded.non_idempotent);
            increment(&service.counts.attempts_sent);
        }
        let mut response = exchange::ResponseReader::default();
        let head = match send_result {
            Ok(_) => response.read_head(&connection.stream).await,
            Err(error) => Err(error),
        };
        match head {
            Ok(head) => break (connection, response, head),
            // The server closed the idle connection and no byte was sent: retry within the same attempt.
            Err(_) if connection.reused && !progress.started.get() => {}
            Err(error) => {
                // A malformed response is no sign that connections are breaking.
                if error == ExchangeError::Connection && progress.started.get() {
                    service.connections.record_break();
                }
                // Once the last byte is written the request may have run: a non-idempotent one must not be sent again.
                let request_complete = progress.complete.get();
                return (
                    if request_complete {
                        Outcome::Reset
                    } else {
                        Outcome::ConnectFailed
                    },
                    None,
                );
            }
        }
    };
    let body_read = match response.take_buffered_body(&head) {
        Some(body) => BodyRead::Complete(body),
        None => {
            report_response_start(attempt, forwarded, &head);
            let may_stream = forwarded.protocol.allows_streaming();
            let buffering = BufferingPolicy {
                may_stream,
                retry_until: attempt.retry_until(forwarded),
            };
            let policy = (buffering, progress);
            let rest =
                response.read_body_start(&service.process, &head, &connection.stream, policy);
            match rest.await {
                Ok(body_read) => body_read,
                // The body ended early, or a short one stopped half way.
                Err(_) => return (Outcome::Reset, None),
            }
        }
    };
    service.connections.record_response(attempt.server);
    let request_complete = progress.complete.get();
    match body_read {
        BodyRead::Complete(CompleteBody { body, reusable }) => {
            // Not reused if the server has left, moved or started again, or has not received the complete request.
            let is_current = service.pool.incarnation(attempt.server) == Some(incarnation);
            if reusable && request_complete && is_current {
                service.connections.release(connection);
            }
            interpret_response(head.status, head.headers, body, forwarded.protocol)
        }
        // The client reads the rest of the body. The body of an error response is not needed.
        BodyRead::Partial { decoded, decoder }
            if head.status == StatusCode::OK && forwarded.protocol.allows_streaming() =>
        {
            let reusable = head.keep_alive && request_complete;
            let unread = response.into_unread();
            let (service, server) = (Rc::clone(service), attempt.server);
            let connection = Some(connection);
            let streamed_body = StreamedResponseBody {
                service,
                server,
                incarnation,
                connection,
                reusable,
                undecoded: unread,
                decoder,
                decoded,
                read_in_turn: TurnBytes::default(),
                resources: None,
            };
            let mut served = Response::new(ResponseBody::Streamed(Box::new(streamed_body)));
            *served.headers_mut() = head.headers;
            (Outcome::Ok, Some(served))
        }
        BodyRead::Partial { .. } if forwarded.protocol.allows_streaming() => {
            interpret_response(head.status, head.headers, Bytes::new(), forwarded.protocol)
        }
        // Longer than the limit for a buffered response.
        BodyRead::Partial { .. } => (Outcome::Reset, None),
    }
}

/// Limits the send buffer of an upload, so that the bytes that the system accepts show the pace at which the server reads. The
/// buffered prefix of a streamed upload always fits, or what its client sends after it would stay unread.
fn limit_send_buffer(stream: &TcpStream, body: &RequestBody) {
    let bytes = match body {
        RequestBody::Buffered(_) => BUFFERED_UPLOAD_SEND_BUFFER_BYTES,
        RequestBody::Streamed(_) => STREAMED_UPLOAD_SEND_BUFFER_BYTES,
    };
    if body.streamed().is_some() && body.buffered().len() > bytes {
        return;
    }
    if let Err(error) = sockopt::set_socket_send_buffer_size(stream, bytes) {
        tracing::debug!(%error, "send buffer of an upload not limited");
    }
}

/// Reports to the balancer that a successful response has started and is not complete.
fn report_response_start(attempt: &Attempt, forwarded: &ForwardedRequest, head: &ResponseHead) {
    if head.status != StatusCode::OK {
        return;
    }
    attempt.progress.record_response_head(head.body_length());
    forwarded.deadline.set_response_started(true);
    let started = Event::ResponseStarted {
        request: attempt.request,
        attempt: attempt.number,
    };
    let service = &attempt.service;
    service.handle(service.process.clock.now(), started);
}

/// Writes the rest of a request body as the client sends it. Stops if
/// the server responds or closes the connection before that.
async fn stream_request_body(
    attempt: &Attempt,
    forwarded: &ForwardedRequest,
    stream: &TcpStream,
) -> Result<(), ExchangeError> {
    let progress = &attempt.progress;
    let service = &attempt.service;
    let Some(streamed) = forwarded.body.streamed() else {
        return Ok(());
    };
    let Some(mut reader) = streamed.take_remainder() else {
        return Ok(());
    };
    let chunked = forwarded.deadline.length() == BodyLength::Chunked;
    let mut result = Ok(());
    let mut bytes_in_turn = 0;
    let request_complete = loop {
        if bytes_in_turn >= MAX_BYTES_PER_TURN {
            bytes_in_turn = 0;
            tokio::task::yield_now().await;
        }
        let next = reader.next(&service.process);
        let piece = before(readiness::peer_readable(stream), next).await;
        let Some(piece) = piece else { break false };
        let (bytes, last) = match piece {
            Ok(Some(data)) => {
                // This part of the body is not buffered, so the request can't be retried.
                if !streamed.consumed.replace(true) {
                    service.handle(
                        service.process.clock.now(),
                        Event::RetriesDisabled(attempt.request),
                    );
                }
                (if chunked { encode_chunk(&data) } else { data }, false)
            }
            Ok(None) => (
                Bytes::from_static(if chunked { b"0\r\n\r\n" } else { b"" }),
                true,
            ),
            Err(request_error) => {
                streamed.failure.replace(Some(request_error));
                // The client's body is incomplete, so no response is awaited.
                result = Err(ExchangeError::Malformed);
                break false;
            }
        };
        let written = service
            .process
            .timeout(
                BODY_WRITE_TIMEOUT,
                exchange::write_body(stream, &bytes, progress),
            )
            .await;
        match written.unwrap_or(Err(ExchangeError::Connection)) {
            Ok(true) if last => break true,
            Ok(true) => bytes_in_turn += bytes.len(),
            Ok(false) => break false,
            Err(error) => {
                result = Err(error);
                break false;
            }
        }
    };
    if request_complete {
        progress.complete.set(true);
        let last_byte_at = forwarded.deadline.record_body_complete();
        streamed.completed_at.set(Some(last_byte_at));
        reader.finish();
    }
    result
}

/// Encodes data as one chunk of the chunked transfer coding.
fn encode_chunk(data: &Bytes) -> Bytes {
    let mut chunk = BytesMut::with_capacity(data.len() + 20);
    chunk.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk.freeze()
}

fn build_request(
    forwarded: &ForwardedRequest,
    address: SocketAddr,
    left_ms: u64,
) -> RequestMessage {
    let target = forwarded
        .uri
        .path_and_query()
        .map_or("/", PathAndQuery::as_str);
    let mut message = RequestMessage::new(&forwarded.method, target);
    for (name, value) in &forwarded.headers {
        if *name != EXPIRES_IN_MS && !HOP_BY_HOP_HEADERS.contains(name) {
            message.add_header(name, value);
        }
    }
    message.add_number_header(&EXPIRES_IN_MS, left_ms);
    if !forwarded.headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()))
    {
        message.add_header(&header::HOST, &host);
    }
    let body = forwarded.body.buffered().clone();
    match forwarded
        .body
        .streamed()
        .map(|_| forwarded.deadline.length())
    {
        Some(BodyLength::Known(length)) => {
            message.add_number_header(&header::CONTENT_LENGTH, length)
        }
        Some(BodyLength::Chunked) => {
            message.add_header(
                &header::TRANSFER_ENCODING,
                &HeaderValue::from_static("chunked"),
            );
            message.finish(encode_chunk(&body));
            return message;
        }
        None if forwarded.method != Method::GET || !body.is_empty() => {
            message.add_number_header(&header::CONTENT_LENGTH, body.len() as u64);
        }
        None => {}
    }
    message.finish(body);
    message
}

/// The outcome that a complete response stands for, and the response to return if it counts as served.
fn interpret_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    protocol: ResponseProtocol,
) -> ExchangeResult {
    let never_ran = headers.get(NEVER_RAN).is_some_and(|v| v == "1");
    let is_served = match protocol {
        ResponseProtocol::Http => status == StatusCode::OK,
        ResponseProtocol::Graphql { hash_only } => {
            let content_type = headers
                .get(header::CONTENT_TYPE)
                .and_then(|content_type| content_type.to_str().ok());
            // "Persisted query not found" counts as served: nothing ran, and the client knows what to send.
            madderloom_graphql::judge(status.as_u16(), content_type, &body, hash_only)
                != Verdict::Failure
        }
    };
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            (Outcome::Full, None)
        }
        _ if is_served => {
            let mut response = Response::new(ResponseBody::Buffered(Full::new(body)));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            (Outcome::Ok, Some(response))
        }
        _ => (Outcome::Error, None),
    }
}
