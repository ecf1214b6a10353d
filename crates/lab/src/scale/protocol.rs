//! What the conductor of a rig and its worker processes say to each other: a line of JSON each way.

use super::places::Group;
use super::usage::Usage;
use madderloom_agent::traffic::Traffic;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Range};
use std::path::PathBuf;

/// What the instances of a rig are like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manner {
    /// Requests that each tells to have ended within its last window.
    pub requests: u64,
    /// Fleet-wide limits that each takes part in.
    pub limits: usize,
    /// Lists of servers that each shares.
    pub lists: usize,
}

/// What a worker is told first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// The address of the agent, or those of the relays by zone.
    pub agents: Vec<String>,
    /// The directory of the keys.
    pub keys: PathBuf,
    /// The numbers of its instances.
    pub instances: Range<usize>,
    /// What they are like.
    pub manner: Manner,
}

/// What a worker is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Its instances; once, before all else.
    Setup(Setup),
    /// Start these anew, with what they kept; links that are held are released.
    Start(Group),
    /// End these; the agent sees their connections close.
    Stop(Group),
    /// Hold the links of these: neither end hears of the other.
    Hold(Group),
    /// Release them.
    Release(Group),
    /// Discovery has this version of all lists now.
    Discovery(u64),
    /// From now on, remember when each is next told that its lease is renewed.
    Mark,
    /// How many of these were told so since.
    CountRenewed(Group),
    /// When these were told so.
    Renewed(Group),
    /// How many of these have the setting of this number in effect.
    CountInForce(Group, u32),
    /// Since when these have it.
    InForce(Group, u32),
    /// What has passed and was used.
    Totals,
}

/// What a worker answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It is done.
    Done,
    /// It can't be done.
    Failed(String),
    /// So many.
    Count(usize),
    /// Times by [`super::usage::now`].
    Times(Vec<u64>),
    /// What has passed and was used.
    Totals(Totals),
}

/// What has passed at one side, and what it used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// What has passed.
    pub traffic: Traffic,
    /// What was used.
    pub usage: Usage,
}

impl AddAssign for Totals {
    fn add_assign(&mut self, other: Totals) {
        let (own, others) = (&mut self.traffic, other.traffic);
        own.connections += others.connections;
        own.opened += others.opened;
        own.bytes_in += others.bytes_in;
        own.bytes_out += others.bytes_out;
        own.messages_in += others.messages_in;
        own.messages_out += others.messages_out;
        self.usage += other.usage;
    }
}
