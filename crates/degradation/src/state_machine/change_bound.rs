//! The bound on the number of changes of level.

use crate::{Damping, Level, Micros};

/// Upper bound on the changes of these levels within any window of this length. The reasoning is at
/// [`crate::LevelStateMachine::max_changes`].
pub(crate) fn max_changes(levels: &[Level], damping: &Damping, window: Micros) -> u64 {
    let min_stay = levels
        .iter()
        .map(|level| level.min_stay)
        .min()
        .unwrap_or(Micros::MAX)
        .max(1) as f64;
    let max_stay = (damping.max_stay as f64).max(min_stay);
    let level_count = levels.len().max(1) as u64;
    let half_lives = window as f64 / damping.half_life.max(1) as f64;
    let remaining_penalty = (-half_lives).exp2();
    let mut total_stay = 0.0;
    let mut downs = 1u64;
    loop {
        let ups = (downs + 1)
            .saturating_sub(level_count)
            .div_ceil(level_count);
        let penalty = (downs + ups) as f64 * remaining_penalty;
        total_stay += (min_stay * damping.growth.powf(penalty)).min(max_stay);
        if total_stay > window as f64 {
            return (level_count + 1) * downs + level_count;
        }
        downs += 1;
    }
}
