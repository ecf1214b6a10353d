//! The number of records, by when they expire.

use std::collections::BTreeMap;

/// Expiries are counted in steps of 2^20 µs, which is about a second, so that there are few counts.
const STEP_BITS: u32 = 20;

/// Counts records by the step in which they expire. Its memory is bounded by the steps of one retention time.
#[derive(Default)]
pub(super) struct ExpiryCounts {
    by_step: BTreeMap<u64, usize>,
    total: usize,
}

/// The step of an expiry or a time, in microseconds.
fn step_of(time: u64) -> u64 {
    time >> STEP_BITS
}

impl ExpiryCounts {
    /// The number of records.
    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Counts a record.
    pub(super) fn add(&mut self, expires_at: u64) {
        *self.by_step.entry(step_of(expires_at)).or_default() += 1;
        self.total += 1;
    }

    /// Stops counting a record, unless its step has been removed already.
    pub(super) fn remove(&mut self, expires_at: u64) {
        let step = step_of(expires_at);
        if let Some(count) = self.by_step.get_mut(&step) {
            *count = count.saturating_sub(1);
            self.total = self.total.saturating_sub(1);
            if *count == 0 {
                self.by_step.remove(&step);
            }
        }
    }

    /// Stops counting the records that have expired, to within one step. Returns whether there were any.
    pub(super) fn remove_expired(&mut self, time: u64) -> bool {
        let mut any_expired = false;
        while let Some(first) = self.by_step.first_entry() {
            if *first.key() >= step_of(time) {
                break;
            }
            self.total = self.total.saturating_sub(first.remove());
            any_expired = true;
        }
        any_expired
    }
}

/// Whether a record that expires at one time still counts at another.
pub(super) fn is_counted(expires_at: u64, time: u64) -> bool {
    step_of(expires_at) >= step_of(time)
}
