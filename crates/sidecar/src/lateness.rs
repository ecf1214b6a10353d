//! Requests that end later than their deadline: how many, by how much, and what they waited for.

use super::active_settings::ClassEntry;
use super::counts::{OutcomeCounts, increment};
use super::request_deadline::RequestDeadline;
use super::request_log;
use super::service::Service;
use hyper::header::HeaderValue;
use madderloom_balancer::Micros;
use std::cell::Cell;
use std::rc::Rc;

/// A request that ends later than this behind its deadline is logged.
pub(super) const MIN_LOGGED_LATENESS: Micros = 50_000;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitKind {
    /// Memory for its connection, before its head is read.
    Activation,
    /// Its body, without the wait for memory.
    Body,
    /// Memory for its body.
    Memory,
    /// The balancer and servers.
    Servers,
}

impl WaitKind {
    const COUNT: usize = 4;
}

/// How long a request has waited, by kind.
#[derive(Default)]
pub(super) struct WaitTimes([Cell<Micros>; WaitKind::COUNT]);

impl WaitTimes {
    pub(super) fn add(&self, kind: WaitKind, waited: Micros) {
        let time = &self.0[kind as usize];
        time.set(time.get().saturating_add(waited));
    }

    pub(super) fn get(&self, kind: WaitKind) -> Micros {
        self.0[kind as usize].get()
    }
}

/// Counts requests by how much later than their deadline they ended.
#[derive(Clone, Default)]
pub(super) struct LatenessHistogram([Cell<u64>; LatenessHistogram::BOUNDS.len()]);

impl LatenessHistogram {
    /// The bounds, in microseconds.
    const BOUNDS: [Micros; 5] = [MIN_LOGGED_LATENESS, 150_000, 500_000, 1_500_000, 5_000_000];

    pub(super) fn record(&self, lateness: Micros) {
        for (bound, count) in Self::BOUNDS.iter().zip(&self.0) {
            if lateness >= *bound {
                increment(count);
            }
        }
    }

    /// Each bound in milliseconds, with the number of requests that were later.
    pub(super) fn counts(&self) -> impl Iterator<Item = (u64, u64)> {
        Self::BOUNDS
            .iter()
            .zip(&self.0)
            .map(|(bound, count)| (bound / 1_000, count.get()))
    }

    pub(super) fn add(&self, other: &LatenessHistogram) {
        for (to, from) in self.0.iter().zip(&other.0) {
            to.set(to.get() + from.get());
        }
    }
}

/// Records by how much a request is later than its deadline when it ends: when its final response begins, or when its client
/// leaves.
pub(super) struct LatenessRecorder {
    pub(super) deadline: Rc<RequestDeadline>,
    id: Option<HeaderValue>,
    class: Option<Rc<ClassEntry>>,
    counts: Rc<OutcomeCounts>,
}

impl LatenessRecorder {
    /// Records a request when it is dropped. `class` is `None` if no class takes the request, or several do.
    pub(super) fn new(
        service: &Service,
        class: Option<Rc<ClassEntry>>,
        deadline: &Rc<RequestDeadline>,
        id: Option<&HeaderValue>,
    ) -> Self {
        LatenessRecorder {
            deadline: Rc::clone(deadline),
            id: id.cloned(),
            counts: service.counts.of(class.as_deref()),
            class,
        }
    }
}

impl Drop for LatenessRecorder {
    fn drop(&mut self) {
        let lateness = self.deadline.lateness();
        self.counts.lateness.record(lateness);
        if lateness >= MIN_LOGGED_LATENESS {
            let class = self.class.as_ref().map(|class| &*class.name);
            request_log::late(self.id.as_ref(), class, lateness, &self.deadline.waits);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_counts_at_each_bound_that_it_was_later_than() {
        let histogram = LatenessHistogram::default();
        for lateness in [0, MIN_LOGGED_LATENESS - 1, MIN_LOGGED_LATENESS, 600_000] {
            histogram.record(lateness);
        }
        let counts: Vec<_> = histogram.counts().collect();
        assert_eq!(
            counts,
            [(50, 2), (150, 1), (500, 1), (1_500, 0), (5_000, 0)]
        );
    }
}
