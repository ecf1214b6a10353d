//! The instance's side: what it holds of each list, how old that is, and when it has to call discovery itself.

use crate::{
    ALWAYS_TAKEN, FORGOTTEN, Lists, MOST_LISTS, MOST_TEXT, Micros, Stamp, Tell, Tells, Version,
    aged,
};
use std::collections::{BTreeMap, VecDeque};

/// Reports whose times are remembered; an answer to an earlier one tells no age.
const REMEMBERED: usize = 8;

struct Held {
    version: Version,
    /// None where it is too long to be shared.
    text: Option<String>,
    heard: Micros,
    wanted: bool,
    watches: bool,
    /// The evidence beyond which the agent was asked for more.
    asked: Option<Micros>,
}

impl Held {
    /// Whether all of it may go to an agent that takes texts of so many bytes.
    fn fits(&self, room: usize) -> bool {
        self.text.as_ref().is_some_and(|text| text.len() <= room)
    }
}

/// A list that the agent has passed on and that goes before what is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The list's name.
    pub list: String,
    /// Which one it is.
    pub version: Version,
    /// All of it.
    pub text: String,
    /// When there was evidence for it, by the instance's clock, at the earliest.
    pub heard: Micros,
}

/// What the agent's word comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Lists that go before what is held, to be [`taken`](Share::taken) where they make sense.
    pub offers: Vec<Offer>,
    /// The agent wants a report at once.
    pub at_once: bool,
    /// Lists for which discovery is to be called now, for all of the fleet.
    pub call: Vec<String>,
    /// Lists that need not be watched here: enough others do.
    pub enough: Vec<String>,
}

/// An instance's part in the lists that its fleet shares. Times are those of a clock that also runs while the machine is
/// suspended.
///
/// What it promises is that [`Share::due`] lies so long after the evidence for the list that is held, and never later
/// because a message was on its way for long.
#[derive(Default)]
pub struct Share {
    seq: u64,
    made: VecDeque<(u64, Micros)>,
    word: Option<(Stamp, Micros)>,
    /// The longest text that the agent takes, in bytes; none until it was heard.
    room: Option<usize>,
    lists: BTreeMap<String, Option<Held>>,
}

impl Share {
    /// Takes part in lists of these names from now on, [`MOST_LISTS`] at most. What is held of those that stay is kept.
    pub fn follow(&mut self, names: impl IntoIterator<Item = String>) {
        let mut former = std::mem::take(&mut self.lists);
        let kept = |name: String| {
            let held = former.remove(&name).flatten();
            (name, held)
        };
        self.lists = names.into_iter().take(MOST_LISTS).map(kept).collect();
    }

    /// Whether it takes part in none.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// Whether it takes part in the list of this name.
    pub fn follows(&self, list: &str) -> bool {
        self.lists.contains_key(list)
    }

    /// What is held of this list is of no discovery that is followed now.
    pub fn forget(&mut self, list: &str) {
        if let Some(held) = self.lists.get_mut(list) {
            *held = None;
        }
    }

    /// Discovery has told a list: this is all of it now. Gives whether the agent is to hear of it at once.
    pub fn told(&mut self, now: Micros, list: &str, index: u64, text: String) -> bool {
        let Some(held) = self.lists.get_mut(list) else {
            return false;
        };
        let version = Version::of(index, &text);
        let missed = held.as_ref().is_none_or(|held| {
            held.version != version || now.saturating_sub(held.heard) > FORGOTTEN
        });
        let text = (text.len() <= MOST_TEXT).then_some(text);
        *held = Some(Held {
            version,
            text,
            heard: now,
            wanted: false,
            watches: true,
            asked: None,
        });
        missed
    }

    /// Discovery has said, over a watch that has told its list, that it is there.
    pub fn beat(&mut self, now: Micros, list: &str) {
        if let Some(Some(held)) = self.lists.get_mut(list) {
            held.heard = held.heard.max(now);
        }
    }

    /// The watch that told its list has ended, or is ended.
    pub fn ended(&mut self, list: &str) {
        if let Some(Some(held)) = self.lists.get_mut(list) {
            held.watches = false;
        }
    }

    /// Whether a whole list of this version from discovery itself may be taken: not one older than what is held, while
    /// there was evidence for that within `within`. A discovery that lags behind itself undoes nothing so, and one that
    /// counts anew is believed once nobody hears the higher version any more.
    pub fn allows(&self, now: Micros, list: &str, index: u64, within: Micros) -> bool {
        let held = self.lists.get(list).and_then(Option::as_ref);
        held.is_none_or(|held| {
            held.version.index <= index || now.saturating_sub(held.heard) > within
        })
    }

    /// Whether what is held of this list is too long to be shared, or too long for the agent that was heard last.
    pub fn is_too_long(&self, list: &str) -> bool {
        let held = self.lists.get(list).and_then(Option::as_ref);
        held.is_some_and(|held| !held.fits(self.room.unwrap_or(MOST_TEXT)))
    }

    /// What goes with a report that is made now.
    pub fn tell(&mut self, now: Micros) -> Tells {
        self.seq += 1;
        self.made.truncate(REMEMBERED - 1);
        self.made.push_front((self.seq, now));
        // One whole list at a time: two may not fit into a message.
        let mut whole = true;
        // Until the agent has said how much it takes, what each takes goes.
        let room = self.room.unwrap_or(ALWAYS_TAKEN);
        let tell = |(name, held): (&String, &mut Option<Held>)| {
            let list = name.clone();
            let Some(held) = held.as_mut().filter(|held| held.fits(room)) else {
                return Tell {
                    list,
                    ..Tell::default()
                };
            };
            let goes = held.wanted && whole;
            if goes {
                (whole, held.wanted) = (false, false);
            }
            let text = goes.then(|| held.text.clone()).flatten();
            let (version, age) = (Some(held.version), now.saturating_sub(held.heard));
            Tell {
                list,
                version,
                age,
                watches: held.watches,
                text,
            }
        };
        let of = self.lists.iter_mut().map(tell).collect();
        let (stamp, since) = match self.word {
            Some((stamp, came)) => (Some(stamp), now.saturating_sub(came)),
            None => (None, 0),
        };
        Tells {
            seq: self.seq,
            stamp,
            since,
            of,
        }
    }

    /// The agent's word has come.
    pub fn hear(&mut self, now: Micros, lists: &Lists) -> Heard {
        // Of one agent's words the latest counts; of those of another that which comes.
        let same = |word: Stamp| (word.term, word.id) == (lists.stamp.term, lists.stamp.id);
        if self
            .word
            .is_none_or(|(word, _)| !same(word) || word.at < lists.stamp.at)
        {
            self.word = Some((lists.stamp, now));
        }
        let (room, former) = (
            lists.room.clamp(ALWAYS_TAKEN, MOST_TEXT),
            self.room.unwrap_or(ALWAYS_TAKEN),
        );
        self.room = Some(room);
        let made = self
            .made
            .iter()
            .find(|(seq, _)| *seq == lists.answers)
            .map(|(_, made)| *made);
        let Heard {
            mut offers,
            mut at_once,
            mut call,
            mut enough,
        } = Heard::default();
        // What was held back goes now.
        at_once |= self
            .lists
            .values()
            .flatten()
            .any(|held| held.fits(room) && !held.fits(former));
        for line in lists.of.iter().take(MOST_LISTS) {
            let Some(held) = self.lists.get_mut(&line.list) else {
                continue;
            };
            if line.enough && held.as_ref().is_some_and(|held| held.watches) {
                enough.push(line.list.clone());
            }
            if line.call {
                call.push(line.list.clone());
            }
            if line.wanted
                && let Some(held) = held.as_mut().filter(|held| held.fits(room))
            {
                held.wanted = true;
                at_once = true;
            }
            // Without the time of the report that its age is counted from, its age is not known.
            let Some(heard) = made.map(|made| made.saturating_sub(aged(line.ago))) else {
                continue;
            };
            match (held, &line.text) {
                (Some(held), _) if held.version == line.version => {
                    held.heard = held.heard.max(heard)
                }
                (Some(held), _)
                    if !line
                        .version
                        .goes_before(heard, held.version, held.heard, now) => {}
                (_, Some(text)) if Version::of(line.version.index, text) == line.version => {
                    let (list, version, text) = (line.list.clone(), line.version, text.clone());
                    offers.push(Offer {
                        list,
                        version,
                        text,
                        heard,
                    });
                }
                _ => {}
            }
        }
        Heard {
            offers,
            at_once,
            call,
            enough,
        }
    }

    /// An offer makes sense, and the instance goes by it.
    pub fn taken(&mut self, offer: Offer) {
        if let Some(held) = self.lists.get_mut(&offer.list) {
            let Offer {
                version,
                text,
                heard,
                ..
            } = offer;
            let watches = held.as_ref().is_some_and(|held| held.watches);
            *held = Some(Held {
                version,
                text: Some(text),
                heard,
                wanted: false,
                watches,
                asked: None,
            });
        }
    }

    /// When it has to call discovery for this list itself: `within` after the evidence for what it holds. None where it
    /// has none, or takes no part: then at once.
    pub fn due(&self, list: &str, within: Micros) -> Option<Micros> {
        let held = self.lists.get(list)?.as_ref()?;
        Some(held.heard.saturating_add(within))
    }

    /// Whether the agent is to be asked now for later evidence than this, which is `age` old: once for each that is held.
    pub fn asks(&mut self, now: Micros, list: &str, age: Micros) -> bool {
        let Some(Some(held)) = self.lists.get_mut(list) else {
            return false;
        };
        let due = now >= held.heard.saturating_add(age) && held.asked != Some(held.heard);
        if due {
            held.asked = Some(held.heard);
        }
        due
    }

    /// What is held of each list: its name, its version, and when there was evidence for it.
    pub fn views(&self) -> impl Iterator<Item = (&str, u64, Micros)> {
        self.lists.iter().filter_map(|(name, held)| {
            let held = held.as_ref()?;
            Some((name.as_str(), held.version.index, held.heard))
        })
    }
}
