//! The answers to an operator: a change was accepted, or the reason why it was declined.

use super::record::By;
use crate::Problem;
use crate::change::{Change, What};
use crate::rollout::End;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change was accepted, now or earlier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The id of the change.
    pub id: String,
    /// The revision that it makes, or that undoing it makes.
    pub revision: u64,
    /// Whether the request repeats an earlier one.
    pub repeat: bool,
}

/// This agent gives no orders any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandDown {
    /// The term of the later agent.
    pub term: u64,
}

/// Why a change was not accepted. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// The change is invalid.
    Invalid(Vec<Problem>),
    /// The change was made on a revision that is no longer the newest.
    Conflict {
        /// The revision that it was made on.
        base: u64,
        /// The newest revision.
        newest: u64,
        /// The changes since then, oldest first.
        since: Vec<Since>,
        /// Whether there were more changes, which are no longer remembered.
        more: bool,
    },
    /// Another rollout is under way.
    Busy {
        /// The id of its change.
        id: String,
        /// Who pushed it.
        by: By,
    },
    /// The id was used for another change.
    IdUsed {
        /// The revision that the other change made.
        revision: u64,
    },
    /// There is no change of that name, or it can no longer be stopped or undone.
    Impossible(String),
    /// A later agent has taken over.
    StoodDown(StandDown),
}

/// A change that was made in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Since {
    /// The revision that it made.
    pub revision: u64,
    /// Its id.
    pub id: String,
    /// Who pushed it, and when.
    pub by: By,
    /// How it ended; none while it is rolled out.
    pub end: Option<End>,
    /// What it set, one line each.
    pub difference: Vec<String>,
}

impl fmt::Display for Declined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Declined::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&lines.join("; "))
            }
            Declined::Conflict {
                base,
                newest,
                since,
                ..
            } => {
                write!(f, "made on revision {base}, but the fleet is at {newest}")?;
                for since in since {
                    write!(
                        f,
                        "; {} by {} made {}: ",
                        since.id, since.by.who, since.revision
                    )?;
                    f.write_str(&since.difference.join(", "))?;
                }
                Ok(())
            }
            Declined::Busy { id, by } => {
                write!(f, "{id}, pushed by {}, is still rolling out", by.who)
            }
            Declined::IdUsed { revision } => {
                write!(
                    f,
                    "the id was used for another change, which made revision {revision}; choose another one"
                )
            }
            Declined::Impossible(why) => f.write_str(why),
            Declined::StoodDown(StandDown { term }) => {
                write!(
                    f,
                    "an agent of term {term} has taken over; this one gives no orders any more"
                )
            }
        }
    }
}

/// What a change sets, one line each.
pub fn difference(change: &Change) -> Vec<String> {
    match &change.what {
        What::Set(edits) => edits
            .iter()
            .map(|(key, value)| match value {
                Some(value) => format!("{key} = {value}"),
                None => format!("{key} as in each instance's file"),
            })
            .collect(),
        What::Undo(id) => vec![format!("takes {id} back")],
    }
}
