//! The event queue: a calendar of short days (after Brown 1988), sorted one day at a time.
//!
//! Events come out by time, then rank, then the order in which they went in. What lies further ahead than the
//! calendar reaches waits in a heap.

use madderloom_balancer::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A day, as a power of two in microseconds.
const DAY: u32 = 10;

/// Days that the calendar holds: some eight seconds, longer than most deadlines.
const DAYS: usize = 8_192;

struct Entry<T> {
    at: Micros,
    /// Rank in the upper 8 bits, then the order of coming.
    order: u64,
    what: T,
}

impl<T> Entry<T> {
    fn key(&self) -> (Micros, u64) {
        (self.at, self.order)
    }

    fn day(&self) -> u64 {
        self.at >> DAY
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Events in their total order.
pub struct Queue<T> {
    today: u64,
    /// Today's events as the day began, the next one last.
    sorted: Vec<Entry<T>>,
    /// Events for today that came since.
    added: BinaryHeap<Reverse<Entry<T>>>,
    days: Vec<Vec<Entry<T>>>,
    /// Events in `days`.
    ahead: usize,
    far: BinaryHeap<Reverse<Entry<T>>>,
    next: u64,
}

impl<T> Queue<T> {
    /// An empty queue at time 0.
    pub fn new() -> Self {
        Queue {
            today: 0,
            sorted: Vec::new(),
            added: BinaryHeap::new(),
            days: (0..DAYS).map(|_| Vec::new()).collect(),
            ahead: 0,
            far: BinaryHeap::new(),
            next: 0,
        }
    }

    /// Puts an event in. What is earlier than the last one taken out comes next.
    pub fn push(&mut self, at: Micros, rank: u8, what: T) {
        let entry = Entry {
            at,
            order: u64::from(rank) << 56 | self.next,
            what,
        };
        self.next += 1;
        let day = entry.day();
        if day <= self.today {
            self.added.push(Reverse(entry));
        } else if day < self.today + DAYS as u64 {
            self.days[day as usize % DAYS].push(entry);
            self.ahead += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// Takes the next event out.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        loop {
            let from_added = match (self.sorted.last(), self.added.peek()) {
                (Some(sorted), Some(Reverse(added))) => added < sorted,
                (None, Some(_)) => true,
                (Some(_), None) => false,
                (None, None) => {
                    if !self.turn_day() {
                        return None;
                    }
                    continue;
                }
            };
            let entry = if from_added {
                self.added.pop().map(|r| r.0)
            } else {
                self.sorted.pop()
            };
            return entry.map(|e| (e.at, e.what));
        }
    }

    /// Goes on to the next day on which something happens; false where there is none.
    fn turn_day(&mut self) -> bool {
        if self.ahead == 0 {
            let Some(Reverse(first)) = self.far.peek() else {
                return false;
            };
            // One before it: the loop below enters that day.
            self.today = self.today.max(first.day() - 1);
        }
        loop {
            self.today += 1;
            while let Some(Reverse(entry)) = self.far.peek()
                && entry.day() < self.today + DAYS as u64
            {
                let Some(Reverse(entry)) = self.far.pop() else {
                    break;
                };
                self.ahead += 1;
                self.days[entry.day() as usize % DAYS].push(entry);
            }
            let day = &mut self.days[self.today as usize % DAYS];
            if !day.is_empty() {
                self.ahead -= day.len();
                std::mem::swap(day, &mut self.sorted);
                self.sorted.sort_unstable_by(|a, b| b.cmp(a));
                return true;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn events_come_out_by_time_rank_and_order_of_coming(
            steps in prop::collection::vec((0u64..40_000_000, 0u8..4, prop::bool::ANY), 1..200)
        ) {
            let (mut queue, mut model, mut now, mut number) = (Queue::new(), Vec::new(), 0, 0u32);
            for (ahead, rank, pops) in steps {
                // Some in the same instant, some in the same day, some beyond the calendar.
                let at = now + if ahead % 3 == 0 { ahead % 2 } else { ahead };
                queue.push(at, rank, number);
                model.push((at, rank, number));
                number += 1;
                if pops {
                    let first = *model.iter().min().unwrap();
                    model.retain(|e| *e != first);
                    now = first.0;
                    prop_assert_eq!(queue.pop(), Some((first.0, first.2)));
                }
            }
            model.sort_unstable();
            for (at, _, number) in model {
                prop_assert_eq!(queue.pop(), Some((at, number)));
            }
            prop_assert_eq!(queue.pop(), None);
        }
    }
}
