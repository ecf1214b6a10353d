//! The requests that ended of late, over all services.

use crate::common::Common;
use crate::service::Service;
use madderloom_fleet::gate::Counts;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// The window of the requests that are reported, and the shortest gap between two looks at the counters.
const WINDOW: Duration = Duration::from_secs(10);
const GAP: Duration = Duration::from_millis(500);

/// The requests that ended of late, over all services.
#[derive(Default)]
pub(super) struct Window {
    all: Counts,
    /// What each service had counted at the last look.
    services: Vec<(Weak<Service>, Counts)>,
    looks: VecDeque<(Instant, Counts)>,
}

impl Window {
    pub(super) fn look(&mut self, now: Instant, common: &Common) -> Counts {
        self.services.retain(|(service, _)| service.strong_count() > 0);
        for service in common.services.borrow().iter() {
            let counts = service.counts.sum();
            let away = counts.refused.get() + counts.failed.get() + counts.turned_away.get();
            let present = Counts { ended: counts.served.get() + away, bad: counts.late.get() + away };
            let known = self.services.iter_mut().find(|(known, _)| known.as_ptr() == Rc::as_ptr(service));
            let former = match known {
                Some((_, former)) => std::mem::replace(former, present),
                None => {
                    self.services.push((Rc::downgrade(service), present));
                    Counts::default()
                }
            };
            self.all.ended += present.ended - former.ended;
            self.all.bad += present.bad - former.bad;
        }
        self.since(now)
    }

    fn since(&mut self, now: Instant) -> Counts {
        // The last look before the window stands for its beginning.
        while self.looks.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= WINDOW) {
            self.looks.pop_front();
        }
        let first = self.looks.front().map_or(Counts::default(), |(_, counts)| *counts);
        if self.looks.back().is_none_or(|(at, _)| now.duration_since(*at) >= GAP) {
            self.looks.push_back((now, self.all));
        }
        Counts { ended: self.all.ended - first.ended, bad: self.all.bad - first.bad }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_window_holds_what_ended_within_it_and_few_looks() {
        let begin = Instant::now();
        let mut window = Window::default();
        for tenth in 0..600 {
            window.all.ended += 1;
            window.all.bad += u64::from(tenth < 300);
            let counts = window.since(begin + Duration::from_millis(100 * tenth));
            assert!(counts.ended <= 106 && (tenth < 106 || counts.ended >= 100), "{tenth}: {counts:?}");
            assert!(window.looks.len() <= 22, "{}", window.looks.len());
            if tenth >= 410 {
                assert_eq!(counts.bad, 0);
            }
        }
    }
}
