//! When a client can have written its last byte at the earliest, as its socket shows it.
//!
//! A socket without unread bytes shows that the client has written none beyond those that were read, unless it could not: bytes
//! that the receiving buffer had no room for wait in the client's own. These arrive as soon as there is room.

use madderloom_balancer::Micros;
use std::cell::Cell;

/// A client that wrote so many bytes without a pause may have filled the receiving buffer. Linux announces 64 KiB at first.
const MAY_BE_BLOCKED_BYTES: usize = 32 << 10;
/// What waits in the client's own buffer arrives within this time once there is room.
const REFILL_TIME: Micros = 10_000;

/// Follows the reads from one client's socket.
#[derive(Default)]
pub(super) struct ClientArrivals {
    /// Since when the socket has had no unread bytes; `None` if it has some.
    empty_since: Cell<Option<Micros>>,
    /// When it was last seen to have none.
    last_empty_at: Cell<Micros>,
    /// Bytes read without a pause of the client.
    run_bytes: Cell<usize>,
    /// A time at which the client had not written all that was read since.
    unfinished_at: Cell<Micros>,
}

impl ClientArrivals {
    /// A socket that was accepted at `now`.
    pub(super) fn new(now: Micros) -> Self {
        ClientArrivals {
            empty_since: Cell::new(Some(now)),
            last_empty_at: Cell::new(now),
            run_bytes: Cell::new(0),
            unfinished_at: Cell::new(now),
        }
    }

    /// The socket has no unread bytes.
    pub(super) fn record_empty(&self, now: Micros) {
        self.last_empty_at.set(now);
        if self.empty_since.get().is_none() {
            self.empty_since.set(Some(now));
        }
    }

    /// So many bytes were read, or, if 0, seen, as soon as they had arrived.
    pub(super) fn record_arrival(&self, bytes: usize, now: Micros) {
        self.end_pause(now, now);
        self.run_bytes.set(self.run_bytes.get() + bytes);
    }

    /// Unread bytes were seen that may have arrived at any time since the socket was last seen without.
    pub(super) fn record_unread(&self, now: Micros) {
        self.end_pause(self.last_empty_at.get(), now);
    }

    fn end_pause(&self, arrived_at: Micros, now: Micros) {
        let Some(empty_since) = self.empty_since.take() else {
            return;
        };
        if self.proves_unfinished(empty_since, now) {
            self.unfinished_at.set(arrived_at);
            self.run_bytes.set(0);
        }
    }

    fn proves_unfinished(&self, empty_since: Micros, now: Micros) -> bool {
        self.run_bytes.get() < MAY_BE_BLOCKED_BYTES
            || now.saturating_sub(empty_since) >= REFILL_TIME
    }

    /// Whether the client certainly has written nothing beyond what was read.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        self.empty_since
            .get()
            .is_some_and(|empty_since| self.proves_unfinished(empty_since, now))
    }

    /// A time at which the client had not written all that was read since. It may have written all of it right after.
    pub(super) fn unfinished_at(&self) -> Micros {
        self.unfinished_at.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: Micros = 1_000_000_000;

    #[test]
    fn bytes_that_were_awaited_were_written_when_they_arrived() {
        let arrivals = ClientArrivals::new(START);
        arrivals.record_arrival(1_000, START + 5_000);
        arrivals.record_empty(START + 5_100);
        assert!(arrivals.is_silent(START + 5_100));
        arrivals.record_arrival(1_000, START + 300_000);
        assert_eq!(arrivals.unfinished_at(), START + 300_000);
        assert!(!arrivals.is_silent(START + 400_000));
    }

    /// The client wrote all at once; what does not fit into the receiving buffer comes as this process reads.
    #[test]
    fn a_buffer_that_is_refilled_at_once_does_not_move_the_time() {
        let arrivals = ClientArrivals::new(START);
        let mut now = START;
        arrivals.record_arrival(64 << 10, now);
        for _ in 0..20 {
            // The reader waits for something else in between.
            now += 500_000;
            arrivals.record_arrival(64 << 10, now);
            arrivals.record_empty(now);
            now += REFILL_TIME / 2;
            arrivals.record_arrival(64 << 10, now);
        }
        assert_eq!(arrivals.unfinished_at(), START);
        arrivals.record_empty(now);
        assert!(arrivals.is_silent(now + REFILL_TIME));
    }

    #[test]
    fn unread_bytes_that_nobody_waited_for_may_have_come_right_after_the_last_look() {
        let arrivals = ClientArrivals::new(START);
        arrivals.record_arrival(1_000, START);
        arrivals.record_empty(START + 1_000);
        arrivals.record_empty(START + 50_000);
        arrivals.record_unread(START + 90_000);
        assert_eq!(arrivals.unfinished_at(), START + 50_000);
    }
}
