//! How fast a server takes an upload, concluded from what the system accepts of it, and so when the server has taken the bytes that
//! the buffers on the way still hold.

use madderloom_balancer::Micros;
use std::cell::Cell;

/// The buffers may grow while an upload goes on, to this multiple of what they held at first.
const BUFFER_GROWTH: u64 = 2;

/// The first time at which the buffers on the way to the server were full.
#[derive(Clone, Copy)]
struct FullBuffers {
    at: Micros,
    bytes: u64,
}

/// The pace of one upload.
#[derive(Default)]
pub(super) struct UploadPace {
    /// Bytes that the system has accepted.
    accepted: Cell<u64>,
    /// When it accepted the last of them, or when the upload started.
    accepted_at: Cell<Micros>,
    full_buffers: Cell<Option<FullBuffers>>,
}

impl UploadPace {
    /// An upload starts, perhaps another one of the same request.
    pub(super) fn start(&self, now: Micros) {
        self.accepted.set(0);
        self.accepted_at.set(now);
        self.full_buffers.set(None);
    }

    /// The system has accepted so many further bytes.
    pub(super) fn record_write(&self, now: Micros, bytes: usize) {
        self.accepted.set(self.accepted.get() + bytes as u64);
        self.accepted_at.set(now);
    }

    /// The system accepts nothing more before the server takes something.
    pub(super) fn record_full_buffers(&self, now: Micros) {
        if self.full_buffers.get().is_none() {
            let bytes = self.accepted.get();
            self.full_buffers.set(Some(FullBuffers { at: now, bytes }));
        }
    }

    /// When the server will have taken all that was accepted, at the pace that it has shown. An upload that never filled the
    /// buffers shows none.
    pub(super) fn taken_at(&self) -> Micros {
        let (accepted, accepted_at) = (self.accepted.get(), self.accepted_at.get());
        let Some(full) = self.full_buffers.get() else {
            return accepted_at;
        };
        let taken = accepted - full.bytes;
        if taken == 0 {
            return accepted_at;
        }
        let held = full.bytes.saturating_mul(BUFFER_GROWTH).min(accepted);
        let elapsed = accepted_at.saturating_sub(full.at);
        accepted_at.saturating_add(held.saturating_mul(elapsed) / taken)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    /// The pace of an upload of which the buffers took 100,000 bytes at once, and the server 100 bytes each millisecond.
    fn slow_upload() -> UploadPace {
        let pace = UploadPace::default();
        pace.start(0);
        pace.record_write(0, 100_000);
        pace.record_full_buffers(0);
        for at in 1..=1_000 {
            pace.record_write(at * MS, 100);
            pace.record_full_buffers(at * MS);
        }
        pace
    }

    #[test]
    fn what_the_buffers_hold_is_taken_at_the_pace_of_the_server() {
        assert_eq!(slow_upload().taken_at(), 1_000 * MS + 2_000 * MS);
    }

    #[test]
    fn an_upload_that_the_system_accepted_at_once_shows_no_pace() {
        let pace = UploadPace::default();
        pace.start(7 * MS);
        assert_eq!(pace.taken_at(), 7 * MS);
        pace.record_write(9 * MS, 100_000);
        assert_eq!(pace.taken_at(), 9 * MS);
    }

    #[test]
    fn a_server_that_takes_nothing_delays_nothing() {
        let pace = UploadPace::default();
        pace.record_write(MS, 100_000);
        pace.record_full_buffers(MS);
        assert_eq!(pace.taken_at(), MS);
    }

    #[test]
    fn a_further_upload_starts_over() {
        let pace = slow_upload();
        pace.start(2_000 * MS);
        assert_eq!(pace.taken_at(), 2_000 * MS);
    }
}
