//! Events of the agent's state machine for the log.

use crate::membership::Presence;
use crate::protocol::Outcome;
use crate::rollout::Phase;
use std::fmt;

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    /// The state of a member has changed.
    Presence(String, Presence),
    /// A start wants to use a name that another start holds: the name, its incarnation, the holder's incarnation.
    Rival(String, u64, u64),
    /// An instance has answered an order: its name, the change, the outcome.
    Answered(String, String, Outcome),
    /// A rollout has entered a phase: the id of the change, the phase, the reason.
    Rollout(String, Phase, Option<String>),
    /// An instance knows of an agent of this later term; this agent gives no more orders.
    StoodDown(u64),
    /// An event of the lease server.
    Leases(madderloom_quota_leases::Note),
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
                write!(
                    f,
                    "an agent of term {term} is known to the instances: no more orders are given here"
                )
            }
            Note::Leases(note) => note.fmt(f),
        }
    }
}
