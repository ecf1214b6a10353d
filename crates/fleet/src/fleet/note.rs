//! What the agent's machine reports for the log.

use crate::membership::Presence;
use crate::protocol::Outcome;
use crate::rollout::Phase;
use std::fmt;

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// An instance's presence has changed.
    Presence(String, Presence),
    /// A start that holds no name wants one that another holds: name, its incarnation, the holder's.
    Rival(String, u64, u64),
    /// An instance answered: name, change, what came of it.
    Answered(String, String, Outcome),
    /// A rollout has come to another phase: its id, the phase, why.
    Rollout(String, Phase, Option<String>),
    /// An instance has heard of an agent of this later term: this one gives no orders any more.
    StoodDown(u64),
    /// Of fleet-wide limits.
    Lending(madderloom_quota::Note),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Presence(name, presence) => {
                write!(f, "{name} is {}", format!("{presence:?}").to_lowercase())
            }
            Note::Rival(name, incarnation, by) => write!(
                f,
                "two processes go by the name {name}: incarnation {incarnation} is turned away while {by} is there"
            ),
            Note::Answered(name, id, Outcome::Applied) => write!(f, "{name}: {id} applied"),
            Note::Answered(name, id, Outcome::Refused(problem)) => {
                write!(f, "{name}: {id} refused: {problem}")
            }
            Note::Rollout(id, phase, why) => {
                write!(f, "{id}: {phase:?}")?;
                why.as_ref().map_or(Ok(()), |why| write!(f, ": {why}"))
            }
            Note::StoodDown(term) => {
                write!(f, "an agent of term {term} is known to the instances: no more orders are given here")
            }
            Note::Lending(note) => note.fmt(f),
        }
    }
}
