//! The levels of one service: its counters, its state machine, and what the decision module is to give up.

use crate::{
    ExternalSignals, LevelChange, LevelPlan, LevelStateMachine, Micros, OperatorOrder, OrderError,
    RequestEnd, Signals, WindowedCounters,
};
use madderloom_balancer::{AttemptResult, DegradationEffects};

/// Interval between two evaluations of the conditions, in microseconds.
pub const EVALUATION_INTERVAL: Micros = 100_000;

/// Decides the level of one service.
pub struct LevelController {
    classes: Vec<String>,
    counters: WindowedCounters,
    levels: LevelStateMachine,
    max_changes_in_ten_minutes: u64,
    reduced: DegradationEffects,
    signals: Signals,
}

impl LevelController {
    /// A controller for a service with these classes, at full service. `jitter` is as [`LevelStateMachine::new`]
    /// describes it.
    pub fn new(plan: LevelPlan, classes: Vec<String>, jitter: f64, now: Micros) -> Self {
        let LevelPlan {
            levels,
            damping,
            max_changes_in_ten_minutes,
        } = plan;
        LevelController {
            counters: WindowedCounters::new(classes.clone()),
            levels: LevelStateMachine::new(levels, damping, jitter, now),
            max_changes_in_ten_minutes,
            classes,
            reduced: DegradationEffects::default(),
            signals: Signals::default(),
        }
    }

    /// Applies another configuration. The active level remains active if there is one of its name.
    pub fn reconfigure(&mut self, plan: LevelPlan, now: Micros) -> Option<LevelChange> {
        self.max_changes_in_ten_minutes = plan.max_changes_in_ten_minutes;
        let change = self.levels.reconfigure(plan.levels, plan.damping, now);
        self.update_reduced();
        change
    }

    /// Counts a request that ended. `class` is its index. Requests that a level rejected are not to be counted.
    pub fn request_ended(&mut self, now: Micros, class: usize, end: RequestEnd) {
        self.counters.request_ended(now, class, end);
    }

    /// Counts an attempt that ended.
    pub fn attempt_ended(&mut self, now: Micros, closed: &AttemptResult) {
        self.counters.attempt_ended(now, closed);
    }

    /// Evaluates the conditions. To be called every [`EVALUATION_INTERVAL`]. After a change the decision module is to be
    /// given [`LevelController::reduced`].
    pub fn evaluate(&mut self, now: Micros, external: &ExternalSignals) -> Option<LevelChange> {
        self.signals = self.counters.signals(now, external);
        let change = self.levels.evaluate(now, &self.signals)?;
        self.update_reduced();
        Some(change)
    }

    fn update_reduced(&mut self) {
        self.reduced = self.levels.effects().for_classes(&self.classes);
    }

    /// What the decision module is to give up now.
    pub fn reduced(&self) -> &DegradationEffects {
        &self.reduced
    }

    /// The state of the levels.
    pub fn levels(&self) -> &LevelStateMachine {
        &self.levels
    }

    /// The signals at the last evaluation.
    pub fn signals(&self) -> &Signals {
        &self.signals
    }

    /// Upper bound on the changes of level within ten minutes, except for operators' orders and new configurations.
    pub fn max_changes_in_ten_minutes(&self) -> u64 {
        self.max_changes_in_ten_minutes
    }

    /// Applies an operator's order, see [`LevelStateMachine::apply_order`].
    ///
    /// # Errors
    /// The order names a level that does not exist, or bars full service.
    pub fn apply_order(&mut self, order: OperatorOrder) -> Result<(), OrderError> {
        self.levels.apply_order(order)
    }

    /// Withdraws an operator's order, see [`LevelStateMachine::withdraw_order`].
    pub fn withdraw_order(&mut self, barred: Option<&str>) -> bool {
        self.levels.withdraw_order(barred)
    }
}
