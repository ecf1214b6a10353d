//! The clock by which idempotency records expire.
//!
//! The expiry of a record tells when it was written, whatever the retention was: it lies [`MAX_RETENTION`] behind that time. A
//! shorter retention lets the clock by which expiries are judged run ahead by the difference. So the retention that is in force
//! applies to all records alike, by their age.

use super::MAX_RETENTION;

/// Where expiries begin. Those of earlier formats, which do not tell when a record was written, lie before.
const EXPIRY_EPOCH: u64 = 1 << 62;

/// The expiry of a record that is written at a time, both in microseconds.
pub(super) fn expiry_of(written_at: u64) -> u64 {
    EXPIRY_EPOCH
        .saturating_add(MAX_RETENTION)
        .saturating_add(written_at)
}

/// When the record with this expiry was written; `None` for one of an earlier format.
pub(super) fn written_at(expires_at: u64) -> Option<u64> {
    expires_at.checked_sub(expiry_of(0))
}

/// The time that the process has been running, over all its starts, and the time by which expiries are judged.
pub(super) struct RecordClock {
    /// The caller's time when the tracker was opened.
    opened_at: u64,
    /// The running time at that moment.
    running_time_at_open: u64,
    /// How long records last, in microseconds.
    retention: u64,
    /// The time by which expiries are judged never goes back behind this: what has expired, and may have been removed, stays so.
    earliest: u64,
}

impl RecordClock {
    /// A clock that goes on from `running_time` at the caller's time `now`.
    pub(super) fn new(running_time: u64, now: u64, retention: u64) -> Self {
        RecordClock {
            opened_at: now,
            running_time_at_open: running_time,
            retention: retention.min(MAX_RETENTION),
            earliest: 0,
        }
    }

    /// The time that the process has been running, over all its starts.
    pub(super) fn running_time(&self, now: u64) -> u64 {
        let running = now.saturating_sub(self.opened_at);
        self.running_time_at_open.saturating_add(running)
    }

    /// The time by which expiries are judged. It never goes back.
    pub(super) fn expiry_time(&self, now: u64) -> u64 {
        let oldest_live = expiry_of(self.running_time(now)).saturating_sub(self.retention);
        oldest_live.max(self.earliest)
    }

    /// Changes how long records last. A record that has not expired lasts for the new retention since it was written.
    pub(super) fn set_retention(&mut self, retention: u64, now: u64) {
        self.earliest = self.expiry_time(now);
        self.retention = retention.min(MAX_RETENTION);
    }
}
