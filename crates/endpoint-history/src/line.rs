//! A time line: steps that widen with age, and beside them what happened.

use crate::{LatencySketch, Micros, S};
use madderloom_balancer::Outcome;
use serde::Serialize;
use std::collections::VecDeque;

/// The widths of steps, and how many of each are kept: two minutes by seconds, a quarter of an hour by tens of them,
/// two hours by minutes, two days by half-hours. Each width is a multiple of the one before.
const WIDTHS: [(Micros, usize); 4] = [(S, 120), (10 * S, 90), (60 * S, 120), (1_800 * S, 96)];
/// Happenings that are kept.
const NOTES: usize = 64;
/// What happened within a stretch of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// Its beginning.
    pub from: Micros,
    /// Attempts by outcome, in the order of the interface's outcomes.
    pub outcomes: [u32; 8],
    /// The sum of the latencies of what was served, in microseconds.
    pub latency_sum: u64,
    /// The most requests that were out at once.
    pub most_out: u32,
    /// The part of the interval that its region covered, as it was last.
    pub region: f32,
    /// Requests that it said it held, and how old that was when it was heard, in microseconds, as it was last.
    pub reported: Option<(f32, u32)>,
    /// Requests that were turned away because of it.
    pub turned_away: u32,
    /// Latencies of what was served; none in the narrowest steps that are over.
    pub latency: Option<LatencySketch>,
}

impl Interval {
    /// Attempts that ended so.
    pub fn ended(&self, outcome: Outcome) -> u32 {
        self.outcomes[place(outcome)]
    }

    /// All attempts.
    pub fn attempts(&self) -> u32 {
        self.outcomes
            .iter()
            .fold(0, |all, n| all.saturating_add(*n))
    }

    /// Takes in a step that is a part of this one, and later than what it holds.
    fn merge(&mut self, part: &Interval) {
        for (ours, theirs) in self.outcomes.iter_mut().zip(part.outcomes) {
            *ours = ours.saturating_add(theirs);
        }
        self.latency_sum = self.latency_sum.saturating_add(part.latency_sum);
        self.most_out = self.most_out.max(part.most_out);
        self.region = part.region;
        self.reported = part.reported.or(self.reported);
        self.turned_away = self.turned_away.saturating_add(part.turned_away);
        if let Some(latency) = &part.latency {
            self.latency.get_or_insert_default().merge(latency);
        }
    }
}

fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Full => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::Moot => 7,
    }
}

/// Something that happened to a server, with the module's reason where it decided it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointEvent {
    /// It was listed for the first time, or again.
    Joined,
    /// It has started anew.
    Restarted,
    /// Another server is found at its address now.
    AddressTaken,
    /// It is to finish what it has.
    Draining,
    /// It takes new work again.
    Ready,
    /// It is gone from the list.
    Left,
    /// The module sends it nothing for a while, since attempts there ended so.
    Ejected(#[serde(serialize_with = "named")] Outcome),
    /// It was sent a request on trial.
    Trial,
    /// The module trusts it again after a trial.
    Restored,
    /// A departure with this number was raised.
    Departed(u64),
    /// A departure with this number was cleared.
    Cleared(u64),
}

fn named<W: serde::Serializer>(outcome: &Outcome, writer: W) -> Result<W::Ok, W::Error> {
    writer.collect_str(&format_args!("{outcome:?}"))
}

/// A happening with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EventRecord {
    /// When it was so first.
    pub at: Micros,
    /// What it was.
    pub what: EndpointEvent,
    /// When it was so last, and how often in a row.
    pub last: Micros,
    /// See `last`.
    pub times: u32,
}

/// The story of one server: numbers in steps, and a list of happenings.
#[derive(Clone, Debug, Serialize)]
pub struct Timeline {
    /// The step that goes on now.
    open: Interval,
    /// For each width the steps that are over, the oldest first, and the one being put together.
    rows: [Row; 4],
    notes: VecDeque<EventRecord>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Row {
    over: VecDeque<Interval>,
    open: Interval,
}

impl Timeline {
    /// The most bytes that a line takes: its steps with their sketches, and its happenings.
    pub(crate) const BYTES: usize = {
        let (mut bytes, mut at) = (size_of::<Self>() + NOTES * size_of::<EventRecord>(), 0);
        while at < WIDTHS.len() {
            // Queues grow by doubling, up to a power of two of places.
            let sketch = if at == 0 { 0 } else { LatencySketch::BYTES };
            bytes +=
                WIDTHS[at].1.next_power_of_two() * size_of::<Interval>() + WIDTHS[at].1 * sketch;
            at += 1;
        }
        bytes
    };

    pub(crate) fn new(now: Micros) -> Self {
        let open = |width: Micros| Interval {
            from: now - now % width,
            ..Interval::default()
        };
        let rows = WIDTHS.map(|(width, _)| Row {
            over: VecDeque::new(),
            open: open(width),
        });
        Timeline {
            open: open(WIDTHS[0].0),
            rows,
            notes: VecDeque::new(),
        }
    }

    /// The step that goes on at this time. Time that has passed is closed first.
    pub(crate) fn at(&mut self, now: Micros) -> &mut Interval {
        let from = now - now % WIDTHS[0].0;
        if from > self.open.from {
            let next = Interval {
                from,
                region: self.open.region,
                ..Interval::default()
            };
            let over = std::mem::replace(&mut self.open, next);
            self.close(over, from);
        }
        &mut self.open
    }

    /// Puts a second that is over into the rows, and what it ends there likewise.
    fn close(&mut self, over: Interval, now: Micros) {
        let is_silent = |step: &Interval| {
            step.outcomes == [0; 8] && step.turned_away == 0 && step.reported.is_none()
        };
        for (row, (width, _)) in self.rows.iter_mut().zip(WIDTHS).skip(1) {
            row.open.merge(&over);
            let from = now - now % width;
            if from > row.open.from {
                let next = Interval {
                    from,
                    region: row.open.region,
                    ..Interval::default()
                };
                let done = std::mem::replace(&mut row.open, next);
                if !is_silent(&done) {
                    row.over.push_back(done);
                }
            }
        }
        // Of a single second the mean is enough.
        let over = Interval {
            latency: None,
            ..over
        };
        if !is_silent(&over) {
            self.rows[0].over.push_back(over);
        }
        for (row, (width, most)) in self.rows.iter_mut().zip(WIDTHS) {
            let oldest = now.saturating_sub(width * most as Micros);
            while row.over.len() > most || row.over.front().is_some_and(|step| step.from < oldest) {
                row.over.pop_front();
            }
        }
    }

    /// The steps of a width that is at least this, the oldest first, with the one that goes on. Steps in which nothing
    /// happened are left out.
    pub fn steps(&self, width: Micros) -> impl Iterator<Item = &Interval> {
        let at = WIDTHS
            .iter()
            .position(|(w, _)| *w >= width)
            .unwrap_or(WIDTHS.len() - 1);
        let open = if at == 0 {
            &self.open
        } else {
            &self.rows[at].open
        };
        self.rows[at].over.iter().chain(std::iter::once(open))
    }

    /// All that is remembered, each stretch of time once and as finely as it is known: steps with their widths, the
    /// oldest first. Steps in which nothing happened are left out.
    pub fn story(&self) -> Vec<(Micros, Interval)> {
        let mut told: Vec<(Micros, Interval)> = Vec::new();
        // From the narrowest row backwards: a wider step is told where no narrower one reaches back to.
        let mut reached = Micros::MAX;
        for (at, (row, (width, most))) in self.rows.iter().zip(WIDTHS).enumerate() {
            // Back to where a step of the next row ends.
            let back = self.open.from.saturating_sub(width * most as Micros);
            let from = WIDTHS
                .get(at + 1)
                .map_or(0, |(next, _)| back.div_ceil(*next) * next);
            let here = row.over.iter().rev();
            let here =
                here.filter(|step| step.from >= from && step.from.saturating_add(width) <= reached);
            told.extend(here.map(|step| (width, step.clone())));
            reached = reached.min(from);
        }
        told.reverse();
        if self.open.attempts() > 0 || self.open.turned_away > 0 {
            told.push((WIDTHS[0].0, self.open.clone()));
        }
        told
    }

    /// What happened, the oldest first.
    pub fn notes(&self) -> impl Iterator<Item = &EventRecord> {
        self.notes.iter()
    }

    pub(crate) fn note(&mut self, now: Micros, what: EndpointEvent) {
        if let Some(last) = self.notes.back_mut().filter(|last| last.what == what) {
            (last.last, last.times) = (now, last.times.saturating_add(1));
            return;
        }
        if self.notes.len() == NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(EventRecord {
            at: now,
            what,
            last: now,
            times: 1,
        });
    }

    pub(crate) fn attempt(&mut self, now: Micros, outcome: Outcome, elapsed: Micros) {
        let step = self.at(now);
        let count = &mut step.outcomes[place(outcome)];
        *count = count.saturating_add(1);
        if outcome == Outcome::Ok {
            step.latency_sum = step.latency_sum.saturating_add(elapsed);
            step.latency.get_or_insert_default().add(elapsed);
        }
    }
}
