//! One server-side flow: an attempt at a server, from its connection to its one outcome.

use super::connections::NoConnection;
use super::counts::count;
use super::exchange::{self, Broken, Message, Progress, Whole};
use super::ledger::{Entry, Gate};
use super::service::Service;
use super::teller::EndedAttempt;
use super::transaction::Answer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, header};
use madderloom_balancer::{Closed, Event, Micros, Outcome, RequestId, ServerId};
use madderloom_graphql::Verdict;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// An answer is written once it is made, so its body comes right behind its head or not at all.
const STALLED: Micros = 250_000;
/// A server in the same zone tells within this time of the first bytes that it has dropped the connection.
const HOLD: Micros = 1_000;

const EXPIRES: HeaderName = HeaderName::from_static("x-expires-in-ms");
const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");

/// Headers that are about one connection and go no further.
pub(super) const HOP: [HeaderName; 8] = [
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
pub(super) struct Onward {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) unsafe_to_repeat: bool,
    pub(super) reading: Reading,
    /// Where its pool keeps a ledger of what must not run twice.
    pub(super) entry: Option<Entry>,
}

/// How a server's answer is understood.
#[derive(Clone, Copy)]
pub(super) enum Reading {
    /// 200 is served.
    Plain,
    /// By what it says in GraphQL.
    Graphql {
        /// The request held hashes of persisted queries alone.
        hash_only: bool,
    },
}

/// An attempt that owes the module its outcome. It tells it once: at its end, or when it is dropped.
pub(super) struct Attempt {
    pub(super) service: Rc<Service>,
    pub(super) request: RequestId,
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) class: u32,
    /// The client's guess of its work.
    pub(super) cost: Option<Micros>,
    pub(super) sent: Micros,
    pub(super) timeout_at: Micros,
    /// The transaction has had its final answer.
    pub(super) over: Rc<Cell<bool>>,
    pub(super) closed: bool,
}

impl Attempt {
    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.closed, true) {
            return;
        }
        let now = self.service.common.clock.now();
        // What is served goes to the client: the transaction is over with it.
        if outcome == Outcome::Ok {
            self.over.set(true);
        }
        let closed = Closed {
            request: self.request,
            attempt: self.number,
            server: self.server,
            outcome,
            elapsed: now.saturating_sub(self.sent),
            ended: self.over.get(),
        };
        let ended = EndedAttempt { closed, class: self.class, cost: self.cost, sent: self.sent };
        self.service.attempt_ended(now, &ended);
        self.service.handle(now, Event::Closed(closed));
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
pub(super) async fn run(mut attempt: Attempt, onward: Rc<Onward>) -> Option<Answer> {
    if let Some(entry) = &onward.entry {
        let gate = entry.pass().await;
        if gate != Gate::Open {
            attempt.over.set(true);
            attempt.close(Outcome::Moot);
            return Some(match gate {
                Gate::MayHaveRun => Answer::Failed,
                _ => Answer::Refused { retry_after: attempt.service.retry_after() },
            });
        }
        // What the disk took is no server's time.
        attempt.sent = attempt.service.common.clock.now();
    }
    let (outcome, answer) = {
        let progress = Progress::default();
        let service = &attempt.service;
        let exchange = exchange(&attempt, &onward, &progress);
        match service.common.until(attempt.timeout_at, exchange).await {
            Some(done) => done,
            None if progress.whole.get() => {
                service.connections.suspect(attempt.server, attempt.sent);
                (Outcome::Timeout, None)
            }
            // It has not been written whole, and never will be: nothing can have run.
            None => (Outcome::ConnectFailed, None),
        }
    };
    attempt.close(outcome);
    answer.map(Answer::Served)
}

type Ended = (Outcome, Option<Response<Full<Bytes>>>);

async fn exchange(attempt: &Attempt, onward: &Onward, progress: &Progress) -> Ended {
    let service = &attempt.service;
    let Some(address) = service.pool.address(attempt.server) else { return (Outcome::Moot, None) };
    let left = attempt.timeout_at.saturating_sub(attempt.sent).div_ceil(1_000);
    // What may have run must not run twice: a break that comes before the last byte proves that it has not.
    let held = onward.unsafe_to_repeat && service.connections.are_breaking() && !onward.body.is_empty();
    let message = message(onward, address, left);
    let (mut lease, mut answer, head) = loop {
        let mut lease = match service.connections.take(attempt.server, address).await {
            Ok(lease) => lease,
            Err(NoConnection::Failed) => return (Outcome::ConnectFailed, None),
            Err(NoConnection::Exhausted) => return (Outcome::Moot, None),
        };
        let hold = held.then(|| service.common.alarm_in(HOLD));
        let sent = exchange::send(&lease.stream, &message, hold, progress).await;
        if progress.whole.get() {
            count(&service.counts.relayed);
        }
        let mut answer = exchange::Answer::default();
        let head = match sent {
            Ok(_) => answer.head(&mut lease.stream).await,
            Err(broken) => Err(broken),
        };
        match head {
            Ok(head) => break (lease, answer, head),
            // It was closed while it lay idle, and not one byte has gone out: this is still the same attempt.
            Err(_) if lease.used && !progress.begun.get() => {}
            Err(broken) => {
                // An answer that cannot be read says nothing of the connections.
                if broken == Broken::Connection && progress.begun.get() {
                    service.connections.broke();
                }
                // With the last byte on its way it may have run: an unsafe request must not go out again.
                let whole = progress.whole.get();
                return (if whole { Outcome::Reset } else { Outcome::ConnectFailed }, None);
            }
        }
    };
    let body = match answer.body_at_hand(&head) {
        Some(body) => Some(body),
        None => {
            let rest = answer.body(&head, &mut lease.stream);
            service.common.within(STALLED, rest).await.and_then(Result::ok)
        }
    };
    // Broken off, longer than an answer may be, or shorter than its head says.
    let Some(Whole { body, reusable }) = body else { return (Outcome::Reset, None) };
    service.connections.heard(attempt.server);
    // A server that has left or moved meanwhile gets nothing more over it, nor does one that has not had all.
    if reusable && progress.whole.get() && service.pool.address(attempt.server) == Some(address) {
        service.connections.keep(lease);
    }
    judge(head.status, head.headers, body, onward.reading)
}

fn message(onward: &Onward, address: SocketAddr, left_ms: u64) -> Message {
    let target = onward.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut message = Message::new(&onward.method, target);
    for (name, value) in &onward.headers {
        if *name != EXPIRES && !HOP.contains(name) {
            message.header(name, value);
        }
    }
    message.number(&EXPIRES, left_ms);
    if !onward.headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()))
    {
        message.header(&header::HOST, &host);
    }
    if onward.method != Method::GET || !onward.body.is_empty() {
        message.number(&header::CONTENT_LENGTH, onward.body.len() as u64);
    }
    message.end(onward.body.clone());
    message
}

fn judge(status: StatusCode, headers: HeaderMap, body: Bytes, reading: Reading) -> Ended {
    let never_ran = headers.get(NEVER_RAN).is_some_and(|v| v == "1");
    let is_answer = match reading {
        Reading::Plain => status == StatusCode::OK,
        Reading::Graphql { hash_only } => {
            let media = headers.get(header::CONTENT_TYPE).and_then(|media| media.to_str().ok());
            // A server's "not found" is an answer too: nothing ran, and the client knows what to send.
            madderloom_graphql::judge(status.as_u16(), media, &body, hash_only) != Verdict::Failure
        }
    };
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => (Outcome::Full, None),
        _ if is_answer => {
            let mut answer = Response::new(Full::new(body));
            *answer.status_mut() = status;
            *answer.headers_mut() = headers;
            (Outcome::Ok, Some(answer))
        }
        _ => (Outcome::Error, None),
    }
}
