//! A value by time of day, robust against a single exceptional day.

use crate::{HOUR, Micros};

/// Periods of a day: half-hours.
pub(super) const PERIODS: usize = 48;
/// Days that are remembered. The value of a period is their median, so one exceptional day doesn't change it and two do.
const DAYS: usize = 3;
/// A period that recurs sooner than this belongs to the same day: a day of 25 hours has two of its periods twice.
const SAME_DAY: Micros = 12 * HOUR;

/// One value for each period of the day.
#[derive(Clone, Debug)]
pub(super) struct DailyProfile {
    /// For each period the values of the last days, the newest last; 0 where there is none.
    days: Vec<[f32; DAYS]>,
    /// For each period when it was last recorded; 0 if never.
    recorded_at: Vec<Micros>,
}

impl DailyProfile {
    /// Memory that one profile takes besides the value itself.
    pub(super) const HEAP_BYTES: usize = PERIODS * (size_of::<[f32; DAYS]>() + size_of::<Micros>());

    pub(super) fn new() -> Self {
        DailyProfile {
            days: vec![[0.0; DAYS]; PERIODS],
            recorded_at: vec![0; PERIODS],
        }
    }

    /// Records the value of a period that has ended. Within one day the highest value counts.
    pub(super) fn record(&mut self, now: Micros, period: usize, value: f64) {
        let days = &mut self.days[period];
        let recorded_at = &mut self.recorded_at[period];
        if *recorded_at != 0 && now.saturating_sub(*recorded_at) < SAME_DAY {
            days[DAYS - 1] = days[DAYS - 1].max(value as f32);
            return;
        }
        days.rotate_left(1);
        days[DAYS - 1] = value as f32;
        *recorded_at = now;
    }

    /// The median over the remembered days; 0 if fewer than two days were recorded.
    pub(super) fn value(&self, period: usize) -> f64 {
        let mut days = self.days[period];
        days.sort_by(f32::total_cmp);
        f64::from(days[DAYS / 2])
    }
}
