//! The durable records of an agent.

use crate::Micros;
use crate::change::{Change, Layers};
use crate::membership::PersistedMember;
use crate::rollout::{End, Rollout, Target};
use serde::{Deserialize, Serialize};

/// Who did something, and when by the wall clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct By {
    /// The name in the certificate.
    pub who: String,
    /// Milliseconds since 1970.
    pub at: u64,
}

/// A change that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The change.
    pub change: Change,
    /// The revision that it made.
    pub revision: u64,
    /// The revision that undoing it made.
    pub back_revision: Option<u64>,
    /// Who pushed it, and when.
    pub by: By,
    /// How it ended.
    pub end: End,
    /// The reason, where it did not run to completion.
    pub why: Option<String>,
    /// When it ended: milliseconds since 1970.
    pub ended: u64,
}

/// A durable record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Key `term`: the term of the last agent.
    Term(u64),
    /// Key `settled`: the newest revision, and the layers in effect.
    Settled(u64, Layers),
    /// Key `rollout`: the rollout under way, without its targets.
    Rollout(Box<Rollout>),
    /// Key `target/REVISION/NAME`.
    Target(Target),
    /// Key `member/NAME`.
    Member(PersistedMember),
    /// Key `entry/REVISION`.
    Entry(Box<Entry>),
    /// Key `lending`: the longest duration of leases of fleet-wide limits that may be outstanding, in microseconds.
    #[serde(rename = "lending")]
    LeaseDuration(Micros),
}
