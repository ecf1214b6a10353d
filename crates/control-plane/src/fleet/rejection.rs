//! The answers to an operator: a change was accepted, or the reason why it was rejected.

use crate::Problem;
use crate::author::Author;
use crate::change::{Change, Operation};
use crate::rollout::RolloutResult;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change was accepted, now or earlier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The id of the change.
    pub id: String,
    /// The revision that the change makes, or that undoing it makes.
    pub revision: u64,
    /// Whether the request repeats an earlier one.
    pub repeat: bool,
}

/// A later agent has taken over: this one issues no more orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupersededBy {
    /// The term of the later agent.
    pub term: u64,
}

/// Why a change was not accepted. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The change is invalid.
    Invalid(Vec<Problem>),
    /// The change was made on a revision that is no longer the newest.
    Conflict {
        /// The revision that it was made on.
        base: u64,
        /// The newest revision.
        newest: u64,
        /// The changes since then, oldest first.
        since: Vec<InterveningChange>,
        /// Whether there were more changes, which are no longer remembered.
        more: bool,
    },
    /// Another rollout is under way.
    Busy {
        /// The id of its change.
        id: String,
        /// Who pushed it.
        by: Author,
    },
    /// The id was used for another change.
    IdUsed {
        /// The revision that the other change made.
        revision: u64,
    },
    /// There is no change of that name, or it can no longer be stopped or undone.
    Impossible(String),
    /// A later agent has taken over.
    #[serde(rename = "stood_down")]
    Superseded(SupersededBy),
}

/// A change that was made since the revision that another one is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterveningChange {
    /// The revision that it made.
    pub revision: u64,
    /// Its id.
    pub id: String,
    /// Who pushed it, and when.
    pub by: Author,
    /// How it ended; none while it is rolled out.
    #[serde(rename = "end")]
    pub result: Option<RolloutResult>,
    /// What it set, one line each.
    pub difference: Vec<String>,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&lines.join("; "))
            }
            Rejection::Conflict {
                base,
                newest,
                since,
                ..
            } => {
                write!(f, "made on revision {base}, but the fleet is at {newest}")?;
                since
                    .iter()
                    .try_for_each(|intervening| write!(f, "; {intervening}"))
            }
            Rejection::Busy { id, by } => {
                write!(f, "{id}, pushed by {}, is still rolling out", by.name)
            }
            Rejection::IdUsed { revision } => write!(
                f,
                "the id was used for another change, which made revision {revision}; choose another one"
            ),
            Rejection::Impossible(reason) => f.write_str(reason),
            Rejection::Superseded(SupersededBy { term }) => write!(
                f,
                "an agent of term {term} has taken over; this one gives no orders any more"
            ),
        }
    }
}

impl fmt::Display for InterveningChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let InterveningChange {
            revision, id, by, ..
        } = self;
        let difference = self.difference.join(", ");
        write!(f, "{id} by {} made {revision}: {difference}", by.name)
    }
}

/// Describes what a change sets, one line each.
pub fn describe_operation(change: &Change) -> Vec<String> {
    match &change.operation {
        Operation::Set(edits) => edits
            .iter()
            .map(|(key, value)| match value {
                Some(value) => format!("{key} = {value}"),
                None => format!("{key} as in each instance's file"),
            })
            .collect(),
        Operation::Undo(id) => vec![format!("takes {id} back")],
    }
}
