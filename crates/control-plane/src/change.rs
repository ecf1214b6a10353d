//! A change as a document: what is set, where, and how it is rolled out.

use crate::Problem;
use crate::bounds::LONGEST_NOTE;
use crate::policy::Policy;
use crate::selector::Selector;
use crate::settings::{Edits, Fingerprint, Key, check_edits, check_name};
use serde::{Deserialize, Serialize};

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Sets values on the selected instances.
    Set(Edits),
    /// Undoes another change, named by its id, on the instances that have it.
    Undo(String),
}

/// A change as an operator pushes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Names the change permanently: a second push of the same id changes nothing.
    pub id: String,
    /// The fleet's revision that it was made on.
    pub base: u64,
    /// Why.
    #[serde(default)]
    pub note: String,
    /// For which instances.
    #[serde(default)]
    pub select: Selector,
    /// How it is rolled out.
    #[serde(default)]
    pub rollout: Policy,
    /// What it does.
    pub what: What,
}

impl Change {
    /// All problems of the change, each with its field.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if let Err(error) = check_name(&self.id) {
            problems.push(Problem {
                field: "id".into(),
                problem: error.to_string(),
            });
        }
        if self.note.len() > LONGEST_NOTE {
            let problem = format!(
                "has {} bytes; there are {LONGEST_NOTE} at most",
                self.note.len()
            );
            problems.push(Problem {
                field: "note".into(),
                problem,
            });
        }
        self.select.check(&mut problems);
        self.rollout.check(&mut problems);
        match &self.what {
            What::Set(edits) if edits.is_empty() => {
                problems.push(Problem {
                    field: "set".into(),
                    problem: "nothing is set".into(),
                });
            }
            What::Set(edits) => {
                check_edits(edits, &mut problems);
                let of_fleet = edits.keys().find(|key| matches!(key, Key::Fleet { .. }));
                if let Some(key) = of_fleet.filter(|_| !self.select.is_all()) {
                    let problem = format!(
                        "{key} holds for the whole fleet; a change of it selects all instances"
                    );
                    problems.push(Problem {
                        field: "select".into(),
                        problem,
                    });
                }
            }
            What::Undo(id) => {
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
