//! What became of requests, by their classes: the one registry that the second address, the admin view and the agent's
//! link read. Written where a request ends.

use madderloom_admin::figures::Ended;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Classes that are counted apart, at most: newer files may drop some and add others without end.
pub(super) const CLASSES: usize = 256;

/// What became of requests of one class, since the start.
#[derive(Clone, Default)]
pub(super) struct Counts {
    /// Answered by a server.
    pub(super) served: Cell<u64>,
    /// Of these, after the time within which an answer is of full worth. Of GraphQL operations none is counted.
    pub(super) late: Cell<u64>,
    /// Refused by the module.
    pub(super) refused: Cell<u64>,
    /// Failed.
    pub(super) failed: Cell<u64>,
    /// Turned away by a limit of this service or of the listener, before the module heard of them.
    pub(super) turned_away: Cell<u64>,
    /// Of these, by the bound on requests a second.
    pub(super) over_rate: Cell<u64>,
    /// Answered 4xx.
    pub(super) senseless: Cell<u64>,
}

impl Counts {
    fn add(&self, other: &Counts) {
        for (to, from) in [
            (&self.served, &other.served),
            (&self.late, &other.late),
            (&self.refused, &other.refused),
            (&self.failed, &other.failed),
            (&self.turned_away, &other.turned_away),
            (&self.over_rate, &other.over_rate),
            (&self.senseless, &other.senseless),
        ] {
            to.set(to.get() + from.get());
        }
    }

    /// In the words of the second address.
    pub(super) fn ended(&self) -> Ended {
        Ended {
            fulfilled: self.served.get(),
            throttled: self.refused.get() + self.turned_away.get(),
            faulted: self.failed.get() + self.senseless.get(),
        }
    }
}

pub(super) fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The requests of a service.
#[derive(Default)]
pub(super) struct Registry {
    by_class: RefCell<BTreeMap<String, Rc<Counts>>>,
    /// Of those that name no class, and of classes beyond the bound.
    unclassed: Rc<Counts>,
    /// Attempts that were written whole.
    pub(super) relayed: Cell<u64>,
    /// Held once by each request that was taken and has not ended.
    open: Rc<()>,
}

/// A request that was taken and has not ended.
pub(super) struct Open {
    _place: Rc<()>,
}

impl Registry {
    /// The counts of a class; they go on where a class is dropped and comes back.
    pub(super) fn class(&self, name: &str) -> Rc<Counts> {
        let mut by_class = self.by_class.borrow_mut();
        if let Some(counts) = by_class.get(name) {
            return Rc::clone(counts);
        }
        if by_class.len() >= CLASSES {
            return Rc::clone(&self.unclassed);
        }
        Rc::clone(by_class.entry(name.to_string()).or_default())
    }

    pub(super) fn unclassed(&self) -> Rc<Counts> {
        Rc::clone(&self.unclassed)
    }

    /// A request has been taken.
    pub(super) fn open(&self) -> Open {
        Open {
            _place: Rc::clone(&self.open),
        }
    }

    /// How many are open: by those that are, not by a difference.
    pub(super) fn opened(&self) -> u64 {
        Rc::strong_count(&self.open) as u64 - 1
    }

    /// Of all classes and of none.
    pub(super) fn sum(&self) -> Counts {
        let sum = Counts::default();
        sum.add(&self.unclassed);
        self.by_class
            .borrow()
            .values()
            .for_each(|counts| sum.add(counts));
        sum
    }

    /// By class.
    pub(super) fn operations(&self) -> Vec<(String, Ended)> {
        self.by_class
            .borrow()
            .iter()
            .map(|(name, counts)| (name.clone(), counts.ended()))
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
            let registry = Registry::default();
            let mut open: Vec<(Open, Rc<Counts>)> = Vec::new();
            let (mut taken, mut left, mut ended) = (0, 0, 0);
            for (what, which) in history {
                match what {
                    // More classes than are counted apart.
                    0 | 1 => {
                        taken += 1;
                        open.push((registry.open(), registry.class(&format!("class-{which}"))));
                    }
                    _ if open.is_empty() => {}
                    2 => {
                        left += 1;
                        drop(open.swap_remove(which % open.len()));
                    }
                    _ => {
                        let (_place, counts) = open.swap_remove(which % open.len());
                        count([&counts.served, &counts.refused, &counts.turned_away, &counts.failed][which % 4]);
                        ended += 1;
                    }
                }
                let sum = registry.sum().ended().all();
                prop_assert_eq!((registry.opened(), sum), (open.len() as u64, ended));
                prop_assert_eq!(taken, ended + left + registry.opened());
            }
            prop_assert!(registry.operations().len() <= CLASSES);
        }
    }
}
