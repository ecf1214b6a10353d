//! Outcomes of requests by class. Incremented where a request ends; read by the control address, the admin view and the agent
//! link.

use super::active_settings::ClassEntry;
use super::exchange_progress::AttemptEnd;
use super::lateness::LatenessHistogram;
use super::reason_counts::ReasonCounts;
use super::rejection::Exhaustion;
use madderloom_admin::stats::ResultCounts;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of classes with counts of their own. Configuration reloads may drop classes and add others any number of
/// times.
pub(super) const MAX_COUNTED_CLASSES: usize = 256;

/// Outcomes of the requests of one class, since the start.
#[derive(Clone, Default)]
pub(super) struct OutcomeCounts {
    /// Answered by a server.
    pub(super) served: Cell<u64>,
    /// Those of them answered after the latency objective. Not counted for GraphQL operations.
    pub(super) late: Cell<u64>,
    /// With any outcome, by how much later than their deadline they ended. GraphQL requests are counted without a class.
    pub(super) lateness: LatenessHistogram,
    /// Rejected by the balancer.
    pub(super) rejected: Cell<u64>,
    pub(super) failed: Cell<u64>,
    /// Rejected by a limit of this service, of the listener or of the fleet, before they reached the balancer.
    pub(super) rejected_by_limit: Cell<u64>,
    /// Those of them rejected by a limit on requests per second or by a fleet-wide limit.
    pub(super) over_rate_limit: Cell<u64>,
    /// Answered with a 4xx status.
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
        self.lateness.add(&other.lateness);
    }

    /// The outcomes as the control address reports them.
    pub(super) fn result_totals(&self) -> ResultCounts {
        ResultCounts {
            fulfilled: self.served.get(),
            throttled: self.rejected.get() + self.rejected_by_limit.get(),
            faulted: self.failed.get() + self.client_errors.get(),
        }
    }
}

/// Increments a counter until it is dropped.
pub(super) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub(super) fn new(counter: &'a Cell<usize>) -> Self {
        counter.set(counter.get() + 1);
        CountGuard(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

pub(super) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The request counts of one service.
#[derive(Default)]
pub(super) struct ServiceCounts {
    by_class: RefCell<BTreeMap<String, Rc<OutcomeCounts>>>,
    /// Of requests without a class, and of classes beyond [`MAX_COUNTED_CLASSES`].
    unclassed: Rc<OutcomeCounts>,
    /// Attempts that were written completely.
    pub(super) attempts_sent: Cell<u64>,
    /// Responses that had started and did not end, by what ended their attempts. Those that are streamed to their clients are not
    /// among them.
    pub(super) unfinished_responses: ReasonCounts<AttemptEnd>,
    /// Why requests were rejected before they reached the balancer.
    pub(super) exhaustions: ReasonCounts<Exhaustion>,
    /// Cloned once for each request in flight.
    in_flight: Rc<()>,
}

/// Counts one request as in flight until it is dropped.
pub(super) struct OpenRequest {
    _in_flight: Rc<()>,
}

impl ServiceCounts {
    /// The counts of a class. They continue if a class is removed from the configuration and added again.
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

    /// The counts that a request of this class is counted in; without a class, those of all such requests.
    pub(super) fn of(&self, class: Option<&ClassEntry>) -> Rc<OutcomeCounts> {
        class.map_or_else(|| self.unclassed(), |class| Rc::clone(&class.counts))
    }

    pub(super) fn unclassed(&self) -> Rc<OutcomeCounts> {
        Rc::clone(&self.unclassed)
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub(super) fn track_request(&self) -> OpenRequest {
        OpenRequest {
            _in_flight: Rc::clone(&self.in_flight),
        }
    }

    /// The number of requests in flight. Derived from the live values, not from a difference of counters.
    pub(super) fn open_requests(&self) -> u64 {
        Rc::strong_count(&self.in_flight) as u64 - 1
    }

    /// The counts of all classes and of requests without a class.
    pub(super) fn total(&self) -> OutcomeCounts {
        let total = OutcomeCounts::default();
        total.add(&self.unclassed);
        self.by_class
            .borrow()
            .values()
            .for_each(|counts| total.add(counts));
        total
    }

    /// The outcomes of each class.
    pub(super) fn by_class(&self) -> Vec<(String, ResultCounts)> {
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
        /// Guards against counts that drift: in any order of starts and ends, each accepted request has ended, was abandoned
        /// or is in flight.
        #[test]
        fn each_accepted_request_has_ended_was_abandoned_or_is_in_flight(history in proptest::collection::vec((0..5u8, 0..400usize), 0..600)) {
            let service_counts = ServiceCounts::default();
            let mut open: Vec<(OpenRequest, Rc<OutcomeCounts>)> = Vec::new();
            let (mut accepted, mut abandoned, mut ended) = (0, 0, 0);
            for (action, number) in history {
                match action {
                    // More classes than have counts of their own.
                    0 | 1 => {
                        accepted += 1;
                        open.push((service_counts.track_request(), service_counts.class(&format!("class-{number}"))));
                    }
                    _ if open.is_empty() => {}
                    2 => {
                        abandoned += 1;
                        drop(open.swap_remove(number % open.len()));
                    }
                    _ => {
                        let (_in_flight, counts) = open.swap_remove(number % open.len());
                        increment([&counts.served, &counts.rejected, &counts.rejected_by_limit, &counts.failed][number % 4]);
                        ended += 1;
                    }
                }
                let sum = service_counts.total().result_totals().total();
                prop_assert_eq!((service_counts.open_requests(), sum), (open.len() as u64, ended));
                prop_assert_eq!(accepted, ended + abandoned + service_counts.open_requests());
            }
            prop_assert!(service_counts.by_class().len() <= MAX_COUNTED_CLASSES);
        }
    }
}
