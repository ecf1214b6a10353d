//! The request counts of the last window, over all services.

use crate::process_state::ProcessState;
use crate::service::Service;
use madderloom_control_plane::health_gate::RequestCounts;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// The length of the window of the reported counts.
const WINDOW: Duration = Duration::from_secs(10);
/// The minimum time between two samples of the counters.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The request counts of the last window, over all services.
#[derive(Default)]
pub(super) struct Window {
    /// The sum over all services, including those that are gone.
    total: RequestCounts,
    /// The counts of each service at the last sample.
    last_counts: Vec<(Weak<Service>, RequestCounts)>,
    samples: VecDeque<(Instant, RequestCounts)>,
}

impl Window {
    pub(super) fn sample(&mut self, now: Instant, process: &ProcessState) -> RequestCounts {
        self.last_counts
            .retain(|(service, _)| service.strong_count() > 0);
        for service in process.services.borrow().iter() {
            let counts = service.counts.total();
            let unserved =
                counts.rejected.get() + counts.failed.get() + counts.rejected_by_limit.get();
            let present = RequestCounts {
                ended: counts.served.get() + unserved,
                bad: counts.late.get() + unserved,
            };
            let known = self
                .last_counts
                .iter_mut()
                .find(|(known, _)| known.as_ptr() == Rc::as_ptr(service));
            let former = match known {
                Some((_, former)) => std::mem::replace(former, present),
                None => {
                    self.last_counts.push((Rc::downgrade(service), present));
                    RequestCounts::default()
                }
            };
            self.total.ended += present.ended - former.ended;
            self.total.bad += present.bad - former.bad;
        }
        self.since(now)
    }

    fn since(&mut self, now: Instant) -> RequestCounts {
        // The last sample before the window is its baseline.
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= WINDOW)
        {
            self.samples.pop_front();
        }
        let first = self
            .samples
            .front()
            .map_or(RequestCounts::default(), |(_, counts)| *counts);
        if self
            .samples
            .back()
            .is_none_or(|(at, _)| now.duration_since(*at) >= MIN_SAMPLE_INTERVAL)
        {
            self.samples.push_back((now, self.total));
        }
        RequestCounts {
            ended: self.total.ended - first.ended,
            bad: self.total.bad - first.bad,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_window_counts_what_ended_within_it_from_few_samples() {
        let start = Instant::now();
        let mut window = Window::default();
        for tenth in 0..600 {
            window.total.ended += 1;
            window.total.bad += u64::from(tenth < 300);
            let counts = window.since(start + Duration::from_millis(100 * tenth));
            assert!(
                counts.ended <= 106 && (tenth < 106 || counts.ended >= 100),
                "{tenth}: {counts:?}"
            );
            assert!(window.samples.len() <= 22, "{}", window.samples.len());
            if tenth >= 410 {
                assert_eq!(counts.bad, 0);
            }
        }
    }
}
