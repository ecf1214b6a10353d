//! What the starts of processes cost, counted from their logs: how requests fare by the age of the process that has
//! them, why those without an attempt had none, and how long a process takes to its list, its first attempt and its
//! first answer.

use serde::Serialize;
use std::collections::HashMap;

/// Requests are counted by the age of their process up to these, in microseconds, and beyond.
pub const AGES: [u64; 6] = [
    1_000_000,
    2_000_000,
    4_000_000,
    8_000_000,
    16_000_000,
    u64::MAX,
];

/// What became of requests that came to processes of one age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AtAge {
    /// Those that came.
    pub requests: u64,
    /// Those that were sent to a server at least once.
    pub sent: u64,
    /// Refused in the moment they came, by the estimate of what can be served.
    pub early: u64,
    /// Given up without an attempt while there was no list yet.
    pub no_list: u64,
    /// Given up without an attempt while all servers that were listed ready were cold.
    pub all_cold: u64,
    /// Given up without an attempt, though a warm server was listed ready.
    pub no_server: u64,
    /// Given up after an attempt.
    pub tried: u64,
    /// Neither answered nor given up when their process ended.
    pub left: u64,
}

/// When something happened first in the lives of processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct First {
    /// Lives in which it never happened.
    pub never: u64,
    /// Microseconds after the start, in order, of those in which it did.
    pub after: Vec<u64>,
}

impl First {
    /// What this part of the lives took at most, in microseconds; none where it never happened to so many.
    pub fn quantile(&self, part: f64) -> Option<u64> {
        let all = self.after.len() + usize::try_from(self.never).unwrap_or(usize::MAX);
        let place = (part * all as f64).ceil() as usize;
        self.after.get(place.saturating_sub(1)).copied()
    }
}

/// What was counted of processes that started, apart for those that are the first in their logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Started {
    /// Lives that were counted.
    pub lives: u64,
    /// By age, as [`AGES`] has them.
    pub ages: [AtAge; AGES.len()],
    /// The first list.
    pub list: First,
    /// The first attempt.
    pub attempt: First,
    /// The first answer that served a request.
    pub answer: First,
}

impl Started {
    fn end(&mut self, life: Life) {
        self.lives += 1;
        for open in life.open.values() {
            self.ages[open.age].left += 1;
        }
        for (first, at) in [&mut self.list, &mut self.attempt, &mut self.answer]
            .into_iter()
            .zip(life.first)
        {
            match at {
                Some(at) => {
                    let place = first.after.partition_point(|other| *other <= at);
                    first.after.insert(place, at);
                }
                None => first.never += 1,
            }
        }
    }
}

/// A request that is open.
#[derive(Clone, Copy)]
struct Open {
    /// The place of its process's age among [`AGES`].
    age: usize,
    came: u64,
    sent: bool,
}

/// One process between its start and its end.
struct Life {
    began: u64,
    /// When those that are listed ready started.
    ready: HashMap<String, u64>,
    open: HashMap<u64, Open>,
    /// List, attempt, answer.
    first: [Option<u64>; 3],
}

/// A line of a log, as far as it tells of starts.
pub(crate) struct Heard<'a> {
    pub(crate) t: u64,
    pub(crate) what: &'a str,
    pub(crate) request: u64,
    pub(crate) server: &'a str,
    pub(crate) state: &'a str,
    pub(crate) started: u64,
    pub(crate) outcome: &'a str,
}

/// Follows the lives of one log's processes.
#[derive(Default)]
pub(crate) struct Lives {
    now: Option<Life>,
    many: u64,
}

impl Lives {
    /// Takes the next line. A server is cold for so long, in microseconds, after its start.
    pub(crate) fn hear(&mut self, heard: &Heard<'_>, cold: u64, told: &mut [Started; 2]) {
        if heard.what == "start" {
            self.end(told);
            let first = [None; 3];
            self.now = Some(Life {
                began: heard.t,
                ready: HashMap::new(),
                open: HashMap::new(),
                first,
            });
            self.many += 1;
            return;
        }
        // What was logged before the first start tells no age.
        let Some(life) = &mut self.now else { return };
        let age = heard.t.saturating_sub(life.began);
        let ages = &mut told[usize::from(self.many > 1)].ages;
        match heard.what {
            "listed" => {
                life.first[0].get_or_insert(age);
                match heard.state {
                    "Ready" => life.ready.insert(heard.server.to_string(), heard.started),
                    _ => life.ready.remove(heard.server),
                };
            }
            "request" => {
                let place = AGES
                    .iter()
                    .position(|most| age < *most)
                    .unwrap_or(AGES.len() - 1);
                ages[place].requests += 1;
                life.open.insert(
                    heard.request,
                    Open {
                        age: place,
                        came: heard.t,
                        sent: false,
                    },
                );
            }
            "send" => {
                life.first[1].get_or_insert(age);
                if let Some(open) = life.open.get_mut(&heard.request) {
                    ages[open.age].sent += u64::from(!std::mem::replace(&mut open.sent, true));
                }
            }
            "ended" if heard.outcome == "Ok" => {
                life.first[2].get_or_insert(age);
                life.open.remove(&heard.request);
            }
            "refuse" | "fail" => {
                let Some(open) = life.open.remove(&heard.request) else {
                    return;
                };
                let warm = life
                    .ready
                    .values()
                    .any(|started| heard.t >= started.saturating_add(cold));
                let at = &mut ages[open.age];
                let cause = match open {
                    Open { sent: true, .. } => &mut at.tried,
                    Open { came, .. } if came == heard.t => &mut at.early,
                    _ if life.first[0].is_none() => &mut at.no_list,
                    _ if !warm => &mut at.all_cold,
                    _ => &mut at.no_server,
                };
                *cause += 1;
            }
            _ => {}
        }
    }

    /// The log ends, or a next process starts.
    pub(crate) fn end(&mut self, told: &mut [Started; 2]) {
        if let Some(life) = self.now.take() {
            told[usize::from(self.many > 1)].end(life);
        }
    }
}
