//! A change as a document: what is set, where, and how it is rolled out.

use crate::Problem;
use crate::bounds::MAX_NOTE_BYTES;
use crate::policy::RolloutPolicy;
use crate::selector::Selector;
use crate::settings::{Edits, Fingerprint, Key, check_edits, check_name};
use serde::{Deserialize, Serialize};

/// The operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Sets values on the selected instances.
    Set(Edits),
    /// Undoes another change, named by its id, on the instances that have it.
    Undo(String),
}

/// A change as an operator pushes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change permanently: a second push of the same id changes nothing.
    pub id: String,
    /// The revision of the fleet that the change was made on.
    pub base: u64,
    /// The reason, for people.
    #[serde(default)]
    pub note: String,
    /// The instances that the change is for.
    #[serde(default)]
    pub select: Selector,
    /// How the change is rolled out.
    #[serde(default)]
    pub rollout: RolloutPolicy,
    /// What the change does.
    #[serde(rename = "what")]
    pub operation: Operation,
}

impl Change {
    /// Checks the change. Returns all problems, each with its field.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if let Err(error) = check_name(&self.id) {
            problems.push(Problem {
                field: "id".into(),
                problem: error.to_string(),
            });
        }
        if self.note.len() > MAX_NOTE_BYTES {
            let problem = format!(
                "has {} bytes; there are {MAX_NOTE_BYTES} at most",
                self.note.len()
            );
            problems.push(Problem {
                field: "note".into(),
                problem,
            });
        }
        self.select.check(&mut problems);
        self.rollout.check(&mut problems);
        match &self.operation {
            Operation::Set(edits) if edits.is_empty() => {
                problems.push(Problem {
                    field: "set".into(),
                    problem: "nothing is set".into(),
                });
            }
            Operation::Set(edits) => {
                check_edits(edits, &mut problems);
                let fleet_key = edits.keys().find(|key| matches!(key, Key::Fleet { .. }));
                if let Some(key) = fleet_key.filter(|_| !self.select.is_all()) {
                    let problem = format!(
                        "{key} holds for the whole fleet; a change of it selects all instances"
                    );
                    problems.push(Problem {
                        field: "select".into(),
                        problem,
                    });
                }
            }
            Operation::Undo(id) => {
                if let Err(error) = check_name(id) {
                    problems.push(Problem {
                        field: "undo".into(),
                        problem: error.to_string(),
                    });
                }
            }
        }
        problems
    }

    /// A hash that is the same for the same document.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self)
    }
}
