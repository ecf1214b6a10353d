//! The level that holds: a state machine that goes up at once and comes down slowly.

use crate::{Condition, Effects, Micros, Signals};
use madderloom_config_reader::Span;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;

/// Changes that are remembered.
const HISTORY: usize = 64;

/// A level of reduced service.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    /// Its name, unique.
    pub name: String,
    /// Met, the level holds from then on.
    pub enter: Condition,
    /// Met, and the level held for long enough, it is left for the next below it that would not be left now, too.
    pub leave: Condition,
    /// It holds for this long at least, in microseconds; for longer where it keeps returning.
    pub least_stay: Micros,
    /// What it gives up, besides what those below it do.
    pub effects: Effects,
}

/// How stays grow where levels keep changing, and fade to their least with calm: as route-flap damping does
/// (RFC 2439), each change adds 1 to a penalty that halves with time, and a stay lasts
/// `least_stay * growth^penalty`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// What a change multiplies the stays by, 1 or more.
    pub growth: f64,
    /// In this time the penalty halves; in microseconds.
    pub half_life: Micros,
    /// No stay need last longer than this, in microseconds.
    pub longest: Micros,
    /// A level whose `leave` can't be told for this long, in microseconds, is left on trial: it may be the level
    /// itself that keeps what its condition hangs on from being measured.
    pub blind: Micros,
    /// Each instance stretches its stays by a part of its own up to this, so that a fleet does not come back as one.
    pub spread: f64,
}

impl Default for Damping {
    fn default() -> Self {
        Damping {
            growth: 1.3,
            half_life: 600_000_000,
            longest: 300_000_000,
            blind: 30_000_000,
            spread: 0.5,
        }
    }
}

/// A change of level.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// When.
    pub at: Micros,
    /// The level that held; none for full service.
    pub from: Option<String>,
    /// The level that holds now; none for full service.
    pub to: Option<String>,
    /// Why.
    pub cause: Cause,
}

/// Why a level changed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A condition was met, at these values.
    Met {
        /// The condition, as it is written.
        condition: String,
        /// Its signals' values then.
        values: String,
    },
    /// Its condition for leaving could not be told for so long that it was left on trial.
    Blind {
        /// The condition, as it is written.
        condition: String,
    },
    /// An operator has ordered it.
    Ordered {
        /// Who.
        by: String,
    },
    /// The level that held is not in the new file.
    Gone,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Met { condition, values } => write!(f, "{condition} (now {values})"),
            Cause::Blind { condition } => write!(f, "on trial, {condition} could not be told"),
            Cause::Ordered { by } => write!(f, "ordered by {by}"),
            Cause::Gone => write!(f, "the file has it no more"),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named =
            |level: &Option<String>| level.clone().unwrap_or_else(|| "full service".to_string());
        write!(
            f,
            "service level: from {} to {}: {}",
            named(&self.from),
            named(&self.to),
            self.cause
        )
    }
}

/// What an operator orders. Orders last for as long as they say and survive a restart where their owner writes
/// them down: they are plain data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Who gave it.
    pub by: String,
    /// The level that it is about; none for full service.
    pub level: Option<String>,
    /// Whether the level is to hold (true) or is not to be entered (false).
    pub pin: bool,
    /// When it ends, in microseconds of the clock that the machine is told.
    pub until: Micros,
}

/// The levels of one service, and which of them holds.
///
/// A level is entered as soon as its condition is met, whichever level held; it is left for one below it once its own
/// condition for that is met and it has held for its stay. Since every way down takes a stay, and stays grow
/// with each change, changes are bounded: see [`Levels::changes_at_most`].
pub struct Levels {
    levels: Vec<Level>,
    damping: Damping,
    /// Effects by level, 0 for full service, each with those below it.
    effects: Vec<Effects>,
    /// The level that holds, counted from 1; 0 for full service.
    at: usize,
    since: Micros,
    /// Since when leaving can't be told.
    blind_since: Option<Micros>,
    penalty: f64,
    penalty_at: Micros,
    stretch: f64,
    orders: Vec<Order>,
    history: VecDeque<Change>,
}

impl Levels {
    /// Levels in their order, the mildest first, at full service. `place` is this instance's part of the spread, from
    /// 0 to 1: a random number that is another at each instance.
    pub fn new(levels: Vec<Level>, damping: Damping, place: f64, now: Micros) -> Self {
        let mut effects = vec![Effects::default()];
        for level in &levels {
            let below = &effects[effects.len() - 1];
            effects.push(below.with(&level.effects));
        }
        Levels {
            levels,
            damping,
            effects,
            at: 0,
            since: now,
            blind_since: None,
            penalty: 0.0,
            penalty_at: now,
            stretch: 1.0 + damping.spread * place.clamp(0.0, 1.0),
            orders: Vec::new(),
            history: VecDeque::new(),
        }
    }

    /// The level that holds; none for full service.
    pub fn current(&self) -> Option<&Level> {
        self.levels.get(self.at.checked_sub(1)?)
    }

    /// What is given up now.
    pub fn effects(&self) -> &Effects {
        // There is one for each level and one for none.
        &self.effects[self.at]
    }

    /// Names of the levels, the mildest first.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.levels.iter().map(|level| level.name.as_str())
    }

    /// Since when the level holds.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// The last changes, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Orders that hold.
    pub fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// Takes an operator's order. An error names a level that is not there.
    pub fn order(&mut self, order: Order) -> Result<(), String> {
        if let Some(name) = &order.level
            && !self.levels.iter().any(|level| level.name == *name)
        {
            let names: Vec<&str> = self
                .levels
                .iter()
                .map(|level| level.name.as_str())
                .collect();
            return Err(format!(
                "there is no level {name}; there are {}",
                names.join(", ")
            ));
        }
        if order.level.is_none() && !order.pin {
            return Err("full service can't be barred".to_string());
        }
        // One pin holds at a time, and one bar for each level, so that orders stay few.
        self.orders.retain(|other| {
            if order.pin {
                !other.pin
            } else {
                other.pin || other.level != order.level
            }
        });
        self.orders.push(order);
        Ok(())
    }

    /// Takes orders back: the pin where no level is named, else the bar of this level.
    /// Says whether there was one.
    pub fn withdraw(&mut self, barred: Option<&str>) -> bool {
        let before = self.orders.len();
        self.orders.retain(|order| match barred {
            None => !order.pin,
            Some(level) => order.pin || order.level.as_deref() != Some(level),
        });
        self.orders.len() < before
    }

    /// Takes over other levels, with what is remembered of the past. The level that holds goes on holding where there
    /// is one of its name; else full service does. Orders go on for levels that are there.
    pub fn turn_to(&mut self, levels: Vec<Level>, damping: Damping, now: Micros) -> Option<Change> {
        let former = self.current().map(|level| level.name.clone());
        let known = |name: &String| levels.iter().position(|level| level.name == *name);
        let at = former.as_ref().and_then(known).map_or(0, |at| at + 1);
        self.orders.retain(|order| {
            order
                .level
                .as_ref()
                .is_none_or(|name| known(name).is_some())
        });
        // What is kept are parts of a spread from 0 to 1; its length is the settings'.
        let place = if self.damping.spread > 0.0 {
            (self.stretch - 1.0) / self.damping.spread
        } else {
            0.0
        };
        let fresh = Levels::new(levels, damping, place, now);
        (self.levels, self.damping, self.effects) = (fresh.levels, fresh.damping, fresh.effects);
        self.stretch = fresh.stretch;
        if former.is_some() && at == 0 {
            // The levels below it are others: its name stands in the change alone.
            let change = Change {
                at: now,
                from: former,
                to: None,
                cause: Cause::Gone,
            };
            return Some(self.note(now, 0, change));
        }
        self.at = at;
        None
    }

    /// Looks at the signals and changes the level where that is due: at most once a call.
    pub fn step(&mut self, now: Micros, signals: &Signals) -> Option<Change> {
        self.orders.retain(|order| now < order.until);
        // All conditions are looked at each time: those with a `for` count from call to call.
        let met: Vec<(Option<bool>, Option<bool>)> = self
            .levels
            .iter_mut()
            .map(|level| {
                (
                    level.enter.evaluate(now, signals),
                    level.leave.evaluate(now, signals),
                )
            })
            .collect();
        let to = self.ordered();
        if let Some((to, by)) = to {
            return (to != self.at).then(|| self.change(now, to, Cause::Ordered { by }));
        }
        let barred = |at: usize| {
            self.orders
                .iter()
                .any(|o| !o.pin && o.level.as_ref() == Some(&self.levels[at - 1].name))
        };
        let entered = (1..=self.levels.len())
            .rev()
            .find(|at| met[at - 1].0 == Some(true) && !barred(*at));
        if let Some(to) = entered.filter(|to| *to > self.at) {
            let cause = met_at(&self.levels[to - 1].enter, signals);
            return Some(self.change(now, to, cause));
        }
        if self.at == 0 {
            return None;
        }
        if let Some(order) = self
            .orders
            .iter()
            .find(|o| !o.pin && o.level.as_ref() == self.current().map(|l| &l.name))
        {
            let by = order.by.clone();
            return Some(self.change(now, self.at - 1, Cause::Ordered { by }));
        }
        let (enter, leave) = met[self.at - 1];
        if leave.is_some() {
            self.blind_since = None;
        } else {
            self.blind_since.get_or_insert(now);
        }
        let blind = self
            .blind_since
            .is_some_and(|since| now.saturating_sub(since) >= self.damping.blind);
        let stayed = now.saturating_sub(self.since) >= self.stay(now);
        if !stayed || enter == Some(true) || !(leave == Some(true) || blind) {
            return None;
        }
        let leave = &self.levels[self.at - 1].leave;
        let cause = if blind {
            Cause::Blind {
                condition: leave.to_string(),
            }
        } else {
            met_at(leave, signals)
        };
        // Levels below it that would be left now are passed over: each would else cost a stay of its own. Not on trial,
        // where nothing is known.
        let passed =
            |at: usize| !blind && met[at - 1].1 == Some(true) && met[at - 1].0 != Some(true);
        let to = (1..self.at).rev().find(|at| !passed(*at)).unwrap_or(0);
        Some(self.change(now, to, cause))
    }

    /// The level that a pin names, and who pinned it.
    fn ordered(&self) -> Option<(usize, String)> {
        let pin = self.orders.iter().find(|order| order.pin)?;
        let at = match &pin.level {
            None => 0,
            Some(name) => 1 + self.levels.iter().position(|level| level.name == *name)?,
        };
        Some((at, pin.by.clone()))
    }

    /// How long the level that holds must hold, in microseconds.
    fn stay(&self, now: Micros) -> Micros {
        let least = self.current().map_or(0, |level| level.least_stay) as f64 * self.stretch;
        let grown = least * self.damping.growth.powf(self.penalty(now));
        grown.min((self.damping.longest as f64).max(least)) as Micros
    }

    fn penalty(&self, now: Micros) -> f64 {
        let halves =
            now.saturating_sub(self.penalty_at) as f64 / self.damping.half_life.max(1) as f64;
        self.penalty * (-halves).exp2()
    }

    fn change(&mut self, now: Micros, to: usize, cause: Cause) -> Change {
        let named = |at: usize| at.checked_sub(1).map(|at| self.levels[at].name.clone());
        let change = Change {
            at: now,
            from: named(self.at),
            to: named(to),
            cause,
        };
        self.note(now, to, change)
    }

    fn note(&mut self, now: Micros, to: usize, change: Change) -> Change {
        (self.penalty, self.penalty_at) = (self.penalty(now) + 1.0, now);
        (self.at, self.since, self.blind_since) = (to, now, None);
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change.clone());
        change
    }

    /// How often the level can change within a window of this length, at most, but for operators' orders and new files.
    ///
    /// A way down takes a stay since the change before it, and of those in the window all but the first have their stay
    /// within it. Before the one numbered `i` there are `i - 1` others, and since there are only `n` levels to come down
    /// from, the level has risen `i - n` times in between, in ways up of `n` at the most. What these changes added to the
    /// penalty has faded by the window's length at the most. So the stays have a least length that grows with `i`, and
    /// only so many fit. Between two ways down, and at either end, there are `n` ways up at the most.
    pub fn changes_at_most(&self, window: Micros) -> u64 {
        changes_at_most(&self.levels, &self.damping, window)
    }
}

fn met_at(condition: &Condition, signals: &Signals) -> Cause {
    Cause::Met {
        condition: condition.to_string(),
        values: condition.values(signals),
    }
}

pub(crate) fn changes_at_most(levels: &[Level], damping: &Damping, window: Micros) -> u64 {
    let least = levels
        .iter()
        .map(|level| level.least_stay)
        .min()
        .unwrap_or(Micros::MAX)
        .max(1) as f64;
    let longest = (damping.longest as f64).max(least);
    let count = levels.len().max(1) as u64;
    let left = (-(window as f64) / damping.half_life.max(1) as f64).exp2();
    let (mut spent, mut downs) = (0.0, 1u64);
    loop {
        let ups = (downs + 1).saturating_sub(count).div_ceil(count);
        let stay = (least * damping.growth.powf((downs + ups) as f64 * left)).min(longest);
        spent += stay;
        if spent > window as f64 {
            return (count + 1) * downs + count;
        }
        downs += 1;
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stay = Span(self.least_stay);
        write!(
            f,
            "{}: entered when {}; left when {}, after {stay} at least",
            self.name, self.enter, self.leave
        )
    }
}
