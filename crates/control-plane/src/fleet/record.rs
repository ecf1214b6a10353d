//! The durable records of an agent, and their keys.

use crate::author::Author;
use crate::change::Change;
use crate::layers::Layers;
use crate::membership::PersistedMember;
use crate::rollout::{Rollout, RolloutResult, Target};
use crate::{Error, Micros};
use serde::{Deserialize, Serialize};

/// A change whose rollout has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The change.
    pub change: Change,
    /// The revision that the change made.
    pub revision: u64,
    /// The revision that its rollback made; none if it was not rolled back.
    #[serde(rename = "back_revision")]
    pub rollback_revision: Option<u64>,
    /// Who pushed the change, and when.
    pub by: Author,
    /// How the rollout ended.
    #[serde(rename = "end")]
    pub result: RolloutResult,
    /// The reason, if the rollout did not run to completion.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// When the rollout ended: milliseconds since 1970.
    #[serde(rename = "ended")]
    pub ended_at: u64,
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
    #[serde(rename = "entry")]
    HistoryEntry(Box<HistoryEntry>),
    /// Key `lending`: the longest duration of leases of fleet-wide limits that may be outstanding, in microseconds.
    #[serde(rename = "lending")]
    LeaseDuration(Micros),
}

pub(super) const TERM_KEY: &str = "term";
pub(super) const SETTLED_KEY: &str = "settled";
pub(super) const ROLLOUT_KEY: &str = "rollout";
pub(super) const LEASE_DURATION_KEY: &str = "lending";

/// The key of an entry of the history. Revisions are padded, so that keys are ordered as the revisions are.
pub(super) fn history_key(revision: u64) -> String {
    format!("entry/{revision:020}")
}

/// The key of a target.
pub(super) fn target_key(revision: u64, name: &str) -> String {
    format!("target/{revision:020}/{name}")
}

/// The key of a member.
pub(super) fn member_key(name: &str) -> String {
    format!("member/{name}")
}

/// The revision and the instance's name in the key of a target.
pub(super) fn parse_target_key(key: &str) -> Result<(u64, &str), Error> {
    let (revision, name) = key
        .strip_prefix("target/")
        .and_then(|rest| rest.split_once('/'))
        .ok_or_else(|| Error::InvalidTargetKey { key: key.into() })?;
    let revision = revision.parse().map_err(|source| Error::InvalidRevision {
        key: key.into(),
        source,
    })?;
    Ok((revision, name))
}

/// The instance's name in the key of a member.
pub(super) fn parse_member_key(key: &str) -> Result<&str, Error> {
    key.strip_prefix("member/")
        .ok_or_else(|| Error::InvalidMemberKey { key: key.into() })
}
