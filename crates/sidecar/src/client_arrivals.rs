//! When a client can have written its last byte at the earliest, as its socket shows it.
//!
//! A socket without unread bytes shows that the client has written none beyond those that were read, unless it could not: while
//! bytes lie unread, the receiving buffer fills up, and what it has no room for waits in the client's own. That arrives as soon as
//! there is room.

use madderloom_balancer::Micros;
use std::cell::Cell;

/// Bytes that lay unread for this time may have filled the receiving buffer.
const UNREAD_TIME: Micros = 10_000;
/// What waits in the client's own buffer arrives within this time once there is room.
const REFILL_TIME: Micros = 10_000;

/// Follows the reads from one client's socket.
pub(super) struct ClientArrivals {
    /// Since when the socket has had no unread bytes; `None` if it has some.
    empty_since: Cell<Option<Micros>>,
    /// When it was last seen to have none.
    last_empty_at: Cell<Micros>,
    /// When it was last read, or seen to have no unread bytes.
    read_at: Cell<Micros>,
    /// Bytes may wait in the client's own buffer.
    may_be_blocked: Cell<bool>,
    /// A time at which the client had not written all that was read since.
    unfinished_at: Cell<Micros>,
}

impl ClientArrivals {
    /// A socket that was accepted at `now`.
    pub(super) fn new(now: Micros) -> Self {
        ClientArrivals {
            empty_since: Cell::new(Some(now)),
            last_empty_at: Cell::new(now),
            read_at: Cell::new(now),
            may_be_blocked: Cell::new(false),
            unfinished_at: Cell::new(now),
        }
    }

    /// The socket has no unread bytes.
    pub(super) fn record_empty(&self, now: Micros) {
        self.last_empty_at.set(now);
        self.read_at.set(now);
        if self.empty_since.get().is_none() {
            self.empty_since.set(Some(now));
        }
    }

    /// Bytes were read, or seen as soon as they had arrived.
    pub(super) fn record_arrival(&self, now: Micros) {
        let lay_unread = now.saturating_sub(self.read_at.replace(now)) >= UNREAD_TIME;
        if self.empty_since.get().is_none() && lay_unread {
            self.may_be_blocked.set(true);
        }
        self.end_pause(now, now);
    }

    /// Unread bytes were seen that may have arrived at any time since the socket was last seen without.
    pub(super) fn record_unread(&self, now: Micros) {
        self.end_pause(self.last_empty_at.get(), now);
    }

    /// The client gets its response now, and sends no other request before.
    pub(super) fn record_response(&self, now: Micros) {
        self.read_at.set(now);
        self.may_be_blocked.set(false);
        self.unfinished_at.set(now);
    }

    fn end_pause(&self, arrived_at: Micros, now: Micros) {
        let Some(empty_since) = self.empty_since.take() else {
            return;
        };
        if self.proves_unfinished(empty_since, now) {
            self.unfinished_at.set(arrived_at);
            self.may_be_blocked.set(false);
        }
    }

    fn proves_unfinished(&self, empty_since: Micros, now: Micros) -> bool {
        !self.may_be_blocked.get() || now.saturating_sub(empty_since) >= REFILL_TIME
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
        arrivals.record_arrival(START + 5_000);
        arrivals.record_empty(START + 5_100);
        assert!(arrivals.is_silent(START + 5_100));
        arrivals.record_arrival(START + 300_000);
        assert_eq!(arrivals.unfinished_at(), START + 300_000);
        assert!(!arrivals.is_silent(START + 400_000));
    }

    /// The client wrote all at once; what does not fit into the receiving buffer comes as this process reads.
    #[test]
    fn a_buffer_that_is_refilled_at_once_does_not_move_the_time() {
        let arrivals = ClientArrivals::new(START);
        let mut now = START;
        arrivals.record_arrival(now);
        for _ in 0..20 {
            // The reader waits for something else in between.
            now += 500_000;
            arrivals.record_arrival(now);
            arrivals.record_empty(now);
            now += REFILL_TIME / 2;
            arrivals.record_arrival(now);
        }
        assert_eq!(arrivals.unfinished_at(), START);
        arrivals.record_empty(now);
        assert!(arrivals.is_silent(now + REFILL_TIME));
    }

    /// A reader that never waits for anything else leaves the client room.
    #[test]
    fn a_client_that_writes_without_long_pauses_is_unfinished_at_each_of_them() {
        let arrivals = ClientArrivals::new(START);
        let mut now = START;
        for _ in 0..200 {
            arrivals.record_arrival(now);
            arrivals.record_empty(now);
            now += REFILL_TIME / 2;
        }
        arrivals.record_arrival(now);
        assert_eq!(arrivals.unfinished_at(), now);
    }

    #[test]
    fn unread_bytes_that_nobody_waited_for_may_have_come_right_after_the_last_look() {
        let arrivals = ClientArrivals::new(START);
        arrivals.record_arrival(START);
        arrivals.record_empty(START + 1_000);
        arrivals.record_empty(START + 50_000);
        arrivals.record_unread(START + 90_000);
        assert_eq!(arrivals.unfinished_at(), START + 50_000);
    }

    #[test]
    fn what_is_read_behind_a_response_was_written_behind_it() {
        let arrivals = ClientArrivals::new(START);
        arrivals.record_arrival(START);
        arrivals.record_arrival(START + 400_000);
        arrivals.record_response(START + 500_000);
        arrivals.record_arrival(START + 500_100);
        assert_eq!(arrivals.unfinished_at(), START + 500_000);
    }
}
