//! What is usual: learned while nothing is wrong, and by the time of day from what happens every day.

use crate::{LatencySketch, Micros};

/// Parts of a day.
const PARTS: usize = 48;
/// Days of which a part of the day is remembered: its usual value is their median, so what befell one day alone is
/// not usual, and what befell two is.
const DAYS: usize = 3;
/// What comes again sooner than this is the same day's: a day of 25 hours has a part twice.
const SAME_DAY: Micros = 12 * 3_600 * crate::S;
/// Observations after which older ones weigh half.
const FADE: u32 = 4_000;
/// Observations without which nothing is called usual.
const ENOUGH: u32 = 40;
/// The part of latencies under which the usual limit lies, and what it is stretched by: less often than one in ten is
/// beyond it.
const LIMIT: (f64, f64) = (0.9, 1.15);
/// The same for a limit that most answers keep to: what is over it, again and again, is a little slower.
const MIDDLE: (f64, f64) = (0.6, 1.25);
/// A share is the mean of so many observations: of failures, and of spans of time in which most answers were over the
/// middle limit.
const MEAN_OF: (f64, f64) = (20_000.0, 2_000.0);
/// Such spans without which no share of them is called usual, and the bounds of that share.
const SPANS: (u32, f64, f64) = (30, 0.03, 0.4);
/// No share of errors is held to be usual below this: nothing is known of less.
const LEAST: f64 = 0.002;

/// One number for each part of the day, over the last days.
#[derive(Clone, Debug)]
struct Daily {
    days: Vec<[f32; DAYS]>,
    last: Vec<Micros>,
}

impl Daily {
    fn new() -> Self {
        Daily {
            days: vec![[0.0; DAYS]; PARTS],
            last: vec![0; PARTS],
        }
    }

    fn put(&mut self, now: Micros, part: usize, value: f64) {
        let (days, last) = (&mut self.days[part], &mut self.last[part]);
        if *last != 0 && now.saturating_sub(*last) < SAME_DAY {
            days[DAYS - 1] = days[DAYS - 1].max(value as f32);
            return;
        }
        days.rotate_left(1);
        (days[DAYS - 1], *last) = (value as f32, now);
    }

    /// The median over the days; 0 where fewer than two were seen.
    fn get(&self, part: usize) -> f64 {
        let mut days = self.days[part];
        days.sort_by(f32::total_cmp);
        f64::from(days[DAYS / 2])
    }
}

/// What is usual of a server: its share of failures, and a limit on its latency.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    /// While nothing is wrong.
    failures: f64,
    seen: u32,
    latency: LatencySketch,
    faded: u32,
    limit: Option<f64>,
    middle: Option<f64>,
    /// Spans of time in which most answers were over the middle limit, and all such spans.
    over: f64,
    spans: u32,
    /// What each part of the day brought, right or wrong.
    daily_failures: Daily,
    daily_limit: Daily,
    daily_middle: Daily,
    part: usize,
    part_failures: (u32, u32),
    part_latency: LatencySketch,
}

impl Baseline {
    /// The bytes that one takes besides itself.
    pub(crate) const BYTES: usize = 2 * PARTS * (DAYS * 4 + 8) + 2 * LatencySketch::BYTES;

    pub fn new() -> Self {
        Baseline {
            failures: 0.0,
            seen: 0,
            latency: LatencySketch::default(),
            faded: 0,
            limit: None,
            middle: None,
            over: 0.0,
            spans: 0,
            daily_failures: Daily::new(),
            daily_limit: Daily::new(),
            daily_middle: Daily::new(),
            part: PARTS,
            part_failures: (0, 0),
            part_latency: LatencySketch::default(),
        }
    }

    /// Takes in an attempt, at this minute of the day. What comes while something is wrong is learned as what this
    /// part of the day brings, and not as what is usual at any time.
    pub fn learn(
        &mut self,
        now: Micros,
        minute_of_day: u16,
        failed: bool,
        latency: Option<Micros>,
        wrong: bool,
    ) {
        let part = usize::from(minute_of_day) * PARTS / 1_440;
        if part != self.part {
            self.close(now);
            self.part = part.min(PARTS - 1);
        }
        self.part_failures.0 += u32::from(failed);
        self.part_failures.1 += 1;
        latency
            .iter()
            .for_each(|latency| self.part_latency.add(*latency));
        if wrong {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        // A plain mean at first, then one in which what is new weighs as in a mean of so many.
        self.failures +=
            (f64::from(u8::from(failed)) - self.failures) / f64::from(self.seen).min(MEAN_OF.0);
        if let Some(latency) = latency {
            self.latency.add(latency);
            self.faded += 1;
            if self.faded >= FADE {
                self.latency.fade();
                self.faded = 0;
            }
            // The limit is looked up anew now and then alone: a quantile costs more than all else here.
            if self.limit.is_none() && self.seen >= ENOUGH || self.faded.is_multiple_of(64) {
                self.limit = self
                    .latency
                    .quantile_between(LIMIT.0)
                    .map(|limit| limit * LIMIT.1);
                self.middle = self
                    .latency
                    .quantile_between(MIDDLE.0)
                    .map(|middle| middle * MIDDLE.1);
            }
        }
    }

    /// Ends a part of the day.
    fn close(&mut self, now: Micros) {
        if self.part < PARTS && self.part_failures.1 >= ENOUGH {
            let share = f64::from(self.part_failures.0) / f64::from(self.part_failures.1);
            self.daily_failures.put(now, self.part, share);
            if let Some(limit) = self.part_latency.quantile_between(LIMIT.0) {
                self.daily_limit.put(now, self.part, limit * LIMIT.1);
            }
            if let Some(middle) = self.part_latency.quantile_between(MIDDLE.0) {
                self.daily_middle.put(now, self.part, middle * MIDDLE.1);
            }
        }
        self.part_failures = (0, 0);
        self.part_latency.clear();
    }

    /// Whether what is usual rests on its own answers.
    pub fn is_learned(&self) -> bool {
        self.seen >= ENOUGH
    }

    /// The usual share of failures now, never 0; none while too little was seen.
    pub fn failures(&self) -> Option<f64> {
        let daily = if self.part < PARTS {
            self.daily_failures.get(self.part)
        } else {
            0.0
        };
        self.is_learned()
            .then(|| self.failures.max(daily).clamp(LEAST, 0.8))
    }

    /// A latency beyond which fewer than one in ten lie; none while too little was seen.
    pub fn limit(&self) -> Option<f64> {
        let daily = if self.part < PARTS {
            self.daily_limit.get(self.part)
        } else {
            0.0
        };
        // What is slow every night is no departure at night, and its absence is none either: only what is over both.
        self.limit.map(|limit| limit.max(daily))
    }

    /// A latency that most answers keep below, in the same measure; none while too little was seen.
    pub fn middle(&self) -> Option<f64> {
        let daily = if self.part < PARTS {
            self.daily_middle.get(self.part)
        } else {
            0.0
        };
        self.middle.map(|middle| middle.max(daily))
    }

    /// Takes in a span of time, while nothing is wrong: whether most of its answers were over the middle limit.
    pub fn learn_span(&mut self, over: bool) {
        self.spans = self.spans.saturating_add(1);
        self.over += (f64::from(u8::from(over)) - self.over) / f64::from(self.spans).min(MEAN_OF.1);
    }

    /// The usual share of such spans; none while too little was seen.
    pub fn over(&self) -> Option<f64> {
        (self.spans >= SPANS.0).then(|| self.over.clamp(SPANS.1, SPANS.2))
    }
}
