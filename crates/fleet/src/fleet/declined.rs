//! The answers to an operator: a change was accepted, or why it was declined.

use super::record::By;
use crate::Problem;
use crate::change::{Change, What};
use crate::rollout::End;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change was accepted, or had been before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its id.
    pub id: String,
    /// The revision that it makes, or taking it back does.
    pub revision: u64,
    /// Whether this only repeats what was asked for before.
    pub repeat: bool,
}

/// This agent gives no orders any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandDown {
    /// The term of the later agent.
    pub term: u64,
}

/// Why a change was not accepted. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// It makes no sense.
    Invalid(Vec<Problem>),
    /// It was made on a revision that is no longer the newest.
    Conflict {
        /// The revision that it was made on.
        base: u64,
        /// The newest one.
        newest: u64,
        /// What has come since, oldest first: revision, id, who and when, and what it set.
        since: Vec<Since>,
        /// Whether there was more that is no longer remembered.
        more: bool,
    },
    /// Another rollout is under way.
    Busy {
        /// Its change.
        id: String,
        /// Who pushed it.
        by: By,
    },
    /// The id was used for another change.
    IdUsed {
        /// The revision that one made.
        revision: u64,
    },
    /// There is nothing of that name, or nothing can be done to it any more.
    Impossible(String),
    /// A later agent has taken over.
    StoodDown(StandDown),
}

/// A change that came between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Since {
    /// The revision that it made.
    pub revision: u64,
    /// Its id.
    pub id: String,
    /// Who pushed it, and when.
    pub by: By,
    /// How it ended; none while it is under way.
    pub end: Option<End>,
    /// What it set, a line each.
    pub difference: Vec<String>,
}

impl fmt::Display for Declined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Declined::Invalid(problems) => {
                let told: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&told.join("; "))
            }
            Declined::Conflict { base, newest, since, .. } => {
                write!(f, "made on revision {base}, but the fleet is at {newest}")?;
                for since in since {
                    write!(f, "; {} by {} made {}: ", since.id, since.by.who, since.revision)?;
                    f.write_str(&since.difference.join(", "))?;
                }
                Ok(())
            }
            Declined::Busy { id, by } => write!(f, "{id}, pushed by {}, is still rolling out", by.who),
            Declined::IdUsed { revision } => {
                write!(
                    f,
                    "the id was used for another change, which made revision {revision}; choose another one"
                )
            }
            Declined::Impossible(why) => f.write_str(why),
            Declined::StoodDown(StandDown { term }) => {
                write!(f, "an agent of term {term} has taken over; this one gives no orders any more")
            }
        }
    }
}

/// What a change sets, a line each.
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
