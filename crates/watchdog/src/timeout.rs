//! Timeouts that a stop of the process does not trigger.

use std::fmt;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

/// The time limit has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("timed out")
    }
}

impl std::error::Error for Elapsed {}

/// Requires a future to complete within `limit`, as [`tokio::time::timeout`] does, but first handles what has arrived.
///
/// While a process is stopped, data arrives and timers come due. When it goes on, the runtime may fire the timers before it
/// checks the sockets. So once the limit has passed, this yields and then polls the future once more.
///
/// # Errors
/// The limit has passed, and nothing that has arrived completes the future.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    if let Ok(output) = tokio::time::timeout(limit, &mut future).await {
        return Ok(output);
    }
    // The runtime checks its sockets.
    tokio::task::yield_now().await;
    // The tasks that read them run, also where this is not awaited in a task.
    tokio::task::yield_now().await;
    poll_fn(|context| match future.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Ok(output)),
        Poll::Pending => Poll::Ready(Err(Elapsed)),
    })
    .await
}
