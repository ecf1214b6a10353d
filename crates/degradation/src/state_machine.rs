//! The state machine that decides which level is active: it degrades immediately and recovers slowly.

mod change_bound;
mod stay;

pub(crate) use change_bound::max_changes;

use crate::operator_order::Orders;
use crate::{
    ChangeCause, Condition, Damping, Effects, Level, LevelChange, Micros, OperatorOrder,
    OrderError, Signals,
};
use stay::StayDamping;
use std::collections::VecDeque;

/// Changes that are remembered; the oldest is dropped first.
const MAX_HISTORY: usize = 64;

/// The levels of one service, and which of them is active.
///
/// A level is entered as soon as its condition is met, from full service or any milder level. It is left for a milder
/// one once its condition for leaving is met and it was active for its stay. Each change on the way down takes a stay,
/// and stays grow with each change, so the number of changes is bounded: see [`LevelStateMachine::max_changes`].
pub struct LevelStateMachine {
    /// The mildest first.
    levels: Vec<Level>,
    /// The combined effects by position: each level's own and those of all milder ones.
    effects: Vec<Effects>,
    /// The active level, counted from 1; 0 for full service.
    position: usize,
    /// When the active level was entered.
    since: Micros,
    /// Since when it is unknown whether the active level may be left.
    leave_unknown_since: Option<Micros>,
    stay_damping: StayDamping,
    orders: Orders,
    /// The oldest first.
    history: VecDeque<LevelChange>,
}

/// Whether the conditions of a level are met; `None` where signals are missing.
#[derive(Clone, Copy)]
struct Evaluation {
    enter: Option<bool>,
    leave: Option<bool>,
}

impl Evaluation {
    fn may_enter(self) -> bool {
        self.enter == Some(true)
    }

    fn may_leave(self) -> bool {
        self.leave == Some(true) && !self.may_enter()
    }
}

impl LevelStateMachine {
    /// A state machine at full service. `levels` are ordered, the mildest first. `jitter` is this instance's part of
    /// [`Damping::max_jitter`], from 0 to 1: a random number that differs between instances.
    pub fn new(levels: Vec<Level>, damping: Damping, jitter: f64, now: Micros) -> Self {
        LevelStateMachine {
            effects: combined_effects(&levels),
            levels,
            position: 0,
            since: now,
            leave_unknown_since: None,
            stay_damping: StayDamping::new(damping, jitter, now),
            orders: Orders::default(),
            history: VecDeque::new(),
        }
    }

    /// The active level; `None` for full service.
    pub fn current(&self) -> Option<&Level> {
        self.levels.get(self.position.checked_sub(1)?)
    }

    /// What is given up now.
    pub fn effects(&self) -> &Effects {
        // There are effects for each level, and for none.
        &self.effects[self.position]
    }

    /// Names of the levels, the mildest first.
    pub fn level_names(&self) -> impl Iterator<Item = &str> {
        self.levels.iter().map(|level| level.name.as_str())
    }

    /// When the active level was entered.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// The latest changes, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &LevelChange> {
        self.history.iter()
    }

    /// Operators' orders in force, the oldest first.
    pub fn orders(&self) -> &[OperatorOrder] {
        self.orders.as_slice()
    }

    /// Applies an operator's order from the next evaluation on. It replaces the former pin, or the former bar of its
    /// level.
    ///
    /// # Errors
    /// The order names a level that does not exist, or bars full service.
    pub fn apply_order(&mut self, order: OperatorOrder) -> Result<(), OrderError> {
        let names: Vec<&str> = self
            .levels
            .iter()
            .map(|level| level.name.as_str())
            .collect();
        self.orders.add(order, &names)
    }

    /// Withdraws the bar of a level, or the pin if no level is named. Returns whether there was one.
    pub fn withdraw_order(&mut self, barred: Option<&str>) -> bool {
        self.orders.remove(barred)
    }

    /// Applies other levels. The active level remains active if there is one of its name, otherwise full service is
    /// restored. Orders remain in force for levels that exist.
    pub fn reconfigure(
        &mut self,
        levels: Vec<Level>,
        damping: Damping,
        now: Micros,
    ) -> Option<LevelChange> {
        let position_of = |name: &str| {
            let index = levels.iter().position(|level| level.name == name);
            index.map(|index| index + 1)
        };
        let former = self.current().map(|level| level.name.clone());
        let position = former.as_deref().map_or(Some(0), position_of);
        self.orders
            .retain_levels(|name| position_of(name).is_some());
        self.effects = combined_effects(&levels);
        self.levels = levels;
        self.stay_damping.reconfigure(damping);
        if let Some(position) = position {
            self.position = position;
            return None;
        }
        Some(self.record(
            LevelChange {
                at: now,
                from: former,
                to: None,
                cause: ChangeCause::LevelRemoved,
            },
            0,
        ))
    }

    /// Evaluates all conditions, and changes the level if that is due: at most once a call.
    pub fn evaluate(&mut self, now: Micros, signals: &Signals) -> Option<LevelChange> {
        self.orders.expire(now);
        // All conditions are evaluated each time, since durations are measured from call to call.
        let evaluations: Vec<Evaluation> = self
            .levels
            .iter_mut()
            .map(|level| Evaluation {
                enter: level.enter.evaluate(now, signals),
                leave: level.leave.evaluate(now, signals),
            })
            .collect();
        if let Some((position, by)) = self.pinned() {
            let cause = ChangeCause::Ordered { by };
            return (position != self.position).then(|| self.change(now, position, cause));
        }
        if let Some(position) = self.position_to_enter(&evaluations) {
            let cause = condition_met(&self.levels[position - 1].enter, signals);
            return Some(self.change(now, position, cause));
        }
        if self.position == 0 {
            return None;
        }
        if let Some(bar) = self.bar_of(self.position) {
            let cause = ChangeCause::Ordered {
                by: bar.ordered_by.clone(),
            };
            return Some(self.change(now, self.position - 1, cause));
        }
        self.leave_if_due(now, signals, &evaluations)
    }

    /// The position that a pin names, and who pinned it.
    fn pinned(&self) -> Option<(usize, String)> {
        let pin = self.orders.pin()?;
        let position = match &pin.level {
            None => 0,
            Some(name) => 1 + self.levels.iter().position(|level| level.name == *name)?,
        };
        Some((position, pin.ordered_by.clone()))
    }

    /// The bar of the level at a position, which is not 0.
    fn bar_of(&self, position: usize) -> Option<&OperatorOrder> {
        self.orders.bar_of(&self.levels[position - 1].name)
    }

    /// The highest level whose condition is met and that is not barred, if it is above the active one.
    fn position_to_enter(&self, evaluations: &[Evaluation]) -> Option<usize> {
        (self.position + 1..=self.levels.len())
            .rev()
            .find(|position| {
                evaluations[position - 1].may_enter() && self.bar_of(*position).is_none()
            })
    }

    /// Leaves the active level if its stay is over and its condition for leaving is met, or unknown for too long.
    fn leave_if_due(
        &mut self,
        now: Micros,
        signals: &Signals,
        evaluations: &[Evaluation],
    ) -> Option<LevelChange> {
        let evaluation = evaluations[self.position - 1];
        let is_on_trial = self.is_unknown_for_too_long(now, evaluation);
        let min_stay = self.current().map_or(0, |level| level.min_stay);
        let stay_is_over = now.saturating_sub(self.since) >= self.stay_damping.stay(now, min_stay);
        let leave_is_met = evaluation.leave == Some(true);
        if !stay_is_over || evaluation.may_enter() || !(leave_is_met || is_on_trial) {
            return None;
        }
        let leave = &self.levels[self.position - 1].leave;
        if is_on_trial {
            // Nothing is known of milder levels either, so none is skipped.
            let condition = leave.to_string();
            let cause = ChangeCause::ConditionUnknown { condition };
            return Some(self.change(now, self.position - 1, cause));
        }
        let cause = condition_met(leave, signals);
        // Milder levels that may be left as well are skipped: each would cost another stay.
        let position = (1..self.position)
            .rev()
            .find(|position| !evaluations[position - 1].may_leave())
            .unwrap_or(0);
        Some(self.change(now, position, cause))
    }

    /// Whether it has been unknown for too long if the active level may be left.
    fn is_unknown_for_too_long(&mut self, now: Micros, evaluation: Evaluation) -> bool {
        if evaluation.leave.is_some() {
            self.leave_unknown_since = None;
            return false;
        }
        let since = *self.leave_unknown_since.get_or_insert(now);
        now.saturating_sub(since) >= self.stay_damping.blind_timeout()
    }

    fn change(&mut self, now: Micros, position: usize, cause: ChangeCause) -> LevelChange {
        let name_at = |position: usize| {
            let index = position.checked_sub(1)?;
            Some(self.levels[index].name.clone())
        };
        let change = LevelChange {
            at: now,
            from: name_at(self.position),
            to: name_at(position),
            cause,
        };
        self.record(change, position)
    }

    /// Moves to a position, and remembers the change.
    fn record(&mut self, change: LevelChange, position: usize) -> LevelChange {
        self.stay_damping.count_change(change.at);
        self.position = position;
        self.since = change.at;
        self.leave_unknown_since = None;
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change.clone());
        change
    }

    /// Upper bound on the changes of level within any window of this length, except for operators' orders and new
    /// configurations.
    ///
    /// Each change on the way down takes a stay since the change before it, and of those in the window all but the first
    /// have their stay within it. Before the `i`-th of them there are `i - 1` others, and since there are only `n` levels
    /// to come down from, the level has risen at least `i - n` times in between, by at most `n` levels each time. The
    /// penalty that these changes added has decayed at most over the length of the window. So the `i`-th stay has a lower
    /// bound that grows with `i`, and only so many stays fit. Between two changes on the way down, and at either end,
    /// there are at most `n` on the way up.
    pub fn max_changes(&self, window: Micros) -> u64 {
        max_changes(&self.levels, self.stay_damping.damping(), window)
    }
}

/// The effects by position: none for full service, and for each level its own with those of all milder ones.
fn combined_effects(levels: &[Level]) -> Vec<Effects> {
    let mut effects = vec![Effects::default()];
    for level in levels {
        let milder = &effects[effects.len() - 1];
        effects.push(milder.combine(&level.effects));
    }
    effects
}

fn condition_met(condition: &Condition, signals: &Signals) -> ChangeCause {
    ChangeCause::ConditionMet {
        condition: condition.to_string(),
        values: condition.describe_values(signals),
    }
}
