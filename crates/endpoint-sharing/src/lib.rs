//! Lists of servers that a fleet shares, so that few of it call the list service: instances tell the agent's [`Relay`] what
//! discovery told them, it passes the newest list on, and an instance's [`Share`] says how old what it holds is and when it
//! has to call discovery itself. No clock, no I/O: times are passed in as whole microseconds.
//!
//! # The bound
//!
//! Each list goes with the time of its *evidence*: when discovery last said, over some instance's watch, that nothing
//! beyond it is known. Whatever links lose, hold, double or reorder, and whatever processes die, freeze or come back:
//!
//! 1. No instance takes a list for younger than its evidence. Ages are never taken from when a message came: an instance
//!    counts from the last word of the agent that it had, which the agent knows the time of, and the agent answers with
//!    an age as of the instance's own report, which that instance knows the time of. The way there is always counted as age.
//! 2. An instance calls discovery itself once its evidence is as old as it says; see [`Share::due`]. So none goes by a list
//!    of older evidence without calling, in the time that its settings name, also where all links are cut at once.
//! 3. A list gives way to one of a higher version, or of the same version and later evidence. One of a lower version is
//!    taken only once nothing was heard of the higher one for [`FORGOTTEN`]: what was told of a drain is not undone by an
//!    older list that arrives later.
//!
//! Clocks may run apart by one part in [`DRIFT`]; ages are counted as that much longer.

mod error;
mod relay;
mod share;

pub use error::Error;
pub use relay::{Note, Relay, SharedList};
pub use share::{Heard, Offer, Share};

use serde::{Deserialize, Serialize};

/// A time, or a span of time, in microseconds. Times only ever grow; their zero means nothing.
pub type Micros = u64;

/// Ages are counted as one part in so many longer: it covers an instance 2% slow beside an agent 2% fast.
pub const DRIFT: u64 = 20;
/// The longest text of a list, in bytes: some 3,000 servers, and 1,024 whose every name is long. With its quotation marks it fits
/// into an instance's message. Longer ones are not shared.
pub const MOST_TEXT: usize = 256 << 10;
/// The longest text, in bytes, that an agent takes which does not say how long a text may be.
pub const ALWAYS_TAKEN: usize = 40 << 10;
/// The most lists that an instance takes part in, and that an agent keeps.
pub const MOST_LISTS: usize = 16;
/// The longest name of a list, in bytes.
pub const LONGEST_NAME: usize = 256;
/// So many instances that watch discovery are enough for a fleet, whichever of them fail one by one.
pub const WATCHERS: usize = 8;
/// A list of a lower version is taken once nothing was heard of the higher one for so long: discovery counts anew. In
/// microseconds.
pub const FORGOTTEN: Micros = 30_000_000;

/// When an instance calls discovery itself, where whoever has not called for `ask_within` is held to know the list: once
/// the evidence for what it holds is as old as the first, and so much later as it draws below the second. Three fifths of the
/// time are for the fleet to tell, three tenths spread the calls of all, where nobody tells any more, and a tenth is for
/// clocks that run slow and for timers. In microseconds, as `ask_within`.
pub fn own_calls(ask_within: Micros) -> (Micros, Micros) {
    (ask_within / 5 * 3, ask_within / 10 * 3)
}

/// Evidence of this age has an instance report at once, before it calls: what it heard may be older than what the agent
/// knows by as much as lies between two of its reports. In microseconds, as `ask_within`.
pub fn asks_agent(ask_within: Micros) -> Micros {
    ask_within / 2
}

/// How long an instance that has just started waits for the agent's word before its first call of discovery, which is due
/// `up` after its start: less the later that is, so that the first calls of all stay spread and none comes later than nine
/// tenths of `ask_within`. In microseconds.
pub fn first_wait(up: Micros, ask_within: Micros) -> Micros {
    let latest = ask_within / 10 * 9;
    let most = ask_within / 5;
    most.saturating_sub((most as f64 * up as f64 / latest.max(1) as f64) as Micros)
}

/// How long ago something was at most, where a clock that may run slow says this.
fn aged(age: Micros) -> Micros {
    age.saturating_add(age.div_ceil(DRIFT))
}

/// Which list of one name it is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Version {
    /// Discovery's number of it, which grows with each change.
    pub index: u64,
    /// A checksum of its text: a discovery that counts anew comes to the same numbers.
    pub digest: u32,
}

impl Version {
    /// The version of a text.
    pub fn of(index: u64, text: &str) -> Self {
        Version {
            index,
            digest: crc32c::crc32c(text.as_bytes()),
        }
    }

    /// Whether a list of this version goes before another; `heard` and `other_heard` are when there was evidence for
    /// each, by the clock of `now`.
    fn goes_before(self, heard: Micros, other: Version, other_heard: Micros, now: Micros) -> bool {
        match self.index.cmp(&other.index) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => self.digest != other.digest && heard > other_heard,
            std::cmp::Ordering::Less => {
                heard > other_heard && now.saturating_sub(other_heard) > FORGOTTEN
            }
        }
    }
}

/// A moment of an agent's clock, of one start of it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Stamp {
    /// The agent's term.
    pub term: u64,
    /// Drawn at the agent's start: two may come to have one term.
    pub id: u64,
    /// When, by its clock.
    pub at: Micros,
}

/// What an instance says of one list with each report.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Tell {
    /// The list's name.
    pub list: String,
    /// Which one it holds; none while it has heard of none from discovery or the agent.
    pub version: Option<Version>,
    /// How old the evidence for it is, in microseconds.
    pub age: Micros,
    /// It watches discovery itself.
    pub watches: bool,
    /// All of it, where the agent wants it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// What an instance says of all its lists with one report.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Tells {
    /// Counts the reports of this start, from 1.
    pub seq: u64,
    /// The latest moment of its agent that it knows of.
    pub stamp: Option<Stamp>,
    /// How long ago that came, in microseconds.
    pub since: Micros,
    /// A line each.
    pub of: Vec<Tell>,
}

/// What the agent says of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Line {
    /// The list's name.
    pub list: String,
    /// Which one the fleet goes by.
    pub version: Version,
    /// How old the evidence for it was when the report came that is answered, in microseconds.
    pub ago: Micros,
    /// All of it, where the instance holds another.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The instance holds a newer one: the agent wants it with a report at once.
    pub wanted: bool,
    /// Nobody has told of this list of late: the instance is to call discovery now, for all.
    pub call: bool,
    /// Enough others watch: the instance may end its watch, until its evidence is too old again.
    pub enough: bool,
}

/// The agent's word to one start of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lists {
    /// Which start of the instance it is for.
    pub start: u64,
    /// When it was said.
    pub stamp: Stamp,
    /// The report that ages are counted from.
    pub answers: u64,
    /// The longest text of a list that the agent takes, in bytes; 0 from an agent that takes [`ALWAYS_TAKEN`] and does not say.
    pub room: usize,
    /// A line each.
    pub of: Vec<Line>,
}
