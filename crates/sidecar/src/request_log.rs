//! Log lines about single requests that were not served as usual, with the ids that their clients gave them: a client's record
//! can be followed through the attempts to what ended the request. The log bounds how many lines of a kind are written in a second.

use super::attempt::{Attempt, ForwardedRequest};
use super::exchange_progress::{AttemptEnd, ExchangeProgress};
use super::lateness::{WaitKind, WaitTimes};
use super::reason_counts::Reason;
use super::rejection::Exhaustion;
use hyper::header::HeaderValue;
use madderloom_balancer::{Micros, Outcome};
use std::fmt;

/// The most of an id that is logged, in bytes.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// An id as it is logged: its beginning, with bytes that are not printable escaped.
struct LoggedId<'a>(Option<&'a HeaderValue>);

impl fmt::Display for LoggedId<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(id) = self.0 else {
            return formatter.write_str("-");
        };
        let bytes = id.as_bytes();
        let logged = &bytes[..bytes.len().min(MAX_LOGGED_ID_BYTES)];
        logged.escape_ascii().fmt(formatter)
    }
}

/// Logs a request that was rejected before it reached the balancer.
pub(super) fn rejected(id: Option<&HeaderValue>, class: Option<&str>, exhaustion: Exhaustion) {
    tracing::info!(
        id = %LoggedId(id),
        class = class.unwrap_or("-"),
        reason = exhaustion.name(),
        "request rejected"
    );
}

/// Logs an attempt after which the request may be sent again or ends unserved, with what ended it.
pub(super) fn attempt_failed(
    request: &ForwardedRequest,
    attempt: &Attempt,
    outcome: Outcome,
    end: AttemptEnd,
) {
    let now = attempt.service.process.clock.now();
    let elapsed = attempt.wait.elapsed(now);
    tracing::info!(
        id = %LoggedId(request.id()),
        attempt = attempt.number,
        server = %attempt.service.pool.name(attempt.server),
        outcome = ?outcome,
        written = ?Written::from(&attempt.progress),
        elapsed_ms = elapsed / 1_000,
        ended_by = end.name(),
        response = %attempt.progress.response.get(),
        client_left_ms = request.deadline.remaining(now) / 1_000,
        "attempt failed"
    );
}

/// How much of a request an attempt has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Written {
    Nothing,
    Part,
    All,
}

impl From<&ExchangeProgress> for Written {
    fn from(progress: &ExchangeProgress) -> Self {
        match (progress.complete.get(), progress.started.get()) {
            (true, _) => Written::All,
            (false, true) => Written::Part,
            (false, false) => Written::Nothing,
        }
    }
}

/// How a request has ended that no server served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnservedEnd {
    /// It may have been executed.
    Failed,
    /// The balancer has rejected it.
    Rejected,
    /// Its client has left.
    Abandoned,
}

/// Logs a request that no server served. Rejections of an overload are summed up by the service, and clients leave at any time:
/// each of these is logged at the level of single requests.
pub(super) fn unserved(
    request: &ForwardedRequest,
    end: UnservedEnd,
    attempts: usize,
    elapsed: Micros,
) {
    let (id, elapsed_ms) = (LoggedId(request.id()), elapsed / 1_000);
    match end {
        UnservedEnd::Failed => tracing::info!(%id, attempts, elapsed_ms, "request failed"),
        UnservedEnd::Rejected => {
            tracing::debug!(%id, attempts, elapsed_ms, "request rejected by the balancer");
        }
        UnservedEnd::Abandoned => {
            tracing::debug!(%id, attempts, elapsed_ms, "client left before its response");
        }
    }
}

/// Logs a request that has ended later than its deadline, with what it has waited for.
pub(super) fn late(
    id: Option<&HeaderValue>,
    class: Option<&str>,
    lateness: Micros,
    waits: &WaitTimes,
) {
    let waited_ms = |kind| waits.get(kind) / 1_000;
    tracing::warn!(
        id = %LoggedId(id),
        class = class.unwrap_or("-"),
        late_ms = lateness / 1_000,
        activation_ms = waited_ms(WaitKind::Activation),
        body_ms = waited_ms(WaitKind::Body),
        memory_ms = waited_ms(WaitKind::Memory),
        servers_ms = waited_ms(WaitKind::Servers),
        "request ended later than its deadline"
    );
}
