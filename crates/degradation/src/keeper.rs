//! A service kept at its level: its counts, its levels, and what its decision module is to be told.

use crate::gauge::{Gauge, Outside};
use crate::section::Checked;
use crate::{Change, Levels, Micros, Order, Signals};
use madderloom_balancer::{Closed, Reduced};

pub use crate::gauge::End;

/// Between two looks at the signals, in microseconds.
pub const LOOK: Micros = 100_000;

/// A service's levels at work.
pub struct Keeper {
    classes: Vec<String>,
    gauge: Gauge,
    levels: Levels,
    changes_in_ten_minutes: u64,
    reduced: Reduced,
    signals: Signals,
}

impl Keeper {
    /// Levels for a service of these classes, at full service. `place` is as [`Levels::new`] has it.
    pub fn new(checked: Checked, classes: Vec<String>, place: f64, now: Micros) -> Self {
        let Checked {
            levels,
            damping,
            changes_in_ten_minutes,
        } = checked;
        Keeper {
            gauge: Gauge::new(classes.clone()),
            levels: Levels::new(levels, damping, place, now),
            changes_in_ten_minutes,
            classes,
            reduced: Reduced::default(),
            signals: Signals::default(),
        }
    }

    /// Takes over other levels. The one that holds goes on holding where there is one of its name.
    pub fn turn_to(&mut self, checked: Checked, now: Micros) -> Option<Change> {
        self.changes_in_ten_minutes = checked.changes_in_ten_minutes;
        let change = self.levels.turn_to(checked.levels, checked.damping, now);
        self.reduced = self.levels.effects().of_classes(&self.classes);
        change
    }

    /// A request of this class, by its place, has ended; one that a level turned away is not to be told of.
    pub fn ended(&mut self, now: Micros, class: usize, end: End) {
        self.gauge.ended(now, class, end);
    }

    /// An attempt has ended.
    pub fn closed(&mut self, now: Micros, closed: &Closed) {
        self.gauge.closed(now, closed);
    }

    /// Looks at the signals; to be called every [`LOOK`]. Where the level changes, the decision module is to be told
    /// what [`Keeper::reduced`] gives.
    pub fn look(&mut self, now: Micros, outside: &Outside) -> Option<Change> {
        self.signals = self.gauge.signals(now, outside);
        let change = self.levels.step(now, &self.signals)?;
        self.reduced = self.levels.effects().of_classes(&self.classes);
        Some(change)
    }

    /// What the decision module is to give up now.
    pub fn reduced(&self) -> &Reduced {
        &self.reduced
    }

    /// The levels, to be looked at.
    pub fn levels(&self) -> &Levels {
        &self.levels
    }

    /// The signals as they were at the last look.
    pub fn signals(&self) -> &Signals {
        &self.signals
    }

    /// Changes in any ten minutes, at most, but for orders and new files.
    pub fn changes_in_ten_minutes(&self) -> u64 {
        self.changes_in_ten_minutes
    }

    /// See [`Levels::order`].
    pub fn order(&mut self, order: Order) -> Result<(), String> {
        self.levels.order(order)
    }

    /// See [`Levels::withdraw`].
    pub fn withdraw(&mut self, barred: Option<&str>) -> bool {
        self.levels.withdraw(barred)
    }
}
