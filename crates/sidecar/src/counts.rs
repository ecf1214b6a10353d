//! What became of requests, by their classes: the one registry that the second address, the admin view and the agent's
//! link read. Written where a request ends.

use madderloom_admin::figures::Ended;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Classes that are counted apart, at most: newer files may drop some and add others without end.
pub(super) const MAX_COUNTED_CLASSES: usize = 256;

/// What became of requests of one class, since the start.
#[derive(Clone, Default)]
pub(super) struct OutcomeCounts {
    /// Answered by a server.
    pub(super) served: Cell<u64>,
    /// Of these, after the time within which an answer is of full worth. Of GraphQL operations none is counted.
    pub(super) late: Cell<u64>,
    /// Refused by the module.
    pub(super) rejected: Cell<u64>,
    /// Failed.
    pub(super) failed: Cell<u64>,
    /// Turned away by a limit of this service or of the listener, before the module heard of them.
    pub(super) rejected_by_limit: Cell<u64>,
    /// Of these, by the bound on requests a second.
    pub(super) over_rate_limit: Cell<u64>,
    /// Answered 4xx.
    pub(super) client_errors: Cell<u64>,
}

impl OutcomeCounts {
    fn add(&self, other: &OutcomeCounts) {
        for (to, from) in [
            (&self.served, &other.served),
            (&self.late, &other.late),
            (&self.rejected, &other.rejected),
            (&self.failed, &other.failed),
            (&self.rejected_by_limit, &other.rejected_by_limit),
            (&self.over_rate_limit, &other.over_rate_limit),
            (&self.client_errors, &other.client_errors),
        ] {
            to.set(to.get() + from.get());
        }
    }

    /// In the words of the second address.
    pub(super) fn result_totals(&self) -> Ended {
        Ended {
            fulfilled: self.served.get(),
            throttled: self.rejected.get() + self.rejected_by_limit.get(),
            faulted: self.failed.get() + self.client_errors.get(),
        }
    }
}

pub(super) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The requests of a service.
#[derive(Default)]
pub(super) struct ServiceCounts {
    by_class: RefCell<BTreeMap<String, Rc<OutcomeCounts>>>,
    /// Of those that name no class, and of classes beyond the bound.
    unclassed: Rc<OutcomeCounts>,
    /// Attempts that were written whole.
    pub(super) attempts_sent: Cell<u64>,
    /// Held once by each request that was taken and has not ended.
    open: Rc<()>,
}

/// A request that was taken and has not ended.
pub(super) struct OpenRequest {
    _place: Rc<()>,
}

impl ServiceCounts {
    /// The counts of a class; they go on where a class is dropped and comes back.
    pub(super) fn class(&self, name: &str) -> Rc<OutcomeCounts> {
        let mut by_class = self.by_class.borrow_mut();
        if let Some(counts) = by_class.get(name) {
            return Rc::clone(counts);
        }
        if by_class.len() >= MAX_COUNTED_CLASSES {
            return Rc::clone(&self.unclassed);
        }
        Rc::clone(by_class.entry(name.to_string()).or_default())
    }

    pub(super) fn unclassed(&self) -> Rc<OutcomeCounts> {
        Rc::clone(&self.unclassed)
    }

    /// A request has been taken.
    pub(super) fn track_request(&self) -> OpenRequest {
        OpenRequest {
            _place: Rc::clone(&self.open),
        }
    }

    /// How many are open: by those that are, not by a difference.
    pub(super) fn open_requests(&self) -> u64 {
        Rc::strong_count(&self.open) as u64 - 1
    }

    /// Of all classes and of none.
    pub(super) fn total(&self) -> OutcomeCounts {
        let sum = OutcomeCounts::default();
        sum.add(&self.unclassed);
        self.by_class
            .borrow()
            .values()
            .for_each(|counts| sum.add(counts));
        sum
    }

    /// By class.
    pub(super) fn by_class(&self) -> Vec<(String, Ended)> {
        self.by_class
            .borrow()
            .iter()
            .map(|(name, counts)| (name.clone(), counts.result_totals()))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever comes and ends in whatever order, what was taken has ended, has left or is open; and no count falls.
        #[test]
        fn what_was_taken_has_ended_has_left_or_is_open(history in proptest::collection::vec((0..5u8, 0..400usize), 0..600)) {
            let registry = ServiceCounts::default();
            let mut open: Vec<(OpenRequest, Rc<OutcomeCounts>)> = Vec::new();
            let (mut taken, mut left, mut ended) = (0, 0, 0);
            for (what, which) in history {
                match what {
                    // More classes than are counted apart.
                    0 | 1 => {
                        taken += 1;
                        open.push((registry.track_request(), registry.class(&format!("class-{which}"))));
                    }
                    _ if open.is_empty() => {}
                    2 => {
                        left += 1;
                        drop(open.swap_remove(which % open.len()));
                    }
                    _ => {
                        let (_place, counts) = open.swap_remove(which % open.len());
                        increment([&counts.served, &counts.rejected, &counts.rejected_by_limit, &counts.failed][which % 4]);
                        ended += 1;
                    }
                }
                let sum = registry.total().result_totals().all();
                prop_assert_eq!((registry.open_requests(), sum), (open.len() as u64, ended));
                prop_assert_eq!(taken, ended + left + registry.open_requests());
            }
            prop_assert!(registry.by_class().len() <= MAX_COUNTED_CLASSES);
        }
    }
}
