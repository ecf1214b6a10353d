//! How fast clients send and read, held against the minimum rate.

use super::upload::MIN_BYTES_PER_SECOND;
use madderloom_balancer::Micros;
use std::cell::{Cell, RefCell};
use std::task::{Context, Waker};

/// How far a client is behind the minimum rate, [`MIN_BYTES_PER_SECOND`]. Only the time counts in which the client was waited for.
/// One that was faster has nothing saved up.
#[derive(Default)]
pub(super) struct ClientLag(Cell<Micros>);

impl ClientLag {
    pub(super) fn get(&self) -> Micros {
        self.0.get()
    }

    pub(super) fn reset(&self) {
        self.0.set(0);
    }

    /// The client was waited for this long.
    pub(super) fn record_wait(&self, waited: Micros) {
        self.0.set(self.0.get().saturating_add(waited));
    }

    /// The client has sent or read so many bytes.
    pub(super) fn record_bytes(&self, bytes: usize) {
        let due = (bytes as u64).saturating_mul(1_000_000) / MIN_BYTES_PER_SECOND;
        self.0.set(self.0.get().saturating_sub(due));
    }
}

/// How fast a client reads its response.
#[derive(Default)]
pub(super) struct WritePace {
    blocked_since: Cell<Option<Micros>>,
    lag: ClientLag,
    /// Waker of the response's body, once the client has taken something.
    waker: RefCell<Option<Waker>>,
}

impl WritePace {
    pub(super) fn start_response(&self) {
        self.blocked_since.set(None);
        self.lag.reset();
    }

    pub(super) fn record_blocked(&self, now: Micros) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(now));
        }
    }

    pub(super) fn record_written(&self, bytes: usize, now: Micros) {
        if let Some(since) = self.blocked_since.take() {
            self.lag.record_wait(now.saturating_sub(since));
        }
        self.lag.record_bytes(bytes);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Whether the client has taken nothing since a write blocked. Registers the task to be woken once it has.
    pub(super) fn poll_blocked(&self, context: &Context<'_>) -> bool {
        let blocked = self.blocked_since.get().is_some();
        if blocked {
            self.waker.replace(Some(context.waker().clone()));
        }
        blocked
    }

    /// How far the client is behind the minimum rate.
    pub(super) fn lag(&self, now: Micros) -> Micros {
        let blocked_since = self.blocked_since.get();
        self.lag.get() + blocked_since.map_or(0, |since| now.saturating_sub(since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_client_that_was_fast_has_nothing_saved_up() {
        let lag = ClientLag::default();
        lag.record_bytes(1 << 20);
        lag.record_wait(2_000_000);
        assert_eq!(lag.get(), 2_000_000);
        lag.record_bytes(MIN_BYTES_PER_SECOND as usize);
        assert_eq!(lag.get(), 1_000_000);
    }
}
