//! Counters of events by their reason, as the status lists them.

use super::counts::increment;
use std::cell::Cell;
use std::marker::PhantomData;

/// A reason that events are counted by.
pub(super) trait Reason: Copy {
    /// The names of all reasons in the status and the log, by [`Reason::index`].
    const NAMES: &'static [&'static str];

    /// Its index in [`Reason::NAMES`].
    fn index(self) -> usize;

    /// Its name in the status and the log.
    fn name(self) -> &'static str {
        Self::NAMES[self.index()]
    }
}

/// Counts events by their reason, since the start.
pub(super) struct ReasonCounts<R> {
    counts: Box<[Cell<u64>]>,
    reason: PhantomData<R>,
}

impl<R: Reason> Default for ReasonCounts<R> {
    fn default() -> Self {
        ReasonCounts {
            counts: R::NAMES.iter().map(|_| Cell::default()).collect(),
            reason: PhantomData,
        }
    }
}

impl<R: Reason> ReasonCounts<R> {
    pub(super) fn record(&self, reason: R) {
        increment(&self.counts[reason.index()]);
    }

    /// Each name with its count.
    pub(super) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        R::NAMES
            .iter()
            .copied()
            .zip(self.counts.iter().map(Cell::get))
    }
}
