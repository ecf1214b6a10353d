//! The timeline of one endpoint: counters in intervals that widen with age, and what happened to the endpoint.

mod event;
mod interval;

pub use event::{EndpointEvent, EventRecord};
pub use interval::{Interval, LoadSample};

use crate::{LatencySketch, Micros, SECOND};
use madderloom_balancer::Outcome;
use std::collections::VecDeque;

/// A width of intervals, and how many intervals of it are kept.
struct Resolution {
    width: Micros,
    capacity: usize,
}

impl Resolution {
    /// How far back the intervals of this resolution reach.
    const fn reach(&self) -> Micros {
        self.width * self.capacity as Micros
    }
}

/// Two minutes by seconds, a quarter of an hour by ten seconds, two hours by minutes, two days by half-hours. Each width
/// is a multiple of the one before, so that a closed interval belongs to one interval of the next resolution.
const RESOLUTIONS: [Resolution; 4] = [
    Resolution {
        width: SECOND,
        capacity: 120,
    },
    Resolution {
        width: 10 * SECOND,
        capacity: 90,
    },
    Resolution {
        width: 60 * SECOND,
        capacity: 120,
    },
    Resolution {
        width: 1_800 * SECOND,
        capacity: 96,
    },
];
/// Width of the narrowest intervals.
const FINEST_WIDTH: Micros = RESOLUTIONS[0].width;
/// Events that are kept; the oldest is dropped first.
const MAX_EVENTS: usize = 64;

/// The intervals of one resolution.
#[derive(Clone, Debug)]
struct Row {
    /// Closed intervals, the oldest first; empty ones are left out.
    closed: VecDeque<Interval>,
    /// The interval that closed ones of the finest resolution are being added to. Unused in the finest row.
    current: Interval,
}

/// The timeline of one endpoint. Its size is bounded.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// The interval of the finest resolution that the present belongs to.
    current: Interval,
    rows: [Row; 4],
    /// The oldest first.
    events: VecDeque<EventRecord>,
}

/// An interval together with its width.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// The width of the interval, in microseconds.
    pub width: Micros,
    /// The interval.
    pub interval: Interval,
}

impl Timeline {
    /// Upper bound on the memory of one timeline: its intervals with their sketches, and its events.
    pub(crate) const MAX_BYTES: usize = {
        let mut bytes = size_of::<Self>() + MAX_EVENTS * size_of::<EventRecord>();
        let mut at = 0;
        while at < RESOLUTIONS.len() {
            let capacity = RESOLUTIONS[at].capacity;
            // Closed intervals of the finest resolution hold no sketch.
            let sketch = if at == 0 { 0 } else { LatencySketch::BYTES };
            // Queues grow by doubling, to a power of two.
            bytes += capacity.next_power_of_two() * size_of::<Interval>() + capacity * sketch;
            at += 1;
        }
        bytes
    };

    /// An empty timeline that begins now.
    pub(crate) fn new(now: Micros) -> Self {
        let rows = RESOLUTIONS.map(|resolution| Row {
            closed: VecDeque::new(),
            current: Interval::starting_at(aligned(now, resolution.width)),
        });
        Timeline {
            current: Interval::starting_at(aligned(now, FINEST_WIDTH)),
            rows,
            events: VecDeque::new(),
        }
    }

    /// Closes the intervals that ended before `now`, and gives the current one.
    pub(crate) fn advance_to(&mut self, now: Micros) -> &mut Interval {
        let start = aligned(now, FINEST_WIDTH);
        if start > self.current.start {
            let closed = self.current.roll_over(start);
            self.close(closed, start);
        }
        &mut self.current
    }

    /// Adds a closed interval of the finest resolution to all rows, and drops what is too old.
    fn close(&mut self, finest: Interval, now: Micros) {
        for (row, resolution) in self.rows.iter_mut().zip(RESOLUTIONS).skip(1) {
            row.current.merge(&finest);
            let start = aligned(now, resolution.width);
            if start > row.current.start {
                let closed = row.current.roll_over(start);
                row.push_closed(closed);
            }
        }
        self.rows[0].push_closed(finest.without_latencies());
        for (row, resolution) in self.rows.iter_mut().zip(RESOLUTIONS) {
            row.drop_old(now, &resolution);
        }
    }

    /// Intervals of the finest resolution that is at least `min_width` wide, the oldest first, ending with the current
    /// one. Closed intervals in which nothing happened are left out.
    pub fn intervals(&self, min_width: Micros) -> impl Iterator<Item = &Interval> {
        let at = RESOLUTIONS
            .iter()
            .position(|resolution| resolution.width >= min_width)
            .unwrap_or(RESOLUTIONS.len() - 1);
        let row = &self.rows[at];
        let current = if at == 0 { &self.current } else { &row.current };
        row.closed.iter().chain(std::iter::once(current))
    }

    /// All that is remembered, the oldest first, with each period of time covered once and in the finest resolution that
    /// is known. Intervals in which nothing happened are left out.
    pub fn finest_entries(&self) -> Vec<TimelineEntry> {
        let mut entries = Vec::new();
        // From the finest row to the widest: an interval is used if it ends before what finer rows cover.
        let mut covered_from = Micros::MAX;
        for (at, (row, resolution)) in self.rows.iter().zip(RESOLUTIONS).enumerate() {
            let width = resolution.width;
            // Aligned to the next resolution, so that its intervals end there.
            let reach = self.current.start.saturating_sub(resolution.reach());
            let row_start = RESOLUTIONS
                .get(at + 1)
                .map_or(0, |next| reach.div_ceil(next.width) * next.width);
            let is_used = |interval: &&Interval| {
                interval.start >= row_start && interval.start.saturating_add(width) <= covered_from
            };
            let used = row.closed.iter().rev().filter(is_used);
            entries.extend(used.map(|interval| TimelineEntry {
                width,
                interval: interval.clone(),
            }));
            covered_from = covered_from.min(row_start);
        }
        entries.reverse();
        if self.current.attempts() > 0 || self.current.rejected_requests > 0 {
            entries.push(TimelineEntry {
                width: FINEST_WIDTH,
                interval: self.current.clone(),
            });
        }
        entries
    }

    /// The latest events, the oldest first.
    pub fn events(&self) -> impl Iterator<Item = &EventRecord> {
        self.events.iter()
    }

    /// Records an event. Repetitions of the latest event are counted in its record.
    pub(crate) fn record_event(&mut self, now: Micros, event: EndpointEvent) {
        if let Some(latest) = self
            .events
            .back_mut()
            .filter(|latest| latest.event == event)
        {
            latest.last_at = now;
            latest.count = latest.count.saturating_add(1);
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(EventRecord::first(now, event));
    }

    /// Counts an attempt that ended now.
    pub(crate) fn record_attempt(&mut self, now: Micros, outcome: Outcome, elapsed: Micros) {
        self.advance_to(now).record_attempt(outcome, elapsed);
    }
}

impl Row {
    fn push_closed(&mut self, interval: Interval) {
        if !interval.is_empty() {
            self.closed.push_back(interval);
        }
    }

    fn drop_old(&mut self, now: Micros, resolution: &Resolution) {
        let oldest = now.saturating_sub(resolution.reach());
        while self.closed.len() > resolution.capacity
            || self
                .closed
                .front()
                .is_some_and(|first| first.start < oldest)
        {
            self.closed.pop_front();
        }
    }
}

/// The start of the interval of this width that a point in time belongs to.
fn aligned(now: Micros, width: Micros) -> Micros {
    now - now % width
}
