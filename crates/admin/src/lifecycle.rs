//! The lifecycle state of a sidecar: serving, draining or stopping. A draining sidecar can serve again.
//!
//! While it drains, the sidecar reports that it is not ready but still serves every request, since clients notice the
//! drain with a delay. Each response closes its connection. Idle connections are closed after a grace period: late enough
//! that the close does not race with a request of a client that has not noticed the drain yet, and early enough that no
//! connection is left when the drain counts as done. A stop also closes the listening socket, and the process ends once all
//! requests are answered.

use crate::Micros;

/// Idle connections stay open for this long after a drain starts: clients notice it within 0.1 s and keep sending for
/// another 0.2 s.
pub const IDLE_GRACE_US: Micros = 800_000;
/// After the grace period, a connection is closed once it has been idle for this long.
pub const IDLE_TIMEOUT_US: Micros = 200_000;

/// The lifecycle state of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts and serves requests.
    Serving,
    /// Drains, but serves the requests that still arrive.
    Draining {
        /// When the drain started.
        since: Micros,
    },
    /// Stops for good; no command ends this state.
    Stopping,
}

/// The lifecycle state and its transitions.
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
    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Starts draining. Returns false, and keeps the time of the first call, while it already drains or stops.
    pub fn start_draining(&mut self, now: Micros) -> bool {
        let was_serving = self.state == State::Serving;
        if was_serving {
            self.state = State::Draining { since: now };
        }
        was_serving
    }

    /// Ends draining. Returns false if it is not draining.
    pub fn rejoin(&mut self) -> bool {
        let was_draining = matches!(self.state, State::Draining { .. });
        if was_draining {
            self.state = State::Serving;
        }
        was_draining
    }

    /// Stops for good.
    pub fn stop(&mut self) {
        self.state = State::Stopping;
    }

    /// Whether the sidecar accepts new requests as usual.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the sidecar is stopping.
    pub fn is_stopping(&self) -> bool {
        self.state == State::Stopping
    }

    /// Whether a connection is closed after its response.
    pub fn closes_after_response(&self) -> bool {
        !self.is_serving()
    }

    /// The time up to which a connection must have become idle to be closed now; `None` closes no idle connection. Applies
    /// only while draining: a stop closes connections and the listening socket by other code.
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
    fn a_drain_starts_once_and_ends_with_a_rejoin() {
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

    /// Covers every sequence of seven steps, where a step is a command or a delay.
    #[test]
    fn every_sequence_of_commands_stops_for_good_and_drains_only_in_between() {
        const STEP_KINDS: u32 = 6;
        let mut count = 0u32;
        for sequence in 0..STEP_KINDS.pow(7) {
            let (mut lifecycle, mut now, mut draining_since, mut stopped) =
                (Lifecycle::default(), 0, None, false);
            for step in 0..7 {
                match sequence / STEP_KINDS.pow(step) % STEP_KINDS {
                    0 => assert_eq!(
                        lifecycle.start_draining(now),
                        !stopped && draining_since.is_none()
                    ),
                    1 => assert_eq!(lifecycle.rejoin(), !stopped && draining_since.is_some()),
                    2 => lifecycle.stop(),
                    3 => now += IDLE_GRACE_US - 1,
                    4 => now += 1,
                    _ => now += 10 * IDLE_GRACE_US,
                }
                match sequence / STEP_KINDS.pow(step) % STEP_KINDS {
                    0 if !stopped => draining_since = draining_since.or(Some(now)),
                    1 => draining_since = None,
                    2 => (stopped, draining_since) = (true, None),
                    _ => {}
                }
                assert_eq!(
                    (lifecycle.is_stopping(), lifecycle.is_serving()),
                    (stopped, !stopped && draining_since.is_none())
                );
                let closes = draining_since.is_some_and(|since| now >= since + IDLE_GRACE_US);
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
        /// For any order of commands: the sidecar serves exactly while it neither drains nor stops, a stop is final, and no
        /// idle connection is closed before its client can have noticed the drain.
        #[test]
        fn any_commands_leave_a_consistent_state(commands in proptest::collection::vec((0..4u8, 0..3_000_000u64), 0..60)) {
            let (mut lifecycle, mut now, mut draining_since, mut stopped) = (Lifecycle::default(), 0, None, false);
            for (command, elapsed) in commands {
                now += elapsed;
                match command {
                    0 => { lifecycle.start_draining(now); if !stopped { draining_since = draining_since.or(Some(now)); } }
                    1 => { lifecycle.rejoin(); if !stopped { draining_since = None; } }
                    2 if elapsed % 5 == 0 => { lifecycle.stop(); stopped = true; }
                    _ => {}
                }
                prop_assert_eq!(lifecycle.is_stopping(), stopped);
                prop_assert_eq!(lifecycle.is_serving(), !stopped && draining_since.is_none());
                prop_assert_eq!(lifecycle.closes_after_response(), !lifecycle.is_serving());
                let closes = lifecycle.idle_close_cutoff(now).is_some();
                prop_assert_eq!(closes, !stopped && draining_since.is_some_and(|since| now >= since + IDLE_GRACE_US));
            }
        }
    }
}
