//! What an agent keeps durably, one record a key, and the record of a change that has ended.

use crate::Micros;
use crate::change::{Change, Layers};
use crate::membership::Kept;
use crate::rollout::{End, Rollout, Target};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Who did something, and when by the wall's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct By {
    /// The name in the certificate.
    pub who: String,
    /// Milliseconds since 1970.
    pub at: u64,
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The change.
    pub change: Change,
    /// The revision that it made.
    pub revision: u64,
    /// The revision that taking it back made.
    pub back_revision: Option<u64>,
    /// Who pushed it, and when.
    pub by: By,
    /// How it ended.
    pub end: End,
    /// Why, where it did not simply end.
    pub why: Option<String>,
    /// When it ended: milliseconds since 1970.
    pub ended: u64,
}

/// What lasts, by its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Key `term`: the term of the agent that ran last.
    Term(u64),
    /// Key `settled`: the newest revision, and the layers.
    Settled(u64, Layers),
    /// Key `rollout`: the rollout under way, without its targets.
    Rollout(Box<Rollout>),
    /// Key `target/REVISION/NAME`.
    Target(Target),
    /// Key `member/NAME`.
    Member(Kept),
    /// Key `entry/REVISION`.
    Entry(Box<Entry>),
    /// Key `lending`: how long leases of fleet-wide limits may last that are out, in microseconds.
    Lending(Micros),
}

/// A record that can't have been written by this program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsound {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}
