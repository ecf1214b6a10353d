//! The messages between an instance and the agent, version 1. `docs/control-protocol.md` tells how they travel.
//!
//! Everything is level-triggered: an instance's report says what it holds and which order it obeyed last, and the
//! agent answers with an order for as long as that is not what it should be. So a message that is lost, late or
//! doubled does no harm: the next report heals it.

use crate::Problem;
use crate::change::Traits;
use crate::gate::Counts;
use crate::settings::{Fingerprint, Overlay, check_name};
use madderloom_quota::{Asks, Lent};
use madderloom_roster::{Lists, MOST_TEXT, Tells};
use serde::{Deserialize, Serialize};

/// The version of the protocol; it stands in the path of every request.
pub const VERSION: u32 = 1;
/// The largest message of an instance, in bytes: 64 KiB, and one list of servers, each byte of which may be escaped.
pub const LARGEST_FROM_INSTANCE: usize = (64 << 10) + 2 * MOST_TEXT;
/// The largest message of the agent to an instance, and of the command line to the agent, in bytes.
pub const LARGEST_ORDER: usize = 8 << 20;
/// The longest text in which an instance says why it refused, in bytes.
pub const LONGEST_REASON: usize = 1_024;

/// Which order is the later one: by the term of the agent that gave it, then by its number. Numbers count the
/// orders for one instance within one term, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The term of the agent: grows with each of its starts.
    pub term: u64,
    /// The number of the order.
    pub number: u64,
}

/// Which start of which instance speaks or is spoken to.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    /// The instance's name.
    pub name: String,
    /// Drawn at random at each start, so that two processes are never taken for one.
    pub start: u64,
    /// Grows with each start; the agent may raise it.
    pub incarnation: u64,
}

impl Who {
    /// Checks what has come from outside.
    ///
    /// # Errors
    /// The field at fault.
    pub fn check(&self) -> Result<(), Problem> {
        check_name(&self.name).map_err(|problem| Problem { field: "name".into(), problem })
    }
}

/// What an instance has in effect beside its own file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Holding {
    /// The revision of the newest change in it; 0 for none.
    pub revision: u64,
    /// The fingerprint of all of it.
    pub overlay: Fingerprint,
}

/// How an instance met an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All of it is in effect.
    Applied,
    /// None of it is.
    Refused(Problem),
}

/// What an instance made of the last order that it obeyed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// Which order.
    pub stamp: Stamp,
    /// The change it was for.
    pub change: String,
    /// The revision it was to bring.
    pub revision: u64,
    /// The fingerprint of what it was to bring.
    pub overlay: Fingerprint,
    /// What came of it.
    pub outcome: Outcome,
}

/// The agent's order: have exactly this in effect beside your own file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Which start of the instance it is for; any other one takes no notice.
    pub start: u64,
    /// Its place among all orders.
    pub stamp: Stamp,
    /// The change that it brings; empty where the fleet has settled on none for this instance.
    pub change: String,
    /// The revision that it brings.
    pub revision: u64,
    /// All that is to be in effect.
    pub overlay: Overlay,
}

/// What an instance sends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToAgent {
    /// It wants to be known by its name.
    Register(Register),
    /// It is there, and this is how it is.
    Report(Report),
}

/// An instance's wish to be known by its name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// Who it is.
    pub who: Who,
    /// What it says of itself.
    #[serde(default)]
    pub traits: Traits,
    /// The greatest term of an agent that it has heard of: it obeys none of an earlier one.
    #[serde(default)]
    pub term: u64,
}

/// An instance's word that it is there, and how it is. Renews its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Who it is.
    pub who: Who,
    /// The greatest term of an agent that it has heard of.
    #[serde(default)]
    pub term: u64,
    /// The last order that it obeyed in this start.
    #[serde(default)]
    pub answer: Option<Answer>,
    /// What it has in effect.
    #[serde(default)]
    pub holding: Holding,
    /// Its requests within the last window.
    #[serde(default)]
    pub counts: Counts,
    /// What it says of fleet-wide limits; nothing where it takes part in none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asks: Option<Box<Asks>>,
    /// What it says of lists that the fleet shares; nothing where it takes part in none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tells: Option<Box<Tells>>,
}

/// What the agent sends to an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToInstance {
    /// It is known by its name, until its lease ends.
    Welcome(Welcome),
    /// Another start holds the name; come again after so many microseconds.
    Superseded {
        /// Its own start, as it said.
        start: u64,
        /// The incarnation that holds the name.
        by: u64,
        /// Microseconds.
        again: u64,
    },
    /// Too many come at once: come again after so many microseconds.
    Later {
        /// Its own start, as it said.
        start: u64,
        /// Microseconds.
        again: u64,
    },
    /// It is not known here: it has to register again.
    Unknown {
        /// Its own start, as it said.
        start: u64,
    },
    /// Its lease is renewed.
    Renewed {
        /// Its own start, as it said.
        start: u64,
        /// The agent's term.
        term: u64,
    },
    /// What it has to have in effect.
    Order(Order),
    /// What it is lent of fleet-wide limits. It goes to those alone that asked, and so know of it.
    Lent(Lent),
    /// What the fleet goes by of lists that it shares. It goes to those alone that told of theirs, and so know of it.
    Lists(Lists),
}

impl ToInstance {
    /// The start that it is for.
    pub fn start(&self) -> u64 {
        match self {
            ToInstance::Welcome(welcome) => welcome.start,
            ToInstance::Order(order) => order.start,
            ToInstance::Lent(lent) => lent.start,
            ToInstance::Lists(lists) => lists.start,
            ToInstance::Superseded { start, .. }
            | ToInstance::Later { start, .. }
            | ToInstance::Unknown { start }
            | ToInstance::Renewed { start, .. } => *start,
        }
    }
}

/// The agent's answer to one that may use its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Welcome {
    /// Its own start, as it said.
    pub start: u64,
    /// The incarnation it goes by from now on: its own, or a greater one.
    pub incarnation: u64,
    /// The agent's term.
    pub term: u64,
    /// It is to report so often, in microseconds.
    pub every: u64,
    /// Where the agent goes away, it is to come back at a random time within so many microseconds.
    pub spread: u64,
}
