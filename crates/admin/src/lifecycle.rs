//! The duty of a sidecar: it serves, it drains and comes back, or it stops.
//!
//! While it drains it says that it is not ready, and serves all that comes all the same: whoever sends to it learns of
//! the drain a little late. Each answer ends its connection. Connections that lie idle are closed after a while, late
//! enough that a sender that has heard of the drain is not crossed by the close, early enough that none is left when
//! the drain counts as done. A stop closes the listening socket besides, and the process ends once all is answered.

use crate::Micros;

/// After the beginning of a drain idle connections stay for this long: senders hear of it within 0.1 s and go on for
/// 0.2 s.
pub const IDLE_GRACE_US: Micros = 800_000;
/// From then on, a connection goes that has been idle for so long.
pub const IDLE_TIMEOUT_US: Micros = 200_000;

/// What a sidecar does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Serving,
    /// It drains, since this time.
    Draining {
        /// When it was told to.
        since: Micros,
    },
    /// It stops, and nothing brings it back.
    Stopping,
}

/// A sidecar's duty.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: State,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            state: State::Serving,
        }
    }
}

impl Lifecycle {
    /// What it does now.
    pub fn state(&self) -> State {
        self.state
    }

    /// It is to drain. False where it does already, or stops; the first call counts.
    pub fn start_draining(&mut self, now: Micros) -> bool {
        let serving = self.state == State::Serving;
        if serving {
            self.state = State::Draining { since: now };
        }
        serving
    }

    /// It is to go back to work. False where it works already, or stops.
    pub fn rejoin(&mut self) -> bool {
        let draining = matches!(self.state, State::Draining { .. });
        if draining {
            self.state = State::Serving;
        }
        draining
    }

    /// It is to stop.
    pub fn stop(&mut self) {
        self.state = State::Stopping;
    }

    /// Whether it wants new work.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether it is on its way out for good.
    pub fn is_stopping(&self) -> bool {
        self.state == State::Stopping
    }

    /// Whether an answer ends its connection.
    pub fn closes_after_response(&self) -> bool {
        !self.is_serving()
    }

    /// Connections that have been idle since this time or before are to be closed now; none is to be where it serves.
    /// A stop has its own end of connections, as it has one of its listening socket.
    pub fn idle_close_cutoff(&self, now: Micros) -> Option<Micros> {
        match self.state {
            State::Draining { since } if now >= since.saturating_add(IDLE_GRACE_US) => {
                Some(now.saturating_sub(IDLE_TIMEOUT_US))
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_drain_begins_once_and_ends_with_a_rejoin() {
        let mut lifecycle = Lifecycle::default();
        assert!(lifecycle.start_draining(1_000) && !lifecycle.start_draining(9_000_000));
        assert_eq!(lifecycle.state(), State::Draining { since: 1_000 });
        assert_eq!(lifecycle.idle_close_cutoff(1_000 + IDLE_GRACE_US - 1), None);
        assert_eq!(
            lifecycle.idle_close_cutoff(1_000 + IDLE_GRACE_US),
            Some(1_000 + IDLE_GRACE_US - IDLE_TIMEOUT_US)
        );
        assert!(lifecycle.rejoin() && !lifecycle.rejoin());
        assert_eq!(lifecycle.idle_close_cutoff(Micros::MAX), None);
    }

    /// Every sequence of seven calls, with and without time in between.
    #[test]
    fn every_sequence_of_calls_stops_for_good_and_drains_only_in_between() {
        const CALLS: u32 = 6;
        let mut count = 0u32;
        for sequence in 0..CALLS.pow(7) {
            let (mut lifecycle, mut now, mut drains, mut stopped) =
                (Lifecycle::default(), 0, None, false);
            for place in 0..7 {
                match sequence / CALLS.pow(place) % CALLS {
                    0 => assert_eq!(lifecycle.start_draining(now), !stopped && drains.is_none()),
                    1 => assert_eq!(lifecycle.rejoin(), !stopped && drains.is_some()),
                    2 => lifecycle.stop(),
                    3 => now += IDLE_GRACE_US - 1,
                    4 => now += 1,
                    _ => now += 10 * IDLE_GRACE_US,
                }
                match sequence / CALLS.pow(place) % CALLS {
                    0 if !stopped => drains = drains.or(Some(now)),
                    1 => drains = None,
                    2 => (stopped, drains) = (true, None),
                    _ => {}
                }
                assert_eq!(
                    (lifecycle.is_stopping(), lifecycle.is_serving()),
                    (stopped, !stopped && drains.is_none())
                );
                let closes = drains.is_some_and(|since| now >= since + IDLE_GRACE_US);
                assert_eq!(
                    lifecycle.idle_close_cutoff(now),
                    closes.then(|| now - IDLE_TIMEOUT_US)
                );
            }
            count += 1;
        }
        assert_eq!(count, 279_936);
    }

    proptest! {
        /// Whatever is called in whatever order: it wants work just while it neither drains nor stops, a stop is for
        /// good, and no idle connection is closed before those who hold it can know.
        #[test]
        fn any_calls_leave_it_in_one_sound_state(calls in proptest::collection::vec((0..4u8, 0..3_000_000u64), 0..60)) {
            let (mut lifecycle, mut now, mut drains, mut stopped) = (Lifecycle::default(), 0, None, false);
            for (call, passed) in calls {
                now += passed;
                match call {
                    0 => { lifecycle.start_draining(now); if !stopped { drains = drains.or(Some(now)); } }
                    1 => { lifecycle.rejoin(); if !stopped { drains = None; } }
                    2 if passed % 5 == 0 => { lifecycle.stop(); stopped = true; }
                    _ => {}
                }
                prop_assert_eq!(lifecycle.is_stopping(), stopped);
                prop_assert_eq!(lifecycle.is_serving(), !stopped && drains.is_none());
                prop_assert_eq!(lifecycle.closes_after_response(), !lifecycle.is_serving());
                let closes = lifecycle.idle_close_cutoff(now).is_some();
                prop_assert_eq!(closes, !stopped && drains.is_some_and(|since| now >= since + IDLE_GRACE_US));
            }
        }
    }
}
