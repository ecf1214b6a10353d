//! How long an attempt may take: until its response starts, and from then on.

use super::attempt::{Attempt, ForwardedRequest};
use super::exchange_progress::AttemptEnd;
use madderloom_balancer::{ClientDeadline, Micros};
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

/// The times that the balancer has set for an attempt.
pub(super) struct AttemptLimits {
    /// When the attempt times out if no response has started. An upload times out as the deadline of its request says instead.
    pub(super) header_timeout_at: Micros,
    /// Set once a response has started: its rest is awaited until then.
    pub(super) response_deadline: Rc<Cell<Option<ClientDeadline>>>,
    /// From this time on the last byte of the request must not be written.
    pub(super) write_by: Micros,
}

impl AttemptLimits {
    /// Completes when the balancer has set [`AttemptLimits::response_deadline`], which wakes the transaction that polls this.
    async fn until_response_deadline_known(&self) -> ClientDeadline {
        poll_fn(|_| match self.response_deadline.get() {
            Some(deadline) => Poll::Ready(deadline),
            None => Poll::Pending,
        })
        .await
    }
}

/// Applies the attempt's time limits: the header timeout until a response starts, and its client's deadline from then on. Those of
/// an upload are in the deadline of its request, which may also expire because the process stops.
pub(super) async fn with_time_limit<T>(
    attempt: &Attempt,
    forwarded: &ForwardedRequest,
    exchange: impl Future<Output = T>,
) -> Result<T, AttemptEnd> {
    let (process, limits) = (&attempt.service.process, &attempt.limits);
    let mut exchange = pin!(exchange);
    let limited = async {
        if forwarded.body.is_upload() {
            return Some(exchange.await);
        }
        let until_headers = process.timeout_at(limits.header_timeout_at, exchange.as_mut());
        match until_headers.await {
            None if attempt.progress.has_response() => {
                let ClientDeadline(deadline) = limits.until_response_deadline_known().await;
                process.timeout_at(deadline, exchange).await
            }
            output => output,
        }
    };
    let output = until_expired(forwarded, limited).await.flatten();
    output.ok_or_else(|| {
        if process.is_past_answer_deadline() {
            AttemptEnd::Stopping
        } else if attempt.progress.has_response() {
            AttemptEnd::ClientDeadline
        } else {
            AttemptEnd::HeaderTimeout
        }
    })
}

/// The output of a future; `None` once the request's deadline has passed. The transaction, which watches the deadline, polls its
/// attempts then.
pub(super) async fn until_expired<T>(
    forwarded: &ForwardedRequest,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    poll_fn(|context| match work.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending if forwarded.deadline.has_expired() => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await
}
