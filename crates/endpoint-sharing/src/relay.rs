//! The agent's side: the newest list of each name, and who holds which.

use crate::{
    Error, LONGEST_NAME, Line, Lists, MOST_LISTS, MOST_TEXT, Micros, Stamp, Tell, Tells, Version,
    WATCHERS, aged,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Bound;

/// One instance at a time is asked for a list, for so long. In microseconds.
const ASKED: Micros = 1_000_000;
/// Where the evidence for a list is older than this, or there is no list, one instance at a time is called upon to ask
/// discovery: sooner than any has to by itself, and later than two that watch tell at the usual pace. In microseconds.
const STALE: Micros = 4_000_000;
/// Evidence that comes after so long without any is passed on at once and not with the next reports: instances wait for it
/// that would call discovery. In microseconds.
const MISSED: Micros = 5_000_000;
/// An instance that was not heard for so long gets nothing any more until it reports. In microseconds.
const GONE: Micros = 60_000_000;
/// The most instances that are known of.
const MOST_INSTANCES: usize = 16_384;

/// What may be worth a line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The fleet goes by another list.
    Newer {
        /// Its name.
        list: String,
        /// Its version.
        index: u64,
        /// Whom it came from.
        from: String,
    },
    /// An instance reports an invalid list. The entry is ignored; the others of the report are kept.
    Odd {
        /// The instance.
        from: String,
        /// What is wrong.
        problem: Error,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Newer { list, index, from } => {
                write!(f, "lists: {list} is at version {index}, as {from} heard")
            }
            Note::Odd { from, problem } => write!(f, "lists: {from} tells {problem}: passed over"),
        }
    }
}

/// What an agent knows of one list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SharedList {
    /// Discovery's number of it.
    pub version: u64,
    /// How old the evidence for it is, in microseconds.
    pub age_us: Micros,
    /// Instances that watch discovery, of those heard of late.
    pub watched: usize,
    /// Instances that go by another list, of those heard of late.
    pub behind: usize,
}

struct Kept {
    version: Version,
    text: String,
    /// When there was evidence for it, by this clock.
    heard: Micros,
}

struct Seen {
    start: u64,
    seq: u64,
    came: Micros,
    holds: BTreeMap<String, Option<Version>>,
    watches: Vec<String>,
}

/// Passes the newest list of each name on. What it holds is bounded: [`MOST_LISTS`] lists of [`MOST_TEXT`] bytes, and a
/// line for each instance that was heard of late. It keeps nothing for its next start: the instances tell it again.
pub struct Relay {
    term: u64,
    id: u64,
    lists: BTreeMap<String, Kept>,
    /// Until when somebody is being asked for a list.
    asked: BTreeMap<String, Micros>,
    /// Until when somebody is calling discovery for all.
    calling: BTreeMap<String, Micros>,
    instances: BTreeMap<String, Seen>,
}

impl Relay {
    /// One that knows nothing yet. `id` is drawn at random at each start.
    pub fn new(term: u64, id: u64) -> Self {
        let (lists, asked, calling, instances) = Default::default();
        Relay {
            term,
            id,
            lists,
            asked,
            calling,
            instances,
        }
    }

    /// A report has come from a start of an instance that goes by this name. Gives the answer, and what others are to be
    /// told at once.
    pub fn hear(
        &mut self,
        now: Micros,
        name: &str,
        start: u64,
        tells: &Tells,
    ) -> (Lists, Vec<(String, Lists)>, Vec<Note>) {
        let mut notes = Vec::new();
        let (mut told, mut wanted) = (Vec::new(), Vec::new());
        for tell in tells.of.iter().take(MOST_LISTS) {
            match self.tell(now, name, tells, tell, &mut notes) {
                Said::Changed => told.push(tell.list.clone()),
                Said::Wanted => wanted.push(tell.list.as_str()),
                Said::Nothing => {}
            }
        }
        let full = self.instances.len() >= MOST_INSTANCES && !self.instances.contains_key(name);
        let newer = self
            .instances
            .get(name)
            .is_none_or(|seen| seen.start != start || seen.seq < tells.seq);
        if newer && !full {
            let holds = tells
                .of
                .iter()
                .take(MOST_LISTS)
                .map(|tell| (tell.list.clone(), tell.version))
                .collect();
            let watched = tells.of.iter().take(MOST_LISTS).filter(|tell| tell.watches);
            let watches = watched.map(|tell| tell.list.clone()).collect();
            self.instances.insert(
                name.into(),
                Seen {
                    start,
                    seq: tells.seq,
                    came: now,
                    holds,
                    watches,
                },
            );
        }
        let mut of: Vec<Line> = Vec::new();
        for tell in tells.of.iter().take(MOST_LISTS) {
            let line = self.line(now, &tell.list, tell.version);
            let wanted = wanted.contains(&tell.list.as_str());
            let call = !wanted && self.calls_upon(now, tell, tells.stamp.is_some());
            if line.is_some() || wanted || call {
                let enough = tell.watches && self.has_enough(now, name, tell);
                of.push(Line {
                    list: tell.list.clone(),
                    wanted,
                    call,
                    enough,
                    ..line.unwrap_or_default()
                });
            }
        }
        let own = Lists {
            start,
            stamp: self.stamp(now),
            answers: tells.seq,
            room: MOST_TEXT,
            of,
        };
        let others = if told.is_empty() {
            Vec::new()
        } else {
            self.pass_on(now, name, &told)
        };
        (own, others, notes)
    }

    /// The list of each name that the fleet goes by.
    pub fn views(&self, now: Micros) -> impl Iterator<Item = (String, SharedList)> {
        self.lists.iter().map(move |(name, kept)| {
            let there = || {
                self.instances
                    .values()
                    .filter(|seen| now.saturating_sub(seen.came) <= MISSED)
            };
            let watched = there().filter(|seen| seen.watches.contains(name)).count();
            let behind = |seen: &&Seen| {
                seen.holds
                    .get(name)
                    .is_some_and(|held| *held != Some(kept.version))
            };
            let (version, age_us) = (kept.version.index, now.saturating_sub(kept.heard));
            let list = SharedList {
                version,
                age_us,
                watched,
                behind: there().filter(behind).count(),
            };
            (name.clone(), list)
        })
    }

    fn stamp(&self, at: Micros) -> Stamp {
        Stamp {
            term: self.term,
            id: self.id,
            at,
        }
    }

    fn tell(
        &mut self,
        now: Micros,
        name: &str,
        tells: &Tells,
        tell: &Tell,
        notes: &mut Vec<Note>,
    ) -> Said {
        let Some(version) = tell.version else {
            return Said::Nothing;
        };
        let mut odd = |problem| {
            notes.push(Note::Odd {
                from: name.into(),
                problem,
            });
            Said::Nothing
        };
        if tell.list.is_empty() || tell.list.len() > LONGEST_NAME {
            return odd(Error::InvalidName);
        }
        if let Some(text) = &tell.text {
            if text.len() > MOST_TEXT {
                return odd(Error::TextTooLong);
            }
            if Version::of(version.index, text) != version {
                return odd(Error::WrongChecksum);
            }
        }
        if !self.lists.contains_key(&tell.list) && self.lists.len() >= MOST_LISTS {
            return odd(Error::TooManyLists);
        }
        // What this agent said to it, and when, is known; all that came after is counted as its clock says, at worst.
        let known = tells
            .stamp
            .filter(|stamp| (stamp.term, stamp.id) == (self.term, self.id));
        let heard = known.map(|stamp| {
            let reported = stamp.at.saturating_add(
                tells
                    .since
                    .saturating_sub(tells.since.div_ceil(crate::DRIFT)),
            );
            reported.min(now).saturating_sub(aged(tell.age))
        });
        match (self.lists.get_mut(&tell.list), heard) {
            (Some(kept), Some(heard)) if kept.version == version => {
                let missed = now.saturating_sub(kept.heard) > MISSED;
                kept.heard = kept.heard.max(heard);
                if missed && now.saturating_sub(heard) <= MISSED {
                    Said::Changed
                } else {
                    Said::Nothing
                }
            }
            (Some(kept), _) if kept.version == version => Said::Nothing,
            // Nothing is known of its age before an answer was heard: then it may come with the whole of it.
            (Some(kept), heard)
                if !version.goes_before(heard.unwrap_or(now), kept.version, kept.heard, now) =>
            {
                Said::Nothing
            }
            (_, heard) => match (&tell.text, heard) {
                (Some(text), Some(heard)) => {
                    self.asked.remove(&tell.list);
                    let kept = Kept {
                        version,
                        text: text.clone(),
                        heard,
                    };
                    self.lists.insert(tell.list.clone(), kept);
                    let (list, index, from) = (tell.list.clone(), version.index, name.into());
                    notes.push(Note::Newer { list, index, from });
                    Said::Changed
                }
                _ => {
                    self.asked.retain(|_, until| *until > now);
                    if self.asked.contains_key(&tell.list) || self.asked.len() >= MOST_LISTS {
                        return Said::Nothing;
                    }
                    self.asked
                        .insert(tell.list.clone(), now.saturating_add(ASKED));
                    Said::Wanted
                }
            },
        }
    }

    /// Whether this instance is to call discovery, since nobody has told of that list of late. One that holds a list and
    /// can't say yet how old it is may be about to tell.
    fn calls_upon(&mut self, now: Micros, tell: &Tell, is_dated: bool) -> bool {
        let is_stale = self
            .lists
            .get(&tell.list)
            .is_none_or(|kept| now.saturating_sub(kept.heard) > STALE);
        if !is_stale || tell.version.is_some() && !is_dated || tell.list.is_empty() {
            return false;
        }
        self.calling.retain(|_, until| *until > now);
        if self.calling.contains_key(&tell.list) || self.calling.len() >= MOST_LISTS {
            return false;
        }
        self.calling
            .insert(tell.list.clone(), now.saturating_add(ASKED));
        true
    }

    /// Whether so many others watch that this instance need not. Those whose names come first go on, so that all are not
    /// told at once that the others are enough.
    fn has_enough(&self, now: Micros, name: &str, tell: &Tell) -> bool {
        let is_fresh = |kept: &Kept| {
            Some(kept.version) == tell.version && now.saturating_sub(kept.heard) <= STALE
        };
        let watches = |(_, seen): &(&String, &Seen)| {
            now.saturating_sub(seen.came) <= MISSED && seen.watches.contains(&tell.list)
        };
        self.lists.get(&tell.list).is_some_and(is_fresh)
            && self
                .instances
                .range::<str, _>((Bound::Unbounded, Bound::Excluded(name)))
                .filter(watches)
                .nth(WATCHERS - 1)
                .is_some()
    }

    fn line(&self, from: Micros, list: &str, holds: Option<Version>) -> Option<Line> {
        let kept = self.lists.get(list)?;
        let text = (holds != Some(kept.version)).then(|| kept.text.clone());
        let ago = from.saturating_sub(kept.heard);
        Some(Line {
            list: list.into(),
            version: kept.version,
            ago,
            text,
            ..Line::default()
        })
    }

    fn pass_on(&mut self, now: Micros, but: &str, told: &[String]) -> Vec<(String, Lists)> {
        self.instances
            .retain(|_, seen| now.saturating_sub(seen.came) <= GONE);
        let to = |(name, seen): (&String, &Seen)| {
            let lines = told
                .iter()
                .filter_map(|list| self.line(seen.came, list, *seen.holds.get(list)?));
            let of: Vec<Line> = lines.collect();
            let (stamp, answers) = (self.stamp(now), seen.seq);
            let lists = Lists {
                start: seen.start,
                stamp,
                answers,
                room: MOST_TEXT,
                of,
            };
            (!lists.of.is_empty()).then(|| (name.clone(), lists))
        };
        self.instances
            .iter()
            .filter(|(name, _)| *name != but)
            .filter_map(to)
            .collect()
    }
}

enum Said {
    Nothing,
    /// Others are to hear of it at once.
    Changed,
    /// The whole of it is wanted.
    Wanted,
}
